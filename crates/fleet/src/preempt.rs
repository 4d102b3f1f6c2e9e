//! Preemption of small groups to complete a large one.
//!
//! Few domains have a spare runner for the large model. Without one, the remaining members of a
//! group would stand idle until another runner has loaded the model, which takes longer than most
//! faults last. Members of small groups hold the large model on their hosts while they serve
//! ([`crate::staging`]), so one small group is closed instead, and its members complete the large
//! one.

use cottoncrank::id;

use crate::catalog::Model;

use crate::plan::{Group, State};
use crate::reserve::Risk;
use crate::shift::bounds::Bounds;
use crate::snapshot::{Draft, Snapshot, find_join_time};
use crate::targets::{count_active, list_targets};

/// Closes small groups whose members complete a large one, as long as the large model is further
/// below its target than the small one.
pub(crate) fn preempt_groups(
    snapshot: &Snapshot,
    models: &[Model],
    risk: &Risk,
    bounds: &Bounds,
    drafts: &mut [Draft],
) {
    let Some(large) = models.iter().max_by_key(|model| model.size) else { return };
    let targets = list_targets(models, drafts, risk, bounds);
    let mut active = count_active(models, drafts);
    for at in 0..drafts.len() {
        let rows: Vec<(&Model, usize, f64)> = models
            .iter()
            .zip(&active)
            .zip(&targets)
            .map(|((model, active), target)| (model, *active, *target))
            .collect();
        let find_fulfillment = |model: &Model, removed: usize| {
            let row = rows.iter().find(|(known, ..)| known.name == model.name);
            row.map_or(0.0, |(_, active, target)| active.saturating_sub(removed) as f64 / target)
        };
        if find_fulfillment(large, 0) >= 1.0 {
            return;
        }
        let is_donor = |model: &&Model| {
            model.size < large.size && find_fulfillment(large, 0) < find_fulfillment(model, 1)
        };
        let donors: Vec<&Model> = models.iter().filter(is_donor).collect();
        if close_victims(snapshot, &mut drafts[at], large, &donors) {
            active = count_active(models, drafts);
        }
    }
}

/// Closes groups of the `donors` in a domain that lacks few runners for a group of `large`, if
/// their members complete it. Returns whether any was closed.
fn close_victims(snapshot: &Snapshot, draft: &mut Draft, large: &Model, donors: &[&Model]) -> bool {
    let free = draft
        .list_free()
        .into_iter()
        .filter(|runner| find_join_time(runner, large) < large.load_time)
        .count();
    let retired = draft.plan.groups.iter().filter(|group| group.is_retired());
    let returning: usize = retired.map(|group| count_holders(snapshot, group, large)).sum();
    // Most of the large group must be available, because the closed groups are serving requests.
    if 2 * free < large.size || free + returning >= large.size {
        return false;
    }
    // Members of released groups have been ordered to leave and are free soon. If they complete
    // the large group, nothing is closed; if not, they do not affect the choice of groups.
    let released =
        draft.list_released().filter(|runner| find_join_time(runner, large) < large.load_time).count();
    if free + returning + released >= large.size {
        return false;
    }
    let missing = large.size - free - returning;
    let Some(victims) = find_victims(snapshot, draft, large, donors, missing) else { return false };
    for name in victims {
        let Some(victim) = draft.plan.groups.iter_mut().find(|group| group.name == name) else { continue };
        victim.state = State::Closing;
        let reason = format!(
            "retire {} of {}: {} lacks {missing} more runners",
            victim.name, victim.model, large.name
        );
        draft.reasons.push(reason);
    }
    true
}

/// Returns the fewest groups of the `donors` whose members supply the `missing` ones. Returns none
/// if all of them are not enough, or if at least as many runners would stop serving as begin: such
/// a group would be formed again and closed again.
fn find_victims(
    snapshot: &Snapshot,
    draft: &Draft,
    large: &Model,
    donors: &[&Model],
    missing: usize,
) -> Option<Vec<id::Group>> {
    let serving = draft.plan.groups.iter().filter(|group| !group.is_retired());
    let candidates = serving.filter(|group| donors.iter().any(|model| model.name == group.model));
    let mut rows: Vec<(usize, &Group)> =
        candidates.map(|group| (count_holders(snapshot, group, large), group)).collect();
    rows.sort_by_key(|(holders, _)| std::cmp::Reverse(*holders));
    let (mut found, mut closed, mut victims) = (0, 0, Vec::new());
    for (holders, group) in rows {
        if found >= missing {
            break;
        }
        found += holders;
        closed += group.members.len();
        victims.push(group.name.clone());
    }
    (found >= missing && closed < large.size).then_some(victims)
}

/// Returns the number of members of a group that can join one of `model` without a load.
pub(crate) fn count_holders(snapshot: &Snapshot, group: &Group, model: &Model) -> usize {
    let holds = |id: &&id::Runner| {
        snapshot.find(id).is_some_and(|runner| find_join_time(runner, model) < model.load_time)
    };
    group.members.iter().filter(holds).count()
}
