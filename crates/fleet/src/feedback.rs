//! What runners say of themselves in their answers, and what follows for a request.
//!
//! It is kept apart from what a node thinks of runners ([`crate::balance`]): no opinion, that is
//! given up where nobody else is left. That a runner leaves stands in [`crate::roster`], for it
//! concerns groups as well.

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::backoff;
use crate::rate::Rate;
use crate::runner::Life;
use crate::throttle::{self, Message};

/// Whether a runner takes a request of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes as many as there are.
    Open,
    /// It takes none from this node until then.
    BackingOff(Millis),
    /// It takes so many from all nodes together: the hall says whether this one goes there.
    RateLimited(Rate),
}

/// What runners have said.
#[derive(Clone, Debug, Default)]
pub struct Feedback {
    /// For how long they want nothing from this node.
    pub backoffs: backoff::Table,
    /// How many requests they take from all nodes together.
    pub rate_limits: throttle::Table,
}

impl Feedback {
    /// Whether a runner takes a request of this node; `life` is the one it is known to be in.
    pub fn find_admission(&self, id: &id::Runner, incarnation: Option<Life>, now: Millis) -> Admission {
        if let Some(until) = self.backoffs.find_end(id, incarnation, now) {
            return Admission::BackingOff(until);
        }
        self.rate_limits.find(id, incarnation).map_or(Admission::Open, Admission::RateLimited)
    }
}

/// A runner that has said that it is about to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRunner {
    /// The runner.
    pub runner: id::Runner,
    /// In which life, where that is told.
    #[serde(rename = "life")]
    pub incarnation: Option<Life>,
}

/// What nodes tell each other of what runners said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// What they said of the rate they take.
    #[serde(rename = "claims")]
    pub rate_limits: Vec<Message>,
    /// Those that are about to leave.
    pub leaving: Vec<LeavingRunner>,
    /// Those that turn requests away.
    #[serde(rename = "refusing")]
    pub rejecting: Vec<id::Runner>,
}
