//! The tries of one request, and which runner is next.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::dispatch::{Promise, Reply, Urgency};
use cottoncrank_fleet::trials::Ruling;

use crate::answer::Refusal;
use crate::attempt::{Attempt, AttemptError, Job, Pick, send};
use crate::candidates::{find_pick, pick, refuse_unwilling};
use crate::crash;
use crate::dispatch;
use crate::retries;
use crate::source::wait_unless_silent;
use crate::state::Node;
use crate::suspects;
use crate::telemetry;
use crate::throttle;

/// Tries of one request, refused ones included.
const TRIES: usize = 4;

/// The tries of one request so far.
#[derive(Default)]
pub struct Tries {
    /// The runners, in the order in which they were tried.
    pub tried: Vec<id::Runner>,
    /// The last of them.
    last: Option<Pick>,
    /// Runners at which it may have run.
    pub sent: u32,
    /// Runners that had no place for it.
    pub full: u32,
    /// Whether it has reached a runner: from then on sending it costs a retry.
    arrived: bool,
    /// The group that was chosen for the next try.
    chosen: Option<Promise>,
    /// What the group was expected to do that has the present try, if it was chosen.
    pub promise: Option<Promise>,
}

impl Tries {
    /// No tries so far; the first one goes where the hall's collector said.
    pub fn choosing(reply: Option<Reply>) -> Tries {
        Tries { chosen: read_choice(reply), ..Tries::default() }
    }

    /// What the caller is told if there is no other try.
    fn refuse(&self, node: &Node, job: &Job) -> Refusal {
        match (self.sent, self.tried.is_empty()) {
            (0, true) => refuse_unwilling(node, job).unwrap_or(Refusal::NoRunner),
            (0, false) => refuse_unwilling(node, job).unwrap_or(Refusal::NotRun),
            _ => Refusal::MayHaveRun,
        }
    }

    /// Takes a try in that gave no answer.
    pub async fn note(&mut self, node: &Arc<Node>, job: &Job, error: &AttemptError) {
        self.sent += u32::from(error.may_have_run());
        self.full += u32::from(matches!(error, AttemptError::Full(_)));
        self.arrived |= error.has_arrived();
        telemetry::count_failed_attempt(error.reason());
        let runner = self.tried.last().map_or("-", id::Runner::as_str);
        let chooser = if self.promise.is_some() { "the collector" } else { "this node" };
        log::info!(
            "request {}: try {} at {runner}, chosen by {chooser}: {error}",
            job.id(),
            self.tried.len()
        );
        if let Some(pick) = &self.last {
            crash::investigate(node, job, pick, error).await;
        }
    }
}

/// Why a suspected request is not run at present, as the collector says or, where it says
/// nothing, as this node knows.
pub fn refuse_suspect(node: &Node, job: &Job, reply: Option<Reply>) -> Option<Refusal> {
    match reply {
        Some(Reply::Take(_) | Reply::Full(_) | Reply::Throttled(_)) => None,
        Some(Reply::Held) => Some(Refusal::Held),
        Some(Reply::Deadly) => Some(Refusal::Deadly),
        Some(Reply::Unknown) | None => match suspects::decide(node, job) {
            Ruling::Run | Ruling::Trial => None,
            Ruling::Quarantine => Some(Refusal::Held),
            Ruling::Reject => Some(Refusal::Deadly),
        },
    }
}

fn read_choice(reply: Option<Reply>) -> Option<Promise> {
    match reply? {
        Reply::Take(promise) => Some(promise),
        Reply::Full(_) | Reply::Throttled(_) | Reply::Unknown | Reply::Held | Reply::Deadly => None,
    }
}

/// Gets the head of an answer out of the next runner.
pub async fn next_attempt(
    node: &Arc<Node>,
    job: &Job,
    tries: &mut Tries,
    last: Option<u64>,
) -> Result<Attempt, Refusal> {
    loop {
        let refusal = tries.refuse(node, job);
        let repeatable = tries.sent == 0 || job.route.is_repeatable();
        if tries.tried.len() >= TRIES || tries.sent >= job.route.attempts || !repeatable {
            return Err(refusal);
        }
        if job.is_over(node) {
            return Err(Refusal::Late);
        }
        if suspects::is_deadly(node, job) {
            return Err(Refusal::Deadly);
        }
        if !tries.tried.is_empty() {
            let reply = dispatch::ask(node, job, Urgency::Again, &tries.tried).await;
            if let Some(Reply::Throttled(wait)) = reply {
                return Err(if tries.sent == 0 {
                    throttle::refuse(node, job, Millis(wait))
                } else {
                    refusal
                });
            }
            match refuse_suspect(node, job, reply) {
                Some(Refusal::Held) => return Err(if tries.sent == 0 { Refusal::Held } else { refusal }),
                Some(deadly) => return Err(deadly),
                None => tries.chosen = read_choice(reply),
            }
        }
        let promise = tries.chosen.take();
        let chosen = promise.and_then(|promise| find_pick(node, job, promise.epoch, &tries.tried));
        tries.promise = promise.filter(|_| chosen.is_some());
        let Some(pick) = chosen.or_else(|| pick(node, job, &tries.tried)) else { return Err(refusal) };
        if tries.arrived && !retries::spend(node, job).await {
            return Err(refusal);
        }
        tries.tried.push(pick.id.clone());
        tries.last = Some(pick.clone());
        let started = node.now();
        let sending = send(node, job, &pick, last);
        match wait_unless_silent(node, job, &pick, started, sending).await {
            Ok(attempt) => return Ok(attempt),
            Err(error) => tries.note(node, job, &error).await,
        }
    }
}
