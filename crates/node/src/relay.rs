//! Passing the rest of a stream on, from one runner after the other.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::server::Cut;
use tokio::sync::mpsc;

use crate::answer::Refusal;
use crate::attempt::{AttemptError, Job};
use crate::flight::{Admitted, Running};
use crate::source::{Next, PATIENCE, Source, read_next};
use crate::state::Node;
use crate::suspects::{record_completed, wait_until_deadly};
use crate::telemetry;
use crate::tries::{Tries, next_attempt};

/// Passes the rest of a stream on.
pub struct Relay {
    node: Arc<Node>,
    job: Arc<Job>,
    tries: Tries,
    feed: mpsc::Sender<Result<Bytes, Cut>>,
    source: Source,
    /// Whether a pause was too long already.
    paused: bool,
    /// Counts the request until it is over.
    _guards: (Running, Admitted),
}

impl Relay {
    /// A stream of which the first events have gone into `feed`.
    pub fn new(
        node: Arc<Node>,
        job: Arc<Job>,
        tries: Tries,
        feed: mpsc::Sender<Result<Bytes, Cut>>,
        source: Source,
        guards: (Running, Admitted),
    ) -> Relay {
        Relay { node, job, tries, feed, source, paused: false, _guards: guards }
    }

    /// Passes events on until the stream, the caller or the time is over.
    pub async fn run(mut self) {
        let feed = self.feed.clone();
        let (job, node) = (self.job.clone(), self.node.clone());
        let request = job.id();
        tokio::select! {
            outcome = self.pass_on() => match outcome {
                Ok(()) => {}
                Err(refusal) => {
                    telemetry::count_cut_stream();
                    log::warn!("request {request}: the stream is cut: {refusal}");
                    // A caller that is gone needs no cut.
                    let _ = feed.send(Err(Cut)).await;
                }
            },
            () = feed.closed() => log::info!("request {request}: the caller left"),
            () = node.wait_until(job.end) => {
                telemetry::count_cut_stream();
                log::warn!("request {request}: the stream is cut: its time is over");
                let _ = feed.try_send(Err(Cut));
            }
        }
    }

    async fn pass_on(&mut self) -> Result<(), Refusal> {
        loop {
            let since = self.node.now();
            match self.next().await {
                Ok(Next::Events(events)) => {
                    self.note_pause(since);
                    if self.feed.send(Ok(events)).await.is_err() {
                        return Ok(());
                    }
                }
                Ok(Next::End) => {
                    record_completed(&self.node, &self.job.fingerprint);
                    return Ok(());
                }
                Err(error) => self.go_on(&error).await?,
            }
        }
    }

    /// Says so once when a pause was longer than what counts as in time.
    fn note_pause(&mut self, since: Millis) {
        let pause = self.node.now().since(since);
        if self.paused || self.job.route.target_gap.is_none_or(|gap| pause <= gap) {
            return;
        }
        self.paused = true;
        let last = self.source.splitter.last().map_or("-".to_owned(), |last| last.to_string());
        let runner = &self.source.pick.id;
        log::info!(
            "request {}: late: {pause} without an event before event {last} of {runner}",
            self.job.id()
        );
    }

    /// The next events of the present runner, as long as its group is not lost.
    async fn next(&mut self) -> Result<Next, AttemptError> {
        let pick = self.source.pick.clone();
        let next = tokio::time::timeout(PATIENCE.duration(), read_next(&self.node, &mut self.source));
        tokio::select! {
            next = next => next.unwrap_or_else(|_| {
                self.node.ledger.lock().blame(&pick.id, self.node.now());
                Err(AttemptError::Silent(format!("no event for {PATIENCE}")))
            }),
            () = wait_until_deadly(&self.node, &self.job) => Err(AttemptError::Stopped),
            () = pick.wait_lost(&self.node), if self.job.route.is_repeatable() => {
                Err(AttemptError::MayHaveRun("its group lost a member".to_owned()))
            }
        }
    }

    /// Takes the stream up at another runner.
    async fn go_on(&mut self, error: &AttemptError) -> Result<(), Refusal> {
        self.tries.note(&self.node, &self.job, error).await;
        let last = self.source.splitter.last();
        loop {
            let attempt = next_attempt(&self.node, &self.job, &mut self.tries, last).await?;
            if !attempt.response.status().is_success() {
                let error = AttemptError::MayHaveRun(format!("it answered {}", attempt.response.status()));
                self.tries.note(&self.node, &self.job, &error).await;
                continue;
            }
            self.source = Source::open(attempt, last).1;
            return Ok(());
        }
    }
}
