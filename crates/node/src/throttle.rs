//! Runners that name a rate: taking in what they say, telling it, and keeping to it.
//!
//! The collector of a hall lets each request of the hall go there: where it chooses the group, in
//! the same answer, and else when it is asked for a place.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::apportion::{Caller, Halls, Neighbor, Outlook, Want};
use cottoncrank_fleet::dispatch::{Question, Reply};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::runner::{Epoch, Runner};
use cottoncrank_fleet::throttle::{Change, Claim, Told};
use cottoncrank_platform::header;
use hyper::header::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::answer::Refusal;
use crate::attempt::{Job, Pick};
use crate::candidates::{has_free, list_throttled};
use crate::dispatch::{ANSWER, avoid, find_asked};
use crate::peer;
use crate::state::Node;
use crate::telemetry;

/// A node tells its collector what runners said to it within this time: it has told what is older
/// in an earlier report.
const RESEND_WINDOW: Millis = Millis(2000);

/// A question for a place at one of these runners.
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// The service.
    service: id::Service,
    /// Whether the caller is told to come back where there is none, and how long it waits if that
    /// is said: no runner takes its request otherwise.
    refused: bool,
    patience: Option<Millis>,
    /// What they said, as far as this node has heard it.
    claims: Vec<Told>,
}

impl Query {
    fn includes(&self, runner: &id::Runner) -> bool {
        self.claims.iter().any(|told| told.runner == *runner)
    }
}

/// The answer to it.
#[derive(Serialize, Deserialize)]
pub(crate) enum Permit {
    /// The request goes to this runner.
    Take(id::Runner),
    /// There is none, and the next one is so far away.
    Wait(Millis),
    /// They take all requests again, as this says.
    Free(Vec<Told>),
}

/// Reads from an answer to a request sent at `asked` how many requests a second its runner takes.
pub(crate) fn record_rate(node: &Node, pick: &Pick, asked: Millis, headers: &HeaderMap) {
    let rate = match header::read_rate(headers) {
        Ok(rate) => rate,
        Err(error) => {
            log::warn!("throttle: {}: {error}; what it said before holds", pick.id);
            return;
        }
    };
    let heard = node.now();
    insert_rate(node, Claim { runner: pick.id.clone(), life: pick.life, rate, asked, heard }, "says");
    if rate.is_some() {
        telemetry::count_rate_limited(&pick.hall);
    }
}

fn insert_rate(node: &Node, claim: Claim, verb: &str) {
    let runner = claim.runner.clone();
    let change = node.feedback.lock().throttles.put(claim);
    match change {
        Change::None => {}
        Change::Named(rate) => {
            log::info!("throttle: {runner} {verb} that it takes {rate} from all nodes together")
        }
        Change::Withdrawn => log::info!("throttle: {runner} {verb} that it takes all requests again"),
    }
}

/// Takes in what another node tells.
pub(crate) fn receive_rates(node: &Node, claims: &[Told]) {
    for told in claims {
        insert_rate(node, told.read(node.now()), "is told to say");
    }
}

/// Forgets runners that are gone.
pub(crate) fn remove_gone(node: &Node) {
    let roster = node.roster.lock();
    let throttles = &mut node.feedback.lock().throttles;
    throttles.retain(|id| roster.get_last_known(id).is_some());
    node.allocations.lock().retain(|id| throttles.find(id, None).is_some());
}

/// What this node tells a collector of what runners said of their rates: to it lately, or to any
/// of its hall.
pub(crate) fn list_rates(node: &Node, scope: Scope) -> Vec<Told> {
    let now = node.now();
    let throttles = &node.feedback.lock().throttles;
    let rates = throttles.iter().filter(|claim| scope == Scope::Hall || now < claim.heard + RESEND_WINDOW);
    rates.map(|claim| claim.tell(now)).collect()
}

