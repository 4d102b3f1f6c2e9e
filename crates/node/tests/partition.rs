//! Nodes that are cut off from all runners, while callers, the store and the other nodes reach them.

mod common;

use std::path::Path;
use std::time::Instant;

use common::proxy::{self, Answerer};
use common::{COLD_RATE, Fleet, KEY, Killable, Running};
use cottoncrank::Millis;
use cottoncrank_fleet::directory::{Millicores, Peer};
use cottoncrank_net::reach::Block;
use cottoncrank_platform_standin::caller::{Answer, send_request, send_request_within};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::{EVENTS_PER_STREAM, Fault};
use cottoncrank_platform_standin::store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How long after the begin of a cut callers are served again. The platform allows 3 s.
const CONTACT_TIME: Millis = Millis(1000);

/// The ways in which a cut shows.
const BLOCKS: [Block; 3] = [Block::Refuse, Block::Hang, Block::Reset];

/// The requests of each kind that a cut node is sent.
const REQUESTS: usize = 6;

/// Starts a fleet of two halls that serves.
async fn start_fleet() -> Fleet {
    let fleet = Fleet::in_halls(&["hall-a", "hall-a", "hall-a", "hall-b", "hall-b"]).await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let knows_all = |running: &common::Running| running.node.directory.lock().count() == 5;
    fleet.wait("all nodes know each other", |fleet| fleet.nodes.iter().all(knows_all)).await;
    fleet.settle_retries();
    fleet
}

/// Asserts that the page of faults has this row.
fn assert_documented(row: &str) {
    // Read at run time, because a shared target folder can outlive the clone it was built from.
    let package = std::env::var_os("CARGO_MANIFEST_DIR").expect("cargo names the package's folder");
    let page = std::fs::read_to_string(Path::new(&package).join("../../docs/FAULTS.md")).unwrap();
    assert!(page.contains(row), "docs/FAULTS.md has no row `{row}`");
}

/// Sends requests of all kinds to a node, and returns the answers that are no whole success.
async fn list_failures(fleet: &Fleet, node: usize, label: &str) -> Vec<String> {
    let mut failures = Vec::new();
    for round in 0..REQUESTS {
        for (kind, path) in [("stream", STREAM), ("read", READ), ("once", ONCE)] {
            let request = format!("{label}-{node}-{kind}-{round}");
            let answer = send_request(fleet.nodes[node].callers, path, &request, KEY).await.unwrap();
            if (answer.status, answer.complete) != (200, true) || !answer.is_signed(&request) {
                failures.push(format!("{request}: {} {}", answer.status, answer.body.trim()));
            }
        }
    }
    failures
}

/// Cuts nodes off in each way, one after the other, and asserts that their callers are served, as the page
/// of faults says under `name`.
async fn assert_served(fleet: &Fleet, name: &str, cut: &[usize]) {
    let sent = 3 * REQUESTS * cut.len();
    assert_documented(&format!("| {name} |{}", format!(" {sent} of {sent} |").repeat(BLOCKS.len())));
    for block in BLOCKS {
        cut.iter().for_each(|node| fleet.nodes[*node].node.reach.block(block));
        // Requests keep coming from the begin of the cut on; these may fail.
        for node in cut {
            send_request(fleet.nodes[*node].callers, READ, &format!("early-{block:?}-{node}"), KEY)
                .await
                .unwrap();
        }
        tokio::time::sleep(CONTACT_TIME.duration()).await;
        for node in cut {
            let failures = list_failures(fleet, *node, &format!("{block:?}")).await;
            assert!(failures.is_empty(), "node {node}, {block:?}: {failures:#?}");
        }
        cut.iter().for_each(|node| fleet.nodes[*node].node.reach.heal());
    }
}

#[tokio::test]
async fn callers_of_one_node_that_reaches_no_runner_are_served() {
    assert_served(&start_fleet().await, "one node of three", &[0]).await;
}

#[tokio::test]
async fn callers_of_most_nodes_of_a_hall_that_reach_no_runner_are_served() {
    assert_served(&start_fleet().await, "two nodes of three", &[0, 1]).await;
}

#[tokio::test]
async fn callers_of_a_whole_hall_whose_nodes_reach_no_runner_are_served() {
    assert_served(&start_fleet().await, "a whole hall", &[0, 1, 2]).await;
}

