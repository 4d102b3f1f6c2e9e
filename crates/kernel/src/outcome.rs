//! What is known of a request's fate, from admission to the last byte.
//!
//! *Not run* is only said when it is proved: nothing of the request was
//! written to a backend server, or the server refused it explicitly. All else
//! *may have run*, and once the caller has a part of the answer it is *partly
//! answered*. Whether a retry is allowed follows from that alone.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How far a request has got at its present backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing was written to any backend server.
    #[default]
    Unsent,
    /// A connection is being made; nothing was written.
    Connecting,
    /// Some of the request may have been written.
    Sent,
    /// The server answers.
    Answering,
    /// The answer is whole.
    Complete,
}

/// What a caller is told of a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was not run, surely.
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

/// The fate of one request over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Whether the caller forbids a second run.
    no_repeat: bool,
    stage: Stage,
    /// Whether some try may have run and did not answer.
    may_have_run: bool,
    /// Whether the caller has got a part of the answer.
    delivered: bool,
}

/// What may be done after a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recovery {
    /// Try again, from the start.
    Retry,
    /// Go on behind what the caller has, at another group or the same.
    Resume,
    /// Tell the caller.
    Fail(Outcome),
}

impl Progress {
    /// A request that was just admitted; `once` if it must not be repeated.
    pub fn new(no_repeat: bool) -> Progress {
        Progress { no_repeat, stage: Stage::Unsent, may_have_run: false, delivered: false }
    }

    /// A try begins.
    pub fn begin_attempt(&mut self) {
        self.stage = Stage::Connecting;
    }

    /// Bytes of the request may reach a backend server from now on.
    pub fn mark_sent(&mut self) {
        self.stage = Stage::Sent;
    }

    /// A part of the answer has come and been passed on.
    pub fn mark_delivered(&mut self) {
        self.stage = Stage::Answering;
        self.delivered = true;
    }

    /// The answer is whole.
    pub fn mark_complete(&mut self) {
        self.stage = Stage::Complete;
    }

    /// The backend server refused the request explicitly: this try did not run.
    pub fn mark_rejected(&mut self) {
        self.stage = Stage::Unsent;
    }

    /// What a caller may be told now.
    pub fn outcome(&self) -> Outcome {
        if self.delivered {
            Outcome::PartlyAnswered
        } else if self.may_have_run || self.stage >= Stage::Sent {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        }
    }

    /// What may be done now that the present try has failed. `resumable` says
    /// whether the backend server can go on from an offset.
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
    fn an_explicit_refusal_proves_that_it_did_not_run() {
        let mut progress = Progress::new(true);
        progress.begin_attempt();
        progress.mark_sent();
        progress.mark_rejected();
        assert_eq!(progress.outcome(), Outcome::NotRun);
        assert_eq!(progress.fail_attempt(false), Recovery::Retry);
    }

    #[test]
    fn a_refusal_does_not_unsay_an_earlier_try() {
        let mut progress = Progress::new(false);
        progress.mark_sent();
        assert_eq!(progress.fail_attempt(false), Recovery::Retry);
        progress.mark_sent();
        progress.mark_rejected();
        assert_eq!(progress.outcome(), Outcome::MayHaveRun);
    }

    #[test]
    fn a_broken_stream_resumes_or_says_that_it_is_partial() {
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
