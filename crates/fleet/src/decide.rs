//! What the deciding node does next for the groups of one service.
//!
//! [`step`] compares the plan of every fabric domain with what the runners say
//! of themselves. It gives up groups that lost a member and releases their
//! members ([`crate::loss`]), forms new groups out of free runners
//! ([`crate::form`]), and lists the orders that bring the runners to where the
//! plan wants them ([`crate::order`], [`crate::staging`]). It only names changes;
//! whoever calls it writes them to the store under a condition and sends the
//! orders after that.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Engine, Model, Service};
use crate::demand::{Demand, Part};
use crate::form::{find_top, form_groups};
use crate::halt::Halts;
use crate::loads::{Loads, Purpose};
use crate::loss::{mark_halted, release_groups, retire_groups};
use crate::occupancy::Counts;
use crate::order::{Desk, Order, REPEAT_TAKEN, list_orders};
use crate::plan::{Document, Group};
use crate::preempt::preempt_groups;
use crate::preload::{is_solo, order_preloads};
use crate::probe::{Probes, Sign};
use crate::reserve::{Losses, Risk};
use crate::roster::Roster;
use crate::runner::{Epoch, Life, Phase, Runner, is_later};
use crate::settings::Ceiling;
use crate::share::list_lacking;
use crate::staging::order_staging;

/// A fleet is taken to have all its runners when none has come for this long.
/// Those that start together write their entries within a second.
const SETTLED: Millis = Millis(1000);

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Documents that change, each with the reasons.
    pub writes: Vec<(id::Domain, Document, Vec<String>)>,
    /// Orders to give now.
    pub orders: Vec<(id::Runner, Order)>,
}

/// A runner that was told to load a model is taken to do so for this many times as long
/// as a load takes at full speed: others may load beside it. An order may be lost, though.
const STAGING_PATIENCE: u64 = 3;

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
    lives: HashMap<id::Runner, Life>,
    /// What each runner was last told to stage.
    staged: HashMap<id::Runner, Staging>,
    /// Groups whose members were refused in a way that no repeat mends.
    pub(crate) refused: HashSet<(id::Group, Epoch)>,
    /// Since when a retired group lacks a member and must stand still.
    pub(crate) halted: HashMap<(id::Group, Epoch), Millis>,
    /// Loads begun lately.
    pub(crate) loads: Loads,
    /// Members lost so far.
    losses: Losses,
    /// How busy the groups of each model are, by service.
    demands: HashMap<id::Service, Demand>,
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
    pub fn note_taken(&mut self, runner: &id::Runner, life: Option<Life>, order: &Order, now: Millis) {
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
            let Some(life) = runner.life else { continue };
            let before = self.lives.insert(runner.id.clone(), life);
            if is_later(Some(life), before) {
                let other = |(id, _): &(id::Runner, Order)| *id != runner.id;
                self.given.retain(|key, _| other(key));
                self.first.retain(|key, _| other(key));
                self.taken.retain(other);
                self.staged.remove(&runner.id);
            }
        }
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
        let patience = Millis(model.load.0 * STAGING_PATIENCE);
        let staging =
            Staging { model: model.name.clone(), until: now + patience, held: runner.staged.clone() };
        self.staged.insert(runner.id.clone(), staging);
        self.loads.begin(now, 1, model.load, serving, purpose);
    }

    /// The model that a runner was last told to stage, if it has it or may still load it.
    pub(crate) fn last_staged(&self, runner: &Runner, now: Millis) -> Option<&id::Model> {
        let staging = self.staged.get(&runner.id)?;
        let loading = now < staging.until && runner.staged == staging.held;
        (loading || runner.staged.contains(&staging.model)).then_some(&staging.model)
    }

    /// Forgets what was given to runners, and known of groups, that are gone.
    fn forget(&mut self, scene: &Scene) {
        self.notice_lives(scene.roster);
        let known = |runner: &id::Runner| scene.roster.recall(runner).is_some();
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
    fn is_settled(&mut self, runners: usize, now: Millis) -> bool {
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

/// What a step looks at.
pub struct Scene<'a> {
    /// The service whose groups are decided.
    pub service: &'a Service,
    /// The runners.
    pub roster: &'a Roster,
    /// The plan of each domain.
    pub plans: &'a BTreeMap<id::Domain, Document>,
    /// Domains whose plan cannot be read. Nothing is decided there: groups that nobody
    /// knows of may stand in it, written by a later version.
    pub closed: &'a BTreeSet<id::Domain>,
    /// Which runners answer this node.
    pub probes: &'a Probes,
    /// Whether callers have sent requests already. Before that, loads are short.
    pub serving: bool,
    /// How fast runners may load.
    pub ceiling: &'a Ceiling,
    /// After this long a group that stands still is broken.
    pub stall: Millis,
    /// What all nodes have in flight at each group, if enough of them say so.
    pub in_flight: Option<&'a Counts>,
    /// The time.
    pub now: Millis,
}

impl<'a> Scene<'a> {
    /// Whether a runner can be a member of a group as things are.
    fn is_fit(&self, runner: &Runner) -> bool {
        !runner.draining && !matches!(self.probes.sign(&runner.id), Sign::Silent | Sign::Slow)
    }

    /// Whether a member of a group has started again since the group was planned.
    pub(crate) fn has_restarted(&self, group: &Group, member: &id::Runner) -> bool {
        let planned = group.find_life(member);
        self.roster.recall(member).is_some_and(|runner| is_later(runner.life, planned))
    }

    /// A runner that is there and answers.
    pub(crate) fn find(&self, id: &id::Runner) -> Option<&'a Runner> {
        self.roster.get(id).filter(|_| !self.probes.is_silent(id))
    }
}

