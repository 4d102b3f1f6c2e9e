//! How many groups of each model are meant to be, and how many runners stand by.

use crate::catalog::Model;
use crate::reserve::Risk;
use crate::snapshot::Draft;

/// One more group is meant to be where a model's share falls short of it by no more
/// than the rest of this: a fleet that loses a few runners gives none up, and one with
/// half of a group's runners too few does not try for it.
const ROUNDING: f64 = 0.4;

/// A model that has fewer groups than it is meant to have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shortage<'a> {
    pub(crate) model: &'a Model,
    /// How many groups are missing.
    pub(crate) groups: usize,
}

/// How many groups of each model there are meant to be. The smallest model gets what
/// the others leave beside the spare runners, and its own share at the least.
pub(crate) fn list_targets(models: &[Model], drafts: &[Draft], risk: &Risk) -> Vec<f64> {
    let spares: usize = models.iter().map(|model| risk.count_spares(model)).sum();
    let placeable: usize = drafts.iter().map(|draft| draft.runners.len().saturating_sub(spares)).sum();
    let count_beside = |draft: &Draft| draft.runners.len().saturating_sub(models.len());
    let beside_spares: usize = drafts.iter().map(count_beside).sum();
    let mut left = placeable;
    let mut wanted = vec![1.0; models.len()];
    let mut by_size: Vec<usize> = (0..models.len()).collect();
    by_size.sort_by_key(|at| std::cmp::Reverse(models[*at].size));
    let last = by_size.last().copied();
    for at in by_size {
        let model = &models[at];
        let share = |runners: usize| (runners as f64 * model.share / model.size as f64 + ROUNDING) as usize;
        let groups = match last == Some(at) {
            true => share(placeable).max(left / model.size),
            false => share(beside_spares),
        };
        wanted[at] = groups.max(1) as f64;
        left = left.saturating_sub(groups * model.size);
    }
    wanted
}

/// How many groups of each model there are, as planned and not given up.
pub(crate) fn count_active(models: &[Model], drafts: &[Draft]) -> Vec<usize> {
    let count = |model: &Model| {
        let groups = drafts.iter().flat_map(|draft| &draft.plan.groups);
        groups.filter(|group| !group.is_retired() && group.model == model.name).count()
    };
    models.iter().map(count).collect()
}

/// The models of which there are fewer groups than there are meant to be, that
/// which has the smallest part of them first.
pub(crate) fn list_shortages<'a>(models: &'a [Model], drafts: &[Draft], risk: &Risk) -> Vec<Shortage<'a>> {
    let wanted = list_targets(models, drafts, risk);
    let alive = count_active(models, drafts);
    let mut rows: Vec<(f64, Shortage)> = Vec::new();
    for ((model, alive), wanted) in models.iter().zip(alive).zip(wanted) {
        let part = alive as f64 / wanted;
        if part < 1.0 {
            rows.push((part, Shortage { model, groups: wanted as usize - alive }));
        }
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.into_iter().map(|(_, shortage)| shortage).collect()
}
