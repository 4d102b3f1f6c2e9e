//! Plain requests beside entries as good as a runner's, at addresses where nothing answers.
//!
//! The failure: a request stayed with such a runner for all its time, and what that showed was not kept, so the runner
//! was asked again and again by each node that had started.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::proxy::{self, Answerer};
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request_within;
use cottoncrank_platform_standin::operator::{ONCE, PLAIN, READ, config};
use cottoncrank_platform_standin::runner::Runner;
use tokio::io::{AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// How long callers wait, in milliseconds.
const WAIT_MS: u64 = 1100;

/// How long callers come.
const SPAN: Duration = Duration::from_secs(12);

/// The pause between two requests of a kind at a node.
const PAUSE: Duration = Duration::from_millis(50);

/// A port that drops opening packets takes no connection within this time.
const DROPPED: Duration = Duration::from_millis(300);

/// Later than a runner may be silent under such a request, and in time.
const LATE: Duration = Duration::from_millis(750);

/// What is at the address of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Address {
    /// It takes connections, and answers nothing.
    Silent,
    /// It drops opening packets.
    Dropping,
}

/// A port at which nothing answers, and what waits in its queue.
async fn open_port(address: Address) -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let backlog = if address == Address::Silent { 4096 } else { 1 };
    let (port, mut queued) = (socket.listen(backlog).unwrap(), Vec::new());
    let to = port.local_addr().unwrap();
    while address == Address::Dropping
        && let Ok(connected) = tokio::time::timeout(DROPPED, TcpStream::connect(to)).await
    {
        queued.push(connected.unwrap());
    }
    (port, queued)
}

/// One request: when it was sent, its node, its path, and its status.
struct Call {
    at: Duration,
    path: &'static str,
    status: u16,
}

/// Plays callers of two nodes that have just started, beside runners that answer and entries that do not. Returns
/// what they got, and the logs of the nodes.
async fn play(sound: usize, silent: usize, address: Address) -> (Vec<Call>, String) {
    let fleet = Fleet::unconfigured(1).await;
    let more =
        (2..sound).map(|n| Runner::start(&fleet.store, &format!("p-{n}"), PLAIN, "hall-a", None).unwrap());
    let _more: Vec<Runner> = more.collect();
    let mut ports = Vec::new();
    for number in 0..silent {
        let port = open_port(address).await;
        let mut entry = fleet.plain[0].entry();
        entry["address"] = port.0.local_addr().unwrap().to_string().into();
        fleet.store.put_entry(&format!("h{number}-silent"), entry.to_string().as_bytes());
        ports.push(port);
    }
    fleet.store.configure(&config(1, &[KEY]));
    let mut nodes = Vec::new();
    for number in 7..9 {
        nodes.push(NodeProcess::start(fleet.store.address(), number).await);
    }
    let (began, mut calls) = (Instant::now(), JoinSet::new());
    for turn in 0.. {
        if began.elapsed() > SPAN {
            break;
        }
        for (number, node) in nodes.iter().enumerate() {
            for path in [READ, ONCE] {
                let (to, id) = (node.settings.callers, format!("r{}{number}-{turn}", path.replace('/', "-")));
                let at = began.elapsed();
                calls.spawn(async move {
                    let answer = send_request_within(to, path, &id, KEY, WAIT_MS).await;
                    Call { at, path, status: answer.map_or(0, |answer| answer.status) }
                });
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    let calls = calls.join_all().await;
    let logs = nodes.iter().map(NodeProcess::read_log).collect();
    (calls, logs)
}

/// Returns in which seconds requests for this path got no answer, and how many of each second.
fn count_lost(calls: &[Call], path: &str) -> BTreeMap<u64, usize> {
    let mut lost = BTreeMap::new();
    for call in calls.iter().filter(|call| call.path == path && call.status != 200) {
        *lost.entry(call.at.as_secs()).or_default() += 1;
    }
    lost
}

/// Guards against a runner that is asked as any other, however often it has answered nothing. In the span it is left
/// out for 2.5, 5 and 10 s, so it is asked three times, each time in one second or two.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_answers_nothing_is_asked_again_only_after_it_was_left_out() {
    let (calls, logs) = play(1, 3, Address::Silent).await;
    let lost = count_lost(&calls, ONCE);
    println!("lost in each second: {lost:?}");
    assert!(!lost.is_empty(), "a runner that has just been seen is asked");
    assert!(lost.len() <= 6, "lost in each second: {lost:?}\n{logs}");
}

/// Guards against callers that pay for a runner whose address takes no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_takes_no_connection_costs_idempotent_requests_no_answer() {
    let (calls, logs) = play(3, 1, Address::Dropping).await;
    let lost = count_lost(&calls, READ);
    assert!(lost.is_empty(), "lost in each second: {lost:?}\n{logs}");
}

/// Guards against idempotent requests that stay with a silent runner for all their time, while others are idle.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idempotent_request_whose_runner_is_silent_is_answered_by_another_one_in_time() {
    let (calls, logs) = play(3, 1, Address::Silent).await;
    let lost = count_lost(&calls, READ);
    println!("lost in each second: {lost:?}");
    assert!(lost.is_empty(), "lost in each second: {lost:?}\n{logs}");
    let once = logs.lines().filter(|line| line.contains("refused after") && line.contains("(kind once"));
    let asked_twice: Vec<&str> = once.filter(|line| !line.contains("), 1 asked")).collect();
    assert!(asked_twice.is_empty(), "requests that may run once: {asked_twice:#?}");
}

/// A runner that answers callers late.
#[derive(Clone)]
struct Late {
    runner: SocketAddr,
}

impl Answerer for Late {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        tokio::time::sleep(LATE).await;
        let Ok(mut real) = TcpStream::connect(self.runner).await else { return };
        if real.write_all(request.as_bytes()).await.is_ok() {
            let _ = copy_bidirectional(&mut stream, &mut real).await;
        }
    }
}

/// Guards against answers that are lost as their runners are only late, and against more runs than the route allows.
#[tokio::test]
async fn a_late_runner_is_not_given_up() {
    let fleet = Fleet::serving(1).await;
    for runner in &fleet.plain {
        proxy::put(&fleet, [runner], Late { runner: runner.address() }).await;
    }
    for path in [READ, ONCE] {
        for turn in 0..3 {
            let id = format!("r{}{turn}", path.replace('/', "-"));
            let answer = send_request_within(fleet.nodes[0].callers, path, &id, KEY, WAIT_MS).await.unwrap();
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
            let (runs, most) = (fleet.count_runs(&id), if path == READ { 2 } else { 1 });
            assert!((1..=most).contains(&runs), "{id} ran {runs} times");
        }
    }
}
