//! What the deciding node does next for the groups of one service.
//!
//! [`step`] compares the plan of every fabric domain with what the runners say
//! of themselves. It retires groups that lost a member, releases the members of
//! retired groups once their head surely takes nothing any more, forms new
//! groups out of free runners, and lists the orders that bring the runners to
//! where the plan wants them (see [`crate::order`]). It only names changes;
//! whoever calls it writes them to the store under a condition and sends the
//! orders after that.

use std::collections::{BTreeMap, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Engine, Model, Service};
use crate::loads::Loads;
use crate::order::{Desk, Order, list_orders};
use crate::plan::{Document, Group, State};
use crate::probe::{Probes, Sign};
use crate::roster::Roster;
use crate::runner::{Epoch, Phase, Runner};
use crate::settings::Ceiling;
use crate::staging::{Lack, SPARES, order_staging};

/// Of the runners, this part is meant for groups; the others stand by with a
/// model staged, so that a lost member is replaced without a load. Two of the
/// ten runners of today's domains, the most that fail there at one time.
pub const PLACED: f64 = 0.8;

/// Each further member makes a group that much more likely to be under repair,
/// and its model is meant to have that much more: with the two runners that
/// today's fleets lose every three seconds, a group of eight of 162 runners is
/// away for a sixth of the time.
const SIZE_WEIGHT: f64 = 0.012;

/// Kept on top of the time after which a group that stands still is broken, for
/// the way of the order that made it stand still.
pub const STALL_MARGIN: Millis = Millis(300);

/// Forming a group this much sooner is worth as much as the whole of what a
/// model is meant to have: about the time of a load from the weight store.
const FORM_SCALE: Millis = Millis(15_000);

/// Runners that a domain keeps beside its groups, where another domain can take
/// a group: one for each of today's two models.
const RESERVE: usize = 2;

/// Where a domain would keep fewer than [`RESERVE`], a group there counts as
/// worth less by this part of what its model is meant to have.
const BARE: f64 = 0.6;

/// The same for each group of the model that the domain has already: its loss
/// as a whole takes them all.
const CROWDING: f64 = 0.05;

/// Beyond what is meant, groups are formed up to this factor out of runners that
/// hold the model anyway.
const EXTRA: f64 = 1.25;

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
    /// The model that each runner was last told to stage.
    pub(crate) staged: HashMap<id::Runner, id::Model>,
    /// Groups whose members were refused in a way that no repeat mends.
    refused: HashSet<(id::Group, Epoch)>,
    /// Since when a retired group lacks a member and must stand still.
    pub(crate) halted: HashMap<(id::Group, Epoch), Millis>,
    /// Loads begun lately.
    loads: Loads,
    /// The most runners seen so far, and since when.
    runners: usize,
    grown: Millis,
}

impl Memory {
    /// A runner answered an order as done or begun at `now`.
    pub fn note_taken(&mut self, runner: &id::Runner, order: &Order, now: Millis) {
        if let Order::Leave(group, epoch) = order {
            // Whichever member left: the group stands still from now on.
            self.halted.entry((group.clone(), *epoch)).or_insert(now);
        }
        self.taken.insert((runner.clone(), order.clone()));
    }

    /// A runner is told to load a model on the side.
    pub(crate) fn note_staging(&mut self, runner: &id::Runner, model: &Model, now: Millis, serving: bool) {
        self.staged.insert(runner.clone(), model.name.clone());
        self.loads.begin(now, 1, model.load, serving);
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
    /// Which runners answer this node.
    pub probes: &'a Probes,
    /// Whether callers have sent requests already. Before that, loads are short.
    pub serving: bool,
    /// How fast runners may load.
    pub ceiling: &'a Ceiling,
    /// After this long a group that stands still is broken.
    pub stall: Millis,
    /// The time.
    pub now: Millis,
}

impl<'a> Scene<'a> {
    /// Whether a runner can be a member of a group as things are.
    fn is_fit(&self, runner: &Runner) -> bool {
        !runner.draining && !matches!(self.probes.sign(&runner.id), Sign::Silent | Sign::Slow)
    }

    /// A runner that is there and answers.
    pub(crate) fn find(&self, id: &id::Runner) -> Option<&'a Runner> {
        self.roster.get(id).filter(|_| !self.probes.is_silent(id))
    }
}

