//! Tries one request at several runners, and decides which runner is next.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::dispatch::{Assignment, Reply, Urgency};
use cottoncrank_fleet::trials::Ruling;

use crate::answer::Refusal;
use crate::attempt::{Attempt, AttemptError, Job, Pick, send};
use crate::candidates::{pick_by_epoch, pick_locally, refuse_if_closed};
use crate::catchup;
use crate::crash;
use crate::dispatch;
use crate::retries;
use crate::runner_stream::wait_unless_unresponsive;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle;

/// The most tries of one request, rejected ones included.
const MAX_TRIES: usize = 4;

/// The tries of one request so far.
#[derive(Default)]
pub struct Tries {
    /// The runners tried, in order.
    pub tried: Vec<id::Runner>,
    /// The runner tried last.
    last_pick: Option<Pick>,
    /// The number of runners at which the request may have run.
    pub possible_runs: u32,
    /// The number of runners that rejected the request for lack of a free slot.
    pub rejections: u32,
    /// Whether it was suspected when it was sent to a runner that may have crashed since.
    unresolved: bool,
    /// Whether the request has reached a runner. From then on, sending it again costs a retry.
    reached_runner: bool,
    /// The group that the collector chose for the next try.
    next_assignment: Option<Assignment>,
    /// The assignment that the current try follows; `None` if this node picked the runner.
    pub assignment: Option<Assignment>,
}

impl Tries {
    /// Returns an empty list of tries. The first try goes to the group that the collector chose.
    pub fn from_reply(reply: Option<Reply>) -> Tries {
        Tries { next_assignment: read_assignment(reply), ..Tries::default() }
    }

    /// Returns the refusal that the caller gets if there is no other try.
    fn pick_refusal(&self, node: &Node, job: &Job) -> Refusal {
        match (self.possible_runs, self.tried.is_empty()) {
            (0, true) => refuse_if_closed(node, job).unwrap_or(Refusal::NoRunner),
            (0, false) => refuse_if_closed(node, job).unwrap_or(Refusal::NotRun),
            _ => Refusal::MayHaveRun,
        }
    }

    /// Counts and logs a try that failed, and investigates whether the runner crashed.
    pub async fn record_failure(&mut self, node: &Arc<Node>, job: &Job, error: &AttemptError) {
        self.possible_runs += u32::from(error.may_have_run());
        self.rejections += u32::from(matches!(error, AttemptError::Rejected(_)));
        self.reached_runner |= error.has_reached_runner();
        telemetry::count_failed_attempt(error.reason());
        let runner = self.tried.last().map_or("-", id::Runner::as_str);
        let chooser = if self.assignment.is_some() { "the collector" } else { "this node" };
        log::info!(
            "request {}: try {} at {runner}, chosen by {chooser}: {error}",
            job.id(),
            self.tried.len()
        );
        let was_suspected = suspects::is_suspected(node, job);
        if let Some(pick) = &self.last_pick {
            self.unresolved |= crash::investigate(node, job, pick, error).await && was_suspected;
        }
    }
}

/// Returns the refusal of a suspected request that may not run now. The collector's reply decides;
/// without one, this node's own knowledge does.
pub fn refuse_suspect(node: &Node, job: &Job, reply: Option<Reply>) -> Option<Refusal> {
    match reply {
        Some(Reply::Take(_) | Reply::Full(_) | Reply::Throttled(_)) => None,
        Some(Reply::Held) => Some(Refusal::Quarantined),
        Some(Reply::Deadly) => Some(Refusal::Deadly),
        Some(Reply::Unknown) | None => match suspects::decide(node, job) {
            Ruling::Run | Ruling::Trial => None,
            Ruling::Quarantine => Some(Refusal::Quarantined),
            Ruling::Reject => Some(Refusal::Deadly),
        },
    }
}

fn read_assignment(reply: Option<Reply>) -> Option<Assignment> {
    match reply? {
        Reply::Take(assignment) => Some(assignment),
        Reply::Full(_) | Reply::Throttled(_) | Reply::Unknown | Reply::Held | Reply::Deadly => None,
    }
}

/// Sends the request to the next runner and returns the attempt once the head of an answer is
/// there. Tries further runners until one answers or the tries are used up.
pub async fn start_next_attempt(
    node: &Arc<Node>,
    job: &Job,
    tries: &mut Tries,
    last_event: Option<u64>,
) -> Result<Attempt, Refusal> {
    loop {
        let refusal = tries.pick_refusal(node, job);
        let repeatable = tries.possible_runs == 0 || job.route.is_repeatable();
        if tries.tried.len() >= MAX_TRIES || tries.possible_runs >= job.route.attempts || !repeatable {
            return Err(refusal);
        }
        // What its last run shows is not known yet, and it may end one more runner.
        if tries.unresolved {
            return Err(refusal);
        }
        if job.is_expired(node) {
            return Err(Refusal::DeadlineExceeded);
        }
        if suspects::is_deadly(node, job) {
            return Err(Refusal::Deadly);
        }
        if !tries.tried.is_empty() {
            let reply = dispatch::query_collector(node, job, Urgency::Again, &tries.tried).await;
            if let Some(Reply::Throttled(wait)) = reply {
                return Err(if tries.possible_runs == 0 {
                    throttle::refuse(node, job, Millis(wait))
                } else {
                    refusal
                });
            }
            match refuse_suspect(node, job, reply) {
                Some(Refusal::Quarantined) => {
                    return Err(if tries.possible_runs == 0 { Refusal::Quarantined } else { refusal });
                }
                Some(deadly) => return Err(deadly),
                None => tries.next_assignment = read_assignment(reply),
            }
        }
        catchup::check(node);
        let assignment = tries.next_assignment.take();
        let chosen =
            assignment.and_then(|assignment| pick_by_epoch(node, job, assignment.epoch, &tries.tried));
        tries.assignment = assignment.filter(|_| chosen.is_some());
        let Some(pick) = chosen.or_else(|| pick_locally(node, job, &tries.tried)) else {
            return Err(refusal);
        };
        if tries.reached_runner && !retries::spend(node, job).await {
            return Err(refusal);
        }
        tries.tried.push(pick.id.clone());
        tries.last_pick = Some(pick.clone());
        let started = node.now();
        let sending = send(node, job, &pick, last_event);
        match wait_unless_unresponsive(node, job, &pick, started, sending).await {
            Ok(attempt) => return Ok(attempt),
            Err(error) => tries.record_failure(node, job, &error).await,
        }
    }
}
