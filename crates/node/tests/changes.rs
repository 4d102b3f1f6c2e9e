//! Whole requests beside a change of the configuration, a reload or a stop.
//!
//! The failure: a request that was read whole got neither an answer nor a refusal beside a change of the
//! configuration. Each request here is in flight in another way when the change comes, and has to be answered
//! whole, or refused if it arrived after the change.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::proxy::{self, Answerer};
use common::{Fleet, KEY, Killable};
use cottoncrank_net::reach::Block;
use cottoncrank_platform_standin::caller::{Answer, CallerRequest, Connection, read_to_end};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config, rename_account};
use cottoncrank_platform_standin::raw;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The parts of each answer.
const PARTS: u64 = 4;

/// How long a runner takes for the part of an answer that a request names. The change comes within.
const PART_TIME: Duration = Duration::from_millis(1200);

/// How long after the requests were sent the change comes.
const CHANGE_DELAY: Duration = Duration::from_millis(400);

/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 5000;

/// How long a connection may be idle before a test changes that, in milliseconds.
const IDLE_MS: u64 = 1000;

/// The same afterwards.
const LONGER_IDLE_MS: u64 = 15_000;

/// How a request is in flight when the change comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flight {
    /// Its connection is open, and nothing of it was sent.
    Unsent,
    /// Half of its head was sent.
    HalfHead,
    /// Its head was sent, and half of its body.
    HalfBody,
    /// It was sent to a runner, which takes its time before this part of the answer.
    BeforePart(u64),
}

impl Flight {
    const ALL: [Flight; 5] =
        [Flight::Unsent, Flight::HalfHead, Flight::HalfBody, Flight::BeforePart(0), Flight::BeforePart(2)];

    /// Returns the part before which the runner takes its time.
    fn slow_part(self) -> u64 {
        match self {
            Flight::BeforePart(part) => part,
            _ => PARTS,
        }
    }

    /// Returns how much of a request is sent before the change.
    fn split(self, request: &str) -> usize {
        let head = request.find("\r\n\r\n").unwrap() + 4;
        match self {
            Flight::Unsent => 0,
            Flight::HalfHead => head / 2,
            Flight::HalfBody => (head + request.len()) / 2,
            Flight::BeforePart(_) => request.len(),
        }
    }
}

/// What changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The routes lead to the service of the others.
    Services,
    /// The routes are gone.
    NoRoutes,
    /// Requests may last longer or shorter.
    Timeouts,
    /// The key is taken away.
    Key,
    /// The account is gone, and its key belongs to another one.
    Account,
    /// Connections may be idle for a shorter time.
    ShorterIdle,
    /// Streams may not be resumed any more, and requests are tried once.
    Kinds,
    /// The settings are read again.
    Hangup,
    /// The node is stopped.
    Stop,
}

impl Change {
    fn build_config(self) -> Value {
        let mut config = config(3, if self == Change::Key { &["another"] } else { &[KEY] });
        for route in config["routes"].as_array_mut().unwrap() {
            match self {
                Change::Services => {
                    let service = if route["service"] == "plain" { "engines" } else { "plain" };
                    route["service"] = json!(service);
                }
                Change::Timeouts => route["timeoutMs"] = json!(DEADLINE_MS / 2),
                Change::Kinds => {
                    route["resumable"] = json!(false);
                    route["maxAttempts"] = json!(1);
                }
                _ => {}
            }
        }
        match self {
            Change::NoRoutes => config["routes"] = json!([]),
            Change::Account => rename_account(&mut config, "other"),
            Change::ShorterIdle => config["limits"]["idleTimeoutMs"] = json!(IDLE_MS / 2),
            _ => {}
        }
        config
    }

    /// Whether a request that arrives after the change may be refused.
    fn may_refuse(self) -> bool {
        matches!(self, Change::Services | Change::NoRoutes | Change::Key | Change::Stop)
    }
}

/// Runners that take their time before one part of each answer, as its id says.
#[derive(Clone)]
struct Slow;

impl Answerer for Slow {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let slow: u64 = id.rsplit('-').next().and_then(|part| part.parse().ok()).unwrap_or(PARTS);
        let first = raw::find_last_event(&request).map_or(0, |last| last + 1);
        let mut written = Ok(());
        for part in first..PARTS {
            if part == slow {
                tokio::time::sleep(PART_TIME).await;
            }
            if part == first {
                written = stream.write_all(raw::format_chunked_head(&id).as_bytes()).await;
            }
            let chunk = raw::format_chunk(&format!("id: {part}\ndata: part {part}\n\n"));
            written = written.and(stream.write_all(chunk.as_bytes()).await);
        }
        // It fails if the node has left.
        let _ = written.and(stream.write_all(raw::format_chunk("").as_bytes()).await);
    }
}

/// Sends a request, the rest of it `delay` after its begin, and reads the answer.
async fn ask(to: SocketAddr, path: &'static str, flight: Flight, delay: Duration) -> Answer {
    let id = format!("r{}-{flight:?}-{}", path.trim_matches('/'), flight.slow_part());
    let request =
        CallerRequest { path, request: &id, key: KEY, deadline_ms: DEADLINE_MS, body: &id, prompt: "" };
    let text = request.format();
    let (sooner, later) = text.split_at(flight.split(&text));
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(sooner.as_bytes()).await.unwrap();
    tokio::time::sleep(delay).await;
    // It fails if the node has closed the connection, which the answer shows.
    let _ = stream.write_all(later.as_bytes()).await;
    read_to_end(&mut stream).await
}

