//! Clients that don't behave, and a box of little memory that meets them: a process of the node's program,
//! before a runner that answers when it is told to.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cottoncrank_fleet::position::Position;
use cottoncrank_node::peer::ChangeBatch;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, read_to_end};
use cottoncrank_platform_standin::operator::{PLAIN, READ, add_route, config};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::settings::{self, Settings};
use cottoncrank_platform_standin::store::Store;
use cottoncrank_standin::crowd::{Usage, Watch};
use cottoncrank_standin::port::Port;
use parking_lot::Mutex;
use rand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The key of the account.
pub const KEY: &str = "key-1";

/// The memory of the box, in MB: a third of that of a small one.
pub const MEMORY_MB: usize = 96;

/// The descriptors of a process there, and how many of them are kept for files.
pub const DESCRIPTORS: usize = 500;
const FILES: usize = 200;

/// The largest body of a request, in bytes: that of the platform's configurations.
pub const BODY_BYTES: usize = 4 << 20;

/// The largest answer that a node reads.
pub const ANSWER_BYTES: usize = 4_000_000;

/// How long something that has to come is waited for. It bounds a test that hangs and is no limit under test.
const WAIT: Duration = Duration::from_secs(60);

/// How long a configuration takes to be in force, and more.
const CONFIG_TIME: Duration = Duration::from_secs(3);

/// How often an ordinary caller tries, and its pause where it is told none.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(300);

/// Numbers the boxes of this process, so that each has an address of its own.
static BOXES: AtomicUsize = AtomicUsize::new(0);

/// A process of the node's program, which ends with this.
pub struct Process {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    folder: PathBuf,
    _ports: [Port; 3],
}

/// A box with all that it needs.
pub struct World {
    pub process: Process,
    pub runner: Held,
    pub watch: Watch,
    config: Value,
    store: Store,
    _runners: Vec<Runner>,
}

/// A runner that reads requests whole, and answers them once it is released.
#[derive(Clone)]
pub struct Held {
    pub address: SocketAddr,
    /// The ids of the requests that it has read.
    pub seen: Arc<Mutex<Vec<String>>>,
    /// The bytes of its answers' bodies, and the number of parts that these come in.
    pub answer_bytes: Arc<AtomicUsize>,
    pub events: Arc<AtomicUsize>,
    released: Arc<watch::Sender<bool>>,
}

impl Held {
    async fn start() -> Held {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let held = Held {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            answer_bytes: Arc::new(AtomicUsize::new(5)),
            events: Arc::new(AtomicUsize::new(1)),
            released: Arc::new(watch::Sender::new(true)),
        };
        let runner = held.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let runner = runner.clone();
                tokio::spawn(async move { runner.serve(stream).await });
            }
        });
        held
    }

    /// Answers at once from now on, or holds all answers back.
    pub fn release(&self, released: bool) {
        self.released.send_replace(released);
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let Some((head, read)) = read_head(&mut stream).await? else { return Ok(()) };
        let length = find_length(&head);
        discard(&mut stream, length.saturating_sub(read.len())).await?;
        let Some(id) = raw::find_request_id(&head) else {
            return stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await;
        };
        self.seen.lock().push(id.clone());
        let mut released = self.released.subscribe();
        // The sender lives as long as this runner.
        let _ = released.wait_for(|released| *released).await;
        let events = self.events.load(Ordering::Relaxed);
        let data = "x".repeat(self.answer_bytes.load(Ordering::Relaxed) / events);
        let event = |event| format!("id: {event}\ndata: {data}\n\n");
        let body = if events > 1 { (0..events).map(event).collect() } else { data.clone() };
        let head = raw::format_open_head(&id) + &format!("Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await
    }
}

/// Reads a head. Returns it with what was read behind it.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<(String, Vec<u8>)>> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let read = stream.read(&mut buffer).await?;
        bytes.extend_from_slice(&buffer[..read]);
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(at + 4);
            return Ok(Some((String::from_utf8_lossy(&bytes).into_owned(), rest)));
        }
        if read == 0 {
            return Ok(None);
        }
    }
}

fn find_length(head: &str) -> usize {
    let lines = head.lines().map(str::to_ascii_lowercase);
    lines.filter_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok()).next().unwrap_or(0)
}

async fn discard(stream: &mut TcpStream, mut left: usize) -> io::Result<()> {
    let mut buffer = vec![0; 65_536];
    while left > 0 {
        match stream.read(&mut buffer).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => left = left.saturating_sub(read),
        }
    }
    Ok(())
}

