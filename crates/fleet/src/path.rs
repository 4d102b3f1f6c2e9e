//! The network paths from this node to the runners of each hall, as the connections that it makes show
//! them.
//!
//! A runner that refuses connections may have ended, or the path to it may be closed; a failure at a
//! single runner cannot tell which. A node that another node reaches cannot have ended: where that holds
//! for several runners of a hall, this node's own path there is cut.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use cottoncrank::{Millis, id};

use crate::balance::FAILURE_AVOID_TIME;

/// How an attempt to connect to a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The connection was made.
    Made,
    /// The other end answered that nothing listens there.
    Refused,
    /// No answer came in time.
    TimedOut,
    /// Any other error, such as a reset.
    Failed,
}

impl Outcome {
    /// Returns the outcome as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Made => "made",
            Outcome::Refused => "refused",
            Outcome::TimedOut => "timed_out",
            Outcome::Failed => "failed",
        }
    }
}

/// The connections to the runners of a hall that failed since one was last made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// Refused connections.
    pub refused: u32,
    /// Connections that timed out.
    pub timed_out: u32,
    /// Connections that failed in another way.
    pub failed: u32,
    /// The runners concerned.
    pub runners: BTreeSet<id::Runner>,
}

impl Failures {
    fn add(&mut self, runner: &id::Runner, outcome: Outcome) {
        match outcome {
            Outcome::Made => {}
            Outcome::Refused => self.refused += 1,
            Outcome::TimedOut => self.timed_out += 1,
            Outcome::Failed => self.failed += 1,
        }
        self.runners.insert(runner.clone());
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Failures { refused, timed_out, failed, runners } = self;
        write!(f, "{refused} refused, {timed_out} timed out, {failed} failed, at {} runners", runners.len())
    }
}

/// A change of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No runner of the hall could be connected to for [`MIN_SILENCE`], at two runners at the least.
    Lost(Failures),
    /// Other nodes reach runners of the hall that this node does not.
    Cut(Failures),
    /// A connection was made again, this long after the first failure.
    Regained {
        /// How long ago the first connection failed.
        lasted: Millis,
        /// Whether the path counted as cut.
        was_cut: bool,
    },
}

/// How long connections to a hall have to fail until the path counts as lost. A runner that starts
/// again is back, or has been replaced by another one, within a few tries.
pub const MIN_SILENCE: Millis = Millis(300);

/// The number of runners at which connections have to fail.
const MIN_RUNNERS: usize = 2;

/// The number of connections that have to succeed from another node alone until a path counts as cut. A
/// single one may have met a full queue of new connections.
pub const MIN_PROOFS: u32 = 2;

/// How long a runner that only another node reached is connected to through other nodes at once.
pub const RUNNER_TUNNEL_TIME: Millis = Millis(1000);

#[derive(Clone, Debug, Default)]
struct Path {
    /// What failed since a connection was last made.
    failures: Failures,
    /// When the first of these failed.
    first_failure: Option<Millis>,
    is_lost: bool,
    /// The connections since then that only another node could make, by runner with the time.
    proofs: HashMap<id::Runner, Millis>,
    proof_count: u32,
    is_cut: bool,
    /// When a connection was last made.
    made: Option<Millis>,
    /// When the path last ceased to be cut.
    restored: Option<Millis>,
}

/// The paths to all halls.
#[derive(Clone, Debug, Default)]
pub struct Paths(HashMap<id::Hall, Path>);

impl Paths {
    /// Records how an attempt to connect to a runner of a hall ended.
    pub fn record(
        &mut self,
        hall: &id::Hall,
        runner: &id::Runner,
        outcome: Outcome,
        now: Millis,
    ) -> Option<Change> {
        let path = self.0.entry(hall.clone()).or_default();
        if outcome == Outcome::Made {
            return path.record_made(now);
        }
        path.failures.add(runner, outcome);
        let lasted = now.since(*path.first_failure.get_or_insert(now));
        if path.is_lost || path.failures.runners.len() < MIN_RUNNERS || lasted < MIN_SILENCE {
            return None;
        }
        path.is_lost = true;
        Some(Change::Lost(path.failures.clone()))
    }

    /// Records that another node connected to a runner that this node could not connect to.
    pub fn record_proof(&mut self, hall: &id::Hall, runner: &id::Runner, now: Millis) -> Option<Change> {
        let path = self.0.entry(hall.clone()).or_default();
        path.proofs.insert(runner.clone(), now);
        path.proof_count += 1;
        if path.is_cut || path.proof_count < MIN_PROOFS {
            return None;
        }
        path.is_cut = true;
        Some(Change::Cut(path.failures.clone()))
    }

    /// Whether the path to a hall is cut.
    pub fn is_cut(&self, hall: &id::Hall) -> bool {
        self.0.get(hall).is_some_and(|path| path.is_cut)
    }

    /// Whether the paths to all these halls are cut.
    pub fn is_cut_off<'a>(&self, halls: impl Iterator<Item = &'a id::Hall>) -> bool {
        let mut halls = halls.peekable();
        halls.peek().is_some() && halls.all(|hall| self.is_cut(hall))
    }

    /// Lists the halls whose path is cut.
    pub fn list_cut(&self) -> impl Iterator<Item = &id::Hall> {
        self.0.iter().filter(|(_, path)| path.is_cut).map(|(hall, _)| hall)
    }

    /// Whether a connection to a runner is to be made through another node at once.
    pub fn needs_tunnel(&self, hall: &id::Hall, runner: &id::Runner, now: Millis) -> bool {
        let Some(path) = self.0.get(hall) else { return false };
        path.is_cut || path.proofs.get(runner).is_some_and(|proof| now < *proof + RUNNER_TUNNEL_TIME)
    }

    /// Whether a connection to a hall was made since `start`.
    pub fn is_made_since(&self, hall: &id::Hall, start: Millis) -> bool {
        self.0.get(hall).and_then(|path| path.made).is_some_and(|made| made >= start)
    }

    /// Whether what this node sees of the runners of a hall can be their fault: the path is not cut, and
    /// was not for as long as a failure counts.
    pub fn is_trusted(&self, hall: &id::Hall, now: Millis) -> bool {
        let Some(path) = self.0.get(hall) else { return true };
        !path.is_cut && path.restored.is_none_or(|restored| now >= restored + FAILURE_AVOID_TIME)
    }
}

impl Path {
    fn record_made(&mut self, now: Millis) -> Option<Change> {
        let was = std::mem::take(self);
        self.made = Some(now);
        self.restored = if was.is_cut { Some(now) } else { was.restored };
        let lasted = now.since(was.first_failure.unwrap_or(now));
        (was.is_lost || was.is_cut).then_some(Change::Regained { lasted, was_cut: was.is_cut })
    }
}
