//! Runs requests whose answer is a stream of events.
//!
//! The head of the first runner's answer is forwarded with its first event. After that the stream
//! may be resumed at another runner, after the last whole event that the caller has, within the
//! same answer.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::admission;
use cottoncrank_fleet::dispatch::{Reply, Urgency};
use cottoncrank_platform::header;
use hyper::Response;
use hyper::header::CONTENT_LENGTH;

use crate::admission::query_collector;
use crate::answer::{Answer, Body, Refusal};
use crate::attempt::Job;
use crate::candidates::has_room;
use crate::dispatch;
use crate::in_flight::{LimitGuard, RequestGuard};
use crate::race::{self, Opened, Start};
use crate::relay::{self, Source};
use crate::runner_stream::StreamItem;
use crate::state::Node;
use crate::suspects::{record_answered, record_completed};
use crate::throttle;
use crate::tries::{Tries, refuse_suspect};

/// A request waits at this node for at most the target latency of its first event divided by this.
/// Slots become free every few milliseconds, and the runner needs the other four fifths of the
/// time.
const QUEUE_WAIT_DIVISOR: u64 = 5;

/// Runs a request. Returns the answer with the first event. A spawned task forwards the rest and
/// holds `request_guard` until it ends.
pub async fn run(node: &Arc<Node>, job: Arc<Job>, request_guard: RequestGuard) -> Result<Answer, Refusal> {
    let model_key = job.model_key();
    let max_wait = Millis(job.route.target_latency.0 / QUEUE_WAIT_DIVISOR);
    let remaining = (job.arrived + job.route.target_latency).since(node.now());
    let reply = query_collector(node, &job, Urgency::Within(remaining.0)).await;
    if let Some(admission::Reply::Return { wait, retry }) = reply {
        let running = node.count_running(&model_key);
        return Err(Refusal::Full { running, wait: Some(Millis(wait)), retry: Some(retry) });
    }
    let reply = reply.and_then(read_choice);
    if let Some(refusal) = refuse_suspect(node, &job, reply) {
        return Err(refusal);
    }
    if let Some(Reply::Throttled(wait)) = reply {
        return Err(throttle::refuse(node, &job, Millis(wait)));
    }
    let limit_guard = match reply {
        Some(Reply::Take(_)) => Some(node.admit_assigned(&model_key)),
        Some(Reply::Full(_)) => None,
        None | Some(Reply::Unknown | Reply::Throttled(_) | Reply::Held | Reply::Deadly) => {
            node.admit(&model_key, max_wait, || has_room(node, &job)).await
        }
    };
    let wait = match reply {
        Some(Reply::Full(wait)) => Some(Millis(wait)),
        _ => None,
    };
    let limit_guard = limit_guard.ok_or_else(|| Refusal::Full {
        running: node.count_running(&model_key),
        wait,
        retry: None,
    })?;
    let mut tries = Tries::from_reply(reply);
    let assigned_at = node.now();
    let opened = race::open(node, &job, &mut tries, Start::AsAsked).await;
    if let (Ok(Opened::Stream(_)), [_], Some(assignment)) = (&opened, tries.runs.tried(), tries.assignment) {
        dispatch::record_first_event(node, &job, assignment, node.now().since(assigned_at));
    }
    update_limit(node, &job, &tries, &limit_guard, opened.as_ref().err());
    let started = match opened? {
        Opened::Stream(started) => started,
        Opened::Whole(answer) => {
            record_completed(node, &job.fingerprint);
            return Ok(answer);
        }
    };
    if matches!(started.first, StreamItem::End) && started.stream.has_end_mark {
        record_answered(node, &job);
    }
    let source = Source::new(node.clone(), job, tries, started.stream);
    let body = relay::start(started.first, source, (request_guard, limit_guard)).await;
    let mut answer = Response::new(Body::Stream(body));
    *answer.status_mut() = started.head.status;
    *answer.headers_mut() = header::strip_hop_by_hop(&started.head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    Ok(answer)
}

fn read_choice(reply: admission::Reply) -> Option<Reply> {
    match reply {
        admission::Reply::Chosen(reply) => Some(reply),
        admission::Reply::Return { .. } => None,
    }
}

/// Logs a late first event, and raises or lowers the concurrency limit by whether it was in time. A
/// request that met an unresponsive runner says nothing about the load of the others.
fn update_limit(node: &Node, job: &Job, tries: &Tries, limit_guard: &LimitGuard, refusal: Option<&Refusal>) {
    let tried = tries.runs.tried();
    let waited = node.now().since(job.arrived);
    let in_time = waited <= job.route.target_latency;
    if refusal.is_none() && !in_time {
        let level = limit_guard.level();
        let (runner, count) = (tried.last().map_or("-", id::Runner::as_str), tried.len());
        log::info!(
            "request {}: late: first event after {waited}, wanted within {}, try {count} at {runner}, limit {level:.0}",
            job.id(),
            job.route.target_latency
        );
    }
    match refusal {
        None if tried.len() == 1 || tries.rejections > 0 => {
            limit_guard.record_first_event(in_time && tries.rejections == 0)
        }
        Some(Refusal::NotRun) => limit_guard.record_first_event(false),
        _ => {}
    }
}
