//! Answers of runners with neither a length nor chunks, which end with their connection.
//!
//! Such an answer is whole when its connection ends, unless that is reset or a stream ends inside an event.

mod common;

use common::Fleet;
use common::proxy::{self, Answerer};
use cottoncrank_platform_standin::operator::{READ, STREAM};
use cottoncrank_platform_standin::raw;
use cottoncrank_platform_standin::runner::EVENTS_PER_STREAM;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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

impl Answerer for End {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        let head = raw::format_unframed_head(&id);
        let is_stream = raw::has_model(&request);
        let _ = stream.write_all((head + &body(is_stream, *self)).as_bytes()).await;
        if *self == End::Reset {
            // The node has read what came before when the reset arrives.
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            let _ = stream.set_zero_linger();
        }
    }
}

/// Puts proxies in front of all plain runners and of the first `heads` heads.
async fn put_proxies(fleet: &Fleet, heads: usize, end: End) {
    proxy::put(fleet, fleet.plain.iter().chain(fleet.heads().into_iter().take(heads)), end).await;
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
