//! What the planner remembers of its own decisions.
//!
//! Orders are sent only after the plans of their step are written. A step therefore adds to a copy, which
//! replaces what is remembered once they are: orders that were not sent would otherwise not be issued again until
//! their repetition is due, and loads that did not begin would hold others back.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::Model;
use crate::holdback::Holdback;
use crate::loads::{Loads, Purpose};
use crate::order::{Order, REPEAT_ACKNOWLEDGED_INTERVAL};
use crate::reserve::Losses;
use crate::runner::Runner;
use crate::shift;
use crate::snapshot::Snapshot;

/// After an order to load a model, a runner is assumed to be loading for this many times the
/// duration of a load at full speed, because others may load at the same time. The bound is needed
/// because an order may be lost.
const STAGING_TIMEOUT_FACTOR: u64 = 3;

/// An order to load a model onto the host of a runner.
#[derive(Clone, Debug)]
struct Staging {
    model: id::Model,
    ordered_at: Millis,
    /// The time until which the runner may still be loading.
    until: Millis,
    /// The models on the host before the order.
    staged_before: Vec<id::Model>,
    purpose: Purpose,
}

/// The decisions of the steps so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decided {
    /// When each order was last issued.
    pub(crate) issued_at: HashMap<(id::Runner, Order), Millis>,
    /// Orders that were issued and not sent: they are due.
    unsent: HashSet<(id::Runner, Order)>,
    /// When a close order was first issued to a head that has no entry.
    pub(crate) first_issued_at: HashMap<(id::Runner, Order), Millis>,
    /// The last order to stage a model, by runner.
    staging_orders: HashMap<id::Runner, Staging>,
    /// Recent loads.
    pub(crate) loads: Loads,
    /// Whether loads that callers need are held back, and what was told of it.
    pub(crate) holdback: Holdback,
    /// The members lost so far.
    pub(crate) losses: Losses,
    /// Since when models have had no group while callers were present.
    pub(crate) awaited_since: HashMap<(id::Service, id::Model), Millis>,
    /// Which models are short, and which lend groups to which, by service.
    pub(crate) shifts: HashMap<id::Service, shift::state::State>,
}

impl Decided {
    /// Returns the number of entries kept for runners and their orders.
    pub(crate) fn count_entries(&self) -> usize {
        self.issued_at.len() + self.unsent.len() + self.first_issued_at.len() + self.staging_orders.len()
    }

    /// Drops what was ordered of a runner.
    pub(crate) fn forget_runner(&mut self, runner: &id::Runner) {
        self.issued_at.retain(|(id, _), _| id != runner);
        self.unsent.retain(|(id, _)| id != runner);
        self.first_issued_at.retain(|(id, _), _| id != runner);
        self.forget_staging(runner);
    }

    /// Records that an order is issued, if it is due: it was not issued within `interval`, or not sent. Returns
    /// whether it is.
    pub(crate) fn issue(&mut self, key: &(id::Runner, Order), interval: Millis, now: Millis) -> bool {
        let is_due = self.issued_at.get(key).is_none_or(|at| now >= *at + interval);
        if self.unsent.remove(key) || is_due {
            self.issued_at.insert(key.clone(), now);
            return true;
        }
        false
    }

    /// Drops the order to stage a model that a runner got last.
    pub(crate) fn forget_staging(&mut self, runner: &id::Runner) {
        self.staging_orders.remove(runner);
    }

    /// Records that an order was not sent. The load for a group stays counted, because the order for it follows;
    /// another runner may be chosen for a load onto a host.
    pub(crate) fn record_unsent(&mut self, runner: &id::Runner, order: &Order) {
        let key = (runner.clone(), order.clone());
        self.first_issued_at.remove(&key);
        self.unsent.insert(key);
        if let Order::Stage(model) = order
            && self.staging_orders.get(runner).is_some_and(|staging| staging.model == *model)
            && let Some(staging) = self.staging_orders.remove(runner)
        {
            self.loads.withdraw(staging.ordered_at, staging.purpose);
        }
    }

    /// Records an order to load a model onto the host of a runner.
    pub(crate) fn record_staging(
        &mut self,
        runner: &Runner,
        model: &Model,
        now: Millis,
        serving: bool,
        purpose: Purpose,
    ) {
        let until = now + Millis(model.load_time.0 * STAGING_TIMEOUT_FACTOR);
        let staged_before = runner.staged.clone();
        let staging = Staging { model: model.name.clone(), ordered_at: now, until, staged_before, purpose };
        self.staging_orders.insert(runner.id.clone(), staging);
        self.loads.record_started(now, 1, model.load_time, serving, purpose);
    }

    /// Returns the model that a runner was last ordered to stage, if it holds it or may still be
    /// loading it.
    pub(crate) fn last_staged(&self, runner: &Runner, now: Millis) -> Option<&id::Model> {
        let staging = self.staging_orders.get(&runner.id)?;
        let loading = now < staging.until && runner.staged == staging.staged_before;
        (loading || runner.staged.contains(&staging.model)).then_some(&staging.model)
    }

    /// Drops the entries of runners that are not known and of orders that are not relevant any more.
    pub(crate) fn prune(
        &mut self,
        snapshot: &Snapshot,
        is_known: impl Fn(&id::Runner) -> bool,
        is_relevant: impl Fn(&(id::Runner, Order)) -> bool,
    ) {
        let is_recent = |at: &Millis| snapshot.now < *at + REPEAT_ACKNOWLEDGED_INTERVAL;
        self.issued_at.retain(|key, at| is_relevant(key) || is_recent(at));
        self.unsent.retain(|key| self.issued_at.contains_key(key));
        self.first_issued_at.retain(|key, _| is_relevant(key));
        self.staging_orders.retain(|runner, _| is_known(runner));
        self.loads.prune(snapshot.now, snapshot.ceiling);
    }
}
