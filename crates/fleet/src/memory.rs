//! What the planner remembers of runners, groups and orders besides the plan.

use std::collections::{HashMap, HashSet};
use std::iter;

use cottoncrank::{Millis, id};

use crate::catalog::{Model, Service};
use crate::decided::Decided;
use crate::demand::{Demand, Share};
use crate::order::Order;
use crate::probe::Health;
use crate::roster::Roster;
use crate::runner::{Epoch, Incarnation, is_later};
use crate::snapshot::Snapshot;
use crate::stall::Stalls;

/// A fleet counts as complete when no runner has been added for this long. Runners that start
/// together write their entries within a second.
const SETTLE_TIME: Millis = Millis(1000);

/// A decider that has just begun knows by then of the runners that were lost before.
const FIRST_LOOK_TIME: Millis = Millis(2500);

/// A runner that was lost joins no group for this long, unless it answers or starts again. The entry of one that has
/// ended is gone by then.
const LOST_TTL: Millis = Millis(5000);

/// A runner that rejected requests is not made head for this long, if another one can be.
const REJECTING_TTL: Millis = Millis(15_000);

/// What the planner remembers besides the plan. All of it may be lost: a new decider then waits
/// longer than necessary and repeats orders.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// What steps decided whose plans were written.
    pub(crate) decided: Decided,
    /// The same with the last step, until its plans are written.
    proposed: Option<Decided>,
    /// Orders that the runner acknowledged as done or begun.
    pub(crate) acknowledged: HashSet<(id::Runner, Order)>,
    /// The incarnations of the runners that received the orders above.
    incarnations: HashMap<id::Runner, Incarnation>,
    /// Groups with a member that refused to join in a way that no retry can change.
    pub(crate) refused_joins: HashSet<(id::Group, Epoch)>,
    /// Since when a retired group is known to lack a member and to be stalled therefore.
    pub(crate) stalled_since: HashMap<(id::Group, Epoch), Millis>,
    /// Runners that have an entry and were silent or had ended, with their incarnation and the time when this was
    /// last seen. Only members of groups are probed, so nothing else tells it once their group is released.
    lost: HashMap<id::Runner, (Option<Incarnation>, Millis)>,
    /// Heads that rejected requests, with the time when this was last seen.
    rejecting: HashMap<id::Runner, Millis>,
    /// The observed utilization of the groups of each model, by service.
    pub(crate) demands: HashMap<id::Service, Demand>,
    /// When the first step was made.
    began: Option<Millis>,
    /// The largest number of runners seen so far, and since when.
    max_runners: usize,
    grown_at: Millis,
}

impl Memory {
    /// Returns the memory of a new decider, with the stalled groups that the node knows from the
    /// plans.
    pub fn resume(stalls: &Stalls) -> Memory {
        Memory { stalled_since: stalls.list(), ..Memory::default() }
    }

    /// Returns the share of the runners that each model of a service needs.
    pub fn list_shares(&self, service: &Service) -> Vec<Share> {
        let models = service.engine.iter().flat_map(|engine| &engine.models).cloned().collect::<Vec<_>>();
        self.demands.get(&service.id).map_or(Vec::new(), |demand| demand.list_shares(&models))
    }

    /// Returns how many groups each model of a service lends at present.
    pub fn list_lent(&self, service: &Service) -> Vec<(id::Model, usize)> {
        let models = service.engine.iter().flat_map(|engine| &engine.models);
        let shift = self.decided.shifts.get(&service.id);
        let count = |model: &Model| shift.map_or(0, |shift| shift.count_lent(&model.name));
        models.map(|model| (model.name.clone(), count(model))).collect()
    }

    /// Returns the number of entries kept; it is bounded by the numbers of runners and groups.
    pub fn count_entries(&self) -> usize {
        let orders = self.decided.count_entries() + self.acknowledged.len();
        orders + self.refused_joins.len() + self.stalled_since.len()
    }

    /// Records that a runner acknowledged an order as done or begun at `now`.
    ///
    /// `incarnation` is the one that the order was sent to. An acknowledgement of a former
    /// incarnation does not count for the current one, which knows nothing of the order.
    pub fn record_acknowledged(
        &mut self,
        runner: &id::Runner,
        incarnation: Option<Incarnation>,
        order: &Order,
        now: Millis,
    ) {
        if let Order::Leave(group, epoch) = order {
            // The group is stalled from now on, whichever member left.
            self.stalled_since.entry((group.clone(), *epoch)).or_insert(now);
        }
        let current = self.incarnations.get(runner).copied();
        if !is_later(current, incarnation) {
            self.acknowledged.insert((runner.clone(), order.clone()));
        }
    }

