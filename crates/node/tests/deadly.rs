//! Requests that crash the runner that executes them.
//!
//! One caller sent such a request to all nodes in turn and crashed 40 runners in 18 s, 16 times more
//! than the three crashes that suffice to recognize it. Nodes kept failures per runner only. A
//! broken connection meant *may have run*, whatever had become of the runner, so the node retried
//! the request on a second runner at once, and the next node knew nothing of it.
//!
//! Log lines of two nodes showed the cause: the request started at `i-abcdf8b403` at 44.505, its run
//! ended with a crash at 44.648, and 3 ms later it started at `i-f617622d67`, which crashed at
//! 44.884. At each crash, 10 to 30 other requests broke off within the same 5 ms.

mod common;

use std::net::SocketAddr;
use std::time::Instant;

use common::{Fleet, KEY, Running};
use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Level;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, DEFAULT_DEADLINE_MS};
use cottoncrank_platform_standin::operator::{PLAIN, READ, STREAM};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Time after the third crash within which all nodes know that the request crashes runners.
const PROPAGATION_BOUND: Millis = Millis(3000);

/// Bound on the runs of the request after that time.
const MAX_LATE_RUNS: usize = 3;

/// The interval at which the caller sends the deadly request.
const SEND_INTERVAL: Millis = Millis(150);

/// How long the caller keeps sending: well beyond the third crash and `PROPAGATION_BOUND`.
const SEND_DURATION: Millis = Millis(10_000);

/// A body that crashes the runner that executes it.
const DEADLY_BODY: &str = "a deadly body";

/// Bound on the time until a crashed runner has started again.
const RESTART_TIME: Millis = Millis(3000);

async fn ask(to: SocketAddr, path: &str, request: String, body: String) -> Answer {
    ask_prompt(to, path, request, body, String::new()).await
}

async fn ask_prompt(to: SocketAddr, path: &str, request: String, body: String, prompt: String) -> Answer {
    let question = CallerRequest {
        path,
        request: &request,
        key: KEY,
        deadline_ms: DEFAULT_DEADLINE_MS,
        body: &body,
        prompt: &prompt,
    };
    question.send(to).await.unwrap()
}

/// Sends the deadly request to all nodes in turn, together with other requests of the same route.
/// Returns the answers to the other requests.
async fn send_mixed(fleet: &Fleet, path: &'static str) -> Vec<Answer> {
    let (mut deadly, mut others) = (JoinSet::new(), JoinSet::new());
    let mut turns = tokio::time::interval(SEND_INTERVAL.duration());
    for turn in 0..SEND_DURATION.0 / SEND_INTERVAL.0 {
        turns.tick().await;
        let node = |number: u64| fleet.nodes[number as usize % fleet.nodes.len()].callers;
        deadly.spawn(ask(node(turn), path, format!("d-{turn}"), DEADLY_BODY.to_owned()));
        others.spawn(ask(node(turn + 1), path, format!("o-{turn}"), format!("usual {turn}")));
    }
    deadly.join_all().await;
    others.join_all().await
}

/// Lists the times at which runners started the deadly request, in order.
fn list_runs(fleet: &Fleet) -> Vec<Instant> {
    let all = fleet.engines.iter().chain(&fleet.plain);
    let runs = all.flat_map(|runner| runner.requests()).filter(|seen| seen.executed && seen.deadly);
    let mut runs: Vec<Instant> = runs.map(|seen| seen.at).collect();
    runs.sort();
    runs
}

async fn check_quarantine(path: &'static str) {
    let fleet = Fleet::serving(3).await;
    let others = send_mixed(&fleet, path).await;
    let runs = list_runs(&fleet);
    assert!(runs.len() >= 3, "three crashes are needed to recognize it: {}", runs.len());
    let late = runs.iter().filter(|run| **run > runs[2] + PROPAGATION_BOUND.duration()).count();
    let crashes: usize = fleet.engines.iter().chain(&fleet.plain).map(|runner| runner.crashes()).sum();
    assert!(late <= MAX_LATE_RUNS, "{} runs, {late} of them late, {crashes} runners crashed", runs.len());
    let refused = others.iter().filter(|answer| (400..500).contains(&answer.status));
    assert_eq!(refused.count(), 0, "a harmless request is treated as deadly");
    let served = others.iter().filter(|answer| answer.status == 200 && answer.complete).count();
    assert!(served >= others.len() / 2, "{served} of {} other requests are served", others.len());
}

