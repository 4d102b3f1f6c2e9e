//! What the deciding node remembers of runners, groups and orders besides the plan.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Model, Service};
use crate::demand::{Demand, Share};
use crate::loads::{Loads, Purpose};
use crate::order::{Order, REPEAT_ACKNOWLEDGED_INTERVAL};
use crate::reserve::Losses;
use crate::roster::Roster;
use crate::runner::{Epoch, Life, Runner, is_later};
use crate::snapshot::Snapshot;
use crate::stall::Stalls;

/// A fleet is taken to have all its runners when none has come for this long.
/// Those that start together write their entries within a second.
const SETTLE_TIME: Millis = Millis(1000);

/// A runner that was told to load a model is taken to do so for this many times as long
/// as a load takes at full speed: others may load beside it. An order may be lost, though.
const STAGING_TIMEOUT_FACTOR: u64 = 3;

/// A runner that turned requests away is made no head for this long, if another one can be.
const REJECTING_TTL: Millis = Millis(15_000);

/// A model that a runner was told to load onto its host.
#[derive(Clone, Debug)]
struct Staging {
    model: id::Model,
    /// Until when it may still load it.
    until: Millis,
    /// What the host held before.
    staged_before: Vec<id::Model>,
}

/// What the deciding node remembers besides the plan. All of it may be lost: a
/// new decider then waits longer than it would have to, and repeats orders.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// When each order was last given.
    pub(crate) issued_at: HashMap<(id::Runner, Order), Millis>,
    /// When a closing order was first given to a head that has no entry.
    pub(crate) first_issued_at: HashMap<(id::Runner, Order), Millis>,
    /// Orders that the runner answered as done or begun.
    pub(crate) acknowledged: HashSet<(id::Runner, Order)>,
    /// The lives of the runners that the above were given to.
    incarnations: HashMap<id::Runner, Life>,
    /// What each runner was last told to stage.
    staging_orders: HashMap<id::Runner, Staging>,
    /// Groups whose members were refused in a way that no repeat mends.
    pub(crate) refused_joins: HashSet<(id::Group, Epoch)>,
    /// Since when a retired group lacks a member and must stand still.
    pub(crate) stalled_since: HashMap<(id::Group, Epoch), Millis>,
    /// Runners that turned requests away as heads, and when they were last seen to.
    rejecting: HashMap<id::Runner, Millis>,
    /// Loads begun lately.
    pub(crate) loads: Loads,
    /// Members lost so far.
    pub(crate) losses: Losses,
    /// How busy the groups of each model are, by service.
    pub(crate) demands: HashMap<id::Service, Demand>,
    /// The most runners seen so far, and since when.
    max_runners: usize,
    grown_at: Millis,
}

impl Memory {
    /// What a node starts with that begins to decide.
    pub fn resume(stalls: &Stalls) -> Memory {
        Memory { stalled_since: stalls.list(), ..Memory::default() }
    }

    /// Which part of the runners each model of a service is to have.
    pub fn list_shares(&self, service: &Service) -> Vec<Share> {
        let models = service.engine.iter().flat_map(|engine| &engine.models).cloned().collect::<Vec<_>>();
        self.demands.get(&service.id).map_or(Vec::new(), |demand| demand.list_shares(&models))
    }

    /// How many things are remembered; bounded by the runners and groups there are.
    pub fn count_entries(&self) -> usize {
        let orders = self.issued_at.len()
            + self.first_issued_at.len()
            + self.acknowledged.len()
            + self.staging_orders.len();
        orders + self.refused_joins.len() + self.stalled_since.len()
    }

    /// A runner answered an order as done or begun at `now`.
    ///
    /// The answer is of the life it was given in: `life`. What a former life took, the
    /// present one knows nothing of.
    pub fn record_acknowledged(
        &mut self,
        runner: &id::Runner,
        life: Option<Life>,
        order: &Order,
        now: Millis,
    ) {
        if let Order::Leave(group, epoch) = order {
            // Whichever member left: the group stands still from now on.
            self.stalled_since.entry((group.clone(), *epoch)).or_insert(now);
        }
        let current = self.incarnations.get(runner).copied();
        if !is_later(current, life) {
            self.acknowledged.insert((runner.clone(), order.clone()));
        }
    }