    /// Drops what was sent to former incarnations of runners.
    fn forget_old_incarnations(&mut self, roster: &Roster) {
        for runner in roster.iter() {
            let Some(life) = runner.incarnation else { continue };
            let previous = self.incarnations.insert(runner.id.clone(), life);
            if is_later(Some(life), previous) {
                self.decided.forget_runner(&runner.id);
                self.acknowledged.retain(|(id, _)| *id != runner.id);
                self.rejecting.remove(&runner.id);
            }
        }
    }

    /// Whether a runner rejected requests recently, so that another one should be the head.
    pub(crate) fn is_rejecting(&self, runner: &id::Runner) -> bool {
        self.rejecting.contains_key(runner)
    }

    /// Whether a runner was lost lately, so that it should join no group.
    pub(crate) fn is_lost(&self, runner: &id::Runner) -> bool {
        self.lost.contains_key(runner)
    }

    fn record_lost(&mut self, snapshot: &Snapshot) {
        let probes = snapshot.probes;
        for runner in snapshot.roster.iter() {
            if probes.is_gone(&runner.id) || probes.is_silent(&runner.id) {
                self.lost.insert(runner.id.clone(), (runner.incarnation, snapshot.now));
            }
        }
        self.lost.retain(|id, (life, last)| {
            let has_restarted =
                snapshot.roster.get(id).is_none_or(|runner| is_later(runner.incarnation, *life));
            let answers =
                matches!(probes.health(id), Health::Responsive | Health::Slow) && !probes.is_gone(id);
            !has_restarted && !answers && snapshot.now < *last + LOST_TTL
        });
    }

    /// Begins a step: returns what has been decided so far, to which the step adds.
    pub(crate) fn begin_step(&mut self, snapshot: &Snapshot) -> Decided {
        self.prune(snapshot);
        self.decided.clone()
    }

    /// Ends a step. What it decided takes effect once its plans are written.
    pub(crate) fn propose(&mut self, decided: Decided) {
        self.proposed = Some(decided);
    }

    /// Records that the plans of the last step are written, and that its orders are sent now.
    pub fn record_written(&mut self) {
        if let Some(decided) = self.proposed.take() {
            self.decided = decided;
        }
    }

    /// Records that an order of a step was not sent, so that the next step issues it again.
    pub fn record_unsent(&mut self, runner: &id::Runner, order: &Order) {
        for decided in iter::once(&mut self.decided).chain(&mut self.proposed) {
            decided.record_unsent(runner, order);
        }
    }

    /// Drops the entries of runners and groups that no longer exist.
    fn prune(&mut self, snapshot: &Snapshot) {
        self.forget_old_incarnations(snapshot.roster);
        self.record_lost(snapshot);
        self.rejecting.extend(snapshot.rejecting.iter().map(|runner| (runner.clone(), snapshot.now)));
        self.rejecting.retain(|_, last| snapshot.now < *last + REJECTING_TTL);
        let groups = || snapshot.plans.values().flat_map(|plan| &plan.groups);
        let members: HashSet<&id::Runner> = groups().flat_map(|group| &group.members).collect();
        let is_known = |runner: &id::Runner| {
            members.contains(runner) || snapshot.roster.get_last_known(runner).is_some()
        };
        let names: HashSet<(&id::Group, Epoch)> = groups().map(|group| (&group.name, group.epoch)).collect();
        let is_planned = |group: &id::Group, epoch: Epoch| names.contains(&(group, epoch));
        let is_relevant = |(runner, order): &(id::Runner, Order)| {
            is_known(runner) && order.group().is_none_or(|(group, epoch)| is_planned(group, epoch))
        };
        self.decided.prune(snapshot, is_known, is_relevant);
        self.acknowledged.retain(is_relevant);
        self.incarnations.retain(|runner, _| is_known(runner));
        self.refused_joins.retain(|(group, epoch)| is_planned(group, *epoch));
        self.stalled_since.retain(|(group, epoch), _| is_planned(group, *epoch));
    }

    /// Whether losses from before the first step are known at `now`. Until then all groups look whole.
    pub(crate) fn has_looked(&mut self, now: Millis) -> bool {
        now >= *self.began.get_or_insert(now) + FIRST_LOOK_TIME
    }

    /// Whether no runner has been added for [`SETTLE_TIME`].
    pub(crate) fn is_settled(&mut self, runners: usize, now: Millis) -> bool {
        if runners > self.max_runners {
            self.max_runners = runners;
            self.grown_at = now;
        }
        now >= self.grown_at + SETTLE_TIME
    }

    /// Records that a runner refused an order in a way that no retry can change.
    pub fn record_refused(&mut self, runner: &id::Runner, order: &Order) {
        match order {
            Order::Join(group, epoch, ..) => {
                self.refused_joins.insert((group.clone(), *epoch));
            }
            Order::Stage(_) => {
                for decided in iter::once(&mut self.decided).chain(&mut self.proposed) {
                    decided.forget_staging(runner);
                }
            }
            Order::Open(..) | Order::Close(..) | Order::Leave(..) => {}
        }
    }
}
