//! Clients that don't behave: many large bodies, whole or in pieces, most without their end; heads and
//! connections without end; answers that nobody reads.
//!
//! The failure: a process held whatever callers sent, body by body, each within its limit and all together over
//! the memory of the box, and ended. Each test runs the node's program with the limits of a box of a third of
//! the usual memory, and one test runs at a time.

mod crowd;

use cottoncrank_node::peer::ChangeQuery;
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM};
use cottoncrank_standin::crowd::{Message, send};
use crowd::{ANSWER_BYTES, BODY_BYTES, KEY, World, format_head, read_answers};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

/// The clients with large bodies. What they send is more than half as much again as the memory of the box.
const LARGE: usize = 40;

/// The clients that read nothing of a stream: each holds less than one with a large body.
const STREAMS: usize = 120;

/// The bytes of a stream, more than the buffers of the kernel take, and its events, as large as they may be.
const STREAM_BYTES: usize = 16_000_000;
const STREAM_EVENTS: usize = 64;

/// The clients with small chunks, and the chunks of each.
const SMALL_CHUNKERS: usize = 16;
const SMALL_CHUNKS: usize = 250_000;

/// The connections with little or nothing on them: twice what the box has descriptors for.
const CONNECTIONS: usize = 600;

/// The size of a large chunk, and of a small piece of a body.
const CHUNK: usize = 64 * 1024;
const PIECE: usize = 8 * 1024;

async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::const_new(());
    ONE.lock().await
}

fn filler(bytes: usize) -> Arc<str> {
    "x".repeat(bytes).into()
}

fn chunk(bytes: usize) -> Arc<str> {
    format!("{bytes:x}\r\n{}\r\n", filler(bytes)).into()
}

/// A body of an announced length, sent up to its last byte but one in pieces.
fn announced(number: usize, path: &str, key: &str, piece: usize) -> Message {
    let head = format_head(&format!("c-{number}"), path, key);
    let rest = "x".repeat(piece - 1);
    let times = BODY_BYTES / piece - 1;
    Message {
        once: format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n{rest}").into(),
        again: filler(piece),
        times,
    }
}

/// A body in chunks, without the last one.
fn chunked(number: usize, bytes: usize, times: usize) -> Message {
    let head = format_head(&format!("c-{number}"), READ, KEY);
    Message { once: format!("{head}Transfer-Encoding: chunked\r\n\r\n").into(), again: chunk(bytes), times }
}

/// Lets a crowd send and stay, twice, and checks the process before each has left and after.
async fn play(what: &str, count: usize, message: impl Fn(usize) -> Message) {
    play_at(what, |world| world.process.callers, count, message).await;
}

