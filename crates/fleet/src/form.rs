//! Forming groups out of free runners: which model, where, with whom.

use cottoncrank::{Millis, id};

use crate::catalog::{Engine, Model};
use crate::decide::{Memory, Scene, Site, time_join};
use crate::plan::{Group, State};
use crate::runner::{Epoch, Runner};
use crate::staging::{Lack, SPARES};

/// Of its share of the runners, the largest model is meant to have this part in
/// groups: the rest goes to groups of the others, whose members can stand in for a
/// lost one. All others are meant to have all of theirs: with a fifth standing by as
/// well, small groups on played days had fewer slots than callers needed.
pub const PLACED: f64 = 0.8;

/// A model is meant to have that much more for each further member of its groups:
/// any member's loss takes the whole group away for a repair. Twice as much was
/// tried on groups of eight and left too few spare runners.
const SIZE_WEIGHT: f64 = 0.012;

/// Forming a group this much sooner is worth as much as the whole of what a
/// model is meant to have: about the time of a load from the weight store.
const FORM_SCALE: Millis = Millis(15_000);

/// Runners that a domain keeps beside a group of the largest model, where another
/// domain can take it: one for each of today's two models.
const RESERVE: usize = 2;

/// Where a domain would keep fewer than [`RESERVE`], a group there counts as
/// worth less by this part of what its model is meant to have.
const BARE: f64 = 0.6;

/// The same for each group of the model that the domain has already: its loss
/// as a whole takes them all.
const CROWDING: f64 = 0.05;

/// A whole set of free runners that hold the largest model goes before all other
/// choices, whose scores stay below this.
const WHOLE: f64 = 10.0;

/// Beyond what is meant, groups are formed up to this factor out of runners that
/// hold the model anyway.
const EXTRA: f64 = 1.25;

/// A group that could be formed now.
struct Choice {
    site: usize,
    model: usize,
    members: Vec<id::Runner>,
    loads: usize,
    score: f64,
}

/// Forms groups out of free runners, of the model that lacks most first.
pub(crate) fn form_groups(scene: &Scene, engine: &Engine, sites: &mut [Site], memory: &mut Memory) {
    let models = &engine.models;
    let runners: usize = sites.iter().map(|site| site.runners.len()).sum();
    let mut alive = count_alive(models, sites);
    while let Some(choice) = find_choice(scene, models, sites, &alive, runners) {
        // A model without any group does not wait until others have loaded.
        let patient = scene.serving && alive[choice.model] > 0;
        if choice.loads > memory.loads.allowed(scene.now, engine, scene.ceiling, patient) {
            return;
        }
        memory.loads.begin(scene.now, choice.loads, models[choice.model].load, scene.serving);
        alive[choice.model] += 1;
        let epoch = find_top(scene, sites).next();
        let site = &mut sites[choice.site];
        let name: id::Group = format!("g{epoch}").parse().expect("a letter and digits are a name");
        let model = models[choice.model].name.clone();
        let text = choice.members.iter().map(id::Runner::as_str).collect::<Vec<_>>().join(" ");
        site.reasons.push(format!("form {name} of {model} with {text}"));
        site.plan.top = epoch;
        site.plan.groups.push(Group {
            name,
            epoch,
            service: scene.service.id.clone(),
            model,
            members: choice.members,
            state: State::Active,
        });
    }
}

/// The highest epoch known of, planned or seen at a runner.
fn find_top(scene: &Scene, sites: &[Site]) -> Epoch {
    let planned = sites.iter().map(|site| site.plan.top);
    let kept = scene.plans.values().map(|plan| plan.top);
    let seen = scene.roster.iter().filter_map(|runner| Some(runner.membership.as_ref()?.epoch));
    planned.chain(kept).chain(seen).max().unwrap_or_default()
}

