//! What becomes of requests that runners fail, and who pays where they are sent again.
//!
//! A runner that answers that a request failed has run it. Of a hundred such lookups sent to a
//! second runner none was answered better: what failed them was in the request. So the answer is
//! passed on at once, and the caller may come back with a request of its own.

mod common;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::ask;
use cottoncrank_platform_standin::operator::{ONCE, READ};
use cottoncrank_platform_standin::runner::Fault;

/// How often a request came to each plain runner.
fn count_runs(fleet: &Fleet, request: &str) -> Vec<usize> {
    let seen = fleet.plain.iter().map(|runner| runner.seen());
    seen.map(|seen| seen.iter().filter(|seen| seen.request == request).count()).collect()
}

#[tokio::test]
async fn a_failure_that_a_runner_answers_is_passed_on_at_once() {
    let fleet = Fleet::serving(1).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Failed));
    for (path, request) in [(READ, "r1"), (ONCE, "r2")] {
        let answer = fleet.ask(path, request).await;
        assert_eq!((answer.status, &*answer.body), (500, &*format!("failed {request}")));
        assert!(answer.is_signed(request), "the answer is the runner's");
        assert_eq!(count_runs(&fleet, request).iter().sum::<usize>(), 1);
    }
}

/// With more nodes than retries no node has one of its own: the collector lends them.
#[tokio::test]
async fn a_node_without_a_retry_of_its_own_is_lent_one() {
    let fleet = Fleet::with_retry_slack(3, 2.0).await;
    fleet.plain[0].set_fault(Fault::Foreign);
    fleet
        .wait("all nodes know each other", |fleet| {
            fleet.nodes.iter().all(|running| running.node.directory.lock().count() == 3)
        })
        .await;
    assert!(
        fleet.nodes.iter().all(|running| !running.node.retry_budget.lock().withdraw()),
        "none has its own"
    );
    let callers = fleet.nodes[0].callers;
    for turn in 0..1000 {
        let request = format!("r-{turn}");
        let answer = ask(callers, READ, &request, KEY).await.unwrap();
        if count_runs(&fleet, &request) == [1, 1] {
            assert_eq!(answer.status, 200, "{answer:?}");
            return;
        }
        // The collector lends what is saved up once the window has passed in which retries count.
        tokio::time::sleep(Millis(20).duration()).await;
    }
    panic!("no request that a runner answered wrongly was sent again");
}
