//! A process that loses one of its tasks, and goes on without it.
//!
//! The failure: a task that panicked was gone for the life of the process, which stayed ready.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{STREAM, config};
use serde_json::json;

/// The time within which service has to come back.
const RECOVERY: Duration = Duration::from_secs(12);

/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(200);

/// How long an invalid configuration is in the store.
const INVALID_TIME: Duration = Duration::from_secs(3);

/// Waits until a stream is served, and returns whether that was so within the bound.
async fn is_served_in_time(node: &NodeProcess) -> bool {
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed() < RECOVERY {
        count += 1;
        let answer = send_request(node.settings.callers, STREAM, &format!("r-{count}"), KEY).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    false
}

/// Guards against a fleet without a decider after a configuration that names a model of no runners.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn groups_are_formed_once_a_model_of_no_runners_is_corrected() {
    let fleet = Fleet::unconfigured(0).await;
    let mut invalid = config(1, &[KEY]);
    invalid["services"][0]["engine"]["models"][0]["size"] = json!(0);
    fleet.store.configure(&invalid);
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    tokio::time::sleep(INVALID_TIME).await;
    fleet.store.configure(&config(2, &[KEY]));
    assert!(is_served_in_time(&node).await, "no stream was served:\n{}", node.read_log());
}
