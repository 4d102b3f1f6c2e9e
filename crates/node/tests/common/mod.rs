//! A fleet on the loopback interface: nodes, stand-ins for the platform, and a caller.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod process;
pub mod proxy;

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::resources::Machine;
use cottoncrank::{Millis, Size};
use cottoncrank_fleet::directory::Millicores;
use cottoncrank_fleet::retries::{Allowance, Bound, SETTLE_TIME};
use cottoncrank_fleet::settings::{Bounds, Ceiling, Settings};
use cottoncrank_node::start::{Listeners, drain, start};
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{Answer, send_request};
use cottoncrank_platform_standin::operator::{ENGINES, PLAIN, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{Endpoint, Store};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// The API key of the configured client account.
pub const KEY: &str = "key-1";

/// The requests per second that a cold runner takes, where cold starts are configured.
pub const COLD_RATE: f64 = 1.0;

/// The time after which [`Fleet::wait`] fails. It bounds a hanging test and is no limit under test.
const WAIT_TIMEOUT: Millis = Millis(30_000);

/// A running node with its listener addresses and tasks.
pub struct Running {
    pub node: Arc<Node>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub tasks: JoinSet<()>,
}

/// A store, nodes and runners, all in the process of the test.
pub struct Fleet {
    pub store: Store,
    pub nodes: Vec<Running>,
    pub engines: Vec<Runner>,
    pub plain: Vec<Runner>,
}

/// A node on threads of its own, which end with all of its connections when it is killed or dropped.
pub struct Killable {
    pub running: Running,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Killable {
    /// Starts a node in the hall `hall-a`.
    pub async fn start(fleet: &Fleet, number: usize) -> Killable {
        let address = fleet.store.address();
        let builder = || tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = builder().unwrap();
        let running =
            runtime.spawn(async move { start_node(address, number, "hall-a").await }).await.unwrap();
        Killable { running, runtime: Some(runtime) }
    }

    /// Stops the node as its program does on a signal: drains it and ends its process.
    pub async fn stop(&mut self) {
        let node = self.running.node.clone();
        let runtime = self.runtime.as_ref().expect("the node is killed once");
        runtime.spawn(async move { drain(&node).await }).await.unwrap();
        self.kill();
    }

    /// Ends the process of the node.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Killable {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The number of retries that a fleet may make per window, in addition to a share of all requests.
const RETRY_SLACK: f64 = 100.0;

/// The window in which retries are counted.
const RETRY_WINDOW: Millis = Millis(10_000);

/// Starts a node in the current runtime.
pub async fn start_node(store: SocketAddr, number: usize, hall: &str) -> Running {
    start_node_with(store, number, hall, RETRY_SLACK, RETRY_WINDOW).await
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
        machine: Machine { memory: Size::megabytes(256), sockets: 4000 },
        first_start: false,
        lease_min: Millis(1000),
        bounds: Bounds {
            revoke: Some(Millis(5000)),
            grace: Millis(8000),
            stall: Millis(2000),
            apply: Millis(4000),
            evacuate: Some(Millis(5000)),
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

/// Returns the number of groups known to a node that take requests.
pub fn count_heads(node: &Node) -> usize {
    let (service, model) = (ENGINES.parse().unwrap(), "m1".parse().unwrap());
    node.roster.lock().list_heads(&service, &model, &node.plans.lock()).len()
}

fn read_retry_bound(node: &Node) -> Bound {
    let bounds = &node.settings().bounds;
    Bound { window: bounds.retry_window, slack: bounds.retry_slack, ratio: bounds.retry_ratio }
}

/// Takes one of a node's own retries of requests for a service. Returns false if it has none.
pub fn spend_retry(node: &Node, service: &str) -> bool {
    let service = service.parse().unwrap();
    node.retry_allowance.lock().spend(&service, &read_retry_bound(node), node.staleness(), node.now())
}

/// Whether a node has a share of the fleet's retries.
pub fn has_retry_share(node: &Node) -> bool {
    let allowance = node.retry_allowance.lock();
    allowance.share(&read_retry_bound(node), node.staleness(), node.now()).own > 0.0
}

/// Gives a node its share of the retries, as if the fleet had run for a while: one that has just started has
/// none yet.
pub fn settle_retries(node: &Node) {
    let (count, bound) = (node.directory.lock().count(), read_retry_bound(node));
    let long_ago = node.now() - Millis(10 * (bound.window + SETTLE_TIME).0);
    let mut allowance = node.retry_allowance.lock();
    *allowance = Allowance::default();
    allowance.record_members(count, true, &bound, long_ago);
}

impl Fleet {
    /// Starts a fleet without configuration: nodes in one hall, two plain runners, and five engines in one
    /// fabric domain, enough for two groups and one spare engine.
    pub async fn unconfigured(nodes: usize) -> Fleet {
        Fleet::in_halls(&vec!["hall-a"; nodes]).await
    }

    /// Starts the same fleet as [`Fleet::unconfigured`], with one node for each of the halls.
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

    /// Starts a fleet without configuration, with `slack` retries per `window` for the whole fleet.
    pub async fn unconfigured_with_retry_slack(nodes: usize, slack: f64, window: Millis) -> Fleet {
        let mut fleet = Fleet::unconfigured(0).await;
        for number in 0..nodes {
            let store = fleet.store.address();
            fleet.nodes.push(start_node_with(store, number, "hall-a", slack, window).await);
        }
        fleet
    }

    /// Starts a configured fleet that serves, with `slack` retries per `window` for the whole fleet.
    pub async fn with_retry_slack(nodes: usize, slack: f64, window: Millis) -> Fleet {
        let fleet = Fleet::unconfigured_with_retry_slack(nodes, slack, window).await;
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        fleet.settle_retries();
        fleet
    }

    /// Starts a configured fleet, and returns once all nodes know two open groups.
    pub async fn serving(nodes: usize) -> Fleet {
        let fleet = Fleet::unconfigured(nodes).await;
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        fleet.settle_retries();
        fleet
    }

    /// Starts a configured fleet that serves, in which each node reaches the store through its own door.
    pub async fn behind_doors(nodes: usize) -> (Fleet, Vec<Endpoint>) {
        let mut fleet = Fleet::unconfigured(0).await;
        let doors: Vec<Endpoint> = (0..nodes).map(|_| Endpoint::open(&fleet.store).unwrap()).collect();
        for (number, door) in doors.iter().enumerate() {
            fleet.nodes.push(start_node(door.address(), number, "hall-a").await);
        }
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
        fleet.settle_retries();
        (fleet, doors)
    }

    /// Gives all nodes their shares of the retries.
    pub fn settle_retries(&self) {
        self.nodes.iter().for_each(|running| settle_retries(&running.node));
    }

    /// Configures cold starts for all services, and returns once all nodes know them.
    pub async fn configure_cold_starts(&self) {
        let mut config = config(2, &[KEY]);
        for service in config["services"].as_array_mut().unwrap() {
            service["coldStartS"] = json!(30.0);
            service["coldPerS"] = json!(COLD_RATE);
        }
        self.store.configure(&config);
        self.wait("all nodes know the cold starts", |fleet| fleet.know_version(2)).await;
    }

    /// Whether all nodes know this version of the configuration.
    pub fn know_version(&self, version: u64) -> bool {
        let knows =
            |node: &Node| node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == version);
        self.nodes.iter().all(|running| knows(&running.node))
    }

    /// Starts one more node in the hall `hall-a`.
    pub async fn add_node(&mut self) {
        let number = self.nodes.len();
        self.nodes.push(start_node(self.store.address(), number, "hall-a").await);
    }

    /// Ends the process of a node, and starts it again at other addresses.
    pub async fn restart_node(&mut self, number: usize) {
        let bounds = self.nodes[number].node.settings().bounds.clone();
        self.nodes[number].tasks.shutdown().await;
        let (slack, window) = (bounds.retry_slack, bounds.retry_window);
        self.nodes[number] = start_node_with(self.store.address(), number, "hall-a", slack, window).await;
        self.wait("the node that started again knows two open groups", |fleet| fleet.all_know(2)).await;
    }

    /// Whether every running node knows exactly `groups` groups that take requests.
    pub fn all_know(&self, groups: usize) -> bool {
        self.nodes.iter().all(|running| count_heads(&running.node) == groups)
    }

    /// Waits until `holds` returns true, and panics with `what` after [`WAIT_TIMEOUT`].
    pub async fn wait(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let deadline = self.nodes[0].node.now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(self.nodes[0].node.now() < deadline, "timed out waiting for: {what}");
            tokio::time::sleep(Millis(20).duration()).await;
        }
    }

    /// Sends a request with [`KEY`] to the first node.
    pub async fn ask(&self, path: &str, request: &str) -> Answer {
        self.ask_with(path, request, KEY).await
    }

    /// Sends a request with this key to the first node.
    pub async fn ask_with(&self, path: &str, request: &str, key: &str) -> Answer {
        send_request(self.nodes[0].callers, path, request, key).await.unwrap()
    }

    /// Returns the heads of open groups.
    pub fn heads(&self) -> Vec<&Runner> {
        self.engines.iter().filter(|engine| engine.is_open()).collect()
    }

    /// Returns how often a request was run, over all runners.
    pub fn count_runs(&self, request: &str) -> usize {
        let all = self.engines.iter().chain(&self.plain);
        all.flat_map(Runner::requests).filter(|seen| seen.executed && seen.request == request).count()
    }
}
