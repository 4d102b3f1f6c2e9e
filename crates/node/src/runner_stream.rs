//! The stream that a runner sends, and how long the runner may send nothing.

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_fleet::event::{EventError, MAX_EVENT_BYTES, Splitter};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;

use crate::attempt::{Attempt, AttemptError, Pick};
use crate::channel::Channel;
use crate::connect;
use crate::in_flight::AttemptGuard;
use crate::paths;
use crate::state::Node;

/// A runner that sends nothing for this long is late, and another one is tried beside it. All nodes learn
/// sooner than that of a group that lost a member. Callers give up after two seconds.
pub const SILENCE_TIMEOUT: Millis = Millis(1200);

/// The most that a runner may send between two events that the caller does not have yet, in bytes. Chunks
/// take more than what they hold.
const MAX_EVENT_WIRE_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// A stream in flight at one runner.
pub struct RunnerStream {
    /// The runner.
    pub pick: Pick,
    /// Whether the answer says where it ends, by a length or by chunks. If not, a crash between two events
    /// looks like the end.
    pub has_end_mark: bool,
    body: Incoming,
    /// Splits the stream into events, and knows the last event forwarded.
    pub splitter: Splitter,
    /// The last event read when the runner was last allowed to send more.
    allowed_after: Option<u64>,
    channel: Channel,
    guard: AttemptGuard,
}

/// What a stream yields next.
pub enum StreamItem {
    /// One or more whole events.
    Events(Bytes),
    /// The end of the stream.
    End,
}

impl RunnerStream {
    /// Opens the body of an answer as a stream that yields the events after `last_event`. Returns
    /// the head as well.
    pub fn open(attempt: Attempt, last_event: Option<u64>) -> (response::Parts, RunnerStream) {
        let (head, body) = Response::into_parts(attempt.response);
        let splitter = Splitter::resume_after(last_event);
        let (pick, guard) = (attempt.pick, attempt.guard);
        let has_end_mark =
            [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| head.headers.contains_key(name));
        let channel = attempt.channel;
        channel.allow(MAX_EVENT_WIRE_BYTES);
        (head, RunnerStream { pick, has_end_mark, body, splitter, allowed_after: last_event, channel, guard })
    }
}

impl RunnerStream {
    /// Allows the runner to send another event, once it has sent the last one.
    fn allow_next(&mut self) {
        if self.splitter.last_id() != self.allowed_after {
            self.allowed_after = self.splitter.last_id();
            self.channel.allow(MAX_EVENT_WIRE_BYTES);
        }
    }

    /// Records that the runner sends what is no stream, or more than an event may have.
    fn record_error(&self, node: &Node, error: EventError) -> AttemptError {
        match error {
            EventError::TooLarge => self.record_oversized(node),
            EventError::Gap { .. } => AttemptError::MayHaveRun(error.to_string()),
        }
    }

    /// Records that the runner has sent more than it may.
    fn record_oversized(&self, node: &Node) -> AttemptError {
        paths::record_failure(node, &self.pick, None);
        AttemptError::Oversized
    }

    /// Records that the connection broke. The investigation of the runner follows; a node that carried the
    /// connection is avoided.
    fn record_break(&self, node: &Node) {
        if let Some(through) = self.channel.through() {
            connect::avoid(node, through.clone());
        }
    }
}

/// Reads the next events that the caller does not have yet.
pub async fn read_next_events(node: &Node, stream: &mut RunnerStream) -> Result<StreamItem, AttemptError> {
    loop {
        let frame = match stream.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) if stream.channel.is_oversized() => return Err(stream.record_oversized(node)),
            Some(Err(error)) => {
                stream.record_break(node);
                return Err(AttemptError::Broken(format!("the stream broke off: {error}")));
            }
            None if stream.splitter.is_at_boundary() => return Ok(StreamItem::End),
            None => return Err(AttemptError::Broken("the stream ended within an event".to_owned())),
        };
        let Ok(chunk) = frame.into_data() else { continue };
        node.ledger.lock().record_progress(&stream.pick.id, node.now());
        stream.guard.begin_stream();
        let events = stream.splitter.push(&chunk).map_err(|error| stream.record_error(node, error))?;
        stream.allow_next();
        if !events.is_empty() {
            return Ok(StreamItem::Events(events));
        }
    }
}