/// The same, of plain runners alone: what a node of this hall has to know, for those it chooses
/// by itself.
pub(crate) fn list_plain_rates(node: &Node) -> Vec<Told> {
    let (roster, feedback, now) = (node.roster.lock(), node.feedback.lock(), node.now());
    let is_plain = |id: &id::Runner| roster.get_last_known(id).is_some_and(|runner| runner.domain.is_none());
    feedback.throttles.iter().filter(|claim| is_plain(&claim.runner)).map(|claim| claim.tell(now)).collect()
}

/// What this hall wants of runners that name a rate.
pub(crate) fn list_demands(node: &Node, scope: Scope) -> Vec<Want> {
    if scope == Scope::Node { Vec::new() } else { node.allocations.lock().list_wants(node.now()) }
}

/// What each of these runners takes from this hall, by the rate that it names.
fn list_outlooks(node: &Node, runners: &[(id::Runner, Rate)], now: Millis) -> Vec<Outlook> {
    let hall = &node.settings().hall;
    let (directory, reports) = (node.directory.lock(), node.reports.lock());
    let others = directory.list_halls().into_iter().filter(|other| *other != hall);
    let others = others.map(|hall| Neighbor { hall, silent: !reports.hears(hall, now) }).collect();
    let halls = Halls { own: hall, others };
    let mut allocations = node.allocations.lock();
    runners.iter().map(|(runner, rate)| allocations.look(runner, *rate, &halls, now)).collect()
}

/// What several runners take together: the soonest of all, and the sum of their parts.
fn sum_outlooks(outlooks: &[Outlook]) -> Option<Outlook> {
    let wait = outlooks.iter().map(|outlook| outlook.wait).min()?;
    Some(Outlook { wait, part: Rate(outlooks.iter().map(|outlook| outlook.part.0).sum()) })
}

/// The groups of a choice whose heads name a rate.
#[derive(Default)]
pub(crate) struct LimitedGroups {
    /// Those that get no request at present, and for how long.
    pub(crate) exhausted: Vec<(Epoch, Millis)>,
    /// What all of them take together.
    outlook: Option<Outlook>,
}

/// As the collector, the groups whose heads name a rate.
pub(crate) fn list_limited(node: &Node, heads: &[&Runner], now: Millis) -> LimitedGroups {
    let (epochs, runners): (Vec<Epoch>, Vec<(id::Runner, Rate)>) = {
        let throttles = &node.feedback.lock().throttles;
        let limited = heads.iter().filter_map(|head| {
            let rate = throttles.find(&head.id, head.incarnation)?;
            Some((head.membership.as_ref()?.epoch, (head.id.clone(), rate)))
        });
        limited.unzip()
    };
    if runners.is_empty() {
        return LimitedGroups::default();
    }
    let outlooks = list_outlooks(node, &runners, now);
    let waits = epochs.into_iter().zip(outlooks.iter().map(|outlook| outlook.wait));
    let exhausted = waits.filter(|(_, wait)| *wait > Millis(0)).collect();
    LimitedGroups { exhausted, outlook: sum_outlooks(&outlooks) }
}

/// When a caller for whom there is no place comes back.
pub(crate) fn plan_retry(
    node: &Node,
    question: &Question,
    limited: &LimitedGroups,
    now: Millis,
) -> Option<Millis> {
    let outlook = limited.outlook?;
    let caller =
        Caller { service: &question.service, model: Some(&question.model), patience: question.patience };
    Some(node.retry_schedule.lock().plan(&caller, outlook, now))
}

/// As the collector, counts a choice at the head that it fell on, and at the one that would be
/// best but for its rate.
pub(crate) fn record_choice(node: &Node, heads: &[&Runner], reply: Reply, best: Option<Epoch>, now: Millis) {
    let throttles = &node.feedback.lock().throttles;
    let find_limited = |epoch: Epoch| {
        let is_in_group =
            |head: &&&Runner| head.membership.as_ref().is_some_and(|place| place.epoch == epoch);
        let head = heads.iter().find(is_in_group)?;
        throttles.find(&head.id, head.incarnation).map(|_| &head.id)
    };
    let mut allocations = node.allocations.lock();
    if let Some(best) = best.and_then(find_limited) {
        allocations.want(best, now);
    }
    if let Reply::Take(promise) = reply
        && let Some(taken) = find_limited(promise.epoch)
    {
        allocations.take(taken);
    }
}

