//! Requests that fail at a runner, and the retry budget that pays for retries.
//!
//! A runner that answers that a request failed has run it. Of a hundred such lookups that were retried at a
//! second runner none succeeded, because the request itself caused the failure. The answer is therefore
//! forwarded at once, and the caller may retry with a new request.

mod common;

use common::{Fleet, KEY, spend_retry};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{ONCE, PLAIN, READ};
use cottoncrank_platform_standin::runner::Fault;

/// Returns how often each plain runner received a request.
fn count_received(fleet: &Fleet, request: &str) -> Vec<usize> {
    let received = fleet.plain.iter().map(|runner| runner.requests());
    received.map(|seen| seen.iter().filter(|seen| seen.request == request).count()).collect()
}

#[tokio::test]
async fn a_failure_answered_by_a_runner_is_forwarded_without_a_retry() {
    let fleet = Fleet::serving(1).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Failed));
    for (path, request) in [(READ, "r1"), (ONCE, "r2")] {
        let answer = fleet.ask(path, request).await;
        assert_eq!((answer.status, &*answer.body), (500, &*format!("failed {request}")));
        assert!(answer.is_signed(request), "the answer is not the runner's");
        assert_eq!(count_received(&fleet, request).iter().sum::<usize>(), 1);
    }
}

/// With more nodes than retries no node has a token in its own retry budget: the collector grants them from
/// the shared retry pool.
#[tokio::test]
async fn a_node_with_an_empty_retry_budget_is_granted_a_retry() {
    let fleet = Fleet::with_retry_slack(3, 2.0, Millis(1000)).await;
    fleet.plain[0].set_fault(Fault::Foreign);
    fleet
        .wait("all nodes know each other", |fleet| {
            fleet.nodes.iter().all(|running| running.node.directory.lock().count() == 3)
        })
        .await;
    assert!(
        fleet.nodes.iter().all(|running| !spend_retry(&running.node, PLAIN)),
        "a node has a retry of its own"
    );
    let callers = fleet.nodes[0].callers;
    for number in 0..1000 {
        let request = format!("r-{number}");
        let answer = send_request(callers, READ, &request, KEY).await.unwrap();
        if count_received(&fleet, &request) == [1, 1] {
            assert_eq!(answer.status, 200, "{answer:?}");
            return;
        }
        // The collector grants saved tokens only after the window in which retries count has passed.
        tokio::time::sleep(Millis(20).duration()).await;
    }
    panic!("no request with an invalid answer was retried");
}
