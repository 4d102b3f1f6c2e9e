//! What a request has done so far, for the line that says why it was refused.

use std::fmt;

use cottoncrank::{Millis, id};
use parking_lot::Mutex;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// To be admitted, at this node or the collector.
    Admission,
    /// That a runner is picked for its next try.
    Pick,
    /// A connection to the runner asked last.
    Connection,
    /// The head of that runner's answer.
    Head,
    /// The rest of that answer, or the first event of a stream.
    Rest,
    /// What became of that runner, as the try at it failed.
    Inquiry,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Admission => "admission",
            Phase::Pick => "a runner",
            Phase::Connection => "a connection",
            Phase::Head => "the begin of its answer",
            Phase::Rest => "the rest of its answer",
            Phase::Inquiry => "what became of it",
        })
    }
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub struct Position {
    /// How often a runner was asked.
    asked: u32,
    /// The runner asked last.
    last: Option<id::Runner>,
    phase: Phase,
    since: Millis,
}

/// The course of one request, up to its answer.
#[derive(Debug)]
pub struct Trace(Mutex<Position>);

impl Trace {
    /// Begins the course of a request that arrived at this time.
    pub fn begin(arrived: Millis) -> Trace {
        Trace(Mutex::new(Position { asked: 0, last: None, phase: Phase::Admission, since: arrived }))
    }

    /// Records that a runner is being picked.
    pub fn record_pick(&self, now: Millis) {
        let mut position = self.0.lock();
        (position.phase, position.since) = (Phase::Pick, now);
    }

    /// Records that a runner is asked.
    pub fn record_ask(&self, runner: &id::Runner, now: Millis) {
        let mut position = self.0.lock();
        position.asked += 1;
        position.last = Some(runner.clone());
        (position.phase, position.since) = (Phase::Connection, now);
    }

    /// Records the next phase of the try at a runner. Of tries side by side, the one begun last counts.
    pub fn record_phase(&self, runner: &id::Runner, phase: Phase, now: Millis) {
        let mut position = self.0.lock();
        if position.last.as_ref() == Some(runner) {
            (position.phase, position.since) = (phase, now);
        }
    }

    /// Returns where the request stands.
    pub fn position(&self) -> Position {
        self.0.lock().clone()
    }
}

impl Position {
    /// Formats it as the end of a line.
    pub fn format_at(&self, now: Millis) -> impl fmt::Display {
        let waited = now.since(self.since);
        fmt::from_fn(move |f| {
            match &self.last {
                Some(last) => write!(f, ", {} asked, the last {last}", self.asked)?,
                None => f.write_str(", none asked")?,
            }
            write!(f, ", {waited} waiting for {}", self.phase)
        })
    }
}
