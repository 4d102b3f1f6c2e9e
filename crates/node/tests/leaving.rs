//! A runner that is about to leave says so in all its answers, sooner than in its entry: entries
//! lag by a second, and stand still while the store is away. No node read that, and those that
//! had passed such an answer on went on sending requests there until its entry told: 11 of 35
//! came later than 2 s after the first answer that told, 9 of 29 while the store was away.
//!
//! The cause was the same as for runners that want no requests for a while: what a runner says of
//! itself in an answer had no place among what a node believes. Now it is leaving from that
//! answer on, in that life, whatever its entry says.

mod common;

use std::time::Instant;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store;

/// A node that was told by a runner that it leaves sends it nothing any more after this.
const DRAIN: Millis = Millis(2000);

/// For so long requests come, and this often.
const TIME: Millis = Millis(3000);
const PAUSE: Millis = Millis(40);

async fn play(fleet: &Fleet, path: &str) {
    let mut turns = tokio::time::interval(PAUSE.duration());
    for turn in 0..TIME.0 / PAUSE.0 {
        turns.tick().await;
        let answer = fleet.ask(path, &format!("r-{turn}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "others have room: {answer:?}");
    }
}

/// How many requests reached a runner later than [`DRAIN`] after the first answer that told.
fn count_late(runner: &Runner) -> usize {
    let told: Vec<Instant> =
        runner.requests().into_iter().filter(|seen| seen.leaving).map(|seen| seen.at).collect();
    let first = told.first().copied().expect("the runner was asked while it was about to leave");
    told.into_iter().filter(|at| *at > first + DRAIN.duration()).count()
}

#[tokio::test]
async fn a_head_that_says_it_leaves_gets_no_new_requests() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0];
    head.announce_leaving();
    play(&fleet, STREAM).await;
    assert_eq!(count_late(head), 0, "of {} requests", head.requests().len());
}

#[tokio::test]
async fn a_plain_runner_that_says_it_leaves_gets_none_while_the_store_is_away() {
    let fleet = Fleet::serving(1).await;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.plain[0].announce_leaving();
    play(&fleet, READ).await;
    assert_eq!(count_late(&fleet.plain[0]), 0, "of {} requests", fleet.plain[0].requests().len());
}

#[tokio::test]
async fn the_group_of_a_member_that_says_it_leaves_is_replaced_at_once() {
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

/// A node that hears of it from others has heard within this time.
const TOLD_ON: Millis = Millis(3000);

#[tokio::test]
async fn all_nodes_hear_from_one_that_a_runner_leaves_while_the_store_is_away() {
    let fleet = Fleet::in_halls(&["hall-a", "hall-a", "hall-b", "hall-b"]).await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    fleet.store.set_fault(store::Fault::Silent);
    let leaving = [fleet.heads()[0], &fleet.plain[0]];
    for runner in leaving {
        runner.announce_leaving();
    }
    // The first node alone has requests, until both have told it.
    let told = |runner: &Runner| runner.requests().iter().any(|seen| seen.leaving);
    let mut turn = 0;
    while !leaving.iter().all(|runner| told(runner)) {
        for path in [STREAM, READ] {
            fleet.ask(path, &format!("first-{turn}")).await;
        }
        turn += 1;
    }
    tokio::time::sleep(TOLD_ON.duration()).await;
    for turn in 0..10 {
        for (number, running) in fleet.nodes.iter().enumerate() {
            for path in [STREAM, READ] {
                send_request(running.callers, path, &format!("other-{number}-{turn}"), KEY).await.unwrap();
            }
        }
    }
    for runner in leaving {
        let late = runner.requests().into_iter().filter(|seen| seen.request.starts_with("other")).count();
        assert_eq!(late, 0, "{} has told the first node, and the others sent it more", runner.id());
    }
}
