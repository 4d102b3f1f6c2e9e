//! A stream under way at one runner, and how long it may be silent.

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_fleet::event::Splitter;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;

use crate::attempt::{Attempt, AttemptError, Job, Pick};
use crate::channel::Channel;
use crate::in_flight::AttemptGuard;
use crate::state::Node;
use crate::suspects::wait_deadly;

/// A runner that sends nothing for this long is given up on. A group that lost a
/// member is known to all nodes sooner than that; one that is only busy must not
/// get the same requests twice. Callers give up after two seconds.
pub const SILENCE_TIMEOUT: Millis = Millis(1200);

/// A stream under way at one runner.
pub struct RunnerStream {
    /// The runner.
    pub pick: Pick,
    body: Incoming,
    /// What was passed on of it.
    pub splitter: Splitter,
    _channel: Channel,
    guard: AttemptGuard,
}

/// What comes next in a stream.
pub enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The stream is over.
    End,
}

impl RunnerStream {
    /// The body of an answer, to be passed on after event `last_event`. Returns the head as well.
    pub fn open(attempt: Attempt, last_event: Option<u64>) -> (response::Parts, RunnerStream) {
        let (head, body) = Response::into_parts(attempt.response);
        let splitter = Splitter::after(last_event);
        let (pick, guard) = (attempt.pick, attempt.guard);
        (head, RunnerStream { pick, body, splitter, _channel: attempt.channel, guard })
    }
}

/// Waits for something from a runner, as long as its group is not lost. After
/// [`SILENCE_TIMEOUT`] it is given up on too, if it has sent nothing to any request of
/// this node since `started`, and the request may be sent again.
pub async fn wait_unless_unresponsive<T>(
    node: &Node,
    job: &Job,
    pick: &Pick,
    started: Millis,
    waiting: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    tokio::pin!(waiting);
    let group_lost = pick.wait_lost(node);
    tokio::pin!(group_lost);
    let deadly = wait_deadly(node, job);
    tokio::pin!(deadly);
    loop {
        tokio::select! {
            outcome = &mut waiting => return outcome,
            () = &mut group_lost, if job.route.is_repeatable() => {
                return Err(AttemptError::MayHaveRun("its group lost a member".to_owned()));
            }
            () = &mut deadly => return Err(AttemptError::Stopped),
            () = tokio::time::sleep(SILENCE_TIMEOUT.duration()) => {
                let mut ledger = node.ledger.lock();
                if job.route.is_repeatable() && ledger.is_silent(&pick.id, started) {
                    ledger.blame(&pick.id, node.now());
                    return Err(AttemptError::Silent(format!("silent for {SILENCE_TIMEOUT}")));
                }
            }
        }
    }
}

/// Reads the first events of a stream.
pub async fn read_first_events(
    node: &Node,
    job: &Job,
    stream: &mut RunnerStream,
) -> Result<StreamItem, AttemptError> {
    let started = node.now();
    let pick = stream.pick.clone();
    wait_unless_unresponsive(node, job, &pick, started, read_next_events(node, stream)).await
}

/// Reads the next events that the caller does not have yet.
pub async fn read_next_events(node: &Node, stream: &mut RunnerStream) -> Result<StreamItem, AttemptError> {
    loop {
        let frame = match stream.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                return Err(AttemptError::Broken(format!("the stream broke off: {error}")));
            }
            None if stream.splitter.is_at_boundary() => return Ok(StreamItem::End),
            None => return Err(AttemptError::Broken("the stream ended within an event".to_owned())),
        };
        let Ok(piece) = frame.into_data() else { continue };
        node.ledger.lock().progress(&stream.pick.id, node.now());
        stream.guard.begin_stream();
        let events =
            stream.splitter.push(&piece).map_err(|error| AttemptError::MayHaveRun(error.to_string()))?;
        if !events.is_empty() {
            return Ok(StreamItem::Events(events));
        }
    }
}
