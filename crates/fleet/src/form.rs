//! Forms groups from free runners: chooses the model, the domain and the members.

use cottoncrank::{Millis, id};

use crate::awaited::list_awaited;
use crate::catalog::{Engine, Model};
use crate::decided::Decided;
use crate::loads::Purpose;
use crate::memory::Memory;
use crate::orders::build_join;
use crate::plan::{Group, State};
use crate::reserve::Risk;
use crate::runner::{Epoch, Runner};
use crate::shift::bounds::Bounds;
use crate::snapshot::{Draft, Snapshot, find_join_time, find_phase};
use crate::targets::{count_active, list_targets};

/// Forming a group this much sooner is worth as much as the whole target of a model. It is about
/// the duration of a load from the weight store.
const FORM_TIME_SCALE: Millis = Millis(15_000);

/// The runners that a domain should have left beside a group of the largest model, where another
/// domain can take the group: one for each of two models.
const SPARE_RUNNERS: usize = 2;

/// A group that would leave fewer than [`SPARE_RUNNERS`] in its domain is worth less by this
/// fraction of the model's target.
const NO_SPARES_PENALTY: f64 = 0.6;

/// A group is worth less by this fraction of the model's target for each group of the model that
/// its domain already has, because the loss of the domain would take them all.
const CROWDING_PENALTY: f64 = 0.05;

/// A complete set of free runners that hold the largest model takes precedence over all other
/// candidates, whose scores stay below this.
const COMPLETE_SET_BONUS: f64 = 10.0;

/// Groups are formed up to this multiple of the target if their members hold the model anyway.
const MAX_EXCESS_FACTOR: f64 = 1.5;

/// A group that could be formed now.
struct Candidate {
    draft: usize,
    model: usize,
    members: Vec<id::Runner>,
    loads: usize,
    score: f64,
}

/// The inputs, besides the runners, by which a candidate is chosen.
#[derive(Clone, Copy)]
struct Goals<'a> {
    /// The number of active groups of each model.
    active: &'a [usize],
    /// The number of groups that each model should have.
    targets: &'a [f64],
    /// Whether no runner has been added for a while.
    settled: bool,
    /// The bounds that a shift sets.
    bounds: &'a Bounds,
    /// Whether a group of each model is awaited that needs no load.
    awaited: &'a [bool],
}

/// Records the loads for planned groups whose members were not ordered to join: the write of their plan was done
/// unseen, or by a former decider.
pub(crate) fn record_unordered_loads(
    snapshot: &Snapshot,
    models: &[Model],
    drafts: &[Draft],
    decided: &mut Decided,
) {
    let planned = drafts.iter().flat_map(|draft| &draft.plan.groups).filter(|group| !group.is_retired());
    for group in planned {
        let Some(model) = models.iter().find(|model| model.name == group.model) else { continue };
        let is_unordered = |runner: &&Runner| {
            let key = (runner.id.clone(), build_join(group));
            find_phase(runner, group).is_none() && !decided.issued_at.contains_key(&key)
        };
        let members = group.members.iter().filter_map(|id| snapshot.find(id));
        let loading = members.filter(|runner| find_join_time(runner, model) == model.load_time);
        let loads = loading.filter(is_unordered).count();
        decided.loads.record_started(snapshot.now, loads, model.load_time, snapshot.serving, Purpose::Repair);
    }
}

/// What the planner knows of the whole fleet when it forms groups.
#[derive(Clone, Copy)]
pub(crate) struct Conditions<'a> {
    pub(crate) risk: &'a Risk,
    /// The bounds that a shift sets.
    pub(crate) bounds: &'a Bounds,
    /// Whether no runner has been added for a while.
    pub(crate) settled: bool,
}

