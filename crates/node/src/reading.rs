//! How far a node has read the store since its start.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use cottoncrank::Millis;
use tokio::sync::watch;

use crate::apply::Extent;
use crate::state::Node;

/// What a node knows of its own reading.
pub(crate) struct State {
    started_at: Millis,
    synced: watch::Sender<bool>,
    synced_at: OnceLock<Millis>,
    ready_at: OnceLock<Millis>,
    /// Whether the lists of the store that were read last lack something.
    knows_part: AtomicBool,
}

impl State {
    /// Returns the state of a node that starts and has read nothing.
    pub(crate) fn new(started_at: Millis) -> State {
        State {
            started_at,
            synced: watch::Sender::new(false),
            synced_at: OnceLock::new(),
            ready_at: OnceLock::new(),
            knows_part: AtomicBool::new(false),
        }
    }
}

impl Node {
    /// Whether this node knows only a part of what the store holds.
    pub fn knows_part(&self) -> bool {
        self.reading.knows_part.load(Ordering::Relaxed)
    }

    /// Records how much of the store was read last. Changes follow a position up to which everything was known.
    pub(crate) fn set_knows_part(&self, extent: Extent) {
        self.reading.knows_part.store(extent == Extent::Part, Ordering::Relaxed);
    }

    /// Whether the whole store has been read once, or what could be read of it.
    pub fn is_synced(&self) -> bool {
        *self.reading.synced.borrow()
    }

    /// Records that the whole store has been read.
    pub fn set_synced(&self) {
        let now = self.now();
        if self.reading.synced_at.set(now).is_ok() {
            log::info!(
                "node: synced for the first time, {} after its start",
                now.since(self.reading.started_at)
            );
        }
        self.reading.synced.send_replace(true);
    }

    /// Returns when the whole store was read for the first time.
    pub(crate) fn synced_at(&self) -> Option<Millis> {
        self.reading.synced_at.get().copied()
    }

    /// Logs that the node is ready for callers, once it is for the first time.
    pub(crate) fn log_first_ready(&self) {
        if self.reading.ready_at.get().is_some() || !self.is_ready() {
            return;
        }
        let now = self.now();
        if self.reading.ready_at.set(now).is_ok() {
            log::info!(
                "node: ready for the first time, {} after its start",
                now.since(self.reading.started_at)
            );
        }
    }

    /// Waits until the whole store has been read once, for at most `timeout`.
    pub async fn wait_synced(&self, timeout: Millis) {
        if self.is_synced() {
            return;
        }
        let mut synced = self.reading.synced.subscribe();
        // After a timeout, the caller works with what is known by then.
        let _ = tokio::time::timeout(timeout.duration(), synced.wait_for(|synced| *synced)).await;
    }
}
