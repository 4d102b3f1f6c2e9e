//! Failures of requests, and the error answers for their callers.

use std::net::SocketAddr;

use cottoncrank::outcome::Outcome;
use cottoncrank::{Millis, id};
use cottoncrank_net::server::{Answer, Status, header, reply_json};
use serde::Serialize;
use thiserror::Error;

/// Why a request failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Cause {
    /// The bearer token is missing or unknown.
    #[error("the bearer token names no client account")]
    Token,
    /// The request is malformed.
    #[error("{0}")]
    Malformed(String),
    /// The body is too large.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no memory for the request.
    #[error("there is no room for the request at present")]
    NoRoom,
    /// The model or service does not exist or is not available to this account.
    #[error("there is no {0} for this client account")]
    Missing(String),
    /// No group of the model can serve at present.
    #[error("no group serves {0} at present")]
    NoGroup(String),
    /// The account has reached its limit of requests in flight.
    #[error("the client account has {0} requests in flight here, its limit")]
    Limit(usize),
    /// The view of this entry is stale because its controller does not answer.
    #[error("this entry does not know the state of the groups at present")]
    Stale,
    /// This entry is draining.
    #[error("this entry is leaving")]
    Draining,
    /// Another request with the same key is in flight.
    #[error("a request with this key is in flight")]
    KeyInFlight,
    /// A request with the same key has already run, and its answer was not kept.
    #[error("a request with this key has run, its answer was not kept")]
    KeyCompleted,
    /// The owners of the key cannot verify that it is new.
    #[error("it cannot be proved that this key is new: its owners were lost or cannot be reached")]
    KeyUnverifiable,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The retry budget is exhausted.
    #[error("the backend servers fail and the retry budget is spent")]
    Retries,
    /// The backend server failed.
    #[error("the backend server {0} failed")]
    Backend(SocketAddr),
    /// The backend servers are at capacity.
    #[error("the backend servers are full")]
    Full,
}

/// A failed request: the cause, and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why the request failed.
    pub cause: Cause,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

impl Failure {
    /// Creates a failure of a request that has not run.
    pub fn not_run(cause: Cause) -> Failure {
        Failure { cause, outcome: Outcome::NotRun }
    }

    /// Returns the HTTP status for the caller.
    pub fn status(&self) -> Status {
        match &self.cause {
            Cause::Token => Status::UNAUTHORIZED,
            Cause::Malformed(_) => Status::BAD_REQUEST,
            Cause::TooLarge(_) => Status::PAYLOAD_TOO_LARGE,
            Cause::Missing(_) => Status::NOT_FOUND,
            Cause::Limit(_) => Status::TOO_MANY_REQUESTS,
            Cause::KeyInFlight | Cause::KeyCompleted | Cause::KeyUnverifiable => Status::CONFLICT,
            Cause::Deadline => Status::GATEWAY_TIMEOUT,
            Cause::NoGroup(_) | Cause::NoRoom | Cause::Stale | Cause::Draining | Cause::Full => {
                Status::SERVICE_UNAVAILABLE
            }
            Cause::Retries | Cause::Backend(_) => match self.outcome {
                Outcome::NotRun => Status::SERVICE_UNAVAILABLE,
                Outcome::MayHaveRun | Outcome::PartlyAnswered => Status::BAD_GATEWAY,
            },
        }
    }

    /// Returns the delay after which the caller may retry, if a retry is useful.
    pub fn retry_after(&self) -> Option<Millis> {
        match &self.cause {
            Cause::NoGroup(_) => Some(Millis(2000)),
            Cause::NoRoom
            | Cause::Stale
            | Cause::Draining
            | Cause::Full
            | Cause::Limit(_)
            | Cause::KeyInFlight => Some(Millis(1000)),
            Cause::Retries | Cause::Backend(_) if self.outcome == Outcome::NotRun => Some(Millis(1000)),
            _ => None,
        }
    }

    /// Returns the error body for the caller.
    pub fn body(&self, request: id::Request) -> Body {
        Body {
            error: Error {
                message: self.cause.to_string(),
                kind: self.status().canonical_reason().unwrap_or("error").to_lowercase().replace(' ', "_"),
                outcome: self.outcome.to_string(),
                request: format!("{:016x}", request.0),
                retry_after_ms: self.retry_after().map(|wait| wait.0),
            },
        }
    }

    /// Counts the failure in the metrics. To be called once per failed request.
    pub fn count(&self) {
        metrics::counter!("cottoncrank_requests_failed", "outcome" => self.outcome.to_string()).increment(1);
    }

    /// Counts the failure and returns the complete answer.
    pub fn answer(&self, request: id::Request) -> Answer {
        self.count();
        let mut answer = reply_json(self.status(), &self.body(request));
        if let Some(wait) = self.retry_after() {
            let seconds = wait.0.div_ceil(1000);
            answer.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
        }
        answer
    }
}

/// The body of the answer to a failed request.
#[derive(Clone, Debug, Serialize)]
pub struct Body {
    error: Error,
}

#[derive(Clone, Debug, Serialize)]
struct Error {
    message: String,
    #[serde(rename = "type")]
    kind: String,
    /// One of `not run`, `may have run` and `partly answered`.
    outcome: String,
    request: String,
    retry_after_ms: Option<u64>,
}
