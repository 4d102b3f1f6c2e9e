//! Forwards the rest of a stream to the caller, resuming it at other runners.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::server::Cut;
use tokio::sync::mpsc;

use crate::answer::Refusal;
use crate::attempt::{AttemptError, Job};
use crate::in_flight::{LimitGuard, RequestGuard};
use crate::paths;
use crate::runner_stream::{RunnerStream, SILENCE_TIMEOUT, StreamItem, read_next_events};
use crate::state::Node;
use crate::suspects::{record_answered, wait_until_deadly};
use crate::telemetry;
use crate::tries::{Tries, start_next_attempt};

/// Forwards the rest of a stream.
pub struct Relay {
    node: Arc<Node>,
    job: Arc<Job>,
    tries: Tries,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
    stream: RunnerStream,
    /// Whether a pause longer than the route's target was logged already.
    gap_logged: bool,
    /// Counts the request as in flight until it ends.
    _guards: (RequestGuard, LimitGuard),
}

impl Relay {
    /// Returns the relay of a stream whose first events were sent to `sender`.
    pub fn new(
        node: Arc<Node>,
        job: Arc<Job>,
        tries: Tries,
        sender: mpsc::Sender<Result<Bytes, Cut>>,
        stream: RunnerStream,
        guards: (RequestGuard, LimitGuard),
    ) -> Relay {
        Relay { node, job, tries, sender, stream, gap_logged: false, _guards: guards }
    }

    /// Forwards events until the stream ends, the caller leaves or the deadline passes.
    pub async fn run(mut self) {
        let sender = self.sender.clone();
        let (job, node) = (self.job.clone(), self.node.clone());
        let request = job.id();
        tokio::select! {
            outcome = self.forward() => match outcome {
                Ok(()) => {}
                Err(refusal) => {
                    telemetry::count_cut_stream();
                    log::warn!("request {request}: the stream is cut: {refusal}");
                    // If the caller has left too, nobody needs the cut.
                    let _ = sender.send(Err(Cut)).await;
                }
            },
            () = sender.closed() => log::info!("request {request}: the caller left"),
            () = node.wait_until(job.deadline) => {
                telemetry::count_cut_stream();
                let unread = sender.max_capacity() - sender.capacity();
                log::warn!(
                    "request {request}: the stream is cut: the deadline has passed, {unread} of {} chunks are buffered for the caller",
                    sender.max_capacity()
                );
                let _ = sender.try_send(Err(Cut));
            }
        }
    }

    async fn forward(&mut self) -> Result<(), Refusal> {
        loop {
            let started = self.node.now();
            match self.receive_events().await {
                Ok(StreamItem::Events(events)) => {
                    self.log_long_gap(started);
                    if self.sender.send(Ok(events)).await.is_err() {
                        return Ok(());
                    }
                }
                Ok(StreamItem::End) => {
                    if self.stream.has_end_mark {
                        record_answered(&self.node, &self.job);
                    }
                    return Ok(());
                }
                Err(error) => self.resume(&error).await?,
            }
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
