//! The store document of one fabric domain: which runner is in which group.
//!
//! A group never leaves its domain, so one compare-and-swap of this document
//! moves whole groups, and no runner can be in two of them. Generations count
//! over the whole domain: every change takes the next one, and a runner that
//! has obeyed it refuses all before.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::id;

/// The store's key of a domain's document.
pub fn key(domain: &id::Domain) -> String {
    format!("cottoncrank/domain/{domain}")
}

/// How many past events the document keeps for `explain`.
pub const EVENTS: usize = 32;

/// What a group may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Serve as soon as, and only while, every member is ready.
    Serve,
    /// Take no new work; members leave once nothing is in flight.
    Drain,
}

/// A runner's place in a group. The rank is the place's index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The runner.
    pub runner: id::Runner,
    /// The life of the runner that was given the place. A later life has
    /// lost it, whatever it says.
    pub incarnation: id::Incarnation,
}

/// A group as assigned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// The generation of its latest change.
    pub generation: id::Generation,
    /// The model it serves.
    pub model: id::Model,
    /// Its runners in rank order.
    pub members: Vec<Place>,
    /// What it may do.
    pub phase: Phase,
}

impl Group {
    /// The place of `runner` in this group.
    pub fn place_of(&self, runner: &id::Runner) -> Option<&Place> {
        self.members.iter().find(|place| place.runner == *runner)
    }
}

/// A runner that checks no fence and whose old role is not confirmed ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// The generation that took the runner out of its group.
    pub generation: id::Generation,
}

/// Something that was decided, with what spoke for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it was decided.
    pub at: Millis,
    /// The node that decided.
    pub by: id::Node,
    /// The group concerned.
    pub group: id::Group,
    /// The generation that came of it.
    pub generation: id::Generation,
    /// The decision.
    pub action: Action,
    /// What was seen that led to it.
    pub cause: Cause,
    /// Other ways and why they were passed over.
    pub passed: Vec<Passed>,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// The group was formed of these runners.
    Form(Vec<id::Runner>),
    /// One runner took the place of another.
    Replace {
        /// The runner that left.
        out: id::Runner,
        /// The runner that came.
        into: id::Runner,
    },
    /// All members load again in the same places.
    Reload,
    /// The group takes no new work.
    Drain,
    /// The group was taken apart.
    Dissolve,
}

/// What led to a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The configuration asks for it.
    Configured(id::Revision),
    /// Independent watchers could not reach the runner.
    Missing {
        /// The runner.
        runner: id::Runner,
        /// The watchers, and the list if it agrees.
        witnesses: Vec<String>,
    },
    /// The runner started again and knows nothing of its role.
    Restarted(id::Runner),
    /// The list or the operators want the runner to leave.
    Leaving(id::Runner),
    /// Nothing was in flight any more.
    Drained,
}

/// A way that was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Passed {
    /// The way.
    pub option: String,
    /// Why not.
    pub reason: String,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Form(members) => write!(f, "form of {}", join(members)),
            Action::Replace { out, into } => write!(f, "replace {out} by {into}"),
            Action::Reload => f.write_str("load again on the same runners"),
            Action::Drain => f.write_str("drain"),
            Action::Dissolve => f.write_str("dissolve"),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Configured(revision) => write!(f, "configuration revision {revision}"),
            Cause::Missing { runner, witnesses } => {
                write!(f, "{runner} is missing, seen by {}", join(witnesses))
            }
            Cause::Restarted(runner) => write!(f, "{runner} started again and lost its role"),
            Cause::Leaving(runner) => write!(f, "{runner} is leaving"),
            Cause::Drained => f.write_str("nothing was in flight any more"),
        }
    }
}

/// The names with commas between them.
pub fn join<T: fmt::Display>(names: &[T]) -> String {
    names.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// The assignment of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The newest generation given out.
    pub generation: id::Generation,
    /// The write that made this document.
    pub proposal: id::Proposal,
    /// The groups.
    pub groups: BTreeMap<id::Group, Group>,
    /// Runners that may not be used yet.
    pub quarantine: BTreeMap<id::Runner, Quarantine>,
    /// Past events, oldest first.
    pub events: VecDeque<Event>,
}

