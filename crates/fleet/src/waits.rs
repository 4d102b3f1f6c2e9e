//! Counts the retired groups whose members are held, by what each waits for, for the log.

use std::fmt;

use cottoncrank::{Millis, id};

use crate::loss::find_break;
use crate::memory::Memory;
use crate::plan::{Group, Plans, State};
use crate::probe::Health;
use crate::runner::Phase;
use crate::snapshot::{Snapshot, find_phase};
use crate::stall::Stalls;

/// The retired groups of a service that are still planned, by what they wait for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// The head finishes its requests.
    pub finishing: usize,
    /// The head answers, and has not acknowledged its order to leave, or its entry does not show it yet.
    pub leaving: usize,
    /// The head is out of reach, and no member is known to have left or ended.
    pub unreachable: usize,
    /// The head is out of reach, and the group is stalled until it must have broken.
    pub stalled: usize,
    /// How long the first of the stalled groups has been known to be stalled.
    pub longest: Millis,
    /// How long the last of the stalled groups still has to wait.
    pub left: Millis,
}

impl Waits {
    /// Whether the same groups wait for the same, whatever time has passed.
    pub fn is_same(&self, other: &Waits) -> bool {
        let count = |waits: &Waits| (waits.finishing, waits.leaving, waits.unreachable, waits.stalled);
        count(self) == count(other)
    }

    /// Returns the counts with their names.
    pub fn list(&self) -> [(&'static str, usize); 4] {
        [
            ("finishing", self.finishing),
            ("leaving", self.leaving),
            ("unreachable", self.unreachable),
            ("stalled", self.stalled),
        ]
    }

    fn add(&mut self, snapshot: &Snapshot, group: &Group, memory: &Memory) {
        let head = group.head();
        if let Some(runner) = head.and_then(|id| snapshot.find(id)) {
            return match (group.state, find_phase(runner, group)) {
                (State::Closing, Some(Phase::Open | Phase::Closing)) => self.finishing += 1,
                _ => self.leaving += 1,
            };
        }
        let answers =
            |id: &id::Runner| matches!(snapshot.probes.health(id), Health::Responsive | Health::Slow);
        match (head.is_some_and(answers), find_break(snapshot, group, memory)) {
            (true, _) => self.leaving += 1,
            (false, None) => self.unreachable += 1,
            (false, Some((since, end))) => {
                self.stalled += 1;
                self.longest = self.longest.max(snapshot.now.since(since));
                self.left = self.left.max(end.since(snapshot.now));
            }
        }
    }
}

/// Counts the retired groups of a service by what they wait for.
pub fn count(snapshot: &Snapshot, memory: &Memory) -> Waits {
    let groups = snapshot.plans.values().flat_map(|plan| &plan.groups);
    let mut waits = Waits::default();
    for group in groups.filter(|group| group.is_retired() && group.service == snapshot.service.id) {
        waits.add(snapshot, group, memory);
    }
    waits
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = self.list().iter().map(|(_, groups)| groups).sum::<usize>();
        write!(f, "{held} retired groups are held")?;
        if held > 0 {
            write!(
                f,
                ": {} finish their requests, {} have a head that is to leave, {} one out of reach, {} are stalled",
                self.finishing, self.leaving, self.unreachable, self.stalled
            )?;
        }
        if self.stalled > 0 {
            write!(f, ", the first for {}, the last for {} more", self.longest, self.left)?;
        }
        Ok(())
    }
}

/// What a new decider takes over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Takeover {
    /// The plans.
    pub plans: usize,
    /// The groups in them.
    pub groups: usize,
    /// Those that are retired.
    pub retired: usize,
    /// Those that the plans say are stalled.
    pub still: usize,
    /// Those of which this node knows since when.
    pub known: usize,
    /// The longest of these times.
    pub longest: Millis,
}

impl Takeover {
    /// Counts what the plans and this node's record of stalled groups tell a decider that begins at `now`.
    pub fn count(plans: &Plans, stalls: &Stalls, now: Millis) -> Takeover {
        let groups = || plans.values().flat_map(|plan| &plan.groups);
        let known = stalls.list();
        Takeover {
            plans: plans.len(),
            groups: groups().count(),
            retired: groups().filter(|group| group.is_retired()).count(),
            still: groups().filter(|group| group.still).count(),
            known: known.len(),
            longest: known.values().map(|since| now.since(*since)).max().unwrap_or_default(),
        }
    }
}

impl fmt::Display for Takeover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "takes over {} plans with {} groups: {} retired, {} of them stalled, {} since a known time, at most {}",
            self.plans, self.groups, self.retired, self.still, self.known, self.longest
        )
    }
}
