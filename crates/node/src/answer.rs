//! Answers to callers: whole ones, streams, and refusals.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::server::Cut;
use cottoncrank_platform::header;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use rand::Rng;
use thiserror::Error;
use tokio::sync::mpsc;

/// An answer.
pub type Answer = Response<Body>;

/// The body of an answer.
pub enum Body {
    /// All of it, until it has been taken.
    Whole(Option<Bytes>),
    /// Pieces as they come. An error closes the connection, so that a broken
    /// answer does not look whole.
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
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
                receiver.poll_recv(context).map(|next| next.map(|piece| piece.map(Frame::data)))
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

/// Why a request was given up on.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No route has this host and path.
    #[error("no route")]
    NoRoute,
    /// The key is no account's.
    #[error("unknown key")]
    UnknownKey,
    /// The body is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// The body broke off.
    #[error("the body broke off")]
    BrokenBody,
    /// The node does not know enough to judge the request; it has not run.
    #[error("this node cannot judge requests at present")]
    StaleConfig,
    /// No runner can take it at present; it has not run.
    #[error("no runner can take it at present")]
    NoRunner,
    /// As many requests as its runners can take in time are under way; it has not run.
    #[error("its runners have all they can take in time, {running} of them from here{}", format_wait(.wait))]
    Full {
        /// Requests of its model under way at this node.
        running: u32,
        /// How far away the earliest first event is, as far as the hall's collector knows.
        wait: Option<Millis>,
    },
    /// Runners have ended under it, and another run of it is undecided; it has not run.
    #[error("runners have ended under it, and it is not clear yet whether because of it")]
    Quarantined,
    /// It ends the runners that run it. It will do so again: nobody is served by that.
    #[error("it ends the runners that run it and is not run any more; it is no use to send it again")]
    Deadly,
    /// All runners that can take it have said that they want no requests from this node for a
    /// while.
    #[error("the runners want no requests for {wait}{}", format_remaining(*wait, *remaining))]
    Backoff {
        /// Until the first one wants some again.
        wait: Millis,
        /// How long its caller waits; none if that is not said.
        remaining: Option<Millis>,
    },
    /// All runners that can take it have had as many requests as they take from all nodes together.
    #[error("the runners have had as many requests as they take, the next place is {wait} away{}", format_remaining(*wait, *remaining))]
    Throttled {
        /// Until there is a place.
        wait: Millis,
        /// How long its caller waits; none if that is not said.
        remaining: Option<Millis>,
    },
    /// Runners were asked, and all said that they did not run it.
    #[error("the runners asked did not run it")]
    NotRun,
    /// It may have run, and gave no answer that can be passed on.
    #[error("it may have run, and there is no answer")]
    MayHaveRun,
    /// The time it had is over.
    #[error("the time it had is over")]
    DeadlineExceeded,
}

fn format_wait(wait: &Option<Millis>) -> String {
    wait.map_or(String::new(), |wait| format!(", the earliest first event is {wait} away"))
}

fn format_remaining(wait: Millis, remaining: Option<Millis>) -> String {
    match remaining.filter(|remaining| *remaining <= wait) {
        Some(remaining) => format!(", and the caller waits for {remaining}"),
        None => String::new(),
    }
}

/// When a caller should come back where no runner can take its request. Lost
/// groups are formed anew within two or three seconds; callers come back after
/// a third of the time they have left at the latest.
const RETRY_DELAY: Millis = Millis(600);

/// When a caller should come back to runners that have all they can take, at the
/// soonest: a shortage lasts for as long as a group takes to be formed anew, two to four
/// seconds.
const FULL_RETRY_DELAY: Millis = Millis(1500);

/// Callers that are refused together come back spread over this time.
const RETRY_JITTER: Millis = Millis(1000);

impl Refusal {
    fn status(&self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            // The status after which callers do not come again.
            Refusal::BrokenBody | Refusal::Deadly => StatusCode::BAD_REQUEST,
            Refusal::StaleConfig
            | Refusal::NoRunner
            | Refusal::Quarantined
            | Refusal::NotRun
            | Refusal::Full { .. }
            | Refusal::Backoff { .. }
            | Refusal::Throttled { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::MayHaveRun => StatusCode::BAD_GATEWAY,
            Refusal::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The reason as the figures name it.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "key",
            Refusal::TooLarge => "too_large",
            Refusal::BrokenBody => "body",
            Refusal::StaleConfig => "unsure",
            Refusal::NoRunner => "no_runner",
            Refusal::Full { .. } => "full",
            Refusal::Backoff { .. } => "backoff",
            Refusal::Throttled { .. } => "throttled",
            Refusal::Quarantined => "held",
            Refusal::Deadly => "deadly",
            Refusal::NotRun => "not_run",
            Refusal::MayHaveRun => "may_have_run",
            Refusal::DeadlineExceeded => "late",
        }
    }

    /// Whether coming back later helps.
    fn is_retryable(&self) -> bool {
        match self {
            Refusal::StaleConfig
            | Refusal::NoRunner
            | Refusal::Quarantined
            | Refusal::NotRun
            | Refusal::Full { .. } => true,
            // A caller whose time ends first would be refused again.
            Refusal::Backoff { wait, remaining } | Refusal::Throttled { wait, remaining } => {
                remaining.is_none_or(|remaining| *wait < remaining)
            }
            _ => false,
        }
    }

    /// When the caller should come back.
    fn pick_retry_delay(&self) -> Millis {
        match self {
            Refusal::Full { .. } => FULL_RETRY_DELAY + Millis(rand::rng().random_range(0..RETRY_JITTER.0)),
            // The collector has spread those already.
            Refusal::Throttled { wait, .. } => *wait,
            Refusal::Backoff { wait, .. } => *wait + Millis(rand::rng().random_range(0..RETRY_JITTER.0)),
            _ => RETRY_DELAY,
        }
    }

    /// The answer that tells the caller.
    pub fn answer(&self, request: Option<&str>) -> Answer {
        let mut answer = Response::new(Body::Whole(Some(Bytes::from(format!("{self}\n")))));
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        header::write_request(headers, request);
        if self.is_retryable() {
            header::write_retry(headers, self.pick_retry_delay());
        }
        answer
    }
}