/// A document that breaks an invariant. It is never written.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CheckError {
    /// A runner stands twice.
    #[error("runner {0} is in two places")]
    Twice(id::Runner),
    /// A group's generation lies above the domain's.
    #[error("group {0} has a generation that was never given out")]
    Generation(id::Group),
    /// Two groups share a generation.
    #[error("generation {0} was given to two groups")]
    Shared(id::Generation),
    /// A member is in quarantine.
    #[error("runner {0} is a member while in quarantine")]
    Quarantine(id::Runner),
}

impl Document {
    /// Checks that no runner is in two groups and that generations are sound.
    pub fn check(&self) -> Result<(), CheckError> {
        let mut seen = BTreeSet::new();
        let mut generations = BTreeSet::new();
        for (name, group) in &self.groups {
            if group.generation > self.generation {
                return Err(CheckError::Generation(name.clone()));
            }
            if !generations.insert(group.generation) {
                return Err(CheckError::Shared(group.generation));
            }
            for place in &group.members {
                if !seen.insert(&place.runner) {
                    return Err(CheckError::Twice(place.runner.clone()));
                }
                if self.quarantine.contains_key(&place.runner) {
                    return Err(CheckError::Quarantine(place.runner.clone()));
                }
            }
        }
        Ok(())
    }

    /// The group that a runner is assigned to.
    pub fn group_of(&self, runner: &id::Runner) -> Option<(&id::Group, &Group)> {
        self.groups.iter().find(|(_, group)| group.place_of(runner).is_some())
    }

    /// Adds an event and forgets the oldest beyond [`EVENTS`].
    pub fn record(&mut self, event: Event) {
        self.events.push_back(event);
        while self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(name: &str) -> Place {
        Place { runner: name.parse().unwrap(), incarnation: id::Incarnation(1) }
    }

    fn group(generation: u64, members: &[&str]) -> Group {
        Group {
            generation: id::Generation(generation),
            model: "m".parse().unwrap(),
            members: members.iter().map(|m| place(m)).collect(),
            phase: Phase::Serve,
        }
    }

    #[test]
    fn a_runner_in_two_groups_is_caught() {
        let mut document = Document { generation: id::Generation(2), ..Document::default() };
        document.groups.insert("a".parse().unwrap(), group(1, &["r1", "r2"]));
        document.groups.insert("b".parse().unwrap(), group(2, &["r3"]));
        assert_eq!(document.check(), Ok(()));
        document.groups.insert("b".parse().unwrap(), group(2, &["r2"]));
        assert_eq!(document.check(), Err(CheckError::Twice("r2".parse().unwrap())));
    }

    #[test]
    fn a_shared_generation_is_caught() {
        let mut document = Document { generation: id::Generation(2), ..Document::default() };
        document.groups.insert("a".parse().unwrap(), group(1, &["r1"]));
        document.groups.insert("b".parse().unwrap(), group(1, &["r3"]));
        assert_eq!(document.check(), Err(CheckError::Shared(id::Generation(1))));
    }

    #[test]
    fn a_large_domain_fits_into_a_value_with_room() {
        let names: Vec<String> = (0..32).map(|n| format!("runner-domain-1-{n}")).collect();
        let members: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut document = Document { generation: id::Generation(18), ..Document::default() };
        for n in 1..=18 {
            let name: id::Group = format!("group-{n}").parse().unwrap();
            document.groups.insert(name.clone(), group(n, &members));
        }
        for n in 0..EVENTS + 5 {
            document.record(Event {
                at: Millis(1_800_000_000_000),
                by: "node-hall-1-12".parse().unwrap(),
                group: "group-1".parse().unwrap(),
                generation: id::Generation(n as u64),
                action: Action::Form(members.iter().map(|m| m.parse().unwrap()).collect()),
                cause: Cause::Configured(id::Revision(7)),
                passed: Vec::new(),
            });
        }
        assert_eq!(document.events.len(), EVENTS);
        let size = rmp_serde::to_vec(&document).unwrap().len();
        println!("{size} bytes");
        assert!(size < crate::wire::MAX_VALUE_BYTES / 16, "{size} bytes");
    }
}
