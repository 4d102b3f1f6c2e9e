//! Retires groups that lost a member, and releases the remaining members.

use cottoncrank::{Millis, id};

use crate::memory::Memory;
use crate::order::Order;
use crate::plan::{Group, State};
use crate::probe::Health;
use crate::runner::{Phase, Runner};
use crate::snapshot::{Draft, Snapshot, find_phase};

/// Added to the time after which a stalled group is broken, for the transmission of the order that
/// stalled it.
pub const STALL_MARGIN: Millis = Millis(300);

/// A group with at most one request per this many slots is practically idle: the few requests in
/// flight are about to be rejected.
const IDLE_SLOTS_PER_REQUEST: u32 = 8;

/// Why a group cannot continue, and whether it can still finish its requests.
struct Loss {
    state: State,
    reason: String,
}

impl Loss {
    fn lost(reason: String) -> Loss {
        Loss { state: State::Lost, reason }
    }
}

fn find_loss(snapshot: &Snapshot, group: &Group, memory: &Memory) -> Option<Loss> {
    if memory.refused_joins.contains(&(group.name.clone(), group.epoch)) {
        return Some(Loss::lost("a member refused to join".to_owned()));
    }
    let head = group.head().and_then(|id| snapshot.roster.get(id));
    let open = head.is_some_and(|head| matches!(find_phase(head, group), Some(Phase::Open | Phase::Closing)));
    let losses = group.members.iter().filter_map(|member| match snapshot.roster.get(member) {
        // The entry does not matter: the group of a restarted member is stalled until it breaks.
        _ if snapshot.has_restarted(group, member) => {
            Some(Loss::lost(format!("member {member} has started again")))
        }
        _ if snapshot.probes.is_gone(member) => {
            Some(Loss::lost(format!("member {member} has ended, another runner has its address")))
        }
        Some(runner) if open && find_phase(runner, group).is_none() => {
            Some(Loss::lost(format!("member {member} is no longer in the group")))
        }
        Some(runner) => find_fault(snapshot, group, runner),
        None => find_absence(snapshot, group, member, open),
    });
    losses.max_by_key(|loss| loss.state == State::Lost).or_else(|| find_rejection(snapshot, group, memory))
}

/// Whether a head that looks healthy rejects all requests and another member could be the head. A
/// group that is merely full has requests in flight.
fn is_rejecting_all(snapshot: &Snapshot, group: &Group, memory: &Memory) -> bool {
    let Some(head) = group.head().filter(|head| snapshot.rejecting.contains(*head)) else { return false };
    let slots = snapshot.roster.get(head).map_or(0, |head| head.slots);
    let running = snapshot.in_flight.map(|counts| counts.get(&group.epoch).copied().unwrap_or(0));
    let idle = running.is_some_and(|running| running * IDLE_SLOTS_PER_REQUEST <= slots);
    idle && group.members.iter().any(|member| !memory.is_rejecting(member))
}

fn find_rejection(snapshot: &Snapshot, group: &Group, memory: &Memory) -> Option<Loss> {
    let reason = || format!("its head {} rejects requests", group.members[0]);
    is_rejecting_all(snapshot, group, memory).then(|| Loss { state: State::Closing, reason: reason() })
}

/// Returns the fault of a member that has an entry, if there is one.
fn find_fault(snapshot: &Snapshot, group: &Group, runner: &Runner) -> Option<Loss> {
    let id = &runner.id;
    if snapshot.probes.is_silent(id) {
        return Some(Loss::lost(format!("member {id} does not answer")));
    }
    if snapshot.probes.is_slow(id) {
        return Some(Loss::lost(format!("member {id} is slow")));
    }
    if find_phase(runner, group) == Some(Phase::Broken) {
        return Some(Loss::lost(format!("member {id} reports that the group is broken")));
    }
    let leaving = || Loss { state: State::Closing, reason: format!("member {id} is draining") };
    runner.draining.then(leaving)
}

