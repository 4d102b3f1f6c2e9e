//! Parts of prompts that crash the runner that executes a request with them, whatever else it holds.
//!
//! Each such request was new to all nodes, because a fingerprint is of the whole body, so 33 of them were
//! sent to runners after the fifth crash, and 47 runners ended.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Level;
use cottoncrank_fleet::fingerprint::Fingerprint;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, DEFAULT_DEADLINE_MS};
use cottoncrank_platform_standin::operator::{ENGINES, STREAM};
use tokio::task::JoinSet;

/// The time after the fifth crash within which all nodes know that a part crashes runners.
const CONTACT_TIME: Millis = Millis(3000);

/// The number of crashes after which a part is to be known.
const KNOWN_CRASHES: usize = 5;

/// How many requests with the part may reach runners after that time.
const MAX_LATE_RUNS: usize = 3;

/// The interval at which requests with the part are sent, and sound ones beside them.
const SEND_INTERVAL: Millis = Millis(150);

/// How long they are sent.
const SEND_DURATION: Millis = Millis(20_000);

/// The shared parts of nine of ten tokens of a prompt.
const NINE_PARTS: &str = "a1:90,a2:90,a3:90,a4:90,a5:90,a6:90,a7:90,a8:90,a9:90";

/// A request and when it was sent.
struct Sent {
    at: Instant,
    answer: Answer,
}

async fn ask(to: SocketAddr, request: String, body: String, prompt: String) -> Sent {
    let at = Instant::now();
    let caller = CallerRequest {
        path: STREAM,
        request: &request,
        key: KEY,
        deadline_ms: DEFAULT_DEADLINE_MS,
        body: &body,
        prompt: &prompt,
    };
    Sent { at, answer: caller.send(to).await.unwrap() }
}

/// The answers to requests with a part that crashes runners, and to sound ones with the same other parts.
struct Outcome {
    deadly: Vec<Sent>,
    sound: Vec<Sent>,
    /// When runners began to execute the former, in order.
    runs: Vec<Instant>,
}

/// Sends requests to all nodes in turn, no two alike: in turn with each of the parts in `bad`, and as many
/// sound ones. `shared` are the other parts of both.
async fn send_mixed(fleet: &Fleet, shared: &str, bad: &[&str]) -> Outcome {
    let (mut deadly, mut sound) = (JoinSet::new(), JoinSet::new());
    let mut turns = tokio::time::interval(SEND_INTERVAL.duration());
    for turn in 0..SEND_DURATION.0 / SEND_INTERVAL.0 {
        turns.tick().await;
        let node = |number: u64| fleet.nodes[number as usize % fleet.nodes.len()].callers;
        let part = bad[turn as usize % bad.len()];
        let prompt = format!("{shared},{part}:100,d{turn:04}:20");
        deadly.spawn(ask(node(turn), format!("d-{turn}"), format!("deadly {turn}"), prompt));
        let prompt = format!("{shared},c{turn:04}:20");
        sound.spawn(ask(node(turn + 1), format!("o-{turn}"), format!("usual {turn}"), prompt));
    }
    let (deadly, sound) = (deadly.join_all().await, sound.join_all().await);
    let runs = fleet.engines.iter().flat_map(|runner| runner.requests());
    let mut runs: Vec<Instant> =
        runs.filter(|seen| seen.executed && seen.deadly).map(|seen| seen.at).collect();
    runs.sort();
    Outcome { deadly, sound, runs }
}

/// Checks that parts that crash runners are refused in time, and sound requests beside them are served.
async fn check_parts(shared: &str, bad: &[&str]) {
    let fleet = Fleet::serving(3).await;
    let Outcome { deadly, mut sound, runs } = send_mixed(&fleet, shared, bad).await;
    let known = KNOWN_CRASHES * bad.len();
    assert!(runs.len() >= 3 * bad.len(), "{} runs", runs.len());
    if let Some(last) = runs.get(known - 1) {
        let late = runs.iter().filter(|run| **run > *last + CONTACT_TIME.duration()).count();
        assert!(late <= MAX_LATE_RUNS * bad.len(), "{} runs, {late} of them late", runs.len());
    }
    let refused = deadly.iter().filter(|sent| sent.answer.status == 400).count();
    assert!(refused > 0, "no request with the part is refused for good");
    let wronged = sound.iter().filter(|sent| (400..500).contains(&sent.answer.status)).count();
    assert_eq!(wronged, 0, "sound requests are treated as deadly");
    let settled = runs[runs.len().min(known) - 1] + 2 * CONTACT_TIME.duration();
    sound.retain(|sent| sent.at > settled);
    let served = sound.iter().filter(|sent| sent.answer.status == 200 && sent.answer.complete).count();
    assert!(sound.len() >= 20, "only {} sound requests came later", sound.len());
    assert!(served * 2 >= sound.len(), "{served} of {} later sound requests are served", sound.len());
}

#[tokio::test]
async fn a_prompt_part_that_crashes_runners_is_refused_whatever_else_the_request_holds() {
    check_parts("a1:40", &["bad0"]).await;
}