/// The pause between two events of a stream that is in flight when a cut begins or a node dies.
const EVENT_INTERVAL: Millis = Millis(250);

/// Returns a node that does not decide.
fn find_follower(fleet: &Fleet) -> usize {
    fleet.nodes.iter().position(|running| !running.node.is_deciding()).unwrap()
}

/// Starts streams at a node, and returns once all are in flight at runners.
async fn start_streams(fleet: &Fleet, node: usize, count: usize) -> Vec<JoinHandle<Answer>> {
    fleet.engines.iter().for_each(|engine| engine.set_event_interval(EVENT_INTERVAL));
    let callers = fleet.nodes[node].callers;
    let send = |number| async move {
        send_request(callers, STREAM, &format!("stream-{number}"), KEY).await.unwrap()
    };
    let streams = (0..count).map(|number| tokio::spawn(send(number))).collect();
    let has_run = |fleet: &Fleet| (0..count).all(|number| fleet.count_runs(&format!("stream-{number}")) > 0);
    fleet.wait("all streams run", has_run).await;
    tokio::time::sleep(EVENT_INTERVAL.duration()).await;
    streams
}

async fn assert_whole(streams: Vec<JoinHandle<Answer>>) {
    for stream in streams {
        let answer = stream.await.unwrap();
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(answer.events(), (0..EVENTS_PER_STREAM).collect::<Vec<_>>());
    }
}

/// Returns the open groups with their epochs.
fn list_groups(fleet: &Fleet) -> Vec<(String, u64)> {
    let places = fleet.heads().into_iter().filter_map(|head| head.membership());
    places.map(|place| (place.group, place.epoch)).collect()
}

#[tokio::test]
async fn streams_in_flight_when_a_cut_begins_are_resumed_and_no_runner_is_doubted_for_it() {
    let fleet = start_fleet().await;
    let (cut, groups) = (find_follower(&fleet), list_groups(&fleet));
    let streams = start_streams(&fleet, cut, 4).await;
    fleet.nodes[cut].node.reach.block(Block::Hang);
    let begin = Instant::now();
    while begin.elapsed() < Millis(3000).duration() {
        let doubted = fleet.nodes[cut].node.list_doubted();
        assert!(doubted.is_empty(), "after {:?}: {doubted:?}", begin.elapsed());
        tokio::time::sleep(Millis(10).duration()).await;
    }
    assert_whole(streams).await;
    assert_eq!(list_groups(&fleet), groups, "a group that stands was formed anew");
    for running in &fleet.nodes {
        assert_eq!(running.node.suspects.lock().iter().count(), 0, "a request is suspected");
    }
}

/// The time within which a decider that reaches no runner has handed over.
const HANDOVER_TIME: Millis = Millis(3000);

#[tokio::test]
async fn a_decider_that_reaches_no_runner_hands_over_to_a_node_that_does() {
    let fleet = start_fleet().await;
    let cut = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    let (groups, begin) = (list_groups(&fleet), Instant::now());
    fleet.nodes[cut].node.reach.block(Block::Hang);
    let decides_elsewhere = |fleet: &Fleet| {
        let deciding = fleet.nodes.iter().position(|running| running.node.is_deciding());
        deciding.is_some_and(|node| node != cut)
    };
    fleet.wait("another node decides", decides_elsewhere).await;
    assert!(begin.elapsed() < HANDOVER_TIME.duration(), "after {:?}", begin.elapsed());
    assert_eq!(list_groups(&fleet), groups, "a group that stands was formed anew");
    let lost = fleet.heads()[0];
    lost.drain();
    let is_replaced = |fleet: &Fleet| {
        let others = fleet.heads().iter().filter(|head| head.id() != lost.id()).count();
        others == 2 && decides_elsewhere(fleet)
    };
    fleet.wait("the group of a runner that leaves is replaced", is_replaced).await;
}

#[tokio::test]
async fn connections_refused_on_a_cut_path_do_not_make_runners_count_as_ended() {
    let fleet = start_fleet().await;
    fleet.configure_cold_starts().await;
    let cut = find_follower(&fleet);
    fleet.nodes[cut].node.reach.block(Block::Refuse);
    let failures = list_failures(&fleet, cut, "cold").await;
    assert!(failures.is_empty(), "{failures:#?}");
    let node = &fleet.nodes[cut].node;
    let (roster, now) = (node.roster.lock(), node.now());
    let ended = roster.iter().filter(|runner| roster.is_cold(&runner.id, now)).count();
    assert_eq!(ended, 0, "runners count as started anew");
}

