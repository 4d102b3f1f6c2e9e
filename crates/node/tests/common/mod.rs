//! A fleet on loopback: nodes, the platform's stand-ins, and a caller.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::directory::Millicores;
use cottoncrank_fleet::settings::{Bounds, Ceiling, Settings};
use cottoncrank_node::start::{Listeners, start};
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{Answer, send_request};
use cottoncrank_platform_standin::operator::{ENGINES, PLAIN, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{Endpoint, Store};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// The key of the account in force.
pub const KEY: &str = "key-1";

/// How long a state that must come is waited for. It is never a measure.
const LONG: Millis = Millis(30_000);

/// A running node.
pub struct Running {
    pub node: Arc<Node>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub tasks: JoinSet<()>,
}

/// A fleet.
pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Running>,
    pub engines: Vec<Runner>,
    pub plain: Vec<Runner>,
}

/// How many requests a fleet may send again beyond a part of all, and in which window.
const SLACK: f64 = 100.0;
const WINDOW: Millis = Millis(10_000);

/// Starts a node in the runtime of the caller.
pub async fn start_node(store: SocketAddr, number: usize, hall: &str) -> Running {
    start_node_with(store, number, hall, SLACK, WINDOW).await
}

async fn start_node_with(
    store: SocketAddr,
    number: usize,
    hall: &str,
    retry_slack: f64,
    retry_window: Millis,
) -> Running {
    let bind = async || TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listeners = Listeners { callers: bind().await, ready: bind().await, peers: bind().await };
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    let settings = Settings {
        node: format!("node-{number}").parse().unwrap(),
        hall: hall.parse().unwrap(),
        callers: address(&listeners.callers),
        ready: address(&listeners.ready),
        peers: address(&listeners.peers),
        store,
        processor: Millicores(1000),
        first_start: false,
        lease_min: Millis(1000),
        bounds: Bounds {
            revoke: Some(Millis(5000)),
            grace: Millis(8000),
            stall: Millis(2000),
            apply: Millis(4000),
            ceiling: Ceiling { window: Millis(1000), overshoot: 1.0 },
            retry_ratio: 0.2,
            retry_slack,
            retry_window,
        },
    };
    let (callers, ready) = (settings.callers, settings.ready);
    let node = Node::new(settings);
    let tasks = start(&node, listeners);
    Running { node, callers, ready, tasks }
}

/// How many groups that take requests a node knows.
pub fn count_heads(node: &Node) -> usize {
    let (service, model) = (ENGINES.parse().unwrap(), "m1".parse().unwrap());
    node.roster.lock().list_heads(&service, &model, &node.plans.lock()).len()
}

impl Fleet {
    /// Nodes, five engines in one domain: two groups and one that stands by, two plain runners; no configuration yet.
    pub async fn bare(nodes: usize) -> Fleet {
        Fleet::in_halls(&vec!["hall-a"; nodes]).await
    }

    /// The same, with a node in each of these halls.
    pub async fn in_halls(halls: &[&str]) -> Fleet {
        let store = Store::start().unwrap();
        let engine = |n| Runner::start(&store, &format!("e-{n}"), ENGINES, "hall-a", Some("d1")).unwrap();
        let plain = |n| Runner::start(&store, &format!("p-{n}"), PLAIN, "hall-a", None).unwrap();
        let (engines, plain) = ((0..5).map(engine).collect(), (0..2).map(plain).collect());
        let mut running = Vec::new();
        for (number, hall) in halls.iter().enumerate() {
            running.push(start_node(store.address(), number, hall).await);
        }
        Fleet { store, nodes: running, engines, plain }
    }

    /// The same, configured and serving, where the fleet may send few requests again in a second.
    pub async fn with_slack(nodes: usize, slack: f64) -> Fleet {
        let mut fleet = Fleet::bare(0).await;
        for number in 0..nodes {
            let store = fleet.store.address();
            fleet.nodes.push(start_node_with(store, number, "hall-a", slack, Millis(1000)).await);
        }
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        fleet
    }

    /// The same, configured and serving.
    pub async fn serving(nodes: usize) -> Fleet {
        let fleet = Fleet::bare(nodes).await;
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        fleet
    }

    /// Nodes of one hall, each with its own way to the store, configured and serving.
    pub async fn behind_doors(nodes: usize) -> (Fleet, Vec<Endpoint>) {
        let mut fleet = Fleet::bare(0).await;
        let doors: Vec<Endpoint> = (0..nodes).map(|_| Endpoint::open(&fleet.store).unwrap()).collect();
        for (number, door) in doors.iter().enumerate() {
            fleet.nodes.push(start_node(door.address(), number, "hall-a").await);
        }
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        (fleet, doors)
    }

    /// One more node of the first hall.
    pub async fn add_node(&mut self) {
        let number = self.nodes.len();
        self.nodes.push(start_node(self.store.address(), number, "hall-a").await);
    }

    /// Whether every node that runs knows that many groups which take requests.
    pub fn all_know(&self, groups: usize) -> bool {
        self.nodes.iter().all(|running| count_heads(&running.node) == groups)
    }

    /// Waits for a state that must come.
    pub async fn wait(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let end = self.nodes[0].node.now() + LONG;
        while !holds(self) {
            assert!(self.nodes[0].node.now() < end, "it did not come to this: {what}");
            tokio::time::sleep(Millis(20).duration()).await;
        }
    }

    /// Asks the first node.
    pub async fn ask(&self, path: &str, request: &str) -> Answer {
        self.ask_with(path, request, KEY).await
    }

    /// Asks the first node with a key.
    pub async fn ask_with(&self, path: &str, request: &str, key: &str) -> Answer {
        send_request(self.nodes[0].callers, path, request, key).await.unwrap()
    }

    /// The heads of open groups.
    pub fn heads(&self) -> Vec<&Runner> {
        self.engines.iter().filter(|engine| engine.is_open()).collect()
    }

    /// How often a request was run, over all runners.
    pub fn runs(&self, request: &str) -> usize {
        let all = self.engines.iter().chain(&self.plain);
        all.flat_map(Runner::requests).filter(|seen| seen.executed && seen.request == request).count()
    }
}
