//! What runners say of themselves in their answers, and what follows for a request.
//!
//! It is kept apart from what a node thinks of runners ([`crate::balance`]): no opinion, that is
//! given up where nobody else is left. That a runner leaves stands in [`crate::roster`], for it
//! concerns groups as well.

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::backoff;
use crate::rate::Rate;
use crate::runner::Incarnation;
use crate::throttle::{self, Told};

/// Whether a runner takes a request of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It takes as many as there are.
    Open,
    /// It takes none from this node until then.
    Closed(Millis),
    /// It takes so many from all nodes together: the hall says whether this one goes there.
    Rated(Rate),
}

/// What runners have said.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// For how long they want nothing from this node.
    pub backoffs: backoff::Table,
    /// How many requests they take from all nodes together.
    pub throttles: throttle::Table,
}

impl Said {
    /// Whether a runner takes a request of this node; `life` is the one it is known to be in.
    pub fn ask(&self, id: &id::Runner, life: Option<Incarnation>, now: Millis) -> Admission {
        if let Some(until) = self.backoffs.find(id, life, now) {
            return Admission::Closed(until);
        }
        self.throttles.find(id, life).map_or(Admission::Open, Admission::Rated)
    }
}

/// A runner that has said that it is about to leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// The runner.
    pub runner: id::Runner,
    /// In which life, where that is told.
    pub life: Option<Incarnation>,
}

/// What nodes tell each other of what runners said.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// What they said of the rate they take.
    pub claims: Vec<Told>,
    /// Those that are about to leave.
    pub leaving: Vec<Leaving>,
    /// Those that turn requests away.
    pub refusing: Vec<id::Runner>,
}