#[tokio::test]
async fn a_node_connects_to_runners_itself_again_when_its_cut_is_over() {
    let fleet = start_fleet().await;
    let node = &fleet.nodes[0].node;
    node.reach.block(Block::Refuse);
    assert_eq!(list_failures(&fleet, 0, "cut").await, [""; 0]);
    assert!(node.has_cut_path());
    node.reach.heal();
    fleet.wait("no path is cut", |_| !node.has_cut_path()).await;
    assert_eq!(list_failures(&fleet, 0, "after").await, [""; 0]);
    let carried: usize = fleet.nodes.iter().map(|running| running.node.carried_tunnels.count()).sum();
    assert_eq!(carried, 0);
}

#[tokio::test]
async fn callers_of_a_cut_node_are_served_while_the_store_is_away() {
    let fleet = start_fleet().await;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.nodes[0].node.reach.block(Block::Hang);
    let failures = list_failures(&fleet, 0, "away").await;
    assert!(failures.is_empty(), "{failures:#?}");
}

#[tokio::test]
async fn streams_go_on_when_the_node_that_carries_them_is_killed() {
    let mut fleet = start_fleet().await;
    let mut killable = Killable::start(&fleet, 7).await;
    fleet.add_node().await;
    let last = fleet.nodes.len() - 1;
    let knows_all = |running: &Running| running.node.directory.lock().count() == 7;
    fleet.wait("all nodes know each other", |fleet| fleet.nodes.iter().all(knows_all)).await;
    fleet.settle_retries();
    // Tunnels of the cut node are carried by the node that will be killed, as long as that one lives.
    let carrier = killable.running.node.settings().node.clone();
    let cut = &fleet.nodes[last].node;
    let peers: Vec<Peer> = {
        let directory = cut.directory.lock();
        let nodes = fleet.nodes[..last].iter().map(|running| running.node.settings().node.clone());
        nodes.filter_map(|name| directory.get(&name).cloned()).collect()
    };
    cut.directory.lock().retain(|name| *name == carrier || *name == cut.settings().node);
    cut.reach.block(Block::Refuse);
    let streams = start_streams(&fleet, last, 3).await;
    assert!(killable.running.node.carried_tunnels.count() >= 3);
    peers.into_iter().for_each(|peer| cut.directory.lock().insert(peer));
    killable.kill();
    assert_whole(streams).await;
    let failures = list_failures(&fleet, last, "after").await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A runner that answers a caller with neither a length nor chunks, and stands still in the middle.
#[derive(Clone)]
struct HalfAnswer;

impl Answerer for HalfAnswer {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let head = raw::format_unframed_head(&raw::find_request_id(&request).unwrap_or_default());
        // A failure means that the node has left.
        let _ = stream.write_all((head + "half of an answer").as_bytes()).await;
        let _ = stream.read(&mut [0]).await;
    }
}

/// Guards against answers without a length that look complete because the node that carries them ended.
#[tokio::test]
async fn an_answer_does_not_end_as_complete_when_the_node_that_carries_it_is_killed() {
    let mut fleet = start_fleet().await;
    proxy::put(&fleet, &fleet.plain, HalfAnswer).await;
    let mut killable = Killable::start(&fleet, 7).await;
    fleet.add_node().await;
    let last = fleet.nodes.len() - 1;
    let knows_all = |running: &Running| running.node.directory.lock().count() == 7;
    fleet.wait("all nodes know each other", |fleet| fleet.nodes.iter().all(knows_all)).await;
    let (cut, carrier) = (&fleet.nodes[last].node, killable.running.node.settings().node.clone());
    cut.directory.lock().retain(|name| *name == carrier || *name == cut.settings().node);
    cut.reach.block(Block::Refuse);
    let callers = fleet.nodes[last].callers;
    let asking = tokio::spawn(async move { send_request(callers, ONCE, "r", KEY).await });
    let carries = |_: &Fleet| killable.running.node.carried_tunnels.count() > 0;
    fleet.wait("a tunnel is carried", carries).await;
    // The first half is on its way within this time.
    tokio::time::sleep(Millis(200).duration()).await;
    killable.kill();
    let answer = asking.await.unwrap().unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// Starts a node of a build that knows no tunnels, and that answers every query like that.
async fn start_earlier_build() -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // A query fits into the buffer.
                if stream.read(&mut [0; 4096]).await.is_ok() {
                    let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n").await;
                }
            });
        }
    });
    let (node, hall) = ("node-earlier".parse().unwrap(), "hall-a".parse().unwrap());
    Peer { node, hall, address, processor: Millicores(1) }
}