/// Forms groups from free runners, starting with the model that is furthest below its target.
/// Returns whether a group waits until its members may begin to load.
pub(crate) fn form_groups(
    snapshot: &Snapshot,
    engine: &Engine,
    drafts: &mut [Draft],
    Conditions { risk, bounds, settled }: Conditions,
    memory: &Memory,
    decided: &mut Decided,
) -> bool {
    let models = &engine.models;
    let targets = list_targets(models, drafts, risk, bounds);
    let mut active = count_active(models, drafts);
    loop {
        let awaited = list_awaited(snapshot, models, drafts, &active, decided);
        let goals = Goals { active: &active, targets: &targets, settled, bounds, awaited: &awaited };
        let Some(candidate) = find_candidate(snapshot, models, drafts, risk, memory, goals) else { break };
        // A model without any group does not wait for the loads of others.
        let respects_limit = snapshot.serving && active[candidate.model] > 0;
        if candidate.loads
            > decided.loads.count_allowed(
                snapshot.now,
                engine,
                snapshot.ceiling,
                respects_limit,
                Purpose::Repair,
            )
        {
            return true;
        }
        decided.loads.record_started(
            snapshot.now,
            candidate.loads,
            models[candidate.model].load_time,
            snapshot.serving,
            Purpose::Repair,
        );
        active[candidate.model] += 1;
        let epoch = find_last_epoch(snapshot, drafts).next();
        let draft = &mut drafts[candidate.draft];
        let prefix = bounds.find_prefix(&models[candidate.model]);
        let name: id::Group = format!("{prefix}{epoch}").parse().expect("a letter and digits are a name");
        let model = models[candidate.model].name.clone();
        let names = candidate.members.iter().map(id::Runner::as_str).collect::<Vec<_>>().join(" ");
        draft.reasons.push(format!("form {name} of {model} with {names}"));
        draft.plan.top = epoch;
        draft.plan.groups.push(Group {
            name,
            epoch,
            service: snapshot.service.id.clone(),
            model,
            lives: candidate.members.iter().map(|id| snapshot.roster.get(id)?.incarnation).collect(),
            members: candidate.members,
            state: State::Active,
            still: false,
        });
    }
    false
}

/// Returns the highest epoch that may be in use: a known one, planned or seen at a runner, or one of an
/// earlier era of the store.
pub(crate) fn find_last_epoch(snapshot: &Snapshot, drafts: &[Draft]) -> Epoch {
    let planned = drafts.iter().map(|draft| draft.plan.top);
    let stored = snapshot.plans.values().map(|plan| plan.top);
    let seen = snapshot.roster.iter().filter_map(|runner| Some(runner.membership.as_ref()?.epoch));
    let seen = seen.filter(|epoch| *epoch <= Epoch::MAX_FOLLOWED);
    planned.chain(stored).chain(seen).fold(Epoch::before_era(snapshot.era), Epoch::max)
}

fn find_candidate(
    snapshot: &Snapshot,
    models: &[Model],
    drafts: &[Draft],
    risk: &Risk,
    memory: &Memory,
    Goals { active, targets, settled, bounds, awaited }: Goals,
) -> Option<Candidate> {
    let largest = models.iter().map(|model| model.size).max().unwrap_or_default();
    let mut best: Option<Candidate> = None;
    for (at, draft) in drafts.iter().enumerate() {
        let free = draft.list_free();
        for (model_at, model) in models.iter().enumerate() {
            if free.len() < model.size {
                continue;
            }
            if !snapshot.serving
                && is_crowding_out(models, model, draft, free.len(), active, targets, settled)
            {
                continue;
            }
            let fulfillment = |at: usize| active[at] as f64 / targets[at];
            // Runners that have served a model further below its target are left to it: to
            // complete that group is faster than to load the model again.
            let is_needed_elsewhere = |runner: &Runner| {
                let mut others = models.iter().enumerate().filter(|(at, _)| *at != model_at);
                others.any(|(at, other)| {
                    runner.has_served(&other.name) && fulfillment(at) < fulfillment(model_at)
                })
            };
            let mut by_time: Vec<&Runner> =
                free.iter().copied().filter(|runner| !is_needed_elsewhere(runner)).collect();
            if by_time.len() < model.size {
                continue;
            }
            let members = pick_members(snapshot, memory, model, &mut by_time);
            let time = members.iter().map(|runner| find_join_time(runner, model)).max().unwrap_or_default();
            let loads =
                members.iter().filter(|runner| find_join_time(runner, model) == model.load_time).count();
            // A member that loads from the weight store is bound for many seconds. If it stages
            // the model instead, it stays free for the next loss.
            if loads > 0 && snapshot.serving && (active[model_at] > 0 || awaited[model_at]) {
                continue;
            }
            let fulfillment = fulfillment(model_at);
            let holders =
                free.iter().filter(|runner| find_join_time(runner, model) < model.load_time).count();
            // Members of small groups serve as the spare runners of the largest model.
            let spares = if model.size == largest { 0 } else { risk.count_spares(model) };
            let is_lender = bounds.is_lender(model);
            let has_surplus = !is_lender && loads == 0 && holders >= model.size + spares;
            let max_groups =
                if has_surplus { targets[model_at] * MAX_EXCESS_FACTOR } else { targets[model_at] };
            if active[model_at] as f64 >= max_groups {
                continue;
            }
            let time = if loads > 0 { Millis(0) } else { time };
            let groups_here = draft.plan.groups.iter().filter(|group| group.model == model.name).count();
            let leaves_no_spares = model.size == largest && free.len() < model.size + SPARE_RUNNERS;
            // The free runners that hold a large model are the remaining members of a group and
            // its replacements. They take precedence, even above the target if all of them have
            // served the model, because they would lose it by serving another one. This does not
            // apply to a model that lends, or of which callers need less than its published share.
            let keeps_served = !is_lender
                && !has_reduced_share(snapshot, model)
                && members.iter().all(|runner| runner.has_served(&model.name));
            let completes_largest = snapshot.serving
                && loads == 0
                && model.size == largest
                && (fulfillment < 1.0 || keeps_served);
            let score = fulfillment
                + time.0 as f64 / FORM_TIME_SCALE.0 as f64
                + groups_here as f64 * CROWDING_PENALTY
                + if leaves_no_spares { NO_SPARES_PENALTY } else { 0.0 }
                - if completes_largest { COMPLETE_SET_BONUS } else { 0.0 };
            if best.as_ref().is_none_or(|best| score < best.score) {
                let members = members.iter().map(|runner| runner.id.clone()).collect();
                best = Some(Candidate { draft: at, model: model_at, members, loads, score });
            }
        }
    }
    best
}

