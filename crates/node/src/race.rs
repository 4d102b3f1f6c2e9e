//! Opens a stream at one runner after the other, without giving up those that are only late.
//!
//! A runner that has sent nothing for a while may be lost or paused, and nothing tells the two apart from
//! here. So another one is tried beside it, as far as the route and the retries allow, and the first to send
//! an event is taken. If there is no other, the late one still has until the deadline.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

use cottoncrank::Millis;
use hyper::http::response;

use crate::answer::{Answer, Refusal};
use crate::attempt::{AttemptError, Job, Pick, send};
use crate::crash;
use crate::paths;
use crate::plain;
use crate::runner_stream::{RunnerStream, SILENCE_TIMEOUT, StreamItem, read_next_events};
use crate::state::Node;
use crate::suspects::wait_until_deadly;
use crate::telemetry;
use crate::tries::{Tries, begin_next};

/// Where a stream begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Where the caller asked for. An answer that is no success is the caller's too.
    AsAsked,
    /// After the last event that the caller has, if it has any.
    Resumed(Option<u64>),
}

/// A stream whose first events have been received.
pub struct StartedStream {
    /// The head of the answer.
    pub head: response::Parts,
    /// The first events, or the end of a stream without any.
    pub first: StreamItem,
    /// The rest.
    pub stream: RunnerStream,
}

/// The answer of the first runner that gave one.
pub enum Opened {
    /// A stream.
    Stream(Box<StartedStream>),
    /// An answer that is no success.
    Whole(Answer),
}

/// A try that has not failed.
struct Contender<F> {
    pick: Pick,
    /// Whether it was recorded as late, so that another one began beside it.
    is_late: bool,
    opening: Pin<Box<F>>,
}

/// Something that concerns the tries in flight.
enum Event {
    Opened(Opened),
    Failed(Pick, AttemptError),
    /// The latest try is late. It goes on.
    Late(Pick, AttemptError),
    /// The request was found to crash runners.
    Deadly,
}

/// What the next try has to wait for.
enum Report {
    Failed(Pick, AttemptError),
    Late(Pick, AttemptError),
}

/// Tries runners until one sends its first event, or a whole answer.
pub async fn open(
    node: &Arc<Node>,
    job: &Arc<Job>,
    tries: &mut Tries,
    start: Start,
) -> Result<Opened, Refusal> {
    let mut contenders = Vec::new();
    let mut reports = Vec::new();
    loop {
        match begin_beside(node, job, tries, &mut contenders, &mut reports).await {
            Begun::Opened(opened) => return Ok(opened),
            Begun::Next(Ok(pick)) => {
                let opening = Box::pin(open_at(node.clone(), job.clone(), pick.clone(), start));
                contenders.push(Contender { pick, is_late: false, opening });
            }
            Begun::Next(Err(refusal)) if contenders.is_empty() && reports.is_empty() => return Err(refusal),
            Begun::Next(Err(_)) => {}
        }
        while reports.is_empty() && !contenders.is_empty() {
            match next_event(node, job, &mut contenders).await {
                Event::Opened(opened) => return Ok(opened),
                Event::Failed(pick, error) => reports.push(Report::Failed(pick, error)),
                Event::Late(pick, error) => reports.push(Report::Late(pick, error)),
                Event::Deadly => {
                    let stopped = contenders.drain(..);
                    reports.extend(stopped.map(|one| Report::Failed(one.pick, AttemptError::Stopped)));
                }
            }
        }
    }
}

/// Opens a stream at one runner.
async fn open_at(node: Arc<Node>, job: Arc<Job>, pick: Pick, start: Start) -> Result<Opened, AttemptError> {
    let last_event = match start {
        Start::AsAsked => job.terms.last_event_id,
        Start::Resumed(last_event) => last_event,
    };
    let attempt = send(&node, &job, &pick, last_event).await?;
    let status = attempt.response.status();
    if !status.is_success() {
        return match start {
            Start::AsAsked => plain::read_answer(&node, &job, attempt).await.map(Opened::Whole),
            Start::Resumed(_) => Err(AttemptError::MayHaveRun(format!("it answered {status}"))),
        };
    }
    let (head, mut stream) = RunnerStream::open(attempt, last_event);
    let first = read_next_events(&node, &mut stream).await?;
    Ok(Opened::Stream(Box::new(StartedStream { head, first, stream })))
}

/// How the begin of a try ended.
enum Begun {
    /// An earlier try was answered meanwhile.
    Opened(Opened),
    Next(Result<Pick, Refusal>),
}

