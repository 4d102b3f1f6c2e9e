//! Retry tokens for requests that are sent again: from what this node may spend itself, or else granted
//! by the hall's collector from the shared retry pool.

use std::sync::Arc;

use cottoncrank::id;
use cottoncrank_fleet::retries::Bound;
use cottoncrank_net::client::CallError;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::attempt::Job;
use crate::dispatch::{COLLECTOR_TIMEOUT, avoid_collector, find_available_collector};
use crate::peer;
use crate::state::Node;
use crate::telemetry;

/// Asks the collector for a retry token, as earlier builds do, which share tokens among services.
#[derive(Serialize, Deserialize)]
pub(crate) struct FormerQuery {
    /// The node that asks.
    pub(crate) node: id::Node,
}

/// Asks the collector for a retry token for a request to a service.
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// The node that asks.
    pub(crate) node: id::Node,
    /// The service.
    pub(crate) service: id::Service,
}

/// Returns the retries that the whole fleet may make.
fn read_bound(node: &Node) -> Bound {
    let bounds = &node.settings().bounds;
    Bound { window: bounds.retry_window, slack: bounds.retry_slack, ratio: bounds.retry_ratio }
}

/// Records which nodes the store lists.
pub(crate) fn record_members(node: &Node) {
    let (count, is_listed) = {
        let directory = node.directory.lock();
        (directory.count(), directory.get(&node.settings().node).is_some())
    };
    node.retry_allowance.lock().record_members(count, is_listed, &read_bound(node), node.now());
}

/// Drops what this node may not save any more.
pub(crate) fn update_allowance(node: &Node) {
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    let share = {
        let mut allowance = node.retry_allowance.lock();
        allowance.update(&bound, age, now);
        allowance.share(&bound, age, now)
    };
    telemetry::set_retry_share(share.own, share.pooled);
}

/// As the collector, updates the pool by the nodes that report to this one.
pub(crate) fn update_pool(node: &Node) {
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    let mut nodes = node.reports.lock().list_nodes(now);
    nodes.push(node.settings().node.clone());
    {
        let directory = node.directory.lock();
        nodes.retain(|name| directory.get(name).is_some());
    }
    let allowance = node.retry_allowance.lock();
    node.retry_pool.lock().update(nodes.into_iter(), &allowance, &bound, age, now);
}

/// Adds what a request earns to this node's retries.
pub(crate) fn record_request(node: &Node, service: &id::Service) {
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    node.retry_allowance.lock().record_request(service, &bound, age, now);
}

/// As the collector, adds what a request of its hall earns to the pool.
pub(crate) fn record_pooled_request(node: &Node, service: &id::Service) {
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    let allowance = node.retry_allowance.lock();
    node.retry_pool.lock().record_request(service, &allowance, &bound, age, now);
}

/// As the collector, grants a retry token if the pool has one.
pub(crate) fn grant(node: &Node, query: &Query) -> bool {
    update_pool(node);
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    let granted = {
        let allowance = node.retry_allowance.lock();
        node.retry_pool.lock().grant(&query.service, &allowance, &bound, age, now)
    };
    if !granted {
        log::info!("retries: {} gets none, the pool of the hall is empty", query.node);
    }
    telemetry::count_retry_grant(granted);
    granted
}

/// As the collector, refuses a node of an earlier build a retry token, because the service is not known.
pub(crate) fn refuse_former(query: &FormerQuery) -> bool {
    log::info!("retries: {} gets none, it is of an earlier build", query.node);
    false
}

/// Takes a retry token for sending a request again. Returns false if none is left.
pub(crate) async fn spend(node: &Arc<Node>, job: &Job) -> bool {
    let (bound, age, now) = (read_bound(node), node.staleness(), node.now());
    let has_own = node.retry_allowance.lock().spend(&job.service, &bound, age, now);
    let source = match has_own {
        true => "own",
        false if query_pool(node, job).await => "pool",
        false => "none",
    };
    telemetry::count_retry(&job.service, source);
    source != "none"
}

/// Takes a retry token from the shared retry pool of the hall.
async fn query_pool(node: &Arc<Node>, job: &Job) -> bool {
    let Some(collector) = find_available_collector(node) else { return deny(job, "no collector to ask") };
    let query = Query { node: node.settings().node.clone(), service: job.service.clone() };
    let granted = match collector.node == query.node {
        true => grant(node, &query),
        false => match peer::query_retry(node, &collector, &query, COLLECTOR_TIMEOUT).await {
            Ok(granted) => granted,
            Err(CallError::Status { status: StatusCode::BAD_REQUEST, .. }) => {
                return deny(job, "the collector is of an earlier build");
            }
            Err(error) => {
                avoid_collector(node, collector);
                return deny(job, &error.to_string());
            }
        },
    };
    granted || deny(job, "the retry budget is spent")
}

fn deny(job: &Job, reason: &str) -> bool {
    log::info!("request {}: not sent again: {reason}", job.id());
    false
}