#[tokio::test]
async fn a_cut_node_passes_over_a_node_of_an_earlier_build() {
    let fleet = Fleet::serving(2).await;
    let knows_both = |running: &Running| running.node.directory.lock().count() == 2;
    fleet.wait("both nodes know each other", |fleet| fleet.nodes.iter().all(knows_both)).await;
    let node = &fleet.nodes[0].node;
    let earlier = start_earlier_build().await;
    node.directory.lock().insert(earlier);
    node.reach.block(Block::Refuse);
    let failures = list_failures(&fleet, 0, "earlier").await;
    assert!(failures.is_empty(), "{failures:#?}");
}

#[tokio::test]
async fn nodes_that_are_all_cut_off_refuse_at_once_and_pass_nothing_on_in_circles() {
    let fleet = Fleet::serving(3).await;
    fleet.nodes.iter().for_each(|running| running.node.reach.block(Block::Refuse));
    for (path, request) in [(STREAM, "r1"), (READ, "r2"), (ONCE, "r3")] {
        let begin = Instant::now();
        let answer = send_request(fleet.nodes[0].callers, path, request, KEY).await.unwrap();
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(begin.elapsed() < Millis(1000).duration(), "{request} was held for {:?}", begin.elapsed());
        assert_eq!(fleet.count_runs(request), 0);
    }
    assert!(fleet.nodes.iter().all(|running| running.node.carried_tunnels.count() == 0));
    assert!(!fleet.nodes[0].node.has_cut_path(), "nobody reaches the runners, so no path is known to be cut");
}

#[tokio::test]
async fn a_tunnel_ends_with_the_deadline_of_its_request() {
    let fleet = start_fleet().await;
    fleet.engines.iter().for_each(|engine| engine.set_fault(Fault::NoAnswer));
    fleet.nodes[0].node.reach.block(Block::Refuse);
    let callers = fleet.nodes[0].callers;
    let asking = tokio::spawn(async move { send_request_within(callers, STREAM, "r1", KEY, 600).await });
    let count = |fleet: &Fleet| -> usize {
        fleet.nodes.iter().map(|running| running.node.carried_tunnels.count()).sum()
    };
    fleet.wait("a tunnel is carried", |fleet| count(fleet) > 0).await;
    assert_eq!(asking.await.unwrap().unwrap().status, 504);
    tokio::time::sleep(Millis(200).duration()).await;
    assert_eq!(count(&fleet), 0);
}

/// Guards against a runner that has started again, and gets more requests than it takes while it is cold from
/// nodes that are cut off: these could not tell whether it had ended or they were cut off from it as well.
#[tokio::test]
async fn a_runner_that_no_box_reached_counts_as_cold_when_it_is_back() {
    let fleet = start_fleet().await;
    fleet.configure_cold_starts().await;
    let cut = &fleet.nodes[0];
    cut.node.reach.block(Block::Refuse);
    let ask = async |label: &str, count: usize| {
        for number in 0..count {
            send_request(cut.callers, READ, &format!("{label}-{number}"), KEY).await.unwrap();
        }
    };
    while !cut.node.has_cut_path() {
        ask("cut", 1).await;
    }
    let count = || fleet.plain.iter().map(|runner| runner.requests().len()).sum::<usize>();
    fleet.plain.iter().for_each(|runner| runner.crash());
    ask("lost", 12).await;
    // Their entries do not tell yet that they have started again.
    fleet.plain.iter().for_each(|runner| runner.relaunch());
    let before = count();
    ask("back", 40).await;
    let came = count() - before;
    assert!(came <= 2 * fleet.plain.len(), "{came} requests came, each runner takes {COLD_RATE} in a second");
}
