//! Since when groups that were given up stand still, as every node has seen it.
//!
//! Members of a group whose head cannot be asked are held until the group must have
//! broken. Boxes are stopped one after the other at times, and each new decider that
//! began to wait anew would hold them for as long as that lasts. So the plan says that a
//! group stands still, and each node notes when it read that: later than it was true.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::plan::Plans;
use crate::runner::Epoch;

/// When this node first read of groups that they stand still.
#[derive(Clone, Debug, Default)]
pub struct Stalls(HashMap<(id::Group, Epoch), Millis>);

impl Stalls {
    /// The plans are these at `now`.
    pub fn update(&mut self, plans: &Plans, now: Millis) {
        let groups = plans.values().flat_map(|plan| &plan.groups).filter(|group| group.still);
        let stalled: HashSet<(id::Group, Epoch)> =
            groups.map(|group| (group.name.clone(), group.epoch)).collect();
        self.0.retain(|key, _| stalled.contains(key));
        for key in stalled {
            self.0.entry(key).or_insert(now);
        }
    }

    /// All of them.
    pub(crate) fn list(&self) -> HashMap<(id::Group, Epoch), Millis> {
        self.0.clone()
    }
}
