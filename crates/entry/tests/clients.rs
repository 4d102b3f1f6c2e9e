//! Clients of an entry that don't behave: many large bodies, whole or in pieces, most without their end.
//!
//! The failure: an entry held whatever callers sent, body by body, each within its limit and all together over
//! the memory of the box. Each test runs the program of the entry with its default limits, and one test runs at
//! a time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use cottoncrank_controller::Controller;
use cottoncrank_controller::operate::execute;
use cottoncrank_controller::settings::{Settings, Spread};
use cottoncrank_standin::crowd::{Message, SOCKETS, Watch, ask, limit_descriptors, send};
use cottoncrank_standin::list::List;
use cottoncrank_standin::listen;
use cottoncrank_standin::port::Port;
use cottoncrank_standin::service::Service;
use cottoncrank_standin::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Mutex;

/// The memory of the box, in MB: the default of the settings.
const MEMORY_MB: usize = 256;

/// The largest body, in bytes: the default of the settings.
const BODY_BYTES: usize = 4 << 20;

/// The clients with large bodies. What they send is more than half as much again as the memory of the box.
const LARGE: usize = 100;

/// The clients with small chunks, and the chunks of each.
const SMALL_CHUNKERS: usize = 24;
const SMALL_CHUNKS: usize = 1_000_000;

/// The connections of a crowd at a process of few descriptors: more than it has.
const CONNECTIONS: usize = 600;

/// The size of a piece.
const PIECE: usize = 64 * 1024;

/// How long something that has to come is waited for. It bounds a test that hangs and is no limit under test.
const WAIT: Duration = Duration::from_secs(60);

const PROGRAM: &str = env!("CARGO_BIN_EXE_cottoncrank-entry");

static ONE: Mutex<()> = Mutex::const_new(());

/// An entry as a process, and its controller and service in the process of the test.
struct World {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
    watch: Watch,
    controller: Controller,
    _outside: (Store, List, Service),
    _ports: (Port, Port),
}

impl World {
    async fn start() -> World {
        World::start_by(Command::new(PROGRAM)).await
    }

