//! Which runner is meant for which group: one document a fabric domain, kept
//! in the platform's store so that any node can take the decisions over.

use std::collections::{BTreeMap, HashSet};

use cottoncrank::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::runner::{Epoch, Incarnation};

/// A group as planned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Its name.
    pub name: id::Group,
    /// Which forming of it.
    pub epoch: Epoch,
    /// The service it belongs to.
    pub service: id::Service,
    /// The model it serves.
    pub model: id::Model,
    /// Its members by rank; the first is the head.
    pub members: Vec<id::Runner>,
    /// What is meant to become of it.
    pub state: State,
    /// Whether it is given up and a member is known to be away, so that it stands still.
    #[serde(default)]
    pub still: bool,
    /// The lives of its members by rank, as they were known when it was planned: a member
    /// that has started again is in no group, though its id is the same. Nodes that
    /// knew no lives wrote none.
    #[serde(default)]
    pub lives: Vec<Option<Incarnation>>,
}

/// What is meant to become of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It is to serve.
    Active,
    /// A member is about to leave: it takes no more and finishes what it has. Its
    /// members are held until its head surely takes nothing any more.
    Closing,
    /// It cannot finish what it has. Its members are held in the same way.
    Lost,
}

impl Group {
    /// Whether it is given up, in either way.
    pub fn is_retired(&self) -> bool {
        self.state != State::Active
    }

    /// The life in which a member was planned, where that was known.
    pub fn find_life(&self, member: &id::Runner) -> Option<Incarnation> {
        let rank = self.members.iter().position(|id| id == member)?;
        *self.lives.get(rank)?
    }

    /// The member that takes the requests.
    pub fn head(&self) -> Option<&id::Runner> {
        self.members.first()
    }
}

/// The plan of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The highest epoch ever given out here.
    pub top: Epoch,
    /// The groups.
    pub groups: Vec<Group>,
    /// How often it was written: of two, the later one has more, also where the store has come
    /// back from an older copy.
    #[serde(default)]
    pub version: u64,
}

/// Why a document is no plan, though it can be decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Flaw {
    /// A group has nobody in it.
    #[error("group {0} has no members")]
    Empty(id::Group),
    /// A runner is in two places.
    #[error("runner {0} is planned twice")]
    Twice(id::Runner),
    /// An epoch is beyond those given out.
    #[error("group {0} is of an epoch that was not given out")]
    Epoch(id::Group),
}

impl Document {
    /// Whether this is a plan: each group has members, and each runner one place.
    pub fn check(&self) -> Result<(), Flaw> {
        let mut seen = HashSet::new();
        for group in &self.groups {
            if group.members.is_empty() {
                return Err(Flaw::Empty(group.name.clone()));
            }
            if group.epoch > self.top {
                return Err(Flaw::Epoch(group.name.clone()));
            }
            if let Some(twice) = group.members.iter().find(|member| !seen.insert(*member)) {
                return Err(Flaw::Twice(twice.clone()));
            }
        }
        Ok(())
    }
}

/// The plans of all fabric domains.
pub type Plans = BTreeMap<id::Domain, Document>;

/// What is meant to become of a forming of a group; none if it is not planned.
pub fn find_state(plans: &Plans, name: &id::Group, epoch: Epoch) -> Option<State> {
    let mut groups = plans.values().flat_map(|plan| &plan.groups);
    groups.find(|group| group.name == *name && group.epoch == epoch).map(|group| group.state)
}
