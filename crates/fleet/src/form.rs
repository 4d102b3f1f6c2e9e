//! Forming groups out of free runners: which model, where, with whom.

use cottoncrank::{Millis, id};

use crate::catalog::{Engine, Model};
use crate::loads::Purpose;
use crate::memory::Memory;
use crate::plan::{Group, State};
use crate::reserve::Risk;
use crate::runner::{Epoch, Runner};
use crate::scene::{Scene, Site, time_join};
use crate::share::{count_alive, list_wanted};

/// Forming a group this much sooner is worth as much as the whole of what a
/// model is meant to have: about the time of a load from the weight store.
const FORM_SCALE: Millis = Millis(15_000);

/// Runners that a domain keeps beside a group of the largest model, where another
/// domain can take it: one for each of two models.
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
const EXTRA: f64 = 1.5;

/// A group that could be formed now.
struct Choice {
    site: usize,
    model: usize,
    members: Vec<id::Runner>,
    loads: usize,
    score: f64,
}

/// What a choice is made by beside the runners.
#[derive(Clone, Copy)]
struct Counts<'a> {
    /// The groups of each model that are not given up.
    alive: &'a [usize],
    /// The groups that each is meant to have.
    wanted: &'a [f64],
    /// Whether no runner has come for a while.
    settled: bool,
}

/// Forms groups out of free runners, of the model that lacks most first.
/// Returns whether one waits until its members may begin to load.
pub(crate) fn form_groups(
    scene: &Scene,
    engine: &Engine,
    sites: &mut [Site],
    risk: &Risk,
    memory: &mut Memory,
    settled: bool,
) -> bool {
    let models = &engine.models;
    let wanted = list_wanted(models, sites, risk);
    let mut alive = count_alive(models, sites);
    while let Some(choice) =
        find_choice(scene, models, sites, risk, memory, Counts { alive: &alive, wanted: &wanted, settled })
    {
        // A model without any group does not wait until others have loaded.
        let patient = scene.serving && alive[choice.model] > 0;
        if choice.loads > memory.loads.allowed(scene.now, engine, scene.ceiling, patient, Purpose::Repair) {
            return true;
        }
        memory.loads.begin(
            scene.now,
            choice.loads,
            models[choice.model].load_time,
            scene.serving,
            Purpose::Repair,
        );
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
            lives: choice.members.iter().map(|id| scene.roster.get(id)?.incarnation).collect(),
            members: choice.members,
            state: State::Active,
            still: false,
        });
    }
    false
}

/// The highest epoch known of, planned or seen at a runner.
pub(crate) fn find_top(scene: &Scene, sites: &[Site]) -> Epoch {
    let planned = sites.iter().map(|site| site.plan.top);
    let kept = scene.plans.values().map(|plan| plan.top);
    let seen = scene.roster.iter().filter_map(|runner| Some(runner.membership.as_ref()?.epoch));
    planned.chain(kept).chain(seen).max().unwrap_or_default()
}

fn find_choice(
    scene: &Scene,
    models: &[Model],
    sites: &[Site],
    risk: &Risk,
    memory: &Memory,
    Counts { alive, wanted, settled }: Counts,
) -> Option<Choice> {
    let largest = models.iter().map(|model| model.size).max().unwrap_or_default();
    let mut best: Option<Choice> = None;
    for (at, site) in sites.iter().enumerate() {
        let free = site.list_free();
        for (model_at, model) in models.iter().enumerate() {
            if free.len() < model.size {
                continue;
            }
            if !scene.serving && crowds_out(models, model, site, free.len(), alive, wanted, settled) {
                continue;
            }
            let part = |at: usize| alive[at] as f64 / wanted[at];
            // What a model that lacks more has left is completed sooner than loaded anew.
            let needed = |runner: &Runner| {
                let mut others = models.iter().enumerate().filter(|(at, _)| *at != model_at);
                others.any(|(at, other)| runner.has_served(&other.name) && part(at) < part(model_at))
            };
            let mut by_time: Vec<&Runner> = free.iter().copied().filter(|runner| !needed(runner)).collect();
            if by_time.len() < model.size {
                continue;
            }
            // Where it takes no longer, those go last that turned requests away as heads, and the
            // first one is the head.
            by_time.sort_by_key(|runner| (time_join(runner, model), memory.is_refusing(&runner.id)));
            let members = &mut by_time[..model.size];
            if let Some(head) = members.iter().position(|runner| !memory.is_refusing(&runner.id)) {
                members[..=head].rotate_right(1);
            }
            let time = members.iter().map(|runner| time_join(runner, model)).max().unwrap_or_default();
            let loads = members.iter().filter(|runner| time_join(runner, model) == model.load_time).count();
            // A member that loads from the weight store is bound for many seconds.
            // Staged on the side instead, it stays free for whatever is lost next.
            if loads > 0 && scene.serving && alive[model_at] > 0 {
                continue;
            }
            let part = part(model_at);
            let held = free.iter().filter(|runner| time_join(runner, model) < model.load_time).count();
            // Members of small groups stand in for the spare runners of the largest model.
            let spares = if model.size == largest { 0 } else { risk.count_spares(model) };
            let rich = loads == 0 && held >= model.size + spares;
            let most = if rich { wanted[model_at] * EXTRA } else { wanted[model_at] };
            if alive[model_at] as f64 >= most {
                continue;
            }
            let time = if loads > 0 { Millis(0) } else { time };
            let here = site.plan.groups.iter().filter(|group| group.model == model.name).count();
            let bare = model.size == largest && free.len() < model.size + RESERVE;
            // The free runners that hold a large model are what is left of a group and
            // what completes it: they go before all else, also beyond what is meant where
            // they have all served it, for serving another model would make them lose it.
            // Not so where callers want less of it than was published.
            let kept =
                !is_lowered(scene, model) && members.iter().all(|runner| runner.has_served(&model.name));
            let whole = scene.serving && loads == 0 && model.size == largest && (part < 1.0 || kept);
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

/// Whether a model needs a smaller part of the runners than operators published for it.
fn is_lowered(scene: &Scene, model: &Model) -> bool {
    let published = scene.service.engine.iter().flat_map(|engine| &engine.models);
    published.filter(|known| known.name == model.name).any(|known| model.share < known.share)
}

/// Whether a group of `model` takes the room of the first large group of a domain that
/// is meant to have one. Runners of a fleet that starts appear one by one: without
/// this, small groups of the first ones left domains that no large group fitted into.
fn crowds_out(
    models: &[Model],
    model: &Model,
    site: &Site,
    free: usize,
    alive: &[usize],
    wanted: &[f64],
    settled: bool,
) -> bool {
    let Some(at) = (0..models.len()).max_by_key(|at| models[*at].size) else { return false };
    let large = &models[at];
    let has_one = site.plan.groups.iter().any(|group| group.model == large.name);
    let lacking = (alive[at] as f64) < wanted[at];
    let may_fit = free >= large.size || !settled;
    model.size < large.size && lacking && !has_one && may_fit && free < model.size + large.size
}
