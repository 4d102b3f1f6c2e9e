//! The progress and outcome of a request, from admission to the last byte.
//!
//! A request is reported as *not run* only if that is certain: nothing of it was
//! written to a backend server, or the server rejected it explicitly. Otherwise it
//! *may have run*, and once the caller has a part of the answer it is *partly
//! answered*. Whether a retry is allowed follows from this state alone.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The stage of a request at its current backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing was written to any backend server.
    #[default]
    Unsent,
    /// A connection is being opened; nothing was written.
    Connecting,
    /// Some of the request may have been written.
    Sent,
    /// The server answers.
    Answering,
    /// The answer is complete.
    Complete,
}

/// The outcome of a failed request as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was certainly not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// The caller has a part of the answer.
    PartlyAnswered,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::NotRun => "not run",
            Outcome::MayHaveRun => "may have run",
            Outcome::PartlyAnswered => "partly answered",
        })
    }
}

/// The progress of one request over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether the caller forbids a second run.
    no_repeat: bool,
    stage: Stage,
    /// Whether an earlier attempt may have run without an answer.
    may_have_run: bool,
    /// Whether the caller has received a part of the answer.
    delivered: bool,
}

/// The allowed reaction to a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Retry from the start.
    Retry,
    /// Resume after the part that the caller has, at the same group or another.
    Resume,
    /// Report the failure to the caller.
    Fail(Outcome),
}

impl Progress {
    /// Creates the progress of a newly admitted request; `no_repeat` if it must not run twice.
    pub fn new(no_repeat: bool) -> Progress {
        Progress { no_repeat, stage: Stage::Unsent, may_have_run: false, delivered: false }
    }

    /// Records the start of an attempt.
    pub fn begin_attempt(&mut self) {
        self.stage = Stage::Connecting;
    }

    /// Records that bytes of the request may reach a backend server from now on.
    pub fn mark_sent(&mut self) {
        self.stage = Stage::Sent;
    }

    /// Records that a part of the answer was passed on to the caller.
    pub fn mark_delivered(&mut self) {
        self.stage = Stage::Answering;
        self.delivered = true;
    }

    /// Records that the answer is complete.
    pub fn mark_complete(&mut self) {
        self.stage = Stage::Complete;
    }

    /// Records that the backend server rejected the request explicitly: this attempt did not run.
    pub fn mark_rejected(&mut self) {
        self.stage = Stage::Unsent;
    }

    /// Returns the outcome to report to the caller at this point.
    pub fn outcome(&self) -> Outcome {
        if self.delivered {
            Outcome::PartlyAnswered
        } else if self.may_have_run || self.stage >= Stage::Sent {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        }
    }

    /// Records that the current attempt failed and returns the allowed reaction.
    /// `resumable` is whether the backend server can resume from an offset.
    pub fn fail_attempt(&mut self, resumable: bool) -> Recovery {
        self.may_have_run |= self.stage >= Stage::Sent;
        self.stage = Stage::Unsent;
        if self.no_repeat && self.may_have_run {
            return Recovery::Fail(self.outcome());
        }
        match (self.delivered, resumable) {
            (false, _) => Recovery::Retry,
            (true, true) => Recovery::Resume,
            (true, false) => Recovery::Fail(Outcome::PartlyAnswered),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_that_may_not_be_repeated_is_retried_only_before_it_was_sent() {
        let mut progress = Progress::new(true);
        progress.begin_attempt();
        assert_eq!(progress.fail_attempt(true), Recovery::Retry);
        progress.begin_attempt();
        progress.mark_sent();
        assert_eq!(progress.fail_attempt(true), Recovery::Fail(Outcome::MayHaveRun));
        assert_eq!(progress.fail_attempt(true), Recovery::Fail(Outcome::MayHaveRun), "it stays so");
    }

    #[test]
    fn an_explicit_rejection_proves_that_it_did_not_run() {
        let mut progress = Progress::new(true);
        progress.begin_attempt();
        progress.mark_sent();
        progress.mark_rejected();
        assert_eq!(progress.outcome(), Outcome::NotRun);
        assert_eq!(progress.fail_attempt(false), Recovery::Retry);
    }

    #[test]
    fn a_rejection_does_not_undo_an_earlier_attempt() {
        let mut progress = Progress::new(false);
        progress.mark_sent();
        assert_eq!(progress.fail_attempt(false), Recovery::Retry);
        progress.mark_sent();
        progress.mark_rejected();
        assert_eq!(progress.outcome(), Outcome::MayHaveRun);
    }

    #[test]
    fn a_broken_stream_resumes_or_fails_as_partly_answered() {
        let mut progress = Progress::new(false);
        progress.mark_sent();
        progress.mark_delivered();
        assert_eq!(progress.fail_attempt(true), Recovery::Resume);
        assert_eq!(progress.fail_attempt(false), Recovery::Fail(Outcome::PartlyAnswered));
        let mut no_repeat = Progress::new(true);
        no_repeat.mark_sent();
        no_repeat.mark_delivered();
        assert_eq!(no_repeat.fail_attempt(true), Recovery::Fail(Outcome::PartlyAnswered));
    }
}
