//! Starting and draining a node.

use std::sync::Arc;

use cottoncrank::Millis;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::state::Node;
use crate::supervise::{Lifetime, keep_running};
use crate::{
    decider, evacuation, front, paths, peer, presence, pressure, registration, reporting, suspect_store,
    suspension, sync,
};

/// The part of the time between the stop signal and the kill that is not used for draining.
const STOP_MARGIN: Millis = Millis(700);

/// The part of it in which callers still read that their requests are not answered.
const ANSWER_TIME: Millis = Millis(300);

/// How long it waits at the least, also where the end has passed meanwhile.
const MIN_WAIT: Millis = Millis(150);

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
    let mut tasks = Tasks::new(node);
    let ready = Arc::new(listeners.ready);
    tasks.spawn("readiness", move |node| front::serve_readiness(node, ready.clone()));
    tasks.spawn_serving(listeners.callers, listeners.peers);
    tasks.running
}

/// Starts all tasks of a node but the answers to the balancer.
pub(crate) fn start_serving(node: &Arc<Node>, callers: TcpListener, peers: TcpListener) -> JoinSet<()> {
    let mut tasks = Tasks::new(node);
    tasks.spawn_serving(callers, peers);
    tasks.running
}

/// The tasks of a node, which are started again when they end by themselves.
struct Tasks {
    node: Arc<Node>,
    running: JoinSet<()>,
}

impl Tasks {
    fn new(node: &Arc<Node>) -> Tasks {
        Tasks { node: node.clone(), running: JoinSet::new() }
    }

    fn spawn_serving(&mut self, callers: TcpListener, peers: TcpListener) {
        let (callers, peers) = (Arc::new(callers), Arc::new(peers));
        self.spawn("sync", sync::run);
        self.spawn("expiry", sync::run_expiry);
        self.spawn("evacuation", evacuation::run);
        self.spawn("registration", registration::run);
        self.spawn("presence", presence::run);
        self.spawn("reporting", reporting::run);
        self.spawn("paths", paths::run);
        self.spawn("pressure", pressure::run);
        self.spawn("suspects", suspect_store::run);
        self.spawn("suspension", suspension::run);
        self.spawn("peers", move |node| peer::serve(node, peers.clone()));
        self.spawn("decider", decider::run);
        self.spawn("delay", front::measure_delay);
        self.spawn_bounded("callers", move |node| front::serve_callers(node, callers.clone()));
    }

    fn spawn<F>(&mut self, name: &'static str, run: impl Fn(Arc<Node>) -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let node = self.node.clone();
        self.running.spawn(keep_running(name, Lifetime::Endless, move || run(node.clone())));
    }

    /// Spawns a task that returns when the node is closed.
    fn spawn_bounded<F>(&mut self, name: &'static str, run: impl Fn(Arc<Node>) -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let node = self.node.clone();
        self.running.spawn(keep_running(name, Lifetime::Bounded, move || run(node.clone())));
    }
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
    // The process may not have run until the end, and all tasks have to see that it is closed.
    wait_unused(node, end.max(node.now() + MIN_WAIT)).await;
    if node.running() > 0 {
        log::info!("node: ends, tells {} requests that it has no answer", node.running());
        node.ending.send_replace(true);
        wait_unused(node, (end + ANSWER_TIME).max(node.now() + MIN_WAIT)).await;
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
