//! Records how connections to runners end, by hall.

use cottoncrank_fleet::path::{Change, Outcome};

use crate::attempt::Pick;
use crate::channel::ChannelError;
use crate::state::Node;
use crate::telemetry;

/// Returns how an attempt to connect ended, given its error if it failed.
fn find_outcome(error: Option<&ChannelError>) -> Outcome {
    match error {
        None => Outcome::Made,
        Some(error) if error.is_refused() => Outcome::Refused,
        Some(error) if error.is_timeout() => Outcome::TimedOut,
        Some(_) => Outcome::Failed,
    }
}

/// Counts an attempt to connect to a runner, and logs when a hall is out of reach or reached again.
pub(crate) fn record(node: &Node, pick: &Pick, error: Option<&ChannelError>) {
    let outcome = find_outcome(error);
    telemetry::count_connection(&pick.hall, outcome);
    let change = node.paths.lock().record(&pick.hall, &pick.id, outcome, node.now());
    match change {
        None => {}
        Some(Change::Lost(failures)) => {
            let (hall, in_flight) = (&pick.hall, count_in_flight(node, pick));
            log::warn!(
                "path: {hall}: no runner can be connected to: {failures}; {in_flight} requests are in flight there on earlier connections"
            );
        }
        Some(Change::Regained(lasted)) => {
            log::info!("path: {}: connected again, {lasted} after the first failure", pick.hall)
        }
    }
}

/// Counts the requests of this node in flight at the runners of a hall.
fn count_in_flight(node: &Node, pick: &Pick) -> u32 {
    let (roster, ledger) = (node.roster.lock(), node.ledger.lock());
    let is_there = |id| roster.get_last_known(id).is_some_and(|runner| runner.hall == pick.hall);
    ledger.list_busy().filter(|(id, _)| is_there(id)).map(|(_, running)| running).sum()
}
