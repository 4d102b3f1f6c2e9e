//! Reports of the decider's writes: what it decided, whether that was written, and why not.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::plan::Document;
use cottoncrank_platform::store::{Difference, Outcome, StoreError};

use crate::telemetry;

/// The most keys that the line of one conflict names.
const MAX_NAMED_KEYS: usize = 4;

/// Logs and counts what became of a write of plans.
pub(super) fn report_write(
    writes: &[(id::Domain, Document, Vec<String>)],
    outcome: &Result<Outcome, StoreError>,
    took: Millis,
) {
    let (label, fate) = match outcome {
        Ok(Outcome::Done(_)) => ("done", "written"),
        Ok(Outcome::Conflict(_)) => ("conflict", "not written"),
        Err(StoreError::Busy(_) | StoreError::LeaseExpired) => ("refused", "not written"),
        Err(_) => ("unknown", "perhaps written"),
    };
    telemetry::record_plan_write(label, took);
    for (domain, _, reasons) in writes {
        for reason in reasons {
            log::info!("decider: {domain}: {reason} ({fate})");
        }
    }
    let count = writes.len();
    match outcome {
        Ok(Outcome::Done(position)) => log::info!("decider: {count} plans written at {position} in {took}"),
        Ok(Outcome::Conflict(differences)) => log::warn!(
            "decider: {count} plans not written after {took}, conflict: {}",
            name_differences(differences)
        ),
        Err(error) => log::warn!("decider: {count} plans {fate} after {took}: {error}"),
    }
}

/// Names the first keys that differ.
fn name_differences(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "the store does not tell which keys differ".to_owned();
    }
    let mut names: Vec<String> = differences.iter().take(MAX_NAMED_KEYS).map(Difference::to_string).collect();
    if differences.len() > MAX_NAMED_KEYS {
        names.push(format!("{} more", differences.len() - MAX_NAMED_KEYS));
    }
    names.join("; ")
}

/// Logs and counts the orders of a step that are not sent, because its plans were not certainly written.
pub(super) fn report_unsent(service: &id::Service, orders: usize) {
    telemetry::count_unsent_orders("plan", orders);
    log::warn!(
        "decider: {service}: {orders} orders not sent, the plans of their step are not certainly written"
    );
}
