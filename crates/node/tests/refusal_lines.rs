//! What the line of a refused request says of what it waited for.
//!
//! The failure: of requests that got no answer in all their time, nothing told whether they were queued, or which
//! runner was asked and what it did not do.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_node::trace::{Phase, Trace};
use cottoncrank_platform_standin::caller::send_request_within;
use cottoncrank_platform_standin::operator::{READ, config};
use cottoncrank_platform_standin::runner::Fault;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A port that drops opening packets takes no connection within this time.
const DROPPED: Duration = Duration::from_millis(300);

/// Starts a node as a process that knows the configuration and the runners of a fleet.
async fn start(fleet: &Fleet) -> NodeProcess {
    fleet.store.configure(&config(1, &[KEY]));
    NodeProcess::start(fleet.store.address(), 7).await
}

/// Sends a request that is refused, and returns its line from `refused` on.
async fn read_line(node: &NodeProcess, request: &str, deadline_ms: u64) -> String {
    let answer = send_request_within(node.settings.callers, READ, request, KEY, deadline_ms).await.unwrap();
    assert_ne!(answer.status, 200, "{answer:?}");
    let begin = format!("request {request}: refused after ");
    for _ in 0..100 {
        let log = node.read_log();
        if let Some((_, rest)) = log.split_once(&begin) {
            let line = rest.lines().next().unwrap_or_default();
            assert!(line.contains(" (kind idempotent, config 1, proof of the store "), "{line}");
            return line.to_owned();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no line of {request}:\n{}", node.read_log());
}

/// Returns the time that the line says the request waited last, and for what.
fn parse_wait(line: &str) -> Option<(u64, &str)> {
    let (before, what) = line.rsplit_once("ms waiting for ")?;
    Some((before.rsplit_once(' ')?.1.parse().ok()?, what))
}

#[test]
fn the_course_of_a_request_names_its_admission_and_then_only_its_latest_try() {
    let format = |trace: &Trace, at: u64| trace.position().format_at(Millis(at)).to_string();
    let trace = Trace::begin(Millis(10));
    assert_eq!(format(&trace, 100), ", none asked, 90ms waiting for admission");
    let (first, second) = ("p-0".parse().unwrap(), "p-1".parse().unwrap());
    trace.record_ask(&first, Millis(20));
    trace.record_ask(&second, Millis(30));
    trace.record_phase(&first, Phase::Rest, Millis(40));
    assert_eq!(format(&trace, 100), ", 2 asked, the last p-1, 70ms waiting for a connection");
    trace.record_phase(&second, Phase::Inquiry, Millis(50));
    assert_eq!(format(&trace, 100), ", 2 asked, the last p-1, 50ms waiting for what became of it");
}

#[tokio::test]
async fn the_line_of_a_refused_request_says_that_no_runner_was_asked() {
    let fleet = Fleet::unconfigured(1).await;
    fleet.plain.iter().for_each(|runner| runner.expire_entry());
    let node = start(&fleet).await;
    let line = read_line(&node, "r", 300).await;
    assert!(line.contains("no runner can take it at present") && line.contains("), none asked, "), "{line}");
    assert_eq!(parse_wait(&line).map(|(_, what)| what), Some("a runner"), "{line}");
}

#[tokio::test]
async fn the_line_of_a_refused_request_names_the_runner_that_took_it_and_did_not_answer() {
    let fleet = Fleet::unconfigured(1).await;
    fleet.plain.iter().for_each(|runner| runner.set_fault(Fault::NoAnswer));
    let node = start(&fleet).await;
    let line = read_line(&node, "r", 500).await;
    let asked = fleet.plain.iter().find(|runner| !runner.requests().is_empty()).unwrap();
    assert!(line.contains("the time it had is over"), "{line}");
    assert!(line.contains(" asked, the last p-"), "{line}");
    assert!(line.contains(asked.id()), "{line}");
    let (waited, what) = parse_wait(&line).unwrap();
    assert_eq!(what, "the begin of its answer", "{line}");
    assert!((100..=510).contains(&waited), "{line}");
}

/// Opens a port where opening packets are dropped, as its queue is full. Returns it with what fills the queue.
async fn open_dropping_port() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let port = socket.listen(1).unwrap();
    let mut queued = Vec::new();
    let to = port.local_addr().unwrap();
    while let Ok(connected) = tokio::time::timeout(DROPPED, TcpStream::connect(to)).await {
        queued.push(connected.unwrap());
    }
    (port, queued)
}

#[tokio::test]
async fn the_line_of_a_refused_request_names_the_runner_that_took_no_connection() {
    let fleet = Fleet::unconfigured(1).await;
    let (port, _queued) = open_dropping_port().await;
    fleet.plain.iter().for_each(|runner| runner.advertise(port.local_addr().unwrap()));
    let node = start(&fleet).await;
    let line = read_line(&node, "r", 50).await;
    assert!(line.contains("the time it had is over"), "{line}");
    assert!(line.contains("), 1 asked, the last p-"), "{line}");
    let (waited, what) = parse_wait(&line).unwrap();
    assert_eq!(what, "a connection", "{line}");
    assert!((20..=60).contains(&waited), "{line}");
}
