//! The orders that bring runners to where the plan wants them.

use cottoncrank::{Millis, id};

use crate::catalog::Model;
use crate::decide::{Memory, Scene, Site, find_phase, time_join};
use crate::plan::Group;
use crate::runner::{Epoch, Phase, Runner};

/// An order that was not answered is given again after this long. Runners
/// answer within milliseconds; an answer that is lost never comes.
pub const REPEAT: Millis = Millis(1500);

/// An order that was answered, but shows no effect, is given again after this
/// long: well beyond the way from the runner over the store to here.
pub const REPEAT_TAKEN: Millis = Millis(5000);

/// What a runner is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Become a member of a group.
    Join(id::Group, Epoch, id::Model, Vec<id::Runner>),
    /// The head takes requests.
    Open(id::Group, Epoch),
    /// The head takes no more and finishes what it has.
    Close(id::Group, Epoch),
    /// Leave a group at once.
    Leave(id::Group, Epoch),
    /// Load a model onto the host beside everything else.
    Stage(id::Model),
}

/// Lists the orders to give now in one domain.
pub(crate) fn list_orders(
    scene: &Scene,
    models: &[Model],
    lacking: &[&Model],
    site: &Site,
    memory: &mut Memory,
    orders: &mut Vec<(id::Runner, Order)>,
) {
    let mut desk = Desk { now: scene.now, memory, orders };
    for group in &site.plan.groups {
        match group.retired {
            true => order_leaving(scene, group, &mut desk),
            false => order_forming(scene, group, &mut desk),
        }
    }
    order_strays(site, &mut desk);
    if !desk.memory.starved {
        order_staging(scene, models, lacking, site, &mut desk);
    }
}

/// Gives each order once, and again when it shows no effect.
struct Desk<'a> {
    now: Millis,
    memory: &'a mut Memory,
    orders: &'a mut Vec<(id::Runner, Order)>,
}

impl Desk<'_> {
    fn give(&mut self, runner: &id::Runner, order: Order) {
        let key = (runner.clone(), order);
        let pause = if self.memory.taken.contains(&key) { REPEAT_TAKEN } else { REPEAT };
        let due = self.memory.given.get(&key).is_none_or(|at| self.now >= *at + pause);
        if due {
            self.memory.given.insert(key.clone(), self.now);
            self.orders.push(key);
        }
    }

    fn has_given(&self, runner: &id::Runner, order: &Order) -> bool {
        self.memory.given.contains_key(&(runner.clone(), order.clone()))
    }
}

fn order_forming(scene: &Scene, group: &Group, desk: &mut Desk) {
    let runners: Vec<&Runner> = group.members.iter().filter_map(|id| scene.find(id)).collect();
    let phases: Vec<Option<Phase>> = runners.iter().map(|runner| find_phase(runner, group)).collect();
    for (runner, phase) in runners.iter().zip(&phases) {
        if phase.is_none() {
            let members = group.members.clone();
            let join = Order::Join(group.name.clone(), group.epoch, group.model.clone(), members);
            desk.give(&runner.id, join);
        }
    }
    let whole = runners.len() == group.members.len();
    if whole && phases.iter().all(|phase| *phase == Some(Phase::Ready)) {
        desk.give(&runners[0].id, Order::Open(group.name.clone(), group.epoch));
    }
}

fn order_leaving(scene: &Scene, group: &Group, desk: &mut Desk) {
    let living: Vec<&Runner> = group.members.iter().filter_map(|id| scene.find(id)).collect();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let Some(head) = group.head().and_then(|id| scene.find(id)) else {
        return order_leaving_headless(group, &living, desk);
    };
    let intact = living.len() == group.members.len();
    match find_phase(head, group) {
        Some(Phase::Open) if intact => desk.give(&head.id, Order::Close(group.name.clone(), group.epoch)),
        Some(Phase::Closing) if intact => {}
        Some(_) => desk.give(&head.id, leave),
        None if !desk.memory.taken.contains(&(head.id.clone(), leave.clone())) => desk.give(&head.id, leave),
        None => {}
    }
}

/// The head is out of sight and may still be open. It stands still as soon as
/// one member is away.
fn order_leaving_headless(group: &Group, living: &[&Runner], desk: &mut Desk) {
    for runner in living {
        match find_phase(runner, group) {
            Some(_) => desk.give(&runner.id, Order::Leave(group.name.clone(), group.epoch)),
            None => {
                let now = desk.now;
                desk.memory.halted.entry((group.name.clone(), group.epoch)).or_insert(now);
            }
        }
    }
}

