//! Runners that pause for a second or two, in all the ways in which a request can meet that.
//!
//! Each case is a request of its own. Its id says before what, for how long and where its runners pause.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use common::proxy::{self, Answerer};
use common::{Fleet, KEY, Killable};
use cottoncrank::Millis;
use cottoncrank_net::reach::Block;
use cottoncrank_platform_standin::caller::{Answer, send_request_within};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::EVENTS_PER_STREAM;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long runners pause, in milliseconds.
const PAUSES: [u64; 3] = [1000, 1600, 1900];

/// The events before which a stream pauses: its first one, and one in the middle.
const EVENTS: [u64; 2] = [0, 3];

/// How long callers wait, in milliseconds: longer than any pause.
const DEADLINE_MS: u64 = 5000;

/// How long after the requests were sent something else happens: within each pause.
const DISTURBANCE_DELAY: Duration = Duration::from_millis(400);

/// Runners that pause in each request as its id says, and count the runs.
#[derive(Clone, Default)]
struct Pausing(Arc<Mutex<HashMap<String, usize>>>);

/// One request.
#[derive(Clone, Copy, Debug)]
struct Case {
    path: &'static str,
    before: u64,
    pause_ms: u64,
    /// Whether the runner that gets it first pauses alone, so that another one is free.
    is_alone: bool,
}

impl Case {
    fn format_id(&self) -> String {
        let Case { path, before, pause_ms, is_alone } = self;
        format!("{}-{before}-{pause_ms}-{is_alone}", path.trim_matches('/'))
    }

    fn list() -> Vec<Case> {
        let mut cases = Vec::new();
        for (path, events) in [(STREAM, &EVENTS[..]), (READ, &EVENTS[..1]), (ONCE, &EVENTS[..1])] {
            for before in events {
                for pause_ms in PAUSES {
                    for is_alone in [true, false] {
                        cases.push(Case { path, before: *before, pause_ms, is_alone });
                    }
                }
            }
        }
        cases
    }
}

impl Pausing {
    /// Counts a run. Returns before which event it pauses and for how long.
    fn begin(&self, id: &str) -> (u64, Duration) {
        let mut runs = self.0.lock();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        let words: Vec<&str> = id.split('-').collect();
        let (before, pause_ms) = (words[1].parse().unwrap(), words[2].parse().unwrap());
        let pauses = *count == 1 || words[3] == "false";
        (before, Duration::from_millis(if pauses { pause_ms } else { 0 }))
    }
}

impl Answerer for Pausing {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let (before, pause) = self.begin(&id);
        let is_stream = raw::has_model(&request);
        let first = raw::find_last_event(&request).map_or(0, |last| last + 1);
        let events = if is_stream { first..EVENTS_PER_STREAM } else { 0..1 };
        let mut written = stream.write_all(raw::format_chunked_head(&id).as_bytes()).await;
        for event in events {
            if event == before {
                tokio::time::sleep(pause).await;
            }
            let chunk = raw::format_chunk(&format!("id: {event}\ndata: event {event}\n\n"));
            written = written.and(stream.write_all(chunk.as_bytes()).await);
        }
        // It fails if the node has left.
        let _ = written.and(stream.write_all(raw::format_chunk("").as_bytes()).await);
    }
}

/// What happens while the runners pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    None,
    Config,
    Hangup,
    Stop,
}

fn build_config(version: u64, is_resumable: bool) -> Value {
    let mut config = config(version, &[KEY]);
    config["routes"][0]["resumable"] = json!(is_resumable);
    config
}

async fn ask(to: SocketAddr, case: Case) -> (Case, Answer) {
    let answer = send_request_within(to, case.path, &case.format_id(), KEY, DEADLINE_MS).await.unwrap();
    (case, answer)
}

/// Starts a fleet of two nodes, and one more that can be stopped and whose requests are played.
async fn start_fleet(is_resumable: bool, is_cut: bool, pausing: &Pausing) -> (Fleet, Killable) {
    let fleet = Fleet::serving(2).await;
    fleet.store.configure(&build_config(2, is_resumable));
    let played = Killable::start(&fleet, 7).await;
    let node = played.running.node.clone();
    let knows_all = |_: &Fleet| node.is_ready() && node.directory.lock().count() == 3;
    fleet.wait("the played node knows the others", knows_all).await;
    proxy::put(&fleet, fleet.plain.iter().chain(fleet.heads()), pausing.clone()).await;
    let knows_config = |_: &Fleet| node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == 2);
    fleet.wait("the played node knows the configuration", knows_config).await;
    common::settle_retries(&node);
    if is_cut {
        cut_off(&played).await;
    }
    (fleet, played)
}

