//! Runners that fall silent for a second or two and go on.
//!
//! The failure: a node gave up a runner that had sent nothing for 1.2 s, also where no other one could go on
//! with the stream, and its callers got answers that broke off.

mod common;

use std::time::Duration;

use common::proxy::{self, Answerer};
use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, send_request_within};
use cottoncrank_platform_standin::operator::{STREAM, config};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::{EVENTS_PER_STREAM, Fault, Runner};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longer than a runner may be silent before another one is tried, and shorter than callers wait.
const PAUSE: Duration = Duration::from_millis(1600);

/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// A runner that falls silent once in each stream.
#[derive(Clone)]
struct Pausing {
    /// The event before which it is silent.
    before: u64,
    pause: Duration,
}

impl Answerer for Pausing {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let first = raw::find_last_event(&request).map_or(0, |last| last + 1);
        let mut written = stream.write_all(raw::format_chunked_head(&id).as_bytes()).await;
        for event in first..EVENTS_PER_STREAM {
            if event == self.before {
                tokio::time::sleep(self.pause).await;
            }
            let chunk = raw::format_chunk(&format!("id: {event}\ndata: event {event}\n\n"));
            written = written.and(stream.write_all(chunk.as_bytes()).await);
        }
        // It fails if the node has left.
        let _ = written.and(stream.write_all(raw::format_chunk("").as_bytes()).await);
    }
}

/// Starts a fleet whose streams may be resumed or not.
async fn start_fleet(is_resumable: bool) -> Fleet {
    let fleet = Fleet::serving(1).await;
    let mut config = config(2, &[KEY]);
    config["routes"][0]["resumable"] = json!(is_resumable);
    fleet.store.configure(&config);
    fleet.wait("the node knows the configuration", |fleet| fleet.know_version(2)).await;
    fleet
}

async fn ask(fleet: &Fleet, request: &str) -> Answer {
    send_request_within(fleet.nodes[0].callers, STREAM, request, KEY, DEADLINE_MS).await.unwrap()
}

fn assert_whole(answer: &Answer, case: &str) {
    assert_eq!((answer.status, answer.complete), (200, true), "{case}: {answer:?}");
    assert_eq!(answer.events(), (0..EVENTS_PER_STREAM).collect::<Vec<_>>(), "{case}: {answer:?}");
}

/// Guards against streams that are cut because their runner pauses, and no other one can resume them.
#[tokio::test]
async fn a_stream_whose_runner_pauses_is_delivered_whole() {
    for is_resumable in [true, false] {
        let fleet = start_fleet(is_resumable).await;
        for before in [0, 1, 3] {
            let pausing = Pausing { before, pause: PAUSE };
            proxy::put(&fleet, fleet.heads(), pausing).await;
            let case = format!("resumable {is_resumable}, before {before}");
            let answer = ask(&fleet, &format!("r-{is_resumable}-{before}")).await;
            assert_whole(&answer, &case);
        }
    }
}

/// Guards against streams that wait for a runner that is paused although another one can go on.
#[tokio::test]
async fn a_stream_whose_runner_pauses_is_resumed_at_another_one() {
    let fleet = start_fleet(true).await;
    let paused = fleet.heads()[0].id().to_owned();
    let pausing = Pausing { before: 3, pause: Duration::from_secs(60) };
    proxy::put(&fleet, fleet.engines.iter().filter(|engine| engine.id() == paused), pausing).await;
    // The group is picked at random.
    for turn in 0..8 {
        assert_whole(&ask(&fleet, &format!("r-{turn}")).await, "one head pauses");
    }
}

/// Guards against a stream that ends because its group is said to be lost, although its head goes on.
#[tokio::test]
async fn a_stream_whose_group_counts_as_lost_goes_on_if_no_other_can_resume_it() {
    let fleet = start_fleet(true).await;
    fleet.heads().iter().for_each(|head| head.set_event_interval(Millis(400)));
    let callers = fleet.nodes[0].callers;
    let asking =
        tokio::spawn(async move { send_request_within(callers, STREAM, "r", KEY, DEADLINE_MS).await });
    let runs = |fleet: &Fleet| fleet.engines.iter().any(|engine| !engine.requests().is_empty());
    fleet.wait("the stream has begun", runs).await;
    for member in fleet.engines.iter().filter(|engine| !engine.is_open()) {
        member.crash();
    }
    assert_whole(&asking.await.unwrap().unwrap(), "the other members have ended");
}

/// Guards against streams that wait for a runner that is gone beyond the time of their callers.
#[tokio::test]
async fn a_stream_whose_runner_never_goes_on_ends_at_its_deadline_and_not_as_complete() {
    let fleet = start_fleet(false).await;
    proxy::put(&fleet, fleet.heads(), Pausing { before: 3, pause: Duration::from_secs(60) }).await;
    let started = std::time::Instant::now();
    let answer = ask(&fleet, "r").await;
    assert_eq!((answer.status, answer.complete), (200, false), "{answer:?}");
    assert_eq!(answer.events(), [0, 1, 2]);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(DEADLINE_MS + 500), "it took {took:?}");
}

/// Guards against runners that go on with a stream whose caller has left while it was silent.
#[tokio::test]
async fn a_caller_that_leaves_while_the_runner_is_silent_closes_all_tries() {
    let fleet = start_fleet(true).await;
    fleet.engines.iter().for_each(|engine| engine.set_fault(Fault::NoAnswer));
    let callers = fleet.nodes[0].callers;
    let asking =
        tokio::spawn(async move { send_request_within(callers, STREAM, "r", KEY, DEADLINE_MS).await });
    tokio::time::sleep(PAUSE).await;
    assert_eq!(fleet.count_runs("r"), 2, "another runner is tried beside the first");
    asking.abort();
    fleet.wait("no request is in flight", |fleet| fleet.nodes[0].node.running() == 0).await;
}

/// Guards against ends of runners that count against nobody because their connections only fell silent.
#[tokio::test]
async fn a_silent_end_of_a_runner_counts_against_the_request_that_may_run_once() {
    let fleet = start_fleet(false).await;
    let heads: Vec<String> = fleet.heads().iter().map(|head| head.id().to_owned()).collect();
    proxy::put(&fleet, fleet.heads(), Pausing { before: 3, pause: Duration::from_secs(60) }).await;
    let callers = fleet.nodes[0].callers;
    let asking =
        tokio::spawn(async move { send_request_within(callers, STREAM, "r", KEY, DEADLINE_MS).await });
    tokio::time::sleep(PAUSE).await;
    // The proxies keep the connection open.
    fleet.engines.iter().filter(|engine| heads.contains(&engine.id().to_owned())).for_each(Runner::restart);
    let is_blamed = |fleet: &Fleet| {
        fleet.nodes[0].node.suspects.lock().iter().any(|row| row.route == "stream" && !row.crashes.is_empty())
    };
    fleet.wait("the request is suspected", is_blamed).await;
    asking.abort();
}
