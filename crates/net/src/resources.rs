//! The account of what callers fill of this process, which all its ports share. What goes and who stays is
//! decided by [`cottoncrank::resources`].
//!
//! Memory is charged with [`Slot::charge`] and released when the [`Charge`] is dropped, so it is freed on every
//! end of a request: answered, refused, cut, or dropped with its connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use cottoncrank::clock::System;
use cottoncrank::resources::{Eviction, Id, Kind, Limits, Machine, Port, Short, Shortage, Table};
use cottoncrank::{Clock, Millis, Size};
use parking_lot::Mutex;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};

/// How often an answer that waits for room looks for callers that take nothing of theirs.
const ANSWER_INTERVAL: Millis = Millis(100);

/// The account of a process.
#[derive(Clone, Debug)]
pub struct Resources(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: System,
    state: Mutex<State>,
    /// The most that one answer is charged.
    max_answer: Size,
    /// Notified when memory of answers is released.
    answer_released: Notify,
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
        Shortage::Turns => "turns",
        Shortage::Memory => "memory",
        Shortage::Descriptors => "descriptors",
        Shortage::Answers => "answers",
    };
    metrics::counter!("cottoncrank_connections_evicted_total", "shortage" => of).increment(1);
}

/// Counts a connection that was not opened, as all others of its port are being served.
fn count_refused(port: Port) {
    metrics::counter!("cottoncrank_connections_refused_total", "port" => port.name()).increment(1);
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
    /// When something was last written on the connection, in milliseconds.
    written_at: AtomicU64,
}

/// Memory that is charged to a connection until this is dropped.
#[derive(Debug)]
pub struct Charge {
    resources: Resources,
    id: Id,
    size: Size,
    kind: Kind,
}

/// A descriptor for a connection of this process's own until this is dropped.
#[derive(Debug)]
pub struct Outbound(#[allow(dead_code, reason = "held until it is dropped")] OwnedSemaphorePermit);

/// Bytes with what is charged for them.
struct Held<B> {
    bytes: B,
    _charge: Charge,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Held<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that release a charge once the last copy of them is dropped.
pub fn hold<B: AsRef<[u8]> + Send + 'static>(bytes: B, charge: Charge) -> Bytes {
    Bytes::from_owner(Held { bytes, _charge: charge })
}

impl Resources {
    /// Starts an account of what callers may fill of this process.
    pub fn new(machine: &Machine, clock: System) -> Resources {
        let limits = Limits::of(machine);
        Resources(Arc::new(Shared {
            clock,
            state: Mutex::new(State { table: Table::new(limits), signals: HashMap::new(), evictions: 0 }),
            max_answer: limits.answers,
            answer_released: Notify::new(),
            outbound: Arc::new(Semaphore::new(limits.outbound)),
        }))
    }

    /// Opens a connection at a port. There is none for it if all others there are being served.
    pub fn open(&self, port: Port) -> Result<Arc<Slot>, Short> {
        let (mut state, mut evicted) = (self.0.state.lock(), Vec::new());
        let opened = state.table.open(port, self.now(), &mut evicted);
        state.signal(&evicted);
        let id = opened.inspect_err(|Short| count_refused(port))?;
        let (signal, receiver) = watch::channel(None);
        state.signals.insert(id, signal);
        drop(state);
        Ok(Arc::new(Slot {
            resources: self.clone(),
            id,
            evicted: receiver,
            is_handled: AtomicBool::default(),
            is_abandoned: AtomicBool::default(),
            written_at: AtomicU64::default(),
        }))
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
        self.0.state.lock().table.held_answers()
    }

    /// Returns the number of connections that were told to go so far.
    pub fn count_evictions(&self) -> u64 {
        self.0.state.lock().evictions
    }

    /// Returns the open connections of a port.
    pub fn count_open(&self, port: Port) -> usize {
        self.0.state.lock().table.count_open(port)
    }

    fn charge(&self, id: Id, size: Size, kind: Kind) -> Result<Charge, Short> {
        let (mut state, mut evicted) = (self.0.state.lock(), Vec::new());
        let charged = state.table.charge(id, size, kind, self.now(), &mut evicted);
        state.signal(&evicted);
        drop(state);
        charged.map(|()| Charge { resources: self.clone(), id, size, kind })
    }

    fn release(&self, id: Id, size: Size, kind: Kind) {
        self.0.state.lock().table.release(id, size, kind);
        if matches!(kind, Kind::Answer | Kind::Offered) {
            self.0.answer_released.notify_waiters();
        }
    }

    fn now(&self) -> Millis {
        self.0.clock.now()
    }
}

impl Slot {
    /// Records that bytes of the connection have been read.
    pub fn receive(&self, size: Size) {
        let (mut state, mut evicted) = (self.resources.0.state.lock(), Vec::new());
        state.table.receive(self.id, size, self.resources.now(), &mut evicted);
        state.signal(&evicted);
    }

    /// Sets the most that is read of the connection before it is handed over.
    pub fn set_max_buffer(&self, max: Size) {
        self.resources.0.state.lock().table.set_max_buffer(self.id, max);
    }

    /// Charges memory to the connection.
    pub fn charge(&self, size: Size, kind: Kind) -> Result<Charge, Short> {
        self.resources.charge(self.id, size, kind)
    }

    /// Records that something was written on the connection.
    pub fn record_written(&self) {
        let now = self.resources.now();
        self.written_at.store(now.0, Ordering::Relaxed);
        self.resources.0.state.lock().table.record_taken(self.id, now);
    }

    /// Returns when something was last written on the connection.
    pub fn written_at(&self) -> Millis {
        Millis(self.written_at.load(Ordering::Relaxed))
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
        let is_handled = self.is_handled.load(Ordering::Relaxed);
        match shortage {
            Shortage::Turns | Shortage::Memory => !is_handled && !self.is_abandoned(),
            Shortage::Descriptors => !is_handled,
            Shortage::Answers => true,
        }
    }

    /// Records that a body was not read to its end, so that the connection closes behind the answer.
    pub fn abandon_body(&self) {
        self.is_abandoned.store(true, Ordering::Relaxed);
    }

    /// Whether a body was not read to its end.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned.load(Ordering::Relaxed)
    }

    /// Returns memory for an answer, if there is any.
    pub fn try_reserve_answer(&self, size: Size) -> Result<Charge, Short> {
        self.charge(size, Kind::Answer).map(Charge::offer)
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
    /// Waits for the memory of an answer to the same caller. One larger than all there is for answers waits for
    /// all of it.
    pub async fn reserve_answer(&self, size: Size) -> Charge {
        let Shared { max_answer, answer_released, .. } = &*self.resources.0;
        loop {
            let released = answer_released.notified();
            if let Ok(charge) = self.resources.charge(self.id, size.min(*max_answer), Kind::Answer) {
                return charge;
            }
            // Callers become stalled without a notice.
            let _ = tokio::time::timeout(ANSWER_INTERVAL.duration(), released).await;
        }
    }

    /// Records that the caller may take what was reserved for its answer.
    pub fn offer(mut self) -> Charge {
        let Shared { state, .. } = &*self.resources.0;
        state.lock().table.offer(self.id, self.size, self.resources.now());
        self.kind = Kind::Offered;
        self
    }

    /// Releases what is not needed.
    pub fn shrink(&mut self, size: Size) {
        let unneeded = self.size - size;
        self.size -= unneeded;
        self.resources.release(self.id, unneeded, self.kind);
    }

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
        self.resources.release(self.id, self.size, self.kind);
    }
}
