//! Answers of runners with neither a length nor chunks, which end with their connection.
//!
//! Such an answer is whole when its connection ends, unless that is reset or a stream ends inside an event.

mod common;

use std::net::SocketAddr;

use common::{Fleet, Running};
use cottoncrank_platform_standin::operator::{READ, STREAM};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::EVENTS_PER_STREAM;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};

/// How the proxy ends an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Whole,
    /// A stream ends inside its fourth event.
    InsideEvent,
    /// The connection is reset within the body.
    Reset,
}

const BODY: &str = "an answer of no stated length";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

/// Returns the body of an answer, as far as the proxy sends it.
fn body(is_stream: bool, end: End) -> String {
    let whole = match is_stream {
        true => (0..EVENTS_PER_STREAM).map(event).collect(),
        false => BODY.to_owned(),
    };
    let sent = match end {
        End::Whole => whole.len(),
        End::InsideEvent => 3 * event(0).len() + 6,
        End::Reset => whole.len() / 2,
    };
    whole[..sent].to_owned()
}

/// Starts a proxy in front of a runner that answers callers' requests itself, and forwards all others.
async fn start_proxy(runner: SocketAddr, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, runner, end));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, runner: SocketAddr, end: End) {
    // Each request of a test fits into the buffer.
    let mut buffer = [0; 8192];
    let Ok(read) = stream.read(&mut buffer).await else { return };
    let request = String::from_utf8_lossy(&buffer[..read]).into_owned();
    let Some(id) = raw::find_request_id(&request) else {
        let Ok(mut real) = TcpStream::connect(runner).await else { return };
        if real.write_all(&buffer[..read]).await.is_ok() {
            let _ = copy_bidirectional(&mut stream, &mut real).await;
        }
        return;
    };
    let head = raw::format_unframed_head(&id);
    let is_stream = raw::has_model(&request);
    let _ = stream.write_all((head + &body(is_stream, end)).as_bytes()).await;
    if end == End::Reset {
        // The node has read what came before when the reset arrives.
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        let _ = stream.set_zero_linger();
    }
}

fn knows_address(running: &Running, id: &str, address: SocketAddr) -> bool {
    let roster = running.node.roster.lock();
    roster.get(&id.parse().unwrap()).is_some_and(|runner| runner.address == address)
}

/// Puts proxies in front of all plain runners and of the first `heads` heads.
async fn put_proxies(fleet: &Fleet, heads: usize, end: End) {
    for runner in fleet.plain.iter().chain(fleet.heads().into_iter().take(heads)) {
        let address = start_proxy(runner.address(), end).await;
        runner.advertise(address);
        let id = runner.id().to_owned();
        fleet.wait("the node knows the proxy", |fleet| knows_address(&fleet.nodes[0], &id, address)).await;
    }
}

#[tokio::test]
async fn a_whole_answer_without_a_length_reaches_the_caller_whole() {
    let fleet = Fleet::serving(1).await;
    put_proxies(&fleet, 2, End::Whole).await;
    let answer = fleet.ask(READ, "r1").await;
    assert_eq!((answer.status, answer.complete, &*answer.body), (200, true, BODY), "{answer:?}");
    let answer = fleet.ask(STREAM, "r2").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.events(), (0..EVENTS_PER_STREAM).collect::<Vec<_>>());
}

#[tokio::test]
async fn a_stream_without_a_length_that_ends_inside_an_event_is_resumed_elsewhere() {
    let fleet = Fleet::serving(1).await;
    put_proxies(&fleet, 1, End::InsideEvent).await;
    for number in 0..12 {
        let answer = fleet.ask(STREAM, &format!("r{number}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
        assert_eq!(answer.events(), (0..EVENTS_PER_STREAM).collect::<Vec<_>>(), "{answer:?}");
    }
}

#[tokio::test]
async fn an_answer_without_a_length_that_breaks_off_never_looks_whole() {
    for end in [End::InsideEvent, End::Reset] {
        let fleet = Fleet::serving(1).await;
        put_proxies(&fleet, 2, end).await;
        let answer = fleet.ask(STREAM, "r1").await;
        assert!(!(answer.status == 200 && answer.complete), "{end:?}: {answer:?}");
        if end == End::Reset {
            let answer = fleet.ask(READ, "r2").await;
            assert_eq!(answer.status, 502, "{end:?}: {answer:?}");
        }
    }
}
