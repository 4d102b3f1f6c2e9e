//! Telling other nodes what runners said of themselves, along with what nodes tell each other of
//! requests in flight: a runner answers one node, and what it says concerns all.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;
use cottoncrank_fleet::feedback::{Admission, Digest, LeavingRunner};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::rate::Rate;

use crate::state::Node;
use crate::throttle;

/// What this node tells a collector, as one node or for its hall.
pub(crate) fn tell(node: &Node, scope: Scope) -> Digest {
    let now = node.now();
    let mut refusing = list_refusing(node);
    if scope == Scope::Hall {
        refusing.extend(node.rejections.lock().list_local(now).cloned());
    }
    Digest {
        claims: throttle::list_rates(node, scope),
        leaving: node.roster.lock().list_leaving(),
        refusing: refusing.into_iter().collect(),
    }
}

/// What this node, as a collector, tells who reports to it. A collector of another hall is told in
/// a report of this one.
pub(crate) fn answer(node: &Node, scope: Scope) -> Digest {
    match scope {
        Scope::Node => Digest {
            claims: throttle::list_plain_rates(node),
            leaving: node.roster.lock().list_leaving(),
            refusing: node.rejections.lock().list(node.now()).cloned().collect(),
        },
        Scope::Hall => Digest::default(),
    }
}

/// Takes in what another node tells: a node of this hall, or one that speaks for others.
pub(crate) fn take(node: &Node, news: &Digest, scope: Scope) {
    throttle::receive_rates(node, &news.claims);
    for LeavingRunner { runner, life } in &news.leaving {
        node.record_leaving(runner, *life);
    }
    let (mut refusals, now) = (node.rejections.lock(), node.now());
    for runner in &news.refusing {
        refusals.record(runner, scope == Scope::Node, now);
    }
}

/// The runners that turn requests of this node away without a word on for how long. Those that
/// ask for a rest get it: another head would take it from their group.
fn list_refusing(node: &Node) -> BTreeSet<id::Runner> {
    node.ledger.lock().list_rejecting(node.now()).cloned().collect()
}

/// The runners that have turned requests away for a while, as far as this node knows.
pub(crate) fn list_lasting(node: &Node) -> BTreeSet<id::Runner> {
    let own = list_refusing(node);
    let (mut refusals, now) = (node.rejections.lock(), node.now());
    for runner in &own {
        refusals.record(runner, true, now);
    }
    refusals.list_persistent(now).cloned().collect()
}

/// How many runners of a hall say what, as this node knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    /// They want no requests from this node for a while.
    pub unwilling: usize,
    /// They are about to leave.
    pub leaving: usize,
    /// They name a rate.
    pub limited: usize,
    /// What those take together.
    pub allowed: Rate,
}

/// What the runners of each hall say of themselves.
pub(crate) fn measure(node: &Node) -> BTreeMap<id::Hall, Pressure> {
    let (roster, said, now) = (node.roster.lock(), node.feedback.lock(), node.now());
    let mut halls: BTreeMap<id::Hall, Pressure> = BTreeMap::new();
    for runner in roster.iter() {
        let pressure = halls.entry(runner.hall.clone()).or_default();
        pressure.leaving += usize::from(runner.draining);
        match said.find_admission(&runner.id, runner.incarnation, now) {
            Admission::Open => {}
            Admission::BackingOff(_) => pressure.unwilling += 1,
            Admission::RateLimited(rate) => {
                pressure.limited += 1;
                pressure.allowed.0 += rate.0;
            }
        }
    }
    halls
}
