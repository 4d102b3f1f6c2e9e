//! Keys of another writer that cannot stand in a query as they are, in lists of several pages.
//!
//! The failure: a list was asked for again and again, so a node that started never knew what the store holds, and
//! refused all callers.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::foreign::{PREFIXES, STRANGE_NAMES};
use cottoncrank_platform_standin::operator::{READ, STREAM, config};
use cottoncrank_platform_standin::store::{Broken, Limits};

/// The time within which a box that is back serves: the shortest that a deployment asks for.
const RECOVERY: Duration = Duration::from_secs(12);

/// How often callers try.
const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Pages that end at each key, so that the next one is asked for after it.
const ONE_KEY_EACH: Limits = Limits { items: 1, bytes: usize::MAX };

/// Returns after how long a node that started at `started` serves a request to each of these routes, if it does
/// within [`RECOVERY`].
async fn find_return(node: &NodeProcess, started: Instant) -> Option<Duration> {
    for (route, path) in [READ, STREAM].into_iter().enumerate() {
        for number in 0.. {
            let answer = send_request(node.settings.callers, path, &format!("r{route}-{number}"), KEY).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                break;
            }
            if started.elapsed() > RECOVERY {
                return None;
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
    }
    Some(started.elapsed())
}

/// Restarts a fleet beside strange keys under each prefix that is read, at a store that does this with queries that
/// it cannot decode, and checks that it serves in time.
async fn check_return(broken: Broken) {
    let fleet = Fleet::unconfigured(0).await;
    fleet.store.set_broken_queries(broken);
    fleet.store.configure(&config(1, &[KEY]));
    let mut nodes = [0, 1].map(|number| NodeProcess::lay(fleet.store.address(), number));
    for node in &mut nodes {
        node.spawn();
        node.wait_ready().await;
    }
    for prefix in PREFIXES {
        for name in STRANGE_NAMES {
            fleet.store.put_bytes(&format!("{prefix}{name}"), b"[1]");
        }
    }
    fleet.store.set_page_limits(ONE_KEY_EACH);
    nodes.iter_mut().for_each(NodeProcess::kill);
    let started = Instant::now();
    nodes.iter_mut().for_each(NodeProcess::spawn);
    for node in &nodes {
        let returned = find_return(node, started).await;
        assert!(returned.is_some(), "not back within {RECOVERY:?}:\n{}", node.read_log());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_return_serve_beside_strange_keys_where_broken_queries_are_refused() {
    check_return(Broken::Refused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_return_serve_beside_strange_keys_where_broken_queries_are_kept() {
    check_return(Broken::Kept).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_return_serve_beside_strange_keys_where_broken_parameters_are_left_out() {
    check_return(Broken::LeftOut).await;
}
