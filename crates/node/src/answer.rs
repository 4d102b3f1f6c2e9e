//! Answers to callers: whole ones, streams and refusals.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::feed::{self, Cut};
use cottoncrank_platform::header;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use rand::Rng;
use thiserror::Error;

use crate::telemetry;

/// An answer to a caller.
pub type Answer = Response<Body>;

/// The body of an answer.
pub enum Body {
    /// The whole body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Chunks as they arrive. One that is cut closes the connection, so that it does not look complete.
    Stream(feed::Receiver),
}

impl Body {
    /// Returns a watch of a stream.
    pub fn watch(&self) -> Option<feed::Watch> {
        match self {
            Body::Whole(_) => None,
            Body::Stream(receiver) => Some(receiver.watch()),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream(receiver) => {
                let polled = receiver.poll_chunk(context);
                match &polled {
                    Poll::Ready(None) => telemetry::count_stream_body("complete"),
                    Poll::Ready(Some(Err(Cut))) => telemetry::count_stream_body("cut"),
                    Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
                }
                polled.map(|next| next.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}

/// Why a request was refused, or ended without an answer that can be forwarded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No route has this host and path.
    #[error("no route")]
    NoRoute,
    /// The key belongs to no account.
    #[error("unknown key")]
    UnknownKey,
    /// The answer would be a stream without chunks, which cannot be told from a cut one.
    #[error("a stream needs HTTP/1.1")]
    Version,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body broke off.
    #[error("the body broke off")]
    BrokenBody,
    /// The body did not arrive while its caller waited. It has not run.
    #[error("its body did not arrive in time")]
    Stalled,
    /// There is no memory for the request at present. It has not run.
    #[error("there is no room for it at present")]
    NoRoom,
    /// The node's configuration is missing or too old to decide about the request, which has not
    /// run.
    #[error("this node cannot judge requests at present")]
    StaleConfig,
    /// No runner can take the request now. It has not run.
    #[error("no runner can take it at present")]
    NoRunner,
    /// All halls with runners for the request are under evacuation. It has not run.
    #[error("all halls that could run it are under evacuation")]
    Evacuated,
    /// Its runners have as many requests in flight as they can answer in time. It has not run.
    #[error("its runners have all they can take in time, {running} of them from here{}", format_wait(.wait, .retry))]
    Full {
        /// The requests of its model that are in flight at this node.
        running: u32,
        /// The time until the earliest possible first event, as far as the hall's collector knows.
        wait: Option<Millis>,
        /// The time after which the caller should retry, if the hall's collector planned one.
        retry: Option<Millis>,
    },
    /// Runners have crashed under the request, and the outcome of another run of it is not known
    /// yet. It has not run.
    #[error("runners have ended under it, and it is not clear yet whether because of it")]
    Quarantined,
    /// The request crashes the runners that run it. It would do so again, so no retry can succeed.
    #[error("it ends the runners that run it and is not run any more; it is no use to send it again")]
    Deadly,
    /// All runners that can take the request are backing off from this node.
    #[error("the runners want no requests for {wait}{}", format_remaining(*wait, *remaining))]
    Backoff {
        /// The time until the first backoff ends.
        wait: Millis,
        /// How long the caller still waits; `None` if the caller did not say.
        remaining: Option<Millis>,
    },
    /// All runners that can take the request are at the rate that they accept from all nodes
    /// together.
    #[error("the runners have had as many requests as they take, the next place is {wait} away{}", format_remaining(*wait, *remaining))]
    Throttled {
        /// The time until one of them accepts a request.
        wait: Millis,
        /// How long the caller still waits; `None` if the caller did not say.
        remaining: Option<Millis>,
    },
    /// Another node took this one for a runner, by an entry with its address. It has not run.
    #[error("no runner is at this address")]
    Misdirected,
    /// Runners were tried, and none of them ran the request.
    #[error("the runners asked did not run it")]
    NotRun,
    /// The request may have run, and there is no answer that can be forwarded.
    #[error("it may have run, and there is no answer")]
    MayHaveRun,
    /// The deadline has passed.
    #[error("the time it had is over")]
    DeadlineExceeded,
}

fn format_wait(wait: &Option<Millis>, retry: &Option<Millis>) -> String {
    let wait = wait.map_or(String::new(), |wait| format!(", the earliest first event is {wait} away"));
    retry.map_or(wait.clone(), |retry| format!("{wait}, and a place in {retry}"))
}

fn format_remaining(wait: Millis, remaining: Option<Millis>) -> String {
    match remaining.filter(|remaining| *remaining <= wait) {
        Some(remaining) => format!(", and the caller waits for {remaining}"),
        None => String::new(),
    }
}

/// The delay after which a caller should retry where no runner can take its request. Lost groups
/// are formed again within two or three seconds. Callers retry after a third of their remaining
/// time at the latest.
const RETRY_DELAY: Millis = Millis(600);

/// The shortest delay after which a caller should retry at runners that are full. A shortage lasts
/// as long as forming a group again takes, two to four seconds.
const FULL_RETRY_DELAY: Millis = Millis(1500);

/// The jitter that spreads the retries of callers refused at the same time.
const RETRY_JITTER: Millis = Millis(1000);

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            // Callers do not retry after this status.
            Refusal::BrokenBody | Refusal::Deadly => StatusCode::BAD_REQUEST,
            Refusal::Stalled => StatusCode::REQUEST_TIMEOUT,
            Refusal::NoRoom
            | Refusal::StaleConfig
            | Refusal::NoRunner
            | Refusal::Evacuated
            | Refusal::Quarantined
            | Refusal::NotRun
            | Refusal::Full { .. }
            | Refusal::Backoff { .. }
            | Refusal::Throttled { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Misdirected => StatusCode::MISDIRECTED_REQUEST,
            Refusal::MayHaveRun => StatusCode::BAD_GATEWAY,
            Refusal::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as a metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "key",
            Refusal::Version => "version",
            Refusal::TooLarge => "too_large",
            Refusal::BrokenBody => "body",
            Refusal::Stalled => "stalled",
            Refusal::NoRoom => "no_room",
            Refusal::StaleConfig => "unsure",
            Refusal::NoRunner => "no_runner",
            Refusal::Evacuated => "evacuated",
            Refusal::Full { .. } => "full",
            Refusal::Backoff { .. } => "backoff",
            Refusal::Throttled { .. } => "throttled",
            Refusal::Quarantined => "held",
            Refusal::Deadly => "deadly",
            Refusal::Misdirected => "misdirected",
            Refusal::NotRun => "not_run",
            Refusal::MayHaveRun => "may_have_run",
            Refusal::DeadlineExceeded => "late",
        }
    }

    /// Whether a later retry may succeed.
    fn is_retryable(&self) -> bool {
        match self {
            Refusal::NoRoom
            | Refusal::StaleConfig
            | Refusal::NoRunner
            | Refusal::Evacuated
            | Refusal::Quarantined
            | Refusal::NotRun
            | Refusal::Full { .. } => true,
            // A caller whose time ends before the wait would be refused again.
            Refusal::Backoff { wait, remaining } | Refusal::Throttled { wait, remaining } => {
                remaining.is_none_or(|remaining| *wait < remaining)
            }
            _ => false,
        }
    }

    /// Returns the delay after which the caller should retry.
    fn pick_retry_delay(&self) -> Millis {
        match self {
            Refusal::Full { retry: Some(retry), .. } => *retry,
            Refusal::Evacuated | Refusal::Full { .. } => {
                FULL_RETRY_DELAY + Millis(rand::rng().random_range(0..RETRY_JITTER.0))
            }
            // The collector has already spread these retries.
            Refusal::Throttled { wait, .. } => *wait,
            Refusal::Backoff { wait, .. } => *wait + Millis(rand::rng().random_range(0..RETRY_JITTER.0)),
            _ => RETRY_DELAY,
        }
    }

    /// Returns the answer that reports the refusal.
    pub fn to_answer(&self, request: Option<&str>) -> Answer {
        let mut answer = Response::new(Body::Whole(Some(Bytes::from(format!("{self}\n")))));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        header::write_request_id(headers, request);
        if self.is_retryable() {
            header::write_retry_after(headers, self.pick_retry_delay());
        }
        answer
    }
}
