//! Lists the runners that a request may be sent to, and picks one.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::balance;
use cottoncrank_fleet::feedback::{Admission, Feedback};
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Runner};
use cottoncrank_fleet::trials::Capacity;

use crate::answer::Refusal;
use crate::attempt::{Job, Pick};
use crate::catchup;
use crate::evacuation;
use crate::state::Node;
use crate::throttle;

/// Returns the runners that serve the request's service and model.
fn list_candidates<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    match (job.engine(), &job.terms.model) {
        (Some(_), Some(model)) => roster.list_heads(&job.service, model, &node.plans.lock()),
        _ => roster.list_plain(&job.service),
    }
}

/// Returns whether a runner accepts a request of this node, by its last feedback and whether it is cold.
fn find_admission(roster: &Roster, feedback: &Feedback, runner: &Runner, now: Millis) -> Admission {
    let cold = roster.find_cold_rate(&runner.id, now);
    feedback.find_admission(&runner.id, runner.incarnation, cold, now)
}

/// Returns the candidates whose last feedback to this node makes them eligible. A runner that
/// rejects requests runs nothing and so looks idle: if it were not left out here, it would get more
/// requests than all others.
fn list_by_admission<'a>(
    node: &Node,
    roster: &'a Roster,
    job: &Job,
    is_eligible: impl Fn(Admission) -> bool,
) -> Vec<&'a Runner> {
    let (mut candidates, now) = (list_candidates(node, roster, job), node.now());
    let feedback = node.feedback.lock();
    candidates.retain(|runner| is_eligible(find_admission(roster, &feedback, runner, now)));
    candidates
}

/// Returns the candidates that are not backing off.
fn list_accepting<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    list_by_admission(node, roster, job, |admission| !matches!(admission, Admission::BackingOff(_)))
}

/// Returns the candidates without a rate limit. The others announced a rate for all nodes together,
/// and a single node sees too little of the traffic to keep it: a request goes there only with a
/// permit of the hall.
fn list_unlimited<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    list_by_admission(node, roster, job, |admission| admission == Admission::Open)
}

/// Whether a runner without a rate limit remains that was not tried.
pub fn has_unlimited(node: &Node, job: &Job, tried: &[id::Runner]) -> bool {
    let roster = node.roster.lock();
    list_unlimited(node, &roster, job).iter().any(|runner| !tried.contains(&runner.id))
}

/// Returns the rate-limited runners, with their rates, that a request may be sent to with a permit
/// of the hall. Cold ones are left out while a runner without a rate limit has a free slot.
pub fn list_rate_limited(node: &Node, job: &Job, tried: &[id::Runner]) -> Vec<(id::Runner, Rate)> {
    let (roster, now) = (node.roster.lock(), node.now());
    let candidates = list_accepting(node, &roster, job);
    let (ledger, feedback) = (node.ledger.lock(), node.feedback.lock());
    let usable =
        candidates.into_iter().filter(|runner| !tried.contains(&runner.id) && ledger.is_healthy(runner, now));
    let admitted = usable.map(|runner| (runner, find_admission(&roster, &feedback, runner, now)));
    let (open, others): (Vec<_>, Vec<_>) = admitted.partition(|(_, admission)| *admission == Admission::Open);
    let open: Vec<&Runner> = open.into_iter().map(|(runner, _)| runner).collect();
    let has_warm_room = balance::has_free_slot(&open, &ledger, &node.fleet_load.lock());
    let rated = others.into_iter().filter_map(|(runner, admission)| match admission {
        Admission::RateLimited(rate) => Some((runner, rate)),
        Admission::Open | Admission::BackingOff(_) => None,
    });
    let eligible = rated.filter(|(runner, _)| !has_warm_room || !roster.is_cold(&runner.id, now));
    eligible.map(|(runner, rate)| (runner.id.clone(), rate)).collect()
}

/// Picks a runner by its id, if it serves the request and is not backing off from this node.
pub fn pick_by_id(node: &Node, job: &Job, runner: &id::Runner) -> Option<Pick> {
    let roster = node.roster.lock();
    let candidates = list_accepting(node, &roster, job);
    let found = candidates.into_iter().find(|candidate| candidate.id == *runner)?;
    Some(build_pick(node, job, found))
}

/// Returns the refusal of a request that no runner takes for a known reason: all halls are under
/// evacuation, or all candidates are backing off.
pub fn refuse_if_closed(node: &Node, job: &Job) -> Option<Refusal> {
    evacuation::refuse_if_closed(node, job).or_else(|| refuse_if_backing_off(node, job))
}

