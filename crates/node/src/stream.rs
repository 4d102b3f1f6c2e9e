//! Requests whose answer is a stream of events.
//!
//! The head of the first runner's answer is passed on with its first event.
//! From there the stream may go on at another runner, after the last whole
//! event that the caller has, within the same answer.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::{Millis, id};
use cottoncrank_fleet::event::Splitter;
use cottoncrank_net::server::Cut;
use cottoncrank_platform::header;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response;
use tokio::sync::mpsc;

use crate::answer::{Answer, Body, Refusal};
use crate::attempt::{Attempt, AttemptError, Job, Pick, has_room, has_spare_room, pick, send};
use crate::channel::Channel;
use crate::figures;
use crate::plain;
use crate::state::{Admitted, Attempting, Node, Running};

/// Events held for a caller that reads slowly.
const FEED_DEPTH: usize = 8;

/// Tries of one request, refused ones included.
const TRIES: usize = 4;

/// A runner that sends nothing for this long is given up on. A group that lost a
/// member is known to all nodes sooner than that; one that is only busy must not
/// get the same requests twice. Callers give up after two seconds.
const PATIENCE: Millis = Millis(1200);

/// A request waits at this node for at most this part of the wanted time of its
/// first event: what is refused later than after a quarter of it is lost.
const WAITS: u64 = 5;

/// The tries of one request so far.
#[derive(Default)]
struct Tries {
    tried: Vec<id::Runner>,
    /// Runners at which it may have run.
    sent: u32,
    /// Runners that had no place for it.
    full: u32,
    /// Whether it has reached a runner: from then on sending it costs a retry.
    arrived: bool,
}

/// A stream under way at one runner.
struct Source {
    pick: Pick,
    body: Incoming,
    splitter: Splitter,
    _channel: Channel,
    counted: Attempting,
}

/// A stream that has begun.
struct Begun {
    head: response::Parts,
    first: Bytes,
    source: Source,
    ended: bool,
}

/// What the first try that answered came to.
enum Opening {
    Stream(Box<Begun>),
    Whole(Answer),
}

/// What comes next in a stream.
enum Next {
    Events(Bytes),
    End,
}

