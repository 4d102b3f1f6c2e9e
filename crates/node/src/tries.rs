//! The tries of one request at several runners, and which runner is next.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::dispatch::{Assignment, Reply, Urgency};
use cottoncrank_fleet::runs::Runs;
use cottoncrank_fleet::trials::Ruling;

use crate::answer::Refusal;
use crate::attempt::{AttemptError, Job, Pick};
use crate::candidates::{pick_by_epoch, pick_locally, refuse_if_closed};
use crate::catchup;
use crate::crash;
use crate::dispatch;
use crate::retries;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle;
use crate::trace::Phase;

/// The tries of one request so far.
#[derive(Default)]
pub struct Tries {
    /// The runs at the runners tried.
    pub runs: Runs,
    /// The number of runners that rejected the request for lack of a free slot.
    pub rejections: u32,
    /// Whether it was suspected when it was sent to a runner that may have crashed since.
    unresolved: bool,
    /// The group that the collector chose for the next try.
    next_assignment: Option<Assignment>,
    /// The assignment that the latest try follows; `None` if this node picked the runner.
    pub assignment: Option<Assignment>,
    /// The runners that the collector chose.
    assigned: Vec<id::Runner>,
}

impl Tries {
    /// Returns an empty list of tries. The first try goes to the group that the collector chose.
    pub fn from_reply(reply: Option<Reply>) -> Tries {
        Tries { next_assignment: read_assignment(reply), ..Tries::default() }
    }

    fn begin(&mut self, pick: &Pick, assignment: Option<Assignment>) {
        self.assignment = assignment;
        self.assigned.extend(assignment.map(|_| pick.id.clone()));
        self.runs.begin(pick.id.clone());
    }

    /// Returns the refusal that the caller gets if there is no other try.
    fn pick_refusal(&self, node: &Node, job: &Job) -> Refusal {
        match (self.runs.count_possible(), self.runs.tried().is_empty()) {
            (0, true) => refuse_if_closed(node, job).unwrap_or(Refusal::NoRunner),
            (0, false) => refuse_if_closed(node, job).unwrap_or(Refusal::NotRun),
            _ => Refusal::MayHaveRun,
        }
    }

    /// Counts and logs a try that failed, and investigates whether the runner crashed.
    pub async fn record_failure(&mut self, node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
        self.runs.record_failure(&pick.id, error.may_have_run(), error.has_reached_runner());
        self.rejections += u32::from(matches!(error, AttemptError::Rejected(_)));
        job.trace.record_phase(&pick.id, Phase::Inquiry, node.now());
        self.report(node, job, pick, error).await;
    }

    /// Counts and logs a try that is late. Its runner may answer yet.
    pub async fn record_late(&mut self, node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
        self.runs.record_late();
        self.report(node, job, pick, error).await;
    }

    async fn report(&mut self, node: &Arc<Node>, job: &Job, pick: &Pick, error: &AttemptError) {
        telemetry::count_failed_attempt(error.reason());
        let number = self.runs.number(&pick.id);
        let chooser = if self.assigned.contains(&pick.id) { "the collector" } else { "this node" };
        log::info!("request {}: try {number} at {}, chosen by {chooser}: {error}", job.id(), pick.id);
        let was_suspected = suspects::is_suspected(node, job);
        self.unresolved |= crash::investigate(node, job, pick, error).await && was_suspected;
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

/// Picks the runner of the next try and counts its run, which begins then.
pub async fn begin_next(node: &Arc<Node>, job: &Job, tries: &mut Tries) -> Result<Pick, Refusal> {
    let refusal = tries.pick_refusal(node, job);
    if !tries.runs.may_begin(job.route.attempts, job.route.is_repeatable()) {
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
    if tries.runs.tried().is_empty() {
        job.trace.record_pick(node.now());
    } else {
        query_again(node, job, tries, refusal.clone()).await?;
    }
    catchup::check(node);
    let assignment = tries.next_assignment.take();
    let tried = tries.runs.tried();
    let chosen = assignment.and_then(|assignment| pick_by_epoch(node, job, assignment.epoch, tried));
    let assignment = assignment.filter(|_| chosen.is_some());
    let pick = chosen.or_else(|| pick_locally(node, job, tried)).ok_or_else(|| refusal.clone())?;
    if tries.runs.needs_retry() && !retries::spend(node, job).await {
        return Err(refusal);
    }
    tries.begin(&pick, assignment);
    Ok(pick)
}

/// Asks the collector for a group that was not tried yet.
async fn query_again(
    node: &Arc<Node>,
    job: &Job,
    tries: &mut Tries,
    refusal: Refusal,
) -> Result<(), Refusal> {
    let has_not_run = tries.runs.count_possible() == 0;
    let reply = dispatch::query_collector(node, job, Urgency::Again, tries.runs.tried()).await;
    if let Some(Reply::Throttled(wait)) = reply {
        return Err(if has_not_run { throttle::refuse(node, job, Millis(wait)) } else { refusal });
    }
    match refuse_suspect(node, job, reply) {
        Some(Refusal::Quarantined) => Err(if has_not_run { Refusal::Quarantined } else { refusal }),
        Some(deadly) => Err(deadly),
        None => {
            tries.next_assignment = read_assignment(reply);
            Ok(())
        }
    }
}
