//! Asks the hall's collector which group takes a request, and answers such queries as the
//! collector.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::dispatch::{Assignment, Candidates, Query, Reply, Sample, Selection, Urgency};
use cottoncrank_fleet::occupancy::Load;
use cottoncrank_fleet::occupancy::{MIN_COVERAGE, Scope};
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_fleet::trials::Ruling;

use crate::attempt::Job;
use crate::peer;
use crate::reporting::{self, build_report, find_collector};
use crate::retries;
use crate::state::Node;
use crate::throttle;

/// How long a node waits for the collector, which answers within a few milliseconds. After that the
/// node picks a runner itself.
pub(crate) const COLLECTOR_TIMEOUT: Millis = Millis(40);

/// How long a collector that did not answer is not queried again.
const COLLECTOR_AVOID_TIME: Millis = Millis(1000);

/// The most samples kept until the next query: there may be no collector to send them to.
const MAX_SAMPLES: usize = 32;

/// Records the delay of the first event of a request that followed its assignment, compared with
/// the expected delay.
pub fn record_first_event(node: &Node, job: &Job, assignment: Assignment, delay: Millis) {
    let (service, Some(model)) = job.model_key() else { return };
    let later = delay.0 as i64 - assignment.expected as i64;
    let mut samples = node.unsent_samples.lock();
    if samples.len() < MAX_SAMPLES {
        samples.push(Sample { service, model, later });
    }
}

/// Asks which group takes a request, leaving out the groups of the runners in `tried`. Returns `None`
/// if there is no collector, it does not answer, or the request's model is not configured.
pub async fn query_collector(
    node: &Arc<Node>,
    job: &Job,
    urgency: Urgency,
    tried: &[id::Runner],
) -> Option<Reply> {
    let query = build_query(node, job, urgency, tried)?;
    let collector = find_available_collector(node)?;
    if collector.node == node.settings().node {
        return Some(choose_group(node, &query));
    }
    send_query(node, job, collector, &query).await
}

/// Builds the query for the group that takes a request. Returns `None` if the request's model is not
/// configured.
pub(crate) fn build_query(node: &Node, job: &Job, urgency: Urgency, tried: &[id::Runner]) -> Option<Query> {
    let (_, model) = job.model_key();
    Some(Query {
        report: build_report(node, Scope::Node, node.sum_in_flight()),
        service: job.service.clone(),
        model: model?,
        prompt: job.terms.prompt_tokens.unwrap_or(0),
        urgency,
        patience: job.remaining_time(node.now()),
        tried: list_epochs(node, tried),
        unwilling: node.list_backing_off(),
        fingerprint: job.fingerprint,
        samples: std::mem::take(&mut *node.unsent_samples.lock()),
    })
}

/// Sends a query to the collector. Returns `None` if it does not answer.
pub(crate) async fn send_query(node: &Arc<Node>, job: &Job, collector: Peer, query: &Query) -> Option<Reply> {
    match peer::query_group(node, &collector, query, COLLECTOR_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::info!("request {}: collector {} did not choose a group: {error}", job.id(), collector.node);
            avoid_collector(node, collector);
            None
        }
    }
}

/// Returns the collector that this node sends queries to, unless all candidates are avoided.
pub(crate) fn find_available_collector(node: &Node) -> Option<Peer> {
    let hall = &node.settings().hall;
    let mut avoided = node.unreachable_for_queries.lock();
    avoided.evict_expired(node.now());
    find_collector(node, hall, &avoided)
}

/// Sends a collector no queries for a while, because it did not answer one.
pub(crate) fn avoid_collector(node: &Node, collector: Peer) {
    node.unreachable_for_queries.lock().insert(collector.node, node.now() + COLLECTOR_AVOID_TIME);
}

fn list_epochs(node: &Node, runners: &[id::Runner]) -> Vec<Epoch> {
    let roster = node.roster.lock();
    let find_epoch = |id: &id::Runner| Some(roster.get_last_known(id)?.membership.as_ref()?.epoch);
    runners.iter().filter_map(find_epoch).collect()
}

/// As the collector, records the in-flight report of the querying node and chooses a group.
pub fn answer_query(node: &Node, query: Query) -> Reply {
    reporting::record_report(node, query.report.clone());
    let reply = choose_group(node, &query);
    if let Reply::Take(assignment) = reply {
        node.reports.lock().begin_request(&query.report.node, assignment.epoch);
    }
    reply
}

