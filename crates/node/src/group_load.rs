//! What this node sees of each group: what it has in flight there, and which groups it doubts. The
//! collectors and the decider are told.

use std::collections::BTreeSet;

use cottoncrank::id;
use cottoncrank_fleet::occupancy::{Counts, InFlight};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::Epoch;

use crate::state::Node;

impl Node {
    /// Returns the in-flight requests of this node at each group.
    pub fn sum_in_flight(&self) -> InFlight {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let busy = ledger.list_busy();
        InFlight::for_node(busy.filter_map(|(id, count)| Some((find_epoch(&roster, id)?, count))).collect())
    }

    /// Returns the in-flight requests of all nodes at each group, if enough of them report.
    pub fn sum_all_in_flight(&self) -> Option<Counts> {
        let mut counts = self.sum_in_flight().counts;
        let fleet_load = self.fleet_load.lock();
        if !fleet_load.is_usable(self.now()) {
            return None;
        }
        for (epoch, count) in fleet_load.counts() {
            *counts.entry(*epoch).or_default() += count;
        }
        Some(counts)
    }

    /// Lists the groups that failed a request of this node lately, that make no progress, or whose
    /// heads are backing off or denied being the head. The nodes of a hall share this list, because
    /// otherwise each of them would have to be rejected once. What may be the fault of this node's path
    /// is left out, because it says nothing to the others.
    pub fn list_doubted(&self) -> Vec<Epoch> {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let (feedback, paths, now) = (self.feedback.lock(), self.paths.lock(), self.now());
        let find_hall = |id: &id::Runner| roster.get_last_known(id).map(|runner| &runner.hall);
        let is_trusted = |id: &id::Runner| find_hall(id).is_none_or(|hall| paths.is_trusted(hall, now));
        let is_proven =
            |id: &id::Runner, since| find_hall(id).is_none_or(|hall| paths.is_made_since(hall, since));
        let stalled = ledger.list_stalled(now).filter(|(id, since)| is_proven(id, *since));
        let failed = ledger.list_failed(now).chain(stalled.map(|(id, _)| id));
        let doubted = failed.filter(|id| is_trusted(id)).chain(feedback.backoffs.list(now));
        let epochs = doubted.filter_map(|id| find_epoch(&roster, id));
        let epochs: BTreeSet<Epoch> = epochs.chain(ledger.list_denied(now)).collect();
        epochs.into_iter().collect()
    }

    /// Lists the groups whose heads are backing off or rejecting requests of this node.
    pub(crate) fn list_backing_off(&self) -> Vec<Epoch> {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let feedback = self.feedback.lock();
        let backing_off = feedback.backoffs.list(self.now()).chain(ledger.list_rejecting(self.now()));
        backing_off.filter_map(|id| find_epoch(&roster, id)).collect()
    }
}

/// Returns the epoch of the group that a runner is a member of.
fn find_epoch(roster: &Roster, id: &id::Runner) -> Option<Epoch> {
    Some(roster.get_last_known(id)?.membership.as_ref()?.epoch)
}
