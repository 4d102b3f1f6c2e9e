//! Requests to plain services.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank::outcome::{Outcome, Progress, Recovery};
use cottoncrank::wire::KeyedOutcome;
use cottoncrank_net::client::{ANSWER_MAX, is_final};
use cottoncrank_net::intake::{self, LARGE_ANSWER};
use cottoncrank_net::resources::Charge;
use cottoncrank_net::server::{Answer, HeaderMap, Status, Verb, header, reply};

use crate::caller::{KEY_HEADER, RequestContext};
use crate::failure::{Cause, Failure};
use crate::keys::{Guard, MAX_KEPT_BYTES};
use crate::state::State;

/// The response header of a backend server that has not run the request.
const NOT_RUN_HEADER: &str = "x-cottoncrank-not-run";

/// A request to a plain service.
pub struct Call {
    /// The service's name.
    pub service: String,
    /// The method.
    pub method: Verb,
    /// The path and query below the service.
    pub path: String,
    /// The content type, if the caller gave one.
    pub kind: Option<header::HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// The answer of a backend server.
struct BackendAnswer {
    status: Status,
    kind: String,
    body: Bytes,
}

impl Call {
    /// Whether the method is idempotent (RFC 9110, section 9.2.2).
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
    }
}

/// Runs an admitted request and returns the answer for its caller.
pub async fn run(
    state: &Arc<State>,
    guard: Guard,
    context: &RequestContext,
    call: &Call,
    room: &Charge,
) -> Answer {
    match attempt(state, context, call, room).await {
        Ok(received) => {
            let body = (received.body.len() <= MAX_KEPT_BYTES).then(|| received.body.to_vec());
            let recorded = KeyedOutcome::Answered {
                status: received.status.as_u16(),
                kind: received.kind.clone(),
                body,
            };
            guard.close(recorded).await;
            answer(received.status, &received.kind, received.body)
        }
        Err(failure) => {
            let recorded = match failure.outcome {
                Outcome::NotRun => KeyedOutcome::NotRun,
                Outcome::MayHaveRun | Outcome::PartlyAnswered => KeyedOutcome::MayHaveRun,
            };
            guard.close(recorded).await;
            failure.answer(context.request)
        }
    }
}

/// Builds an answer with a content type chosen at run time.
pub fn answer(status: Status, kind: &str, body: Bytes) -> Answer {
    let mut answer = reply(status, "application/octet-stream", body);
    if let Ok(kind) = kind.parse() {
        answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    answer
}

async fn attempt(
    state: &Arc<State>,
    context: &RequestContext,
    call: &Call,
    room: &Charge,
) -> Result<BackendAnswer, Failure> {
    let view = state.view();
    let found = view.services.iter().find(|service| service.id.as_str() == call.service);
    let missing = || Failure::not_run(Cause::Missing(format!("service {}", call.service)));
    let addresses = &found.ok_or_else(missing)?.addresses;
    if addresses.is_empty() {
        return Err(missing());
    }
    let mut progress = Progress::new(context.once || !call.is_idempotent());
    let start = state.next_decision() as usize;
    for index in start.. {
        let address = addresses[index % addresses.len()];
        let remaining = context.deadline.since(state.now());
        if remaining == Millis(0) {
            return Err(Failure { cause: Cause::Deadline, outcome: progress.outcome() });
        }
        progress.begin_attempt();
        if let Some(received) = send(state, context, call, address, remaining, &mut progress, room).await {
            progress.mark_complete();
            state.deposit_retry(&context.account);
            return Ok(received);
        }
        metrics::counter!("cottoncrank_tries_failed").increment(1);
        let next = progress.fail_attempt(false);
        if let Recovery::Fail(outcome) = next {
            return Err(Failure { cause: Cause::Backend(address), outcome });
        }
        if !state.spend_retry(&context.account) {
            return Err(Failure { cause: Cause::Retries, outcome: progress.outcome() });
        }
    }
    Err(missing())
}

/// Sends the request once. Returns `None` if there is no answer to forward.
async fn send(
    state: &State,
    context: &RequestContext,
    call: &Call,
    address: SocketAddr,
    wait: Millis,
    progress: &mut Progress,
    room: &Charge,
) -> Option<BackendAnswer> {
    let deadline = state.now() + wait;
    let mut headers = HeaderMap::new();
    if let Some(kind) = &call.kind {
        headers.insert(header::CONTENT_TYPE, kind.clone());
    }
    if let Some(key) = context.key.as_ref().and_then(|key| key.parse().ok()) {
        headers.insert(header::HeaderName::from_static(KEY_HEADER), key);
    }
    context.trace.child(&mut rand::rng()).insert_into(&mut headers);
    let sent =
        state.client.send(address, call.method.clone(), &call.path, headers, call.body.clone(), wait).await;
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            log::warn!("service: {}: {error}", call.service);
            if !error.is_unsent() {
                progress.mark_sent();
            }
            return None;
        }
    };
    progress.mark_sent();
    if !is_final(answer.status()) {
        let status = answer.status().as_u16();
        log::warn!("service: {}: {address} sent the status {status}, which no answer has", call.service);
        return None;
    }
    if answer.headers().contains_key(NOT_RUN_HEADER) {
        progress.mark_rejected();
        return None;
    }
    let status = answer.status();
    let kind = answer.headers().get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let kind = kind.unwrap_or("application/octet-stream").to_owned();
    let reading = intake::read_answer(answer.into_body(), ANSWER_MAX, LARGE_ANSWER, room);
    match tokio::time::timeout(deadline.since(state.now()).duration(), reading).await {
        Ok(Ok(body)) => Some(BackendAnswer { status, kind, body }),
        Ok(Err(error)) => {
            log::warn!("service: {}: the answer of {address} was not read: {error}", call.service);
            None
        }
        Err(_) => {
            log::warn!("service: {}: the answer of {address} was not read in time", call.service);
            None
        }
    }
}