async fn play_at(
    what: &str,
    port: impl Fn(&World) -> SocketAddr,
    count: usize,
    message: impl Fn(usize) -> Message,
) {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    for crowd in ["first", "second"] {
        let streams = send(port(&world), count, &message).await;
        world.watch.settle().await;
        world.check(&format!("{what}, beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("{what}, after the {crowd} crowd")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_that_stop_before_their_last_byte() {
    play("an announced length", LARGE, |number| announced(number, READ, KEY, CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_small_pieces_that_stop_before_their_last_byte() {
    play("small pieces", LARGE, |number| announced(number, READ, KEY, PIECE)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_large_chunks_without_the_last_one() {
    play("large chunks", LARGE, |number| chunked(number, CHUNK, BODY_BYTES / CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_chunks_of_one_byte_without_the_last_one() {
    // Several are sent at a time, as a system call for each would be the sender's own limit.
    let many: Arc<str> = chunk(1).repeat(500).into();
    play("chunks of one byte", SMALL_CHUNKERS, |number| {
        let message = chunked(number, 1, SMALL_CHUNKS / 500);
        Message { again: many.clone(), ..message }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_with_an_unknown_key() {
    play("an unknown key", LARGE, |number| announced(number, READ, "nobody", CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_to_no_route() {
    play("no route", LARGE, |number| announced(number, "/nowhere/", KEY, CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_announced_far_over_the_limit() {
    play("a length of 1 TB", LARGE, |number| {
        let head = format_head(&format!("c-{number}"), READ, KEY);
        let once = format!("{head}Content-Length: 1000000000000\r\n\r\n");
        Message { once: once.into(), again: filler(CHUNK), times: 2 * BODY_BYTES / CHUNK }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_in_chunks_far_over_the_limit() {
    play("chunks over the limit", LARGE, |number| chunked(number, CHUNK, 4 * BODY_BYTES / CHUNK)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end() {
    play("heads without end", CONNECTIONS, |number| {
        let head = format_head(&format!("c-{number}"), READ, KEY);
        Message { once: format!("{head}X-Long: ").into(), again: filler(1000), times: 14 }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_bodies_without_their_end() {
    play("small bodies", CONNECTIONS, |number| {
        let head = format_head(&format!("c-{number}"), READ, KEY);
        let once = format!("{head}Content-Length: {CHUNK}\r\n\r\n");
        Message { once: once.into(), again: filler(1000), times: CHUNK / 1000 }
    })
    .await;
}

fn nothing(_: usize) -> Message {
    Message { once: Vec::new(), again: "".into(), times: 0 }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_with_nothing_on_them() {
    play("nothing", CONNECTIONS, nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_of_other_boxes_with_nothing_on_them() {
    play_at("nothing for other boxes", |world| world.process.peers, CONNECTIONS, nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_of_the_balancer_with_nothing_on_them() {
    play_at("nothing for the balancer", |world| world.process.ready, CONNECTIONS, nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_for_metrics_with_nothing_on_them() {
    play_at("nothing for metrics", |world| world.process.metrics(), CONNECTIONS, nothing).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queries_of_other_boxes_in_chunks_of_one_byte() {
    let many: Arc<str> = chunk(1).repeat(500).into();
    play_at(
        "queries in chunks of one byte",
        |world| world.process.peers,
        100,
        |_| Message {
            once: "POST /in-flight HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".into(),
            again: many.clone(),
            times: 120,
        },
    )
    .await;
}

/// The clients whose small texts have no end, and the pieces of each.
const ENDLESS: usize = 100;
const ENDLESS_PIECES: usize = 200;

/// Sends a part of a chunked body that has no end.
async fn play_endless(what: &str, once: &str, again: &str) {
    play(what, ENDLESS, |number| {
        let head = format_head(&format!("c-{number}"), READ, KEY);
        let once = format!("{head}Transfer-Encoding: chunked\r\n\r\n{once}").into();
        Message { once, again: again.repeat(PIECE / again.len()).into(), times: ENDLESS_PIECES }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sizes_of_chunks_without_end() {
    play_endless("sizes of chunks", "", "0").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn extensions_of_chunks_without_end() {
    play_endless("extensions of chunks", "5;", "x").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn trailers_without_end() {
    play_endless("trailers", "5\r\nhello\r\n0\r\n", "X-Line: x\r\n").await;
}

/// Sends requests one behind the other, and reads none of their answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_behind_each_other_whose_answers_nobody_reads() {
    play("requests behind each other", ENDLESS, |number| {
        let request = format_head(&format!("c-{number}"), READ, KEY) + "Content-Length: 1000\r\n\r\n";
        let again = (request + &"x".repeat(1000)).repeat(10).into();
        Message { once: Vec::new(), again, times: ENDLESS_PIECES }
    })
    .await;
}

/// Finds the address of a port.
type FindPort = fn(&World) -> SocketAddr;

/// The ports that no caller uses.
const OTHER_PORTS: [(&str, FindPort); 3] = [
    ("other boxes", |world| world.process.peers),
    ("the balancer", |world| world.process.ready),
    ("metrics", |world| world.process.metrics()),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_at_other_ports() {
    for (name, port) in OTHER_PORTS {
        play_at(&format!("bodies for {name}"), port, LARGE, |_| Message {
            once: format!("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {BODY_BYTES}\r\n\r\nx").into(),
            again: filler(CHUNK),
            times: BODY_BYTES / CHUNK - 1,
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_without_end_at_other_ports() {
    for (name, port) in OTHER_PORTS {
        play_at(&format!("heads for {name}"), port, CONNECTIONS, |_| Message {
            once: "GET /x HTTP/1.1\r\nHost: x\r\nX-Long: ".into(),
            again: filler(PIECE),
            times: 40,
        })
        .await;
    }
}

/// The routes of a configuration that is large however it is packed.
const ROUTES: usize = 3000;

/// A poll of another box for the whole content of the store, which is answered at once.
fn poll(wait_ms: u64) -> Vec<u8> {
    let body = rmp_serde::to_vec(&ChangeQuery { after: None, wait_ms }).unwrap();
    let head = format!("POST /news HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body].concat()
}

/// Asks for all that the store holds, and reads nothing of it. Another box is answered all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn polls_whose_answers_nobody_reads() {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    world.add_routes(ROUTES).await;
    for crowd in ["first", "second"] {
        let message = |_| Message { once: poll(0), again: "".into(), times: 0 };
        let streams = send(world.process.peers, CONNECTIONS, message).await;
        world.watch.settle().await;
        world.check(&format!("unread polls, beside the {crowd} crowd")).await;
        world.check_poll(&poll(0), &format!("beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("unread polls, after the {crowd} crowd")).await;
    }
}

/// Holds all connections for other boxes with polls that wait for a change. Another box is answered all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn polls_that_wait_for_long() {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    let position = world.read_position(&poll(0)).await;
    let body = rmp_serde::to_vec(&ChangeQuery { after: Some(position), wait_ms: 3_600_000 }).unwrap();
    let head = format!("POST /news HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    let message = |_| Message { once: [head.as_bytes(), &body].concat(), again: "".into(), times: 0 };
    let streams = send(world.process.peers, CONNECTIONS, message).await;
    world.watch.settle().await;
    world.check("waiting polls").await;
    world.check_poll(&poll(0), "beside waiting polls").await;
    drop(streams);
}

/// Sends whole bodies to a runner that holds its answers back. Whoever is refused must not have reached it, and
/// each of the others is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_whose_answers_come_late() {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    world.runner.release(false);
    let asking = send(world.process.callers, LARGE, |number| {
        let head = format_head(&format!("whole-{number}"), ONCE, KEY);
        let once = format!("{head}Connection: close\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        Message { once: once.into(), again: filler(CHUNK), times: BODY_BYTES / CHUNK }
    });
    let streams = asking.await;
    world.watch.settle().await;
    world.runner.release(true);
    let answers = read_answers(streams).await;
    world.check("whole bodies").await;
    let seen = world.runner.seen.lock().clone();
    let was_run = |id: &str| seen.iter().any(|seen| seen == id);
    for answer in &answers {
        let id = answer.header("x-cottoncrank-request-id").unwrap_or("-");
        match answer.status {
            200 => assert!(answer.is_signed(id), "{answer:?}"),
            408 | 413 | 421 | 429 | 503 => assert!(!was_run(id), "{id} was refused as not run, and has run"),
            _ => {}
        }
    }
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    println!("whole bodies: {served} of {LARGE} answered, {} run", seen.len());
    assert!(served > 0, "none was answered");
}

/// Asks for answers of this size in this many parts, and reads nothing of them.
async fn leave_unread(what: &str, path: &str, count: usize, bytes: usize, events: usize) {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    for crowd in ["first", "second"] {
        world.runner.answer_bytes.store(bytes, Ordering::Relaxed);
        world.runner.events.store(events, Ordering::Relaxed);
        let streams = send(world.process.callers, count, |number| {
            let head = format_head(&format!("{crowd}-{number}"), path, KEY);
            Message { once: format!("{head}Content-Length: 0\r\n\r\n").into(), again: "".into(), times: 0 }
        })
        .await;
        world.watch.settle().await;
        world.runner.answer_bytes.store(5, Ordering::Relaxed);
        world.runner.events.store(1, Ordering::Relaxed);
        world.check(&format!("{what}, beside the {crowd} crowd")).await;
        drop(streams);
        world.check(&format!("{what}, after the {crowd} crowd")).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_answers_that_nobody_reads() {
    leave_unread("unread answers", READ, LARGE, ANSWER_BYTES, 1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_that_nobody_reads() {
    leave_unread("unread streams", STREAM, STREAMS, STREAM_BYTES, STREAM_EVENTS).await;
}

/// Sends a request of this extent and returns the status of its answer.
async fn send_slowly(world: &World, extent: &str, body: &str, pieces: usize, pause: Duration) -> u16 {
    let mut stream = TcpStream::connect(world.process.callers).await.unwrap();
    let head = format_head("single", ONCE, KEY);
    let head = format!("{head}Connection: close\r\n{extent}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for piece in body.as_bytes().chunks(body.len().div_ceil(pieces)) {
        stream.write_all(piece).await.unwrap();
        tokio::time::sleep(pause).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// A single caller within the limits is served in calm, however it sends its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_single_large_body_is_served_in_calm() {
    let _one = one_at_a_time().await;
    let mut world = World::start().await;
    let (whole, length) = ("x".repeat(BODY_BYTES), format!("Content-Length: {BODY_BYTES}"));
    let chunks = |bytes: usize| chunk(bytes).repeat(BODY_BYTES / bytes / 4) + "0\r\n\r\n";
    let encoding = "Transfer-Encoding: chunked";
    assert_eq!(send_slowly(&world, &length, &whole, 1, Duration::ZERO).await, 200);
    assert_eq!(send_slowly(&world, &length, &whole, 512, Duration::from_millis(1)).await, 200);
    assert_eq!(send_slowly(&world, &length, &whole, 4, Duration::from_millis(2500)).await, 200);
    assert_eq!(send_slowly(&world, encoding, &chunks(CHUNK), 1, Duration::ZERO).await, 200);
    assert_eq!(send_slowly(&world, encoding, &chunks(1), 1, Duration::ZERO).await, 200);
    world.check("single bodies").await;
}
