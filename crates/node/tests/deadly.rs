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

use common::{Fleet, KEY, Running};
use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Level;
use cottoncrank_platform_standin::caller::{Answer, Question, WAIT_MS};
use cottoncrank_platform_standin::operator::{PLAIN, READ, STREAM};
use cottoncrank_platform_standin::store;
use tokio::net::{TcpListener, TcpStream};
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

/// Sends the deadly request until three runners have ended under it and it is refused for good.
async fn end_three(fleet: &Fleet, path: &'static str) -> Answer {
    for turn in 0..100 {
        let node = fleet.nodes[turn % fleet.nodes.len()].callers;
        let answer = ask(node, path, format!("d-{turn}"), BODY.to_owned()).await;
        if answer.status == 400 {
            return answer;
        }
        tokio::time::sleep(PAUSE.duration()).await;
    }
    let rows: Vec<_> = fleet.nodes[0].node.suspects.lock().iter().cloned().collect();
    panic!("it is never refused for good: {rows:?}");
}

fn count_deadly(fleet: &Fleet, node: usize) -> usize {
    let table = fleet.nodes[node].node.suspects.lock();
    table.iter().filter(|row| matches!(table.level(&row.fingerprint), Level::Deadly(_))).count()
}

#[tokio::test]
async fn its_caller_is_told_not_to_come_again_and_nobody_else_is() {
    let fleet = Fleet::serving(2).await;
    let answer = end_three(&fleet, STREAM).await;
    assert!(answer.body.contains("no use to send it again"), "{answer:?}");
    assert_eq!(answer.header("retry-after"), None);
    assert_eq!(list_runs(&fleet).len(), 3);
    fleet.wait("all nodes know", |fleet| (0..2).all(|node| count_deadly(fleet, node) == 1)).await;
    fleet.wait("two groups serve", |fleet| fleet.all_know(2)).await;
    for (number, running) in fleet.nodes.iter().enumerate() {
        let again = ask(running.callers, STREAM, format!("again-{number}"), BODY.to_owned()).await;
        assert_eq!(again.status, 400, "{again:?}");
        let other = ask(running.callers, STREAM, format!("other-{number}"), "a usual body".to_owned()).await;
        assert_eq!((other.status, other.whole), (200, true), "{other:?}");
    }
    assert_eq!(list_runs(&fleet).len(), 3);
}

#[tokio::test]
async fn what_is_known_outlasts_all_nodes_in_the_store_until_operators_remove_it() {
    let mut fleet = Fleet::serving(2).await;
    end_three(&fleet, READ).await;
    let key = format!(
        "cottoncrank/suspects/{}",
        fleet.nodes[0].node.suspects.lock().iter().next().unwrap().fingerprint
    );
    let is_stored = |fleet: &Fleet| {
        let lacks = |node: usize| !fleet.nodes[node].node.suspects.lock().list_unstored().is_empty();
        !fleet.store.list(&key).is_empty() && !lacks(0) && !lacks(1)
    };
    fleet.wait("the store holds all that is known", is_stored).await;
    for running in fleet.nodes.drain(..) {
        drop(running.tasks);
    }
    fleet.add_node().await;
    fleet.wait("the new node knows it", |fleet| count_deadly(fleet, 0) == 1).await;
    assert_eq!(ask(fleet.nodes[0].callers, READ, "new".to_owned(), BODY.to_owned()).await.status, 400);
    fleet.store.remove(&key);
    fleet.wait("the new node has forgotten it", |fleet| count_deadly(fleet, 0) == 0).await;
    let before = list_runs(&fleet).len();
    end_three(&fleet, READ).await;
    assert_eq!(list_runs(&fleet).len(), before + 3, "three new ends are needed");
}

