//! Nodes that start together with the reader of their hall, which gets no copy of the store.
//!
//! The failure: they asked it for 1.24 s before they read the store themselves, though it had been refused.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_fleet::directory::{Directory, Peer};
use cottoncrank_platform_standin::operator::config;
use cottoncrank_platform_standin::store::{Blocked, Endpoint};
use rustix::process::Signal;

const NODES: usize = 3;

/// The time within which the others are ready. All asks with their pauses take 1.24 s; three nodes that wait for no
/// copy read the store within 0.15 s of each other. The rest is for processes that start.
const READY_BOUND: Duration = Duration::from_millis(150 + 600);

/// The time after which a wait fails. It is no limit under test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two looks at processes.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the number of the node that reads the store on behalf of the hall.
fn find_reader(nodes: &[NodeProcess]) -> usize {
    let mut directory = Directory::default();
    for NodeProcess { settings, .. } in nodes {
        directory.insert(Peer {
            node: settings.node.parse().unwrap(),
            hall: settings.hall.parse().unwrap(),
            address: settings.peers,
            processor: Default::default(),
        });
    }
    let readers = directory.list_readers(&nodes[0].settings.hall.parse().unwrap());
    assert_eq!(readers.len(), 1);
    nodes.iter().position(|node| node.settings.node == readers[0].node.as_str()).unwrap()
}

/// Waits until `holds` returns true.
async fn wait(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether a node has written this line since its start.
fn has_written(node: &NodeProcess, line: &str) -> bool {
    node.read_log().rsplit("starts in").next().is_some_and(|log| log.contains(line))
}

#[tokio::test]
async fn nodes_do_not_wait_for_a_reader_that_the_store_has_refused() {
    let fleet = Fleet::unconfigured(0).await;
    fleet.store.configure(&config(1, &[KEY]));
    let doors: Vec<Endpoint> = (0..NODES).map(|_| Endpoint::open(&fleet.store).unwrap()).collect();
    let mut nodes: Vec<NodeProcess> =
        doors.iter().enumerate().map(|(number, door)| NodeProcess::lay(door.address(), number)).collect();
    nodes.iter_mut().for_each(NodeProcess::spawn);
    for node in &mut nodes {
        node.wait_ready().await;
    }
    wait("the entries of all nodes", || fleet.store.list("cottoncrank/node/").len() == NODES).await;
    for node in &mut nodes {
        node.signal(Signal::KILL);
        node.wait_end().await;
    }
    let reader = find_reader(&nodes);
    doors[reader].set_blocked(Blocked::All);
    nodes[reader].spawn();
    wait("a refusal", || has_written(&nodes[reader], "continuing with the copy at -")).await;
    let began = Instant::now();
    let others: Vec<usize> = (0..NODES).filter(|number| *number != reader).collect();
    for number in &others {
        nodes[*number].spawn();
    }
    for number in &others {
        nodes[*number].wait_ready().await;
    }
    let took = began.elapsed();
    let logs: Vec<String> = others.iter().map(|number| nodes[*number].read_log()).collect();
    assert!(took <= READY_BOUND, "ready after {took:?}:\n{}", logs.join("\n---\n"));
}
