//! The orders that bring runners to the planned state.

use cottoncrank::{Millis, id};

use crate::issuer::Issuer;
use crate::order::Order;
use crate::plan::{Group, State};
use crate::probe::Health;
use crate::runner::{Phase, Runner};
use crate::snapshot::{Draft, Snapshot, find_phase, is_solo};

/// The time that a closed head without an entry gets to finish its requests; most streams take
/// less. Its entry would show when it has finished.
pub const UNSEEN_HEAD_GRACE: Millis = Millis(1500);

/// Issues the orders for one domain.
pub(crate) fn list_orders(snapshot: &Snapshot, draft: &Draft, issuer: &mut Issuer) {
    for group in &draft.plan.groups {
        match group.is_retired() {
            true => order_leaving(snapshot, group, issuer),
            false => order_forming(snapshot, group, issuer),
        }
    }
    order_strays(draft, issuer);
}

fn order_forming(snapshot: &Snapshot, group: &Group, issuer: &mut Issuer) {
    let runners: Vec<&Runner> = group.members.iter().filter_map(|id| snapshot.find(id)).collect();
    let phases: Vec<Option<Phase>> = runners.iter().map(|runner| find_phase(runner, group)).collect();
    for (runner, phase) in runners.iter().zip(&phases) {
        if phase.is_none() {
            issuer.issue(&runner.id, build_join(group));
        }
    }
    let whole = runners.len() == group.members.len();
    if whole && phases.iter().all(|phase| *phase == Some(Phase::Ready)) {
        issuer.issue(&runners[0].id, Order::Open(group.name.clone(), group.epoch));
    }
}

/// Returns the order to join a group.
pub(crate) fn build_join(group: &Group) -> Order {
    Order::Join(group.name.clone(), group.epoch, group.model.clone(), group.members.clone())
}

fn order_leaving(snapshot: &Snapshot, group: &Group, issuer: &mut Issuer) {
    let living: Vec<&Runner> = group.members.iter().filter_map(|id| snapshot.find(id)).collect();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let Some(head) = group.head().and_then(|id| snapshot.find(id)) else {
        return order_leaving_unseen(snapshot, group, &living, issuer);
    };
    match find_phase(head, group) {
        Some(Phase::Open) if group.state == State::Closing => {
            issuer.issue(&head.id, Order::Close(group.name.clone(), group.epoch))
        }
        Some(Phase::Closing) if group.state == State::Closing => {}
        Some(_) => issuer.issue(&head.id, leave),
        None if !issuer.memory.acknowledged.contains(&(head.id.clone(), leave.clone())) => {
            issuer.issue(&head.id, leave)
        }
        None => {}
    }
}

/// Issues leave orders where the head has no entry and may still be open. If the head responds, it
/// gets the order; otherwise its members do, also those without an entry that respond, and the group is
/// stalled as soon as one has left. A group is also taken to be stalled if none of its members has had an
/// entry for a minute, or since this node began, and none responds.
fn order_leaving_unseen(snapshot: &Snapshot, group: &Group, living: &[&Runner], issuer: &mut Issuer) {
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let answers = |id: &id::Runner| matches!(snapshot.probes.health(id), Health::Responsive | Health::Slow);
    if let Some(head) = group.head().filter(|head| answers(head)) {
        let close = Order::Close(group.name.clone(), group.epoch);
        let finished = group.state == State::Lost || issuer.has_waited(head, &close, UNSEEN_HEAD_GRACE);
        return issuer.issue(head, if finished { leave } else { close });
    }
    for member in group.members.iter().filter(|id| snapshot.roster.get(id).is_none() && answers(id)) {
        issuer.issue(member, leave.clone());
    }
    let forgotten = |id: &id::Runner| {
        snapshot.roster.get_last_known(id).is_none() && !answers(id) && !snapshot.probes.is_pending(id)
    };
    if group.members.iter().all(forgotten) {
        issuer.memory.stalled_since.entry((group.name.clone(), group.epoch)).or_insert(issuer.now);
    }
    for runner in living {
        match find_phase(runner, group) {
            Some(_) => issuer.issue(&runner.id, leave.clone()),
            None => {
                let now = issuer.now;
                issuer.memory.stalled_since.entry((group.name.clone(), group.epoch)).or_insert(now);
            }
        }
    }
}

/// Issues leave orders to runners in a group that is not planned, for example after an order was
/// executed late.
fn order_strays(draft: &Draft, issuer: &mut Issuer) {
    for runner in &draft.runners {
        let Some(membership) = runner.membership.as_ref().filter(|_| !is_solo(runner)) else { continue };
        let planned = draft.plan.groups.iter().any(|group| find_phase(runner, group).is_some());
        let wanted =
            draft.plan.groups.iter().any(|group| !group.is_retired() && group.members.contains(&runner.id));
        if !planned && !wanted {
            issuer.issue(&runner.id, Order::Leave(membership.group.clone(), membership.epoch));
        }
    }
}
