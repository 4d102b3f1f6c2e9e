//! Clients of a controller that don't behave: many large commands without their end.
//!
//! The failure: a controller held whatever was sent to it, each body within its limit and all together over the
//! memory of the box. The test runs the program with its default limits.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cottoncrank::Millis;
use cottoncrank_standin::crowd::{Message, SOCKETS, Watch, ask, limit_descriptors, send};
use cottoncrank_standin::list::List;
use cottoncrank_standin::listen;
use cottoncrank_standin::port::Port;
use cottoncrank_standin::store::Store;
use tokio::sync::Mutex;

/// The memory of the box, in MB: the default of the settings.
const MEMORY_MB: usize = 256;

/// The largest command, in bytes.
const COMMAND_BYTES: usize = 1 << 20;

/// The clients. What they send is more than half as much again as the memory of the box.
const CROWD: usize = 400;

/// The size of a piece.
const PIECE: usize = 64 * 1024;

/// How long something that has to come is waited for. It bounds a test that hangs and is no limit under test.
const WAIT: Duration = Duration::from_secs(60);

/// The connections of a crowd at a process of few descriptors: more than it has.
const CONNECTIONS: usize = 600;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cottoncrank-controller");

static ONE: Mutex<()> = Mutex::const_new(());

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.0.kill().and_then(|()| self.0.wait().map(drop)) {
            eprintln!("process {} was not ended: {error}", self.0.id());
        }
    }
}

/// What an operator sends.
const COMMAND: &str =
    "POST /v1/command HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 11\r\n\r\nshow groups";

/// A controller as a process, and its store and list in the process of the test.
struct World {
    process: Process,
    address: SocketAddr,
    watch: Watch,
    _outside: (Store, List),
    _ports: (Port, Port),
}

impl World {
    async fn start(number: u8, mut command: Command) -> World {
        let ip = IpAddr::V4(Ipv4Addr::new(127, (2 + std::process::id() % 250) as u8, 252, number));
        let (store, list) =
            (Store::start(listen().unwrap()).unwrap(), List::start(listen().unwrap(), Millis(500)).unwrap());
        let ports = (Port::find(ip).unwrap(), Port::find(ip).unwrap());
        let (address, entry) = (ports.0.address, ports.1.address);
        let file =
            std::env::temp_dir().join(format!("cottoncrank-controller-{}-{number}.toml", std::process::id()));
        let text = format!(
            "node = \"node-1\"\nhall = \"hall-1\"\nlisten = \"{address}\"\nentry = \"{entry}\"\nstore = \"{}\"\nlist = \"{}\"\nseeds = []\n",
            store.address(),
            list.address()
        );
        std::fs::write(&file, text).unwrap();
        let child =
            command.arg("--settings").arg(&file).stdin(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        let process = Process(child);
        let watch = Watch::start(process.0.id(), ip);
        let began = Instant::now();
        while ask(address, COMMAND).await != 200 {
            assert!(began.elapsed() < WAIT, "the controller takes no command");
        }
        World { process, address, watch, _outside: (store, list), _ports: ports }
    }

    async fn check(&mut self, when: &str) {
        let (status, memory) = (ask(self.address, COMMAND).await, self.watch.usage().memory);
        println!("{when}: {} MB at the most", memory >> 20);
        assert!(matches!(self.process.0.try_wait(), Ok(None)), "{when}: the process has ended");
        assert_eq!(status, 200, "{when}: an operator got {status}");
        assert!(memory <= MEMORY_MB << 20, "{when}: {} MB of {MEMORY_MB}", memory >> 20);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn commands_that_stop_before_their_last_byte() {
    let _one = ONE.lock().await;
    let mut world = World::start(1, Command::new(PROGRAM)).await;
    for crowd in ["first", "second"] {
        let streams = send(world.address, CROWD, |_| Message {
            once: format!(
                "POST /v1/command HTTP/1.1\r\nHost: x\r\nContent-Length: {COMMAND_BYTES}\r\n\r\n{}",
                "x".repeat(PIECE - 1)
            )
            .into(),
            again: "x".repeat(PIECE).into(),
            times: COMMAND_BYTES / PIECE - 1,
        })
        .await;
        world.watch.settle().await;
        world.check(&format!("beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("after the {crowd} crowd")).await;
    }
}

/// Each has had an answer and is kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_of_operators_that_rest() {
    let _one = ONE.lock().await;
    let mut world = World::start(2, limit_descriptors(PROGRAM)).await;
    for crowd in ["first", "second"] {
        let text = COMMAND.replace("Connection: close\r\n", "");
        let message = |_| Message { once: text.clone().into(), again: "".into(), times: 0 };
        let streams = send(world.address, CONNECTIONS, message).await;
        world.watch.settle().await;
        world.check(&format!("beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("after the {crowd} crowd")).await;
        let sockets = world.watch.usage().sockets;
        println!("the {crowd} crowd: {sockets} sockets at the most");
        assert!(sockets <= SOCKETS, "the {crowd} crowd: {sockets} sockets of {SOCKETS}");
    }
}
