//! The platform's key-value service: revisions, compare-and-swap, leases and
//! watches, with a rate, a count of every call, and the failures it is known for.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use cottoncrank::clock::System;
use cottoncrank::wire::{Answer, Call, MAX_VALUE_BYTES, Value};
use cottoncrank::{Clock, Millis};
use cottoncrank_net::server::{
    self, Head, Incoming, Server, Service, Status, read_body, read_message, reply, reply_body_error,
    reply_feed, reply_json, reply_message, reply_not_found,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// What goes wrong at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Every call fails at once.
    pub down: bool,
    /// Every call is held this long first.
    pub slow: Millis,
    /// This many writes take effect and are not answered.
    pub lose: u32,
    /// Calls a second; zero for no limit.
    pub rate: u32,
}

/// Calls so far. A waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads.
    pub gets: u64,
    /// Writes, won or lost.
    pub swaps: u64,
    /// Watches.
    pub watches: u64,
    /// Leases opened or kept.
    pub leases: u64,
    /// Calls refused because the rate was spent or the store was down.
    pub refused: u64,
}

impl Calls {
    /// All calls.
    pub fn total(&self) -> u64 {
        self.gets + self.swaps + self.watches + self.leases + self.refused
    }
}

struct Lease {
    until: Millis,
    ttl: Millis,
    keys: Vec<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    values: BTreeMap<String, Value>,
    leases: BTreeMap<u64, Lease>,
    fault: Fault,
    calls: Calls,
    recent: VecDeque<Millis>,
}

/// Whether answers to reads are held back, and how many are at present.
#[derive(Clone, Copy, Debug, Default)]
struct Gate {
    closed: bool,
    held: usize,
}

struct Shared {
    clock: System,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    gate: watch::Sender<Gate>,
}

/// The running stand-in.
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Starts it.
    pub fn start(listener: TcpListener) -> io::Result<Store> {
        let (changed, _) = watch::channel(0);
        let (gate, _) = watch::channel(Gate::default());
        let shared = Arc::new(Shared { clock: System::new(), state: Mutex::default(), changed, gate });
        let server = server::serve(listener, 2, shared.clone())?;
        Ok(Store { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shows this failure from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.state.lock().fault = fault;
    }

    /// The calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.state.lock().calls
    }

    /// Puts a key back to what it once was, as a restored backup would.
    pub fn restore(&self, key: &str, bytes: Vec<u8>) {
        let mut state = self.shared.state.lock();
        state.revision += 1;
        let revision = state.revision;
        state.values.insert(key.to_owned(), Value { revision, bytes });
        self.shared.changed.send_replace(revision);
    }

    /// From now on the answers to reads are made and then held back.
    pub fn hold_reads(&self) {
        self.shared.gate.send_modify(|gate| gate.closed = true);
    }

    /// Waits until at least one answer is held back.
    pub async fn wait_held(&self) {
        // The sender lives as long as `self`, so the wait ends only as wished.
        let _ = self.shared.gate.subscribe().wait_for(|gate| gate.held > 0).await;
    }

    /// Gives the answers that were held back, and holds no more.
    pub fn release_reads(&self) {
        self.shared.gate.send_modify(|gate| gate.closed = false);
    }

    /// A key's value.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.shared.state.lock().values.get(key).cloned()
    }
}

impl State {
    fn is_over_rate(&mut self, now: Millis) -> bool {
        let rate = self.fault.rate as usize;
        if rate == 0 {
            return false;
        }
        while self.recent.front().is_some_and(|at| now.since(*at) >= Millis(1000)) {
            self.recent.pop_front();
        }
        if self.recent.len() >= rate {
            self.calls.refused += 1;
            return true;
        }
        self.recent.push_back(now);
        false
    }

    fn expire(&mut self, now: Millis) {
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in over {
            let Some(lease) = self.leases.remove(&id) else { continue };
            for key in lease.keys {
                self.values.remove(&key);
            }
        }
    }

    fn swap(&mut self, key: String, expect: u64, bytes: Vec<u8>, lease: Option<u64>) -> Answer {
        self.calls.swaps += 1;
        if bytes.len() > MAX_VALUE_BYTES {
            return Answer::TooLarge;
        }
        let present = self.values.get(&key);
        if present.map_or(0, |value| value.revision) != expect {
            return Answer::Conflict(present.cloned());
        }
        if let Some(id) = lease {
            let Some(lease) = self.leases.get_mut(&id) else { return Answer::NoLease };
            lease.keys.push(key.clone());
        }
        self.revision += 1;
        self.values.insert(key, Value { revision: self.revision, bytes });
        Answer::Swapped(self.revision)
    }

