//! A node that is stopped while its process does not get the processor.
//!
//! The failure: at the end of the time in which a stopping node still accepts requests, it closed its port with the
//! connections that waited at it, and kept connections with requests that it had not noticed.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_node::front::DRAIN_NOTICE;
use cottoncrank_platform_standin::caller::{Connection, send_request};
use cottoncrank_platform_standin::operator::{ONCE, READ, config};
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long before the port closes the process stops running, and how long after it it runs again.
const BEFORE: Duration = Duration::from_millis(800);
const AFTER: Duration = Duration::from_millis(100);

/// A request whose connection ends without an answer later than this after it was sent counts as lost.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// The requests sent while the process does not run.
const REQUESTS: usize = 40;

async fn start_node() -> (Fleet, NodeProcess) {
    let fleet = Fleet::unconfigured(1).await;
    fleet.store.configure(&config(1, &[KEY]));
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    (fleet, node)
}

fn path(number: usize) -> &'static str {
    if number.is_multiple_of(2) { READ } else { ONCE }
}

/// Stops a node, with its process not running when its port is due to close. The requests of `send` are sent
/// meanwhile. Returns how many of them were lost, and how many answered.
async fn stop_paused(
    node: &mut NodeProcess,
    send: impl FnOnce(&mut JoinSet<(u16, Duration)>),
) -> (usize, usize) {
    let mut asking = JoinSet::new();
    node.signal(Signal::TERM);
    tokio::time::sleep(DRAIN_NOTICE.duration() - BEFORE).await;
    node.signal(Signal::STOP);
    send(&mut asking);
    tokio::time::sleep(BEFORE + AFTER).await;
    node.signal(Signal::CONT);
    let ended = asking.join_all().await;
    let lost = ended.iter().filter(|(status, lasted)| *status == 0 && *lasted > LOSS_SLACK).count();
    let answered = ended.iter().filter(|(status, _)| *status != 0).count();
    (lost, answered)
}

async fn ask_anew(to: SocketAddr, number: usize) -> (u16, Duration) {
    let sent = Instant::now();
    let answer = send_request(to, path(number), &format!("r-{number}"), KEY).await;
    (answer.map_or(0, |answer| answer.status), sent.elapsed())
}

async fn ask_again(mut connection: Connection, number: usize) -> (u16, Duration) {
    let sent = Instant::now();
    let answer = connection.send_request(path(number), &format!("s-{number}"), KEY).await;
    (answer.status, sent.elapsed())
}

/// Guards against requests that are lost with the port at which their connections wait.
#[tokio::test]
async fn a_node_that_is_stopped_answers_requests_on_connections_that_wait_at_its_port() {
    let (_fleet, mut node) = start_node().await;
    let callers = node.settings.callers;
    let (lost, answered) = stop_paused(&mut node, |asking| {
        for number in 0..REQUESTS {
            asking.spawn(ask_anew(callers, number));
        }
    })
    .await;
    assert_eq!((lost, answered), (0, REQUESTS), "{}", node.read_log());
    assert!(node.wait_end().await.success());
}

/// Guards against requests that are lost as their kept connections are closed before they are read.
#[tokio::test]
async fn a_node_that_is_stopped_answers_requests_that_wait_on_kept_connections() {
    let (_fleet, mut node) = start_node().await;
    let mut kept = Vec::new();
    for number in 0..REQUESTS {
        let mut connection = Connection::open(node.settings.callers).await.unwrap();
        assert_eq!(connection.send_request(path(number), &format!("r-{number}"), KEY).await.status, 200);
        kept.push(connection);
    }
    let (lost, answered) = stop_paused(&mut node, |asking| {
        for (number, connection) in kept.into_iter().enumerate() {
            asking.spawn(ask_again(connection, number));
        }
    })
    .await;
    assert_eq!((lost, answered), (0, REQUESTS), "{}", node.read_log());
    assert!(node.wait_end().await.success());
}

/// Guards against stops that wait for the rest of a head, which may never come.
#[tokio::test]
async fn a_node_that_is_stopped_does_not_wait_for_the_rest_of_a_head() {
    let (_fleet, mut node) = start_node().await;
    let mut stream = TcpStream::connect(node.settings.callers).await.unwrap();
    stream.write_all(b"POST /read/x HTTP/1.1\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let began = Instant::now();
    node.signal(Signal::TERM);
    assert!(node.wait_end().await.success());
    assert!(began.elapsed() < DRAIN_NOTICE.duration() + Duration::from_secs(1), "{}", node.read_log());
}
