//! Most new connections at one node, as a balancer may hand them out for some seconds.
//!
//! The node has a fixed share of a core, so it cannot answer all of them in time. What it reads it has to
//! serve nearly as often as before; a connection that it closes unread costs its caller one try elsewhere.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Fleet, KEY, start_node};
use cottoncrank_platform_standin::caller::{Answer, send_request};
use cottoncrank_platform_standin::operator::READ;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

/// How long callers wait for an answer.
const CALLER_WAIT: Duration = Duration::from_millis(1500);

/// How long each load lasts.
const DURATION: Duration = Duration::from_secs(4);

/// The part of a core that the node leaves unused for each part that it uses.
const IDLE_PER_WORK: u32 = 12;

/// Takes processor time from a runtime of one thread, in proportion to what its other tasks use.
async fn take_processor_time() {
    let mut begin = Instant::now();
    loop {
        tokio::task::yield_now().await;
        let worked = begin.elapsed().min(Duration::from_millis(20));
        let idle_until = Instant::now() + worked * IDLE_PER_WORK;
        while Instant::now() < idle_until {
            std::hint::spin_loop();
        }
        begin = Instant::now();
    }
}

/// Starts a node on a slow processor.
async fn start_slow_node(fleet: &Fleet, number: usize) -> (Runtime, common::Running) {
    let address = fleet.store.address();
    let builder = || tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = builder().unwrap();
    let running = runtime.spawn(async move { start_node(address, number, "hall-a").await }).await.unwrap();
    runtime.spawn(take_processor_time());
    (runtime, running)
}

/// How requests on new connections ended.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    closed_unread: usize,
    other: usize,
}

impl Outcome {
    /// Returns the fraction of the requests that the node read which it served.
    fn served_of_read(&self) -> f64 {
        self.served as f64 / (self.served + self.other).max(1) as f64
    }
}

/// Sends requests on new connections at a steady rate.
async fn send_at_rate(to: SocketAddr, per_second: u64, label: &str) -> Outcome {
    let mut asking = JoinSet::new();
    let mut turns = tokio::time::interval(Duration::from_micros(1_000_000 / per_second));
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < DURATION {
        turns.tick().await;
        number += 1;
        let request = format!("{label}-{number}");
        asking.spawn(async move {
            tokio::time::timeout(CALLER_WAIT, send_request(to, READ, &request, KEY)).await
        });
    }
    let mut outcome = Outcome::default();
    for result in asking.join_all().await {
        match result {
            Ok(Ok(Answer { status: 200, complete: true, .. })) => outcome.served += 1,
            Ok(Ok(Answer { status: 0, .. })) | Ok(Err(_)) => outcome.closed_unread += 1,
            Ok(Ok(_)) | Err(_) => outcome.other += 1,
        }
    }
    outcome
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_that_gets_most_new_connections_serves_what_it_reads() {
    let fleet = Fleet::serving(3).await;
    let (runtime, slow) = start_slow_node(&fleet, 7).await;
    let is_ready = |_: &Fleet| slow.node.is_ready();
    fleet.wait("the slow node is ready", is_ready).await;
    let usual = send_at_rate(slow.callers, 20, "usual").await;
    let most = send_at_rate(slow.callers, 400, "most").await;
    runtime.shutdown_background();
    println!("usual {usual:?}, most {most:?}");
    assert!(usual.served_of_read() > 0.9, "{usual:?}");
    assert!(most.served_of_read() >= 0.75 * usual.served_of_read(), "usual {usual:?}, most {most:?}");
    assert!(most.served >= usual.served, "usual {usual:?}, most {most:?}");
}