/// Returns the halls from which this node receives no in-flight reports; `None` if too few nodes of
/// its own hall report.
fn list_silent_halls(node: &Node, hall: &id::Hall, now: Millis) -> Option<Vec<id::Hall>> {
    let directory = node.directory.lock();
    let reports = node.reports.lock();
    let nodes = directory.list_collectors(hall).len();
    if ((reports.count_nodes(now) + 1) as f64) < MIN_COVERAGE * nodes as f64 {
        return None;
    }
    let others = directory.list_halls().into_iter().filter(|other| *other != hall);
    Some(others.filter(|other| !reports.has_report_from(other, now)).cloned().collect())
}

/// Chooses a group for a request of this node or, on the collector, of another one.
pub(crate) fn choose_group(node: &Node, query: &Query) -> Reply {
    record_query(node, query);
    judge_group(node, query)
}

/// Records what a query brings, once for each query.
pub(crate) fn record_query(node: &Node, query: &Query) {
    if query.urgency != Urgency::Again {
        retries::record_pooled_request(node, &query.service);
    }
    let mut dispatcher = node.dispatcher.lock();
    for sample in &query.samples {
        dispatcher.record_sample(sample);
    }
}

/// Chooses a group for a request whose query has been recorded. A request that waits is judged more than
/// once.
pub(crate) fn judge_group(node: &Node, query: &Query) -> Reply {
    let Some(catalog) = node.catalog.lock().clone() else { return Reply::Unknown };
    let engine = catalog.find_service(&query.service).and_then(|service| service.engine.as_ref());
    let Some(engine) = engine else { return Reply::Unknown };
    let Some(model) = engine.models.iter().find(|model| model.name == query.model) else {
        return Reply::Unknown;
    };
    let own_in_flight = node.sum_in_flight();
    let (settings, now) = (node.settings(), node.now());
    let Some(silent) = list_silent_halls(node, &settings.hall, now) else { return Reply::Unknown };
    let roster = node.roster.lock();
    let heads = roster.list_heads(&query.service, &query.model, &node.plans.lock());
    let loads = node.reports.lock().sum_loads(&own_in_flight, now);
    let healthy = {
        let ledger = node.ledger.lock();
        heads.iter().filter(|head| ledger.is_healthy(head, now) && query.allows_head(head)).count()
    };
    let ruling = decide_ruling(node, query, healthy, now);
    let trials = match ruling {
        Ruling::Run => Vec::new(),
        Ruling::Trial => node.trials.lock().list_trial_groups(&query.fingerprint, now),
        Ruling::Quarantine => return Reply::Held,
        Ruling::Reject => return Reply::Deadly,
    };
    let limited = throttle::list_limited(node, &roster, &heads, now);
    let choice = Candidates {
        hall: &settings.hall,
        silent_halls: &silent,
        heads: &heads,
        model,
        speed: &engine.speed,
        trial_groups: &trials,
        rate_limited: &limited.exhausted,
        cold: &limited.cold,
    };
    let load = |epoch: Epoch| loads.get(&epoch).copied().unwrap_or(Load::default());
    let mut dispatcher = node.dispatcher.lock();
    let Selection { reply, best } = dispatcher.choose(&choice, query, load, now, &mut rand::rng());
    throttle::record_choice(node, &roster, &heads, reply, best, now);
    if let Reply::Throttled(soonest) = reply {
        let wait = throttle::plan_retry(node, query, &limited, now);
        return Reply::Throttled(wait.map_or(soonest, |wait| wait.0));
    }
    if let (Ruling::Trial, Reply::Take(assignment)) = (ruling, reply) {
        node.trials.lock().start(query.fingerprint, Some(assignment.epoch), now);
    }
    reply
}

/// Decides whether a request may run, by what this hall knows of the crashes under it.
fn decide_ruling(node: &Node, query: &Query, groups: usize, now: Millis) -> Ruling {
    let capacity = node.trial_baseline.lock().record(&query.service, Some(&query.model), groups, now);
    let level = node.suspects.lock().level(&query.fingerprint);
    let mut trials = node.trials.lock();
    trials.finish_at(&query.fingerprint, &query.tried);
    trials.decide(&query.fingerprint, level, capacity, now)
}
