//! Rows: the small versioned facts that nodes tell each other.
//!
//! Only one writer raises the version of a row, so of two rows with one key
//! the higher version is the newer fact. Rows say what changed; a fleet at
//! rest sends none.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::domain;
use crate::engine;
use crate::id;
use crate::view::Condition;

/// What a row is about, and by that who writes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A node; written by itself.
    Node(id::Node),
    /// Whether one node fails to reach another; written by the first.
    Doubt {
        /// The node that does not answer.
        of: id::Node,
        /// The node that says so.
        by: id::Node,
    },
    /// What one watcher knows of a runner; written by the watcher.
    Seen {
        /// The runner.
        runner: id::Runner,
        /// The watcher.
        by: id::Node,
    },
    /// A group as assigned; copied from its domain's document.
    Group(id::Group),
    /// The load of a group; written by the first watcher of its rank 0.
    Load(id::Group),
    /// Whether a group may take work; written by the node that decides for its domain.
    Whole(id::Group),
    /// What the platform's list says of a runner; copied from the list.
    Listed(id::Runner),
}

impl Key {
    /// Whether other halls have a use for the row. What watchers and the list
    /// say of single runners stays in the runners' hall; the others are told of
    /// whole groups.
    pub fn is_fleet_wide(&self) -> bool {
        !matches!(self, Key::Seen { .. } | Key::Listed(_))
    }
}

/// The fact itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Body {
    /// A node.
    Node(Node),
    /// A doubt, or its withdrawal.
    Doubt {
        /// The version of the doubted node's row; a newer row refutes the doubt.
        version: u64,
        /// Whether the doubt still stands.
        held: bool,
    },
    /// A runner as one watcher sees it.
    Seen(Observation),
    /// A group as assigned.
    Group(Option<Group>),
    /// The load of a group.
    Load(Load),
    /// Whether a group may take work.
    Whole(Readiness),
    /// What the list says.
    Listed(Listing),
}

/// Whether a group may take work, for the other halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Readiness {
    /// The generation it holds for.
    pub generation: id::Generation,
    /// Whether it may.
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
    /// When this life began, which tells how long its memory reaches back.
    pub incarnation: id::Incarnation,
    /// The configuration it has in force.
    pub revision: id::Revision,
    /// Whether it is leaving on its own will.
    pub leaving: bool,
}

/// A runner as one watcher sees it. It leaves out what changes with every request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Observation {
    /// Whether the runner answers this watcher.
    pub answers: bool,
    /// The life of the runner.
    pub incarnation: id::Incarnation,
    /// The newest generation it has obeyed.
    pub fence: id::Generation,
    /// Its role.
    pub role: Option<engine::Role>,
    /// How far it is with it.
    pub stage: engine::Stage,
    /// The model whose weights it holds.
    pub warm: Option<id::Model>,
}

/// A group as assigned, and where its domain lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// The domain.
    pub domain: id::Domain,
    /// The assignment.
    pub group: domain::Group,
}

/// The load of a group as rank 0 reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Load {
    /// The generation it holds for.
    pub generation: id::Generation,
    /// Requests in flight.
    pub running: u32,
    /// Tokens still to generate.
    pub backlog: u64,
}

/// What the platform's list says of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Listing {
    /// The list counts it as live.
    pub live: bool,
    /// The list shows it as leaving.
    pub leaving: bool,
}

/// A fact with its key and version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// What it is about.
    pub key: Key,
    /// Higher is newer.
    pub version: u64,
    /// The fact.
    pub body: Body,
}

/// How soon a row has to be passed on; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It stops work: a missing member, a leaving runner, an assignment.
    Stop,
    /// It starts work.
    Start,
    /// Membership of nodes.
    Member,
    /// Load, and which revision is in force where.
    Load,
}

impl Urgency {
    /// How often a node passes a row of this urgency on. The checksums find
    /// whoever was missed; what is urgent should not have to wait for them.
    pub fn max_sends(self) -> u8 {
        match self {
            Urgency::Stop | Urgency::Start => 4,
            Urgency::Member | Urgency::Load => 2,
        }
    }
}

impl Row {
    /// How soon this row has to be passed on.
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
