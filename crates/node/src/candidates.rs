//! The runners that a request may be sent to, and which of them is next.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::balance;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Runner};
use cottoncrank_fleet::said::Admission;
use cottoncrank_fleet::trials::Capacity;

use crate::answer::Refusal;
use crate::attempt::{Job, Pick};
use crate::state::Node;
use crate::throttle;

/// The runners that a request may be sent to.
fn list_candidates<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    match (job.engine(), &job.terms.model) {
        (Some(_), Some(model)) => roster.list_heads(&job.service, model, &node.plans.lock()),
        _ => roster.list_plain(&job.service),
    }
}

/// Those of them that this node may send a request to, as they say themselves. One that turns
/// requests away runs nothing and so looks idle: unless it is left out here, it is sent more than
/// all others.
fn list_admitted<'a>(
    node: &Node,
    roster: &'a Roster,
    job: &Job,
    admits: impl Fn(Admission) -> bool,
) -> Vec<&'a Runner> {
    let (mut candidates, now) = (list_candidates(node, roster, job), node.now());
    let said = node.feedback.lock();
    candidates.retain(|runner| admits(said.ask(&runner.id, runner.incarnation, now)));
    candidates
}

/// Those that want requests from this node.
fn list_willing<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    list_admitted(node, roster, job, |admission| !matches!(admission, Admission::Closed(_)))
}

/// Those that take as many requests as there are. The others have named a rate for all nodes
/// together, of which a node by itself sees too little to keep it: a request goes there only
/// where the hall has a place for it.
fn list_free<'a>(node: &Node, roster: &'a Roster, job: &Job) -> Vec<&'a Runner> {
    list_admitted(node, roster, job, |admission| admission == Admission::Open)
}

/// Whether a runner that was not tried takes as many requests as there are.
pub fn has_free(node: &Node, job: &Job, tried: &[id::Runner]) -> bool {
    let roster = node.roster.lock();
    list_free(node, &roster, job).iter().any(|runner| !tried.contains(&runner.id))
}

/// The runners that a request may be sent to where the hall has a place for it, with the rates
/// that they take.
pub fn list_throttled(node: &Node, job: &Job, tried: &[id::Runner]) -> Vec<(id::Runner, Rate)> {
    let (roster, now) = (node.roster.lock(), node.now());
    let candidates = list_willing(node, &roster, job);
    let (ledger, said) = (node.ledger.lock(), node.feedback.lock());
    let usable =
        candidates.into_iter().filter(|runner| !tried.contains(&runner.id) && ledger.is_sound(runner, now));
    let rated = usable.filter_map(|runner| match said.ask(&runner.id, runner.incarnation, now) {
        Admission::Rated(rate) => Some((runner.id.clone(), rate)),
        Admission::Open | Admission::Closed(_) => None,
    });
    rated.collect()
}

/// The runner at which the hall has a place for a request, if nothing that this node has seen
/// speaks against it.
pub fn pick_at(node: &Node, job: &Job, runner: &id::Runner) -> Option<Pick> {
    let roster = node.roster.lock();
    let candidates = list_willing(node, &roster, job);
    let found = candidates.into_iter().find(|candidate| candidate.id == *runner)?;
    Some(write_pick(node, job, found))
}

/// The refusal of a request where all runners that can take it want none: there is nothing to
/// wait or to try for.
pub fn refuse_unwilling(node: &Node, job: &Job) -> Option<Refusal> {
    let now = node.now();
    if node.feedback.lock().backoffs.is_empty(now) {
        return None;
    }
    let roster = node.roster.lock();
    let candidates = list_candidates(node, &roster, job);
    let said = node.feedback.lock();
    let ends = candidates.iter().map(|runner| match said.ask(&runner.id, runner.incarnation, now) {
        Admission::Closed(until) => Some(until),
        Admission::Open | Admission::Rated(_) => None,
    });
    let first = ends.collect::<Option<Vec<Millis>>>()?.into_iter().min()?;
    Some(Refusal::Backoff { wait: first.since(now), patience: job.patience(now) })
}

/// How many groups or runners can take a request, as far as this node has seen.
pub fn count_takers(node: &Node, job: &Job) -> Capacity {
    let now = node.now();
    let sound = {
        let roster = node.roster.lock();
        let candidates = list_willing(node, &roster, job);
        let ledger = node.ledger.lock();
        candidates.into_iter().filter(|runner| ledger.is_sound(runner, now)).count()
    };
    let (service, model) = job.lane();
    node.trial_baseline.lock().record(&service, model.as_ref(), sound, now)
}

/// Whether the runners of a request have room for it; none if nobody knows.
pub fn has_room(node: &Node, job: &Job) -> Option<bool> {
    let roster = node.roster.lock();
    let candidates = list_free(node, &roster, job);
    let (ledger, view) = (node.ledger.lock(), node.fleet_load.lock());
    balance::has_room(&candidates, &ledger, &view, node.now())
}

/// The head of the group that was chosen, if it is known here and nothing that this node
/// has seen speaks against it.
pub fn find_pick(node: &Node, job: &Job, epoch: Epoch, tried: &[id::Runner]) -> Option<Pick> {
    let roster = node.roster.lock();
    let candidates = list_willing(node, &roster, job);
    let head =
        candidates.into_iter().find(|head| head.membership.as_ref().is_some_and(|p| p.epoch == epoch))?;
    let sound = node.ledger.lock().is_sound(head, node.now()) && !tried.contains(&head.id);
    sound.then(|| write_pick(node, job, head))
}

fn write_pick(node: &Node, job: &Job, runner: &Runner) -> Pick {
    let group = job.engine().and(runner.membership.as_ref()).map(|place| (place.group.clone(), place.epoch));
    Pick {
        id: runner.id.clone(),
        address: runner.address,
        life: runner.incarnation,
        release: runner.release.clone(),
        at: node.now(),
        hall: runner.hall.clone(),
        group,
    }
}

/// Picks the runner for the next try by itself: one that takes as many requests as there are, or
/// else one that this node may send one to without asking.
pub fn pick(node: &Node, job: &Job, tried: &[id::Runner]) -> Option<Pick> {
    let free = {
        let roster = node.roster.lock();
        let candidates = list_free(node, &roster, job);
        let (ledger, view) = (node.ledger.lock(), node.fleet_load.lock());
        let picked = balance::pick(&candidates, tried, &ledger, &view, node.now(), &mut rand::rng());
        picked.map(|runner| write_pick(node, job, runner))
    };
    free.or_else(|| pick_at(node, job, &throttle::pick_without_collector(node, job, tried)?))
}
