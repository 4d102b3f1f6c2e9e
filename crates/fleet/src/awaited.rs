//! Models without groups that need no load, because runners that hold them are about to be free.
//!
//! A model without any group is loaded at once. If all groups have just been retired, as after a loss of
//! all nodes, their remaining members are free sooner than any load ends, and runners that have begun to
//! load the model are ready sooner than those that begin now.

use cottoncrank::{Millis, id};

use crate::catalog::Model;
use crate::decided::Decided;
use crate::loss::STALL_MARGIN;
use crate::runner::Runner;
use crate::snapshot::{Draft, Snapshot, find_join_time};

/// The time for the orders to leave, and for the write that releases a group.
const RELEASE_TIME: Millis = Millis(1000);

/// Returns for each model whether a group of it is awaited, of the members of retired groups or of runners
/// that are loading it.
pub(crate) fn list_awaited(
    snapshot: &Snapshot,
    models: &[Model],
    drafts: &[Draft],
    active: &[usize],
    decided: &mut Decided,
) -> Vec<bool> {
    let mut awaited = Vec::new();
    for (model, active) in models.iter().zip(active) {
        let key = (snapshot.service.id.clone(), model.name.clone());
        if !snapshot.serving || *active > 0 {
            decided.awaited_since.remove(&key);
            awaited.push(false);
            continue;
        }
        // A retired group is held no longer than this, unless its head finishes requests.
        let release = snapshot.stall + STALL_MARGIN + RELEASE_TIME;
        let since = *decided.awaited_since.entry(key).or_insert(snapshot.now);
        let waits = snapshot.now < since + release.min(model.load_time);
        let is_whole =
            |draft: &Draft| count_holders(snapshot.now, draft, model, waits, decided) >= model.size;
        awaited.push(drafts.iter().any(is_whole));
    }
    awaited
}

/// Returns the number of runners of a domain outside active groups that hold a model or are loading it.
/// Runners that are still in a group count if `leaving`.
fn count_holders(now: Millis, draft: &Draft, model: &Model, leaving: bool, decided: &Decided) -> usize {
    let holds = |runner: &&Runner| match decided.last_staged(runner, now) {
        // The ordered model replaces the one on the host.
        Some(ordered) => *ordered == model.name || runner.has_served(&model.name),
        None => find_join_time(runner, model) < model.load_time,
    };
    let free = draft.list_free().into_iter().filter(holds).count();
    let released = draft.list_released().filter(|_| leaving).filter(holds).count();
    let retired = draft.list_available().filter(|group| leaving && group.is_retired());
    let members: Vec<&id::Runner> = retired.flat_map(|group| &group.members).collect();
    let returning = draft.runners.iter().copied().filter(|runner| members.contains(&&runner.id));
    free + released + returning.filter(holds).count()
}