/// Sends the deadly request until three runners have crashed and it is refused permanently.
async fn crash_three(fleet: &Fleet, path: &'static str) -> Answer {
    for turn in 0..100 {
        let node = fleet.nodes[turn % fleet.nodes.len()].callers;
        let answer = ask(node, path, format!("d-{turn}"), DEADLY_BODY.to_owned()).await;
        if answer.status == 400 {
            return answer;
        }
        tokio::time::sleep(SEND_INTERVAL.duration()).await;
    }
    let rows: Vec<_> = fleet.nodes[0].node.suspects.lock().iter().cloned().collect();
    panic!("the request is never refused permanently: {rows:?}");
}

fn count_deadly(fleet: &Fleet, node: usize) -> usize {
    let table = fleet.nodes[node].node.suspects.lock();
    table.iter().filter(|row| matches!(table.level(&row.fingerprint), Level::Deadly(_))).count()
}

#[tokio::test]
async fn only_the_caller_of_a_deadly_request_is_told_not_to_retry() {
    let fleet = Fleet::serving(2).await;
    let answer = crash_three(&fleet, STREAM).await;
    assert!(answer.body.contains("no use to send it again"), "{answer:?}");
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(list_runs(&fleet).len(), 3);
    fleet
        .wait("all nodes know the deadly request", |fleet| (0..2).all(|node| count_deadly(fleet, node) == 1))
        .await;
    fleet.wait("two groups serve", |fleet| fleet.all_know(2)).await;
    for (number, running) in fleet.nodes.iter().enumerate() {
        let again = ask(running.callers, STREAM, format!("again-{number}"), DEADLY_BODY.to_owned()).await;
        assert_eq!(again.status, 400, "{again:?}");
        let other = ask(running.callers, STREAM, format!("other-{number}"), "a usual body".to_owned()).await;
        assert_eq!((other.status, other.complete), (200, true), "{other:?}");
    }
    assert_eq!(list_runs(&fleet).len(), 3);
}

#[tokio::test]
async fn deadly_requests_stay_in_the_store_when_all_nodes_are_gone_until_operators_remove_them() {
    let mut fleet = Fleet::serving(2).await;
    crash_three(&fleet, READ).await;
    let key = format!(
        "cottoncrank/suspects/{}",
        fleet.nodes[0].node.suspects.lock().iter().next().unwrap().fingerprint
    );
    let is_stored = |fleet: &Fleet| {
        let lacks = |node: usize| !fleet.nodes[node].node.suspects.lock().list_unstored().is_empty();
        !fleet.store.list(&key).is_empty() && !lacks(0) && !lacks(1)
    };
    fleet.wait("the store holds all known suspects", is_stored).await;
    for running in fleet.nodes.drain(..) {
        drop(running.tasks);
    }
    fleet.add_node().await;
    fleet.wait("the new node knows the deadly request", |fleet| count_deadly(fleet, 0) == 1).await;
    assert_eq!(ask(fleet.nodes[0].callers, READ, "new".to_owned(), DEADLY_BODY.to_owned()).await.status, 400);
    fleet.store.remove(&key);
    fleet.wait("the new node has dropped the deadly request", |fleet| count_deadly(fleet, 0) == 0).await;
    let before = list_runs(&fleet).len();
    crash_three(&fleet, READ).await;
    assert_eq!(list_runs(&fleet).len(), before + 3, "three new crashes are needed");
}

#[tokio::test]
async fn nodes_exchange_suspects_while_the_store_is_unreachable() {
    let fleet = Fleet::serving(3).await;
    for turn in 0..20 {
        if list_runs(&fleet).len() >= 2 {
            break;
        }
        ask(fleet.nodes[turn % 3].callers, READ, format!("d-{turn}"), DEADLY_BODY.to_owned()).await;
        tokio::time::sleep(SEND_INTERVAL.duration()).await;
    }
    // Waits until both runners have been back long enough to count as healthy.
    let all_healthy = |fleet: &Fleet| {
        let count_healthy = |running: &Running| {
            let (roster, ledger) = (running.node.roster.lock(), running.node.ledger.lock());
            let plain = roster.list_plain(&PLAIN.parse().unwrap());
            plain.iter().filter(|runner| ledger.is_healthy(runner, running.node.now())).count()
        };
        fleet.nodes.iter().all(|running| count_healthy(running) == 2)
    };
    fleet.wait("both runners are healthy", all_healthy).await;
    fleet.store.set_fault(store::Fault::Busy);
    crash_three(&fleet, READ).await;
    fleet
        .wait("all nodes know the deadly request", |fleet| (0..3).all(|node| count_deadly(fleet, node) == 1))
        .await;
    fleet.store.set_fault(store::Fault::None);
    fleet
        .wait("the store holds the suspect", |fleet| !fleet.store.list("cottoncrank/suspects/").is_empty())
        .await;
}

