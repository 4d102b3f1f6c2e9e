//! Starting and stopping a node.

use std::io;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::settings::Settings;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::state::Node;
use crate::{decider, front, peer, presence, pulse, record, registration, reporting, sync};

/// Kept of the time between the order to stop and the kill.
const GRACE_MARGIN: Millis = Millis(700);

/// How often a node that is about to stop looks whether its requests are answered.
const LOOK: Millis = Millis(50);

/// The ports of a node.
pub struct Listeners {
    /// For callers.
    pub callers: TcpListener,
    /// For the balancer.
    pub ready: TcpListener,
    /// For other nodes.
    pub peers: TcpListener,
}

impl Listeners {
    /// Opens the ports that the settings name.
    pub async fn bind(settings: &Settings) -> io::Result<Listeners> {
        Ok(Listeners {
            callers: TcpListener::bind(settings.callers).await?,
            ready: TcpListener::bind(settings.ready).await?,
            peers: TcpListener::bind(settings.peers).await?,
        })
    }
}

/// Starts everything a node does. It ends when the tasks are dropped.
pub fn start(node: &Arc<Node>, listeners: Listeners) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(sync::run(node.clone()));
    tasks.spawn(sync::run_expiry(node.clone()));
    tasks.spawn(registration::run(node.clone()));
    tasks.spawn(presence::run(node.clone()));
    tasks.spawn(reporting::run(node.clone()));
    tasks.spawn(record::run(node.clone()));
    tasks.spawn(pulse::run(node.clone()));
    tasks.spawn(peer::serve(node.clone(), listeners.peers));
    tasks.spawn(decider::run(node.clone()));
    tasks.spawn(front::serve_ready(node.clone(), listeners.ready));
    tasks.spawn(front::serve_callers(node.clone(), listeners.callers));
    tasks
}

/// Tells the balancer, takes callers until it must have noticed, and then waits
/// until those there are have their answers, as far as the time allows. What
/// would be taken later might not be finished before the kill.
pub async fn drain(node: &Node) {
    let end = node.now() + (node.settings().bounds.grace - GRACE_MARGIN);
    log::info!("node: told to stop, {} requests under way", node.running());
    node.draining.send_replace(true);
    tokio::time::sleep(front::NOTICE.duration()).await;
    node.closed.send_replace(true);
    while node.running() > 0 && node.now() < end {
        tokio::time::sleep(LOOK.duration()).await;
    }
    log::info!("node: stops, {} requests under way", node.running());
}