impl Process {
    fn start(store: SocketAddr) -> Process {
        let number = BOXES.fetch_add(1, Ordering::Relaxed);
        let second = (2 + std::process::id() % 250) as u8;
        let ip = IpAddr::V4(Ipv4Addr::new(127, second, 250, (number % 250 + 1) as u8));
        let ports = [(); 3].map(|()| Port::find(ip).unwrap());
        let [callers, ready, peers] = ports.each_ref().map(|port| port.address);
        let settings = settings::render(&Settings {
            node: "node-0".to_owned(),
            hall: "hall-a".to_owned(),
            callers,
            ready,
            peers,
            store,
            apply_ms: 4000,
            revoke_ms: 5000,
            grace_s: 4.0,
            stall_ms: 2000,
            evacuate_ms: 5000,
            ceiling_window_s: 1.0,
            ceiling_overshoot: 1.0,
        });
        let limits = format!("[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {DESCRIPTORS}\n");
        let folder = std::env::temp_dir().join(format!("cottoncrank-crowd-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("node.toml"), settings + &limits).unwrap();
        let log = fs::File::create(folder.join("node.log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cottoncrank-node"))
            .env("COTTONCRANK_CONFIG", folder.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Process { child, callers, ready, peers, folder, _ports: ports }
    }

    /// The address of its metrics.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.peers.ip(), cottoncrank_node::telemetry::PORT)
    }

    fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.child.kill().and_then(|()| self.child.wait().map(drop)) {
            eprintln!("process {} was not ended: {error}", self.child.id());
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl World {
    /// Starts everything, and returns once the box serves.
    pub async fn start() -> World {
        let store = Store::start().unwrap();
        let runner = Held::start().await;
        let runners = vec![Runner::start(&store, "p-0", PLAIN, "hall-a", None).unwrap()];
        runners[0].advertise(runner.address);
        let mut config = config(1, &[KEY]);
        config["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(60_000);
            route["service"] = json!(PLAIN);
        }
        store.configure(&config);
        let process = Process::start(store.address());
        let watch = Watch::start(process.child.id(), process.callers.ip());
        let world = World { process, runner, watch, config, store, _runners: runners };
        let began = Instant::now();
        while world.ask().await.status != 200 {
            assert!(began.elapsed() < WAIT, "the box does not serve");
        }
        world
    }

    /// Sends an ordinary request as an ordinary caller does: it comes again where it was refused or not read.
    pub async fn ask(&self) -> Answer {
        static REQUESTS: AtomicU64 = AtomicU64::new(0);
        let mut last = Answer::default();
        for _ in 0..TRIES {
            let id = format!("ordinary-{}", REQUESTS.fetch_add(1, Ordering::Relaxed));
            let request = CallerRequest {
                path: READ,
                request: &id,
                key: KEY,
                deadline_ms: WAIT.as_millis() as u64,
                body: "hello",
                prompt: "",
            };
            let answered = tokio::time::timeout(WAIT, request.send(self.process.callers)).await;
            last = answered.expect("a caller waits for good").unwrap_or_default();
            if last.status == 200 {
                return last;
            }
            let told = last.header("retry-after").and_then(|seconds| seconds.parse().ok());
            tokio::time::sleep(told.map_or(PAUSE, Duration::from_secs_f64)).await;
        }
        last
    }

    /// Adds routes that nobody uses to the configuration, and returns once it is in force.
    pub async fn add_routes(&self, count: usize) {
        let mut config = self.config.clone();
        config["version"] = json!(2);
        for number in 0..count {
            let name: u128 = rand::rng().random();
            add_route(&mut config, &format!("{number}-{name:032x}"), &format!("/{name:032x}/"));
        }
        self.store.configure(&config);
        tokio::time::sleep(CONFIG_TIME).await;
    }

    /// Sends a poll to the port for other boxes, again if it is refused, and returns the answer's body.
    async fn poll(&self, message: &[u8]) -> Vec<u8> {
        for _ in 0..TRIES {
            let polling = async {
                let mut stream = TcpStream::connect(self.process.peers).await?;
                stream.write_all(message).await?;
                let Some((head, mut body)) = read_head(&mut stream).await? else { return Ok(Vec::new()) };
                let mut rest = vec![0; find_length(&head).saturating_sub(body.len())];
                stream.read_exact(&mut rest).await?;
                body.extend(rest);
                Ok::<_, io::Error>(if head.contains(" 200 ") { body } else { Vec::new() })
            };
            let polled = tokio::time::timeout(WAIT, polling).await.expect("a box waits for good");
            let body = polled.unwrap_or_default();
            if !body.is_empty() {
                return body;
            }
            tokio::time::sleep(PAUSE).await;
        }
        Vec::new()
    }

    /// Asserts that another box is answered.
    pub async fn check_poll(&self, message: &[u8], when: &str) {
        assert!(!self.poll(message).await.is_empty(), "{when}: another box gets no answer");
    }

    /// Returns the position of the store as the box knows it.
    pub async fn read_position(&self, message: &[u8]) -> Position {
        let body = self.poll(message).await;
        rmp_serde::from_slice::<ChangeBatch>(&body).unwrap().position
    }

    /// Asserts that the process lives, that it has stayed within its box, and that it answers an ordinary
    /// caller.
    pub async fn check(&mut self, what: &str) {
        assert!(self.process.is_alive(), "{what}: the process has ended");
        let answer = self.ask().await;
        let usage = self.watch.usage();
        println!("{what}: {} MB, {} sockets at the most", usage.memory >> 20, usage.sockets);
        assert_eq!(answer.status, 200, "{what}: an ordinary caller got {answer:?}");
        assert!(answer.is_signed(answer.header("x-cottoncrank-request-id").unwrap()), "{what}: {answer:?}");
        assert!(self.process.is_alive(), "{what}: the process has ended");
        let Usage { memory, sockets } = usage;
        assert!(memory <= MEMORY_MB << 20, "{what}: {} MB of {MEMORY_MB}", memory >> 20);
        assert!(sockets <= DESCRIPTORS - FILES, "{what}: {sockets} sockets of {}", DESCRIPTORS - FILES);
    }
}

/// Returns the head of a request, up to what tells the extent of its body.
pub fn format_head(id: &str, path: &str, key: &str) -> String {
    format!(
        "POST {path}x HTTP/1.1\r\nHost: models.example\r\nX-Cottoncrank-Request-Id: {id}\r\n\
         X-Cottoncrank-Deadline-Ms: 60000\r\nAuthorization: Bearer {key}\r\n"
    )
}

/// Reads what the clients of a crowd are answered. Those that are told nothing count as status 0.
pub async fn read_answers(streams: Vec<TcpStream>) -> Vec<Answer> {
    let mut reading = JoinSet::new();
    for mut stream in streams {
        reading.spawn(async move {
            let read = tokio::time::timeout(WAIT, read_to_end(&mut stream)).await;
            read.expect("a caller is neither answered nor closed")
        });
    }
    reading.join_all().await
}
