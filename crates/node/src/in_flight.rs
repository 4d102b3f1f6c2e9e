//! Counts the requests in flight, and admits them within the concurrency limits.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::limit::Limit;

use crate::state::Node;

/// The key of a concurrency limit: a service and, if it is configured, a model.
pub type ModelKey = (id::Service, Option<id::Model>);

impl Node {
    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections of callers. Once the node is closed these are the ones on which
    /// something is unread, or whose answers are not written yet.
    pub fn used_connections(&self) -> usize {
        self.used_connections.load(Ordering::Relaxed)
    }

    /// Whether connections of callers are accepted. Some may wait for that even once the node is closed.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting.load(Ordering::Relaxed)
    }

    /// Marks the node as accepting connections of callers until the guard is dropped.
    pub(crate) fn begin_accepting(self: &Arc<Self>) -> AcceptingGuard {
        self.accepting.store(true, Ordering::Relaxed);
        AcceptingGuard(self.clone())
    }

    /// Counts a connection as used until the guard is dropped.
    pub(crate) fn begin_use(self: &Arc<Self>) -> ConnectionGuard {
        self.used_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.serving.store(true, Ordering::Relaxed);
        RequestGuard(self.clone())
    }

    /// Returns the number of requests in flight here that count against a limit.
    pub fn count_running(&self, model_key: &ModelKey) -> u32 {
        self.concurrency_limits.lock().get(model_key).map_or(0, Limit::running)
    }

    /// Counts a request against its limit, if the limit has room within `wait`. A request is also
    /// admitted above the limit if `has_room` finds that the runners have room, because a node with
    /// few requests sees little of their load.
    pub async fn admit(
        self: &Arc<Self>,
        model_key: &ModelKey,
        wait: Millis,
        has_room: impl Fn() -> Option<bool>,
    ) -> Option<LimitGuard> {
        let deadline = self.now() + wait;
        loop {
            {
                let runners_have_room = has_room();
                let mut limits = self.concurrency_limits.lock();
                let limit = limits.entry(model_key.clone()).or_default();
                if runners_have_room.unwrap_or(false) || limit.admits() {
                    limit.begin();
                    return Some(LimitGuard { node: self.clone(), model_key: model_key.clone() });
                }
            }
            let remaining = deadline.since(self.now());
            if remaining == Millis(0) {
                return None;
            }
            // On a timeout and on a notification alike, the limit is checked again.
            let _ = tokio::time::timeout(remaining.duration(), self.request_ended.notified()).await;
        }
    }

    /// Counts a request that has an assignment against its limit, whether or not the limit has
    /// room.
    pub fn admit_assigned(self: &Arc<Self>, model_key: &ModelKey) -> LimitGuard {
        self.concurrency_limits.lock().entry(model_key.clone()).or_default().begin();
        LimitGuard { node: self.clone(), model_key: model_key.clone() }
    }

    /// Counts a request as in flight at a runner until the guard is dropped.
    pub fn begin_attempt(self: &Arc<Self>, runner: &id::Runner) -> AttemptGuard {
        self.ledger.lock().begin_request(runner);
        AttemptGuard { node: self.clone(), runner: runner.clone(), streaming: false }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct RequestGuard(Arc<Node>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a connection as used until it is dropped.
pub(crate) struct ConnectionGuard(Arc<Node>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.used_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a node as accepting connections of callers until it is dropped.
pub(crate) struct AcceptingGuard(Arc<Node>);

impl Drop for AcceptingGuard {
    fn drop(&mut self) {
        self.0.accepting.store(false, Ordering::Relaxed);
    }
}

/// Counts a request against its concurrency limit until it is dropped.
pub struct LimitGuard {
    node: Arc<Node>,
    model_key: ModelKey,
}

impl LimitGuard {
    /// Returns the current limit.
    pub fn level(&self) -> f64 {
        self.node.concurrency_limits.lock().get(&self.model_key).map_or(0.0, Limit::level)
    }

    /// Adjusts the limit by whether a first event was in time.
    pub fn record_first_event(&self, in_time: bool) {
        let mut limits = self.node.concurrency_limits.lock();
        let limit = limits.entry(self.model_key.clone()).or_default();
        match in_time {
            true => limit.record_on_time(),
            false => limit.record_late(self.node.now()),
        }
    }
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        if let Some(limit) = self.node.concurrency_limits.lock().get_mut(&self.model_key) {
            limit.end();
        }
        self.node.request_ended.notify_one();
    }
}

/// Counts a request as in flight at a runner until it is dropped.
pub struct AttemptGuard {
    node: Arc<Node>,
    runner: id::Runner,
    /// Whether the first event of its stream has arrived.
    streaming: bool,
}

impl AttemptGuard {
    /// Records that the first event has arrived.
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
        ledger.end_request(&self.runner);
        self.node.attempt_ended.notify_one();
    }
}