/// As the collector, gives a place at one of these runners.
pub(crate) fn grant_permit(node: &Node, query: &Query) -> Permit {
    receive_rates(node, &query.claims);
    let now = node.now();
    let runners: Vec<(id::Runner, Rate)> = {
        let throttles = &node.feedback.lock().throttles;
        let limited = query
            .claims
            .iter()
            .filter_map(|told| Some((told.runner.clone(), throttles.find(&told.runner, told.life)?)));
        limited.collect()
    };
    if runners.is_empty() {
        let (feedback, is_asked) = (node.feedback.lock(), |claim: &&Claim| query.includes(&claim.runner));
        return Permit::Free(
            feedback.throttles.iter().filter(is_asked).map(|claim| claim.tell(now)).collect(),
        );
    }
    let outlooks = list_outlooks(node, &runners, now);
    let mut allocations = node.allocations.lock();
    for (runner, _) in &runners {
        allocations.want(runner, now);
    }
    let available = runners.iter().zip(&outlooks).find(|(_, outlook)| outlook.wait == Millis(0));
    if let Some(((runner, _), _)) = available {
        allocations.take(runner);
        return Permit::Take(runner.clone());
    }
    let wait = sum_outlooks(&outlooks).map(|total| match query.refused {
        true => {
            let caller = Caller { service: &query.service, model: None, patience: query.patience };
            node.retry_schedule.lock().plan(&caller, total, now)
        }
        // Nobody comes back for it: its request goes to another runner.
        false => total.wait,
    });
    Permit::Wait(wait.unwrap_or_default())
}

/// Asks the collector for a place at a runner that names a rate; none if no such runner can take
/// the request, or nobody answers.
pub(crate) async fn query_permit(node: &Arc<Node>, job: &Job, tried: &[id::Runner]) -> Option<Permit> {
    let runners = list_throttled(node, job, tried);
    if runners.is_empty() {
        return None;
    }
    let claims = {
        let (feedback, now) = (node.feedback.lock(), node.now());
        let is_candidate = |claim: &&Claim| runners.iter().any(|(id, _)| *id == claim.runner);
        feedback.throttles.iter().filter(is_candidate).map(|claim| claim.tell(now)).collect()
    };
    let (refused, patience) = (!has_free(node, job, tried), job.patience(node.now()));
    let query = Query { service: job.service.clone(), refused, patience, claims };
    let collector = find_asked(node)?;
    if collector.node == node.settings().node {
        return Some(grant_permit(node, &query));
    }
    match peer::query_permit(node, &collector, &query, ANSWER).await {
        Ok(place) => Some(place),
        Err(error) => {
            log::info!("request {}: {} gives no place: {error}", job.id(), collector.node);
            avoid(node, collector);
            None
        }
    }
}

/// The runner that names a rate and gets a request from this node without asking, if one does.
pub(crate) fn pick_without_collector(node: &Node, job: &Job, tried: &[id::Runner]) -> Option<id::Runner> {
    let runners = list_throttled(node, job, tried);
    let (nodes, now) = (node.directory.lock().count(), node.now());
    let mut limits = node.fallback_limits.lock();
    let taken = runners.into_iter().find(|(id, rate)| limits.take(id, *rate, nodes, now, &mut rand::rng()));
    taken.map(|(id, _)| id)
}

/// The refusal of a request where all that can take it have had as many as they take.
pub(crate) fn refuse(node: &Node, job: &Job, wait: Millis) -> Refusal {
    Refusal::Throttled { wait, patience: job.patience(node.now()) }
}
