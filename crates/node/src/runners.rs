//! What a node learns of runners: their entries, and processes that have ended or started again.

use cottoncrank::id;
use cottoncrank_fleet::roster::Update;
use cottoncrank_fleet::runner::{Incarnation, Place, Runner};
use cottoncrank_fleet::suspects::Origin;

use crate::attempt::Pick;
use crate::state::Node;
use crate::suspects;

impl Node {
    /// Stores a runner's entry and detects a new incarnation of the runner.
    pub fn insert_runner(&self, runner: Runner) {
        let (id, incarnation) = (runner.id.clone(), runner.incarnation);
        let crashed = self.interruptions.lock().take_replaced(&id, runner.address, self.now());
        suspects::merge_rows(self, &crashed, Origin::Hall);
        let update = self.roster.lock().receive(runner, self.now());
        match (update, incarnation) {
            (Update::Restarted, Some(incarnation)) => self.handle_restart(&id, incarnation),
            (Update::Outdated, Some(incarnation)) => {
                log::info!(
                    "roster: ignoring an entry of {id}: its incarnation {incarnation} is older than the known one"
                )
            }
            _ => {}
        }
    }

    /// Stops using a runner whose entry is invalid. Requests that run there continue.
    pub fn discard_runner(&self, id: &id::Runner) {
        self.roster.lock().discard(id, self.now());
        self.ledger.lock().forget(id);
    }

    /// Returns where a runner was last known to be, by its entry or by the plans.
    pub fn find_place(&self, id: &id::Runner) -> Option<Place> {
        let seen = self.roster.lock().get_last_known(id).map(Runner::place);
        seen.or_else(|| self.plans.lock().values().find_map(|plan| plan.places.get(id)).cloned())
    }

    /// Records the incarnation that a runner reported.
    pub fn record_incarnation(&self, id: &id::Runner, incarnation: Incarnation) {
        if self.roster.lock().record_incarnation(id, incarnation) {
            self.roster.lock().record_cold_start(id, self.now());
            self.handle_restart(id, incarnation);
            self.fleet_changed.notify_one();
        }
    }

    /// Records that the process of the runner that was picked has ended.
    pub(crate) fn record_end(&self, pick: &Pick) {
        self.roster.lock().record_end(&pick.id, pick.incarnation, self.now());
    }

    /// Records that a runner announced in an answer that it is leaving.
    pub(crate) fn record_leaving(&self, id: &id::Runner, incarnation: Option<Incarnation>) {
        if self.roster.lock().record_leaving(id, incarnation) {
            log::info!("roster: {id} announced that it is leaving");
            metrics::counter!("cottoncrank_runners_leaving_total").increment(1);
            self.fleet_changed.notify_one();
        }
    }

    /// Drops what was observed of a runner's earlier incarnation.
    fn handle_restart(&self, id: &id::Runner, incarnation: Incarnation) {
        log::info!("roster: {id} has started again, its incarnation is now {incarnation}");
        metrics::counter!("cottoncrank_runners_restarted_total").increment(1);
        self.ledger.lock().record_restart(id);
        let crashed = self.interruptions.lock().take_earlier(id, incarnation, self.now());
        suspects::merge_rows(self, &crashed, Origin::Hall);
    }
}
