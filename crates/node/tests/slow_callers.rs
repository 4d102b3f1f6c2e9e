//! Callers that read a stream slowly, or not at all, while it is cut.
//!
//! The failure: a node cut streams at their deadline, and their slow callers got the end of a complete
//! answer. The mark of the cut was sent through the buffer of the stream, which is full while the caller
//! is slow, and was dropped.

mod common;

use std::time::{Duration, Instant};

use common::proxy::{self, Answerer};
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::{CallerRequest, parse_answer, read_to_end};
use cottoncrank_platform_standin::operator::{READ, STREAM, config};
use cottoncrank_platform_standin::raw;
use serde_json::json;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 700;

/// How long after the deadline a caller may still be without word of the cut.
const WORD_TIME: Duration = Duration::from_millis(500);

/// The receive buffer of a caller, in bytes.
const RECEIVE_BUFFER: u32 = 8192;

/// The segments of a caller, in bytes. With larger ones the kernel buffers more than an answer.
const SEGMENT: u32 = 1448;

/// How long a connection may be idle where a test sets it, in milliseconds.
const IDLE_MS: u64 = 2000;

/// A stream larger than all buffers on its way.
#[derive(Clone)]
struct LargeStream;

const EVENTS: u64 = 600;
const EVENT_BYTES: usize = 32_768;

impl Answerer for LargeStream {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let head = raw::format_chunked_head(&raw::find_request_id(&request).unwrap_or_default());
        let data = "x".repeat(EVENT_BYTES);
        let mut written = stream.write_all(head.as_bytes()).await;
        for id in 0..EVENTS {
            let event = raw::format_chunk(&format!("id: {id}\ndata: {data}\n\n"));
            written = written.and(stream.write_all(event.as_bytes()).await);
        }
        // It fails once the node has closed the connection.
        let _ = written.and(stream.write_all(raw::format_chunk("").as_bytes()).await);
    }
}

/// A plain answer larger than all buffers on its way, and smaller than a node reads.
#[derive(Clone)]
struct LargeAnswer;

const ANSWER_BYTES: usize = 4_000_000;

impl Answerer for LargeAnswer {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let body = raw::format_chunk(&"x".repeat(ANSWER_BYTES)) + &raw::format_chunk("");
        // It fails once the node has closed the connection.
        let _ = stream.write_all((raw::format_chunked_head(&id) + &body).as_bytes()).await;
    }
}

/// An answer that a slow caller reads for longer than a connection may be idle.
#[derive(Clone)]
struct Sized;

const SIZED_BYTES: usize = 4_000_000;

/// The events of such an answer.
const SIZED_EVENTS: usize = 40;

/// How long the caller takes for it, in milliseconds.
const READ_TIME_MS: u64 = 5 * IDLE_MS;

impl Answerer for Sized {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let data = "x".repeat(SIZED_BYTES / SIZED_EVENTS);
        let events = (0..SIZED_EVENTS).map(|id| raw::format_chunk(&format!("id: {id}\ndata: {data}\n\n")));
        let message = raw::format_chunked_head(&id) + &events.collect::<String>() + &raw::format_chunk("");
        // It fails if the node has closed the connection, which the caller's answer shows.
        let _ = stream.write_all(message.as_bytes()).await;
    }
}

/// Limits how long connections may be idle.
async fn limit_idle(fleet: &Fleet) {
    let mut config = config(2, &[KEY]);
    config["limits"]["idleTimeoutMs"] = json!(IDLE_MS);
    fleet.store.configure(&config);
    fleet.wait("the node knows the limits", |fleet| fleet.know_version(2)).await;
}

/// Starts a fleet of one node whose streams are large.
async fn start_fleet() -> Fleet {
    let fleet = Fleet::serving(1).await;
    proxy::put(&fleet, fleet.heads(), LargeStream).await;
    fleet
}

/// Connects to the node with small buffers.
async fn connect(fleet: &Fleet) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    SockRef::from(&socket).set_tcp_mss(SEGMENT).unwrap();
    socket.connect(fleet.nodes[0].callers).await.unwrap()
}

/// Sends a request, and returns its connection unread.
async fn send(fleet: &Fleet, path: &str, request: &str, deadline_ms: u64) -> TcpStream {
    let mut stream = connect(fleet).await;
    let request = CallerRequest { path, request, key: KEY, deadline_ms, body: request, prompt: "" };
    stream.write_all(request.format().as_bytes()).await.unwrap();
    stream
}

/// Guards against streams that lack events and end as complete.
#[tokio::test]
async fn a_stream_that_is_cut_while_its_caller_is_slow_does_not_end_as_complete() {
    let fleet = start_fleet().await;
    for pause in [Duration::ZERO, WORD_TIME] {
        let mut stream = send(&fleet, STREAM, &format!("r-{pause:?}"), DEADLINE_MS).await;
        tokio::time::sleep(Duration::from_millis(DEADLINE_MS) + pause).await;
        let answer = read_to_end(&mut stream).await;
        let events = answer.events();
        assert_eq!(answer.status, 200, "after {pause:?}");
        assert!(events.len() < EVENTS as usize, "the stream was not cut");
        assert!(events.iter().copied().eq(0..events.len() as u64), "{events:?}");
        assert!(!answer.complete, "after {pause:?}: {} of {EVENTS} events, as complete", events.len());
    }
}

