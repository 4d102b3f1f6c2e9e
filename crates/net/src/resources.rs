//! The account of what callers fill of this process, which all its doors share. What goes and who stays is
//! decided by [`cottoncrank::resources`].
//!
//! Memory is charged with [`Slot::charge`] and released when the [`Charge`] is dropped, so it is freed on every
//! end of a request: answered, refused, cut, or dropped with its connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use cottoncrank::clock::System;
use cottoncrank::resources::{Door, Eviction, Id, Kind, Limits, Machine, Short, Shortage, Table};
use cottoncrank::{Clock, Millis, Size};
use parking_lot::Mutex;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// The unit in which the memory of answers is divided.
const ANSWER_UNIT: Size = Size::kilobytes(1);

/// The account of a process.
#[derive(Clone, Debug)]
pub struct Resources(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: System,
    state: Mutex<State>,
    answers: Arc<Semaphore>,
    answer_units: usize,
    outbound: Arc<Semaphore>,
}

#[derive(Debug)]
struct State {
    table: Table,
    /// Tells the tasks of connections that they have to go.
    signals: HashMap<Id, watch::Sender<Option<Shortage>>>,
    /// The connections that were told to go.
    evictions: u64,
}

impl State {
    fn signal(&mut self, evicted: &[Eviction]) {
        for (id, shortage) in evicted {
            self.evictions += 1;
            count_eviction(*shortage);
            if let Some(signal) = self.signals.get(id) {
                signal.send_replace(Some(*shortage));
            }
        }
    }
}

/// Counts a connection that was told to go.
fn count_eviction(shortage: Shortage) {
    let of = match shortage {
        Shortage::Memory => "memory",
        Shortage::Descriptors => "descriptors",
    };
    metrics::counter!("cottoncrank_connections_evicted_total", "shortage" => of).increment(1);
}

/// An open connection of the account. Dropping it closes it there.
#[derive(Debug)]
pub struct Slot {
    resources: Resources,
    id: Id,
    evicted: watch::Receiver<Option<Shortage>>,
    /// Whether a request of it is being handled, be it whole or still arriving.
    is_handled: AtomicBool,
    /// Whether the caller may still be sending a body that nobody reads.
    is_abandoned: AtomicBool,
}

/// Memory that is charged to a connection until this is dropped.
#[derive(Debug)]
pub struct Charge {
    resources: Resources,
    id: Id,
    size: Size,
    kind: Kind,
}

/// Memory for an answer until this is dropped.
#[derive(Debug)]
pub struct Room(OwnedSemaphorePermit);

/// A descriptor for a connection of this process's own until this is dropped.
#[derive(Debug)]
pub struct Outbound(#[allow(dead_code, reason = "held until it is dropped")] OwnedSemaphorePermit);

/// Bytes with what is charged for them.
struct Held<T> {
    bytes: Vec<u8>,
    _charge: T,
}

impl<T> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that release a charge once the last copy of them is dropped.
pub fn hold<T: Send + 'static>(bytes: Vec<u8>, charge: T) -> Bytes {
    Bytes::from_owner(Held { bytes, _charge: charge })
}

impl Resources {
    /// Starts an account of what callers may fill of this process.
    pub fn new(machine: &Machine, clock: System) -> Resources {
        let limits = Limits::of(machine);
        let answer_units = limits.answers.0 / ANSWER_UNIT.0;
        Resources(Arc::new(Shared {
            clock,
            state: Mutex::new(State { table: Table::new(limits), signals: HashMap::new(), evictions: 0 }),
            answers: Arc::new(Semaphore::new(answer_units)),
            answer_units,
            outbound: Arc::new(Semaphore::new(limits.outbound)),
        }))
    }

    /// Opens a connection at a door. There is none for it if all others there are being served.
    pub fn open(&self, door: Door) -> Result<Arc<Slot>, Short> {
        let (mut state, mut evicted) = (self.0.state.lock(), Vec::new());
        let opened = state.table.open(door, self.now(), &mut evicted);
        state.signal(&evicted);
        let id = opened?;
        let (signal, receiver) = watch::channel(None);
        state.signals.insert(id, signal);
        drop(state);
        Ok(Arc::new(Slot {
            resources: self.clone(),
            id,
            evicted: receiver,
            is_handled: AtomicBool::default(),
            is_abandoned: AtomicBool::default(),
        }))
    }

