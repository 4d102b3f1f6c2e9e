//! The network paths from this node to the runners of each hall, as the connections that it makes show
//! them.
//!
//! A runner that refuses connections may have ended, or the path to it may be closed; a failure at a
//! single runner cannot tell which. A hall in which no runner at all is reached can.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use cottoncrank::{Millis, id};

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

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Failures { refused, timed_out, failed, runners } = self;
        write!(f, "{refused} refused, {timed_out} timed out, {failed} failed, at {} runners", runners.len())
    }
}

/// A change of a path that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No runner of the hall could be connected to for [`MIN_SILENCE`], at two runners at the least.
    Lost(Failures),
    /// A connection was made again, this long after the first failure.
    Regained(Millis),
}

/// How long connections to a hall have to fail until the path counts as lost. A runner that starts
/// again is back, or has been replaced by another one, within a few tries.
pub const MIN_SILENCE: Millis = Millis(300);

/// The number of runners at which connections have to fail.
const MIN_RUNNERS: usize = 2;

#[derive(Clone, Debug)]
struct Path {
    failures: Failures,
    first_failure: Millis,
    is_lost: bool,
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
        if outcome == Outcome::Made {
            let path = self.0.remove(hall)?;
            return path.is_lost.then(|| Change::Regained(now.since(path.first_failure)));
        }
        let new = || Path { failures: Failures::default(), first_failure: now, is_lost: false };
        let path = self.0.entry(hall.clone()).or_insert_with(new);
        path.failures.add(runner, outcome);
        let lasted = now.since(path.first_failure);
        if path.is_lost || path.failures.runners.len() < MIN_RUNNERS || lasted < MIN_SILENCE {
            return None;
        }
        path.is_lost = true;
        Some(Change::Lost(path.failures.clone()))
    }

    /// Whether no runner of a hall can be connected to at present.
    pub fn is_lost(&self, hall: &id::Hall) -> bool {
        self.0.get(hall).is_some_and(|path| path.is_lost)
    }
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
