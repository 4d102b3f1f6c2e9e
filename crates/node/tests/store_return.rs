//! Nodes that start while the store is away.

mod common;

use std::time::Duration;

use common::{Fleet, KEY, start_node};
use cottoncrank_platform_standin::operator::config;
use cottoncrank_platform_standin::store::Fault;
use tokio::time::Instant;

/// The time within which a box that is back serves: the shortest that a deployment asks for.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long the store has to have answered until the bounds of time hold for a box.
const CONTACT: Duration = Duration::from_secs(3);

/// The nodes, more than one since each draws its pauses.
const NODES: usize = 8;

/// Guards against pauses that nodes began while the store was away, and that went on after its return although a
/// write of the same node was taken meanwhile.
#[tokio::test]
async fn nodes_that_started_without_the_store_are_ready_once_bounds_hold_again() {
    let mut fleet = Fleet::unconfigured(0).await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.store.set_fault(Fault::Busy);
    let started = Instant::now();
    for number in 0..NODES {
        fleet.nodes.push(start_node(fleet.store.address(), number, "hall-a").await);
    }
    tokio::time::sleep_until(started + RECOVERY - CONTACT).await;
    fleet.store.set_fault(Fault::None);
    tokio::time::sleep_until(started + RECOVERY).await;
    let ready = fleet.nodes.iter().filter(|running| running.node.is_ready()).count();
    assert_eq!(ready, NODES, "nodes that are ready {RECOVERY:?} after their start");
}
