//! A caller sent one request again and again, to all nodes in turn, and each runner that began
//! it ended: 40 runners in 18 s, 16 times more than the three that it takes to know. Nothing
//! stopped it, for all that a node remembered was about runners. A connection that broke off
//! said *may have run*, whatever had become of the runner; the node sent the request to a second
//! runner at once, and the caller came again through a node that started from nothing.
//!
//! What settled it were three lines, at two nodes: `44.505 i-abcdf8b403 runs it`, `44.648 its
//! run ends: crashed`, and 3 ms later the same at `i-f617622d67`, which ended at 44.884; and
//! behind each, 10 to 30 other requests that broke off in the same 5 ms.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, Question, WAIT_MS};
use cottoncrank_platform_standin::operator::{READ, STREAM};
use tokio::task::JoinSet;

/// All nodes know what ends runners within this after the third has ended.
const CONTACT: Millis = Millis(3000);

/// So often it may reach runners after that.
const MORE: usize = 3;

/// Such a request comes this often.
const PAUSE: Millis = Millis(150);

/// And for so long: well beyond the third end and what is allowed after it.
const DAY: Millis = Millis(10_000);

/// A body that ends the runner which begins it.
const BODY: &str = "a deadly body";

async fn ask(to: SocketAddr, path: &str, request: String, body: String) -> Answer {
    let question = Question { path, request: &request, key: KEY, wait_ms: WAIT_MS, body: &body };
    question.ask(to).await.unwrap()
}

/// Sends the deadly request to all nodes in turn, and beside it others of the same route.
/// Returns the answers to these.
async fn play(fleet: &Fleet, path: &'static str) -> Vec<Answer> {
    let (mut deadly, mut others) = (JoinSet::new(), JoinSet::new());
    let mut turns = tokio::time::interval(PAUSE.duration());
    for turn in 0..DAY.0 / PAUSE.0 {
        turns.tick().await;
        let node = |number: u64| fleet.nodes[number as usize % fleet.nodes.len()].callers;
        deadly.spawn(ask(node(turn), path, format!("d-{turn}"), BODY.to_owned()));
        others.spawn(ask(node(turn + 1), path, format!("o-{turn}"), format!("usual {turn}")));
    }
    deadly.join_all().await;
    others.join_all().await
}

/// When runners began the deadly request, in order.
fn list_runs(fleet: &Fleet) -> Vec<Instant> {
    let all = fleet.engines.iter().chain(&fleet.plain);
    let runs = all.flat_map(|runner| runner.seen()).filter(|seen| seen.run && seen.deadly);
    let mut runs: Vec<Instant> = runs.map(|seen| seen.at).collect();
    runs.sort();
    runs
}

async fn check(path: &'static str) {
    let fleet = Fleet::serving(3).await;
    let others = play(&fleet, path).await;
    let runs = list_runs(&fleet);
    assert!(runs.len() >= 3, "three ends tell: {}", runs.len());
    let late = runs.iter().filter(|run| **run > runs[2] + CONTACT.duration()).count();
    let crashes: usize = fleet.engines.iter().chain(&fleet.plain).map(|runner| runner.crashes()).sum();
    assert!(late <= MORE, "{} runs, {late} of them late, {crashes} runners ended", runs.len());
    let refused = others.iter().filter(|answer| (400..500).contains(&answer.status));
    assert_eq!(refused.count(), 0, "a request that ends no runner is not taken for one that does");
    let served = others.iter().filter(|answer| answer.status == 200 && answer.whole).count();
    assert!(served >= others.len() / 2, "{served} of {} others are served", others.len());
}

#[tokio::test]
async fn a_stream_that_ends_runners_is_held_back_at_every_node() {
    check(STREAM).await;
}

#[tokio::test]
async fn a_plain_request_that_ends_runners_is_held_back_at_every_node() {
    check(READ).await;
}
