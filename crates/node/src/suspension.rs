//! Noticing that this process did not run for a while, and what has to happen then.
//!
//! Points in time are kept by a clock that counts a suspension; timers do not. So all that
//! waits for a point in time is woken, and looks at the clock again.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::clock::{Suspension, SuspensionDetector};

use crate::state::Node;
use crate::suspects;
use crate::telemetry;

/// How often the clocks are compared: a request whose time was over during a suspension is
/// answered this long after it at the latest.
const CHECK_INTERVAL: Millis = Millis(100);

/// Looks after time until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut detector = SuspensionDetector::new(node.clock.clone());
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        if let Some(suspension) = detector.check(CHECK_INTERVAL) {
            handle_resume(&node, suspension);
        }
        suspects::update_levels(&node);
    }
}

/// The process runs again. What is known is as old as the clock says, which counts the suspension:
/// nothing has to be thrown away.
fn handle_resume(node: &Node, suspension: Suspension) {
    let staleness = node.staleness().map_or("unknown".to_owned(), |staleness| staleness.to_string());
    log::warn!(
        "node: this process was {suspension}; changes of the store may be missed for {staleness}, {} requests under way",
        node.running()
    );
    telemetry::count_suspension(&suspension);
    node.resumed.send_modify(|count| *count += 1);
}