/// Guards against a cut of which a caller learns only once it reads.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_told_of_a_cut() {
    let fleet = start_fleet().await;
    let mut stream = send(&fleet, STREAM, "r", DEADLINE_MS).await;
    tokio::time::sleep(Duration::from_millis(DEADLINE_MS) + WORD_TIME).await;
    // The first write meets the closed connection, which answers with a reset; the second one meets that.
    let _ = stream.write_all(b"x").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(stream.write_all(b"x").await.is_err(), "the connection is open");
    assert_eq!(fleet.nodes[0].node.running(), 0);
}

/// Guards against callers that read nothing of an answer and hold their connection and its memory for good.
#[tokio::test]
async fn a_caller_that_reads_nothing_does_not_hold_its_connection_for_good() {
    let fleet = Fleet::serving(1).await;
    limit_idle(&fleet).await;
    proxy::put(&fleet, &fleet.plain, LargeAnswer).await;
    let stream = send(&fleet, READ, "r", 5000).await;
    let node = fleet.nodes[0].node.clone();
    fleet.wait("the answer is being written", |_| node.used_connections() == 1 && node.running() == 0).await;
    let began = Instant::now();
    fleet.wait("the connection is closed", |_| node.used_connections() == 0).await;
    let took = began.elapsed();
    assert!(took < 2 * Duration::from_millis(IDLE_MS), "it took {took:?}");
    drop(stream);
}

/// Guards against answers that are cut off at the idle limit while their callers read them, so that a whole
/// request gets no whole answer where a configuration shortens that limit.
#[tokio::test]
async fn an_answer_that_is_read_for_longer_than_a_connection_may_be_idle_is_whole() {
    let fleet = Fleet::serving(1).await;
    limit_idle(&fleet).await;
    proxy::put(&fleet, fleet.plain.iter().chain(fleet.heads()), Sized).await;
    let read_slowly = async |path| {
        let mut stream = connect(&fleet).await;
        let request = CallerRequest {
            path,
            request: "r",
            key: KEY,
            deadline_ms: 2 * READ_TIME_MS,
            body: "r",
            prompt: "",
        };
        let kept_alive = request.format().replace("Connection: close\r\n", "");
        stream.write_all(kept_alive.as_bytes()).await.unwrap();
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; SIZED_BYTES / 50]);
        // The node closes the connection once it has been idle for too long.
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            bytes.extend_from_slice(&buffer[..read]);
            let pause = READ_TIME_MS * read as u64 / SIZED_BYTES as u64;
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let answer = parse_answer(&String::from_utf8_lossy(&bytes));
        let read = bytes.len();
        assert!(answer.complete, "{path}: {read} bytes of an answer of {SIZED_BYTES}");
    };
    tokio::join!(read_slowly(READ), read_slowly(STREAM));
}

/// Guards against a connection that is closed right behind an answer whose caller was slow, so that its next
/// request gets no answer.
#[tokio::test]
async fn a_connection_may_rest_after_an_answer_that_was_read_slowly() {
    let fleet = Fleet::serving(1).await;
    limit_idle(&fleet).await;
    proxy::put(&fleet, &fleet.plain, Sized).await;
    let mut stream = connect(&fleet).await;
    let request =
        CallerRequest { path: READ, request: "r", key: KEY, deadline_ms: 5000, body: "r", prompt: "" };
    let kept_alive = request.format().replace("Connection: close\r\n", "");
    stream.write_all(kept_alive.as_bytes()).await.unwrap();
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; SIZED_BYTES]);
    let began = Instant::now();
    while bytes.len() < SIZED_BYTES || !parse_answer(&String::from_utf8_lossy(&bytes)).complete {
        // The node cannot hand all of it to the kernel before the caller reads faster.
        let is_slow = began.elapsed() < 2 * Duration::from_millis(IDLE_MS);
        let most = if is_slow { SIZED_BYTES / 1000 } else { SIZED_BYTES };
        tokio::time::sleep(Duration::from_millis(if is_slow { 20 } else { 0 })).await;
        let read = stream.read(&mut buffer[..most]).await.unwrap();
        assert!(read > 0, "{} bytes of an answer of {SIZED_BYTES}", bytes.len());
        bytes.extend_from_slice(&buffer[..read]);
    }
    let closed = tokio::time::timeout(Duration::from_millis(IDLE_MS / 2), stream.read(&mut buffer)).await;
    assert!(closed.is_err(), "the connection was closed right behind the answer");
}
