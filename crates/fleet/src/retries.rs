//! Divides the fleet's retry budget among the nodes.
//!
//! The load this is built for: a thousand nodes with less than one request per second each, of
//! which some meet a failing runner. Divided evenly, no node would have a whole retry of the
//! thousand that the fleet may make. So each node keeps the whole retries of its even share as its
//! own budget. The fractions left over from the nodes of a hall form a shared pool at the hall's
//! collector, which grants single retries to nodes that ask. A collector counts only the nodes that
//! report to it, so that all pools together never exceed the sum of the fractions.

use cottoncrank::Millis;

/// The smallest budget that a node keeps itself. With room for a single retry, it would lose what
/// its requests earn while it holds that one.
const MIN_BUDGET: f64 = 2.0;

/// The share of one node in the fleet's retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The retry budget that the node spends by itself.
    pub budget: f64,
    /// Its contribution to the shared retry pool of its hall.
    pub pooled: f64,
}

impl Share {
    /// Returns the share of one of `nodes` in `all`.
    pub fn of(all: f64, nodes: usize) -> Share {
        let even = all / nodes.max(1) as f64;
        let budget = if even >= MIN_BUDGET { even.floor() } else { 0.0 };
        Share { budget, pooled: even - budget }
    }

    /// Returns the fraction of the earned retries that goes to the node's own budget.
    pub fn budget_fraction(&self) -> f64 {
        let even = self.budget + self.pooled;
        if even > 0.0 { self.budget / even } else { 0.0 }
    }
}

/// The shared retry pool of a hall, at its collector.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pool {
    tokens: f64,
    capacity: f64,
    /// Since when this node has been the collector, if it is.
    collector_since: Option<Millis>,
    filled: bool,
}

impl Pool {
    /// Sets the capacity as the collector: the pooled shares of the nodes that report to this one,
    /// its own included. What requests earn is granted at once. The pool is filled to capacity only
    /// after `window`, over which retries are counted, because another collector may have granted
    /// as many until now.
    pub fn set_capacity(&mut self, capacity: f64, window: Millis, now: Millis) {
        let collector_since = *self.collector_since.get_or_insert(now);
        self.capacity = capacity;
        if !self.filled && now >= collector_since + window {
            self.filled = true;
            self.tokens = capacity;
        }
        self.tokens = self.tokens.min(capacity);
    }

    /// Empties the pool when another node is the collector.
    pub fn reset(&mut self) {
        *self = Pool::default();
    }

    /// Adds the fraction of a retry that a new request earns.
    pub fn deposit(&mut self, part: f64) {
        if self.collector_since.is_some() {
            self.tokens = (self.tokens + part).min(self.capacity);
        }
    }

    /// Grants one retry; returns false if there is none.
    pub fn grant(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
