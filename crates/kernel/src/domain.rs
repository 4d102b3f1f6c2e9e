//! The store document of one fabric domain: which runner is in which group.
//!
//! A group never leaves its domain, so one compare-and-swap of this document
//! changes whole groups, and no runner can be in two of them. Generations are
//! numbered per domain: every change uses the next one, and a runner that has
//! executed an order of that generation rejects those of earlier generations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::id;

/// Returns the store key of a domain's document.
pub fn key(domain: &id::Domain) -> String {
    format!("cottoncrank/domain/{domain}")
}

/// The number of past events that the document keeps for the command `explain`.
pub const MAX_EVENTS: usize = 32;

/// The phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Serve requests while every member is ready.
    Serve,
    /// Accept no new requests; the members leave when no request is in flight.
    Drain,
}

/// The placement of a runner in a group. Its index in the group is the rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Placement {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation of the runner that got the placement. A later incarnation has
    /// lost it, whatever it reports.
    pub incarnation: id::Incarnation,
}

/// A group as planned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Group {
    /// The generation of its latest change.
    pub generation: id::Generation,
    /// The model it serves.
    pub model: id::Model,
    /// Its runners in rank order.
    pub members: Vec<Placement>,
    /// Its phase.
    pub phase: Phase,
}

impl Group {
    /// Returns the placement of `runner` in this group.
    pub fn find_member(&self, runner: &id::Runner) -> Option<&Placement> {
        self.members.iter().find(|member| member.runner == *runner)
    }
}

/// A runner that does not check generations and has not yet confirmed the end of its old role.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// The generation that removed the runner from its group.
    pub generation: id::Generation,
}

/// A decision and its cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The time of the decision.
    pub at: Millis,
    /// The node that made the decision.
    pub by: id::Node,
    /// The group.
    pub group: id::Group,
    /// The resulting generation.
    pub generation: id::Generation,
    /// The decision.
    pub action: Action,
    /// The cause of the decision.
    pub cause: Cause,
    /// The alternatives that were rejected, with the reasons.
    pub passed: Vec<Alternative>,
}

/// The action of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// The group was formed from these runners.
    Form(Vec<id::Runner>),
    /// One runner replaced another.
    Replace {
        /// The runner that left.
        out: id::Runner,
        /// The runner that joined.
        into: id::Runner,
    },
    /// All members load the model again with the same ranks.
    Reload,
    /// The group accepts no new requests.
    Drain,
    /// The group was dissolved.
    Dissolve,
}

/// The cause of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The configuration requires it.
    Configured(id::Revision),
    /// Several nodes independently could not reach the runner.
    Missing {
        /// The runner.
        runner: id::Runner,
        /// Those nodes, and the list if it reports the runner missing as well.
        witnesses: Vec<String>,
    },
    /// The runner restarted and lost its role.
    Restarted(id::Runner),
    /// The list or the operators ask the runner to leave.
    Leaving(id::Runner),
    /// No request is in flight any more.
    Drained,
}

/// An alternative that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// The alternative.
    pub option: String,
    /// The reason for the rejection.
    pub reason: String,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Form(members) => write!(f, "form from {}", join_names(members)),
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
                write!(f, "{runner} is missing, seen by {}", join_names(witnesses))
            }
            Cause::Restarted(runner) => write!(f, "{runner} restarted and lost its role"),
            Cause::Leaving(runner) => write!(f, "{runner} is leaving"),
            Cause::Drained => f.write_str("no request is in flight any more"),
        }
    }
}

/// Joins names with commas.
pub fn join_names<T: fmt::Display>(names: &[T]) -> String {
    names.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// The plan of one fabric domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The newest generation that was used.
    pub generation: id::Generation,
    /// The write that created this document.
    pub proposal: id::Proposal,
    /// The groups.
    pub groups: BTreeMap<id::Group, Group>,
    /// The runners that may not be used yet.
    pub quarantine: BTreeMap<id::Runner, Quarantine>,
    /// Past events, oldest first.
    pub events: VecDeque<Event>,
}

