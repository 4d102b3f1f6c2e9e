//! Starting and draining a node.

use std::io;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::settings::Settings;
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

impl Listeners {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &Settings) -> io::Result<Listeners> {
        Ok(Listeners {
            callers: TcpListener::bind(settings.callers).await?,
            ready: TcpListener::bind(settings.ready).await?,
            peers: TcpListener::bind(settings.peers).await?,
        })
    }
}

/// Starts all tasks of a node. They end when the returned set is dropped.
pub fn start(node: &Arc<Node>, listeners: Listeners) -> JoinSet<()> {
    let Listeners { callers, ready, peers } = listeners;
    let (callers, ready, peers) = (Arc::new(callers), Arc::new(ready), Arc::new(peers));
    let mut tasks = Tasks { node: node.clone(), running: JoinSet::new() };
    tasks.spawn("sync", sync::run);
    tasks.spawn("expiry", sync::run_expiry);
    tasks.spawn("evacuation", evacuation::run);
    tasks.spawn("registration", registration::run);
    tasks.spawn("presence", presence::run);
    tasks.spawn("reporting", reporting::run);
    tasks.spawn("paths", paths::run);
    tasks.spawn("pressure", pressure::run);
    tasks.spawn("suspects", suspect_store::run);
    tasks.spawn("suspension", suspension::run);
    tasks.spawn("peers", move |node| peer::serve(node, peers.clone()));
    tasks.spawn("decider", decider::run);
    tasks.spawn("readiness", move |node| front::serve_readiness(node, ready.clone()));
    tasks.spawn("delay", front::measure_delay);
    tasks.spawn_bounded("callers", move |node| front::serve_callers(node, callers.clone()));
    tasks.running
}

/// The tasks of a node, which are started again when they end by themselves.
struct Tasks {
    node: Arc<Node>,
    running: JoinSet<()>,
}

impl Tasks {
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
/// allows.
pub async fn drain(node: &Node) {
    let end = node.now() + (node.settings().bounds.grace - STOP_MARGIN);
    log::info!("node: received a stop signal, {} requests in flight", node.running());
    node.draining.send_replace(true);
    tokio::time::sleep(front::DRAIN_NOTICE.duration()).await;
    node.closed.send_replace(true);
    while is_in_use(node) && node.now() < end {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    let (connections, carried) = (node.used_connections(), node.carried_tunnels.count());
    log::info!(
        "node: stops, {} requests under way, {connections} connections of callers, {carried} tunnels of other nodes",
        node.running()
    );
}

fn is_in_use(node: &Node) -> bool {
    node.running() + node.used_connections() + node.carried_tunnels.count() > 0
}
