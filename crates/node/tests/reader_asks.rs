//! Nodes that start together with the reader of their hall, which gets no copy of the store.
//!
//! The failure: they asked it for 1.24 s before they read the store themselves, though it had been refused.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_fleet::directory::{Directory, Peer};
use cottoncrank_platform_standin::operator::config;
use cottoncrank_platform_standin::store::{Blocked, Endpoint, Failing, Limits, Trouble};
use rustix::process::Signal;

const NODES: usize = 3;

/// The time within which the others are ready. All asks with their pauses take 1.24 s; three nodes that wait for no
/// copy read the store within 0.15 s of each other. The rest is for processes that start.
const READY_BOUND: Duration = Duration::from_millis(150 + 600);

/// The pages of a long list, and how long each takes. All together take less than all asks with their pauses.
const PAGES: u64 = 45;
const PAGE_TIME: Millis = Millis(20);

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

/// Nodes whose processes have all ended, and the number of their reader.
struct Hall {
    fleet: Fleet,
    doors: Vec<Endpoint>,
    nodes: Vec<NodeProcess>,
    reader: usize,
}

impl Hall {
    async fn prepare() -> Hall {
        let fleet = Fleet::unconfigured(0).await;
        fleet.store.configure(&config(1, &[KEY]));
        let doors: Vec<Endpoint> = (0..NODES).map(|_| Endpoint::open(&fleet.store).unwrap()).collect();
        let lay = |(number, door): (usize, &Endpoint)| NodeProcess::lay(door.address(), number);
        let mut nodes: Vec<NodeProcess> = doors.iter().enumerate().map(lay).collect();
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
        Hall { fleet, doors, nodes, reader }
    }

    /// Starts the reader, which the store refuses once.
    async fn start_refused_reader(&mut self) {
        self.doors[self.reader].set_blocked(Blocked::All);
        self.nodes[self.reader].spawn();
        wait("a refusal", || has_written(&self.nodes[self.reader], "continuing with the copy at -")).await;
    }

    /// Starts the others, and waits until they are ready. Returns how long that took, and their logs.
    async fn start_others(&mut self) -> (Duration, String) {
        let began = Instant::now();
        let others: Vec<usize> = (0..NODES).filter(|number| *number != self.reader).collect();
        for number in &others {
            self.nodes[*number].spawn();
        }
        for number in &others {
            self.nodes[*number].wait_ready().await;
        }
        let took = began.elapsed();
        let logs: Vec<String> = others.iter().map(|number| self.nodes[*number].read_log()).collect();
        (took, logs.join("\n---\n"))
    }
}

#[tokio::test]
async fn nodes_do_not_wait_for_a_reader_that_the_store_has_refused() {
    let mut hall = Hall::prepare().await;
    hall.start_refused_reader().await;
    let (took, logs) = hall.start_others().await;
    assert!(took <= READY_BOUND, "ready after {took:?}:\n{logs}");
}

/// Guards against a hall whose nodes all read a long list, as its reader was refused before it began to.
#[tokio::test]
async fn nodes_wait_for_a_reader_that_was_refused_and_reads_now() {
    let mut hall = Hall::prepare().await;
    let store = hall.fleet.store.clone();
    store.set_page_limits(Limits { items: 20, bytes: usize::MAX });
    for number in 0..20 * PAGES {
        store.put_entry(&format!("+{number:05}"), b"of another writer");
    }
    store.set_trouble(Some(Trouble { failing: Failing::Late(PAGE_TIME), percent: 100, seed: 7 }));
    hall.start_refused_reader().await;
    let before = store.calls().ranges;
    hall.doors[hall.reader].set_blocked(Blocked::Nothing);
    wait("the first pages", || store.calls().ranges >= before + 2).await;
    let (_, logs) = hall.start_others().await;
    let pages = store.calls().ranges - before;
    assert!(pages < 2 * PAGES, "{pages} pages were read of lists with {PAGES}:\n{logs}");
}
