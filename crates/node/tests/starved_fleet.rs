//! Nodes whose processes get too little processor, beside what is planned: idle times and stops.
//!
//! The failure: a node that ran again after a pause closed connections whose time had run out in it, with
//! requests in them that had arrived in time.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_node::front::DRAIN_NOTICE;
use cottoncrank_platform_standin::caller::Connection;
use cottoncrank_platform_standin::operator::{ONCE, READ, config};
use rustix::process::Signal;
use serde_json::json;
use tokio::task::JoinSet;

/// How long connections may be idle.
const IDLE: Duration = Duration::from_millis(4000);

/// The pause begins this long before connections are closed, with a request on each, and ends as long after.
const MARGIN: Duration = Duration::from_millis(300);

/// The connections of callers.
const CONNECTIONS: usize = 20;

/// Sends a request on each connection, and returns the statuses of the answers, 0 for none.
async fn ask_all(connections: &mut Vec<Connection>, label: &str) -> Vec<u16> {
    let mut asking = JoinSet::new();
    for (number, mut connection) in connections.drain(..).enumerate() {
        let (path, request) =
            (if number.is_multiple_of(2) { READ } else { ONCE }, format!("{label}-{number}"));
        asking.spawn(async move {
            let answer = connection.send_request(path, &request, KEY).await;
            (answer.status, connection)
        });
    }
    let (statuses, kept): (Vec<u16>, Vec<Connection>) = asking.join_all().await.into_iter().unzip();
    connections.extend(kept);
    statuses
}

/// Starts a node with kept connections that have each had an answer.
async fn start_used(fleet: &Fleet) -> (NodeProcess, Vec<Connection>, Instant) {
    let mut config = config(1, &[KEY]);
    config["limits"]["idleTimeoutMs"] = json!(IDLE.as_millis());
    fleet.store.configure(&config);
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(node.settings.callers).await.unwrap());
    }
    assert_eq!(ask_all(&mut connections, "first").await, [200; CONNECTIONS], "{}", node.read_log());
    (node, connections, Instant::now())
}

/// Sends a request on each connection while the process is stopped around `close`, and returns the statuses.
async fn ask_in_pause(node: &NodeProcess, connections: &mut Vec<Connection>, close: Instant) -> Vec<u16> {
    tokio::time::sleep_until((close - MARGIN).into()).await;
    node.signal(Signal::STOP);
    let resume = async {
        tokio::time::sleep_until((close + MARGIN).into()).await;
        node.signal(Signal::CONT);
    };
    tokio::join!(ask_all(connections, "second"), resume).0
}

/// Guards against requests that are lost because the idle time of their connection ran out in a pause of the
/// process, after they had arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_in_a_pause_are_answered_though_the_idle_time_runs_out_in_it() {
    let fleet = Fleet::unconfigured(1).await;
    let (node, mut connections, answered) = start_used(&fleet).await;
    let statuses = ask_in_pause(&node, &mut connections, answered + IDLE).await;
    assert_eq!(statuses, [200; CONNECTIONS], "{}", node.read_log());
}

/// Guards against requests that are lost because the notice of a stop ran out in a pause of the process, after
/// they had arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_arrive_in_a_pause_are_answered_though_the_notice_of_a_stop_runs_out_in_it() {
    let fleet = Fleet::unconfigured(1).await;
    let (mut node, mut connections, _) = start_used(&fleet).await;
    node.signal(Signal::TERM);
    let close = Instant::now() + DRAIN_NOTICE.duration();
    let statuses = ask_in_pause(&node, &mut connections, close).await;
    let lost = statuses.iter().filter(|status| **status == 0).count();
    assert_eq!(lost, 0, "{statuses:?}\n{}", node.read_log());
    assert!(node.wait_end().await.success());
}
