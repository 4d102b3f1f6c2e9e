//! A refused caller comes back over the wire.
//!
//! What happened: a caller that returned after its `retry-after` reached another node of its hall, was
//! taken for one that comes for the first time, and was refused again.

mod common;

use common::{Fleet, KEY};
use cottoncrank::{Millis, id};
use cottoncrank_platform_standin::caller::{Answer, CallerRequest};
use cottoncrank_platform_standin::operator::{STREAM, add_urgent_route, config};

/// Starts three nodes whose routes differ in priority, so that the collector admits requests.
async fn start_fleet() -> Fleet {
    let fleet = Fleet::unconfigured(3).await;
    let mut config = config(1, &[KEY]);
    add_urgent_route(&mut config);
    fleet.store.configure(&config);
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    fleet
}

/// Whether all nodes that hold reports know a full load at both groups.
fn know_full(fleet: &Fleet) -> bool {
    let node = &fleet.nodes[0].node;
    let hall = node.settings().hall.clone();
    let Some(collector) = node.directory.lock().list_collectors(&hall).first().map(|peer| peer.node.clone())
    else {
        return false;
    };
    let Some(node) =
        fleet.nodes.iter().map(|running| &running.node).find(|node| node.settings().node == collector)
    else {
        return false;
    };
    let loads = node.reports.lock().sum_loads(&node.sum_in_flight(), node.now());
    node.reports.lock().count_nodes(node.now()) == 2
        && loads.values().filter(|load| load.running == 5).count() == 2
}

async fn send(fleet: &Fleet, node: usize, request: &str, body: &str, deadline_ms: u64) -> Answer {
    let request = CallerRequest { path: STREAM, request, key: KEY, deadline_ms, body, prompt: "" };
    request.send(fleet.nodes[node].callers).await.unwrap()
}

fn read_retry_after(answer: &Answer) -> Millis {
    assert_eq!(answer.status, 503, "{answer:?}");
    let seconds: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    Millis((seconds * 1000.0).round() as u64)
}

#[tokio::test]
async fn a_caller_that_returns_as_told_goes_before_a_first_one() {
    let fleet = start_fleet().await;
    let heads: Vec<id::Runner> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    // Five requests at four slots: the next first event is half a second away, and wanted in 0.4 s.
    let busy: Vec<_> = (0..10).map(|number| fleet.nodes[1].node.begin_attempt(&heads[number % 2])).collect();
    fleet.wait("the collector knows that both groups are full", know_full).await;
    let retry = read_retry_after(&send(&fleet, 0, "r-1", "a", 6000).await);
    assert!((50..2000).contains(&retry.0), "a place for it, not the constant of before: {retry}");
    let early = read_retry_after(&send(&fleet, 1, "r-2", "a", 5990).await);
    assert!(early <= retry, "an early caller is told {early} after {retry}");
    tokio::time::sleep((retry + Millis(20)).duration()).await;
    assert_eq!(send(&fleet, 2, "r-3", "b", 6000).await.status, 503, "a first caller is refused");
    let returned = send(&fleet, 2, "r-4", "a", 5000).await;
    assert_eq!(returned.status, 200, "{returned:?}");
    assert_eq!(fleet.count_runs("r-1") + fleet.count_runs("r-2"), 0, "what was refused has not run");
    drop(busy);
}
