//! A node that is stopped while its callers are still reading.
//!
//! The failure: a node counted a request as done once its answer had been made, and ended while callers
//! were reading the answer.

mod common;

use std::time::{Duration, Instant};

use common::proxy::{self, Answerer};
use common::{Fleet, KEY, Killable};
use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, parse_answer};
use cottoncrank_platform_standin::operator::{ONCE, STREAM};
use cottoncrank_platform_standin::raw;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The bytes of an answer: more than the kernel takes for a caller that reads slowly.
const ANSWER_BYTES: usize = 2_000_000;

/// The events of an answer that is a stream.
const EVENTS: usize = 100;

/// How fast callers read, so that an answer takes some 5 s: longer than a node that stops accepts requests,
/// and shorter than its grace period.
const READ_BYTES: usize = 20_000;
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// The receive buffer and the segments of a caller, in bytes.
const RECEIVE_BUFFER: u32 = 8192;
const SEGMENT: u32 = 1448;

/// A runner whose answers are large.
#[derive(Clone)]
struct Large;

impl Answerer for Large {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let data = "x".repeat(ANSWER_BYTES / EVENTS);
        let events = (0..EVENTS).map(|event| raw::format_chunk(&format!("id: {event}\ndata: {data}\n\n")));
        let message = raw::format_chunked_head(&id) + &events.collect::<String>() + &raw::format_chunk("");
        // It fails if the node has left.
        let _ = stream.write_all(message.as_bytes()).await;
    }
}

/// Sends a request and reads its answer slowly, until the connection closes.
async fn ask_slowly(to: std::net::SocketAddr, path: &'static str) -> Answer {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    SockRef::from(&socket).set_tcp_mss(SEGMENT).unwrap();
    let mut stream = socket.connect(to).await.unwrap();
    let request = CallerRequest { path, request: "r", key: KEY, deadline_ms: 7500, body: "r", prompt: "" };
    stream.write_all(request.format().as_bytes()).await.unwrap();
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; READ_BYTES]);
    // A reset connection ends the answer at what has arrived.
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        bytes.extend_from_slice(&buffer[..read]);
        tokio::time::sleep(READ_INTERVAL.mul_f64(read as f64 / READ_BYTES as f64)).await;
    }
    parse_answer(&String::from_utf8_lossy(&bytes))
}

/// Guards against answers that are cut off by a planned stop while their callers read them.
#[tokio::test]
async fn a_node_that_is_stopped_ends_after_its_callers_have_read_their_answers() {
    let fleet = Fleet::serving(1).await;
    proxy::put(&fleet, fleet.plain.iter().chain(fleet.heads()), Large).await;
    for path in [ONCE, STREAM] {
        let mut stopped = Killable::start(&fleet, 7).await;
        fleet.wait("the node is ready", |_| stopped.running.node.is_ready()).await;
        let asking = tokio::spawn(ask_slowly(stopped.running.callers, path));
        tokio::time::sleep(Millis(500).duration()).await;
        let began = Instant::now();
        stopped.stop().await;
        let lasted = began.elapsed();
        let answer = asking.await.unwrap();
        assert_eq!(answer.status, 200, "{path}");
        assert!(
            answer.complete,
            "{path}: {} of {ANSWER_BYTES} bytes, stopped after {lasted:?}",
            answer.body.len()
        );
    }
}

/// Guards against stops that wait for connections on which nothing is under way.
#[tokio::test]
async fn a_node_that_is_stopped_does_not_wait_for_idle_connections() {
    let fleet = Fleet::serving(1).await;
    let mut stopped = Killable::start(&fleet, 7).await;
    fleet.wait("the node is ready", |_| stopped.running.node.is_ready()).await;
    let _unused = TcpStream::connect(stopped.running.callers).await.unwrap();
    let mut kept =
        cottoncrank_platform_standin::caller::Connection::open(stopped.running.callers).await.unwrap();
    assert_eq!(kept.send_request(ONCE, "r", KEY).await.status, 200);
    let began = Instant::now();
    stopped.stop().await;
    let lasted = began.elapsed();
    assert!(lasted < Duration::from_millis(3500), "it took {lasted:?}");
}
