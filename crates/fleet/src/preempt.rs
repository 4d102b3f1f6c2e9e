//! Completing what is left of a large group with members of small ones.
//!
//! Few domains have a spare runner for the large model. Without one the rest of a
//! group would stand idle until another runner has loaded the model, which takes
//! longer than most troubles last. Members of small groups hold the large model on
//! their hosts while they serve ([`crate::staging`]), so one small group is closed
//! instead, and its members complete the large one.

use cottoncrank::id;

use crate::catalog::Model;

use crate::plan::{Group, State};
use crate::reserve::Risk;
use crate::scene::{Scene, Site, time_join};
use crate::share::{count_alive, list_wanted};

/// Closes small groups whose members complete a large one, as long as the large model
/// has the smaller part of what it is meant to have.
pub(crate) fn preempt_groups(scene: &Scene, models: &[Model], risk: &Risk, sites: &mut [Site]) {
    let Some(large) = models.iter().max_by_key(|model| model.size) else { return };
    let wanted = list_wanted(models, sites, risk);
    let mut alive = count_alive(models, sites);
    for at in 0..sites.len() {
        let parts: Vec<(&Model, usize, f64)> = models
            .iter()
            .zip(&alive)
            .zip(&wanted)
            .map(|((model, alive), wanted)| (model, *alive, *wanted))
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
        if close_victims(scene, &mut sites[at], large, &lower) {
            alive = count_alive(models, sites);
        }
    }
}

/// Closes groups of `lower` in a domain that lacks few runners for a group of `large`,
/// if their members complete it. Returns whether it closed one.
fn close_victims(scene: &Scene, site: &mut Site, large: &Model, lower: &[&Model]) -> bool {
    let free =
        site.list_free().into_iter().filter(|runner| time_join(runner, large) < large.load_time).count();
    let retired = site.plan.groups.iter().filter(|group| group.is_retired());
    let coming: usize = retired.map(|group| count_holders(scene, group, large)).sum();
    // Most of the group must be there: what is closed takes requests at present.
    if 2 * free < large.size || free + coming >= large.size {
        return false;
    }
    // Those of a group that is over are told to leave it and are free in a moment. Where they
    // complete the large one, no group is closed for it; where not, they do not change which is.
    let released = site.list_released().filter(|runner| time_join(runner, large) < large.load_time).count();
    if free + coming + released >= large.size {
        return false;
    }
    let missing = large.size - free - coming;
    let Some(victims) = find_victims(scene, site, large, lower, missing) else { return false };
    for name in victims {
        let Some(victim) = site.plan.groups.iter_mut().find(|group| group.name == name) else { continue };
        victim.state = State::Closing;
        let reason = format!(
            "retire {} of {}: {} lacks {missing} more runners",
            victim.name, victim.model, large.name
        );
        site.reasons.push(reason);
    }
    true
}

/// The groups of `lower` whose members make up for the `missing` ones, as few as there
/// can be. None if all of them do not, or if as many runners would stop to serve as
/// begin: a group closed for nothing is formed anew, and closed again.
fn find_victims(
    scene: &Scene,
    site: &Site,
    large: &Model,
    lower: &[&Model],
    missing: usize,
) -> Option<Vec<id::Group>> {
    let serving = site.plan.groups.iter().filter(|group| !group.is_retired());
    let below = serving.filter(|group| lower.iter().any(|model| model.name == group.model));
    let mut rows: Vec<(usize, &Group)> =
        below.map(|group| (count_holders(scene, group, large), group)).collect();
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

/// The members of a group that can join one of `model` without a load.
fn count_holders(scene: &Scene, group: &Group, model: &Model) -> usize {
    let holds =
        |id: &&id::Runner| scene.find(id).is_some_and(|runner| time_join(runner, model) < model.load_time);
    group.members.iter().filter(holds).count()
}