#[tokio::test]
async fn nodes_tell_each_other_while_the_store_is_away() {
    let fleet = Fleet::serving(3).await;
    for turn in 0..20 {
        if list_runs(&fleet).len() >= 2 {
            break;
        }
        ask(fleet.nodes[turn % 3].callers, READ, format!("d-{turn}"), BODY.to_owned()).await;
        tokio::time::sleep(PAUSE.duration()).await;
    }
    // Both runners are back for long enough to be used like any other.
    let is_sound = |fleet: &Fleet| {
        let sound = |running: &Running| {
            let (roster, ledger) = (running.node.roster.lock(), running.node.ledger.lock());
            let plain = roster.list_plain(&PLAIN.parse().unwrap());
            plain.iter().filter(|runner| ledger.is_healthy(runner, running.node.now())).count()
        };
        fleet.nodes.iter().all(|running| sound(running) == 2)
    };
    fleet.wait("both runners can be used", is_sound).await;
    fleet.store.set_fault(store::Fault::Busy);
    end_three(&fleet, READ).await;
    fleet.wait("all nodes know", |fleet| (0..3).all(|node| count_deadly(fleet, node) == 1)).await;
    fleet.store.set_fault(store::Fault::None);
    fleet.wait("the store holds it", |fleet| !fleet.store.list("cottoncrank/suspects/").is_empty()).await;
}

#[tokio::test]
async fn requests_that_were_only_there_are_cleared_when_they_run_to_their_end() {
    let fleet = Fleet::serving(2).await;
    for engine in &fleet.engines {
        engine.set_pace(Millis(60));
    }
    let mut others = JoinSet::new();
    for number in 0..6 {
        let node = fleet.nodes[number % 2].callers;
        others.spawn(ask(node, STREAM, format!("o-{number}"), format!("usual {number}")));
    }
    let ran = |fleet: &Fleet| (0..6).all(|number| fleet.count_runs(&format!("o-{number}")) > 0);
    fleet.wait("all run", ran).await;
    fleet.heads()[0].crash();
    for answer in others.join_all().await {
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    }
    let all_cleared = |fleet: &Fleet| {
        let tables: Vec<_> = fleet.nodes.iter().map(|running| running.node.suspects.lock()).collect();
        let mut rows = tables.iter().flat_map(|table| table.iter()).peekable();
        rows.peek().is_some() && rows.all(|row| row.cleared)
    };
    fleet.wait("those that were in flight at the runner that ended are cleared", all_cleared).await;
}

#[tokio::test]
async fn a_stream_that_ends_runners_is_held_back_at_every_node() {
    check(STREAM).await;
}

#[tokio::test]
async fn a_plain_request_that_ends_runners_is_held_back_at_every_node() {
    check(READ).await;
}

/// Passes connections on to a runner, and holds those open that it does not take: its end does
/// not show there.
async fn relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(mut runner) = TcpStream::connect(to).await else {
                    return std::future::pending().await;
                };
                // Either side may break off, and that ends both.
                let _ = tokio::io::copy_bidirectional(&mut caller, &mut runner).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn an_end_that_does_not_show_at_once_counts_once_the_runner_is_back() {
    let fleet = Fleet::serving(1).await;
    for runner in &fleet.plain {
        runner.advertise(relay(runner.address()).await);
    }
    let node = &fleet.nodes[0].node;
    let listed = |fleet: &Fleet| {
        let addresses: Vec<_> = fleet.plain.iter().map(|runner| runner.entry()["address"].clone()).collect();
        let roster = fleet.nodes[0].node.roster.lock();
        let plain = roster.list_plain(&PLAIN.parse().unwrap());
        plain.iter().all(|runner| addresses.contains(&runner.address.to_string().into()))
    };
    fleet.wait("the node knows the way", listed).await;
    // No entry tells of the next life.
    fleet.store.set_fault(store::Fault::Silent);
    ask(fleet.nodes[0].callers, READ, "d-0".to_owned(), BODY.to_owned()).await;
    assert!(!list_runs(&fleet).is_empty());
    fleet.wait("the end is known", |_| node.suspects.lock().iter().count() == 1).await;
}
