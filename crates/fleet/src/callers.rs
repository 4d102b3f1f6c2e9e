//! Whether callers have sent requests to the fleet, as far as a decider can tell.
//!
//! From the first request on, loads from the weight store are slow and count against its ceiling. A node
//! may become the decider before it has had a request itself, and after a loss of all nodes nobody
//! remembers any. So one plan says that callers have been served, and until one does, requests that other
//! nodes tell of show it.

use std::fmt;

use crate::snapshot::{Draft, Snapshot};

/// What shows that callers have sent requests to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Requests to this node.
    Own,
    /// A plan in the store.
    Plan,
    /// Requests in flight at groups.
    InFlight,
    /// Requests that other nodes refuse or keep waiting.
    Pressure,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Evidence::Own => "this node has had requests of callers",
            Evidence::Plan => "a plan says that callers have sent requests",
            Evidence::InFlight => "other nodes have requests in flight",
            Evidence::Pressure => "other nodes tell of requests that find no room",
        })
    }
}

/// Returns what shows that callers have sent requests to the fleet, if anything does.
pub fn find(snapshot: &Snapshot) -> Option<Evidence> {
    let has_flights = || snapshot.in_flight.is_some_and(|counts| counts.values().any(|count| *count > 0));
    if snapshot.serving {
        Some(Evidence::Own)
    } else if snapshot.plans.values().any(|plan| plan.served) {
        Some(Evidence::Plan)
    } else if has_flights() {
        Some(Evidence::InFlight)
    } else {
        (!snapshot.pressure.strains.is_empty()).then_some(Evidence::Pressure)
    }
}

/// Notes in one plan, if none says so yet, that callers have sent requests. One is enough, and no plan is
/// written for the sake of another.
pub(crate) fn record(snapshot: &Snapshot, drafts: &mut [Draft]) {
    if drafts.iter().any(|draft| draft.plan.served) {
        return;
    }
    let is_written = |draft: &Draft| {
        let is_known = snapshot.plans.contains_key(&draft.id) || !draft.plan.groups.is_empty();
        is_known && !snapshot.closed.contains(&draft.id)
    };
    if let Some(draft) = drafts.iter_mut().find(|draft| is_written(draft)) {
        draft.plan.served = true;
        draft.reasons.push("callers have sent requests".to_owned());
    }
}
