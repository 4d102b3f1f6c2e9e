//! A runner as its entry describes it: one backend server, alone or in a group.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::position::Era;

/// The number of one formation of a group. It only rises, over all groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The number of epochs that each era of the store has for itself, far more than formations in one.
const EPOCHS_PER_ERA: u64 = 1 << 20;

impl Epoch {
    /// The highest epoch that a plan or an entry may name. One beyond it is none of this system.
    pub const MAX: Epoch = Epoch(1 << 49);

    /// The highest epoch of an entry after which others are issued, if no plan has it. Far more formations than a
    /// fleet sees lie between it and [`Epoch::MAX`], so an entry of another writer uses up no epochs.
    pub(crate) const MAX_FOLLOWED: Epoch = Epoch(1 << 48);

    /// Returns the epoch after which those of an era of the store begin. A decider that knows neither the
    /// plans nor the groups of earlier eras issues none of their epochs again.
    pub fn before_era(era: Era) -> Epoch {
        Epoch(era.0.saturating_mul(EPOCHS_PER_ERA))
    }

    /// Returns the epoch that follows.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One run of a runner's process: its start time in milliseconds by the clock of its own box. A runner
/// that restarts under its id has lost all state. Incarnations are compared for one runner only, and
/// never with a clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Incarnation, ParseIntError> {
        text.parse().map(Incarnation)
    }
}

/// The release of a runner's software.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release(pub String);

impl fmt::Display for Release {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether `reported` is a later incarnation of a runner than `known`. False if either is unknown.
pub fn is_later(reported: Option<Incarnation>, known: Option<Incarnation>) -> bool {
    reported.zip(known).is_some_and(|(reported, known)| reported > known)
}

/// The progress of a runner in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It loads the model.
    Joining,
    /// It has the model and waits for the head to open.
    Ready,
    /// It is the head and takes requests.
    Open,
    /// It is the head, finishes its requests and takes no more.
    Closing,
    /// The group was stalled for too long and takes no more requests.
    Broken,
}

/// A runner's membership of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: id::Group,
    /// The formation of the group.
    pub epoch: Epoch,
    /// Its rank; rank 0 is the head, which takes the requests.
    pub rank: usize,
    /// Its progress.
    pub phase: Phase,
}

/// A runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Its id, which a restarted process keeps.
    pub id: id::Runner,
    /// The incarnation described here, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// The release of its software, if the platform reports it.
    pub release: Option<Release>,
    /// The number of orders accepted in this incarnation, if the platform reports it.
    pub orders: Option<u64>,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: id::Hall,
    /// Its fabric domain, if it is a model engine.
    pub domain: Option<id::Domain>,
    /// The number of requests it runs at once; more are queued.
    pub slots: u32,
    /// Whether it announced that it is about to leave.
    pub draining: bool,
    /// The models loaded according to its entry: none once it has left its group.
    pub models: Vec<id::Model>,
    /// The model that it served last in this incarnation, if known. It joins a group of that model
    /// without loading, though its entry does not say so.
    pub served: Option<id::Model>,
    /// The models of which its host keeps a copy.
    pub staged: Vec<id::Model>,
    /// How much longer it stays cold, as of the writing of its entry, if the platform reports it.
    pub cold_left: Option<Millis>,
    /// Its membership of a group.
    pub membership: Option<Membership>,
}

/// Where a runner is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: id::Hall,
}

impl Runner {
    /// Returns where it is.
    pub fn place(&self) -> Place {
        Place { address: self.address, hall: self.hall.clone() }
    }

    /// Resets it to the state after a restart: in no group, with no model loaded. The copies kept by
    /// its host remain.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.orders = None;
        self.draining = false;
        self.models.clear();
        self.served = None;
        self.cold_left = None;
        self.membership = None;
    }

    /// Whether this describes an earlier time of the same incarnation than `known`, which happens if
    /// the store was restored from an older copy. The count of orders only rises.
    pub fn is_older_than(&self, known: &Runner) -> bool {
        let same_life = self.incarnation.is_some() && self.incarnation == known.incarnation;
        same_life && self.orders.zip(known.orders).is_some_and(|(reported, known)| reported < known)
    }

    /// Whether it served `model` last.
    pub fn has_served(&self, model: &id::Model) -> bool {
        self.served.as_ref() == Some(model)
    }
}