/// One fabric domain while it is decided.
pub(crate) struct Site<'a> {
    id: id::Domain,
    pub(crate) plan: Document,
    /// The service's runners there that answer and are not about to leave, by id.
    pub(crate) runners: Vec<&'a Runner>,
    reasons: Vec<String>,
}

impl<'a> Site<'a> {
    /// The runners that may join a new group now.
    pub(crate) fn list_free(&self) -> Vec<&'a Runner> {
        let planned: HashSet<&id::Runner> =
            self.plan.groups.iter().flat_map(|group| &group.members).collect();
        let free = self.runners.iter().copied();
        free.filter(|runner| !planned.contains(&runner.id) && runner.membership.is_none()).collect()
    }
}

/// Decides what to do next.
pub fn step(scene: &Scene, memory: &mut Memory) -> Step {
    let Some(engine) = &scene.service.engine else { return Step::default() };
    memory.loads.forget(scene.now, scene.ceiling);
    let mut sites = list_sites(scene);
    for site in &mut sites {
        retire_groups(scene, site, memory);
        release_groups(scene, site, memory);
    }
    form_groups(scene, engine, &mut sites, memory);
    let mut step = Step::default();
    let lacking = list_lacking(&engine.models, &sites);
    let allowed = memory.loads.allowed(scene.now, engine, scene.ceiling, scene.serving);
    let mut desk = Desk { now: scene.now, memory, orders: &mut step.orders, allowed, serving: scene.serving };
    for site in &sites {
        list_orders(scene, site, &mut desk);
    }
    // Before callers come, loads are short, and groups go first.
    let runners = sites.iter().map(|site| site.runners.len()).sum();
    let settled = memory.is_settled(runners, scene.now);
    let mut desk = Desk { now: scene.now, memory, orders: &mut step.orders, allowed, serving: scene.serving };
    if scene.serving || (lacking.is_empty() && settled) {
        order_staging(scene, &engine.models, &lacking, &sites, &mut desk);
    }
    let changed = sites.into_iter().filter(|site| match scene.plans.get(&site.id) {
        Some(plan) => *plan != site.plan,
        None => !site.plan.groups.is_empty(),
    });
    step.writes = changed.map(|site| (site.id, site.plan, site.reasons)).collect();
    step
}