#[tokio::test]
async fn sound_prompts_that_share_nine_parts_of_ten_with_deadly_ones_are_served() {
    check_parts(NINE_PARTS, &["bad0"]).await;
}

#[tokio::test]
async fn two_prompt_parts_that_crash_runners_are_both_refused() {
    check_parts("a1:40", &["bad0", "bad1"]).await;
}

/// Sends a request with the part `bad0` that no other equals.
async fn ask_deadly(fleet: &Fleet, node: usize, number: usize) -> Answer {
    ask_with(fleet, node, number, "bad0").await
}

async fn ask_with(fleet: &Fleet, node: usize, number: usize, part: &str) -> Answer {
    let prompt = format!("a1:40,{part}:100,{number:04}:20");
    let callers = fleet.nodes[node].callers;
    ask(callers, format!("d-{number}"), format!("deadly {number}"), prompt).await.answer
}

/// Sends requests with the part until so many runners have crashed.
async fn crash_runners(fleet: &Fleet, part: &str, total: usize, number: &mut usize) {
    let count = || fleet.engines.iter().map(|runner| runner.crashes()).sum::<usize>();
    let end = *number + 100;
    while count() < total {
        assert!(*number < end, "requests with {part} do not run");
        ask_with(fleet, *number % 2, *number, part).await;
        *number += 1;
        tokio::time::sleep(SEND_INTERVAL.duration()).await;
    }
}

/// The part is in flight at more crashes than either deadly one, and no run could clear it meanwhile.
#[tokio::test]
async fn a_sound_part_that_only_deadly_requests_held_is_served_and_these_are_refused() {
    let fleet = Fleet::serving(2).await;
    let mut number = 0;
    crash_runners(&fleet, "bad0", 3, &mut number).await;
    let crashes = fleet.engines.iter().map(|runner| runner.crashes()).sum::<usize>();
    crash_runners(&fleet, "bad1", crashes + 1, &mut number).await;
    let begin = Instant::now();
    loop {
        let (callers, request) = (fleet.nodes[number % 2].callers, format!("o-{number}"));
        let answer = ask(callers, request, "usual".to_owned(), format!("a1:40,{number:04}:20")).await.answer;
        assert!(!(400..500).contains(&answer.status), "a sound request is treated as deadly: {answer:?}");
        if answer.status == 200 && answer.complete {
            break;
        }
        assert!(begin.elapsed() < 4 * CONTACT_TIME.duration(), "no sound request is served");
        number += 1;
        tokio::time::sleep(SEND_INTERVAL.duration()).await;
    }
    for part in ["bad0", "bad1"] {
        let end = number + 100;
        while ask_with(&fleet, number % 2, number, part).await.status != 400 {
            number += 1;
            assert!(number < end, "{part} is never refused permanently");
            tokio::time::sleep(SEND_INTERVAL.duration()).await;
        }
    }
}

/// The fingerprint of the part that crashes runners.
fn deadly_part() -> Fingerprint {
    Fingerprint::of_part(&ENGINES.parse().unwrap(), &"bad0".parse().unwrap())
}

/// Whether a node knows that the part crashes runners.
fn knows_part(fleet: &Fleet, node: usize) -> bool {
    matches!(fleet.nodes[node].node.suspects.lock().level(&deadly_part()), Level::Deadly(_))
}

#[tokio::test]
async fn a_deadly_part_outlasts_all_nodes_until_operators_remove_it() {
    let mut fleet = Fleet::serving(2).await;
    let mut number = 0;
    while ask_deadly(&fleet, number % 2, number).await.status != 400 {
        number += 1;
        assert!(number < 100, "the part is never refused permanently");
        tokio::time::sleep(SEND_INTERVAL.duration()).await;
    }
    let key = format!("cottoncrank/suspects/{}", deadly_part());
    let is_stored = |fleet: &Fleet| {
        let lacks = |node: usize| !fleet.nodes[node].node.suspects.lock().list_unstored().is_empty();
        !fleet.store.list(&key).is_empty() && !lacks(0) && !lacks(1)
    };
    fleet.wait("the store holds all known suspects", is_stored).await;
    for running in fleet.nodes.drain(..) {
        drop(running.tasks);
    }
    fleet.add_node().await;
    fleet.wait("the new node knows the part", |fleet| knows_part(fleet, 0)).await;
    assert_eq!(ask_deadly(&fleet, 0, 1000).await.status, 400);
    fleet.wait("two groups serve", |fleet| fleet.all_know(2)).await;
    let sound =
        ask(fleet.nodes[0].callers, "o-1".to_owned(), "usual".to_owned(), "a1:40,c1:20".to_owned()).await;
    assert_eq!((sound.answer.status, sound.answer.complete), (200, true), "{:?}", sound.answer);
    fleet.store.remove(&key);
    fleet.wait("the new node has dropped the part", |fleet| !knows_part(fleet, 0)).await;
    assert_ne!(ask_deadly(&fleet, 0, 1001).await.status, 400, "operators let it run again");
}
