//! Rows: the small versioned records that nodes exchange by gossip.
//!
//! Each row has a single writer that raises its version, so of two rows with the
//! same key the higher version is the newer one. Rows are sent when they change;
//! an idle fleet sends none.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::domain;
use crate::engine;
use crate::id;
use crate::view::Condition;

/// The subject of a row, which also determines its writer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A node; written by itself.
    Node(id::Node),
    /// Whether one node fails to reach another; written by the first.
    Doubt {
        /// The node that does not answer.
        of: id::Node,
        /// The node that fails to reach it.
        by: id::Node,
    },
    /// A watcher's observation of a runner; written by the watcher.
    Seen {
        /// The runner.
        runner: id::Runner,
        /// The watcher.
        by: id::Node,
    },
    /// A group as placed; copied from its domain's document.
    Group(id::Group),
    /// The load of a group; written by the first watcher of its rank 0.
    Load(id::Group),
    /// Whether a group may take work; written by the node that decides for its domain.
    Whole(id::Group),
    /// A runner's entry in the platform's list; copied from the list.
    Listed(id::Runner),
}

impl Key {
    /// Whether the row is sent to other halls. Rows about single runners stay in the
    /// runners' hall; other halls receive only rows about groups and nodes.
    pub fn is_fleet_wide(&self) -> bool {
        !matches!(self, Key::Seen { .. } | Key::Listed(_))
    }
}

/// The content of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Body {
    /// A node.
    Node(Node),
    /// One node's report that another does not answer, or its withdrawal.
    Doubt {
        /// The version of the doubted node's row; a newer row refutes the doubt.
        version: u64,
        /// Whether the doubt is in force.
        held: bool,
    },
    /// A runner as one watcher sees it.
    Seen(Observation),
    /// A group as placed, or none once it is dissolved.
    Group(Option<Group>),
    /// The load of a group.
    Load(Load),
    /// Whether a group may take work.
    Whole(Readiness),
    /// A runner's entry in the platform's list.
    Listed(Listing),
}

/// Whether a group may take work, for the other halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Readiness {
    /// The generation to which it applies.
    pub generation: id::Generation,
    /// The condition of the group.
    pub condition: Condition,
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// Its data hall.
    pub hall: id::Hall,
    /// Where its controller listens for other controllers.
    pub peer: SocketAddr,
    /// Where its entry listens for other entries.
    pub entry: SocketAddr,
    /// When this process started, which bounds how far back its memory reaches.
    pub incarnation: id::Incarnation,
    /// The configuration it has in force.
    pub revision: id::Revision,
    /// Whether it is shutting down in an orderly way.
    pub leaving: bool,
}

/// A runner as one watcher sees it, without what changes with every request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Observation {
    /// Whether the runner answers this watcher.
    pub answers: bool,
    /// The incarnation of the runner.
    pub incarnation: id::Incarnation,
    /// The newest generation whose order it has executed.
    pub fence: id::Generation,
    /// Its role.
    pub role: Option<engine::Role>,
    /// Its progress in taking the role.
    pub stage: engine::Stage,
    /// The model whose weights it holds.
    pub warm: Option<id::Model>,
}

/// A group as placed, with its domain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// The domain.
    pub domain: id::Domain,
    /// The placement of the group.
    pub group: domain::Group,
}

/// The load of a group as rank 0 reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Load {
    /// The generation to which it applies.
    pub generation: id::Generation,
    /// Requests in flight.
    pub running: u32,
    /// Tokens still to generate.
    pub backlog: u64,
}

/// A runner's entry in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Listing {
    /// Whether the list counts it as live.
    pub live: bool,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// A versioned record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The subject.
    pub key: Key,
    /// Higher is newer.
    pub version: u64,
    /// The content.
    pub body: Body,
}

/// The urgency of sending a row; earlier variants are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It stops work: a missing member, a leaving runner, a placement.
    Stop,
    /// It starts work.
    Start,
    /// Membership of nodes.
    Member,
    /// Load, and which revision is in force where.
    Load,
}

impl Urgency {
    /// Returns how often a node sends a row of this urgency. The checksums repair what
    /// was missed, but urgent rows should not have to wait for them.
    pub fn max_sends(self) -> u8 {
        match self {
            Urgency::Stop | Urgency::Start => 4,
            Urgency::Member | Urgency::Load => 2,
        }
    }
}

impl Row {
    /// Returns the urgency of sending this row.
    pub fn urgency(&self) -> Urgency {
        match &self.body {
            Body::Group(_) | Body::Listed(_) | Body::Whole(_) => Urgency::Stop,
            Body::Seen(seen) if !seen.answers || seen.stage != engine::Stage::Ready => Urgency::Stop,
            Body::Seen(_) => Urgency::Start,
            Body::Doubt { .. } => Urgency::Member,
            Body::Node(node) if node.leaving => Urgency::Stop,
            Body::Node(_) => Urgency::Member,
            Body::Load(_) => Urgency::Load,
        }
    }
}
