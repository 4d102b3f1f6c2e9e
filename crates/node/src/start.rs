//! Starting and draining a node.

use std::sync::Arc;

use cottoncrank::Millis;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::state::Node;
use crate::{
    decider, evacuation, front, paths, peer, presence, pressure, registration, reporting, suspect_store,
    suspension, sync,
};

/// The part of the time between the stop signal and the kill that is not used for draining.
const STOP_MARGIN: Millis = Millis(700);

/// The part of it in which callers still read that their requests are not answered.
const ANSWER_TIME: Millis = Millis(300);

/// How often a draining node checks whether its requests are answered.
const POLL_INTERVAL: Millis = Millis(50);

/// The listening sockets of a node.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer.
    pub ready: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

/// Starts all tasks of a node. They end when the returned set is dropped.
pub fn start(node: &Arc<Node>, listeners: Listeners) -> JoinSet<()> {
    let mut tasks = start_serving(node, listeners.callers, listeners.peers);
    tasks.spawn(front::serve_readiness(node.clone(), listeners.ready));
    tasks
}

/// Starts all tasks of a node but the answers to the balancer.
pub(crate) fn start_serving(node: &Arc<Node>, callers: TcpListener, peers: TcpListener) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(sync::run(node.clone()));
    tasks.spawn(sync::run_expiry(node.clone()));
    tasks.spawn(evacuation::run(node.clone()));
    tasks.spawn(registration::run(node.clone()));
    tasks.spawn(presence::run(node.clone()));
    tasks.spawn(reporting::run(node.clone()));
    tasks.spawn(paths::run(node.clone()));
    tasks.spawn(pressure::run(node.clone()));
    tasks.spawn(suspect_store::run(node.clone()));
    tasks.spawn(suspension::run(node.clone()));
    tasks.spawn(peer::serve(node.clone(), peers));
    tasks.spawn(decider::run(node.clone()));
    tasks.spawn(front::measure_delay(node.clone()));
    tasks.spawn(front::serve_callers(node.clone(), callers));
    tasks
}

/// Drains the node before it stops.
///
/// The node reports that it is not ready but accepts requests until the balancer must have noticed. Then
/// it rejects new requests, which might not finish before the kill, and waits for those in flight, for
/// callers that still read their answers, and for the tunnels that it carries, as long as the grace period
/// allows. Requests without an answer are told so before it ends.
pub async fn drain(node: &Node) {
    let heard = node.now();
    // It may have been sent at any time while the process did not run.
    let sent = node.activity.lock().find_earliest(heard);
    let end = sent + (node.settings().bounds.grace - STOP_MARGIN);
    log::info!(
        "node: received a stop signal, sent up to {} before, {} requests in flight",
        heard.since(sent),
        node.running()
    );
    node.draining.send_replace(true);
    tokio::time::sleep(front::DRAIN_NOTICE.min(end - heard).duration()).await;
    node.closed.send_replace(true);
    wait_unused(node, end).await;
    if node.running() > 0 {
        log::info!("node: ends, tells {} requests that it has no answer", node.running());
        node.ending.send_replace(true);
        wait_unused(node, end + ANSWER_TIME).await;
    }
    let (connections, carried) = (node.used_connections(), node.carried_tunnels.count());
    log::info!(
        "node: stops, {} requests under way, {connections} connections of callers, {carried} tunnels of other nodes",
        node.running()
    );
}

/// Waits until the node is not in use, at most until `end`.
async fn wait_unused(node: &Node, end: Millis) {
    while is_in_use(node) && node.now() < end {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
}

fn is_in_use(node: &Node) -> bool {
    node.is_accepting() || node.running() + node.used_connections() + node.carried_tunnels.count() > 0
}
