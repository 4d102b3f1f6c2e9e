//! Runs requests whose answer is forwarded as a whole.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank_fleet::patience::find_patience;
use cottoncrank_fleet::runs::Runs;
use cottoncrank_fleet::trials::Ruling;
use cottoncrank_net::intake::{self, AnswerError};
use cottoncrank_platform::header;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap};

use crate::answer::{Answer, Body, Refusal};
use crate::attempt::{Attempt, AttemptError, Job, Pick, send};
use crate::candidates::{has_unlimited, pick_by_id, pick_locally, pick_unannounced, refuse_if_closed};
use crate::catchup;
use crate::crash;
use crate::paths;
use crate::race::{Contender, next_outcome};
use crate::retries;
use crate::runner_stream::SILENCE_TIMEOUT;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle::{self, Permit};
use crate::trace::Phase;

/// The largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// The most that a runner may send for such an answer, in bytes. Chunks take more than what they hold.
const MAX_WIRE_BYTES: usize = 3 * MAX_ANSWER_BYTES;

/// The largest answer, or part of a stream, that the memory of its request contains.
pub(crate) const SMALL_ANSWER: Size = Size::kilobytes(4);

/// The most tries of one request, rejected ones included. Runners that reject answer at once, and
/// further tries would only find the others rejecting as well.
const MAX_TRIES: usize = 3;

/// What the next try has to wait for.
enum Report {
    Failed(Pick, AttemptError),
    /// The try goes on.
    Late(Pick),
}

/// How the begin of a try ended.
enum Begun {
    /// An earlier try was answered meanwhile.
    Answered(Answer),
    Next(Result<Pick, Refusal>),
}

/// Runs a request and returns the first whole answer of a runner. One that is late is not given up: if the request
/// may run again, another one is tried beside it.
pub async fn run(node: &Arc<Node>, job: &Job) -> Result<Answer, Refusal> {
    let answer = race(node, job).await?;
    suspects::record_completed(node, &job.fingerprint);
    Ok(answer)
}

async fn race(node: &Arc<Node>, job: &Job) -> Result<Answer, Refusal> {
    let mut runs = Runs::default();
    let (mut contenders, mut reports) = (Vec::new(), Vec::new());
    loop {
        match begin_beside(node, job, &mut runs, &mut contenders, &mut reports).await {
            Begun::Answered(answer) => return Ok(answer),
            Begun::Next(Ok(pick)) => {
                let opening = Box::pin(try_at(node, job, pick.clone()));
                contenders.push(Contender { pick, is_late: false, opening });
            }
            Begun::Next(Err(refusal)) if contenders.is_empty() && reports.is_empty() => return Err(refusal),
            Begun::Next(Err(_)) => {}
        }
        while reports.is_empty() && !contenders.is_empty() {
            let latest = contenders.last().filter(|latest| !latest.is_late).map(|latest| latest.pick.clone());
            tokio::select! {
                biased;
                (pick, outcome) = next_outcome(node, job, &mut contenders) => match outcome {
                    Ok(answer) => return Ok(answer),
                    Err(error) => reports.push(Report::Failed(pick, error)),
                },
                pick = wait_late(node, job, latest) => {
                    reports.push(Report::Late(pick));
                    contenders.last_mut().into_iter().for_each(|latest| latest.is_late = true);
                }
                () = suspects::wait_until_deadly(node, job) => {
                    let stopped = contenders.drain(..);
                    reports.extend(stopped.map(|one| Report::Failed(one.pick, AttemptError::Stopped)));
                }
            }
        }
    }
}

/// Records what has been reported and begins the next try, while those in flight go on.
async fn begin_beside<F: Future<Output = Result<Answer, AttemptError>>>(
    node: &Arc<Node>,
    job: &Job,
    runs: &mut Runs,
    contenders: &mut Vec<Contender<F>>,
    reports: &mut Vec<Report>,
) -> Begun {
    let recorded = std::mem::take(reports);
    let beginning = async {
        for report in recorded {
            record(node, job, runs, report).await;
        }
        begin_next(node, job, runs).await
    };
    tokio::pin!(beginning);
    loop {
        tokio::select! {
            biased;
            (pick, outcome) = next_outcome(node, job, contenders), if !contenders.is_empty() => match outcome {
                Ok(answer) => return Begun::Answered(answer),
                Err(error) => reports.push(Report::Failed(pick, error)),
            },
            next = &mut beginning => return Begun::Next(next),
        }
    }
}

/// Counts and logs a try that failed, and investigates whether the runner crashed, or one that is late.
async fn record(node: &Arc<Node>, job: &Job, runs: &mut Runs, report: Report) {
    let (pick, error) = match report {
        Report::Failed(pick, error) => {
            runs.record_failure(&pick.id, error.may_have_run(), error.has_reached_runner());
            job.trace.record_phase(&pick.id, Phase::Inquiry, node.now());
            (pick, error)
        }
        Report::Late(pick) => {
            runs.record_late();
            (pick, AttemptError::MayHaveRun("silent for too long, it is waited for".to_owned()))
        }
    };
    telemetry::count_failed_attempt(error.reason());
    log::info!("request {}: try {} at {}: {error}", job.id(), runs.number(&pick.id), pick.id);
    crash::investigate(node, job, &pick, &error).await;
}

