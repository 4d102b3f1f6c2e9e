//! Keeps track of the paths from this node to the runners of each hall, and checks those that are cut.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::path::{Change, Outcome};
use rand::seq::IteratorRandom;
use tokio::task::JoinSet;

use crate::connect::{Target, connect_directly};
use crate::state::Node;
use crate::telemetry;

/// How often a path that is cut is checked.
const CHECK_INTERVAL: Millis = Millis(200);

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
        Some(Change::Cut(failures)) => log::warn!(
            "path: {hall}: cut, other nodes reach its runners and carry this node's connections: {failures}"
        ),
        Some(Change::Regained { lasted, was_cut }) => {
            let end = if was_cut { "the cut is over, " } else { "" };
            log::info!("path: {hall}: {end}connected again, {lasted} after the first failure");
        }
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

/// Checks the paths that are cut until the process ends, by connecting to a runner of the hall.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let cut: Vec<id::Hall> = node.paths.lock().list_cut().cloned().collect();
        let mut checks = JoinSet::new();
        for target in cut.iter().flat_map(|hall| list_runners(&node, hall, 1, |_| true)) {
            // The outcome is recorded.
            checks.spawn(connect_directly(node.clone(), target));
        }
        checks.join_all().await;
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
    }
}