/// An invariant that a document violates. Such a document is never written.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CheckError {
    /// A runner is a member twice.
    #[error("runner {0} is a member twice")]
    DuplicateRunner(id::Runner),
    /// A group's generation is higher than the domain's.
    #[error("group {0} has a generation above the domain's")]
    UnknownGeneration(id::Group),
    /// Two groups have the same generation.
    #[error("two groups have generation {0}")]
    SharedGeneration(id::Generation),
    /// A member is in quarantine.
    #[error("runner {0} is a member while in quarantine")]
    QuarantinedMember(id::Runner),
}

impl Document {
    /// Checks that no runner is a member twice or in quarantine, and that generations are valid.
    pub fn check(&self) -> Result<(), CheckError> {
        let mut seen = BTreeSet::new();
        let mut generations = BTreeSet::new();
        for (name, group) in &self.groups {
            if group.generation > self.generation {
                return Err(CheckError::UnknownGeneration(name.clone()));
            }
            if !generations.insert(group.generation) {
                return Err(CheckError::SharedGeneration(group.generation));
            }
            for member in &group.members {
                if !seen.insert(&member.runner) {
                    return Err(CheckError::DuplicateRunner(member.runner.clone()));
                }
                if self.quarantine.contains_key(&member.runner) {
                    return Err(CheckError::QuarantinedMember(member.runner.clone()));
                }
            }
        }
        Ok(())
    }

    /// Returns the group that a runner is a member of.
    pub fn find_group(&self, runner: &id::Runner) -> Option<(&id::Group, &Group)> {
        self.groups.iter().find(|(_, group)| group.find_member(runner).is_some())
    }

    /// Adds an event and removes the oldest ones beyond [`MAX_EVENTS`].
    pub fn record_event(&mut self, event: Event) {
        self.events.push_back(event);
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(name: &str) -> Placement {
        Placement { runner: name.parse().unwrap(), incarnation: id::Incarnation(1) }
    }

    fn group(generation: u64, members: &[&str]) -> Group {
        Group {
            generation: id::Generation(generation),
            model: "m".parse().unwrap(),
            members: members.iter().map(|m| member(m)).collect(),
            phase: Phase::Serve,
        }
    }

    #[test]
    fn a_runner_in_two_groups_is_an_error() {
        let mut document = Document { generation: id::Generation(2), ..Document::default() };
        document.groups.insert("a".parse().unwrap(), group(1, &["r1", "r2"]));
        document.groups.insert("b".parse().unwrap(), group(2, &["r3"]));
        assert_eq!(document.check(), Ok(()));
        document.groups.insert("b".parse().unwrap(), group(2, &["r2"]));
        assert_eq!(document.check(), Err(CheckError::DuplicateRunner("r2".parse().unwrap())));
    }

    #[test]
    fn a_shared_generation_is_an_error() {
        let mut document = Document { generation: id::Generation(2), ..Document::default() };
        document.groups.insert("a".parse().unwrap(), group(1, &["r1"]));
        document.groups.insert("b".parse().unwrap(), group(1, &["r3"]));
        assert_eq!(document.check(), Err(CheckError::SharedGeneration(id::Generation(1))));
    }

    #[test]
    fn a_large_domain_uses_a_small_part_of_a_store_value() {
        let names: Vec<String> = (0..32).map(|n| format!("runner-domain-1-{n}")).collect();
        let members: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut document = Document { generation: id::Generation(18), ..Document::default() };
        for n in 1..=18 {
            let name: id::Group = format!("group-{n}").parse().unwrap();
            document.groups.insert(name.clone(), group(n, &members));
        }
        for n in 0..MAX_EVENTS + 5 {
            document.record_event(Event {
                at: Millis(1_800_000_000_000),
                by: "node-hall-1-12".parse().unwrap(),
                group: "group-1".parse().unwrap(),
                generation: id::Generation(n as u64),
                action: Action::Form(members.iter().map(|m| m.parse().unwrap()).collect()),
                cause: Cause::Configured(id::Revision(7)),
                passed: Vec::new(),
            });
        }
        assert_eq!(document.events.len(), MAX_EVENTS);
        let size = rmp_serde::to_vec(&document).unwrap().len();
        println!("{size} bytes");
        assert!(size < crate::wire::MAX_VALUE_BYTES / 16, "{size} bytes");
    }
}
