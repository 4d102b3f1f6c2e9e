//! The target number of groups of each model.

use crate::catalog::Model;
use crate::reserve::Risk;
use crate::shift::bounds::Bounds;
use crate::snapshot::Draft;

/// Added to a model's share, in groups, before it is rounded down, so that a share that falls short
/// of one more group by no more than this gets it: a fleet that loses a few runners gives up no
/// group, and one that lacks half of a group's runners does not try to form it.
const ROUND_UP_MARGIN: f64 = 0.4;

/// A model with fewer groups than its target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shortage<'a> {
    pub(crate) model: &'a Model,
    /// The number of missing groups.
    pub(crate) groups: usize,
}

/// Returns the target number of groups of each model. The smallest model gets what the others leave
/// beside the spare runners, and at least its own share. A shift bounds the targets of two models.
pub(crate) fn list_targets(models: &[Model], drafts: &[Draft], risk: &Risk, bounds: &Bounds) -> Vec<f64> {
    let spares: usize = models.iter().map(|model| risk.count_spares(model)).sum();
    let placeable: usize = drafts.iter().map(|draft| draft.runners.len().saturating_sub(spares)).sum();
    let count_without_spares = |draft: &Draft| draft.runners.len().saturating_sub(models.len());
    let without_spares: usize = drafts.iter().map(count_without_spares).sum();
    let mut remaining = placeable;
    let mut targets = vec![1.0; models.len()];
    let mut by_size: Vec<usize> = (0..models.len()).collect();
    by_size.sort_by_key(|at| std::cmp::Reverse(models[*at].size));
    let last = by_size.last().copied();
    for at in by_size {
        let model = &models[at];
        let share =
            |runners: usize| (runners as f64 * model.share / model.size as f64 + ROUND_UP_MARGIN) as usize;
        let groups = match last == Some(at) {
            true => share(placeable).max(remaining / model.size),
            false => share(without_spares),
        };
        targets[at] = bounds.clamp(model, groups.max(1)) as f64;
        remaining = remaining.saturating_sub(groups * model.size);
    }
    targets
}

/// Returns the number of groups of each model that are planned, not retired, and not under evacuation.
pub(crate) fn count_active(models: &[Model], drafts: &[Draft]) -> Vec<usize> {
    let count = |model: &Model| {
        let groups = drafts.iter().flat_map(Draft::list_available);
        groups.filter(|group| !group.is_retired() && group.model == model.name).count()
    };
    models.iter().map(count).collect()
}

/// Returns the models below their targets, starting with the one furthest below.
pub(crate) fn list_shortages<'a>(
    models: &'a [Model],
    drafts: &[Draft],
    risk: &Risk,
    bounds: &Bounds,
) -> Vec<Shortage<'a>> {
    let targets = list_targets(models, drafts, risk, bounds);
    let active = count_active(models, drafts);
    let mut rows: Vec<(f64, Shortage)> = Vec::new();
    for ((model, active), target) in models.iter().zip(active).zip(targets) {
        let fulfillment = active as f64 / target;
        if fulfillment < 1.0 {
            rows.push((fulfillment, Shortage { model, groups: target as usize - active }));
        }
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.into_iter().map(|(_, shortage)| shortage).collect()
}