/// One fabric domain while it is decided.
pub(crate) struct Site<'a> {
    pub(crate) id: id::Domain,
    pub(crate) plan: Document,
    /// The service's runners there that answer and are not about to leave, by id.
    pub(crate) runners: Vec<&'a Runner>,
    pub(crate) reasons: Vec<String>,
}

impl<'a> Site<'a> {
    /// The runners that may join a new group now.
    pub(crate) fn list_free(&self) -> Vec<&'a Runner> {
        let planned: HashSet<&id::Runner> =
            self.plan.groups.iter().flat_map(|group| &group.members).collect();
        let free = self.runners.iter().copied();
        free.filter(|runner| {
            !planned.contains(&runner.id) && (runner.membership.is_none() || is_solo(runner))
        })
        .collect()
    }
}

/// Decides what to do next.
pub fn step(scene: &Scene, memory: &mut Memory) -> Step {
    let Some(published) = &scene.service.engine else { return Step::default() };
    memory.forget(scene);
    let demand = memory.demands.entry(scene.service.id.clone()).or_default();
    if let Some(in_flight) = scene.in_flight.filter(|_| scene.serving) {
        demand.note(list_used(scene, &published.models, in_flight), scene.now);
    }
    let engine = &Engine { models: demand.adjust(&published.models), ..published.clone() };
    let mut sites = list_sites(scene);
    let mut lost = 0;
    for site in &mut sites {
        lost += retire_groups(scene, site, memory);
        mark_halted(site, memory);
        release_groups(scene, site, memory);
    }
    let members = sites.iter().flat_map(|site| &site.plan.groups).map(|group| group.members.len()).sum();
    memory.losses.note(members, lost, scene.now);
    let runners = sites.iter().map(|site| site.runners.len()).sum();
    let risk = Risk::assess(&memory.losses, engine, runners, sites.len());
    if scene.serving {
        preempt_groups(scene, &engine.models, &risk, &mut sites);
    }
    let settled = memory.is_settled(runners, scene.now);
    let waiting = form_groups(scene, engine, &mut sites, &risk, memory, settled);
    let mut step = Step::default();
    let lacking = list_lacking(&engine.models, &sites, &risk);
    let allowed = |purpose| memory.loads.allowed(scene.now, engine, scene.ceiling, scene.serving, purpose);
    let (repairs, reserves) = (allowed(Purpose::Repair), allowed(Purpose::Reserve));
    let mut desk =
        Desk { now: scene.now, memory, orders: &mut step.orders, repairs, reserves, serving: scene.serving };
    for site in &sites {
        list_orders(scene, site, &mut desk);
    }
    // Before callers come, loads are short, and groups go first.
    if scene.serving || (!waiting && settled) {
        order_staging(scene, engine, &risk, &lacking, &sites, &mut desk);
        order_preloads(&engine.models, &sites, find_top(scene, &sites), &mut desk);
    }
    let changed = sites.into_iter().filter(|site| match scene.plans.get(&site.id) {
        Some(plan) => *plan != site.plan,
        None => !site.plan.groups.is_empty(),
    });
    step.writes = changed.map(|site| (site.id, site.plan, site.reasons)).collect();
    step
}

/// The fabric domains of the service, with the runners that can be members there.
pub(crate) fn list_sites<'a>(scene: &Scene<'a>) -> Vec<Site<'a>> {
    let mut runners: BTreeMap<&id::Domain, Vec<&Runner>> = BTreeMap::new();
    for domain in scene.plans.keys() {
        runners.entry(domain).or_default();
    }
    for runner in scene.roster.iter().filter(|runner| runner.service == scene.service.id) {
        if let Some(domain) = runner.domain.as_ref().filter(|domain| !scene.closed.contains(*domain)) {
            runners.entry(domain).or_default().extend(scene.is_fit(runner).then_some(runner));
        }
    }
    let sites = runners.into_iter().map(|(domain, mut runners)| {
        runners.sort_by(|a, b| a.id.cmp(&b.id));
        let plan = scene.plans.get(domain).cloned().unwrap_or_default();
        Site { id: domain.clone(), plan, runners, reasons: Vec::new() }
    });
    sites.collect()
}

/// The part of its slots in use, for each model that has open groups.
fn list_used(scene: &Scene, models: &[Model], in_flight: &Counts) -> Vec<(id::Model, f64)> {
    let used = |model: &Model| {
        let heads = scene.roster.list_heads(&scene.service.id, &model.name, scene.plans);
        let running = |head: &Runner| {
            let epoch = head.membership.as_ref().map(|place| place.epoch)?;
            Some(in_flight.get(&epoch).copied().unwrap_or(0).min(head.slots))
        };
        let slots: u32 = heads.iter().map(|head| head.slots).sum();
        let running: u32 = heads.iter().filter_map(|head| running(head)).sum();
        (slots > 0).then(|| (model.name.clone(), f64::from(running) / f64::from(slots)))
    };
    models.iter().filter_map(used).collect()
}

/// How far a runner is in a group, if it is in it, and in the place that was planned.
pub(crate) fn find_phase(runner: &Runner, group: &Group) -> Option<Phase> {
    let membership = runner.membership.as_ref()?;
    let placed = group.members.get(membership.rank) == Some(&runner.id);
    let inside = membership.group == group.name && membership.epoch == group.epoch && placed;
    inside.then_some(membership.phase)
}

/// How long a runner needs until it holds `model`.
pub(crate) fn time_join(runner: &Runner, model: &Model) -> Millis {
    if runner.has_served(&model.name) {
        Millis(0)
    } else if runner.staged.contains(&model.name) {
        model.warm
    } else {
        model.load
    }
}
