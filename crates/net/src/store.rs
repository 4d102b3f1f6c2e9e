//! The client of the platform's key-value service.
//!
//! Every call first takes a token from this node's share of the rate limit of the whole fleet. A write
//! whose answer is lost is reported as [`StoreError::Unknown`]: the caller has to read the key again and
//! look for its own proposal in it.

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::Clock;
use cottoncrank::Millis;
use cottoncrank::budget::{Bucket, Purpose};
use cottoncrank::clock::System;
use cottoncrank::wire::{Answer, Call, Value};
use parking_lot::Mutex;
use thiserror::Error;

use crate::client::{CallError, Client};

/// The timeout of a call.
const CALL_TIMEOUT: Millis = Millis(2000);

/// How much longer a watch may take than the wait that it asks for.
const WATCH_SLACK: Millis = Millis(2000);

/// How long a call waits for a token of this node's share of the rate limit.
const BUDGET_TIMEOUT: Millis = Millis(3000);

/// The interval at which a waiting call tries to take a token.
const BUDGET_POLL_INTERVAL: Millis = Millis(20);

/// The error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// This node has used up its share of the rate limit.
    #[error("this node's share of the store's rate limit is used up")]
    Budget,
    /// The store did not answer. A read failed, and a write was certainly not sent.
    #[error("the store cannot be reached: {0}")]
    Unreachable(CallError),
    /// The store did not answer a write that may have taken effect.
    #[error("the outcome of the write is unknown: {0}")]
    Unknown(CallError),
    /// The store rejects calls for now.
    #[error("the store is busy")]
    Busy,
    /// The value is larger than the store accepts.
    #[error("the value has {0} bytes, more than the store accepts")]
    TooLarge(usize),
    /// The answer is not of the kind that belongs to the call.
    #[error("the answer of the store does not match the call")]
    Answer,
}

/// The result of a compare-and-swap that was answered.
#[derive(Debug, PartialEq)]
pub enum Swap {
    /// It took effect at this revision.
    Done(u64),
    /// The key was at another revision. Holds its current value, if any.
    Conflict(Option<Value>),
}

/// The number of calls to the store, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads.
    pub gets: u64,
    /// Writes.
    pub swaps: u64,
    /// Watches; each wait counts as one call.
    pub watches: u64,
}

/// A client of the store, shared by all tasks of a node.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    client: Client,
    clock: System,
    state: Arc<Mutex<State>>,
}

struct State {
    bucket: Bucket,
    operators: Bucket,
    calls: Calls,
}

impl Store {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr, client: Client, clock: System) -> Store {
        let state = State {
            bucket: Bucket::new(1, clock.now()),
            operators: Bucket::for_operators(clock.now()),
            calls: Calls::default(),
        };
        Store { address, client, clock, state: Arc::new(Mutex::new(state)) }
    }

    /// Sets the number of nodes among which the rate limit is divided.
    pub fn set_nodes(&self, nodes: usize) {
        self.state.lock().bucket.set_nodes(nodes);
    }

    /// Returns the number of calls made so far.
    pub fn calls(&self) -> Calls {
        self.state.lock().calls
    }

    /// Waits until this node's share of the rate limit allows a call, and counts the call.
    async fn acquire_budget(&self, purpose: Purpose, count: impl Fn(&mut Calls)) -> Result<(), StoreError> {
        let deadline = self.clock.now() + BUDGET_TIMEOUT;
        loop {
            {
                let mut state = self.state.lock();
                let bucket = match purpose {
                    Purpose::Operator => &mut state.operators,
                    _ => &mut state.bucket,
                };
                if bucket.acquire(purpose, self.clock.now()) {
                    count(&mut state.calls);
                    return Ok(());
                }
            }
            if self.clock.now() >= deadline {
                return Err(StoreError::Budget);
            }
            tokio::time::sleep(BUDGET_POLL_INTERVAL.duration()).await;
        }
    }

    async fn send_call(&self, call: &Call, wait: Millis) -> Result<Answer, CallError> {
        self.client.call(self.address, "/kv", call, wait).await
    }

    /// Reads a key.
    pub async fn get(&self, key: &str, purpose: Purpose) -> Result<Option<Value>, StoreError> {
        self.acquire_budget(purpose, |calls| calls.gets += 1).await?;
        let call = Call::Get { key: key.to_owned() };
        match self.send_call(&call, CALL_TIMEOUT).await.map_err(StoreError::Unreachable)? {
            Answer::Value(value) => Ok(value),
            Answer::Busy => Err(StoreError::Busy),
            _ => Err(StoreError::Answer),
        }
    }

    /// Writes a key if it is at revision `expect`. Zero stands for a key that must not exist.
    pub async fn swap(
        &self,
        key: &str,
        expect: u64,
        value: Vec<u8>,
        purpose: Purpose,
    ) -> Result<Swap, StoreError> {
        self.acquire_budget(purpose, |calls| calls.swaps += 1).await?;
        let size = value.len();
        let call = Call::Swap { key: key.to_owned(), expect, value, lease: None };
        match self.send_call(&call, CALL_TIMEOUT).await {
            Ok(Answer::Swapped(revision)) => Ok(Swap::Done(revision)),
            Ok(Answer::Conflict(value)) => Ok(Swap::Conflict(value)),
            Ok(Answer::Busy) => Err(StoreError::Busy),
            Ok(Answer::TooLarge) => Err(StoreError::TooLarge(size)),
            Ok(_) => Err(StoreError::Answer),
            Err(error) if error.is_unsent() => Err(StoreError::Unreachable(error)),
            Err(error) => Err(StoreError::Unknown(error)),
        }
    }

    /// Waits until the revision of a key is above `above`. Returns none if that takes longer than `wait`.
    pub async fn watch(&self, key: &str, above: u64, wait: Millis) -> Result<Option<Value>, StoreError> {
        self.acquire_budget(Purpose::Config, |calls| calls.watches += 1).await?;
        let call = Call::Watch { key: key.to_owned(), above, wait };
        match self.send_call(&call, wait + WATCH_SLACK).await.map_err(StoreError::Unreachable)? {
            Answer::Value(value) => Ok(value),
            Answer::Busy => Err(StoreError::Busy),
            _ => Err(StoreError::Answer),
        }
    }
}
