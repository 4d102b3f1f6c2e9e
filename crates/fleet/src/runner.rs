//! A runner as it describes itself: one backend server, alone or in a group.

use std::fmt;
use std::net::SocketAddr;

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
    /// Its id; every start of its process has a new one.
    pub id: id::Runner,
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
    /// The model it served last in this life, if that was seen. It joins a group of it
    /// at once, though its entry does not tell.
    pub served: Option<id::Model>,
    /// The models its host keeps a copy of.
    pub staged: Vec<id::Model>,
    /// Its place in a group.
    pub membership: Option<Membership>,
}

impl Runner {
    /// Whether it served `model` last.
    pub fn has_served(&self, model: &id::Model) -> bool {
        self.served.as_ref() == Some(model)
    }
}
