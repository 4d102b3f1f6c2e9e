//! Model engines: members of replicas. One stand-in runs any number of them on
//! one set of threads, each at an address of its own.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::clock::System;
use cottoncrank::config::Fence;
use cottoncrank::engine::{Fault, Finish, Frame, Generate, Order, Reason, Rejection, Status as Report};
use cottoncrank::{Clock, Millis, id};
use cottoncrank_net::client::{Client, Traffic};
use cottoncrank_net::feed;
use cottoncrank_net::server::{
    self, Answer, Head, Incoming, Server, Service, Status, header, read_body, read_message, reply,
    reply_body_error, reply_feed, reply_json, reply_message, reply_not_found,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

pub use crate::member::{End, History, Obeyance, Taken};
use crate::member::{Engine, RankCall, State};

/// How fast the engines are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Speed {
    /// Loading a model whose weights are held already.
    pub warm: Millis,
    /// Loading a model without a weights store.
    pub cold: Millis,
    /// Reading a prompt, for each thousand characters.
    pub prefill: Millis,
    /// One step of decoding: a token for each running request.
    pub decode: Millis,
    /// Requests in one batch; more wait.
    pub batch: u32,
    /// Requests waiting; more are refused.
    pub queue: u32,
}

impl Default for Speed {
    fn default() -> Speed {
        Speed {
            warm: Millis(100),
            cold: Millis(600),
            prefill: Millis(20),
            decode: Millis(5),
            batch: 64,
            queue: 256,
        }
    }
}

struct Shared {
    clock: System,
    speed: Speed,
    weights: Option<SocketAddr>,
    client: Client,
    engines: BTreeMap<SocketAddr, Arc<Engine>>,
}

/// The HTTP side of the stand-in.
struct Front(Arc<Shared>);

/// The running stand-in.
pub struct Engines {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    _server: Server,
}

/// The text of one token of the answer to a prompt. It tells prompt and place.
pub fn token(prompt: &str, at: u32) -> String {
    format!("{:08x}.{at} ", cottoncrank::hash::hash(prompt.as_bytes()) as u32)
}

/// The whole text of an answer.
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|at| token(prompt, at)).collect()
}

impl Engines {
    /// Starts one engine for each listener with its kind.
    pub fn start(
        listeners: Vec<(TcpListener, Fence)>,
        speed: Speed,
        weights: Option<SocketAddr>,
        workers: usize,
    ) -> io::Result<Engines> {
        let clock = System::new();
        let mut engines = BTreeMap::new();
        let mut addresses = Vec::new();
        let mut sockets = Vec::new();
        for (listener, kind) in listeners {
            let address = listener.local_addr()?;
            let state = Mutex::new(State::born(clock.now()));
            engines.insert(address, Arc::new(Engine { address, kind, state }));
            addresses.push(address);
            sockets.push(listener);
        }
        let client = Client::new(Traffic::default());
        let shared = Arc::new(Shared { clock, speed, weights, client, engines });
        let server = server::serve_many(sockets, workers, Arc::new(Front(shared.clone())))?;
        Ok(Engines { shared, addresses, _server: server })
    }

    /// Where the engines listen, in the order they were given.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Shows this failure at one engine from now on.
    pub fn set_fault(&self, at: usize, fault: Fault) {
        self.engine(at).set_fault(fault, self.shared.clock.now());
    }

    /// Kills an engine: it answers nothing and forgets everything.
    pub fn kill(&self, at: usize) {
        self.engine(at).state.lock().dead = true;
    }

    /// Starts a killed engine again, in a new life.
    pub fn revive(&self, at: usize) {
        let now = self.shared.clock.now();
        let mut state = self.engine(at).state.lock();
        let history = std::mem::take(&mut state.history);
        *state = State { history, ..State::born(now.max(Millis(state.incarnation.0 + 1))) };
    }

    /// The record of one engine.
    pub fn history(&self, at: usize) -> History {
        self.engine(at).state.lock().history.clone()
    }

