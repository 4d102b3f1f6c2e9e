//! Sends the feedback of runners to other nodes, as part of the in-flight reports. A runner reports about
//! itself to the node that it answers, but its feedback concerns all nodes.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;
use cottoncrank_fleet::feedback::{Admission, Digest, LeavingRunner};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::rate::Rate;

use crate::state::Node;
use crate::throttle;

/// Builds the digest that this node sends a collector, for itself or for its hall.
pub(crate) fn build_digest(node: &Node, scope: Scope) -> Digest {
    let now = node.now();
    let mut rejecting = list_rejecting(node);
    if scope == Scope::Hall {
        rejecting.extend(node.rejections.lock().list_local(now).cloned());
    }
    Digest {
        claims: throttle::list_rates(node, scope),
        leaving: node.roster.lock().list_leaving(),
        refusing: rejecting.into_iter().collect(),
    }
}

/// Builds the digest that this node, as a collector, returns to the sender of a report. It is empty for
/// the collector of another hall, which gets the digest in this node's own report.
pub(crate) fn build_reply_digest(node: &Node, scope: Scope) -> Digest {
    match scope {
        Scope::Node => Digest {
            claims: throttle::list_plain_rates(node),
            leaving: node.roster.lock().list_leaving(),
            refusing: node.rejections.lock().list(node.now()).cloned().collect(),
        },
        Scope::Hall => Digest::default(),
    }
}

/// Applies a digest of another node. `scope` says whether it is from a node of this hall itself or from
/// a collector that passes on the feedback of others.
pub(crate) fn apply_digest(node: &Node, digest: &Digest, scope: Scope) {
    throttle::receive_rates(node, &digest.claims);
    for LeavingRunner { runner, life } in &digest.leaving {
        node.record_leaving(runner, *life);
    }
    let (mut rejections, now) = (node.rejections.lock(), node.now());
    for runner in &digest.refusing {
        rejections.record(runner, scope == Scope::Node, now);
    }
}

/// Lists the runners that reject requests of this node without saying for how long. Runners that ask for
/// a backoff are left out: they get the backoff, and a new head would end it for their group.
fn list_rejecting(node: &Node) -> BTreeSet<id::Runner> {
    node.ledger.lock().list_rejecting(node.now()).cloned().collect()
}

/// Lists the runners that have been rejecting requests for a while, as far as this node knows.
pub(crate) fn list_long_rejecting(node: &Node) -> BTreeSet<id::Runner> {
    let rejecting = list_rejecting(node);
    let (mut rejections, now) = (node.rejections.lock(), node.now());
    for runner in &rejecting {
        rejections.record(runner, true, now);
    }
    rejections.list_persistent(now).cloned().collect()
}

/// The back pressure from the runners of a hall, as far as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backpressure {
    /// The number of its runners.
    pub runners: usize,
    /// The number of runners that want no requests from this node for a while.
    pub backing_off: usize,
    /// The number of runners that are about to leave.
    pub leaving: usize,
    /// The number of runners that take a limited rate: an announced one, or that of a cold start.
    pub rate_limited: usize,
    /// The sum of these rate limits.
    pub allowed_rate: Rate,
    /// The number of cold runners.
    pub cold: usize,
    /// The sum of the rates that they take.
    pub cold_rate: Rate,
}

impl Backpressure {
    /// Adds that of another hall.
    pub(crate) fn add(&mut self, other: &Backpressure) {
        self.runners += other.runners;
        self.backing_off += other.backing_off;
        self.leaving += other.leaving;
        self.rate_limited += other.rate_limited;
        self.allowed_rate.0 += other.allowed_rate.0;
        self.cold += other.cold;
        self.cold_rate.0 += other.cold_rate.0;
    }
}

/// Measures the back pressure from the runners of each hall.
pub(crate) fn measure_backpressure(node: &Node) -> BTreeMap<id::Hall, Backpressure> {
    let (roster, feedback, now) = (node.roster.lock(), node.feedback.lock(), node.now());
    let mut halls: BTreeMap<id::Hall, Backpressure> = BTreeMap::new();
    for runner in roster.iter() {
        let pressure = halls.entry(runner.hall.clone()).or_default();
        pressure.runners += 1;
        pressure.leaving += usize::from(runner.draining);
        let cold_rate = roster.find_cold_rate(&runner.id, now);
        pressure.cold += usize::from(cold_rate.is_some());
        pressure.cold_rate.0 += cold_rate.unwrap_or_default().0;
        match feedback.find_admission(&runner.id, runner.incarnation, cold_rate, now) {
            Admission::Open => {}
            Admission::BackingOff(_) => pressure.backing_off += 1,
            Admission::RateLimited(rate) => {
                pressure.rate_limited += 1;
                pressure.allowed_rate.0 += rate.0;
            }
        }
    }
    halls
}
