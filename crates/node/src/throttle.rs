//! Rate-limited runners: recording the rates that they announce, exchanging the rates between nodes, and
//! sending no more requests than they allow.
//!
//! The collector of a hall grants each request of the hall that goes to such a runner: together with
//! the group where it picks one, otherwise with a [`Permit`] that a node asks for.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::allocation::{Availability, Caller, Demand, Halls, OtherHall};
use cottoncrank_fleet::dispatch::{self, Reply};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Runner};
use cottoncrank_fleet::throttle::{Change, Message, RateLimit};
use cottoncrank_platform::header;
use hyper::header::HeaderMap;
use serde::{Deserialize, Serialize};

use crate::answer::Refusal;
use crate::attempt::{Job, Pick};
use crate::candidates::{has_unlimited, list_rate_limited};
use crate::dispatch::{COLLECTOR_TIMEOUT, avoid_collector, find_available_collector};
use crate::peer;
use crate::state::Node;
use crate::telemetry;

/// How long a node includes a rate that it received in the reports to its collector. Rates
/// received earlier were in previous reports.
const RESEND_WINDOW: Millis = Millis(2000);

/// Asks the collector for a permit to send a request to one of several rate-limited runners.
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// The service of the request.
    service: id::Service,
    /// Whether the request is refused without a permit, because no other runner takes it. The answer
    /// then tells the caller when to retry.
    refused: bool,
    /// The remaining time of the caller, if it is known.
    patience: Option<Millis>,
    /// The rates of the runners, as far as the sender knows them. A cold runner that has announced none
    /// is listed without a rate; the collector judges by itself whether it is cold.
    claims: Vec<Message>,
}

impl Query {
    fn includes(&self, runner: &id::Runner) -> bool {
        self.claims.iter().any(|message| message.runner == *runner)
    }
}

/// The answer to a [`Query`].
#[derive(Serialize, Deserialize)]
pub(crate) enum Permit {
    /// The request may be sent to this runner.
    Take(id::Runner),
    /// No runner can take a request now; the next one can after this time.
    Wait(Millis),
    /// The runners have no rate limit any more, by these announcements.
    Free(Vec<Message>),
}

/// Records the rate limit that a runner announced in the headers of its answer to a request sent at
/// `sent`.
pub(crate) fn record_rate(node: &Node, pick: &Pick, sent: Millis, headers: &HeaderMap) {
    let rate = match header::read_rate_limit(headers) {
        Ok(rate) => rate,
        Err(error) => {
            log::warn!("throttle: {}: {error}; its previous rate limit stays in force", pick.id);
            return;
        }
    };
    let received = node.now();
    insert_rate(
        node,
        RateLimit { runner: pick.id.clone(), incarnation: pick.incarnation, rate, sent, received },
        "says",
    );
    if rate.is_some() {
        telemetry::count_rate_limited(&pick.hall);
    }
}

fn insert_rate(node: &Node, limit: RateLimit, verb: &str) {
    let runner = limit.runner.clone();
    let change = node.feedback.lock().rate_limits.apply(limit);
    match change {
        Change::None => {}
        Change::Set(rate) => {
            log::info!("throttle: {runner} {verb} that it takes {rate} from all nodes together")
        }
        Change::Withdrawn => log::info!("throttle: {runner} {verb} that it takes all requests again"),
    }
}

/// Records the rate limits that another node reports.
pub(crate) fn receive_rates(node: &Node, messages: &[Message]) {
    for message in messages {
        insert_rate(node, message.to_rate_limit(node.now()), "is told to say");
    }
}

/// Forgets the rate limits of removed runners.
pub(crate) fn remove_gone(node: &Node) {
    let roster = node.roster.lock();
    let (mut feedback, now) = (node.feedback.lock(), node.now());
    feedback.rate_limits.retain(|id| roster.get_last_known(id).is_some());
    let find_rate = |id: &id::Runner| feedback.find_rate(id, None, roster.find_cold_rate(id, now));
    node.allocations.lock().retain(|id| find_rate(id).is_some());
}

/// Lists the rate limits for a report to a collector: those that this node received lately, or for the
/// report of a hall all of them.
pub(crate) fn list_rates(node: &Node, scope: Scope) -> Vec<Message> {
    let now = node.now();
    let rate_limits = &node.feedback.lock().rate_limits;
    let rates =
        rate_limits.iter().filter(|limit| scope == Scope::Hall || now < limit.received + RESEND_WINDOW);
    rates.map(|limit| limit.to_message(now)).collect()
}

