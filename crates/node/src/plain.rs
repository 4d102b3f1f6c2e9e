//! Requests whose answer is passed on whole.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank_fleet::trials::Ruling;
use cottoncrank_platform::header;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap};

use crate::answer::{Answer, Body, Refusal};
use crate::attempt::{Attempt, AttemptError, Job, Pick, send};
use crate::candidates::{has_free, pick as pick_free, pick_at, refuse_unwilling};
use crate::crash;
use crate::retries;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle::{self, Permit};

/// The largest answer that is held until it is whole, in bytes.
const ANSWER_MAX: usize = 4 << 20;

/// Tries of one request, refused ones included. Runners that refuse answer at
/// once; more would only find the others refusing as well.
const TRIES: usize = 3;

/// Runs a request and answers with the whole of the runner's answer.
pub async fn run(node: &Arc<Node>, job: &Job) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut sent = 0;
    let mut may_have_run = false;
    let mut arrived = false;
    let mut place = None;
    while tried.len() < TRIES && sent < job.route.attempts {
        if job.is_over(node) {
            return Err(Refusal::Late);
        }
        match suspects::decide(node, job) {
            Ruling::Run | Ruling::Trial => {}
            Ruling::Reject => return Err(Refusal::Deadly),
            Ruling::Quarantine if may_have_run => break,
            Ruling::Quarantine => return Err(Refusal::Held),
        }
        let pick = match throttle::query_permit(node, job, &tried).await {
            Some(Permit::Take(runner)) => pick_at(node, job, &runner),
            Some(Permit::Wait(wait)) if !has_free(node, job, &tried) => {
                place = Some(wait);
                break;
            }
            Some(Permit::Free(claims)) => {
                throttle::receive_rates(node, &claims);
                None
            }
            Some(Permit::Wait(_)) | None => None,
        };
        let Some(pick) = pick.or_else(|| pick_free(node, job, &tried)) else { break };
        if arrived && !retries::spend(node, job).await {
            break;
        }
        tried.push(pick.id.clone());
        let outcome = tokio::select! {
            outcome = try_at(node, job, &pick) => outcome,
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
                arrived |= error.has_arrived();
                crash::investigate(node, job, &pick, &error).await;
                if error.may_have_run() {
                    sent += 1;
                    may_have_run = true;
                    if !job.route.is_repeatable() {
                        break;
                    }
                }
            }
        }
    }
    if let Some(wait) = place.filter(|_| !may_have_run) {
        return Err(throttle::refuse(node, job, wait));
    }
    Err(match (may_have_run, tried.is_empty()) {
        (true, _) => Refusal::MayHaveRun,
        (false, true) => refuse_unwilling(node, job).unwrap_or(Refusal::NoRunner),
        (false, false) => refuse_unwilling(node, job).unwrap_or(Refusal::NotRun),
    })
}

async fn try_at(node: &Arc<Node>, job: &Job, pick: &Pick) -> Result<Answer, AttemptError> {
    let attempt = send(node, job, pick, None).await?;
    read_whole(node, attempt).await
}

/// Reads an answer to its end. A length that it names must be met.
pub async fn read_whole(node: &Node, attempt: Attempt) -> Result<Answer, AttemptError> {
    let (head, body) = attempt.response.into_parts();
    let collected = Limited::new(body, ANSWER_MAX).collect().await;
    let bytes = collected.map_err(|error| {
        node.ledger.lock().blame(&attempt.pick.id, node.now());
        AttemptError::Broken(format!("its answer broke off: {error}"))
    })?;
    node.ledger.lock().progress(&attempt.pick.id, node.now());
    Ok(pass_on(head.status, &head.headers, bytes.to_bytes()))
}

fn pass_on(status: hyper::StatusCode, headers: &HeaderMap, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(Some(bytes)));
    *answer.status_mut() = status;
    *answer.headers_mut() = header::strip(headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
