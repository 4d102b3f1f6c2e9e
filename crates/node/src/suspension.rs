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
const BEAT: Millis = Millis(100);

/// Looks after time until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut watch = SuspensionDetector::new(node.clock.clone());
    loop {
        tokio::time::sleep(BEAT.duration()).await;
        if let Some(gap) = watch.check(BEAT) {
            wake(&node, gap);
        }
        suspects::settle(&node);
    }
}

/// The process runs again. What is known is as old as the clock says, which counts the gap:
/// nothing has to be thrown away.
fn wake(node: &Node, gap: Suspension) {
    let silence = node.staleness().map_or("unknown".to_owned(), |silence| silence.to_string());
    log::warn!(
        "node: this process was {gap}; changes of the store may be missed for {silence}, {} requests under way",
        node.running()
    );
    telemetry::count_gap(&gap);
    node.resumed.send_modify(|times| *times += 1);
}
