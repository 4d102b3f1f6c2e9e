//! A runner as it describes itself: one backend server, alone or in a group.

use std::fmt;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::str::FromStr;

use cottoncrank::id;
use serde::{Deserialize, Serialize};

/// The number of one forming of a group. It only rises, over all groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch that follows.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One incarnation of a runner: the start of its process, in milliseconds by the clock of its own
/// box. A runner may start again under its id, and then holds and knows nothing of
/// before. Lives are compared for one runner only, and never with a clock of ours.
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

/// Whether `reported` is a later incarnation of a runner than `known`. Where one of them is not
/// told, nothing can be concluded.
pub fn is_later(reported: Option<Incarnation>, known: Option<Incarnation>) -> bool {
    reported.zip(known).is_some_and(|(reported, known)| reported > known)
}

/// How far a runner is in its group.
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
    /// The group stood still for too long and takes nothing any more.
    Broken,
}

/// A runner's place in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: id::Group,
    /// Which forming of it.
    pub epoch: Epoch,
    /// Its place; rank 0 is the head, which takes the requests.
    pub rank: usize,
    /// How far it is.
    pub phase: Phase,
}

/// A runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Its id. Its process may start again under the same one.
    pub id: id::Runner,
    /// Which incarnation of it this is about, where the platform says so.
    pub incarnation: Option<Incarnation>,
    /// The release of its software, where the platform says so.
    pub release: Option<Release>,
    /// How many orders it has taken in this incarnation, where the platform says so.
    pub orders: Option<u64>,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// The fabric domain, where it is a model engine.
    pub domain: Option<id::Domain>,
    /// How many requests it runs at once; more than that wait.
    pub slots: u32,
    /// Whether it has said that it is about to leave.
    pub draining: bool,
    /// The models it has loaded, as its entry says: none once it has left its group.
    pub models: Vec<id::Model>,
    /// The model it served last in this incarnation, if that was seen. It joins a group of it
    /// at once, though its entry does not tell.
    pub served: Option<id::Model>,
    /// The models its host keeps a copy of.
    pub staged: Vec<id::Model>,
    /// Its place in a group.
    pub membership: Option<Membership>,
}

impl Runner {
    /// Starts it anew: it is in no group and has no model loaded. What its host keeps
    /// outlasts its process.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.orders = None;
        self.draining = false;
        self.models.clear();
        self.served = None;
        self.membership = None;
    }

    /// Whether this tells of an earlier moment of the same incarnation than `known`: orders are only
    /// counted up. The store may have come back from an older copy.
    pub fn is_older_than(&self, known: &Runner) -> bool {
        let same_life = self.incarnation.is_some() && self.incarnation == known.incarnation;
        same_life && self.orders.zip(known.orders).is_some_and(|(reported, known)| reported < known)
    }

    /// Whether it served `model` last.
    pub fn has_served(&self, model: &id::Model) -> bool {
        self.served.as_ref() == Some(model)
    }
}
