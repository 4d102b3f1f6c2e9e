//! Requests under way: what counts them, and the limit that admits them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::limit::Limit;

use crate::state::Node;

/// What shares a limit: the requests for one model of one service.
pub type ModelKey = (id::Service, Option<id::Model>);

impl Node {
    /// Requests under way.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.serving.store(true, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// How many requests of a model_key are under way here.
    pub fn count_running(&self, model_key: &ModelKey) -> u32 {
        self.limits.lock().get(model_key).map_or(0, Limit::running)
    }

    /// Counts a request against the limit of its model_key, if there is room within `wait`.
    /// It is admitted above the limit too where `has_room` knows that runners have
    /// room: a node with few requests sees little of how busy they are.
    pub async fn admit(
        self: &Arc<Self>,
        model_key: &ModelKey,
        wait: Millis,
        has_room: impl Fn() -> Option<bool>,
    ) -> Option<LimitGuard> {
        let end = self.now() + wait;
        loop {
            {
                let runners_have_room = has_room();
                let mut limits = self.limits.lock();
                let limit = limits.entry(model_key.clone()).or_default();
                if runners_have_room.unwrap_or(false) || limit.admits() {
                    limit.begin();
                    return Some(LimitGuard { node: self.clone(), model_key: model_key.clone() });
                }
            }
            let remaining = end.since(self.now());
            if remaining == Millis(0) {
                return None;
            }
            // Either way the limit is looked at again.
            let _ = tokio::time::timeout(remaining.duration(), self.ended.notified()).await;
        }
    }

    /// Counts a request for which a group was chosen.
    pub fn admit_assigned(self: &Arc<Self>, model_key: &ModelKey) -> LimitGuard {
        self.limits.lock().entry(model_key.clone()).or_default().begin();
        LimitGuard { node: self.clone(), model_key: model_key.clone() }
    }

    /// Counts a request at a runner until the guard is dropped.
    pub fn begin_attempt(self: &Arc<Self>, runner: &id::Runner) -> AttemptGuard {
        self.ledger.lock().begin(runner);
        AttemptGuard { node: self.clone(), runner: runner.clone(), streaming: false }
    }
}

/// A request under way.
pub struct RequestGuard(Arc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that counts against its limit.
pub struct LimitGuard {
    node: Arc<Node>,
    model_key: ModelKey,
}

impl LimitGuard {
    /// The limit at present.
    pub fn level(&self) -> f64 {
        self.node.limits.lock().get(&self.model_key).map_or(0.0, Limit::level)
    }

    /// The first event came: in time, or not.
    pub fn record_first_event(&self, in_time: bool) {
        let mut limits = self.node.limits.lock();
        let limit = limits.entry(self.model_key.clone()).or_default();
        match in_time {
            true => limit.note_in_time(),
            false => limit.note_late(self.node.now()),
        }
    }
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        if let Some(limit) = self.node.limits.lock().get_mut(&self.model_key) {
            limit.end();
        }
        self.node.ended.notify_one();
    }
}

/// A request under way at a runner.
pub struct AttemptGuard {
    node: Arc<Node>,
    runner: id::Runner,
    /// Whether its stream has begun.
    streaming: bool,
}

impl AttemptGuard {
    /// Its first event has come.
    pub fn begin_stream(&mut self) {
        if !self.streaming {
            self.streaming = true;
            self.node.ledger.lock().begin_stream(&self.runner);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut ledger = self.node.ledger.lock();
        if self.streaming {
            ledger.end_stream(&self.runner);
        }
        ledger.end(&self.runner);
        self.node.flight_ended.notify_one();
    }
}
