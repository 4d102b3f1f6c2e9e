//! A node that still has requests when its grace period ends.
//!
//! The failure: a node counted its grace period from when it heard of the signal, and was killed with the requests
//! that it had taken since; and what was left at its end was cut without an answer.

mod common;

use std::future::pending;
use std::time::Duration;

use common::process::NodeProcess;
use common::proxy::{self, Answerer};
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::Connection;
use cottoncrank_platform_standin::operator::{ONCE, READ};
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// A runner that reads requests and does not answer.
#[derive(Clone)]
struct Busy;

impl Answerer for Busy {
    async fn answer(&self, stream: TcpStream, _: String) {
        pending::<()>().await;
        drop(stream);
    }
}

/// Starts a node whose runners are busy for good, and opens connections to it on which requests were answered.
async fn start_node() -> (Fleet, NodeProcess, Vec<Connection>) {
    let fleet = Fleet::serving(1).await;
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    let mut kept = Vec::new();
    for number in 0..4 {
        let mut connection = Connection::open(node.settings.callers).await.unwrap();
        assert_eq!(connection.send_request(ONCE, &format!("r-{number}"), KEY).await.status, 200);
        kept.push(connection);
    }
    proxy::put(&fleet, &fleet.plain, Busy).await;
    // The process learns of the change at the same time as the nodes of the test.
    tokio::time::sleep(Duration::from_millis(500)).await;
    (fleet, node, kept)
}

fn send(kept: Vec<Connection>) -> Vec<JoinHandle<u16>> {
    let send = |(number, mut connection): (usize, Connection)| {
        let path = if number % 2 == 0 { ONCE } else { READ };
        tokio::spawn(async move { connection.send_request(path, &format!("s-{number}"), KEY).await.status })
    };
    kept.into_iter().enumerate().map(send).collect()
}

/// Kills the node at the end of its grace period, and returns the statuses of the requests.
async fn kill(node: &mut NodeProcess, signaled: Instant, asking: Vec<JoinHandle<u16>>) -> Vec<u16> {
    sleep_until(signaled + Duration::from_secs_f64(node.settings.grace_s)).await;
    if node.is_running() {
        node.signal(Signal::KILL);
    }
    let mut statuses = Vec::new();
    for asking in asking {
        statuses.push(asking.await.unwrap());
    }
    statuses
}

/// Guards against requests that a stop cuts without an answer at the end of its grace period.
#[tokio::test]
async fn a_node_that_is_stopped_answers_what_is_left_at_the_end_of_its_grace_period() {
    let (_fleet, mut node, kept) = start_node().await;
    let signaled = Instant::now();
    node.signal(Signal::TERM);
    sleep_until(signaled + Duration::from_millis(2300)).await;
    let asking = send(kept);
    let statuses = kill(&mut node, signaled, asking).await;
    assert!(!statuses.contains(&0), "{statuses:?}\n{}", node.read_log());
    assert!(!statuses.contains(&503), "they may have run: {statuses:?}");
}

/// Guards against requests that are cut by the kill after a grace period that began late.
#[tokio::test]
async fn a_node_that_hears_late_of_a_stop_answers_what_is_left_before_it_is_killed() {
    let (_fleet, mut node, kept) = start_node().await;
    node.signal(Signal::STOP);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let signaled = Instant::now();
    node.signal(Signal::TERM);
    sleep_until(signaled + Duration::from_millis(3000)).await;
    node.signal(Signal::CONT);
    sleep_until(signaled + Duration::from_millis(3200)).await;
    let asking = send(kept);
    let statuses = kill(&mut node, signaled, asking).await;
    assert!(!statuses.contains(&0), "{statuses:?}\n{}", node.read_log());
    assert!(!statuses.contains(&503), "they may have run: {statuses:?}");
}
