//! Runners named in their answers how many requests a second they took from all nodes together,
//! and went on getting as many as before: 18 in 4 s, where 1.6 a second had been named. No refusal,
//! no error: the runners served what came, and callers saw nothing of it.
//!
//! What settled it were the counts of the runners themselves: 4.4 requests a second before the rate
//! was named and 4.5 after, 3.3 and 4.2 at another one, 57 in thirteen seconds where the mean of
//! all runners was 61; no node had logged a word of either. Four nodes with the code as it was sent 79 in
//! 4 s to a head that named 1.6 a second, and 87 to a plain runner.
//!
//! The cause: nobody read the rate, and no node could have kept it, for what a node counts is its
//! own. Now it is kept where requests of a whole hall are chosen, and halls share it by what they
//! want there.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, send_request};
use cottoncrank_platform_standin::operator::{READ, STREAM};
use cottoncrank_platform_standin::runner::Runner;
use tokio::task::JoinSet;

/// The rate holds from then on, counted from the first answer that named it.
const BINDS: Duration = Duration::from_secs(3);

/// It is judged over this time.
const WINDOW: Duration = Duration::from_secs(4);

/// How long requests come.
const PLAY: Millis = Millis(9000);

/// Requests come this often.
const PAUSE: Millis = Millis(25);

/// Sends requests to all nodes in turn for `time`.
async fn play(fleet: &Fleet, path: &'static str, time: Millis) -> Vec<Answer> {
    let mut asking = JoinSet::new();
    let mut turns = tokio::time::interval(PAUSE.duration());
    for turn in 0..time.0 / PAUSE.0 {
        turns.tick().await;
        let callers = fleet.nodes[turn as usize % fleet.nodes.len()].callers;
        asking.spawn(async move { send_request(callers, path, &format!("r-{turn}"), KEY).await.unwrap() });
    }
    asking.join_all().await
}

/// The most requests that reached a runner in some window after its rate had to be kept.
fn count_worst(runner: &Runner, since: Instant) -> usize {
    let times: Vec<Instant> =
        runner.requests().into_iter().map(|seen| seen.at).filter(|at| *at >= since).collect();
    let Some(first) = times.first().copied() else { return 0 };
    let bound: Vec<Instant> = times.into_iter().filter(|at| *at >= first + BINDS).collect();
    let in_window =
        |start: &Instant| bound.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    bound.iter().map(in_window).max().unwrap_or(0)
}

/// The most that may come in a window: half as much again as the rate allows, and five.
fn count_allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

fn count_served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200 && answer.complete).count()
}

async fn assert_kept(halls: &[&str], path: &'static str, rate: f64) {
    let fleet = Fleet::in_halls(halls).await;
    fleet.store.configure(&cottoncrank_platform_standin::operator::config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let runner = if path == STREAM { fleet.heads()[0] } else { &fleet.plain[0] };
    runner.set_limit(Some(&rate.to_string()));
    let since = Instant::now();
    let answers = play(&fleet, path, PLAY).await;
    let (worst, allowed) = (count_worst(runner, since), count_allowed(rate));
    assert!(worst <= allowed, "{} named {rate} a second and got {worst} in {WINDOW:?}", runner.id());
    let bound = runner.requests().into_iter().filter(|seen| seen.at >= since + BINDS).count() as f64;
    let used = bound / (rate * (PLAY.duration() - BINDS).as_secs_f64());
    assert!(used >= 0.6, "of {rate} a second {used:.2} was used while there was work for more");
    assert_eq!(count_served(&answers), answers.len(), "the other one has room for all");
}

#[tokio::test]
async fn a_head_gets_no_more_than_the_rate_it_named_from_all_nodes_together() {
    assert_kept(&["hall-a", "hall-a", "hall-b", "hall-c"], STREAM, 1.6).await;
}

#[tokio::test]
async fn a_plain_runner_gets_no_more_than_the_rate_it_named_from_all_nodes_together() {
    assert_kept(&["hall-a", "hall-a", "hall-b", "hall-c"], READ, 1.6).await;
}

/// Callers were told to come back ten seconds later, for a place a second or two away: each request
/// that asked for a place and then went to a runner that took all of them had put the next return
/// off, though nobody was to return for it. What showed it was `the next place is 10000ms away` where
/// two runners took one request every two seconds each.
#[tokio::test]
async fn callers_without_a_place_are_told_of_the_next_one() {
    let fleet = Fleet::serving(2).await;
    fleet.plain[0].set_limit(Some("0.5"));
    play(&fleet, READ, Millis(2000)).await;
    fleet.plain[1].set_limit(Some("0.5"));
    let mut refused = None;
    for turn in 0..20 {
        let answer = fleet.ask(READ, &format!("one-{turn}")).await;
        if answer.status != 200 {
            refused = Some(answer);
            break;
        }
    }
    let answer = refused.expect("both have had what they take");
    assert_eq!(answer.status, 503, "{answer:?}");
    let back: f64 = answer.header("retry-after").unwrap_or("none").parse().unwrap_or(f64::MAX);
    assert!(back <= 2.0, "each takes one every two seconds, told to come back after {back} s: {answer:?}");
}
