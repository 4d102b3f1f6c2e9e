//! Paying for requests that are sent again: from what this node has saved up, or else with a
//! retry that the collector of its hall lends.

use std::sync::Arc;

use cottoncrank::id;
use cottoncrank_fleet::retries::Share;
use serde::{Deserialize, Serialize};

use crate::attempt::Job;
use crate::dispatch::{ANSWER, avoid, find_asked};
use crate::peer;
use crate::state::Node;
use crate::telemetry;

/// Of the fleet's retries so much is spent: requests that arrive twice by other ways count in the
/// rest.
const SPENT: f64 = 0.8;

/// A question for a retry.
#[derive(Serialize, Deserialize)]
pub(crate) struct Loan {
    /// The node that asks.
    pub(crate) node: id::Node,
}

/// What falls to one node of the retries that the fleet may save up.
fn share(node: &Node) -> Share {
    Share::of(node.settings().bounds.retry_slack * SPENT, node.directory.lock().count())
}

/// How many retries one request pays for.
fn earned(node: &Node) -> f64 {
    node.settings().bounds.retry_ratio * SPENT
}

/// Takes this node's share of the retries that the fleet may save up.
pub(crate) fn take_share(node: &Node) {
    let share = share(node);
    let mut retries = node.retry_budget.lock();
    retries.set_ratio(earned(node) * share.part());
    retries.set_capacity(share.own);
}

/// As the collector, keeps what is left over of the shares of the nodes that report to this one.
pub(crate) fn keep_pool(node: &Node) {
    let now = node.now();
    let nodes = node.reports.lock().count_nodes(now) + 1;
    let window = node.settings().bounds.retry_window;
    node.retry_pool.lock().keep(share(node).left * nodes as f64, window, now);
}

/// As the collector, takes in that a request of its hall has come.
pub(crate) fn earn_pooled(node: &Node) {
    let part = earned(node) * (1.0 - share(node).part());
    node.retry_pool.lock().earn(part);
}

/// As the collector, lends a retry.
pub(crate) fn lend(node: &Node, loan: &Loan) -> bool {
    let lent = node.retry_pool.lock().lend();
    if !lent {
        log::info!("retries: {} gets none, all of the hall are spent", loan.node);
    }
    telemetry::count_retry_grant(lent);
    lent
}

/// Pays for sending a request again; false if it is not allowed.
pub(crate) async fn spend(node: &Arc<Node>, job: &Job) -> bool {
    if node.retry_budget.lock().withdraw() {
        return true;
    }
    let Some(collector) = find_asked(node) else { return refuse(job, "nobody lends one") };
    let loan = Loan { node: node.settings().node.clone() };
    let lent = match collector.node == loan.node {
        true => lend(node, &loan),
        false => match peer::query_retry(node, &collector, &loan, ANSWER).await {
            Ok(lent) => lent,
            Err(error) => {
                avoid(node, collector);
                return refuse(job, &error.to_string());
            }
        },
    };
    lent || refuse(job, "the retries are spent")
}

fn refuse(job: &Job, why: &str) -> bool {
    log::info!("request {}: not sent again: {why}", job.id());
    false
}
