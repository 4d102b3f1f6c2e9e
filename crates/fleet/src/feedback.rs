//! What runners report about themselves in answers, and what it means for a request.
//!
//! It is kept apart from what a node observes of runners ([`crate::balance`]), because observations
//! are ignored when no other runner is left and feedback is not. Whether a runner is about to leave
//! is kept in [`crate::roster`], because it concerns groups as well.

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::backoff;
use crate::rate::Rate;
use crate::runner::Incarnation;
use crate::throttle::{self, Message};

/// Whether a runner accepts a request of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It accepts any number of requests.
    Open,
    /// It accepts none from this node until this time.
    BackingOff(Millis),
    /// It accepts this rate from all nodes together; the collector decides whether this request may
    /// be sent.
    RateLimited(Rate),
}

/// The feedback received from runners.
#[derive(Clone, Debug, Default)]
pub struct Feedback {
    /// The runners that are backing off from this node.
    pub backoffs: backoff::Table,
    /// The rate limits that runners announced for all nodes together.
    pub rate_limits: throttle::Table,
}

impl Feedback {
    /// Returns the rate that a runner takes now from all nodes together: the lower of its announced rate
    /// limit and `cold`, the rate that it takes while it is cold. Returns `None` if its rate is not
    /// limited.
    pub fn find_rate(
        &self,
        id: &id::Runner,
        incarnation: Option<Incarnation>,
        cold: Option<Rate>,
    ) -> Option<Rate> {
        self.rate_limits.find(id, incarnation).into_iter().chain(cold).min()
    }

    /// Returns whether a runner accepts a request of this node. `incarnation` is its latest known
    /// one, `cold` the rate that it takes while it is cold.
    pub fn find_admission(
        &self,
        id: &id::Runner,
        incarnation: Option<Incarnation>,
        cold: Option<Rate>,
        now: Millis,
    ) -> Admission {
        if let Some(until) = self.backoffs.find_end(id, incarnation, now) {
            return Admission::BackingOff(until);
        }
        self.find_rate(id, incarnation, cold).map_or(Admission::Open, Admission::RateLimited)
    }
}

/// A runner that announced that it is about to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRunner {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation that announced it, if known.
    pub life: Option<Incarnation>,
}

/// The part of the feedback that nodes exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The rate limits that runners announced.
    pub claims: Vec<Message>,
    /// Runners that are about to leave.
    pub leaving: Vec<LeavingRunner>,
    /// Runners that reject requests.
    pub refusing: Vec<id::Runner>,
}
