//! Keeps track of the paths from this node to the runners of each hall, and checks those that are cut.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::path::{Change, MIN_PROOFS, Outcome};
use rand::seq::IteratorRandom;
use tokio::task::JoinSet;

use crate::attempt::Pick;
use crate::connect::{self, Target, connect_directly};
use crate::state::Node;
use crate::telemetry;

/// How often paths are checked. A cut is known before a runner that fell silent is given up.
const CHECK_INTERVAL: Millis = Millis(200);

/// How long the connection of a check may last. It is closed once it is made.
const CHECK_LIFETIME: Millis = Millis(500);

/// Records how a direct connection to a runner ended, and logs when a hall is out of reach or reached
/// again.
pub(crate) fn record(node: &Node, target: &Target, outcome: Outcome) {
    telemetry::count_connection(&target.hall, outcome);
    let change = node.paths.lock().record(&target.hall, &target.id, outcome, node.now());
    report_change(node, &target.hall, change);
}

/// Records that another node connected to a runner that this node could not connect to.
pub(crate) fn record_proof(node: &Node, target: &Target) {
    let change = node.paths.lock().record_proof(&target.hall, &target.id, node.now());
    report_change(node, &target.hall, change);
}

fn report_change(node: &Node, hall: &id::Hall, change: Option<Change>) {
    match change {
        None => {}
        Some(Change::Lost(failures)) => {
            let in_flight = count_in_flight(node, hall);
            log::warn!(
                "path: {hall}: no runner can be connected to: {failures}; {in_flight} requests are in flight there on earlier connections"
            );
        }
        Some(Change::Cut(failures)) => {
            let roster = node.roster.lock();
            let runners = roster.iter().filter(|runner| runner.hall == *hall).map(|runner| &runner.id);
            node.ledger.lock().begin_cut(hall, runners);
            node.fleet_changed.notify_one();
            log::warn!(
                "path: {hall}: cut, other nodes reach its runners and carry this node's connections: {failures}"
            );
        }
        Some(Change::Regained { lasted, was_cut }) => {
            if was_cut {
                node.ledger.lock().end_cut(hall);
            }
            let end = if was_cut { "the cut is over, " } else { "" };
            log::info!("path: {hall}: {end}connected again, {lasted} after the first failure");
        }
    }
}

/// Records that a runner gave no answer, or no usable one, to a request that was sent `through` another
/// node or directly. Behind a tunnel the node that carries it may be at fault, and is avoided; on a path
/// that is cut, the path is.
pub(crate) fn record_failure(node: &Node, pick: &Pick, through: Option<&id::Node>) {
    match through {
        Some(through) => connect::avoid(node, through.clone()),
        None if node.paths.lock().is_cut(&pick.hall) => {}
        None => node.ledger.lock().record_failure(&pick.id, node.now()),
    }
}

/// Counts the requests of this node in flight at the runners of a hall.
fn count_in_flight(node: &Node, hall: &id::Hall) -> u32 {
    let (roster, ledger) = (node.roster.lock(), node.ledger.lock());
    let is_there = |id| roster.get_last_known(id).is_some_and(|runner| runner.hall == *hall);
    ledger.list_busy().filter(|(id, _)| is_there(id)).map(|(_, running)| running).sum()
}

/// Lists some runners of a hall, at random.
pub(crate) fn list_runners(
    node: &Node,
    hall: &id::Hall,
    max: usize,
    is_wanted: impl Fn(&id::Runner) -> bool,
) -> Vec<Target> {
    let roster = node.roster.lock();
    let runners = roster.iter().filter(|runner| runner.hall == *hall && is_wanted(&runner.id));
    runners.choose_multiple(&mut rand::rng(), max).into_iter().map(Target::of).collect()
}

/// Checks paths until the process ends: those that are cut, by connecting to a runner of the hall, and
/// those that may be, because a stream from there makes no progress and nothing proves that the runner is
/// at fault.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let cut: Vec<id::Hall> = node.paths.lock().list_cut().cloned().collect();
        let mut checks = JoinSet::new();
        // The outcomes are recorded.
        for target in cut.iter().flat_map(|hall| list_runners(&node, hall, 1, |_| true)) {
            checks.spawn(drop_result(connect_directly(node.clone(), target)));
        }
        for hall in list_unproven(&node) {
            checks.spawn(verify(node.clone(), hall));
        }
        checks.join_all().await;
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
    }
}

async fn drop_result<T>(check: impl Future<Output = T>) {
    drop(check.await);
}

/// Finds out whether the path to a hall is cut, by connecting to some of its runners both directly and
/// through other nodes.
pub(crate) async fn verify(node: Arc<Node>, hall: id::Hall) {
    let deadline = node.now() + CHECK_LIFETIME;
    let mut checks = JoinSet::new();
    for target in list_runners(&node, &hall, MIN_PROOFS as usize, |_| true) {
        let node = node.clone();
        checks.spawn(async move { drop(connect::open_hedged(&node, target, deadline).await) });
    }
    checks.join_all().await;
}

/// Lists the halls with stalled runners whose path is neither proven nor known to be cut.
fn list_unproven(node: &Node) -> BTreeSet<id::Hall> {
    let (roster, ledger) = (node.roster.lock(), node.ledger.lock());
    let paths = node.paths.lock();
    let stalled =
        ledger.list_stalled(node.now()).filter_map(|(id, since)| Some((&roster.get(id)?.hall, since)));
    let unproven = stalled.filter(|(hall, since)| !paths.is_cut(hall) && !paths.is_made_since(hall, *since));
    unproven.map(|(hall, _)| hall.clone()).collect()
}