#[tokio::test]
async fn requests_in_flight_at_a_crash_are_cleared_when_they_complete() {
    let fleet = Fleet::serving(2).await;
    for engine in &fleet.engines {
        engine.set_event_interval(Millis(60));
    }
    let mut others = JoinSet::new();
    for number in 0..6 {
        let node = fleet.nodes[number % 2].callers;
        others.spawn(ask(node, STREAM, format!("o-{number}"), format!("usual {number}")));
    }
    let all_started = |fleet: &Fleet| (0..6).all(|number| fleet.count_runs(&format!("o-{number}")) > 0);
    fleet.wait("all requests run", all_started).await;
    fleet.heads()[0].crash();
    for answer in others.join_all().await {
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    let all_cleared = |fleet: &Fleet| {
        let tables: Vec<_> = fleet.nodes.iter().map(|running| running.node.suspects.lock()).collect();
        let mut rows = tables.iter().flat_map(|table| table.iter()).peekable();
        rows.peek().is_some() && rows.all(|row| row.cleared)
    };
    fleet.wait("the requests in flight at the crash are cleared", all_cleared).await;
}

#[tokio::test]
async fn a_stream_that_crashes_runners_is_quarantined_at_every_node() {
    check_quarantine(STREAM).await;
}

#[tokio::test]
async fn a_plain_request_that_crashes_runners_is_quarantined_at_every_node() {
    check_quarantine(READ).await;
}

/// Relays connections to a runner, and keeps a connection open if the runner does not accept it,
/// so that callers of the relay do not see the crash.
async fn start_relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(mut runner) = TcpStream::connect(to).await else {
                    return std::future::pending().await;
                };
                // An error on either side closes both.
                let _ = tokio::io::copy_bidirectional(&mut caller, &mut runner).await;
            });
        }
    });
    address
}

/// Lets a fleet of one node reach its runners through relays that hide their ends.
async fn hide_ends(fleet: &Fleet) {
    let runners = || fleet.engines.iter().chain(&fleet.plain);
    for runner in runners() {
        runner.advertise(start_relay(runner.address()).await);
    }
    let knows = |fleet: &Fleet, runner: &Runner| {
        let roster = fleet.nodes[0].node.roster.lock();
        let known = roster.get(&runner.id().parse().unwrap());
        known.is_some_and(|known| runner.entry()["address"] == known.address.to_string())
    };
    fleet.wait("the node knows the relays", |fleet| runners().all(|runner| knows(fleet, runner))).await;
}

/// A suspected request broke off at a runner whose end did not show at once. It was sent to a second runner
/// then, which ended as well, and ran a seventh time in the soak.
#[tokio::test]
async fn a_suspected_request_is_not_sent_again_before_the_end_of_its_runner_is_known() {
    let fleet = Fleet::serving(1).await;
    let callers = fleet.nodes[0].callers;
    ask(callers, STREAM, "d-0".to_owned(), DEADLY_BODY.to_owned()).await;
    let before = list_runs(&fleet).len();
    assert!((1..=2).contains(&before), "it is suspected after {before} runs, and not deadly");
    // The runners that ended start again, and groups are formed anew.
    tokio::time::sleep(RESTART_TIME.duration()).await;
    hide_ends(&fleet).await;
    fleet.wait("two groups serve", |fleet| fleet.all_know(2) && fleet.heads().len() == 2).await;
    ask(callers, STREAM, "d-1".to_owned(), DEADLY_BODY.to_owned()).await;
    assert_eq!(list_runs(&fleet).len(), before + 1);
}

#[tokio::test]
async fn a_crash_that_is_not_visible_at_once_counts_when_the_runner_is_back() {
    let fleet = Fleet::serving(1).await;
    hide_ends(&fleet).await;
    let node = &fleet.nodes[0].node;
    // The store is silent, so the node sees no entry of the next incarnation.
    fleet.store.set_fault(store::Fault::Silent);
    ask(fleet.nodes[0].callers, READ, "d-0".to_owned(), DEADLY_BODY.to_owned()).await;
    assert!(!list_runs(&fleet).is_empty());
    fleet.wait("the crash is known", |_| node.suspects.lock().iter().count() == 1).await;
}
