//! One lookup in seven got a failure from its runner, and callers saw it although the route allows
//! a second runner and the request may be repeated: 28 of 411 had no answer in the end.
//!
//! The cause: an answer that says that a request failed was passed on like any other, for the
//! runner had run it. Now a request that may be repeated goes to another runner once more, as far
//! as its route and the retries allow, and the failure is passed on only where nothing better comes.

mod common;

use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::ask;
use cottoncrank_platform_standin::operator::{ONCE, READ};
use cottoncrank_platform_standin::runner::Fault;

/// How often a request came to each plain runner.
fn count_runs(fleet: &Fleet, request: &str) -> Vec<usize> {
    let seen = fleet.plain.iter().map(|runner| runner.seen());
    seen.map(|seen| seen.iter().filter(|seen| seen.request == request).count()).collect()
}

#[tokio::test]
async fn a_request_that_may_be_repeated_is_answered_by_another_runner() {
    let fleet = Fleet::serving(1).await;
    fleet.plain[0].set_fault(Fault::Failed);
    for turn in 0..12 {
        let request = format!("r-{turn}");
        let answer = fleet.ask(READ, &request).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, format!("done {request}").as_str()));
        assert!(answer.is_signed(&request), "{answer:?}");
    }
    assert!(!fleet.plain[0].seen().is_empty(), "the failing runner was never tried");
}

#[tokio::test]
async fn a_failure_is_passed_on_as_it_came_where_all_fail() {
    let fleet = Fleet::serving(1).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Failed));
    let answer = fleet.ask(READ, "r").await;
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed r"));
    assert!(answer.is_signed("r"), "{answer:?}");
    assert_eq!(count_runs(&fleet, "r"), [1, 1], "the route allows two runners");
}

#[tokio::test]
async fn a_failure_is_passed_on_where_the_other_runner_says_nothing_in_time() {
    let fleet = Fleet::serving(1).await;
    fleet.plain[0].set_fault(Fault::Failed);
    fleet.plain[1].set_fault(Fault::Mute);
    for turn in 0..6 {
        let request = format!("r-{turn}");
        let waiting = cottoncrank_platform_standin::caller::ask_waiting(
            fleet.nodes[0].callers,
            READ,
            &request,
            KEY,
            400,
        );
        let answer = waiting.await.unwrap();
        if count_runs(&fleet, &request)[0] == 1 {
            assert_eq!((answer.status, answer.body), (500, format!("failed {request}")));
            return;
        }
    }
    panic!("the failing runner was never tried first");
}

#[tokio::test]
async fn a_request_that_must_run_once_is_not_sent_again() {
    let fleet = Fleet::serving(1).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::Failed));
    let answer = fleet.ask(ONCE, "r").await;
    assert_eq!(answer.status, 500);
    assert_eq!(count_runs(&fleet, "r").iter().sum::<usize>(), 1);
}

/// With more nodes than retries no node has one of its own: the collector lends them.
#[tokio::test]
async fn a_node_without_a_retry_of_its_own_is_lent_one() {
    let fleet = Fleet::with_slack(3, 2.0).await;
    fleet.plain[0].set_fault(Fault::Failed);
    fleet
        .wait("all nodes know each other", |fleet| {
            fleet.nodes.iter().all(|running| running.node.directory.lock().count() == 3)
        })
        .await;
    assert!(
        fleet.nodes.iter().all(|running| !running.node.retries.lock().spend()),
        "none has one of its own"
    );
    // A collector lends what is saved up once the window has passed in which retries count.
    let callers = fleet.nodes[0].callers;
    let mut answered = 0;
    for turn in 0..1000 {
        let request = format!("r-{turn}");
        let answer = ask(callers, READ, &request, KEY).await.unwrap();
        if answer.status == 200 && count_runs(&fleet, &request)[0] == 1 {
            answered += 1;
            break;
        }
        tokio::time::sleep(cottoncrank::Millis(20).duration()).await;
    }
    assert_eq!(answered, 1, "no request that a runner failed was sent again");
    let again = fleet.plain.iter().map(|runner| runner.seen().len()).sum::<usize>();
    assert!(again >= 2);
}