/// Runs a request. The answer is given with the first event; the rest follows
/// in a task of its own, which `running` counts.
pub async fn run(node: &Arc<Node>, job: Arc<Job>, running: Running) -> Result<Answer, Refusal> {
    let lane = job.lane();
    let patience = Millis(job.route.objective.0 / WAITS);
    let admitted = match job.overdue {
        true => node.admit_overdue(&lane, has_spare_room(node, &job)),
        false => node.admit(&lane, patience, || has_room(node, &job)).await,
    };
    let admitted = admitted.ok_or_else(|| Refusal::Full(node.count_running(&lane)))?;
    let mut tries = Tries::default();
    let opened = open(node, &job, &mut tries).await;
    note_opening(node, &job, &tries, &admitted, opened.as_ref().err());
    let begun = match opened? {
        Opening::Stream(begun) => begun,
        Opening::Whole(answer) => return Ok(answer),
    };
    let (feed, receiver) = mpsc::channel(FEED_DEPTH);
    let mut answer = Response::new(Body::Feed(receiver));
    *answer.status_mut() = begun.head.status;
    *answer.headers_mut() = header::strip(&begun.head.headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    if feed.try_send(Ok(begun.first)).is_ok() && !begun.ended {
        let relay = Relay {
            node: node.clone(),
            job,
            tries,
            feed,
            source: begun.source,
            paused: false,
            _running: running,
            _admitted: admitted,
        };
        tokio::spawn(relay.run());
    }
    Ok(answer)
}

/// Tells the limit how the first event came. A request that met a silent runner
/// says nothing of how much the others have to do.
fn note_opening(node: &Node, job: &Job, tries: &Tries, admitted: &Admitted, refusal: Option<&Refusal>) {
    let first_try = !job.overdue && tries.tried.len() == 1 && tries.sent == 0;
    let waited = node.now().since(job.arrived);
    let in_time = waited <= job.route.objective;
    if refusal.is_none() && !in_time {
        let level = admitted.level();
        let (runner, count) = (tries.tried.last().map_or("-", id::Runner::as_str), tries.tried.len());
        log::info!(
            "request {}: late: first event after {waited}, wanted within {}, try {count} at {runner}, limit {level:.0}",
            job.id(),
            job.route.objective
        );
    }
    match refusal {
        None if first_try || (!job.overdue && tries.full > 0) => {
            admitted.note_first(in_time && tries.full == 0)
        }
        Some(Refusal::NotRun) => admitted.note_first(false),
        _ => {}
    }
}

/// Tries runners until one sends its first event.
async fn open(node: &Arc<Node>, job: &Job, tries: &mut Tries) -> Result<Opening, Refusal> {
    loop {
        let last = job.terms.last_event;
        let attempt = next_attempt(node, job, tries, last).await?;
        if !attempt.response.status().is_success() {
            match plain::read_whole(node, attempt).await {
                Ok(answer) => return Ok(Opening::Whole(answer)),
                Err(error) => note(job, tries, &error),
            }
            continue;
        }
        let (head, body) = attempt.response.into_parts();
        let mut source = Source {
            pick: attempt.pick,
            body,
            splitter: Splitter::after(last),
            _channel: attempt.channel,
            counted: attempt.counted,
        };
        match read_first(node, job, &mut source).await {
            Ok(Next::Events(first)) => {
                let begun = Begun { head, first, source, ended: false };
                return Ok(Opening::Stream(Box::new(begun)));
            }
            Ok(Next::End) => {
                let begun = Begun { head, first: Bytes::new(), source, ended: true };
                return Ok(Opening::Stream(Box::new(begun)));
            }
            Err(error) => note(job, tries, &error),
        }
    }
}

fn note(job: &Job, tries: &mut Tries, error: &AttemptError) {
    match error {
        AttemptError::MayHaveRun(_) => tries.sent += 1,
        AttemptError::Full => tries.full += 1,
        AttemptError::Unreached(_) | AttemptError::NotRun(_) => {}
    }
    tries.arrived |= error.has_arrived();
    figures::count_failed_attempt(error.reason());
    let runner = tries.tried.last().map_or("-", id::Runner::as_str);
    log::info!("request {}: try {} at {runner}: {error}", job.id(), tries.tried.len());
}

/// Gets the head of an answer out of the next runner.
async fn next_attempt(
    node: &Arc<Node>,
    job: &Job,
    tries: &mut Tries,
    last: Option<u64>,
) -> Result<Attempt, Refusal> {
    loop {
        let refusal = match (tries.sent, tries.tried.is_empty()) {
            (0, true) => Refusal::NoRunner,
            (0, false) => Refusal::NotRun,
            _ => Refusal::MayHaveRun,
        };
        let repeatable = tries.sent == 0 || job.route.is_repeatable();
        if tries.tried.len() >= TRIES || tries.sent >= job.route.attempts || !repeatable {
            return Err(refusal);
        }
        let Some(pick) = pick(node, job, &tries.tried) else { return Err(refusal) };
        if tries.arrived && !node.retries.lock().spend() {
            log::info!("request {}: not sent again, the retries are spent", job.id());
            return Err(refusal);
        }
        tries.tried.push(pick.id.clone());
        let started = node.now();
        let sending = send(node, job, &pick, last);
        match wait_unless_silent(node, job, &pick, started, sending).await {
            Ok(attempt) => return Ok(attempt),
            Err(error) => note(job, tries, &error),
        }
    }
}

/// Waits for something from a runner, as long as its group is not lost. After
/// [`PATIENCE`] it is given up on too, if it has sent nothing to any request of
/// this node since `started`, and the request may be sent again.
async fn wait_unless_silent<T>(
    node: &Node,
    job: &Job,
    pick: &Pick,
    started: Millis,
    waiting: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    tokio::pin!(waiting);
    let lost = pick.wait_lost(node);
    tokio::pin!(lost);
    loop {
        tokio::select! {
            outcome = &mut waiting => return outcome,
            () = &mut lost, if job.route.is_repeatable() => {
                return Err(AttemptError::MayHaveRun("its group lost a member".to_owned()));
            }
            () = tokio::time::sleep(PATIENCE.duration()) => {
                let mut ledger = node.ledger.lock();
                if job.route.is_repeatable() && ledger.is_silent(&pick.id, started) {
                    ledger.blame(&pick.id, node.now());
                    return Err(AttemptError::MayHaveRun(format!("silent for {PATIENCE}")));
                }
            }
        }
    }
}

async fn read_first(node: &Node, job: &Job, source: &mut Source) -> Result<Next, AttemptError> {
    let started = node.now();
    let pick = source.pick.clone();
    wait_unless_silent(node, job, &pick, started, read_next(node, source)).await
}

/// Reads the next events that the caller does not have yet.
async fn read_next(node: &Node, source: &mut Source) -> Result<Next, AttemptError> {
    loop {
        let frame = match source.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                return Err(AttemptError::MayHaveRun(format!("the stream broke off: {error}")));
            }
            None if source.splitter.is_at_boundary() => return Ok(Next::End),
            None => return Err(AttemptError::MayHaveRun("the stream ended within an event".to_owned())),
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

/// Passes the rest of a stream on.
struct Relay {
    node: Arc<Node>,
    job: Arc<Job>,
    tries: Tries,
    feed: mpsc::Sender<Result<Bytes, Cut>>,
    source: Source,
    /// Whether a pause was too long already.
    paused: bool,
    _running: Running,
    _admitted: Admitted,
}

impl Relay {
    async fn run(mut self) {
        let left = self.job.end.since(self.node.now());
        let feed = self.feed.clone();
        let job = self.job.clone();
        let request = job.id();
        tokio::select! {
            outcome = self.pass_on() => match outcome {
                Ok(()) => {}
                Err(refusal) => {
                    figures::count_cut();
                    log::warn!("request {request}: the stream is cut: {refusal}");
                    // A caller that is gone needs no cut.
                    let _ = feed.send(Err(Cut)).await;
                }
            },
            () = feed.closed() => log::info!("request {request}: the caller left"),
            () = tokio::time::sleep(left.duration()) => {
                figures::count_cut();
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
                Ok(Next::End) => return Ok(()),
                Err(error) => self.go_on(&error).await?,
            }
        }
    }

    /// Says so once when a pause was longer than what counts as in time.
    fn note_pause(&mut self, since: Millis) {
        let pause = self.node.now().since(since);
        if self.paused || self.job.route.gap.is_none_or(|gap| pause <= gap) {
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
                Err(AttemptError::MayHaveRun(format!("no event for {PATIENCE}")))
            }),
            () = pick.wait_lost(&self.node), if self.job.route.is_repeatable() => {
                Err(AttemptError::MayHaveRun("its group lost a member".to_owned()))
            }
        }
    }

    /// Takes the stream up at another runner.
    async fn go_on(&mut self, error: &AttemptError) -> Result<(), Refusal> {
        note(&self.job, &mut self.tries, error);
        let last = self.source.splitter.last();
        loop {
            let attempt = next_attempt(&self.node, &self.job, &mut self.tries, last).await?;
            if !attempt.response.status().is_success() {
                let error = AttemptError::MayHaveRun(format!("it answered {}", attempt.response.status()));
                note(&self.job, &mut self.tries, &error);
                continue;
            }
            self.source = Source {
                pick: attempt.pick,
                body: attempt.response.into_body(),
                splitter: Splitter::after(last),
                _channel: attempt.channel,
                counted: attempt.counted,
            };
            return Ok(());
        }
    }
}
