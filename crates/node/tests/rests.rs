//! A node whose process does not run when connections have been idle for long enough.
//!
//! The failure: it closed connections as idle on which requests had arrived meanwhile.

mod common;

use std::time::Duration;

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::Connection;
use cottoncrank_platform_standin::operator::{ONCE, READ, config};
use rustix::process::Signal;
use serde_json::json;
use tokio::task::JoinSet;

/// How long connections may be idle, and when callers use them again.
const IDLE_MS: u64 = 1500;
const USED_AGAIN: Duration = Duration::from_millis(500);

/// How long the process does not run.
const STOPPED: Duration = Duration::from_millis(1300);

const CONNECTIONS: usize = 20;

/// Guards against requests that are lost as a limit ends while the process does not run.
#[tokio::test]
async fn a_connection_on_which_a_request_waits_is_not_closed_as_idle() {
    let fleet = Fleet::unconfigured(1).await;
    let mut config = config(1, &[KEY]);
    config["limits"]["idleTimeoutMs"] = json!(IDLE_MS);
    fleet.store.configure(&config);
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    let mut kept = Vec::new();
    for number in 0..CONNECTIONS {
        let mut connection = Connection::open(node.settings.callers).await.unwrap();
        assert_eq!(connection.send_request(READ, &format!("r-{number}"), KEY).await.status, 200);
        kept.push(connection);
    }
    tokio::time::sleep(USED_AGAIN).await;
    node.signal(Signal::STOP);
    let mut asking = JoinSet::new();
    for (number, mut connection) in kept.into_iter().enumerate() {
        let path = if number.is_multiple_of(2) { READ } else { ONCE };
        asking.spawn(async move { connection.send_request(path, &format!("s-{number}"), KEY).await.status });
    }
    tokio::time::sleep(STOPPED).await;
    node.signal(Signal::CONT);
    let statuses = asking.join_all().await;
    let lost = statuses.iter().filter(|status| **status == 0).count();
    assert_eq!(lost, 0, "{}", node.read_log());
}
