//! Runners that announce in their answers that they are leaving.
//!
//! They announce it there sooner than in their entries, which lag by a second and do not change while the
//! store is unavailable. The failure: nodes ignored the announcement and sent requests until the entry
//! changed. 11 of 35 requests arrived later than 2 s after the first answer with the announcement, and 9 of
//! 29 while the store was unavailable.
//!
//! The cause, as for backoff: nodes had no state for what a runner reports about itself in answers. From
//! that answer on the runner counts as leaving for its current incarnation, whatever its entry says.

mod common;

use std::time::Instant;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store;

/// The time after which a node that received the announcement must not send the runner any request.
const DRAIN_TIMEOUT: Millis = Millis(2000);

/// The duration of the load, and the time between two requests.
const LOAD_DURATION: Millis = Millis(3000);
const REQUEST_INTERVAL: Millis = Millis(40);

async fn send_requests(fleet: &Fleet, path: &str) {
    let mut ticks = tokio::time::interval(REQUEST_INTERVAL.duration());
    for number in 0..LOAD_DURATION.0 / REQUEST_INTERVAL.0 {
        ticks.tick().await;
        let answer = fleet.ask(path, &format!("r-{number}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "others have slots: {answer:?}");
    }
}

/// Counts the requests that reached a runner later than [`DRAIN_TIMEOUT`] after its first announcement.
fn count_late(runner: &Runner) -> usize {
    let announced: Vec<Instant> =
        runner.requests().into_iter().filter(|seen| seen.leaving).map(|seen| seen.at).collect();
    let first = announced.first().copied().expect("no request reached the runner while it was leaving");
    announced.into_iter().filter(|at| *at > first + DRAIN_TIMEOUT.duration()).count()
}

#[tokio::test]
async fn a_head_that_announces_leaving_gets_no_new_requests() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0];
    head.announce_leaving();
    send_requests(&fleet, STREAM).await;
    assert_eq!(count_late(head), 0, "of {} requests", head.requests().len());
}

#[tokio::test]
async fn a_plain_runner_that_announces_leaving_gets_none_while_the_store_is_unavailable() {
    let fleet = Fleet::serving(1).await;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.plain[0].announce_leaving();
    send_requests(&fleet, READ).await;
    assert_eq!(count_late(&fleet.plain[0]), 0, "of {} requests", fleet.plain[0].requests().len());
}

#[tokio::test]
async fn the_group_of_a_member_that_announces_leaving_is_replaced_at_once() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0];
    let place = head.membership().unwrap();
    head.announce_leaving();
    fleet
        .wait("its group is closed and another one open", |fleet| {
            let others = fleet.heads().iter().filter(|open| open.id() != head.id()).count();
            head.membership().as_ref() != Some(&place) && others == 2
        })
        .await;
}

/// The time within which all other nodes must receive the announcement through gossip.
const GOSSIP_TIMEOUT: Millis = Millis(3000);

#[tokio::test]
async fn all_nodes_learn_from_one_that_a_runner_is_leaving_while_the_store_is_unavailable() {
    let fleet = Fleet::in_halls(&["hall-a", "hall-a", "hall-b", "hall-b"]).await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    fleet.store.set_fault(store::Fault::Silent);
    let leaving = [fleet.heads()[0], &fleet.plain[0]];
    for runner in leaving {
        runner.announce_leaving();
    }
    // Only the first node gets requests, until both runners have announced it there.
    let has_announced = |runner: &Runner| runner.requests().iter().any(|seen| seen.leaving);
    let mut round = 0;
    while !leaving.iter().all(|runner| has_announced(runner)) {
        for path in [STREAM, READ] {
            fleet.ask(path, &format!("first-{round}")).await;
        }
        round += 1;
    }
    tokio::time::sleep(GOSSIP_TIMEOUT.duration()).await;
    for round in 0..10 {
        for (number, running) in fleet.nodes.iter().enumerate() {
            for path in [STREAM, READ] {
                send_request(running.callers, path, &format!("other-{number}-{round}"), KEY).await.unwrap();
            }
        }
    }
    for runner in leaving {
        let late = runner.requests().into_iter().filter(|seen| seen.request.starts_with("other")).count();
        assert_eq!(late, 0, "{} announced leaving to the first node, but others sent requests", runner.id());
    }
}
