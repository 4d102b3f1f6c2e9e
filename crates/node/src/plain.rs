//! Runs requests whose answer is forwarded as a whole.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank_fleet::trials::Ruling;
use cottoncrank_net::intake::{self, AnswerError};
use cottoncrank_platform::header;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap};

use crate::answer::{Answer, Body, Refusal};
use crate::attempt::{Attempt, AttemptError, Job, Pick, send};
use crate::candidates::{has_unlimited, pick_by_id, pick_locally, pick_unannounced, refuse_if_closed};
use crate::catchup;
use crate::crash;
use crate::paths;
use crate::retries;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle::{self, Permit};
use crate::trace::Phase;

/// The largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The most that a runner may send for such an answer, in bytes. Chunks take more than what they hold.
const MAX_WIRE_BYTES: usize = 3 * MAX_ANSWER_BYTES;

/// The largest answer, or part of a stream, that the memory of its request contains.
pub(crate) const SMALL_ANSWER: Size = Size::kilobytes(4);

/// The most tries of one request, rejected ones included. Runners that reject answer at once, and
/// further tries would only find the others rejecting as well.
const MAX_TRIES: usize = 3;

/// Runs a request and returns the runner's whole answer.
pub async fn run(node: &Arc<Node>, job: &Job) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut possible_runs = 0;
    let mut may_have_run = false;
    let mut reached_runner = false;
    let mut permit_wait = None;
    while tried.len() < MAX_TRIES && possible_runs < job.route.attempts {
        if job.is_expired(node) {
            return Err(Refusal::DeadlineExceeded);
        }
        job.trace.record_pick(node.now());
        match suspects::decide(node, job) {
            Ruling::Run | Ruling::Trial => {}
            Ruling::Reject => return Err(Refusal::Deadly),
            Ruling::Quarantine if may_have_run => break,
            Ruling::Quarantine => return Err(Refusal::Quarantined),
        }
        let permit = throttle::query_permit(node, job, &tried).await;
        catchup::check(node);
        let pick = match permit {
            Some(Permit::Take(runner)) => pick_by_id(node, job, &runner),
            Some(Permit::Wait(wait)) if !has_unlimited(node, job, &tried) => {
                permit_wait = Some(wait);
                break;
            }
            Some(Permit::Free(messages)) => {
                throttle::receive_rates(node, &messages);
                pick_unannounced(node, job, &tried)
            }
            Some(Permit::Wait(_)) | None => None,
        };
        let Some(pick) = pick.or_else(|| pick_locally(node, job, &tried)) else { break };
        if reached_runner && !retries::spend(node, job).await {
            break;
        }
        tried.push(pick.id.clone());
        let outcome = tokio::select! {
            outcome = send_and_read(node, job, &pick) => outcome,
            () = suspects::wait_until_deadly(node, job) => Err(AttemptError::Stopped),
        };
        match outcome {
            Ok(answer) => {
                suspects::record_completed(node, &job.fingerprint);
                return Ok(answer);
            }
            Err(error) => {
                telemetry::count_failed_attempt(error.reason());
                log::info!("request {}: try {} at {}: {error}", job.id(), tried.len(), pick.id);
                reached_runner |= error.has_reached_runner();
                job.trace.record_phase(&pick.id, Phase::Inquiry, node.now());
                crash::investigate(node, job, &pick, &error).await;
                if error.may_have_run() {
                    possible_runs += 1;
                    may_have_run = true;
                    if !job.route.is_repeatable() {
                        break;
                    }
                }
            }
        }
    }
    if let Some(wait) = permit_wait.filter(|_| !may_have_run) {
        return Err(throttle::refuse(node, job, wait));
    }
    Err(match (may_have_run, tried.is_empty()) {
        (true, _) => Refusal::MayHaveRun,
        (false, true) => refuse_if_closed(node, job).unwrap_or(Refusal::NoRunner),
        (false, false) => refuse_if_closed(node, job).unwrap_or(Refusal::NotRun),
    })
}

async fn send_and_read(node: &Arc<Node>, job: &Job, pick: &Pick) -> Result<Answer, AttemptError> {
    let attempt = send(node, job, pick, None).await?;
    read_answer(node, job, attempt).await
}

/// Reads an answer to its end. Fails if the body is shorter than its announced length,
/// or larger than `MAX_ANSWER_BYTES`.
pub async fn read_answer(node: &Node, job: &Job, attempt: Attempt) -> Result<Answer, AttemptError> {
    let Attempt { pick, response, channel, guard: _guard } = attempt;
    let (head, body) = response.into_parts();
    channel.allow(MAX_WIRE_BYTES);
    let read = intake::read_answer(body, MAX_ANSWER_BYTES, SMALL_ANSWER, &job.room).await;
    let bytes = read.map_err(|error| {
        if channel.is_oversized() || matches!(error, AnswerError::TooLarge) {
            paths::record_failure(node, &pick, None);
            return AttemptError::Oversized;
        }
        paths::record_failure(node, &pick, channel.through());
        AttemptError::Broken(format!("its answer broke off: {error}"))
    })?;
    node.ledger.lock().record_progress(&pick.id, node.now());
    Ok(build_answer(head.status, &head.headers, bytes))
}

fn build_answer(status: hyper::StatusCode, headers: &HeaderMap, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(Some(bytes)));
    *answer.status_mut() = status;
    *answer.headers_mut() = header::strip_hop_by_hop(headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