/// Starts a fleet of two nodes, and one more whose requests are played.
async fn start_fleet(is_cut: bool) -> (Fleet, Killable) {
    let fleet = Fleet::serving(2).await;
    let mut config = config(2, &[KEY]);
    config["limits"]["idleTimeoutMs"] = json!(IDLE_MS);
    fleet.store.configure(&config);
    let played = Killable::start(&fleet, 7).await;
    let node = played.running.node.clone();
    let knows = |_: &Fleet| {
        node.is_ready()
            && node.directory.lock().count() == 3
            && node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == 2)
    };
    fleet.wait("the played node knows the others and the configuration", knows).await;
    proxy::put(&fleet, fleet.plain.iter().chain(fleet.heads()), Slow).await;
    common::settle_retries(&node);
    if is_cut {
        node.reach.block(Block::Refuse);
        while !node.has_cut_path() {
            ask(played.running.callers, READ, Flight::BeforePart(PARTS), Duration::ZERO).await;
            ask(played.running.callers, STREAM, Flight::BeforePart(PARTS), Duration::ZERO).await;
        }
    }
    (fleet, played)
}

/// Plays requests in all ways of being in flight beside a change.
async fn play(change: Change, is_cut: bool) {
    let (fleet, mut played) = start_fleet(is_cut).await;
    let node = played.running.node.clone();
    let mut asking = JoinSet::new();
    for path in [STREAM, READ, ONCE] {
        for flight in Flight::ALL {
            let to = played.running.callers;
            asking.spawn(async move { (path, flight, ask(to, path, flight, 2 * CHANGE_DELAY).await) });
        }
    }
    tokio::time::sleep(CHANGE_DELAY).await;
    match change {
        Change::Hangup => node.set_settings((*node.settings()).clone()),
        Change::Stop => played.stop().await,
        _ => fleet.store.configure(&change.build_config()),
    }
    for (path, flight, answer) in asking.join_all().await {
        let label = format!("{change:?}, through another box {is_cut}, {path}, {flight:?}: {answer:?}");
        assert!(answer.complete, "{label}");
        let came_before = matches!(flight, Flight::BeforePart(_));
        if came_before || !change.may_refuse() {
            assert_eq!(answer.status, 200, "{label}");
            assert!(answer.events().into_iter().eq(0..PARTS), "{label}");
        } else {
            let is_refused = [401, 404, 503].contains(&answer.status);
            // Streams may go to a service that has none.
            let is_failed = change == Change::Services && answer.status == 502;
            assert!(answer.status == 200 || is_refused || is_failed, "{label}");
        }
    }
}

async fn play_both_ways(change: Change) {
    for is_cut in [false, true] {
        play(change, is_cut).await;
    }
}

/// Guards against requests that are lost while their routes change.
#[tokio::test]
async fn a_whole_request_is_answered_beside_changed_routes() {
    for change in [Change::Services, Change::NoRoutes, Change::Timeouts, Change::Kinds] {
        play_both_ways(change).await;
    }
}

/// Guards against requests that are lost while the accounts and their keys change.
#[tokio::test]
async fn a_whole_request_is_answered_beside_changed_accounts() {
    for change in [Change::Key, Change::Account] {
        play_both_ways(change).await;
    }
}

/// Guards against requests that are lost while the limits or the settings change, or the node stops.
#[tokio::test]
async fn a_whole_request_is_answered_beside_limits_a_reload_and_a_stop() {
    for change in [Change::ShorterIdle, Change::Hangup, Change::Stop] {
        play_both_ways(change).await;
    }
}

/// Guards against connections that are closed sooner than the limits in force say, so that a request which
/// is sent at that moment gets no answer.
#[tokio::test]
async fn a_connection_rests_as_long_as_the_limits_in_force_allow() {
    let (fleet, played) = start_fleet(false).await;
    let node = played.running.node.clone();
    let mut kept = Connection::open(played.running.callers).await.unwrap();
    assert_eq!(kept.send_request(READ, "r1", KEY).await.status, 200);
    let mut config = config(3, &[KEY]);
    config["limits"]["idleTimeoutMs"] = json!(LONGER_IDLE_MS);
    fleet.store.configure(&config);
    let knows = |_: &Fleet| node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == 3);
    fleet.wait("the node knows the limits", knows).await;
    tokio::time::sleep(Duration::from_millis(2 * IDLE_MS)).await;
    assert!(kept.is_open(), "the connection was closed");
    assert_eq!(kept.send_request(READ, "r2", KEY).await.status, 200);
}

/// Guards against connections that are kept for good, be they idle or within a head.
#[tokio::test]
async fn a_connection_that_rests_for_too_long_is_closed() {
    let (_fleet, played) = start_fleet(false).await;
    let mut kept = Connection::open(played.running.callers).await.unwrap();
    assert_eq!(kept.send_request(READ, "r1", KEY).await.status, 200);
    let mut within_head = TcpStream::connect(played.running.callers).await.unwrap();
    within_head.write_all(b"POST /read/x HTTP/1.1\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(IDLE_MS / 2)).await;
    assert!(kept.is_open(), "the connection was closed too soon");
    let answer = tokio::time::timeout(Duration::from_millis(IDLE_MS), read_to_end(&mut within_head)).await;
    assert_eq!(answer.expect("the connection with half of a head is open").status, 0);
    tokio::time::sleep(Duration::from_millis(IDLE_MS / 2)).await;
    assert!(!kept.is_open(), "the connection is open");
}
