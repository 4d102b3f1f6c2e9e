//! The orders that bring runners to where the plan wants them.

use cottoncrank::{Millis, id};

use crate::decide::{Memory, Scene, Site, find_phase};
use crate::plan::{Group, State};
use crate::preload::is_solo;
use crate::probe::Sign;
use crate::runner::{Epoch, Phase, Runner};

/// An order that was not answered is given again after this long. Runners
/// answer within milliseconds; an answer that is lost never comes.
pub const REPEAT: Millis = Millis(1500);

/// An order that was answered, but shows no effect, is given again after this
/// long: well beyond the way from the runner over the store to here.
pub const REPEAT_TAKEN: Millis = Millis(5000);

/// A head that has no entry and is closed is given this long to finish what it
/// has: most streams take less. Its entry would say when it has.
pub const FINISH: Millis = Millis(1500);

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

impl Order {
    /// The forming of a group that the order is about, if it is about one.
    pub fn group(&self) -> Option<(&id::Group, Epoch)> {
        match self {
            Order::Join(group, epoch, ..)
            | Order::Open(group, epoch)
            | Order::Close(group, epoch)
            | Order::Leave(group, epoch) => Some((group, *epoch)),
            Order::Stage(_) => None,
        }
    }
}

/// Lists the orders to give now in one domain.
pub(crate) fn list_orders(scene: &Scene, site: &Site, desk: &mut Desk) {
    for group in &site.plan.groups {
        match group.is_retired() {
            true => order_leaving(scene, group, desk),
            false => order_forming(scene, group, desk),
        }
    }
    order_strays(site, desk);
}

/// Gives each order once, and again when it shows no effect.
pub(crate) struct Desk<'a> {
    pub(crate) now: Millis,
    pub(crate) memory: &'a mut Memory,
    pub(crate) orders: &'a mut Vec<(id::Runner, Order)>,
    /// Loads for groups that callers need that may still begin in this step.
    pub(crate) repairs: usize,
    /// The same for loads in reserve.
    pub(crate) reserves: usize,
    pub(crate) serving: bool,
}

impl Desk<'_> {
    pub(crate) fn give(&mut self, runner: &id::Runner, order: Order) {
        let key = (runner.clone(), order);
        let pause = if self.memory.taken.contains(&key) { REPEAT_TAKEN } else { REPEAT };
        let due = self.memory.given.get(&key).is_none_or(|at| self.now >= *at + pause);
        if due {
            self.memory.given.insert(key.clone(), self.now);
            self.orders.push(key);
        }
    }

    /// Whether an order was first given at least `span` ago.
    fn has_passed(&mut self, runner: &id::Runner, order: &Order, span: Millis) -> bool {
        let key = (runner.clone(), order.clone());
        let first = *self.memory.first.entry(key).or_insert(self.now);
        self.now >= first + span
    }

    /// The model that the runner was last told to stage.
    pub(crate) fn last_staged(&self, runner: &Runner) -> Option<&id::Model> {
        self.memory.last_staged(runner, self.now)
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
        return order_leaving_unseen(scene, group, &living, desk);
    };
    match find_phase(head, group) {
        Some(Phase::Open) if group.state == State::Closing => {
            desk.give(&head.id, Order::Close(group.name.clone(), group.epoch))
        }
        Some(Phase::Closing) if group.state == State::Closing => {}
        Some(_) => desk.give(&head.id, leave),
        None if !desk.memory.taken.contains(&(head.id.clone(), leave.clone())) => desk.give(&head.id, leave),
        None => {}
    }
}

/// The head has no entry and may still be open. If it answers, it is told to
/// leave; else its members are, and it stands still as soon as one is away. A group
/// none of whose members was there for a minute is taken to stand still as well.
fn order_leaving_unseen(scene: &Scene, group: &Group, living: &[&Runner], desk: &mut Desk) {
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let head = group.head().filter(|head| matches!(scene.probes.sign(head), Sign::Heard | Sign::Slow));
    if let Some(head) = head {
        let close = Order::Close(group.name.clone(), group.epoch);
        let finished = group.state == State::Lost || desk.has_passed(head, &close, FINISH);
        return desk.give(head, if finished { leave } else { close });
    }
    let forgotten = group.members.iter().all(|id| scene.roster.recall(id).is_none());
    if forgotten {
        desk.memory.halted.entry((group.name.clone(), group.epoch)).or_insert(desk.now);
    }
    for runner in living {
        match find_phase(runner, group) {
            Some(_) => desk.give(&runner.id, leave.clone()),
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
        let Some(membership) = runner.membership.as_ref().filter(|_| !is_solo(runner)) else { continue };
        let planned = site.plan.groups.iter().any(|group| find_phase(runner, group).is_some());
        let wanted =
            site.plan.groups.iter().any(|group| !group.is_retired() && group.members.contains(&runner.id));
        if !planned && !wanted {
            desk.give(&runner.id, Order::Leave(membership.group.clone(), membership.epoch));
        }
    }
}
