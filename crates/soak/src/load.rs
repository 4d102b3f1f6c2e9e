//! Callers of one node each, which note what they see: some keep a connection, some open one for each request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, Connection, read_to_end};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The pause between two requests of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 10..60;

/// How long a caller waits for an answer: as long as it says, and a little more.
const WAIT: Millis = Millis(7000);

/// The pause between two requests on new connections, in milliseconds; none waits for the one before.
const NEW_PAUSE: std::ops::Range<u64> = 50..150;

/// The time that a request says its caller has, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 6000;

/// How long a caller waits for a connection, and before it tries again.
const CONNECT: Millis = Millis(500);

/// What a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream of events.
    Stream,
    /// A plain answer; the request may run again.
    Read,
    /// A plain answer; the request runs at most once.
    Once,
}

impl Kind {
    /// The path of its route.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Stream => STREAM,
            Kind::Read => READ,
            Kind::Once => ONCE,
        }
    }
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// What was wanted.
    pub kind: Kind,
    /// The node it went to.
    pub node: usize,
    /// Which life of that node.
    pub life: u32,
    /// Which of the account's keys it carried.
    pub key: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its last byte was sent; it never was if there was no connection.
    pub whole: Option<Instant>,
    /// Whether it was the only one on its connection.
    pub is_new: bool,
    /// When the answer was over.
    pub done: Instant,
    /// The answer; none came within the time if there is none.
    pub answer: Option<Answer>,
}

/// What callers are told from outside.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The keys there have been.
    pub keys: Vec<String>,
    /// How many times each node was started.
    pub lives: Vec<u32>,
    /// Whether callers are to end.
    pub over: bool,
}

/// One caller.
pub struct Caller {
    /// Its number.
    pub number: usize,
    /// The node it asks, and where that is.
    pub node: (usize, SocketAddr),
    /// The seed of what it asks for.
    pub seed: u64,
    /// What it is told.
    pub hint: watch::Receiver<Hint>,
    /// Where it notes what it saw.
    pub calls: Arc<Mutex<Vec<Call>>>,
}

impl Caller {
    /// Asks over one connection at a time until told to end.
    pub async fn run(self) {
        let mut rng = self.start_draws();
        let mut connection: Option<Connection> = None;
        let mut count = 0;
        while !self.hint.borrow().over {
            tokio::time::sleep(Millis(rng.random_range(PAUSE)).duration()).await;
            let open = connection.take().filter(Connection::is_open);
            let Some(mut open) = (match open {
                Some(open) => Some(open),
                None => connect(self.node.1).await,
            }) else {
                continue;
            };
            count += 1;
            let call = self.ask(&mut open, count, &mut rng).await;
            // A request without an answer in time is given up with its connection.
            connection = call.answer.is_some().then_some(open);
            self.calls.lock().push(call);
        }
    }

    /// Asks on a new connection for each request until told to end.
    pub async fn run_new(self) {
        let mut rng = self.start_draws();
        let mut asking = JoinSet::new();
        let mut count = 0;
        while !self.hint.borrow().over {
            tokio::time::sleep(Millis(rng.random_range(NEW_PAUSE)).duration()).await;
            count += 1;
            let (request, calls) = (self.draw(count, &mut rng), self.calls.clone());
            let to = self.node.1;
            asking.spawn(async move {
                let call = request.send_new(to).await;
                calls.lock().push(call);
            });
            while asking.try_join_next().is_some() {}
        }
        asking.join_all().await;
    }

    fn start_draws(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.wrapping_add(self.number as u64))
    }

    fn draw(&self, count: usize, rng: &mut SmallRng) -> Drawn {
        let (keys, life) = {
            let hint = self.hint.borrow();
            (hint.keys.clone(), hint.lives[self.node.0])
        };
        // Now and then with an old key, which may have been taken away.
        let newest = keys.len() - 1;
        let number = if rng.random_range(0..8) == 0 { rng.random_range(0..=newest) } else { newest };
        let kind = [Kind::Stream, Kind::Stream, Kind::Read, Kind::Once][rng.random_range(0..4)];
        let id = format!("c{}-{count}", self.number);
        Drawn { id, kind, node: self.node.0, life, key: (number, keys[number].clone()) }
    }

    async fn ask(&self, open: &mut Connection, count: usize, rng: &mut SmallRng) -> Call {
        let drawn = self.draw(count, rng);
        let sent = Instant::now();
        let asked = open.send_request(drawn.kind.path(), &drawn.id, &drawn.key.1);
        let answer = tokio::time::timeout(WAIT.duration(), asked).await.ok();
        drawn.note(sent, Some(sent), answer)
    }
}

/// A request that is about to be sent.
struct Drawn {
    id: String,
    kind: Kind,
    node: usize,
    life: u32,
    /// The key's number, and the key.
    key: (usize, String),
}

impl Drawn {
    fn note(self, sent: Instant, whole: Option<Instant>, answer: Option<Answer>) -> Call {
        let Drawn { id, kind, node, life, key } = self;
        Call { id, kind, node, life, key: key.0, sent, whole, is_new: false, done: Instant::now(), answer }
    }

    /// Sends it on a connection of its own.
    async fn send_new(self, to: SocketAddr) -> Call {
        let sent = Instant::now();
        let stream = tokio::time::timeout(CONNECT.duration(), self.write(to)).await;
        let Ok(Ok(mut stream)) = stream else {
            return Call { is_new: true, ..self.note(sent, None, None) };
        };
        let whole = Instant::now();
        let answer = tokio::time::timeout(WAIT.duration(), read_to_end(&mut stream)).await.ok();
        Call { is_new: true, ..self.note(sent, Some(whole), answer) }
    }

    async fn write(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(to).await?;
        let request = CallerRequest {
            path: self.kind.path(),
            request: &self.id,
            key: &self.key.1,
            deadline_ms: DEADLINE_MS,
            body: &self.id,
            prompt: "",
        };
        stream.write_all(request.format().as_bytes()).await?;
        Ok(stream)
    }
}

/// Sends a request on a connection of its own. Returns whether it got a whole success within `wait`.
pub(crate) async fn send_new(
    to: SocketAddr,
    path: &'static str,
    request: &str,
    key: &str,
    wait: Duration,
) -> bool {
    let deadline_ms = wait.as_millis() as u64;
    let request = CallerRequest { path, request, key, deadline_ms, body: request, prompt: "" };
    let asked = tokio::time::timeout(wait, request.send(to)).await;
    asked.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200 && answer.complete))
}

async fn connect(to: SocketAddr) -> Option<Connection> {
    let made = tokio::time::timeout(CONNECT.duration(), Connection::open(to)).await;
    let open = made.ok().and_then(Result::ok);
    if open.is_none() {
        tokio::time::sleep(CONNECT.duration()).await;
    }
    open
}
