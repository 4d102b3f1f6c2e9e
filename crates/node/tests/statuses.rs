//! Runners in trouble whose answers have a status that no answer has.
//!
//! The failure: a node forwarded whatever status its HTTP library could read, 600, 999 and 101 among them, and
//! its callers took them for answers.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::proxy::{self, Answerer};
use common::{Fleet, KEY};
use cottoncrank_net::reach::Block;
use cottoncrank_platform_standin::caller::{Answer, send_request_within};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM};
use cottoncrank_platform_standin::raw;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 3000;

/// Statuses that no answer has, as they are written.
const STATUSES: [&str; 11] = ["000", "001", "099", "100", "101", "199", "600", "999", "1000", "abc", "20"];

/// The tries that the routes allow for one request that may run again.
const TRIES: usize = 2;

/// A runner that answers requests of callers with a status.
#[derive(Clone)]
struct Wrong {
    status: &'static str,
    answered: Arc<AtomicUsize>,
}

impl Wrong {
    fn new(status: &'static str) -> Wrong {
        Wrong { status, answered: Arc::default() }
    }
}

impl Answerer for Wrong {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        self.answered.fetch_add(1, Ordering::Relaxed);
        let id = raw::find_request_id(&request).unwrap_or_default();
        let head = raw::format_unframed_head(&id).replacen("200 OK", &format!("{} No", self.status), 1);
        let body = "id: 0\ndata: event 0\n\n";
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        let head = head.trim_end().to_owned() + "\r\n" + &length;
        // It fails once the node has closed the connection.
        let _ = stream.write_all((head + body).as_bytes()).await;
    }
}

async fn ask(fleet: &Fleet, path: &str, id: &str) -> Answer {
    send_request_within(fleet.nodes[0].callers, path, id, KEY, DEADLINE_MS).await.unwrap()
}

/// Guards against answers with such a status, of all runners, directly and through another box.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_status_that_no_answer_has_does_not_reach_a_caller() {
    for is_cut in [false, true] {
        for status in STATUSES {
            let fleet = Fleet::serving(2).await;
            let wrong = Wrong::new(status);
            proxy::put(&fleet, fleet.plain.iter().chain(fleet.heads()), wrong.clone()).await;
            if is_cut {
                fleet.nodes[0].node.reach.block(Block::Refuse);
                while !fleet.nodes[0].node.has_cut_path() {
                    ask(&fleet, READ, "cut-off").await;
                }
            }
            for path in [ONCE, READ, STREAM] {
                wrong.answered.store(0, Ordering::Relaxed);
                let answer = ask(&fleet, path, &format!("r{}", path.trim_matches('/'))).await;
                let label = format!("{status} of {path}, through another box {is_cut}");
                assert!([502, 504].contains(&answer.status), "{label}: {answer:?}");
                assert_eq!(answer.signature(), None, "{label}: {answer:?}");
                let tries = wrong.answered.load(Ordering::Relaxed);
                let most = if path == ONCE { 1 } else { TRIES };
                assert!((1..=most).contains(&tries), "{label}: {tries} tries");
            }
        }
    }
}

/// Guards against a caller that gets no answer though another runner has one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_may_run_again_is_answered_by_another_runner() {
    for status in ["000", "101", "600", "999", "abc"] {
        let fleet = Fleet::serving(1).await;
        fleet.settle_retries();
        let wrong = Wrong::new(status);
        proxy::put(&fleet, &fleet.plain[..1], wrong.clone()).await;
        proxy::put(&fleet, fleet.heads().into_iter().take(1), wrong.clone()).await;
        for path in [READ, STREAM] {
            for number in 0..6 {
                let id = format!("r{}-{number}", path.trim_matches('/'));
                let answer = ask(&fleet, path, &id).await;
                assert_eq!(answer.status, 200, "{status} of {path}: {answer:?}");
                assert!(answer.is_signed(&id), "{status} of {path}: {answer:?}");
            }
        }
        assert!(wrong.answered.load(Ordering::Relaxed) > 0, "{status}: the runner was never asked");
    }
}

/// A runner that breaks a stream off after its first event, and answers a resumed one with a status.
#[derive(Clone)]
struct WrongWhenResumed(&'static str);

impl Answerer for WrongWhenResumed {
    async fn answer(&self, mut stream: TcpStream, request: String) {
        let id = raw::find_request_id(&request).unwrap_or_default();
        if raw::find_last_event(&request).is_some() {
            return Wrong::new(self.0).answer(stream, request).await;
        }
        let text = raw::format_chunked_head(&id) + &raw::format_chunk("id: 0\ndata: event 0\n\n");
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

/// Guards against a stream that goes on with the body of such an answer.
#[tokio::test]
async fn a_resumed_stream_does_not_go_on_with_a_status_that_no_answer_has() {
    for status in ["000", "101", "600", "999"] {
        let fleet = Fleet::serving(1).await;
        fleet.settle_retries();
        proxy::put(&fleet, fleet.heads(), WrongWhenResumed(status)).await;
        let answer = ask(&fleet, STREAM, "r").await;
        assert_eq!((answer.status, answer.complete), (200, false), "{status}: {answer:?}");
        assert_eq!(answer.events(), [0], "{status}: {answer:?}");
    }
}
