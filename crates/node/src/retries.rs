//! Retry tokens for requests that are sent again: from this node's own retry budget, or else granted
//! by the hall's collector from the shared retry pool.

use std::sync::Arc;

use cottoncrank::id;
use cottoncrank_fleet::retries::Share;
use serde::{Deserialize, Serialize};

use crate::attempt::Job;
use crate::dispatch::{COLLECTOR_TIMEOUT, avoid_collector, find_available_collector};
use crate::peer;
use crate::state::Node;
use crate::telemetry;

/// The fraction of the fleet's allowed retries that is used. The rest covers requests that arrive
/// twice in other ways.
const BUDGET_FRACTION: f64 = 0.8;

/// Asks the collector for a retry token.
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// The node that asks.
    pub(crate) node: id::Node,
}

/// Returns this node's share of the retries that the fleet may accumulate.
fn compute_share(node: &Node) -> Share {
    Share::of(node.settings().bounds.retry_slack * BUDGET_FRACTION, node.directory.lock().count())
}

/// Returns how many retry tokens each request deposits.
fn compute_ratio(node: &Node) -> f64 {
    node.settings().bounds.retry_ratio * BUDGET_FRACTION
}

/// Sets this node's retry budget to its share of what the fleet may accumulate.
pub(crate) fn update_budget(node: &Node) {
    let share = compute_share(node);
    telemetry::set_retry_share(share.budget, share.pooled);
    let mut retries = node.retry_budget.lock();
    retries.set_ratio(compute_ratio(node) * share.budget_fraction());
    retries.set_capacity(share.budget);
}

/// As the collector, sets the size of the pool to the rest of the shares of the nodes that report
/// to this one.
pub(crate) fn update_pool(node: &Node) {
    let now = node.now();
    let nodes = node.reports.lock().count_nodes(now) + 1;
    let window = node.settings().bounds.retry_window;
    node.retry_pool.lock().set_capacity(compute_share(node).pooled * nodes as f64, window, now);
}

/// As the collector, makes the deposit of a request of its hall into the pool.
pub(crate) fn deposit_pooled(node: &Node) {
    let deposit = compute_ratio(node) * (1.0 - compute_share(node).budget_fraction());
    node.retry_pool.lock().deposit(deposit);
}

/// As the collector, grants a retry token if the pool has one.
pub(crate) fn grant(node: &Node, query: &Query) -> bool {
    let granted = node.retry_pool.lock().grant();
    if !granted {
        log::info!("retries: {} gets none, the pool of the hall is empty", query.node);
    }
    telemetry::count_retry_grant(granted);
    granted
}

/// Takes a retry token for sending a request again. Returns false if none is left.
pub(crate) async fn spend(node: &Arc<Node>, job: &Job) -> bool {
    let has_own = node.retry_budget.lock().withdraw();
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
    let query = Query { node: node.settings().node.clone() };
    let granted = match collector.node == query.node {
        true => grant(node, &query),
        false => match peer::query_retry(node, &collector, &query, COLLECTOR_TIMEOUT).await {
            Ok(granted) => granted,
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
