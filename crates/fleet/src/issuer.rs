//! Issues orders to runners, and repeats those that show no effect.

use cottoncrank::{Millis, id};

use crate::catalog::Model;
use crate::decided::Decided;
use crate::memory::Memory;
use crate::order::{Order, REPEAT_ACKNOWLEDGED_INTERVAL, REPEAT_INTERVAL};
use crate::runner::Runner;
use crate::snapshot::Snapshot;

/// Issues each order once, and again while it shows no effect.
pub(crate) struct Issuer<'a> {
    pub(crate) now: Millis,
    pub(crate) memory: &'a mut Memory,
    pub(crate) decided: &'a mut Decided,
    pub(crate) orders: &'a mut Vec<(id::Runner, Order)>,
    /// The loads that may still begin in this step for groups that callers need.
    pub(crate) repair_loads: usize,
    /// The loads that may still begin in this step in reserve.
    pub(crate) reserve_loads: usize,
    /// Whether a load for a group that callers need could not begin.
    pub(crate) held_back: bool,
    /// Whether losses may not be known yet, so that loads for none wait.
    pub(crate) holds_reserves: bool,
    pub(crate) serving: bool,
}

impl Issuer<'_> {
    pub(crate) fn issue(&mut self, runner: &id::Runner, order: Order) {
        self.issue_due(runner, order);
    }

    /// Issues an order if it is due. Returns whether it is.
    pub(crate) fn issue_due(&mut self, runner: &id::Runner, order: Order) -> bool {
        let key = (runner.clone(), order);
        let interval = if self.memory.acknowledged.contains(&key) {
            REPEAT_ACKNOWLEDGED_INTERVAL
        } else {
            REPEAT_INTERVAL
        };
        let is_due = self.decided.issue(&key, interval, self.now);
        if is_due {
            self.orders.push(key);
        }
        is_due
    }

    /// Whether an order was first issued at least `span` ago. The first call for an order starts
    /// the time.
    pub(crate) fn has_waited(&mut self, runner: &id::Runner, order: &Order, span: Millis) -> bool {
        let key = (runner.clone(), order.clone());
        let first = *self.decided.first_issued_at.entry(key).or_insert(self.now);
        self.now >= first + span
    }

    /// Returns the model that the runner was last ordered to stage.
    pub(crate) fn last_staged(&self, runner: &Runner) -> Option<&id::Model> {
        self.decided.last_staged(runner, self.now)
    }

    /// Returns what one more copy of a model is worth to the next shift, in idle runners.
    pub(crate) fn find_shift_value(&self, snapshot: &Snapshot, model: &Model) -> f64 {
        let shift = self.decided.shifts.get(&snapshot.service.id);
        shift.map_or(0.0, |shift| shift.find_staging_value(snapshot, &model.name))
    }
}
