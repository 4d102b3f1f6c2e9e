//! Detection of suspensions: periods in which this process did not run.
//!
//! The clock of the node counts suspensions, but timers do not. After a suspension, every task that waits
//! for a point in time is woken to check the clock again.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::clock::{Suspension, SuspensionDetector};

use crate::catchup;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;

/// How often the clocks are compared. A request whose deadline passed during a suspension is answered at
/// most this long after it.
const CHECK_INTERVAL: Millis = Millis(100);

/// Detects suspensions and updates the levels of suspected requests until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut detector = SuspensionDetector::new(node.clock.clone());
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        node.turns.record();
        catchup::check(&node);
        if let Some(suspension) = detector.check(CHECK_INTERVAL) {
            handle_resume(&node, suspension);
        }
        suspects::update_levels(&node);
    }
}

/// Wakes the waiting tasks after a suspension. Cached state need not be dropped, because the clock counts
/// the suspension in its age. What the process may have missed is handled by [`catchup`].
fn handle_resume(node: &Node, suspension: Suspension) {
    let staleness = node.staleness().map_or("unknown".to_owned(), |staleness| staleness.to_string());
    log::warn!(
        "node: this process was {suspension}; staleness of the store's content {staleness}, {} requests in flight",
        node.running()
    );
    telemetry::count_suspension(&suspension);
    node.resumed.send_modify(|count| *count += 1);
}
