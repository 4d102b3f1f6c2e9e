//! Requests whose answer is a stream of events.
//!
//! The head of the first runner's answer is passed on with its first event.
//! From there the stream may go on at another runner, after the last whole
//! event that the caller has, within the same answer.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::{Millis, id};
use cottoncrank_fleet::dispatch::{Reply, Urgency};
use cottoncrank_platform::header;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use tokio::sync::mpsc;

use crate::answer::{Answer, Body, Refusal};
use crate::attempt::Job;
use crate::candidates::has_room;
use crate::dispatch;
use crate::in_flight::{LimitGuard, RequestGuard};
use crate::plain;
use crate::relay::Relay;
use crate::source::{Next, Source, read_first};
use crate::state::Node;
use crate::suspects::record_completed;
use crate::throttle;
use crate::tries::{Tries, next_attempt, refuse_suspect};

/// Events held for a caller that reads slowly.
const FEED_DEPTH: usize = 8;

/// A request waits at this node for at most this part of the wanted time of its first
/// event: places become free every few milliseconds, and four fifths of the time are
/// left for the runner.
const WAITS: u64 = 5;

/// A stream that has begun.
struct Begun {
    head: response::Parts,
    first: Bytes,
    source: Source,
    ended: bool,
}

/// What the first try that answered came to.
enum Opening {
    Stream(Box<Begun>),
    Whole(Answer),
}

/// Runs a request. The answer is given with the first event; the rest follows
/// in a task of its own, which `running` counts.
pub async fn run(node: &Arc<Node>, job: Arc<Job>, running: RequestGuard) -> Result<Answer, Refusal> {
    let model_key = job.model_key();
    let patience = Millis(job.route.target_latency.0 / WAITS);
    let left = (job.arrived + job.route.target_latency).since(node.now());
    let reply = dispatch::ask(node, &job, Urgency::Within(left.0), &[]).await;
    if let Some(refusal) = refuse_suspect(node, &job, reply) {
        return Err(refusal);
    }
    if let Some(Reply::Throttled(wait)) = reply {
        return Err(throttle::refuse(node, &job, Millis(wait)));
    }
    let admitted = match reply {
        Some(Reply::Take(_)) => Some(node.admit_assigned(&model_key)),
        Some(Reply::Full(_)) => None,
        None | Some(Reply::Unknown | Reply::Throttled(_) | Reply::Held | Reply::Deadly) => {
            node.admit(&model_key, patience, || has_room(node, &job)).await
        }
    };
    let wait = match reply {
        Some(Reply::Full(wait)) => Some(Millis(wait)),
        _ => None,
    };
    let admitted = admitted.ok_or_else(|| Refusal::Full { running: node.count_running(&model_key), wait })?;
    let mut tries = Tries::choosing(reply);
    let chosen = node.now();
    let opened = open(node, &job, &mut tries).await;
    if let (Ok(Opening::Stream(_)), [_], Some(promise)) = (&opened, &tries.tried[..], tries.promise) {
        dispatch::record_first_event(node, &job, promise, node.now().since(chosen));
    }
    note_opening(node, &job, &tries, &admitted, opened.as_ref().err());
    let begun = match opened? {
        Opening::Stream(begun) => begun,
        Opening::Whole(answer) => return Ok(answer),
    };
    let (feed, receiver) = mpsc::channel(FEED_DEPTH);
    let mut answer = Response::new(Body::Stream(receiver));
    *answer.status_mut() = begun.head.status;
    *answer.headers_mut() = header::strip(&begun.head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    if feed.try_send(Ok(begun.first)).is_ok() && !begun.ended {
        let relay = Relay::new(node.clone(), job, tries, feed, begun.source, (running, admitted));
        tokio::spawn(relay.run());
    }
    Ok(answer)
}

/// Tells the limit how the first event came. A request that met a silent runner
/// says nothing of how much the others have to do.
fn note_opening(node: &Node, job: &Job, tries: &Tries, admitted: &LimitGuard, refusal: Option<&Refusal>) {
    let first_try = tries.tried.len() == 1 && tries.sent == 0;
    let waited = node.now().since(job.arrived);
    let in_time = waited <= job.route.target_latency;
    if refusal.is_none() && !in_time {
        let level = admitted.level();
        let (runner, count) = (tries.tried.last().map_or("-", id::Runner::as_str), tries.tried.len());
        log::info!(
            "request {}: late: first event after {waited}, wanted within {}, try {count} at {runner}, limit {level:.0}",
            job.id(),
            job.route.target_latency
        );
    }
    match refusal {
        None if first_try || tries.full > 0 => admitted.record_first_event(in_time && tries.full == 0),
        Some(Refusal::NotRun) => admitted.record_first_event(false),
        _ => {}
    }
}

/// Tries runners until one sends its first event.
async fn open(node: &Arc<Node>, job: &Job, tries: &mut Tries) -> Result<Opening, Refusal> {
    loop {
        let last = job.terms.last_event;
        let attempt = next_attempt(node, job, tries, last).await?;
        if !attempt.response.status().is_success() {
            match plain::read_whole(node, attempt).await {
                Ok(answer) => {
                    record_completed(node, &job.fingerprint);
                    return Ok(Opening::Whole(answer));
                }
                Err(error) => tries.note(node, job, &error).await,
            }
            continue;
        }
        let (head, mut source) = Source::open(attempt, last);
        match read_first(node, job, &mut source).await {
            Ok(Next::Events(first)) => {
                let begun = Begun { head, first, source, ended: false };
                return Ok(Opening::Stream(Box::new(begun)));
            }
            Ok(Next::End) => {
                record_completed(node, &job.fingerprint);
                let begun = Begun { head, first: Bytes::new(), source, ended: true };
                return Ok(Opening::Stream(Box::new(begun)));
            }
            Err(error) => tries.note(node, job, &error).await,
        }
    }
}
