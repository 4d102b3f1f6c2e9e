//! Forwards the rest of a stream to the caller, resuming it at other runners.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_net::feed;

use crate::answer::Refusal;
use crate::attempt::{AttemptError, Job};
use crate::in_flight::{LimitGuard, RequestGuard};
use crate::paths;
use crate::runner_stream::{RunnerStream, SILENCE_TIMEOUT, StreamItem, read_next_events};
use crate::state::Node;
use crate::suspects::{record_answered, wait_until_deadly};
use crate::telemetry;
use crate::tries::{Tries, start_next_attempt};

/// The chunks buffered for a caller that reads slowly.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// Forwards a stream to its caller.
struct Relay {
    source: Source,
    sender: feed::Sender,
    /// Counts the request as in flight until it ends.
    _guards: (RequestGuard, LimitGuard),
}

/// Reads the events of a stream, from one runner after the other.
pub struct Source {
    node: Arc<Node>,
    job: Arc<Job>,
    tries: Tries,
    stream: RunnerStream,
    /// Whether a pause longer than the route's target was logged already.
    gap_logged: bool,
}

/// How a stream ends at its caller.
enum End {
    /// With its last event.
    Complete,
    /// The caller left before.
    Left,
    /// The rest of the stream is missing.
    Cut(Refusal),
}

impl Relay {
    /// Forwards events until the stream ends, the caller leaves or the deadline passes.
    async fn run(mut self) {
        let (job, node) = (self.source.job.clone(), self.source.node.clone());
        let end = tokio::select! {
            end = forward(&mut self.source, &self.sender) => end,
            () = self.sender.closed() => End::Left,
            () = node.wait_until(job.deadline) => End::Cut(Refusal::DeadlineExceeded),
        };
        let request = job.id();
        match end {
            End::Complete => self.sender.finish(),
            End::Left => log::info!("request {request}: the caller left"),
            End::Cut(refusal) => {
                telemetry::count_cut_stream();
                let buffered = self.sender.buffered();
                log::warn!("request {request}: the stream is cut: {refusal}, {buffered} chunks are buffered");
            }
        }
    }
}

async fn forward(source: &mut Source, sender: &feed::Sender) -> End {
    loop {
        match source.next().await {
            Ok(StreamItem::Events(events)) => {
                if sender.send(events).await.is_err() {
                    return End::Left;
                }
            }
            Ok(StreamItem::End) => return End::Complete,
            Err(refusal) => return End::Cut(refusal),
        }
    }
}

/// Returns a body that begins with the first item of a stream, and spawns a task that forwards the rest.
/// The task holds `guards` until it ends.
pub async fn start(first: StreamItem, source: Source, guards: (RequestGuard, LimitGuard)) -> feed::Receiver {
    let (sender, receiver) = feed::channel(MAX_BUFFERED_CHUNKS);
    match first {
        StreamItem::End => sender.finish(),
        StreamItem::Events(events) => {
            // The buffer is empty and its receiver is here, so this does not wait.
            if let Err(error) = sender.send(events).await {
                log::error!("request {}: {error}", source.job.id());
            }
            tokio::spawn(Relay { source, sender, _guards: guards }.run());
        }
    }
    receiver
}

impl Source {
    /// Returns the source of the events of `stream`, and after it of those of further tries.
    pub fn new(node: Arc<Node>, job: Arc<Job>, tries: Tries, stream: RunnerStream) -> Source {
        Source { node, job, tries, stream, gap_logged: false }
    }

    /// Returns the next events, resuming the stream at other runners as needed.
    async fn next(&mut self) -> Result<StreamItem, Refusal> {
        let started = self.node.now();
        loop {
            match self.receive_events().await {
                Ok(StreamItem::Events(events)) => {
                    self.log_long_gap(started);
                    return Ok(StreamItem::Events(events));
                }
                Ok(StreamItem::End) => {
                    self.record_end();
                    return Ok(StreamItem::End);
                }
                Err(error) => self.resume(&error).await?,
            }
        }
    }

    fn record_end(&self) {
        if self.stream.has_end_mark {
            record_answered(&self.node, &self.job);
        }
    }

    /// Logs the first pause that is longer than the route's target.
    fn log_long_gap(&mut self, started: Millis) {
        let pause = self.node.now().since(started);
        if self.gap_logged || self.job.route.target_gap.is_none_or(|gap| pause <= gap) {
            return;
        }
        self.gap_logged = true;
        let last_event =
            self.stream.splitter.last_id().map_or("-".to_owned(), |last_event| last_event.to_string());
        let runner = &self.stream.pick.id;
        log::info!(
            "request {}: late: {pause} without an event before event {last_event} of {runner}",
            self.job.id()
        );
    }

    /// Reads the next events of the current runner, unless its group is lost.
    async fn receive_events(&mut self) -> Result<StreamItem, AttemptError> {
        let pick = self.stream.pick.clone();
        let next =
            tokio::time::timeout(SILENCE_TIMEOUT.duration(), read_next_events(&self.node, &mut self.stream));
        tokio::select! {
            next = next => next.unwrap_or_else(|_| {
                paths::record_failure(&self.node, &pick, None);
                Err(AttemptError::Silent(format!("no event for {SILENCE_TIMEOUT}")))
            }),
            () = wait_until_deadly(&self.node, &self.job) => Err(AttemptError::Stopped),
            () = pick.wait_lost(&self.node), if self.job.route.is_repeatable() => {
                Err(AttemptError::MayHaveRun("its group lost a member".to_owned()))
            }
        }
    }

    /// Resumes the stream at another runner, after the last event that was forwarded.
    async fn resume(&mut self, error: &AttemptError) -> Result<(), Refusal> {
        self.tries.record_failure(&self.node, &self.job, error).await;
        let last_event = self.stream.splitter.last_id();
        loop {
            let attempt = start_next_attempt(&self.node, &self.job, &mut self.tries, last_event).await?;
            if !attempt.response.status().is_success() {
                let error = AttemptError::MayHaveRun(format!("it answered {}", attempt.response.status()));
                self.tries.record_failure(&self.node, &self.job, &error).await;
                continue;
            }
            self.stream = RunnerStream::open(attempt, last_event).1;
            return Ok(());
        }
    }
}
