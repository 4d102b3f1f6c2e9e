//! Telling other nodes what runners said of themselves, along with what nodes tell each other of
//! requests in flight: a runner answers one node, and what it says concerns all.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::said::{Admission, Leaving, News};

use crate::state::Node;
use crate::throttle;

/// What this node tells a collector, as one node or for its hall.
pub(crate) fn build_digest(node: &Node, scope: Scope) -> News {
    let now = node.now();
    let mut rejecting = list_rejecting(node);
    if scope == Scope::Hall {
        rejecting.extend(node.refusals.lock().list_here(now).cloned());
    }
    News {
        claims: throttle::list_claims(node, scope),
        leaving: node.roster.lock().list_leaving(),
        refusing: rejecting.into_iter().collect(),
    }
}

/// What this node, as a collector, tells who reports to it. A collector of another hall is told in
/// a report of this one.
pub(crate) fn build_reply_digest(node: &Node, scope: Scope) -> News {
    match scope {
        Scope::Node => News {
            claims: throttle::list_plain_claims(node),
            leaving: node.roster.lock().list_leaving(),
            refusing: node.refusals.lock().list(node.now()).cloned().collect(),
        },
        Scope::Hall => News::default(),
    }
}

/// Takes in what another node tells: a node of this hall, or one that speaks for others.
pub(crate) fn apply_digest(node: &Node, digest: &News, scope: Scope) {
    throttle::take_claims(node, &digest.claims);
    for Leaving { runner, life } in &digest.leaving {
        node.record_leaving(runner, *life);
    }
    let (mut refusals, now) = (node.refusals.lock(), node.now());
    for runner in &digest.refusing {
        refusals.note(runner, scope == Scope::Node, now);
    }
}

/// The runners that turn requests of this node away without a word on for how long. Those that
/// ask for a rest get it: another head would take it from their group.
fn list_rejecting(node: &Node) -> BTreeSet<id::Runner> {
    node.ledger.lock().list_refusing(node.now()).cloned().collect()
}

/// The runners that have turned requests away for a while, as far as this node knows.
pub(crate) fn list_long_rejecting(node: &Node) -> BTreeSet<id::Runner> {
    let own = list_rejecting(node);
    let (mut refusals, now) = (node.refusals.lock(), node.now());
    for runner in &own {
        refusals.note(runner, true, now);
    }
    refusals.list_lasting(now).cloned().collect()
}

/// How many runners of a hall say what, as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backpressure {
    /// They want no requests from this node for a while.
    pub backing_off: usize,
    /// They are about to leave.
    pub leaving: usize,
    /// They name a rate.
    pub rate_limited: usize,
    /// What those take together.
    pub allowed_rate: Rate,
}

/// What the runners of each hall say of themselves.
pub(crate) fn measure_backpressure(node: &Node) -> BTreeMap<id::Hall, Backpressure> {
    let (roster, said, now) = (node.roster.lock(), node.said.lock(), node.now());
    let mut halls: BTreeMap<id::Hall, Backpressure> = BTreeMap::new();
    for runner in roster.iter() {
        let pressure = halls.entry(runner.hall.clone()).or_default();
        pressure.leaving += usize::from(runner.draining);
        match said.ask(&runner.id, runner.incarnation, now) {
            Admission::Open => {}
            Admission::Closed(_) => pressure.backing_off += 1,
            Admission::Rated(rate) => {
                pressure.rate_limited += 1;
                pressure.allowed_rate.0 += rate.0;
            }
        }
    }
    halls
}
