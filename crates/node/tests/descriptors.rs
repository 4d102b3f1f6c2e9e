//! A node whose system gives it fewer descriptors than its settings say.
//!
//! The failure: callers filled all of them, and nobody else was accepted, the balancer included.

mod common;

use std::time::Duration;

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{READ, config};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The descriptors that the system gives the process.
const DESCRIPTORS: usize = 256;

/// The connections of callers that rest.
const RESTING: usize = 300;

/// The time within which the balancer wants its answer.
const CHECK_TIME: Duration = Duration::from_secs(1);

/// The time within which a new connection has to come up and its request to be read.
const CALLER_TIME: Duration = Duration::from_secs(2);

/// How often both are tried.
const TRIES: usize = 10;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resting_callers_take_no_descriptors_from_the_balancer_and_new_callers() {
    let fleet = Fleet::unconfigured(0).await;
    fleet.store.configure(&config(1, &[KEY]));
    let mut node = NodeProcess::lay(fleet.store.address(), 7);
    node.spawn_with_descriptors(DESCRIPTORS);
    node.wait_ready().await;
    let mut resting = Vec::new();
    for _ in 0..RESTING {
        // One that waits to be accepted rests as well.
        let connecting = timeout(CALLER_TIME, TcpStream::connect(node.settings.callers));
        resting.extend(connecting.await.ok().and_then(Result::ok));
    }
    for number in 0..TRIES {
        let check = timeout(CHECK_TIME, node.is_ready()).await;
        assert_eq!(check, Ok(true), "check {number}:\n{}", node.read_log());
        let request = format!("r-{number}");
        let answer = timeout(CALLER_TIME, send_request(node.settings.callers, READ, &request, KEY)).await;
        let status = answer.ok().and_then(Result::ok).map(|answer| answer.status);
        assert_eq!(status, Some(200), "request {number}:\n{}", node.read_log());
    }
    drop(resting);
}
