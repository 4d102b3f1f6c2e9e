//! What the deciding node remembers of runners, groups and orders besides the plan.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Model, Service};
use crate::demand::{Demand, Part};
use crate::halt::Halts;
use crate::loads::{Loads, Purpose};
use crate::order::{Order, REPEAT_TAKEN};
use crate::reserve::Losses;
use crate::roster::Roster;
use crate::runner::{Epoch, Incarnation, Runner, is_later};
use crate::scene::Scene;

/// A fleet is taken to have all its runners when none has come for this long.
/// Those that start together write their entries within a second.
const SETTLED: Millis = Millis(1000);

/// A runner that was told to load a model is taken to do so for this many times as long
/// as a load takes at full speed: others may load beside it. An order may be lost, though.
const STAGING_PATIENCE: u64 = 3;

/// A runner that turned requests away is made no head for this long, if another one can be.
const REFUSED: Millis = Millis(15_000);

/// A model that a runner was told to load onto its host.
#[derive(Clone, Debug)]
struct Staging {
    model: id::Model,
    /// Until when it may still load it.
    until: Millis,
    /// What the host held before.
    held: Vec<id::Model>,
}

/// What the deciding node remembers besides the plan. All of it may be lost: a
/// new decider then waits longer than it would have to, and repeats orders.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// When each order was last given.
    pub(crate) given: HashMap<(id::Runner, Order), Millis>,
    /// When a closing order was first given to a head that has no entry.
    pub(crate) first: HashMap<(id::Runner, Order), Millis>,
    /// Orders that the runner answered as done or begun.
    pub(crate) taken: HashSet<(id::Runner, Order)>,
    /// The lives of the runners that the above were given to.
    lives: HashMap<id::Runner, Incarnation>,
    /// What each runner was last told to stage.
    staged: HashMap<id::Runner, Staging>,
    /// Groups whose members were refused in a way that no repeat mends.
    pub(crate) refused: HashSet<(id::Group, Epoch)>,
    /// Since when a retired group lacks a member and must stand still.
    pub(crate) halted: HashMap<(id::Group, Epoch), Millis>,
    /// Runners that turned requests away as heads, and when they were last seen to.
    refusing: HashMap<id::Runner, Millis>,
    /// Loads begun lately.
    pub(crate) loads: Loads,
    /// Members lost so far.
    pub(crate) losses: Losses,
    /// How busy the groups of each model are, by service.
    pub(crate) demands: HashMap<id::Service, Demand>,
    /// The most runners seen so far, and since when.
    runners: usize,
    grown: Millis,
}

impl Memory {
    /// What a node starts with that begins to decide.
    pub fn resume(halts: &Halts) -> Memory {
        Memory { halted: halts.list(), ..Memory::default() }
    }

    /// Which part of the runners each model of a service is to have.
    pub fn list_parts(&self, service: &Service) -> Vec<Part> {
        let models = service.engine.iter().flat_map(|engine| &engine.models).cloned().collect::<Vec<_>>();
        self.demands.get(&service.id).map_or(Vec::new(), |demand| demand.list_parts(&models))
    }

    /// How many things are remembered; bounded by the runners and groups there are.
    pub fn count_remembered(&self) -> usize {
        let orders = self.given.len() + self.first.len() + self.taken.len() + self.staged.len();
        orders + self.refused.len() + self.halted.len()
    }

    /// A runner answered an order as done or begun at `now`.
    ///
    /// The answer is of the life it was given in: `life`. What a former life took, the
    /// present one knows nothing of.
    pub fn note_taken(&mut self, runner: &id::Runner, life: Option<Incarnation>, order: &Order, now: Millis) {
        if let Order::Leave(group, epoch) = order {
            // Whichever member left: the group stands still from now on.
            self.halted.entry((group.clone(), *epoch)).or_insert(now);
        }
        let present = self.lives.get(runner).copied();
        if !is_later(present, life) {
            self.taken.insert((runner.clone(), order.clone()));
        }
    }

