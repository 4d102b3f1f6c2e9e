//! Forwards the rest of a stream to the caller, resuming it at other runners.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::{Millis, Size};
use cottoncrank_net::feed;
use cottoncrank_net::resources::hold;

use crate::answer::Refusal;
use crate::attempt::{AttemptError, Job};
use crate::in_flight::{LimitGuard, RequestGuard};
use crate::paths;
use crate::plain::SMALL_ANSWER;
use crate::race::{self, Opened, Start};
use crate::runner_stream::{RunnerStream, SILENCE_TIMEOUT, StreamItem, read_next_events};
use crate::state::Node;
use crate::suspects::{record_answered, wait_until_deadly};
use crate::telemetry;
use crate::tries::Tries;

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
            biased;
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

/// Why the current runner yields no event.
enum Interruption {
    /// It may be paused, or lost.
    Late(AttemptError),
    /// It will not yield any more.
    Failed(AttemptError),
}

/// How the race of a late runner with others ended.
enum Raced {
    /// It yielded its next item first.
    WentOn(StreamItem),
    /// Another runner has resumed the stream.
    Resumed(Opened),
    /// It failed, and no other runner has resumed the stream.
    Failed(AttemptError),
}

async fn forward(source: &mut Source, sender: &feed::Sender) -> End {
    loop {
        match source.next().await {
            Ok(StreamItem::Events(events)) => {
                if sender.send(hold_large(&source.job, events).await).await.is_err() {
                    return End::Left;
                }
            }
            Ok(StreamItem::End) => return End::Complete,
            Err(refusal) => return End::Cut(refusal),
        }
    }
}

/// Waits for room for large events, so that what callers do not read is within the account.
async fn hold_large(job: &Job, events: Bytes) -> Bytes {
    if Size(events.len()) <= SMALL_ANSWER {
        return events;
    }
    let charge = job.room.reserve_answer(Size(events.len())).await;
    hold(events, charge.offer())
}

/// Returns a body that begins with the first item of a stream, and spawns a task that forwards the rest.
/// The task holds `guards` until it ends.
pub async fn start(first: StreamItem, source: Source, guards: (RequestGuard, LimitGuard)) -> feed::Receiver {
    let (sender, receiver) = feed::channel(MAX_BUFFERED_CHUNKS);
    match first {
        StreamItem::End => sender.finish(),
        StreamItem::Events(events) => {
            // The buffer is empty and its receiver is here, so this does not wait.
            let events = hold_large(&source.job, events).await;
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
        let item = match self.receive_events().await {
            Ok(item) => item,
            Err(Interruption::Late(error)) => self.wait_beside(&error).await?,
            Err(Interruption::Failed(error)) => self.resume(&error).await?,
        };
        match item {
            StreamItem::Events(_) => self.log_long_gap(started),
            StreamItem::End => self.record_end(),
        }
        Ok(item)
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

    /// Reads the next events of the current runner, until it is late.
    async fn receive_events(&mut self) -> Result<StreamItem, Interruption> {
        let pick = self.stream.pick.clone();
        let is_repeatable = self.job.route.is_repeatable();
        let next = read_next_events(&self.node, &mut self.stream);
        tokio::select! {
            biased;
            next = next => next.map_err(Interruption::Failed),
            () = wait_until_deadly(&self.node, &self.job) => Err(Interruption::Failed(AttemptError::Stopped)),
            () = pick.wait_lost(&self.node), if is_repeatable => {
                Err(Interruption::Late(AttemptError::MayHaveRun("its group lost a member".to_owned())))
            }
            () = tokio::time::sleep(SILENCE_TIMEOUT.duration()) => {
                paths::record_failure(&self.node, &pick, None);
                Err(Interruption::Late(AttemptError::Silent(format!("no event for {SILENCE_TIMEOUT}"))))
            }
        }
    }

    /// Waits for the next events of the current runner, which is late, and tries others beside it, if the
    /// request may run again. Takes those that come first.
    async fn wait_beside(&mut self, late: &AttemptError) -> Result<StreamItem, Refusal> {
        match self.race(late).await {
            Raced::WentOn(item) => {
                race::record_went_on(&self.node, &self.job, &self.stream.pick);
                Ok(item)
            }
            Raced::Resumed(opened) => {
                telemetry::count_late_try("replaced");
                self.switch_to(opened)
            }
            Raced::Failed(error) => {
                telemetry::count_late_try("failed");
                self.resume(&error).await
            }
        }
    }

    async fn race(&mut self, late: &AttemptError) -> Raced {
        let (node, job, pick) = (self.node.clone(), self.job.clone(), self.stream.pick.clone());
        let start = Start::Resumed(self.stream.splitter.last_id());
        let tries = &mut self.tries;
        let opening = async {
            tries.record_late(&node, &job, &pick, late).await;
            race::open(&node, &job, tries, start).await
        };
        let reading = read_next_events(&node, &mut self.stream);
        tokio::pin!(opening, reading);
        let (mut failed, mut is_refused) = (None, false);
        loop {
            tokio::select! {
                biased;
                item = &mut reading, if failed.is_none() => match item {
                    Ok(item) => return Raced::WentOn(item),
                    Err(error) => failed = Some(error),
                },
                opened = &mut opening, if !is_refused => match opened {
                    Ok(opened) => return Raced::Resumed(opened),
                    Err(_) => is_refused = true,
                },
                () = wait_until_deadly(&node, &job), if is_refused => failed = Some(AttemptError::Stopped),
            }
            if let Some(error) = failed.take_if(|_| is_refused) {
                return Raced::Failed(error);
            }
        }
    }

    /// Resumes the stream at another runner, after the last event that was forwarded.
    async fn resume(&mut self, error: &AttemptError) -> Result<StreamItem, Refusal> {
        self.tries.record_failure(&self.node, &self.job, &self.stream.pick, error).await;
        let start = Start::Resumed(self.stream.splitter.last_id());
        let opened = race::open(&self.node, &self.job, &mut self.tries, start).await?;
        self.switch_to(opened)
    }

    /// Continues with the stream of another runner.
    fn switch_to(&mut self, opened: Opened) -> Result<StreamItem, Refusal> {
        // An answer that is no success resumes nothing.
        let Opened::Stream(started) = opened else { return Err(Refusal::MayHaveRun) };
        self.stream = started.stream;
        Ok(started.first)
    }
}