/// Lists the rate limits of runners without a domain. The nodes of this hall need them, because they
/// pick those runners by themselves.
pub(crate) fn list_plain_rates(node: &Node) -> Vec<Message> {
    let (roster, feedback, now) = (node.roster.lock(), node.feedback.lock(), node.now());
    let is_plain = |id: &id::Runner| roster.get_last_known(id).is_some_and(|runner| runner.domain.is_none());
    feedback
        .rate_limits
        .iter()
        .filter(|limit| is_plain(&limit.runner))
        .map(|limit| limit.to_message(now))
        .collect()
}

/// Lists the rates that this hall wants of rate-limited runners. Empty in the report of a single node.
pub(crate) fn list_demands(node: &Node, scope: Scope) -> Vec<Demand> {
    if scope == Scope::Node { Vec::new() } else { node.allocations.lock().list_demands(node.now()) }
}

/// Returns for each of these runners this hall's share of its rate and the time until the next request
/// may be sent.
fn list_availability(node: &Node, runners: &[(id::Runner, Rate)], now: Millis) -> Vec<Availability> {
    let hall = &node.settings().hall;
    let (directory, reports) = (node.directory.lock(), node.reports.lock());
    let others = directory.list_halls().into_iter().filter(|other| *other != hall);
    let others =
        others.map(|hall| OtherHall { hall, is_silent: !reports.has_report_from(hall, now) }).collect();
    let halls = Halls { own: hall, others };
    let mut allocations = node.allocations.lock();
    runners.iter().map(|(runner, rate)| allocations.check(runner, *rate, &halls, now)).collect()
}

/// Returns the shortest wait of several runners and the sum of their shares.
fn sum_availability(availabilities: &[Availability]) -> Option<Availability> {
    let wait = availabilities.iter().map(|availability| availability.wait).min()?;
    Some(Availability {
        wait,
        rate: Rate(availabilities.iter().map(|availability| availability.rate.0).sum()),
    })
}

/// The groups that are eligible for a request and whose heads are rate-limited.
#[derive(Default)]
pub(crate) struct LimitedGroups {
    /// The groups that may get no request now, and for how long.
    pub(crate) exhausted: Vec<(Epoch, Millis)>,
    /// The groups whose heads are cold.
    pub(crate) cold: Vec<Epoch>,
    /// The shortest wait and the total share of all of them.
    availability: Option<Availability>,
}

/// As the collector, lists the groups whose heads are rate-limited.
pub(crate) fn list_limited(node: &Node, roster: &Roster, heads: &[&Runner], now: Millis) -> LimitedGroups {
    let find_epoch = |head: &&Runner| Some(head.membership.as_ref()?.epoch);
    let cold = heads.iter().filter(|head| roster.is_cold(&head.id, now)).filter_map(find_epoch).collect();
    let (epochs, runners): (Vec<Epoch>, Vec<(id::Runner, Rate)>) = {
        let feedback = node.feedback.lock();
        let limited = heads.iter().filter_map(|head| {
            let cold = roster.find_cold_rate(&head.id, now);
            let rate = feedback.find_rate(&head.id, head.incarnation, cold)?;
            Some((find_epoch(head)?, (head.id.clone(), rate)))
        });
        limited.unzip()
    };
    if runners.is_empty() {
        return LimitedGroups::default();
    }
    let availabilities = list_availability(node, &runners, now);
    let waits = epochs.into_iter().zip(availabilities.iter().map(|availability| availability.wait));
    let exhausted = waits.filter(|(_, wait)| *wait > Millis(0)).collect();
    LimitedGroups { exhausted, cold, availability: sum_availability(&availabilities) }
}

/// Returns the time after which a caller is to retry when all groups are exhausted, or `None` if no group
/// is rate-limited.
pub(crate) fn plan_retry(
    node: &Node,
    query: &dispatch::Query,
    limited: &LimitedGroups,
    now: Millis,
) -> Option<Millis> {
    let availability = limited.availability?;
    let caller =
        Caller { service: &query.service, model: Some(&query.model), remaining_time: query.patience };
    Some(node.retry_schedule.lock().schedule(&caller, availability, now))
}

/// As the collector, counts a pick against the rate of the picked head, and as demand for the head that
/// would be the best without its rate limit.
pub(crate) fn record_choice(
    node: &Node,
    roster: &Roster,
    heads: &[&Runner],
    reply: Reply,
    best: Option<Epoch>,
    now: Millis,
) {
    let feedback = node.feedback.lock();
    let find_limited = |epoch: Epoch| {
        let is_in_group =
            |head: &&&Runner| head.membership.as_ref().is_some_and(|membership| membership.epoch == epoch);
        let head = heads.iter().find(is_in_group)?;
        let cold = roster.find_cold_rate(&head.id, now);
        feedback.find_rate(&head.id, head.incarnation, cold).map(|_| &head.id)
    };
    let mut allocations = node.allocations.lock();
    if let Some(best) = best.and_then(find_limited) {
        allocations.record_demand(best, now);
    }
    if let Reply::Take(assignment) = reply
        && let Some(picked) = find_limited(assignment.epoch)
    {
        allocations.spend(picked);
    }
}