fn find_choice(
    scene: &Scene,
    models: &[Model],
    sites: &[Site],
    alive: &[usize],
    runners: usize,
) -> Option<Choice> {
    let largest = models.iter().map(|model| model.size).max().unwrap_or_default();
    let mut best: Option<Choice> = None;
    for (at, site) in sites.iter().enumerate() {
        let free = site.list_free();
        for (model_at, model) in models.iter().enumerate() {
            let wanted = count_wanted(model, largest, runners);
            if free.len() < model.size {
                continue;
            }
            let mut by_time: Vec<&Runner> = free.clone();
            by_time.sort_by_key(|runner| time_join(runner, model));
            let members = &by_time[..model.size];
            let time = members.iter().map(|runner| time_join(runner, model)).max().unwrap_or_default();
            let loads = members.iter().filter(|runner| time_join(runner, model) == model.load).count();
            // A member that loads from the weight store is bound for many seconds.
            // Staged on the side instead, it stays free for whatever is lost next.
            if loads > 0 && scene.serving && alive[model_at] > 0 {
                continue;
            }
            let part = alive[model_at] as f64 / wanted;
            let held = free.iter().filter(|runner| time_join(runner, model) < model.load).count();
            // Members of small groups stand in for the spare runners of the largest model.
            let kept = if model.size == largest { 0 } else { SPARES };
            let rich = loads == 0 && held >= model.size + kept;
            let most = if rich { wanted * EXTRA } else { wanted };
            if alive[model_at] as f64 >= most {
                continue;
            }
            let time = if loads > 0 { Millis(0) } else { time };
            let here = site.plan.groups.iter().filter(|group| group.model == model.name).count();
            let bare = model.size == largest && free.len() < model.size + RESERVE;
            // The free runners that hold a large model are what is left of a group and
            // what completes it: they go before all else.
            let whole = scene.serving && loads == 0 && model.size == largest && part < 1.0;
            let score = part
                + time.0 as f64 / FORM_SCALE.0 as f64
                + here as f64 * CROWDING
                + if bare { BARE } else { 0.0 }
                - if whole { WHOLE } else { 0.0 };
            if best.as_ref().is_none_or(|best| score < best.score) {
                let members = members.iter().map(|runner| runner.id.clone()).collect();
                best = Some(Choice { site: at, model: model_at, members, loads, score });
            }
        }
    }
    best
}

/// How many groups of a model there are meant to be, where the largest one has groups
/// of `largest` runners.
pub(crate) fn count_wanted(model: &Model, largest: usize, runners: usize) -> f64 {
    let lost_more = 1.0 + SIZE_WEIGHT * (model.size - 1) as f64;
    let placed = if model.size == largest { PLACED } else { 1.0 };
    (placed * lost_more * runners as f64 * model.share / model.size as f64).round().max(1.0)
}

/// How many groups of each model there are, as planned and not given up.
pub(crate) fn count_alive(models: &[Model], sites: &[Site]) -> Vec<usize> {
    let count = |model: &Model| {
        let groups = sites.iter().flat_map(|site| &site.plan.groups);
        groups.filter(|group| !group.is_retired() && group.model == model.name).count()
    };
    models.iter().map(count).collect()
}

/// The models of which there are fewer groups than there are meant to be, that
/// which has the smallest part of them first.
pub(crate) fn list_lacking<'a>(models: &'a [Model], sites: &[Site]) -> Vec<Lack<'a>> {
    let runners: usize = sites.iter().map(|site| site.runners.len()).sum();
    let alive = count_alive(models, sites);
    let mut rows: Vec<(f64, Lack)> = Vec::new();
    for (model, alive) in models.iter().zip(alive) {
        let largest = models.iter().map(|model| model.size).max().unwrap_or_default();
        let wanted = count_wanted(model, largest, runners);
        let part = alive as f64 / wanted;
        if part < 1.0 {
            rows.push((part, Lack { model, groups: wanted as usize - alive }));
        }
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    rows.into_iter().map(|(_, lack)| lack).collect()
}
