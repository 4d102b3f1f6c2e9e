//! A list of many pages at a store that fails a page now and then.
//!
//! The failure: one page that was refused, late or cut off threw away all that had been read, so that a long list
//! was whole by chance only. After a restart of all processes none was ready, for as long as the list was long.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{READ, config};
use cottoncrank_platform_standin::store::{Bounds, Failing, Fault, Limits, Store, Trouble};

/// The time within which a box that is back serves: the shortest that a deployment asks for.
const RECOVERY: Duration = Duration::from_secs(12);

/// The time within which a configuration has to be in force, by the settings of the nodes.
const APPLY: Duration = Duration::from_secs(4);

/// The time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Pages of few items are as good as large ones for what is tested, and leave the processor to the nodes.
const PAGES: Limits = Limits { items: 20, bytes: usize::MAX };

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(4);

/// How long the store that goes away needs for a page. A list is read in some two seconds.
const PAGE_TIME: Millis = Millis(40);

/// The entries of another writer in the list of runners, 45 pages.
const ENTRIES: usize = 900;

const NODES: usize = 3;

fn put_entries(store: &Store) {
    for number in 0..ENTRIES {
        store.put_entry(&format!("+{number:05}"), b"of another writer");
    }
}

/// Nodes whose processes have all ended beside a long list.
struct Return {
    fleet: Fleet,
    nodes: Vec<NodeProcess>,
}

impl Return {
    /// Starts nodes, adds the entries, and ends all nodes.
    async fn prepare() -> Return {
        let fleet = Fleet::unconfigured(0).await;
        fleet.store.configure(&config(1, &[KEY]));
        fleet.store.set_page_limits(PAGES);
        let mut nodes = Vec::new();
        for number in 0..NODES {
            nodes.push(NodeProcess::start(fleet.store.address(), number).await);
        }
        put_entries(&fleet.store);
        nodes.iter_mut().for_each(NodeProcess::kill);
        fleet.store.compact();
        Return { fleet, nodes }
    }

    /// Starts the nodes, and checks that they are ready in time and serve.
    async fn check(&mut self) {
        self.nodes.iter_mut().for_each(NodeProcess::spawn);
        self.check_started(Instant::now(), RECOVERY).await;
    }

    /// Checks that nodes which started at `start` are ready within `bound` and serve.
    async fn check_started(&self, start: Instant, bound: Duration) {
        let before = self.fleet.store.calls();
        let mut ready = [None; NODES];
        while ready.iter().any(Option::is_none) && start.elapsed() < bound {
            tokio::time::sleep(POLL_INTERVAL).await;
            for (node, ready) in self.nodes.iter().zip(&mut ready) {
                if ready.is_none() && node.is_ready().await {
                    *ready = Some(start.elapsed());
                }
            }
        }
        let calls = self.fleet.store.calls();
        let (ranges, refused) = (calls.ranges - before.ranges, calls.refused - before.refused);
        println!("ready after {ready:.1?}; {ranges} pages, {refused} refusals");
        assert!(ready.iter().all(Option::is_some), "ready after {ready:?}\n{}", self.list_lines());
        for (number, node) in self.nodes.iter().enumerate() {
            let request = format!("r-{number}");
            let answer = send_request(node.settings.callers, READ, &request, KEY).await.unwrap();
            assert_eq!(answer.status, 200, "node {number}: {answer:?}");
        }
    }

    /// Returns what the first node has logged of its copy of the store.
    fn list_lines(&self) -> String {
        let log = self.nodes[0].read_log();
        let tells = |line: &&str| line.contains("sync: ") || line.contains("store: the list");
        log.lines().filter(tells).collect::<Vec<_>>().join("\n")
    }
}

async fn check_return(trouble: Option<Trouble>, bounds: Bounds) {
    let mut nodes = Return::prepare().await;
    nodes.fleet.store.set_bounds(bounds);
    nodes.fleet.store.set_trouble(trouble);
    nodes.check().await;
}

/// Checks a return where the store refuses all calls from `begin` after the start on, for [`AWAY`].
async fn check_away(begin: Duration) {
    let mut nodes = Return::prepare().await;
    let store = nodes.fleet.store.clone();
    store.set_trouble(Some(Trouble { failing: Failing::Late(PAGE_TIME), percent: 100, seed: 7 }));
    let outage = tokio::spawn(async move {
        tokio::time::sleep(begin).await;
        store.set_fault(Fault::Busy);
        tokio::time::sleep(AWAY).await;
        store.set_fault(Fault::None);
    });
    nodes.nodes.iter_mut().for_each(NodeProcess::spawn);
    let start = Instant::now();
    outage.await.unwrap();
    nodes.check_started(start, RECOVERY).await;
}

fn failing(failing: Failing) -> Option<Trouble> {
    Some(Trouble { failing, percent: 10, seed: 7 })
}

#[tokio::test]
async fn nodes_return_where_one_read_of_ten_is_refused() {
    check_return(failing(Failing::Refused(503)), Bounds::default()).await;
}

#[tokio::test]
async fn nodes_return_where_one_read_of_ten_is_one_too_many() {
    check_return(failing(Failing::Refused(429)), Bounds::default()).await;
}

#[tokio::test]
async fn nodes_return_where_one_read_of_ten_is_late() {
    check_return(failing(Failing::Late(Millis(2000))), Bounds::default()).await;
}

#[tokio::test]
async fn nodes_return_where_one_read_of_ten_is_cut_off() {
    check_return(failing(Failing::Closed), Bounds::default()).await;
}

#[tokio::test]
async fn nodes_return_where_the_store_takes_fewer_reads_than_a_list_has_pages() {
    check_return(None, Bounds { reads_per_s: Some(40), ..Bounds::default() }).await;
}

/// Guards against nodes that ask a store that is away for longer than they ask others.
#[tokio::test]
async fn nodes_return_where_the_store_is_away_at_first() {
    check_away(Duration::ZERO).await;
}

#[tokio::test]
async fn nodes_return_where_the_store_goes_away_within_a_list() {
    check_away(Duration::from_millis(1500)).await;
}

/// Guards against nodes with a copy that learn of nothing while they have to read a long list anew.
#[tokio::test]
async fn nodes_that_live_learn_of_a_configuration_beside_a_long_list() {
    let fleet = Fleet::serving(NODES).await;
    fleet.store.set_page_limits(PAGES);
    put_entries(&fleet.store);
    fleet.store.set_trouble(failing(Failing::Refused(503)));
    fleet.store.configure_and_compact(&config(2, &[KEY]));
    let start = Instant::now();
    while !fleet.know_version(2) && start.elapsed() < RECOVERY {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let took = start.elapsed();
    println!("in force after {took:.1?}; {:?}", fleet.store.calls());
    assert!(took < APPLY, "in force after {took:?}");
}
