//! Keeps a node that did not run for a while from relying on what it knew before.
//!
//! Until it has heard what the others know, it counts all runners as cold, and answers no queries of
//! other nodes that rest on its knowledge.

use cottoncrank::Millis;
use cottoncrank_fleet::catchup::MAX_BEHIND;

use crate::attempt::{Job, Pick};
use crate::state::Node;
use crate::telemetry;

/// How long a request waits for this process to catch up: until two nodes that do not answer are given up
/// and a third one or the store has answered.
const MAX_WAIT: Millis = Millis(250);

/// Detects that this process did not run for a while, and returns whether it is behind.
pub(crate) fn check(node: &Node) -> bool {
    let now = node.now();
    let mut tracker = node.catchup.lock();
    if let Some(gap) = tracker.record_run(now) {
        node.roster.lock().assume_cold_until(now + MAX_BEHIND);
        log::warn!("catch-up: this process did not run for {gap}; all runners count as cold until it hears");
        node.behind.send_replace(true);
        node.resumed.send_modify(|count| *count += 1);
    }
    tracker.is_behind(now)
}

/// Waits for a request to a service with a cold start until this process has caught up, for at most
/// [`MAX_WAIT`].
pub(crate) async fn wait(node: &Node, job: &Job) {
    let service = job.catalog.find_service(&job.service);
    if service.is_none_or(|service| service.cold_start.is_none()) || !check(node) {
        return;
    }
    let mut behind = node.behind.subscribe();
    // After the timeout, the runners are sent what they take while they are cold.
    let _ = tokio::time::timeout(MAX_WAIT.duration(), behind.wait_for(|behind| !behind)).await;
}

/// Whether this process did not run for a while after a runner was picked, so that it may lack what
/// forbids to send there. Runners have to be picked after a [`check`].
pub(crate) fn is_outdated(node: &Node, pick: &Pick) -> bool {
    check(node);
    node.catchup.lock().has_resumed_since(pick.picked_at)
}

/// Records that all changes of the store are known up to the call that began at `asked`.
pub(crate) fn record_answer(node: &Node, asked: Millis) {
    let now = node.now();
    let mut tracker = node.catchup.lock();
    if let Some(behind) = tracker.record_answer(asked, now) {
        node.roster.lock().assume_cold_until(Millis(0));
        node.behind.send_replace(false);
        log::info!("catch-up: all changes are known, {behind} after this process resumed");
        telemetry::record_catch_up(behind);
    }
}