    /// What one engine would say of itself.
    pub fn status(&self, at: usize) -> Report {
        self.engine(at).state.lock().report()
    }

    fn engine(&self, at: usize) -> &Engine {
        &self.shared.engines[&self.addresses[at]]
    }
}

/// How long the other ranks are trusted after they took part.
const CHECK_EVERY: Millis = Millis(100);

/// How long a rank may take to answer.
const CHECK_WAIT: Millis = Millis(300);

impl Shared {
    async fn order(self: &Arc<Self>, engine: &Arc<Engine>, body: Incoming) -> Answer {
        let order: Order = match read_message(body, 1 << 20).await {
            Ok(order) => order,
            Err(error) => return reply_body_error(&error),
        };
        let (obeyed, load) = {
            let mut state = engine.state.lock();
            let before = state.loads;
            let obeyed = state.obey(&order, engine.kind, self.clock.now());
            let load = (state.loads != before && state.role.is_some()).then_some(state.loads);
            (obeyed, load)
        };
        if let Some(load) = load {
            tokio::spawn(self.clone().load(engine.clone(), load));
        }
        reply_message(&obeyed)
    }

    /// Loads the model of load number `load`, unless a newer order came.
    async fn load(self: Arc<Self>, engine: Arc<Engine>, load: u64) {
        let (model, warm) = {
            let state = engine.state.lock();
            (state.model.clone(), state.warm == state.model)
        };
        match (warm, self.weights) {
            (true, _) => tokio::time::sleep(self.speed.warm.duration()).await,
            (false, None) => tokio::time::sleep(self.speed.cold.duration()).await,
            (false, Some(weights)) => {
                let call = self.client.send(
                    weights,
                    server::Verb::POST,
                    "/load",
                    server::HeaderMap::new(),
                    Bytes::new(),
                    Millis(600_000),
                );
                if let Err(error) = call.await {
                    log::warn!("engine: weights did not come: {error}");
                    return;
                }
            }
        }
        let mut state = engine.state.lock();
        if state.loads == load {
            state.warm = model;
            state.ready = true;
        }
    }

    /// Whether every rank takes part. Rank 0 alone knows.
    async fn is_whole(&self, engine: &Engine, call: &RankCall) -> bool {
        if !engine.takes_part(call) {
            return false;
        }
        let (members, checked) = {
            let state = engine.state.lock();
            (state.members.clone(), state.checked)
        };
        let now = self.clock.now();
        if now.since(checked) < CHECK_EVERY {
            return true;
        }
        let others = members.iter().filter(|member| **member != engine.address);
        let mut asked = tokio::task::JoinSet::new();
        for member in others {
            let (client, member, call) = (self.client.clone(), *member, call.clone());
            asked.spawn(async move {
                client.call::<RankCall, bool>(member, "/rank", &call, CHECK_WAIT).await.unwrap_or(false)
            });
        }
        let whole = asked.join_all().await.into_iter().all(|part| part);
        if whole {
            engine.state.lock().checked = now;
        }
        whole
    }

    async fn generate(self: &Arc<Self>, engine: &Arc<Engine>, body: Incoming) -> Answer {
        let ask: Generate = match read_message(body, 16 << 20).await {
            Ok(ask) => ask,
            Err(error) => return reply_body_error(&error),
        };
        let refuse = |reason| {
            let refusal = Rejection { request: ask.request, generation: ask.generation, reason };
            let mut answer = reply_message(&refusal);
            *answer.status_mut() = Status::CONFLICT;
            answer
        };
        let call = RankCall { group: ask.group.clone(), generation: ask.generation };
        let held = engine.state.lock().role.clone();
        if !held.is_some_and(|role| {
            role.group == ask.group && role.generation == ask.generation && role.rank == 0
        }) {
            return refuse(Reason::Generation);
        }
        if !self.is_whole(engine, &call).await {
            return refuse(Reason::Incomplete);
        }
        let at = {
            let mut state = engine.state.lock();
            if state.running >= self.speed.batch + self.speed.queue {
                return refuse(Reason::Full);
            }
            state.running += 1;
            state.backlog += u64::from(ask.max_tokens);
            let taken =
                Taken { request: ask.request, generation: ask.generation, at: self.clock.now(), end: None };
            state.history.taken.push(taken);
            state.history.taken.len() - 1
        };
        let (sender, answer) = reply_feed(Status::OK, "application/msgpack", 16);
        let (shared, engine) = (self.clone(), engine.clone());
        tokio::spawn(async move {
            let end = shared.stream(&engine, &ask, &call, &sender).await;
            match end {
                End::Whole => sender.finish(),
                End::Cut | End::Left => drop(sender),
            }
            let mut state = engine.state.lock();
            state.running = state.running.saturating_sub(1);
            state.backlog = state.backlog.saturating_sub(u64::from(ask.max_tokens));
            if let Some(taken) = state.history.taken.get_mut(at) {
                taken.end = Some(end);
            }
        });
        answer
    }

