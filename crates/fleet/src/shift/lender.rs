//! The model that lends: its open groups, their throughput and the load that they have to bear.

use std::collections::BTreeSet;

use cottoncrank::id;

use crate::catalog::{Engine, Model, Speed};
use crate::plan::{Group, State as Desired};
use crate::runner::Phase;
use crate::snapshot::{Draft, Snapshot, find_phase};

/// The highest load of a model that lends, as a fraction of the throughput of the groups that it keeps,
/// without the largest of them.
const MAX_LOAD_LENDING: f64 = 0.75;

/// An open group.
pub(super) struct Open {
    pub(super) name: id::Group,
    hall: id::Hall,
    running: u32,
    /// Its throughput with all slots in use.
    pub(super) capacity: f64,
}

/// A model and its open groups.
pub(super) struct Lender<'a> {
    pub(super) model: &'a Model,
    pub(super) groups: Vec<Open>,
    /// The throughput that its callers use.
    pub(super) load: f64,
}

impl<'a> Lender<'a> {
    pub(super) fn count(
        snapshot: &Snapshot,
        engine: &'a Engine,
        model: &'a Model,
        drafts: &[Draft],
    ) -> Lender<'a> {
        let mut lender = Lender { model, groups: Vec::new(), load: 0.0 };
        for draft in drafts {
            let planned = draft.plan.groups.iter().filter(|group| group.model == model.name);
            for group in planned.filter(|group| group.state != Desired::Lost) {
                lender.add(snapshot, &engine.speed, draft, group);
            }
        }
        lender
    }

    /// Adds the load of a group, and the group itself if it is open and stays so. A group under evacuation
    /// counts as load only, because its callers will need other groups.
    fn add(&mut self, snapshot: &Snapshot, speed: &Speed, draft: &Draft, group: &Group) {
        let Some(head) = group.head().and_then(|head| snapshot.find(head)) else { return };
        let running = snapshot.in_flight.and_then(|counts| counts.get(&group.epoch).copied());
        let running = running.unwrap_or(0);
        self.load += estimate_throughput(speed, running.min(head.slots));
        let stays = !group.is_retired() && !draft.evacuated.contains(&group.epoch);
        if stays && find_phase(head, group) == Some(Phase::Open) {
            self.groups.push(Open {
                name: group.name.clone(),
                hall: head.hall.clone(),
                running,
                capacity: estimate_throughput(speed, head.slots),
            });
        }
    }

    pub(super) fn sum_capacity(&self) -> f64 {
        self.groups.iter().map(|group| group.capacity).sum()
    }

    fn list_kept(&self, closing: &[id::Group]) -> Vec<&Open> {
        self.groups.iter().filter(|group| !closing.contains(&group.name)).collect()
    }

    /// Whether the groups left without `closing`, less the largest of them, bear `load` with at most the
    /// fraction `max_load` of their throughput in use.
    pub(super) fn bears_loss(&self, load: f64, closing: &[id::Group], max_load: f64) -> bool {
        let kept = self.list_kept(closing);
        let total: f64 = kept.iter().map(|group| group.capacity).sum();
        let largest = kept.iter().map(|group| group.capacity).fold(0.0, f64::max);
        total > largest && load <= max_load * (total - largest)
    }

    /// Whether `closing` can be lent: the groups left bear the load, and no hall gives up its last one.
    pub(super) fn can_lend(&self, load: f64, closing: &[id::Group]) -> bool {
        let before: BTreeSet<&id::Hall> = self.groups.iter().map(|group| &group.hall).collect();
        let after: BTreeSet<&id::Hall> =
            self.list_kept(closing).into_iter().map(|group| &group.hall).collect();
        after == before && self.bears_loss(load, closing, MAX_LOAD_LENDING)
    }

    /// Returns the requests in flight at a group, if it is open.
    pub(super) fn find_running(&self, group: &Group) -> Option<u32> {
        self.groups.iter().find(|open| open.name == group.name).map(|open| open.running)
    }
}

/// Returns the throughput of a group with `running` requests, in tokens per millisecond and unit of
/// pace. Without published speeds it is the number of requests.
fn estimate_throughput(speed: &Speed, running: u32) -> f64 {
    let running = f64::from(running);
    if speed.step_ms <= 0.0 {
        return running;
    }
    running / (speed.step_ms + speed.per_request_ms * running)
}

/// Returns a load as the number of groups that it would fill.
pub(super) fn count_needed(engine: &Engine, lender: &Lender, load: f64) -> f64 {
    let capacity = lender.groups.first().map_or(0.0, |group| group.capacity);
    if capacity > 0.0 { load / capacity } else { load / estimate_throughput(&engine.speed, 1).max(1.0) }
}
