//! Paying for requests that are sent again: from what this node has saved up, or else with a
//! retry that the collector of its hall lends.

use std::sync::Arc;

use cottoncrank::id;
use cottoncrank_fleet::retries::Share;
use serde::{Deserialize, Serialize};

use crate::attempt::Job;
use crate::dispatch::{COLLECTOR_TIMEOUT, avoid_collector, find_available_collector};
use crate::figures;
use crate::peer;
use crate::state::Node;

/// Of the fleet's retries so much is spent: requests that arrive twice by other ways count in the
/// rest.
const BUDGET_FRACTION: f64 = 0.8;

/// A question for a retry.
#[derive(Serialize, Deserialize)]
pub(crate) struct Query {
    /// The node that asks.
    pub(crate) node: id::Node,
}

/// What falls to one node of the retries that the fleet may save up.
fn compute_share(node: &Node) -> Share {
    Share::of(node.settings().bounds.retry_slack * BUDGET_FRACTION, node.directory.lock().count())
}

/// How many retries one request pays for.
fn compute_ratio(node: &Node) -> f64 {
    node.settings().bounds.retry_ratio * BUDGET_FRACTION
}

/// Takes this node's share of the retries that the fleet may save up.
pub(crate) fn update_budget(node: &Node) {
    let share = compute_share(node);
    let mut retries = node.retries.lock();
    retries.set_ratio(compute_ratio(node) * share.part());
    retries.set_capacity(share.own);
}

/// As the collector, keeps what is left over of the shares of the nodes that report to this one.
pub(crate) fn update_pool(node: &Node) {
    let now = node.now();
    let nodes = node.reports.lock().count_nodes(now) + 1;
    let window = node.settings().bounds.retry_window;
    node.pool.lock().keep(compute_share(node).left * nodes as f64, window, now);
}

/// As the collector, takes in that a request of its hall has come.
pub(crate) fn deposit_pooled(node: &Node) {
    let deposit = compute_ratio(node) * (1.0 - compute_share(node).part());
    node.pool.lock().earn(deposit);
}

/// As the collector, lends a retry.
pub(crate) fn grant(node: &Node, query: &Query) -> bool {
    let granted = node.pool.lock().lend();
    if !granted {
        log::info!("retries: {} gets none, all of the hall are spent", query.node);
    }
    figures::count_loan(granted);
    granted
}

/// Pays for sending a request again; false if it is not allowed.
pub(crate) async fn spend(node: &Arc<Node>, job: &Job) -> bool {
    if node.retries.lock().withdraw() {
        return true;
    }
    let Some(collector) = find_available_collector(node) else { return deny(job, "nobody lends one") };
    let query = Query { node: node.settings().node.clone() };
    let granted = match collector.node == query.node {
        true => grant(node, &query),
        false => match peer::ask_loan(node, &collector, &query, COLLECTOR_TIMEOUT).await {
            Ok(granted) => granted,
            Err(error) => {
                avoid_collector(node, collector);
                return deny(job, &error.to_string());
            }
        },
    };
    granted || deny(job, "the retries are spent")
}

fn deny(job: &Job, reason: &str) -> bool {
    log::info!("request {}: not sent again: {reason}", job.id());
    false
}