/// Returns the refusal of a request whose candidates are all backing off, because neither waiting
/// nor another try would help. Returns `None` if a candidate accepts requests.
fn refuse_if_backing_off(node: &Node, job: &Job) -> Option<Refusal> {
    let now = node.now();
    if node.feedback.lock().backoffs.is_empty(now) {
        return None;
    }
    let roster = node.roster.lock();
    let candidates = list_candidates(node, &roster, job);
    let feedback = node.feedback.lock();
    let backoff_ends =
        candidates.iter().map(|runner| match find_admission(&roster, &feedback, runner, now) {
            Admission::BackingOff(until) => Some(until),
            Admission::Open | Admission::RateLimited(_) => None,
        });
    let first_end = backoff_ends.collect::<Option<Vec<Millis>>>()?.into_iter().min()?;
    Some(Refusal::Backoff { wait: first_end.since(now), remaining: job.remaining_time(now) })
}

/// Counts the groups or runners that can take a request, as far as this node knows, and records the
/// number in the baseline of what is usual.
pub fn count_capacity(node: &Node, job: &Job) -> Capacity {
    let now = node.now();
    let healthy = {
        let roster = node.roster.lock();
        let candidates = list_accepting(node, &roster, job);
        let ledger = node.ledger.lock();
        candidates.into_iter().filter(|runner| ledger.is_healthy(runner, now)).count()
    };
    let (service, model) = job.model_key();
    node.trial_baseline.lock().record(&service, model.as_ref(), healthy, now)
}

/// Whether the request's runners have room for it; `None` if that is unknown.
pub fn has_room(node: &Node, job: &Job) -> Option<bool> {
    let roster = node.roster.lock();
    let candidates = list_unlimited(node, &roster, job);
    let (ledger, fleet_load) = (node.ledger.lock(), node.fleet_load.lock());
    balance::has_room(&candidates, &ledger, &fleet_load, node.now())
}

/// Returns the head of the group that the collector chose, if this node knows it, has not tried it
/// and has seen no fault of it.
pub fn pick_by_epoch(node: &Node, job: &Job, epoch: Epoch, tried: &[id::Runner]) -> Option<Pick> {
    let roster = node.roster.lock();
    let candidates = list_accepting(node, &roster, job);
    let head = candidates
        .into_iter()
        .find(|head| head.membership.as_ref().is_some_and(|membership| membership.epoch == epoch))?;
    let healthy = node.ledger.lock().is_healthy(head, node.now()) && !tried.contains(&head.id);
    healthy.then(|| build_pick(node, job, head))
}

fn build_pick(node: &Node, job: &Job, runner: &Runner) -> Pick {
    let group = job
        .engine()
        .and(runner.membership.as_ref())
        .map(|membership| (membership.group.clone(), membership.epoch));
    Pick {
        id: runner.id.clone(),
        address: runner.address,
        incarnation: runner.incarnation,
        release: runner.release.clone(),
        picked_at: node.now(),
        hall: runner.hall.clone(),
        group,
    }
}

/// Picks the best of the candidates that were not tried.
fn pick_best(node: &Node, job: &Job, candidates: &[&Runner], tried: &[id::Runner]) -> Option<Pick> {
    let (ledger, fleet_load) = (node.ledger.lock(), node.fleet_load.lock());
    let picked = balance::pick(candidates, tried, &ledger, &fleet_load, node.now(), &mut rand::rng());
    drop((ledger, fleet_load));
    picked.map(|runner| build_pick(node, job, runner))
}

/// Picks a runner after the collector answered that none is limited: one that announced no rate. A node
/// that is behind counts all runners as cold, and the collector knows better.
pub fn pick_unannounced(node: &Node, job: &Job, tried: &[id::Runner]) -> Option<Pick> {
    if !catchup::check(node) {
        return None;
    }
    let roster = node.roster.lock();
    let (mut candidates, now) = (list_candidates(node, &roster, job), node.now());
    let feedback = node.feedback.lock();
    candidates.retain(|runner| {
        feedback.find_admission(&runner.id, runner.incarnation, None, now) == Admission::Open
    });
    drop(feedback);
    pick_best(node, job, &candidates, tried)
}

/// Picks the runner for the next try without the collector: one without a rate limit, or else a
/// rate-limited one that this node may use without a permit.
pub fn pick_locally(node: &Node, job: &Job, tried: &[id::Runner]) -> Option<Pick> {
    let unlimited = {
        let roster = node.roster.lock();
        let candidates = list_unlimited(node, &roster, job);
        pick_best(node, job, &candidates, tried)
    };
    unlimited.or_else(|| pick_by_id(node, job, &throttle::pick_without_collector(node, job, tried)?))
}
