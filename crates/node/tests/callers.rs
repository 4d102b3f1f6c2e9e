//! A decider that has had no request itself learns from other nodes that callers are served, and the store keeps
//! it for deciders to come.

mod common;

use common::{Fleet, KEY, Running};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::STREAM;

/// Long enough for reports of requests in flight to reach the decider.
const EVENT_INTERVAL: Millis = Millis(1000);

fn knows_callers(running: &Running) -> bool {
    running.node.plans.lock().values().any(|plan| plan.served)
}

#[tokio::test]
async fn a_request_to_another_node_is_noted_in_a_plan_and_read_by_nodes_that_start_later() {
    let mut fleet = Fleet::serving(2).await;
    fleet.wait("a node is the decider", |fleet| fleet.nodes.iter().any(|r| r.node.is_deciding())).await;
    assert!(!fleet.nodes.iter().any(knows_callers));
    fleet.engines.iter().for_each(|engine| engine.set_event_interval(EVENT_INTERVAL));
    let decider = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    let other = fleet.nodes[1 - decider].callers;
    let stream = tokio::spawn(async move { send_request(other, STREAM, "first", KEY).await });
    fleet.wait("a plan tells of callers", |fleet| fleet.nodes.iter().all(knows_callers)).await;
    assert!(fleet.nodes[decider].node.is_deciding());
    assert!(!fleet.nodes[decider].node.is_serving());
    assert_eq!(stream.await.unwrap().unwrap().status, 200);
    // All nodes are lost, and the one that begins then has had no request.
    fleet.nodes.clear();
    fleet.add_node().await;
    fleet.wait("the new node decides", |fleet| fleet.nodes[0].node.is_deciding()).await;
    assert!(knows_callers(&fleet.nodes[0]));
    assert!(!fleet.nodes[0].node.is_serving());
}
