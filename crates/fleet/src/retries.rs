//! Sharing how many requests the fleet may send again.
//!
//! The load this answers: a thousand nodes with less than a request a second each, of which some
//! meet a failing runner. Divided evenly, no node has a whole retry of the thousand that the fleet
//! may make. So each node keeps the whole retries of its even part, and what is pooled over of the
//! parts of a hall's nodes is kept by the hall's collector, which gives single ones to nodes that
//! ask. A collector keeps it for the nodes that report to it and for no others, so that all pools
//! together never hold more than what is pooled over.

use cottoncrank::Millis;

/// A node keeps no smaller part itself: with room for a single retry it loses what its requests
/// earn while it holds that one.
const MIN_BUDGET: f64 = 2.0;

/// What falls to one node of the retries that the fleet may save up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// What the node keeps.
    pub budget: f64,
    /// What is kept for it by the collector of its hall.
    pub pooled: f64,
}

impl Share {
    /// The share of one of `nodes` in `all`.
    pub fn of(all: f64, nodes: usize) -> Share {
        let even = all / nodes.max(1) as f64;
        let budget = if even >= MIN_BUDGET { even.floor() } else { 0.0 };
        Share { budget, pooled: even - budget }
    }

    /// The part of what its requests earn that the node keeps.
    pub fn budget_fraction(&self) -> f64 {
        let even = self.budget + self.pooled;
        if even > 0.0 { self.budget / even } else { 0.0 }
    }
}

/// The retries that a collector keeps for the nodes of its hall.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pool {
    tokens: f64,
    capacity: f64,
    /// Since when this node has been the collector; none if another one is.
    collector_since: Option<Millis>,
    filled: bool,
}

impl Pool {
    /// This node is the collector, and `capacity` is pooled over of the shares of the nodes that report
    /// to it, its budget included. It lends what it earns at once, and the rest after `window`, in
    /// which retries are counted: another one may have granted as much until now.
    pub fn set_capacity(&mut self, capacity: f64, window: Millis, now: Millis) {
        let collector_since = *self.collector_since.get_or_insert(now);
        self.capacity = capacity;
        if !self.filled && now >= collector_since + window {
            self.filled = true;
            self.tokens = capacity;
        }
        self.tokens = self.tokens.min(capacity);
    }

    /// Another node is the collector.
    pub fn reset(&mut self) {
        *self = Pool::default();
    }

    /// A request has come that pays for this part of a retry.
    pub fn deposit(&mut self, part: f64) {
        if self.collector_since.is_some() {
            self.tokens = (self.tokens + part).min(self.capacity);
        }
    }

    /// Lends one retry; false if there is none.
    pub fn grant(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