/// Returns the refusal that the caller gets if there is no other try.
fn pick_refusal(node: &Node, job: &Job, runs: &Runs) -> Refusal {
    match (runs.count_possible(), runs.tried().is_empty()) {
        (0, true) => refuse_if_closed(node, job).unwrap_or(Refusal::NoRunner),
        (0, false) => refuse_if_closed(node, job).unwrap_or(Refusal::NotRun),
        _ => Refusal::MayHaveRun,
    }
}

/// Picks the runner of the next try and counts its run, which begins then.
async fn begin_next(node: &Arc<Node>, job: &Job, runs: &mut Runs) -> Result<Pick, Refusal> {
    let may_begin = runs.may_begin(job.route.attempts, job.route.is_repeatable());
    if runs.tried().len() >= MAX_TRIES || !may_begin {
        return Err(pick_refusal(node, job, runs));
    }
    if job.is_expired(node) {
        return Err(Refusal::DeadlineExceeded);
    }
    if runs.tried().is_empty() {
        job.trace.record_pick(node.now());
    }
    match suspects::decide(node, job) {
        Ruling::Run | Ruling::Trial => {}
        Ruling::Reject => return Err(Refusal::Deadly),
        Ruling::Quarantine if runs.count_possible() > 0 => return Err(Refusal::MayHaveRun),
        Ruling::Quarantine => return Err(Refusal::Quarantined),
    }
    let tried = runs.tried();
    let permit = throttle::query_permit(node, job, tried).await;
    catchup::check(node);
    let pick = match permit {
        Some(Permit::Take(runner)) => pick_by_id(node, job, &runner),
        Some(Permit::Wait(_)) if !has_unlimited(node, job, tried) && runs.count_possible() > 0 => {
            return Err(Refusal::MayHaveRun);
        }
        Some(Permit::Wait(wait)) if !has_unlimited(node, job, tried) => {
            return Err(throttle::refuse(node, job, wait));
        }
        Some(Permit::Free(messages)) => {
            throttle::receive_rates(node, &messages);
            pick_unannounced(node, job, tried)
        }
        Some(Permit::Wait(_)) | None => None,
    };
    let pick = pick.or_else(|| pick_locally(node, job, tried));
    let pick = pick.ok_or_else(|| pick_refusal(node, job, runs))?;
    if runs.needs_retry() && !retries::spend(node, job).await {
        return Err(pick_refusal(node, job, runs));
    }
    runs.begin(pick.id.clone());
    Ok(pick)
}

async fn try_at(node: &Arc<Node>, job: &Job, pick: Pick) -> Result<Answer, AttemptError> {
    let attempt = send(node, job, &pick, None).await?;
    node.ledger.lock().record_progress(&pick.id, node.now());
    read_answer(node, job, attempt).await
}

/// Waits until a try is late, as its runner is silent, and records that of the runner. Waits forever if the request
/// may not run again.
async fn wait_late(node: &Node, job: &Job, pick: Option<Pick>) -> Pick {
    let Some(pick) = pick else { return std::future::pending().await };
    wait_silent(node, job, &pick).await;
    paths::record_silence(node, &pick);
    match job.route.is_repeatable() {
        true => pick,
        false => std::future::pending().await,
    }
}

/// Waits until the runner has sent nothing to any request of this node for as long as it may. Waits forever if the
/// request has too little time.
async fn wait_silent(node: &Node, job: &Job, pick: &Pick) {
    let Some(patience) = find_patience(job.deadline.since(node.now()), SILENCE_TIMEOUT) else {
        return std::future::pending().await;
    };
    loop {
        let since = node.now();
        node.wait_until(since + patience).await;
        if node.ledger.lock().is_silent_since(&pick.id, since) {
            return;
        }
    }
}

/// Reads an answer to its end. Fails if the body is shorter than its announced length,
/// or larger than `MAX_ANSWER_BYTES`.
pub async fn read_answer(node: &Node, job: &Job, attempt: Attempt) -> Result<Answer, AttemptError> {
    let Attempt { pick, response, channel, guard: _guard } = attempt;
    let (head, body) = response.into_parts();
    channel.allow(MAX_WIRE_BYTES);
    let read = intake::read_answer(body, MAX_ANSWER_BYTES, SMALL_ANSWER, &job.room).await;
    let bytes = read.map_err(|error| {
        if channel.is_oversized() || matches!(error, AnswerError::TooLarge) {
            paths::record_failure(node, &pick, None);
            return AttemptError::Oversized;
        }
        paths::record_failure(node, &pick, channel.through());
        AttemptError::Broken(format!("its answer broke off: {error}"))
    })?;
    node.ledger.lock().record_progress(&pick.id, node.now());
    Ok(build_answer(head.status, &head.headers, bytes))
}

fn build_answer(status: hyper::StatusCode, headers: &HeaderMap, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(Some(bytes)));
    *answer.status_mut() = status;
    *answer.headers_mut() = header::strip_hop_by_hop(headers);
    answer.headers_mut().remove(CONTENT_LENGTH);
    answer
}