/// As the collector, grants a permit for one of the runners of a query, or says when the next request may
/// be sent or that none of them is rate-limited any more.
pub(crate) fn grant_permit(node: &Node, query: &Query) -> Permit {
    receive_rates(node, &query.claims);
    let now = node.now();
    let runners: Vec<(id::Runner, Rate)> = {
        let (roster, feedback) = (node.roster.lock(), node.feedback.lock());
        let limited = query.claims.iter().filter_map(|Message { runner, life, .. }| {
            let cold = roster.find_cold_rate(runner, now);
            Some((runner.clone(), feedback.find_rate(runner, *life, cold)?))
        });
        limited.collect()
    };
    if runners.is_empty() {
        let (feedback, is_asked) = (node.feedback.lock(), |limit: &&RateLimit| query.includes(&limit.runner));
        return Permit::Free(
            feedback.rate_limits.iter().filter(is_asked).map(|limit| limit.to_message(now)).collect(),
        );
    }
    let availabilities = list_availability(node, &runners, now);
    let mut allocations = node.allocations.lock();
    for (runner, _) in &runners {
        allocations.record_demand(runner, now);
    }
    let available =
        runners.iter().zip(&availabilities).find(|(_, availability)| availability.wait == Millis(0));
    if let Some(((runner, _), _)) = available {
        allocations.spend(runner);
        return Permit::Take(runner.clone());
    }
    let wait = sum_availability(&availabilities).map(|total| match query.refused {
        true => {
            let caller = Caller { service: &query.service, model: None, remaining_time: query.patience };
            node.retry_schedule.lock().schedule(&caller, total, now)
        }
        // The request goes to another runner, so no caller will retry at that time.
        false => total.wait,
    });
    Permit::Wait(wait.unwrap_or_default())
}

/// Lists the announced rates of the runners for which a permit is asked.
fn list_claims(node: &Node, runners: &[(id::Runner, Rate)]) -> Vec<Message> {
    let (roster, feedback) = (node.roster.lock(), node.feedback.lock());
    let find_incarnation = |id: &id::Runner| roster.get_last_known(id).and_then(|known| known.incarnation);
    let runners: Vec<_> = runners.iter().map(|(id, _)| (id.clone(), find_incarnation(id))).collect();
    feedback.rate_limits.list_claims(&runners, node.now())
}

/// Asks the collector for a permit to send a request to a rate-limited runner. Returns `None` if no such
/// runner can take the request, or the collector does not answer.
pub(crate) async fn query_permit(node: &Arc<Node>, job: &Job, tried: &[id::Runner]) -> Option<Permit> {
    let runners = list_rate_limited(node, job, tried);
    if runners.is_empty() {
        return None;
    }
    let claims = list_claims(node, &runners);
    let (refused, patience) = (!has_unlimited(node, job, tried), job.remaining_time(node.now()));
    let query = Query { service: job.service.clone(), refused, patience, claims };
    let collector = find_available_collector(node)?;
    if collector.node == node.settings().node {
        return Some(grant_permit(node, &query));
    }
    match peer::query_permit(node, &collector, &query, COLLECTOR_TIMEOUT).await {
        Ok(permit) => Some(permit),
        Err(error) => {
            log::info!("request {}: no permit from collector {}: {error}", job.id(), collector.node);
            avoid_collector(node, collector);
            None
        }
    }
}

/// Picks a rate-limited runner without a permit, by the fallback limits of this node.
pub(crate) fn pick_without_collector(node: &Node, job: &Job, tried: &[id::Runner]) -> Option<id::Runner> {
    let runners = list_rate_limited(node, job, tried);
    let (nodes, now) = (node.directory.lock().count(), node.now());
    let mut limits = node.fallback_limits.lock();
    let picked =
        runners.into_iter().find(|(id, rate)| limits.try_spend(id, *rate, nodes, now, &mut rand::rng()));
    picked.map(|(id, _)| id)
}

/// Returns the refusal of a request when all runners that can take it have used up their rates.
pub(crate) fn refuse(node: &Node, job: &Job, wait: Millis) -> Refusal {
    Refusal::Throttled { wait, remaining: job.remaining_time(node.now()) }
}
