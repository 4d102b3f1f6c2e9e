//! Requests under way: what counts them, and the limit that admits them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::limit::Limit;

use crate::state::Node;

/// What shares a limit: the requests for one model of one service.
pub type Lane = (id::Service, Option<id::Model>);

impl Node {
    /// Requests under way.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> Running {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.serving.store(true, Ordering::Relaxed);
        Running(self.clone())
    }

    /// How many requests of a lane are under way here.
    pub fn count_running(&self, lane: &Lane) -> u32 {
        self.concurrency_limits.lock().get(lane).map_or(0, Limit::running)
    }

    /// Counts a request against the limit of its lane, if there is room within `wait`.
    /// It is admitted above the limit too where `find_room` knows that runners have
    /// room: a node with few requests sees little of how busy they are.
    pub async fn admit(
        self: &Arc<Self>,
        lane: &Lane,
        wait: Millis,
        find_room: impl Fn() -> Option<bool>,
    ) -> Option<Admitted> {
        let end = self.now() + wait;
        loop {
            {
                let room = find_room();
                let mut limits = self.concurrency_limits.lock();
                let limit = limits.entry(lane.clone()).or_default();
                if room.unwrap_or(false) || limit.admits() {
                    limit.begin();
                    return Some(Admitted { node: self.clone(), lane: lane.clone() });
                }
            }
            let left = end.since(self.now());
            if left == Millis(0) {
                return None;
            }
            // Either way the limit is looked at again.
            let _ = tokio::time::timeout(left.duration(), self.request_ended.notified()).await;
        }
    }

    /// Counts a request for which a group was chosen.
    pub fn admit_chosen(self: &Arc<Self>, lane: &Lane) -> Admitted {
        self.concurrency_limits.lock().entry(lane.clone()).or_default().begin();
        Admitted { node: self.clone(), lane: lane.clone() }
    }

    /// Counts a request at a runner until the guard is dropped.
    pub fn begin_attempt(self: &Arc<Self>, runner: &id::Runner) -> Attempting {
        self.ledger.lock().begin(runner);
        Attempting { node: self.clone(), runner: runner.clone(), begun: false }
    }
}

/// A request under way.
pub struct Running(Arc<Node>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that counts against its limit.
pub struct Admitted {
    node: Arc<Node>,
    lane: Lane,
}

impl Admitted {
    /// The limit at present.
    pub fn level(&self) -> f64 {
        self.node.concurrency_limits.lock().get(&self.lane).map_or(0.0, Limit::level)
    }

    /// The first event came: in time, or not.
    pub fn note_first(&self, in_time: bool) {
        let mut limits = self.node.concurrency_limits.lock();
        let limit = limits.entry(self.lane.clone()).or_default();
        match in_time {
            true => limit.note_in_time(),
            false => limit.note_late(self.node.now()),
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(limit) = self.node.concurrency_limits.lock().get_mut(&self.lane) {
            limit.end();
        }
        self.node.request_ended.notify_one();
    }
}

/// A request under way at a runner.
pub struct Attempting {
    node: Arc<Node>,
    runner: id::Runner,
    /// Whether its stream has begun.
    begun: bool,
}

impl Attempting {
    /// Its first event has come.
    pub fn begin_stream(&mut self) {
        if !self.begun {
            self.begun = true;
            self.node.ledger.lock().begin_stream(&self.runner);
        }
    }
}

impl Drop for Attempting {
    fn drop(&mut self) {
        let mut ledger = self.node.ledger.lock();
        if self.begun {
            ledger.end_stream(&self.runner);
        }
        ledger.end(&self.runner);
        self.node.flight_ended.notify_one();
    }
}
