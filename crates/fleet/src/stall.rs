//! Since when retired groups are stalled, as each node has read it.
//!
//! Members of a group whose head cannot be reached are held until the group must have broken. At
//! times boxes are stopped one after the other, and if each new decider started to wait again, the
//! members would be held for that whole time. So the plan says that a group is stalled, and each
//! node records when it first read that, which is later than the group stalled.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::plan::Plans;
use crate::runner::Epoch;

/// When this node first read that groups are stalled.
#[derive(Clone, Debug, Default)]
pub struct Stalls(HashMap<(id::Group, Epoch), Millis>);

impl Stalls {
    /// Updates the times from the plans as of `now`.
    pub fn update(&mut self, plans: &Plans, now: Millis) {
        let groups = plans.values().flat_map(|plan| &plan.groups).filter(|group| group.still);
        let stalled: HashSet<(id::Group, Epoch)> =
            groups.map(|group| (group.name.clone(), group.epoch)).collect();
        self.0.retain(|key, _| stalled.contains(key));
        for key in stalled {
            self.0.entry(key).or_insert(now);
        }
    }

    /// Returns all stalled groups with their times.
    pub(crate) fn list(&self) -> HashMap<(id::Group, Epoch), Millis> {
        self.0.clone()
    }
}
