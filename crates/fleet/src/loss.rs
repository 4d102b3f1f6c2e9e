//! Giving up groups that lost a member, and releasing those that are left.

use cottoncrank::{Millis, id};

use crate::memory::Memory;
use crate::order::Order;
use crate::plan::{Group, State};
use crate::probe::Health;
use crate::runner::{Phase, Runner};
use crate::snapshot::{Draft, Snapshot, find_phase};

/// Kept on top of the time after which a group that stands still is broken, for
/// the way of the order that made it stand still.
pub const STALL_MARGIN: Millis = Millis(300);

/// A group with one in so many of its slots in use serves hardly anybody: what is in flight there
/// is on its way to be turned away.
const IDLE_SLOTS_PER_REQUEST: u32 = 8;

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

fn find_loss(snapshot: &Snapshot, group: &Group, memory: &Memory) -> Option<Loss> {
    if memory.refused_joins.contains(&(group.name.clone(), group.epoch)) {
        return Some(Loss::lost("a member refused to join".to_owned()));
    }
    let head = group.head().and_then(|id| snapshot.roster.get(id));
    let open = head.is_some_and(|head| matches!(find_phase(head, group), Some(Phase::Open | Phase::Closing)));
    let losses = group.members.iter().filter_map(|member| match snapshot.roster.get(member) {
        // Whatever its entry says by now: its group stands still until it breaks.
        _ if snapshot.has_restarted(group, member) => {
            Some(Loss::lost(format!("member {member} has started again")))
        }
        Some(runner) if open && find_phase(runner, group).is_none() => {
            Some(Loss::lost(format!("member {member} is in the group no more")))
        }
        Some(runner) => find_fault(snapshot, group, runner),
        None => find_absence(snapshot, group, member, open),
    });
    losses.max_by_key(|loss| loss.state == State::Lost).or_else(|| find_rejection(snapshot, group, memory))
}

/// Whether a head in good health turns all requests away that another member could take. A group
/// that is merely full has requests in flight.
fn is_rejecting_all(snapshot: &Snapshot, group: &Group, memory: &Memory) -> bool {
    let Some(head) = group.head().filter(|head| snapshot.rejecting.contains(*head)) else { return false };
    let slots = snapshot.roster.get(head).map_or(0, |head| head.slots);
    let running = snapshot.in_flight.map(|counts| counts.get(&group.epoch).copied().unwrap_or(0));
    let idle = running.is_some_and(|running| running * IDLE_SLOTS_PER_REQUEST <= slots);
    idle && group.members.iter().any(|member| !memory.is_rejecting(member))
}

fn find_rejection(snapshot: &Snapshot, group: &Group, memory: &Memory) -> Option<Loss> {
    let reason = || format!("its head {} turns requests away", group.members[0]);
    is_rejecting_all(snapshot, group, memory).then(|| Loss { state: State::Closing, reason: reason() })
}

/// What is wrong with a member that is there.
fn find_fault(snapshot: &Snapshot, group: &Group, runner: &Runner) -> Option<Loss> {
    let id = &runner.id;
    if snapshot.probes.is_silent(id) {
        return Some(Loss::lost(format!("member {id} does not answer")));
    }
    if snapshot.probes.is_slow(id) {
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
fn find_absence(snapshot: &Snapshot, group: &Group, member: &id::Runner, open: bool) -> Option<Loss> {
    match snapshot.probes.health(member) {
        Health::Responsive if open && group.head() != Some(member) => None,
        Health::Responsive => {
            Some(Loss { state: State::Closing, reason: format!("the entry of {member} is gone") })
        }
        Health::Slow => Some(Loss::lost(format!("the entry of {member} is gone, and it is slow"))),
        Health::Silent => Some(Loss::lost(format!("member {member} is gone and does not answer"))),
        Health::Unknown if snapshot.probes.is_pending(member) => None,
        Health::Unknown => Some(Loss::lost(format!("member {member} is gone"))),
    }
}

/// Gives up groups that cannot go on. Returns how many lost a member.
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

/// Whether no runner of a retired group takes requests any more, or depends on
/// one that does. Entries say nothing of that: all members may be cut off from the
/// store alone, and come back one after the other.
fn is_releasable(snapshot: &Snapshot, group: &Group, memory: &Memory) -> bool {
    let Some(head) = group.head() else { return true };
    // Its process is no more, and what it served has ended with that.
    if snapshot.probes.is_gone(head) || snapshot.has_restarted(group, head) {
        return true;
    }
    let has_left =
        memory.acknowledged.contains(&(head.clone(), Order::Leave(group.name.clone(), group.epoch)));
    match snapshot.find(head) {
        Some(head) => has_left && find_phase(head, group).is_none(),
        None if has_left => true,
        // The head cannot be asked: it may be cut off and open. Once a member has
        // left, it stands still, and after a time it breaks.
        None => memory
            .stalled_since
            .get(&(group.name.clone(), group.epoch))
            .is_some_and(|since| snapshot.now >= *since + snapshot.stall + STALL_MARGIN),
    }
}

/// Writes down which groups that were given up stand still by now.
pub(crate) fn mark_stalled(draft: &mut Draft, memory: &Memory) {
    for group in draft.plan.groups.iter_mut().filter(|group| group.is_retired()) {
        group.still |= memory.stalled_since.contains_key(&(group.name.clone(), group.epoch));
    }
}

/// Releases the members of groups given up, once that is safe.
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
