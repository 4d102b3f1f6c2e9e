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
use crate::flight::Attempting;
use crate::state::Node;
use crate::suspects::wait_until_deadly;

/// A runner that sends nothing for this long is given up on. A group that lost a
/// member is known to all nodes sooner than that; one that is only busy must not
/// get the same requests twice. Callers give up after two seconds.
pub const PATIENCE: Millis = Millis(1200);

/// A stream under way at one runner.
pub struct Source {
    /// The runner.
    pub pick: Pick,
    body: Incoming,
    /// What was passed on of it.
    pub splitter: Splitter,
    _channel: Channel,
    counted: Attempting,
}

/// What comes next in a stream.
pub enum Next {
    /// Whole events.
    Events(Bytes),
    /// The stream is over.
    End,
}

impl Source {
    /// The body of an answer, to be passed on after event `last`. Returns the head as well.
    pub fn open(attempt: Attempt, last: Option<u64>) -> (response::Parts, Source) {
        let (head, body) = Response::into_parts(attempt.response);
        let splitter = Splitter::after(last);
        let (pick, counted) = (attempt.pick, attempt.counted);
        (head, Source { pick, body, splitter, _channel: attempt.channel, counted })
    }
}

/// Waits for something from a runner, as long as its group is not lost. After
/// [`PATIENCE`] it is given up on too, if it has sent nothing to any request of
/// this node since `started`, and the request may be sent again.
pub async fn wait_unless_silent<T>(
    node: &Node,
    job: &Job,
    pick: &Pick,
    started: Millis,
    waiting: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    tokio::pin!(waiting);
    let lost = pick.wait_lost(node);
    tokio::pin!(lost);
    let deadly = wait_until_deadly(node, job);
    tokio::pin!(deadly);
    loop {
        tokio::select! {
            outcome = &mut waiting => return outcome,
            () = &mut lost, if job.route.is_repeatable() => {
                return Err(AttemptError::MayHaveRun("its group lost a member".to_owned()));
            }
            () = &mut deadly => return Err(AttemptError::Stopped),
            () = tokio::time::sleep(PATIENCE.duration()) => {
                let mut ledger = node.ledger.lock();
                if job.route.is_repeatable() && ledger.is_silent(&pick.id, started) {
                    ledger.blame(&pick.id, node.now());
                    return Err(AttemptError::Silent(format!("silent for {PATIENCE}")));
                }
            }
        }
    }
}

/// Reads the first events of a stream.
pub async fn read_first(node: &Node, job: &Job, source: &mut Source) -> Result<Next, AttemptError> {
    let started = node.now();
    let pick = source.pick.clone();
    wait_unless_silent(node, job, &pick, started, read_next(node, source)).await
}

/// Reads the next events that the caller does not have yet.
pub async fn read_next(node: &Node, source: &mut Source) -> Result<Next, AttemptError> {
    loop {
        let frame = match source.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                return Err(AttemptError::Broken(format!("the stream broke off: {error}")));
            }
            None if source.splitter.is_at_boundary() => return Ok(Next::End),
            None => return Err(AttemptError::Broken("the stream ended within an event".to_owned())),
        };
        let Ok(piece) = frame.into_data() else { continue };
        node.ledger.lock().progress(&source.pick.id, node.now());
        source.counted.begin_stream();
        let events =
            source.splitter.push(&piece).map_err(|error| AttemptError::MayHaveRun(error.to_string()))?;
        if !events.is_empty() {
            return Ok(Next::Events(events));
        }
    }
}
