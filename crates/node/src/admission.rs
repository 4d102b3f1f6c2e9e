//! Asks the hall's collector to admit a request that competes with others of different priority and, as
//! the collector, answers such queries.

mod waiting;

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::admission::class::longest_wait;
use cottoncrank_fleet::admission::{Query, Reply};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::dispatch::Urgency;
use cottoncrank_net::client::CallError;
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::attempt::Job;
use crate::denylist::Denylist;
use crate::dispatch::{self, COLLECTOR_TIMEOUT, avoid_collector, build_query, find_available_collector};
use crate::peer;
use crate::reporting;
use crate::state::Node;

/// How long a collector of an earlier build is only asked to choose a group, before it is asked again to
/// admit a request.
const FORMER_BUILD_TIME: Millis = Millis(10_000);

/// The state of admission on one node.
#[derive(Default)]
pub(crate) struct State {
    /// Collectors of an earlier build, which do not know the query for admission.
    former_builds: Mutex<Denylist>,
    /// As the collector, the requests that wait.
    pub(crate) queues: waiting::Queues,
}

/// Asks the collector to admit a request. Returns `None` if there is no collector, it does not answer,
/// or the request's model is not configured.
pub(crate) async fn query_collector(node: &Arc<Node>, job: &Job, urgency: Urgency) -> Option<Reply> {
    if !job.catalog.has_priorities(&job.service) {
        return dispatch::query_collector(node, job, urgency, &[]).await.map(Reply::Chosen);
    }
    let query = Query {
        choice: build_query(node, job, urgency, &[])?,
        priority: job.priority,
        route_priority: job.route.priority,
        account: job.account.clone(),
    };
    let collector = find_available_collector(node)?;
    if collector.node == node.settings().node {
        return Some(waiting::admit(node, query).await);
    }
    if is_former_build(node, &collector) {
        return dispatch::send_query(node, job, collector, &query.choice).await.map(Reply::Chosen);
    }
    let timeout = COLLECTOR_TIMEOUT + find_longest_wait(urgency);
    match peer::query_admission(node, &collector, &query, timeout).await {
        Ok(reply) => {
            if let Reply::Return { .. } = reply {
                let (name, fingerprint) = (&collector.node, job.fingerprint);
                log::info!("request {}: collector {name} refused it as {fingerprint}", job.id());
            }
            Some(reply)
        }
        Err(CallError::Status { status: StatusCode::BAD_REQUEST, .. }) => {
            log::info!("admission: collector {} is of an earlier build", collector.node);
            record_former_build(node, &collector);
            dispatch::send_query(node, job, collector, &query.choice).await.map(Reply::Chosen)
        }
        Err(error) => {
            log::info!("request {}: collector {} did not admit it: {error}", job.id(), collector.node);
            avoid_collector(node, collector);
            None
        }
    }
}

fn is_former_build(node: &Node, collector: &Peer) -> bool {
    let mut former_builds = node.admission.former_builds.lock();
    former_builds.evict_expired(node.now());
    former_builds.contains(&collector.node)
}

fn record_former_build(node: &Node, collector: &Peer) {
    let until = node.now() + FORMER_BUILD_TIME;
    node.admission.former_builds.lock().insert(collector.node.clone(), until);
}

/// Returns how long the collector may hold a request.
fn find_longest_wait(urgency: Urgency) -> Millis {
    match urgency {
        Urgency::Within(left) => longest_wait(Millis(left)),
        Urgency::Again => Millis(0),
    }
}

/// As the collector, records the in-flight report of the asking node, and admits the request or refuses it.
pub(crate) async fn answer_query(node: &Node, query: Query) -> Reply {
    reporting::record_report(node, query.choice.report.clone());
    waiting::admit(node, query).await
}