    /// Waits for the memory of an answer. One larger than all of it waits for all of it.
    pub async fn reserve_answer(&self, size: Size) -> Room {
        let units = size.0.div_ceil(ANSWER_UNIT.0).clamp(1, self.0.answer_units.max(1));
        let acquired = self.0.answers.clone().acquire_many_owned(units as u32).await;
        Room(acquired.expect("the semaphore is never closed"))
    }

    /// Returns a descriptor for a connection of this process's own, if one is left.
    pub fn begin_outbound(&self) -> Option<Outbound> {
        self.0.outbound.clone().try_acquire_owned().ok().map(Outbound)
    }

    /// Returns the memory that is charged for connections, requests and bodies.
    pub fn held(&self) -> Size {
        self.0.state.lock().table.held()
    }

    /// Returns the memory of answers that are held.
    pub fn held_answers(&self) -> Size {
        Size((self.0.answer_units - self.0.answers.available_permits()) * ANSWER_UNIT.0)
    }

    /// Returns the number of connections that were told to go so far.
    pub fn count_evictions(&self) -> u64 {
        self.0.state.lock().evictions
    }

    /// Returns the open connections of a door.
    pub fn count_open(&self, door: Door) -> usize {
        self.0.state.lock().table.count_open(door)
    }

    fn now(&self) -> Millis {
        self.0.clock.now()
    }
}

impl Room {
    /// Gives back what the answer did not need.
    pub fn shrink(&mut self, size: Size) {
        let units = size.0.div_ceil(ANSWER_UNIT.0).max(1);
        if let Some(unneeded) = self.0.num_permits().checked_sub(units) {
            drop(self.0.split(unneeded));
        }
    }
}

impl Slot {
    /// Records that bytes of the connection have been read.
    pub fn receive(&self, size: Size) {
        let (mut state, mut evicted) = (self.resources.0.state.lock(), Vec::new());
        state.table.receive(self.id, size, self.resources.now(), &mut evicted);
        state.signal(&evicted);
    }

    /// Charges memory to the connection.
    pub fn charge(&self, size: Size, kind: Kind) -> Result<Charge, Short> {
        let (mut state, mut evicted) = (self.resources.0.state.lock(), Vec::new());
        let charged = state.table.charge(self.id, size, kind, self.resources.now(), &mut evicted);
        state.signal(&evicted);
        drop(state);
        charged.map(|()| Charge { resources: self.resources.clone(), id: self.id, size, kind })
    }

    /// Records that the head of a request has arrived. Whoever handles the request ends it from now on if the
    /// connection has to go.
    pub fn begin_request(&self) {
        self.is_handled.store(true, Ordering::Relaxed);
    }

    /// Records that the request has arrived whole. Its connection stays until it is answered.
    pub fn serve(&self) {
        self.resources.0.state.lock().table.serve(self.id);
    }

    /// Records that the request has been answered.
    pub fn end_request(&self) {
        self.is_handled.store(false, Ordering::Relaxed);
        self.resources.0.state.lock().table.rest(self.id, self.resources.now());
    }

    /// Whether the connection is to be closed at once if it has to go: nobody is to be answered on it, or it
    /// was answered and only lingers.
    pub fn closes_for(&self, shortage: Shortage) -> bool {
        let is_lingering = shortage == Shortage::Memory && self.is_abandoned();
        !self.is_handled.load(Ordering::Relaxed) && !is_lingering
    }

    /// Records that a body was not read to its end, so that the connection closes behind the answer.
    pub fn abandon_body(&self) {
        self.is_abandoned.store(true, Ordering::Relaxed);
    }

    /// Whether a body was not read to its end.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned.load(Ordering::Relaxed)
    }

    /// Waits until the connection has to go, for more than it was told `before`.
    pub async fn wait_evicted(&self, before: Option<Shortage>) -> Option<Shortage> {
        let mut evicted = self.evicted.clone();
        let told = evicted.wait_for(|evicted| *evicted > before).await.map(|told| *told);
        match told {
            Ok(told) => told,
            // The sender lives as long as this.
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns what the connection has been told to go for.
    pub fn find_eviction(&self) -> Option<Shortage> {
        *self.evicted.borrow()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.resources.0.state.lock();
        state.table.close(self.id);
        state.signals.remove(&self.id);
    }
}

impl Charge {
    /// Charges more.
    pub fn grow(&mut self, more: Charge) {
        debug_assert_eq!((self.id, self.kind), (more.id, more.kind));
        self.size += more.size;
        // What was taken over is released with this one.
        let mut more = more;
        more.size = Size(0);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.resources.0.state.lock().table.release(self.id, self.size, self.kind);
    }
}