    async fn stream(&self, engine: &Engine, ask: &Generate, call: &RankCall, sender: &feed::Sender) -> End {
        let fault = {
            let mut state = engine.state.lock();
            let fault = state.fault;
            state.fault = Fault { paused: fault.paused, slow: fault.slow, ..Fault::default() };
            fault
        };
        let slow = u64::from(fault.slow.max(1));
        let prefill = self.speed.prefill.0 * (ask.prompt.len() as u64).div_ceil(1000) * slow;
        tokio::time::sleep(Millis(prefill + fault.late.0).duration()).await;
        for at in ask.offset..ask.max_tokens {
            let queued = engine.state.lock().running > self.speed.batch;
            let step = self.speed.decode.0 * slow * if queued { 2 } else { 1 };
            tokio::time::sleep(Millis(step).duration()).await;
            engine.hold().await;
            if !self.is_whole(engine, call).await {
                return End::Cut;
            }
            let last = at + 1 == ask.max_tokens;
            if fault.truncated && (last || at > ask.offset + 2) {
                return End::Cut;
            }
            let frame = Frame {
                request: id::Request(ask.request.0 ^ u64::from(fault.crossed)),
                generation: ask.generation,
                offset: at,
                text: token(&ask.prompt, at),
                tokens: 1,
                finish: last.then_some(Finish::Length),
            };
            let bytes = encode_frame(&frame);
            let copies = 1 + usize::from(fault.doubled);
            for _ in 0..copies {
                if sender.send(bytes.clone()).await.is_err() {
                    return End::Left;
                }
            }
        }
        End::Whole
    }
}

/// A frame with its length in front, four bytes, big end first.
fn encode_frame(frame: &Frame) -> Bytes {
    // Encoding plain data into memory has no way to fail.
    let body = rmp_serde::to_vec(frame).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes.into()
}

impl Service for Front {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        let shared = &self.0;
        let host = head.headers().get(header::HOST).and_then(|host| host.to_str().ok()?.parse().ok());
        let Some(engine) = host.and_then(|host: SocketAddr| shared.engines.get(&host)) else {
            return reply_not_found();
        };
        let path = head.uri().path();
        if !path.starts_with("/admin/") {
            engine.hold().await;
        }
        match path {
            "/status" => reply_message(&engine.state.lock().report()),
            "/order" => shared.order(engine, body).await,
            "/generate" => shared.generate(engine, body).await,
            "/rank" => match read_message::<RankCall>(body, 4096).await {
                Ok(call) => reply_message(&engine.takes_part(&call)),
                Err(error) => reply_body_error(&error),
            },
            "/admin/history" => reply_json(Status::OK, &engine.state.lock().history),
            "/admin/fault" => match read_body(body, 4096).await.map(|bytes| serde_json::from_slice(&bytes)) {
                Ok(Ok(fault)) => {
                    engine.set_fault(fault, shared.clock.now());
                    reply_json(Status::OK, &fault)
                }
                Ok(Err(error)) => reply(Status::BAD_REQUEST, "text/plain", error.to_string()),
                Err(error) => reply_body_error(&error),
            },
            _ => reply_not_found(),
        }
    }
}
