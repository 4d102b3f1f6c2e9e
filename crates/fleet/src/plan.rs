//! The placement of groups on runners: one plan for each fabric domain, kept in the store so that
//! any node can take over as decider.

use std::collections::{BTreeMap, HashSet};

use cottoncrank::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::runner::{Epoch, Incarnation, Place};

/// A planned group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The name.
    pub name: id::Group,
    /// The number of this formation of the group.
    pub epoch: Epoch,
    /// The service that it belongs to.
    pub service: id::Service,
    /// The model that it serves.
    pub model: id::Model,
    /// The members by rank; the first is the head.
    pub members: Vec<id::Runner>,
    /// The desired state.
    pub state: State,
    /// Whether the group is stalled: it is retired, and a member is known to be unreachable.
    #[serde(default)]
    pub still: bool,
    /// The incarnations of the members by rank, as known when the group was planned: a member that
    /// has restarted is in no group, though its id is the same. Plans of nodes that knew no
    /// incarnations have none.
    #[serde(default)]
    pub lives: Vec<Option<Incarnation>>,
}

/// The desired state of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It should serve.
    Active,
    /// A member is about to leave: the group takes no more requests and finishes those that it has.
    /// Its members are held until the head certainly takes no more requests.
    Closing,
    /// The group cannot finish its requests. Its members are held in the same way.
    Lost,
}

impl Group {
    /// Whether the group is retired, closing or lost.
    pub fn is_retired(&self) -> bool {
        self.state != State::Active
    }

    /// Returns the incarnation with which a member was planned, if it was known.
    pub fn find_incarnation(&self, member: &id::Runner) -> Option<Incarnation> {
        let rank = self.members.iter().position(|id| id == member)?;
        *self.lives.get(rank)?
    }

    /// Returns the member that takes the requests.
    pub fn head(&self) -> Option<&id::Runner> {
        self.members.first()
    }
}

/// The plan of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The highest epoch ever issued in the domain.
    pub top: Epoch,
    /// The groups.
    pub groups: Vec<Group>,
    /// How often the plan was written. Of two plans the later one has the higher version, even
    /// after the store has been restored from an older copy.
    #[serde(default)]
    pub version: u64,
    /// Where the members were when the plan was made, for nodes that see no entry of them. Not a part of
    /// the encoded document, because builds that do not know it could not decode that.
    #[serde(skip)]
    pub places: BTreeMap<id::Runner, Place>,
    /// Whether callers have sent requests to the fleet; one plan says so for all. Not a part of the
    /// encoded document either.
    #[serde(skip)]
    pub served: bool,
}

/// Why a decoded plan is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PlanError {
    /// A group has no members.
    #[error("group {0} has no members")]
    Empty(id::Group),
    /// A runner is in two groups, or in one twice.
    #[error("runner {0} is planned twice")]
    Duplicate(id::Runner),
    /// A group has an epoch that was not issued.
    #[error("group {0} has an epoch that was not issued")]
    Epoch(id::Group),
    /// The highest epoch is one that no decider issues.
    #[error("the highest epoch is {0}, which no decider issues")]
    Top(Epoch),
}

impl Document {
    /// Checks that each group has members and an issued epoch, and that each runner is planned
    /// once.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.top > Epoch::MAX {
            return Err(PlanError::Top(self.top));
        }
        let mut seen = HashSet::new();
        for group in &self.groups {
            if group.members.is_empty() {
                return Err(PlanError::Empty(group.name.clone()));
            }
            if group.epoch > self.top {
                return Err(PlanError::Epoch(group.name.clone()));
            }
            if let Some(twice) = group.members.iter().find(|member| !seen.insert(*member)) {
                return Err(PlanError::Duplicate(twice.clone()));
            }
        }
        Ok(())
    }
}

/// The plans of all fabric domains.
pub type Plans = BTreeMap<id::Domain, Document>;

/// Returns the desired state of a formation of a group, or none if it is not planned.
pub fn find_state(plans: &Plans, name: &id::Group, epoch: Epoch) -> Option<State> {
    let mut groups = plans.values().flat_map(|plan| &plan.groups);
    groups.find(|group| group.name == *name && group.epoch == epoch).map(|group| group.state)
}
