//! The runners a node believes in, and the groups they stand in.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::runner::{Epoch, Membership, Phase, Runner};

/// Runners whose entry lapsed while the store was away are given this long
/// after its return to write themselves in again. The platform names about two
/// seconds.
pub const RETURN: Millis = Millis(2300);

#[derive(Clone, Debug)]
struct Entry {
    runner: Runner,
    /// Since when its entry is missing, if it is.
    missing: Option<Millis>,
}

/// All runners, by id.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<id::Runner, Entry>,
    /// Until when a missing entry may still come back.
    grace: Millis,
}

/// A group as its members describe it.
#[derive(Clone, Debug)]
pub struct Group<'a> {
    /// The head, if it is known.
    pub head: Option<&'a Runner>,
    /// The members known, each with its place.
    pub members: Vec<(&'a Runner, &'a Membership)>,
}

impl Roster {
    /// A runner has written its entry.
    pub fn put(&mut self, runner: Runner) {
        self.entries.insert(runner.id.clone(), Entry { runner, missing: None });
    }

    /// A runner's entry is gone.
    pub fn remove(&mut self, id: &id::Runner, now: Millis) {
        if now >= self.grace {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.missing.get_or_insert(now);
        }
    }

    /// All entries as read at once; those that are not among them are gone.
    pub fn replace(&mut self, runners: Vec<Runner>, now: Millis) {
        let kept: Vec<id::Runner> = runners.iter().map(|runner| runner.id.clone()).collect();
        let gone: Vec<id::Runner> = self.entries.keys().filter(|id| !kept.contains(id)).cloned().collect();
        for id in gone {
            self.remove(&id, now);
        }
        for runner in runners {
            self.put(runner);
        }
    }

    /// The store answers again after it did not: missing entries may come back.
    pub fn regain(&mut self, now: Millis) {
        self.grace = now + RETURN;
    }

    /// Takes those runners as gone whose time to come back is over. Returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<id::Runner> {
        if now < self.grace {
            return Vec::new();
        }
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing.is_some());
        let gone: Vec<id::Runner> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.entries.remove(id);
        }
        gone
    }

    /// A runner.
    pub fn get(&self, id: &id::Runner) -> Option<&Runner> {
        self.entries.get(id).map(|entry| &entry.runner)
    }

    /// All runners, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.entries.values().map(|entry| &entry.runner)
    }

    /// The members of one forming of a group, as they describe themselves.
    pub fn find_group(&self, group: &id::Group, epoch: Epoch) -> Group<'_> {
        let members: Vec<_> = self
            .iter()
            .filter_map(|runner| Some((runner, runner.membership.as_ref()?)))
            .filter(|(_, membership)| membership.group == *group && membership.epoch == epoch)
            .collect();
        let head = members.iter().find(|(_, membership)| membership.rank == 0).map(|(runner, _)| *runner);
        Group { head, members }
    }

    /// The heads that take requests for `model`, of groups that are whole: all
    /// `size` members are there, and none is about to leave.
    pub fn list_heads<'a>(
        &'a self,
        service: &id::Service,
        model: &id::Model,
        size: usize,
    ) -> Vec<&'a Runner> {
        let mut sound: HashMap<(&id::Group, Epoch), usize> = HashMap::new();
        for runner in self.iter().filter(|runner| !runner.draining) {
            if let Some(membership) = runner.membership.as_ref().filter(|m| m.phase != Phase::Broken) {
                *sound.entry((&membership.group, membership.epoch)).or_default() += 1;
            }
        }
        let whole = |membership: &Membership| {
            sound.get(&(&membership.group, membership.epoch)).is_some_and(|members| *members >= size)
        };
        self.iter()
            .filter(|runner| runner.service == *service && runner.models.contains(model))
            .filter(|runner| {
                runner.membership.as_ref().is_some_and(|m| m.rank == 0 && m.phase == Phase::Open && whole(m))
            })
            .collect()
    }

    /// The runners of a plain service that may be sent requests.
    pub fn list_plain<'a>(&'a self, service: &id::Service) -> Vec<&'a Runner> {
        self.iter().filter(|runner| runner.service == *service && !runner.draining).collect()
    }
}
