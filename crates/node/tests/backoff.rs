//! Runners that reject requests with 503 and announce a backoff.
//!
//! The failure: nodes ignored the announced time, and one runner got 43 requests from a single node within
//! the 3 s of its backoff. A rejection counted for one request only, and since such a runner has nothing in
//! flight, the collector picked it first: in 9 s six heads got 718 of the 1,473 requests that reached any
//! runner, and rejected all of them. The log confirmed that the collector had picked the runner for 1,663 of
//! 1,663 rejected tries, on a day on which three runners in ten rejected everything and the fullest ones got
//! 6.4 times the mean.
//!
//! The cause: nodes had no state for what a runner reports about itself in answers. Each node now records
//! the end of a runner's backoff, skips the runner until then, and names it in its query to the collector.

mod common;

use std::time::Instant;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, send_request, send_request_within};
use cottoncrank_platform_standin::operator::{READ, STREAM};
use cottoncrank_platform_standin::runner::{Fault, Runner};
use tokio::task::JoinSet;

/// The backoff that a runner announces.
const BACKOFF: Millis = Millis(3000);

/// Requests that were sent before the backoff was announced may arrive for this long.
const IN_FLIGHT_GRACE: Millis = Millis(500);

/// The number of requests that each node may send after that, within the backoff.
const MAX_REQUESTS: usize = 2;

/// The time between two requests.
const REQUEST_INTERVAL: Millis = Millis(40);

/// Sends requests to all nodes in rotation for `time`. The ID of a request begins with the number of its
/// node.
async fn send_requests(fleet: &Fleet, path: &'static str, time: Millis) -> Vec<Answer> {
    let mut answers = JoinSet::new();
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL.duration());
    for index in 0..time.0 / REQUEST_INTERVAL.0 {
        ticks.tick().await;
        let number = index as usize % fleet.nodes.len();
        let callers = fleet.nodes[number].callers;
        answers.spawn(async move {
            send_request(callers, path, &format!("{number}-{index}"), KEY).await.unwrap()
        });
    }
    answers.join_all().await
}

/// Lists the times at which requests of a node reached a runner.
fn list_times(runner: &Runner, node: usize) -> Vec<Instant> {
    let prefix = format!("{node}-");
    let seen = runner.requests().into_iter().filter(|seen| seen.request.starts_with(&prefix));
    seen.map(|seen| seen.at).collect()
}

/// Counts the requests of a node that reached a runner within the backoff of its first rejection, after
/// [`IN_FLIGHT_GRACE`].
fn count_in_backoff(runner: &Runner, node: usize, since: Instant) -> usize {
    let times: Vec<Instant> = list_times(runner, node).into_iter().filter(|at| *at >= since).collect();
    let Some(first) = times.first().copied() else { return 0 };
    let backoff = first + IN_FLIGHT_GRACE.duration()..first + BACKOFF.duration();
    times.into_iter().filter(|at| backoff.contains(at)).count()
}

fn assert_backoff_kept(fleet: &Fleet, runner: &Runner, since: Instant) {
    for node in 0..fleet.nodes.len() {
        let count = count_in_backoff(runner, node, since);
        assert!(
            count <= MAX_REQUESTS,
            "{} is backing off for {BACKOFF} and got {count} from node {node}",
            runner.id()
        );
    }
}

fn count_served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200 && answer.complete).count()
}

#[tokio::test]
async fn every_node_keeps_the_backoff_of_a_head() {
    let fleet = Fleet::serving(3).await;
    let since = Instant::now();
    let head = fleet.heads()[0];
    head.set_fault(Fault::BackOff(BACKOFF));
    let answers = send_requests(&fleet, STREAM, BACKOFF).await;
    assert_backoff_kept(&fleet, head, since);
    assert!(list_times(head, 0).len() + list_times(head, 1).len() + list_times(head, 2).len() > 0);
    assert_eq!(count_served(&answers), answers.len(), "the other group has slots for all");
}

#[tokio::test]
async fn every_node_keeps_the_backoff_of_a_plain_runner() {
    let fleet = Fleet::serving(3).await;
    let since = Instant::now();
    fleet.plain[0].set_fault(Fault::BackOff(BACKOFF));
    let answers = send_requests(&fleet, READ, BACKOFF).await;
    assert_backoff_kept(&fleet, &fleet.plain[0], since);
    assert_eq!(count_served(&answers), answers.len(), "the other runner has slots for all");
}

#[tokio::test]
async fn callers_get_the_end_of_the_backoff_at_once_if_all_runners_are_backing_off() {
    let fleet = Fleet::serving(1).await;
    let since = Instant::now();
    for runner in fleet.heads().into_iter().chain(&fleet.plain) {
        runner.set_fault(Fault::BackOff(BACKOFF));
    }
    for path in [STREAM, READ] {
        // The first request is tried at both runners.
        fleet.ask(path, "0-first").await;
        let sent_at = Instant::now();
        let answer = fleet.ask(path, "0-second").await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(sent_at.elapsed() < IN_FLIGHT_GRACE.duration(), "rejected after {:?}", sent_at.elapsed());
        let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        let remaining = BACKOFF.duration().saturating_sub(since.elapsed()).as_secs_f64();
        assert!(
            retry_after >= remaining,
            "retry-after is {retry_after} s, the backoff lasts {remaining} s more"
        );
        // A caller whose remaining time ends before that gets no `retry-after`.
        let short = send_request_within(fleet.nodes[0].callers, path, "0-third", KEY, 1000).await.unwrap();
        assert_eq!((short.status, short.header("retry-after")), (503, None), "{short:?}");
    }
    send_requests(&fleet, STREAM, BACKOFF).await;
    for runner in fleet.heads().into_iter().chain(&fleet.plain) {
        assert_backoff_kept(&fleet, runner, since);
    }
}

#[tokio::test]
async fn a_runner_gets_requests_again_after_its_backoff() {
    let fleet = Fleet::serving(1).await;
    for runner in fleet.heads() {
        runner.set_fault(Fault::BackOff(BACKOFF));
    }
    fleet.ask(STREAM, "0-first").await;
    for runner in fleet.heads() {
        runner.set_fault(Fault::None);
    }
    assert_eq!(fleet.ask(STREAM, "0-second").await.status, 503);
    tokio::time::sleep((BACKOFF + Millis(200)).duration()).await;
    assert_eq!(fleet.ask(STREAM, "0-third").await.status, 200);
}
