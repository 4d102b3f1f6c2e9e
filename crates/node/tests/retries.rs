//! The bound on retries, over all nodes and for each service, while processes end and start again.

mod common;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{READ, STREAM};
use cottoncrank_platform_standin::runner::Fault;

/// The retries that the fleet may make in a window, beyond [`RATIO`] of the requests.
const SLACK: f64 = 10.0;

/// Allowed retries per request; the settings of the tests have the same.
const RATIO: f64 = 0.2;

/// Longer than each test, so that all of its retries are in one window.
const WINDOW: Millis = Millis(120_000);

/// The requests sent after each start. Most of them fail.
const REQUESTS: usize = 30;

/// The starts of each node.
const STARTS: usize = 4;

/// Returns how many requests of plain runners arrived more than once, each time counted.
fn count_repeats(fleet: &Fleet) -> usize {
    let mut ids: Vec<String> =
        fleet.plain.iter().flat_map(|runner| runner.requests()).map(|seen| seen.request).collect();
    let arrivals = ids.len();
    ids.sort();
    ids.dedup();
    arrivals - ids.len()
}

/// Guards against a full retry budget at each start: what the process before spent was forgotten.
#[tokio::test]
async fn retries_stay_within_their_bound_when_nodes_start_again() {
    let mut fleet = Fleet::with_retry_slack(2, SLACK, WINDOW).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Foreign));
    let mut sent = 0;
    for start in 0..STARTS {
        for number in 0..REQUESTS {
            let callers = fleet.nodes[number % 2].callers;
            send_request(callers, READ, &format!("r-{start}-{number}"), KEY).await.unwrap();
            sent += 1;
        }
        fleet.restart_node(0).await;
        fleet.restart_node(1).await;
    }
    let repeats = count_repeats(&fleet);
    let allowed = RATIO * sent as f64 + SLACK;
    assert!(repeats > 0, "no request was sent again");
    assert!(repeats as f64 <= allowed, "{repeats} repeats of {sent} requests, {allowed} are allowed");
}

/// Guards against one budget for all services: requests for one of them paid for the retries of another.
#[tokio::test]
async fn requests_for_one_service_pay_for_no_retries_of_another() {
    let fleet = Fleet::with_retry_slack(1, SLACK, WINDOW).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Foreign));
    for number in 0..REQUESTS {
        for other in 0..4 {
            let answer = fleet.ask(STREAM, &format!("s-{number}-{other}")).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        fleet.ask(READ, &format!("r-{number}")).await;
    }
    let (repeats, allowed) = (count_repeats(&fleet), RATIO * REQUESTS as f64 + SLACK);
    assert!(repeats > 0, "no request was sent again");
    assert!(repeats as f64 <= allowed, "{repeats} repeats of {REQUESTS} requests, {allowed} are allowed");
}
