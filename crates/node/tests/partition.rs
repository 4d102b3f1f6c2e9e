//! Nodes that are cut off from all runners, while callers, the store and the other nodes reach them.

mod common;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_net::reach::Block;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config};

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
    fleet
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

/// Cuts nodes off in each way, one after the other, and asserts that their callers are served.
async fn assert_served(fleet: &Fleet, cut: &[usize]) {
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
    assert_served(&start_fleet().await, &[0]).await;
}

#[tokio::test]
async fn callers_of_most_nodes_of_a_hall_that_reach_no_runner_are_served() {
    assert_served(&start_fleet().await, &[0, 1]).await;
}

#[tokio::test]
async fn callers_of_a_whole_hall_whose_nodes_reach_no_runner_are_served() {
    assert_served(&start_fleet().await, &[0, 1, 2]).await;
}