    fn lease(&mut self, lease: Option<u64>, ttl: Millis, now: Millis) -> Answer {
        self.calls.leases += 1;
        let Some(id) = lease else {
            self.revision += 1;
            self.leases.insert(self.revision, Lease { until: now + ttl, ttl, keys: Vec::new() });
            return Answer::Leased(self.revision);
        };
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = now + lease.ttl;
                Answer::Leased(id)
            }
            None => Answer::NoLease,
        }
    }
}

impl Shared {
    async fn watch(&self, key: String, above: u64, wait: Millis) -> Answer {
        let end = self.clock.now() + wait;
        let mut changes = self.changed.subscribe();
        loop {
            let found = {
                let mut state = self.state.lock();
                state.expire(self.clock.now());
                state.values.get(&key).filter(|value| value.revision > above).cloned()
            };
            let left = end.since(self.clock.now());
            if found.is_some() || left == Millis(0) {
                return Answer::Value(found);
            }
            // Either a change or the end of the wait: both are looked at above.
            let _ = tokio::time::timeout(left.duration(), changes.changed()).await;
        }
    }

    fn get(&self, key: &str) -> Answer {
        let mut state = self.state.lock();
        state.calls.gets += 1;
        state.expire(self.clock.now());
        Answer::Value(state.values.get(key).cloned())
    }

    async fn pass_gate(&self) {
        if !self.gate.borrow().closed {
            return;
        }
        self.gate.send_modify(|gate| gate.held += 1);
        // The sender lives as long as `self`, so the wait ends only as wished.
        let _ = self.gate.subscribe().wait_for(|gate| !gate.closed).await;
        self.gate.send_modify(|gate| gate.held -= 1);
    }

    async fn call(&self, call: Call) -> Answer {
        match call {
            Call::Get { key } => {
                let answer = self.get(&key);
                self.pass_gate().await;
                answer
            }
            Call::Swap { key, expect, value, lease } => {
                let mut state = self.state.lock();
                state.expire(self.clock.now());
                let answer = state.swap(key, expect, value, lease);
                if let Answer::Swapped(revision) = answer {
                    self.changed.send_replace(revision);
                }
                answer
            }
            Call::Watch { key, above, wait } => {
                self.state.lock().calls.watches += 1;
                self.watch(key, above, wait).await
            }
            Call::Lease { lease, ttl } => {
                let mut state = self.state.lock();
                let now = self.clock.now();
                state.expire(now);
                state.lease(lease, ttl, now)
            }
        }
    }

    async fn answer_call(&self, body: Incoming) -> server::Answer {
        let call: Call = match read_message(body, 2 * MAX_VALUE_BYTES).await {
            Ok(call) => call,
            Err(error) => return reply_body_error(&error),
        };
        let (fault, over) = {
            let mut state = self.state.lock();
            let over = state.is_over_rate(self.clock.now());
            (state.fault, over)
        };
        if fault.slow > Millis(0) {
            tokio::time::sleep(fault.slow.duration()).await;
        }
        if fault.down {
            self.state.lock().calls.refused += 1;
            return reply(Status::SERVICE_UNAVAILABLE, "text/plain", "down\n");
        }
        if over {
            return reply_message(&Answer::Busy);
        }
        let answer = self.call(call).await;
        if matches!(answer, Answer::Swapped(_)) && self.lose_answer() {
            return cut();
        }
        reply_message(&answer)
    }

    fn lose_answer(&self) -> bool {
        let mut state = self.state.lock();
        let lose = state.fault.lose > 0;
        state.fault.lose -= u32::from(lose);
        lose
    }
}

/// An answer that breaks off at once.
fn cut() -> server::Answer {
    reply_feed(Status::OK, "application/msgpack", 1).1
}

impl Service for Shared {
    async fn answer(&self, head: Head, body: Incoming) -> server::Answer {
        match head.uri().path() {
            "/kv" => self.answer_call(body).await,
            "/admin/calls" => reply_json(Status::OK, &self.state.lock().calls),
            "/admin/fault" => match read_body(body, 4096).await.map(|bytes| serde_json::from_slice(&bytes)) {
                Ok(Ok(fault)) => {
                    self.state.lock().fault = fault;
                    reply_json(Status::OK, &fault)
                }
                Ok(Err(error)) => reply(Status::BAD_REQUEST, "text/plain", error.to_string()),
                Err(error) => reply_body_error(&error),
            },
            _ => reply_not_found(),
        }
    }
}
