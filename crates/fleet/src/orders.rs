//! The orders that bring runners to where the plan wants them.

use cottoncrank::Millis;

use crate::desk::Desk;
use crate::order::Order;
use crate::plan::{Group, State};
use crate::probe::Sign;
use crate::runner::{Phase, Runner};
use crate::scene::{Scene, Site, find_phase, is_solo};

/// A head that has no entry and is closed is given this long to finish what it
/// has: most streams take less. Its entry would say when it has.
pub const FINISH: Millis = Millis(1500);

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
    let forgotten = group.members.iter().all(|id| scene.roster.get_last_known(id).is_none());
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