/// Whether a model needs a smaller share of the runners than operators published.
fn has_reduced_share(snapshot: &Snapshot, model: &Model) -> bool {
    let published = snapshot.service.engine.iter().flat_map(|engine| &engine.models);
    published.filter(|known| known.name == model.name).any(|known| model.share < known.share)
}

/// Whether a group of `model` takes the room of the first large group in a domain that should have
/// one. Runners of a starting fleet appear one by one: without this check, small groups of the
/// first runners left domains without room for a large group.
fn is_crowding_out(
    models: &[Model],
    model: &Model,
    draft: &Draft,
    free: usize,
    active: &[usize],
    targets: &[f64],
    settled: bool,
) -> bool {
    let Some(at) = (0..models.len()).max_by_key(|at| models[*at].size) else { return false };
    let large = &models[at];
    let has_one = draft.plan.groups.iter().any(|group| group.model == large.name);
    let below_target = (active[at] as f64) < targets[at];
    let can_fit = free >= large.size || !settled;
    model.size < large.size && below_target && !has_one && can_fit && free < model.size + large.size
}

/// Returns the runners that join a group of `model` soonest, with the head first.
///
/// At equal join times, runners that rejected requests as heads come last. The head is the soonest of the
/// members that are fittest for it: preferably one that rejected no requests, then one that is not cold.
/// The other members may be cold.
fn pick_members<'a, 'b>(
    snapshot: &Snapshot,
    memory: &Memory,
    model: &Model,
    candidates: &'a mut [&'b Runner],
) -> &'a mut [&'b Runner] {
    candidates.sort_by_key(|runner| (find_join_time(runner, model), memory.is_rejecting(&runner.id)));
    let unfitness = |runner: &Runner| {
        (memory.is_rejecting(&runner.id), snapshot.roster.is_cold(&runner.id, snapshot.now))
    };
    include_fit_head(candidates, model, |runner| unfitness(runner) == (false, false));
    let members = &mut candidates[..model.size];
    let least = members.iter().map(|runner| unfitness(runner)).min();
    if let Some(head) = members.iter().position(|runner| Some(unfitness(runner)) == least) {
        members[..=head].rotate_right(1);
    }
    members
}

/// If none of the first runners, which make up a group of `model`, is fit to be its head, replaces the last
/// of them by a fit one with the same join time, if there is any. `by_time` is sorted by join time.
fn include_fit_head(by_time: &mut [&Runner], model: &Model, is_fit: impl Fn(&Runner) -> bool) {
    let (members, others) = by_time.split_at_mut(model.size);
    if members.iter().any(|runner| is_fit(runner)) {
        return;
    }
    let Some(last) = members.last_mut() else { return };
    let time = find_join_time(last, model);
    let other = others.iter_mut().find(|runner| is_fit(runner) && find_join_time(runner, model) == time);
    if let Some(other) = other {
        std::mem::swap(last, other);
    }
}