/// Cuts a node off from all runners, and returns once it connects to them through other nodes.
async fn cut_off(played: &Killable) {
    let node = &played.running.node;
    node.reach.block(Block::Refuse);
    for path in [READ, STREAM].into_iter().cycle() {
        let case = Case { path, before: EVENTS_PER_STREAM, pause_ms: 0, is_alone: false };
        ask(played.running.callers, case).await;
        if node.has_cut_path() {
            return;
        }
    }
}

/// Plays all cases at once, and asserts that each is answered whole and runs no more often than it may.
async fn play(disturbance: Disturbance, is_resumable: bool, is_cut: bool) {
    let label = format!("{disturbance:?}, resumable {is_resumable}, through another box {is_cut}");
    let pausing = Pausing::default();
    let (fleet, mut played) = start_fleet(is_resumable, is_cut, &pausing).await;
    let node = played.running.node.clone();
    let mut asking = JoinSet::new();
    for case in Case::list() {
        asking.spawn(ask(played.running.callers, case));
    }
    tokio::time::sleep(DISTURBANCE_DELAY).await;
    match disturbance {
        Disturbance::None => {}
        Disturbance::Config => fleet.store.configure(&build_config(3, !is_resumable)),
        Disturbance::Hangup => node.set_settings((*node.settings()).clone()),
        Disturbance::Stop => played.stop().await,
    }
    for (case, answer) in asking.join_all().await {
        assert_eq!((answer.status, answer.complete), (200, true), "{label}, {case:?}: {answer:?}");
        let events = if case.path == STREAM { EVENTS_PER_STREAM } else { 1 };
        assert!(answer.events().into_iter().eq(0..events), "{label}, {case:?}: {answer:?}");
        let runs = pausing.0.lock()[&case.format_id()];
        let is_repeatable = case.path == READ || (case.path == STREAM && is_resumable);
        assert!(runs <= if is_repeatable { 2 } else { 1 }, "{label}, {case:?}: {runs} runs");
    }
}

async fn play_all(disturbance: Disturbance) {
    for (is_resumable, is_cut) in [(true, false), (false, false), (true, true), (false, true)] {
        play(disturbance, is_resumable, is_cut).await;
    }
}

/// Guards against answers that end because their runner pauses.
#[tokio::test]
async fn a_pause_ends_no_answer() {
    play_all(Disturbance::None).await;
}

/// Guards against answers that end because their runner pauses while the configuration changes.
#[tokio::test]
async fn a_pause_beside_a_change_of_the_configuration_ends_no_answer() {
    play_all(Disturbance::Config).await;
}

/// Guards against answers that end because their runner pauses while the settings are read again.
#[tokio::test]
async fn a_pause_beside_a_reload_ends_no_answer() {
    play_all(Disturbance::Hangup).await;
}

/// Guards against answers that end because their runner pauses while the node is stopped.
#[tokio::test]
async fn a_pause_beside_a_stop_ends_no_answer() {
    play_all(Disturbance::Stop).await;
}

/// Guards against a request that is blamed for the end of a runner that had paused under it and gone on.
#[tokio::test]
async fn a_pause_is_not_held_against_the_request_or_the_runner() {
    let pausing = Pausing::default();
    let (fleet, played) = start_fleet(true, false, &pausing).await;
    let case = Case { path: STREAM, before: 3, pause_ms: 1600, is_alone: false };
    let (_, answer) = ask(played.running.callers, case).await;
    assert!(answer.complete, "{answer:?}");
    let node = &played.running.node;
    let now = node.now();
    let heads = fleet.heads();
    for head in &heads {
        let runner = node.roster.lock().get(&head.id().parse().unwrap()).unwrap().clone();
        assert!(node.ledger.lock().is_healthy(&runner, now), "{} is avoided", head.id());
    }
    heads.iter().for_each(|head| head.restart());
    tokio::time::sleep(Millis(1500).duration()).await;
    let blamed: Vec<_> = node.suspects.lock().iter().filter(|row| !row.crashes.is_empty()).cloned().collect();
    assert!(blamed.is_empty(), "{blamed:?}");
}