/// Returns the loss that a member's missing entry means, if it means one. A runner that is cut off
/// only from the store continues to work; but a head without an entry must not get requests, and a
/// group cannot open with a member that cannot be seen to be ready.
fn find_absence(snapshot: &Snapshot, group: &Group, member: &id::Runner, open: bool) -> Option<Loss> {
    match snapshot.probes.health(member) {
        Health::Responsive if open && group.head() != Some(member) => None,
        Health::Responsive => {
            Some(Loss { state: State::Closing, reason: format!("the entry of {member} is gone") })
        }
        Health::Slow => Some(Loss::lost(format!("the entry of {member} is gone and it is slow"))),
        Health::Silent => Some(Loss::lost(format!("member {member} is gone and does not answer"))),
        Health::Unknown if snapshot.probes.is_pending(member) => None,
        Health::Unknown => Some(Loss::lost(format!("member {member} is gone"))),
    }
}

/// Retires groups that cannot continue. Returns how many lost a member.
pub(crate) fn retire_groups(snapshot: &Snapshot, draft: &mut Draft, memory: &Memory) -> usize {
    let mut lost = 0;
    for group in draft.plan.groups.iter_mut().filter(|group| group.state != State::Lost) {
        let Some(loss) = find_loss(snapshot, group, memory) else { continue };
        if loss.state != group.state {
            lost += usize::from(loss.state == State::Lost);
            draft.reasons.push(format!("retire {} of {}: {}", group.name, group.model, loss.reason));
            group.state = loss.state;
        }
    }
    lost
}

/// Whether no runner of a retired group takes requests or depends on one that does. Entries do not
/// show this: all members may be cut off only from the store, and their entries may return one
/// after the other.
fn is_releasable(snapshot: &Snapshot, group: &Group, memory: &Memory) -> bool {
    let Some(head) = group.head() else { return true };
    // The process of the head has ended, and its requests with it.
    if snapshot.has_ended(group, head) {
        return true;
    }
    let has_left =
        memory.acknowledged.contains(&(head.clone(), Order::Leave(group.name.clone(), group.epoch)));
    match snapshot.find(head) {
        Some(head) => has_left && find_phase(head, group).is_none(),
        None if has_left => true,
        // The head cannot be reached: it may be cut off and still open. Once a member has left,
        // the group is stalled, and it breaks after the stall time.
        None => find_break(snapshot, group, memory).is_some_and(|(_, end)| snapshot.now >= end),
    }
}

/// Returns since when a group is known to be stalled, and when it must have broken; `None` if it may still
/// run.
pub(crate) fn find_break(snapshot: &Snapshot, group: &Group, memory: &Memory) -> Option<(Millis, Millis)> {
    let since = *memory.stalled_since.get(&(group.name.clone(), group.epoch))?;
    Some((since, since + snapshot.stall + STALL_MARGIN))
}

/// Records the retired groups that are stalled because a member other than the head has ended, whether or not
/// another one has left yet.
pub(crate) fn record_stalled(snapshot: &Snapshot, draft: &Draft, memory: &mut Memory) {
    for group in draft.plan.groups.iter().filter(|group| group.is_retired()) {
        if group.members.iter().skip(1).any(|member| snapshot.has_ended(group, member)) {
            memory.stalled_since.entry((group.name.clone(), group.epoch)).or_insert(snapshot.now);
        }
    }
}

/// Marks the retired groups that are known to be stalled.
pub(crate) fn mark_stalled(draft: &mut Draft, memory: &Memory) {
    for group in draft.plan.groups.iter_mut().filter(|group| group.is_retired()) {
        group.still |= memory.stalled_since.contains_key(&(group.name.clone(), group.epoch));
    }
}

/// Releases the members of retired groups once that is safe.
pub(crate) fn release_groups(snapshot: &Snapshot, draft: &mut Draft, memory: &Memory) {
    let reasons = &mut draft.reasons;
    draft.plan.groups.retain(|group| {
        let releasable = group.is_retired() && is_releasable(snapshot, group, memory);
        if releasable {
            reasons.push(format!("release {}", group.name));
        }
        !releasable
    });
}
