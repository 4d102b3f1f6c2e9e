//! Completing what is left of a large group with members of small ones.
//!
//! Few domains have a spare runner for the large model. Without one the rest of a
//! group would stand idle until another runner has loaded the model, which takes
//! longer than most troubles last. Members of small groups hold the large model on
//! their hosts while they serve ([`crate::staging`]), so one small group is closed
//! instead, and its members complete the large one.

use cottoncrank::id;

use crate::catalog::Model;
use crate::decide::{Scene, Site, time_join};

use crate::plan::{Group, State};
use crate::reserve::Risk;
use crate::share::{count_alive, list_wanted};

/// Closes small groups whose members complete a large one, as long as the large model
/// has the smaller part of what it is meant to have.
pub(crate) fn preempt_groups(scene: &Scene, models: &[Model], risk: &Risk, sites: &mut [Site]) {
    let Some(large) = models.iter().max_by_key(|model| model.size) else { return };
    let wanted = list_wanted(models, sites, risk);
    for at in 0..sites.len() {
        let alive = count_alive(models, sites);
        let parts: Vec<(&Model, usize, f64)> = models
            .iter()
            .zip(alive)
            .zip(&wanted)
            .map(|((model, alive), wanted)| (model, alive, *wanted))
            .collect();
        let part = |model: &Model, less: usize| {
            let row = parts.iter().find(|(known, ..)| known.name == model.name);
            row.map_or(0.0, |(_, alive, wanted)| alive.saturating_sub(less) as f64 / wanted)
        };
        if part(large, 0) >= 1.0 {
            return;
        }
        let is_lower = |model: &&Model| model.size < large.size && part(large, 0) < part(model, 1);
        let lower: Vec<&Model> = models.iter().filter(is_lower).collect();
        close_victim(scene, &mut sites[at], large, &lower);
    }
}

/// Closes one group of `lower` in a domain that lacks few runners for a group of
/// `large`, if that brings the runners nearer to it.
fn close_victim(scene: &Scene, site: &mut Site, large: &Model, lower: &[&Model]) {
    let free = site.list_free().into_iter().filter(|runner| time_join(runner, large) < large.load).count();
    let retired = site.plan.groups.iter().filter(|group| group.is_retired());
    let coming: usize = retired.map(|group| count_holders(scene, group, large)).sum();
    // Most of the group must be there: what is closed takes requests at present.
    if 2 * free < large.size || free + coming >= large.size {
        return;
    }
    let missing = large.size - free - coming;
    let victims = site
        .plan
        .groups
        .iter_mut()
        .filter(|group| !group.is_retired() && lower.iter().any(|model| model.name == group.model));
    let victim = victims.max_by_key(|group| count_holders(scene, group, large).min(missing));
    let Some(victim) = victim.filter(|group| count_holders(scene, group, large) > 0) else { return };
    victim.state = State::Closing;
    let reason =
        format!("retire {} of {}: {} lacks {missing} more runners", victim.name, victim.model, large.name);
    site.reasons.push(reason);
}

/// The members of a group that can join one of `model` without a load.
fn count_holders(scene: &Scene, group: &Group, model: &Model) -> usize {
    let holds = |id: &&id::Runner| scene.find(id).is_some_and(|runner| time_join(runner, model) < model.load);
    group.members.iter().filter(holds).count()
}