    /// Forgets what was told to former lives of runners.
    fn notice_lives(&mut self, roster: &Roster) {
        for runner in roster.iter() {
            let Some(life) = runner.incarnation else { continue };
            let before = self.lives.insert(runner.id.clone(), life);
            if is_later(Some(life), before) {
                let other = |(id, _): &(id::Runner, Order)| *id != runner.id;
                self.given.retain(|key, _| other(key));
                self.first.retain(|key, _| other(key));
                self.taken.retain(other);
                self.staged.remove(&runner.id);
                self.refusing.remove(&runner.id);
            }
        }
    }

    /// Whether a runner has turned requests away lately: another one had better be the head.
    pub(crate) fn is_refusing(&self, runner: &id::Runner) -> bool {
        self.refusing.contains_key(runner)
    }

    /// A runner is told to load a model on the side.
    pub(crate) fn note_staging(
        &mut self,
        runner: &Runner,
        model: &Model,
        now: Millis,
        serving: bool,
        purpose: Purpose,
    ) {
        let patience = Millis(model.load_time.0 * STAGING_PATIENCE);
        let staging =
            Staging { model: model.name.clone(), until: now + patience, held: runner.staged.clone() };
        self.staged.insert(runner.id.clone(), staging);
        self.loads.begin(now, 1, model.load_time, serving, purpose);
    }

    /// The model that a runner was last told to stage, if it has it or may still load it.
    pub(crate) fn last_staged(&self, runner: &Runner, now: Millis) -> Option<&id::Model> {
        let staging = self.staged.get(&runner.id)?;
        let loading = now < staging.until && runner.staged == staging.held;
        (loading || runner.staged.contains(&staging.model)).then_some(&staging.model)
    }

    /// Forgets what was given to runners, and known of groups, that are gone.
    pub(crate) fn forget(&mut self, scene: &Scene) {
        self.notice_lives(scene.roster);
        self.refusing.extend(scene.refusing.iter().map(|runner| (runner.clone(), scene.now)));
        self.refusing.retain(|_, last| scene.now < *last + REFUSED);
        let known = |runner: &id::Runner| scene.roster.get_last_known(runner).is_some();
        let groups = scene.plans.values().flat_map(|plan| &plan.groups);
        let names: HashSet<(&id::Group, Epoch)> = groups.map(|group| (&group.name, group.epoch)).collect();
        let planned = |group: &id::Group, epoch: Epoch| names.contains(&(group, epoch));
        let matters = |(runner, order): &(id::Runner, Order)| {
            known(runner) && order.group().is_none_or(|(group, epoch)| planned(group, epoch))
        };
        let lately = |at: &Millis| scene.now < *at + REPEAT_TAKEN;
        self.given.retain(|key, at| matters(key) || lately(at));
        self.first.retain(|key, _| matters(key));
        self.taken.retain(matters);
        self.lives.retain(|runner, _| known(runner));
        self.staged.retain(|runner, _| known(runner));
        self.refused.retain(|(group, epoch)| planned(group, *epoch));
        self.halted.retain(|(group, epoch), _| planned(group, *epoch));
        self.loads.forget(scene.now, scene.ceiling);
    }

    /// Whether no runner has come for a while.
    pub(crate) fn is_settled(&mut self, runners: usize, now: Millis) -> bool {
        if runners > self.runners {
            self.runners = runners;
            self.grown = now;
        }
        now >= self.grown + SETTLED
    }

    /// A runner refused an order that no repeat makes it take.
    pub fn note_refused(&mut self, runner: &id::Runner, order: &Order) {
        match order {
            Order::Join(group, epoch, ..) => {
                self.refused.insert((group.clone(), *epoch));
            }
            Order::Stage(_) => {
                self.staged.remove(runner);
            }
            Order::Open(..) | Order::Close(..) | Order::Leave(..) => {}
        }
    }
}