    async fn start_by(mut command: Command) -> World {
        static WORLDS: AtomicU8 = AtomicU8::new(1);
        let number = WORLDS.fetch_add(1, Ordering::Relaxed);
        let ip = IpAddr::V4(Ipv4Addr::new(127, (2 + std::process::id() % 250) as u8, 251, number));
        let (store, list) = (
            Store::start(listen().unwrap()).unwrap(),
            List::start(listen().unwrap(), cottoncrank::Millis(500)),
        );
        let (list, service) = (list.unwrap(), Service::start(listen().unwrap()).unwrap());
        let ports = (Port::find(ip).unwrap(), Port::find(ip).unwrap());
        let (callers, peers) = (ports.0.address, ports.1.address);
        let listener = listen().unwrap();
        let settings = Settings {
            node: "node-1".parse().unwrap(),
            hall: "hall-1".parse().unwrap(),
            listen: listener.local_addr().unwrap(),
            entry: peers,
            public: None,
            store: store.address(),
            list: list.address(),
            seeds: Vec::new(),
            spread: Spread::Gossip,
            memory: cottoncrank::Size::megabytes(256),
        };
        let file =
            std::env::temp_dir().join(format!("cottoncrank-entry-{}-{number}.toml", std::process::id()));
        let text = format!(
            "node = \"node-1\"\nlisten = \"{callers}\"\npeer = \"{peers}\"\ncontroller = \"{}\"\n",
            settings.listen
        );
        std::fs::write(&file, text).unwrap();
        let controller = Controller::start(settings, listener, &tokio::runtime::Handle::current()).unwrap();
        let child =
            command.arg("--settings").arg(&file).stdin(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
        let watch = Watch::start(child.id(), ip);
        let script = format!(
            "create account demo token secret\ncreate service prices addresses {}",
            service.address()
        );
        let began = Instant::now();
        while !execute(controller.state(), &script).await.ok {
            assert!(began.elapsed() < WAIT, "the controller takes no command");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let world = World {
            child,
            callers,
            peers,
            watch,
            controller,
            _outside: (store, list, service),
            _ports: ports,
        };
        while world.ask("ordinary").await != 200 {
            assert!(began.elapsed() < WAIT, "the entry does not serve");
        }
        world
    }

    /// Sends a request as an ordinary caller does, again if it is refused, and returns the last status.
    async fn ask(&self, body: &str) -> u16 {
        let length = body.len();
        let text = format!(
            "{}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}",
            format_head("/services/prices/x", "secret")
        );
        ask(self.callers, &text).await
    }

    async fn check_sockets(&mut self, what: &str) {
        self.check(what).await;
        let sockets = self.watch.usage().sockets;
        println!("{what}: {sockets} sockets at the most");
        assert!(sockets <= SOCKETS, "{what}: {sockets} sockets of {SOCKETS}");
    }

    async fn check(&mut self, what: &str) {
        let status = self.ask("ordinary").await;
        let memory = self.watch.usage().memory;
        println!("{what}: {} MB at the most", memory >> 20);
        assert!(matches!(self.child.try_wait(), Ok(None)), "{what}: the process has ended");
        assert_eq!(status, 200, "{what}: an ordinary caller got {status}");
        assert!(memory <= MEMORY_MB << 20, "{what}: {} MB of {MEMORY_MB}", memory >> 20);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait().map(drop)) {
            eprintln!("process {} was not ended: {error}", self.child.id());
        }
    }
}

fn format_head(path: &str, token: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n")
}

/// Lets a crowd send and stay, twice, and checks the process before each has left and after.
async fn play(what: &str, count: usize, message: impl Fn(usize) -> Message) {
    let _one = ONE.lock().await;
    let mut world = World::start().await;
    for crowd in ["first", "second"] {
        let streams = send(world.callers, count, &message).await;
        world.watch.settle().await;
        world.check(&format!("{what}, beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("{what}, after the {crowd} crowd")).await;
    }
}

/// Lets a crowd connect and stay, twice, to a process with few descriptors.
async fn connect(what: &str, port: impl Fn(&World) -> SocketAddr, text: &str) {
    let _one = ONE.lock().await;
    let mut world = World::start_by(limit_descriptors(PROGRAM)).await;
    for crowd in ["first", "second"] {
        let message = |_| Message { once: text.into(), again: "".into(), times: 0 };
        let streams = send(port(&world), CONNECTIONS, message).await;
        world.watch.settle().await;
        world.check_sockets(&format!("{what}, beside the {crowd} crowd")).await;
        drop(streams);
        world.check_sockets(&format!("{what}, after the {crowd} crowd")).await;
    }
}

/// Each has had an answer and is kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_of_callers_that_rest() {
    let text = format!("{}Content-Length: 0\r\n\r\n", format_head("/services/prices/x", "secret"));
    connect("resting callers", |world| world.callers, &text).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_of_callers_on_which_nothing_is_sent() {
    connect("silent callers", |world| world.callers, "").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_at_the_port_for_other_entries() {
    connect("silent entries", |world| world.peers, "").await;
}

/// The entry waits for bodies that it has refused already.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_bodies_that_are_not_sent() {
    let text = format!("{}Content-Length: 4000000\r\n\r\n", format_head("/services/prices/x", "nobody"));
    connect("refused bodies", |world| world.callers, &text).await;
}

/// Heads that stop just short of the longest.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_for_an_entry_that_stop_before_their_end() {
    let text = format!("{}X-Long: {}", format_head("/services/prices/x", "secret"), "x".repeat(30_000));
    connect("long heads", |world| world.callers, &text).await;
}

fn announced(path: &str, token: &str) -> Message {
    let rest = "x".repeat(PIECE - 1);
    let once = format!("{}Content-Length: {BODY_BYTES}\r\n\r\n{rest}", format_head(path, token));
    Message { once: once.into(), again: "x".repeat(PIECE).into(), times: BODY_BYTES / PIECE - 1 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_for_an_entry_that_stop_before_their_last_byte() {
    play("for a service", LARGE, |_| announced("/services/prices/x", "secret")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_for_a_model_that_stop_before_their_last_byte() {
    play("for a model", LARGE, |_| announced("/v1/chat/completions", "secret")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_for_an_entry_with_an_unknown_token() {
    play("an unknown token", LARGE, |_| announced("/services/prices/x", "nobody")).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_for_an_entry_in_chunks_of_one_byte() {
    let many: Arc<str> = "1\r\nx\r\n".repeat(1000).into();
    play("chunks of one byte", SMALL_CHUNKERS, |_| Message {
        once: format!("{}Transfer-Encoding: chunked\r\n\r\n", format_head("/services/prices/x", "secret"))
            .into(),
        again: many.clone(),
        times: SMALL_CHUNKS / 1000,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_for_an_entry_without_end() {
    play("heads without end", 600, |_| Message {
        once: format!("{}X-Long: ", format_head("/services/prices/x", "secret")).into(),
        again: "x".repeat(8000).into(),
        times: 120,
    })
    .await;
}

/// The bytes of a large answer of a service.
const ANSWER_BYTES: usize = 4_000_000;

/// A backend server that answers each request with a large answer.
async fn start_backend() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
        let answer: Arc<str> = (answer + &"x".repeat(ANSWER_BYTES)).into();
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                // Either fails once the entry has closed the connection.
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_of_an_entry_that_nobody_reads() {
    let _one = ONE.lock().await;
    let mut world = World::start().await;
    let backend = start_backend().await;
    let command = format!("create service large addresses {backend}");
    assert!(execute(world.controller.state(), &command).await.ok);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for crowd in ["first", "second"] {
        let message = |_| Message {
            once: format!("{}Content-Length: 0\r\n\r\n", format_head("/services/large/x", "secret")).into(),
            again: "".into(),
            times: 0,
        };
        let streams = send(world.callers, LARGE, message).await;
        world.watch.settle().await;
        world.check(&format!("unread answers, beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("unread answers, after the {crowd} crowd")).await;
    }
}

/// A single caller within the limits is served in calm.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_single_large_body_is_served_by_an_entry_in_calm() {
    let _one = ONE.lock().await;
    let mut world = World::start().await;
    // The service of the stand-in takes no more.
    assert_eq!(world.ask(&"x".repeat(1 << 20)).await, 200);
    world.check("a single body").await;
}
