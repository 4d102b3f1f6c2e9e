//! Sharing how many requests the fleet may send again.
//!
//! The load this answers: a thousand nodes with less than a request a second each, of which some
//! meet a failing runner. Divided evenly, no node has a whole retry of the thousand that the fleet
//! may make. So each node keeps the whole retries of its even part, and what is left over of the
//! parts of a hall's nodes is kept by the hall's collector, which gives single ones to nodes that
//! ask. A collector keeps it for the nodes that report to it and for no others, so that all pools
//! together never hold more than what is left over.

use cottoncrank::Millis;

/// A node keeps no smaller part itself: with room for a single retry it loses what its requests
/// earn while it holds that one.
const OWN_LEAST: f64 = 2.0;

/// What falls to one node of the retries that the fleet may save up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// What the node keeps.
    pub own: f64,
    /// What is kept for it by the collector of its hall.
    pub left: f64,
}

impl Share {
    /// The share of one of `nodes` in `all`.
    pub fn of(all: f64, nodes: usize) -> Share {
        let even = all / nodes.max(1) as f64;
        let own = if even >= OWN_LEAST { even.floor() } else { 0.0 };
        Share { own, left: even - own }
    }

    /// The part of what its requests earn that the node keeps.
    pub fn part(&self) -> f64 {
        let even = self.own + self.left;
        if even > 0.0 { self.own / even } else { 0.0 }
    }
}

/// The retries that a collector keeps for the nodes of its hall.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pool {
    level: f64,
    full: f64,
    /// Since when this node has been the collector; none if another one is.
    since: Option<Millis>,
    filled: bool,
}

impl Pool {
    /// This node is the collector, and `full` is left over of the shares of the nodes that report
    /// to it, its own included. It lends what it earns at once, and the rest after `window`, in
    /// which retries are counted: another one may have lent as much until now.
    pub fn keep(&mut self, full: f64, window: Millis, now: Millis) {
        let since = *self.since.get_or_insert(now);
        self.full = full;
        if !self.filled && now >= since + window {
            self.filled = true;
            self.level = full;
        }
        self.level = self.level.min(full);
    }

    /// Another node is the collector.
    pub fn resign(&mut self) {
        *self = Pool::default();
    }

    /// A request has come that pays for this part of a retry.
    pub fn earn(&mut self, part: f64) {
        if self.since.is_some() {
            self.level = (self.level + part).min(self.full);
        }
    }

    /// Lends one retry; false if there is none.
    pub fn lend(&mut self) -> bool {
        let lent = self.level >= 1.0;
        if lent {
            self.level -= 1.0;
        }
        lent
    }
}