fn list_sites<'a>(scene: &Scene<'a>) -> Vec<Site<'a>> {
    let mut runners: BTreeMap<&id::Domain, Vec<&Runner>> = BTreeMap::new();
    for domain in scene.plans.keys() {
        runners.entry(domain).or_default();
    }
    for runner in scene.roster.iter().filter(|runner| runner.service == scene.service.id) {
        if let Some(domain) = &runner.domain {
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

/// Why a group cannot go on, and whether it can still finish what it has.
struct Loss {
    state: State,
    reason: String,
}

impl Loss {
    fn lost(reason: String) -> Loss {
        Loss { state: State::Lost, reason }
    }
}

fn find_loss(scene: &Scene, group: &Group, memory: &Memory) -> Option<Loss> {
    if memory.refused.contains(&(group.name.clone(), group.epoch)) {
        return Some(Loss::lost("a member refused to join".to_owned()));
    }
    let head = group.head().and_then(|id| scene.roster.get(id));
    let open = head.is_some_and(|head| matches!(find_phase(head, group), Some(Phase::Open | Phase::Closing)));
    let losses = group.members.iter().filter_map(|member| match scene.roster.get(member) {
        Some(runner) => find_fault(scene, group, runner),
        None => find_absence(scene, group, member, open),
    });
    losses.max_by_key(|loss| loss.state == State::Lost)
}

/// What is wrong with a member that is there.
fn find_fault(scene: &Scene, group: &Group, runner: &Runner) -> Option<Loss> {
    let id = &runner.id;
    if scene.probes.is_silent(id) {
        return Some(Loss::lost(format!("member {id} does not answer")));
    }
    if scene.probes.is_slow(id) {
        return Some(Loss::lost(format!("member {id} is slow")));
    }
    if find_phase(runner, group) == Some(Phase::Broken) {
        return Some(Loss::lost(format!("member {id} says that the group is broken")));
    }
    let leaving = || Loss { state: State::Closing, reason: format!("member {id} is about to leave") };
    runner.draining.then(leaving)
}

/// Whether a member's missing entry means that it is lost. A runner that is cut
/// off from the store alone goes on working; but no head may be sent requests
/// without an entry, and no group opens with a member that cannot be seen ready.
fn find_absence(scene: &Scene, group: &Group, member: &id::Runner, open: bool) -> Option<Loss> {
    match scene.probes.sign(member) {
        Sign::Heard if open && group.head() != Some(member) => None,
        Sign::Heard => Some(Loss { state: State::Closing, reason: format!("the entry of {member} is gone") }),
        Sign::Slow => Some(Loss::lost(format!("the entry of {member} is gone, and it is slow"))),
        Sign::Silent => Some(Loss::lost(format!("member {member} is gone and does not answer"))),
        Sign::Unknown if scene.probes.is_pending(member) => None,
        Sign::Unknown => Some(Loss::lost(format!("member {member} is gone"))),
    }
}

fn retire_groups(scene: &Scene, site: &mut Site, memory: &Memory) {
    for group in site.plan.groups.iter_mut().filter(|group| group.state != State::Lost) {
        let Some(loss) = find_loss(scene, group, memory) else { continue };
        if loss.state != group.state {
            site.reasons.push(format!("retire {} of {}: {}", group.name, group.model, loss.reason));
            group.state = loss.state;
        }
    }
}

/// Whether no runner of a retired group takes requests any more, or depends on
/// one that does.
fn is_over(scene: &Scene, group: &Group, memory: &Memory) -> bool {
    if !group.members.iter().any(|id| scene.roster.get(id).is_some()) {
        return true;
    }
    let Some(head) = group.head() else { return true };
    let left = memory.taken.contains(&(head.clone(), Order::Leave(group.name.clone(), group.epoch)));
    match scene.find(head) {
        Some(head) => left && find_phase(head, group).is_none(),
        None if left => true,
        // The head cannot be asked: it may be cut off and open. Once a member has
        // left, it stands still, and after a time it breaks.
        None => memory
            .halted
            .get(&(group.name.clone(), group.epoch))
            .is_some_and(|since| scene.now >= *since + scene.stall + STALL_MARGIN),
    }
}

fn release_groups(scene: &Scene, site: &mut Site, memory: &Memory) {
    let reasons = &mut site.reasons;
    site.plan.groups.retain(|group| {
        let over = group.is_retired() && is_over(scene, group, memory);
        if over {
            reasons.push(format!("release {}", group.name));
        }
        !over
    });
}

/// How far a runner is in a group, if it is in it.
pub(crate) fn find_phase(runner: &Runner, group: &Group) -> Option<Phase> {
    let membership = runner.membership.as_ref()?;
    let inside = membership.group == group.name && membership.epoch == group.epoch;
    inside.then_some(membership.phase)
}

/// How long a runner needs until it holds `model`.
pub(crate) fn time_join(runner: &Runner, model: &Model) -> Millis {
    if runner.models.contains(&model.name) {
        Millis(0)
    } else if runner.staged.contains(&model.name) {
        model.warm
    } else {
        model.load
    }
}

/// A group that could be formed now.
struct Choice {
    site: usize,
    model: usize,
    members: Vec<id::Runner>,
    loads: usize,
    score: f64,
}

/// Forms groups out of free runners, of the model that lacks most first.
fn form_groups(scene: &Scene, engine: &Engine, sites: &mut [Site], memory: &mut Memory) {
    let models = &engine.models;
    let runners: usize = sites.iter().map(|site| site.runners.len()).sum();
    let mut alive = count_alive(models, sites);
    while let Some(choice) = find_choice(scene, models, sites, &alive, runners) {
        // A model without any group does not wait until others have loaded.
        let patient = scene.serving && alive[choice.model] > 0;
        if choice.loads > memory.loads.allowed(scene.now, engine, scene.ceiling, patient) {
            return;
        }
        memory.loads.begin(scene.now, choice.loads, models[choice.model].load, scene.serving);
        alive[choice.model] += 1;
        let epoch = find_top(scene, sites).next();
        let site = &mut sites[choice.site];
        let name: id::Group = format!("g{epoch}").parse().expect("a letter and digits are a name");
        let model = models[choice.model].name.clone();
        let text = choice.members.iter().map(id::Runner::as_str).collect::<Vec<_>>().join(" ");
        site.reasons.push(format!("form {name} of {model} with {text}"));
        site.plan.top = epoch;
        site.plan.groups.push(Group {
            name,
            epoch,
            service: scene.service.id.clone(),
            model,
            members: choice.members,
            state: State::Active,
        });
    }
}

/// The highest epoch known of, planned or seen at a runner.
fn find_top(scene: &Scene, sites: &[Site]) -> Epoch {
    let planned = sites.iter().map(|site| site.plan.top);
    let kept = scene.plans.values().map(|plan| plan.top);
    let seen = scene.roster.iter().filter_map(|runner| Some(runner.membership.as_ref()?.epoch));
    planned.chain(kept).chain(seen).max().unwrap_or_default()
}

fn find_choice(
    scene: &Scene,
    models: &[Model],
    sites: &[Site],
    alive: &[usize],
    runners: usize,
) -> Option<Choice> {
    let mut best: Option<Choice> = None;
    for (at, site) in sites.iter().enumerate() {
        let free = site.list_free();
        for (model_at, model) in models.iter().enumerate() {
            let wanted = count_wanted(model, runners);
            if free.len() < model.size {
                continue;
            }
            let mut by_time: Vec<&Runner> = free.clone();
            by_time.sort_by_key(|runner| time_join(runner, model));
            let members = &by_time[..model.size];
            let time = members.iter().map(|runner| time_join(runner, model)).max().unwrap_or_default();
            let loads = members.iter().filter(|runner| time_join(runner, model) == model.load).count();
            // A member that loads from the weight store is bound for many seconds.
            // Staged on the side instead, it stays free for whatever is lost next.
            if loads > 0 && scene.serving && alive[model_at] > 0 {
                continue;
            }
            let held = free.iter().filter(|runner| time_join(runner, model) < model.load).count();
            let rich = loads == 0 && held >= model.size + SPARES;
            let most = if rich { wanted * EXTRA } else { wanted };
            if alive[model_at] as f64 >= most {
                continue;
            }
            let time = if loads > 0 { Millis(0) } else { time };
            let here = site.plan.groups.iter().filter(|group| group.model == model.name).count();
            let bare = free.len() < model.size + RESERVE;
            let score = alive[model_at] as f64 / wanted
                + time.0 as f64 / FORM_SCALE.0 as f64
                + here as f64 * CROWDING
                + if bare { BARE } else { 0.0 };
            if best.as_ref().is_none_or(|best| score < best.score) {
                let members = members.iter().map(|runner| runner.id.clone()).collect();
                best = Some(Choice { site: at, model: model_at, members, loads, score });
            }
        }
    }
    best
}

/// How many groups of a model there are meant to be.
fn count_wanted(model: &Model, runners: usize) -> f64 {
    let lost_more = 1.0 + SIZE_WEIGHT * (model.size - 1) as f64;
    (PLACED * lost_more * runners as f64 * model.share / model.size as f64).round().max(1.0)
}

/// How many groups of each model there are, as planned and not given up.
fn count_alive(models: &[Model], sites: &[Site]) -> Vec<usize> {
    let count = |model: &Model| {
        let groups = sites.iter().flat_map(|site| &site.plan.groups);
        groups.filter(|group| !group.is_retired() && group.model == model.name).count()
    };
    models.iter().map(count).collect()
}

/// The models of which there are fewer groups than there are meant to be, that
/// which has the smallest part of them first.
fn list_lacking<'a>(models: &'a [Model], sites: &[Site]) -> Vec<Lack<'a>> {
    let runners: usize = sites.iter().map(|site| site.runners.len()).sum();
    let alive = count_alive(models, sites);
    let mut rows: Vec<(f64, Lack)> = Vec::new();
    for (model, alive) in models.iter().zip(alive) {
        let wanted = count_wanted(model, runners);
        let part = alive as f64 / wanted;
        if part < 1.0 {
            rows.push((part, Lack { model, groups: wanted as usize - alive }));
        }
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.into_iter().map(|(_, lack)| lack).collect()
}