    /// Forgets what was told to former lives of runners.
    fn forget_old_incarnations(&mut self, roster: &Roster) {
        for runner in roster.iter() {
            let Some(life) = runner.life else { continue };
            let previous = self.incarnations.insert(runner.id.clone(), life);
            if is_later(Some(life), previous) {
                let is_other = |(id, _): &(id::Runner, Order)| *id != runner.id;
                self.issued_at.retain(|key, _| is_other(key));
                self.first_issued_at.retain(|key, _| is_other(key));
                self.acknowledged.retain(is_other);
                self.staging_orders.remove(&runner.id);
                self.rejecting.remove(&runner.id);
            }
        }
    }

    /// Whether a runner has turned requests away lately: another one had better be the head.
    pub(crate) fn is_rejecting(&self, runner: &id::Runner) -> bool {
        self.rejecting.contains_key(runner)
    }

    /// A runner is told to load a model on the side.
    pub(crate) fn record_staging(
        &mut self,
        runner: &Runner,
        model: &Model,
        now: Millis,
        serving: bool,
        purpose: Purpose,
    ) {
        let timeout = Millis(model.load.0 * STAGING_TIMEOUT_FACTOR);
        let staging =
            Staging { model: model.name.clone(), until: now + timeout, staged_before: runner.staged.clone() };
        self.staging_orders.insert(runner.id.clone(), staging);
        self.loads.record_started(now, 1, model.load, serving, purpose);
    }

    /// The model that a runner was last told to stage, if it has it or may still load it.
    pub(crate) fn last_staged(&self, runner: &Runner, now: Millis) -> Option<&id::Model> {
        let staging = self.staging_orders.get(&runner.id)?;
        let loading = now < staging.until && runner.staged == staging.staged_before;
        (loading || runner.staged.contains(&staging.model)).then_some(&staging.model)
    }

    /// Forgets what was given to runners, and known of groups, that are gone.
    pub(crate) fn prune(&mut self, snapshot: &Snapshot) {
        self.forget_old_incarnations(snapshot.roster);
        self.rejecting.extend(snapshot.rejecting.iter().map(|runner| (runner.clone(), snapshot.now)));
        self.rejecting.retain(|_, last| snapshot.now < *last + REJECTING_TTL);
        let is_known = |runner: &id::Runner| snapshot.roster.recall(runner).is_some();
        let groups = snapshot.plans.values().flat_map(|plan| &plan.groups);
        let names: HashSet<(&id::Group, Epoch)> = groups.map(|group| (&group.name, group.epoch)).collect();
        let is_planned = |group: &id::Group, epoch: Epoch| names.contains(&(group, epoch));
        let is_relevant = |(runner, order): &(id::Runner, Order)| {
            is_known(runner) && order.group().is_none_or(|(group, epoch)| is_planned(group, epoch))
        };
        let is_recent = |at: &Millis| snapshot.now < *at + REPEAT_ACKNOWLEDGED_INTERVAL;
        self.issued_at.retain(|key, at| is_relevant(key) || is_recent(at));
        self.first_issued_at.retain(|key, _| is_relevant(key));
        self.acknowledged.retain(is_relevant);
        self.incarnations.retain(|runner, _| is_known(runner));
        self.staging_orders.retain(|runner, _| is_known(runner));
        self.refused_joins.retain(|(group, epoch)| is_planned(group, *epoch));
        self.stalled_since.retain(|(group, epoch), _| is_planned(group, *epoch));
        self.loads.prune(snapshot.now, snapshot.ceiling);
    }

    /// Whether no runner has come for a while.
    pub(crate) fn is_settled(&mut self, runners: usize, now: Millis) -> bool {
        if runners > self.max_runners {
            self.max_runners = runners;
            self.grown_at = now;
        }
        now >= self.grown_at + SETTLE_TIME
    }

    /// A runner refused an order that no repeat makes it take.
    pub fn record_refused(&mut self, runner: &id::Runner, order: &Order) {
        match order {
            Order::Join(group, epoch, ..) => {
                self.refused_joins.insert((group.clone(), *epoch));
            }
            Order::Stage(_) => {
                self.staging_orders.remove(runner);
            }
            Order::Open(..) | Order::Close(..) | Order::Leave(..) => {}
        }
    }
}