/// Records what has been reported and begins the next try, while those in flight go on.
async fn begin_beside<F: Future<Output = Result<Opened, AttemptError>>>(
    node: &Arc<Node>,
    job: &Arc<Job>,
    tries: &mut Tries,
    contenders: &mut Vec<Contender<F>>,
    reports: &mut Vec<Report>,
) -> Begun {
    let recorded = std::mem::take(reports);
    let beginning = async {
        for report in recorded {
            match report {
                Report::Failed(pick, error) => tries.record_failure(node, job, &pick, &error).await,
                Report::Late(pick, error) => tries.record_late(node, job, &pick, &error).await,
            }
        }
        begin_next(node, job, tries).await
    };
    tokio::pin!(beginning);
    loop {
        tokio::select! {
            biased;
            (pick, outcome) = next_outcome(node, job, contenders) => match outcome {
                Ok(opened) => return Begun::Opened(opened),
                Err(error) => reports.push(Report::Failed(pick, error)),
            },
            next = &mut beginning => return Begun::Next(next),
        }
    }
}

/// Waits for what happens next to the tries in flight.
async fn next_event<F: Future<Output = Result<Opened, AttemptError>>>(
    node: &Node,
    job: &Job,
    contenders: &mut Vec<Contender<F>>,
) -> Event {
    let latest = contenders.last().filter(|latest| !latest.is_late).map(|latest| latest.pick.clone());
    let event = tokio::select! {
        biased;
        (pick, outcome) = next_outcome(node, job, contenders) => match outcome {
            Ok(opened) => Event::Opened(opened),
            Err(error) => Event::Failed(pick, error),
        },
        (pick, error) = wait_late(node, job, latest) => Event::Late(pick, error),
        () = wait_until_deadly(node, job) => Event::Deadly,
    };
    if let Event::Late(..) = event
        && let Some(latest) = contenders.last_mut()
    {
        latest.is_late = true;
    }
    event
}

/// Waits until one of the tries ends, and takes it out. Waits forever if there is none.
async fn next_outcome<F: Future<Output = Result<Opened, AttemptError>>>(
    node: &Node,
    job: &Job,
    contenders: &mut Vec<Contender<F>>,
) -> (Pick, Result<Opened, AttemptError>) {
    std::future::poll_fn(|context| {
        for at in 0..contenders.len() {
            if let Poll::Ready(outcome) = contenders[at].opening.as_mut().poll(context) {
                let ended = contenders.remove(at);
                record_late_end(node, job, &ended, contenders, &outcome);
                return Poll::Ready((ended.pick, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

/// Records that a late try has gone on.
pub(crate) fn record_went_on(node: &Node, job: &Job, pick: &Pick) {
    telemetry::count_late_try("went_on");
    log::info!("request {}: {} goes on", job.id(), pick.id);
    crash::withdraw(node, job, pick);
}

/// Records how the late ones of the tries ended when this one did.
fn record_late_end<F>(
    node: &Node,
    job: &Job,
    ended: &Contender<F>,
    others: &[Contender<F>],
    outcome: &Result<Opened, AttemptError>,
) {
    match outcome {
        Ok(_) if ended.is_late => record_went_on(node, job, &ended.pick),
        Ok(_) => {
            others.iter().filter(|other| other.is_late).for_each(|_| telemetry::count_late_try("replaced"))
        }
        Err(_) if ended.is_late => telemetry::count_late_try("failed"),
        Err(_) => {}
    }
}

/// Waits until a try is late: its group is lost, or its runner has sent nothing to any request of this node
/// for [`SILENCE_TIMEOUT`]. A group that is only busy must not get the same requests twice. Waits forever if
/// the request may not run again.
async fn wait_late(node: &Node, job: &Job, pick: Option<Pick>) -> (Pick, AttemptError) {
    let Some(pick) = pick.filter(|_| job.route.is_repeatable()) else { return std::future::pending().await };
    let started = node.now();
    let error = tokio::select! {
        () = pick.wait_lost(node) => AttemptError::MayHaveRun("its group lost a member".to_owned()),
        () = wait_silent(node, &pick, started) => {
            paths::record_failure(node, &pick, None);
            AttemptError::Silent(format!("silent for {SILENCE_TIMEOUT}"))
        }
    };
    (pick, error)
}

async fn wait_silent(node: &Node, pick: &Pick, started: Millis) {
    loop {
        tokio::time::sleep(SILENCE_TIMEOUT.duration()).await;
        if node.ledger.lock().is_silent_since(&pick.id, started) {
            return;
        }
    }
}
