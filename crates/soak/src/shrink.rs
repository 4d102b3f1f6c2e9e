//! Finding the faults of a failing plan that are needed.

use std::io;
use std::path::Path;

use crate::plan::Plan;
use crate::run::play;

/// Leaves out halves, quarters and so on of the faults, as long as some promise is
/// still not kept; at most `tries` plays.
pub async fn shrink(plan: &Plan, folder: &Path, tries: usize) -> io::Result<Plan> {
    let mut least = plan.clone();
    let mut size = least.events.len().div_ceil(2);
    let mut left = tries;
    while size > 0 && left > 0 {
        let mut at = 0;
        let before = least.events.len();
        while at < least.events.len() && left > 0 {
            let mut fewer = least.clone();
            fewer.events.drain(at..(at + size).min(least.events.len()));
            left -= 1;
            match play(&fewer, folder).await?.breaches.is_empty() {
                true => at += size,
                false => least = fewer,
            }
        }
        size = if least.events.len() < before { size.min(least.events.len()) } else { size / 2 };
    }
    Ok(least)
}