/// Runners in a group that nobody planned, such as after an order carried out late.
fn order_strays(site: &Site, desk: &mut Desk) {
    for runner in &site.runners {
        let Some(membership) = &runner.membership else { continue };
        let planned = site.plan.groups.iter().any(|group| find_phase(runner, group).is_some());
        let wanted =
            site.plan.groups.iter().any(|group| !group.retired && group.members.contains(&runner.id));
        if !planned && !wanted {
            desk.give(&runner.id, Order::Leave(membership.group.clone(), membership.epoch));
        }
    }
}

/// Stages models on free runners, so that groups are formed without a load: a
/// whole set of a model that lacks groups, where the domain has enough runners
/// for it, else one spare runner of each model.
fn order_staging(scene: &Scene, models: &[Model], lacking: &[&Model], site: &Site, desk: &mut Desk) {
    let mut stock = Stock::count(scene, models, site, desk);
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| (!lacking.contains(model), std::cmp::Reverse(model.size)));
    for model in by_size {
        let wanted = if lacking.contains(&model) { model.size } else { SPARES };
        let short = wanted.saturating_sub(stock.held(model));
        let surplus = stock.list_surplus(model, lacking);
        let complete = !lacking.contains(&model) || surplus.len() >= short;
        for runner in surplus.into_iter().take(if complete { short } else { 0 }) {
            if desk.memory.loads < 1.0 {
                return;
            }
            desk.memory.loads -= 1.0;
            desk.give(&runner.id, Order::Stage(model.name.clone()));
            stock.restage(runner, model);
        }
    }
    // What is left bare serves the smallest model first: its sets fill soonest.
    let Some(smallest) = models.iter().min_by_key(|model| model.size) else { return };
    for runner in stock.list_bare() {
        if desk.memory.loads < 1.0 {
            return;
        }
        desk.memory.loads -= 1.0;
        desk.give(&runner.id, Order::Stage(smallest.name.clone()));
    }
}

/// Runners of each model that a domain keeps staged beside its groups.
const SPARES: usize = 1;

/// The free runners of a domain and the model each can join without a load,
/// with the members of groups given up, which are free soon.
struct Stock<'a> {
    rows: Vec<(&'a Runner, Option<id::Model>)>,
    /// Members of groups given up, by model.
    returning: Vec<id::Model>,
}

impl<'a> Stock<'a> {
    fn count(scene: &Scene<'a>, models: &[Model], site: &Site<'a>, desk: &Desk) -> Stock<'a> {
        let asked = |runner: &Runner| {
            models.iter().find(|model| desk.has_given(&runner.id, &Order::Stage(model.name.clone())))
        };
        let held = |runner: &Runner| {
            let staged = models.iter().find(|model| time_join(runner, model) < model.load);
            asked(runner).or(staged).map(|model| model.name.clone())
        };
        let rows = site.list_free().into_iter().map(|runner| (runner, held(runner))).collect();
        let given_up = site.plan.groups.iter().filter(|group| group.retired);
        let returning = given_up.flat_map(|group| {
            let living = group.members.iter().filter(|id| scene.find(id).is_some());
            living.map(|_| group.model.clone())
        });
        Stock { rows, returning: returning.collect() }
    }

    fn held(&self, model: &Model) -> usize {
        let here = self.rows.iter().filter(|(_, held)| held.as_ref() == Some(&model.name));
        let soon = self.returning.iter().filter(|returning| **returning == model.name);
        here.count() + soon.count()
    }

    /// Runners that may be staged with `model`: bare ones first, then those of a
    /// model that lacks no groups and has more than its spare ones.
    fn list_surplus(&self, model: &Model, lacking: &[&Model]) -> Vec<&'a Runner> {
        let mut surplus = self.list_bare();
        let mut left: Vec<(&id::Model, usize)> = Vec::new();
        for (runner, held) in &self.rows {
            let Some(held) = held else { continue };
            let needed = *held == model.name || lacking.iter().any(|lacking| lacking.name == *held);
            if needed {
                continue;
            }
            let seen = match left.iter_mut().find(|(name, _)| *name == held) {
                Some((_, seen)) => {
                    *seen += 1;
                    *seen
                }
                None => {
                    left.push((held, 1));
                    1
                }
            };
            if seen > SPARES {
                surplus.push(runner);
            }
        }
        surplus
    }

    fn list_bare(&self) -> Vec<&'a Runner> {
        self.rows.iter().filter(|(_, held)| held.is_none()).map(|(runner, _)| *runner).collect()
    }

    fn restage(&mut self, runner: &Runner, model: &Model) {
        if let Some(row) = self.rows.iter_mut().find(|(known, _)| known.id == runner.id) {
            row.1 = Some(model.name.clone());
        }
    }
}
