//! The runners a node believes in, and the groups they stand in.

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::feedback::LeavingRunner;
use crate::plan::{Group, Plans};
use crate::runner::{Life, Phase, Release, Runner, is_later};

/// Runners whose entry lapsed while the store was away are given this long
/// after its return to write themselves in again. The platform names about two
/// seconds.
pub const RETURN: Millis = Millis(2300);

/// A runner whose entry is gone is remembered for this long: as long as one may
/// be cut off from the store and still run requests.
pub const REMEMBERED: Millis = Millis(60_000);

#[derive(Clone, Debug)]
struct Entry {
    runner: Runner,
    /// Since when its entry is missing, if it is.
    missing: Option<Millis>,
}

/// What an entry told of a runner's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// It is the life that was known, or lives are not told.
    Known,
    /// The runner has started again under its id.
    Restarted,
    /// The entry is of a former life, or of an earlier moment of this one.
    Outdated,
}

/// All runners, by id.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<id::Runner, Entry>,
    /// Runners whose entry is gone, and since when. They may still be there.
    departed: HashMap<id::Runner, (Runner, Millis)>,
    /// Runners that have said in an answer that they are about to leave, and in which life.
    leaving: HashMap<id::Runner, Option<Life>>,
    /// Until when a missing entry may still come back.
    grace: Millis,
}

fn is_open(head: &Runner, group: &Group) -> bool {
    head.membership.as_ref().is_some_and(|membership| {
        membership.group == group.name && membership.epoch == group.epoch && membership.phase == Phase::Open
    })
}

impl Roster {
    /// A runner has written its entry. What it served before in the same life is kept. An
    /// entry of a former life, which may come late, is passed over.
    pub fn put(&mut self, mut runner: Runner) -> Notice {
        let known = self.recall(&runner.id);
        let before = known.and_then(|known| known.life);
        if is_later(before, runner.life) || known.is_some_and(|known| runner.is_before(known)) {
            return Notice::Outdated;
        }
        let notice = if is_later(runner.life, before) { Notice::Restarted } else { Notice::Known };
        let served = known.filter(|_| notice == Notice::Known).and_then(|known| known.served.clone());
        runner.served = runner.models.first().cloned().or(served);
        runner.life = runner.life.or(before);
        // Entries lag behind answers, and stand still while the store is away.
        runner.draining |= self.is_leaving(&runner.id, runner.life);
        self.departed.remove(&runner.id);
        self.entries.insert(runner.id.clone(), Entry { runner, missing: None });
        notice
    }

    /// A runner has said in which life it is. Returns whether that is a later one than was
    /// known: its entry then still tells of the former one, and nothing of that holds.
    pub fn note_life(&mut self, id: &id::Runner, life: Life) -> bool {
        let entry = self.entries.get_mut(id).map(|entry| &mut entry.runner);
        let known = entry.or_else(|| self.departed.get_mut(id).map(|(runner, _)| runner));
        let Some(runner) = known else { return false };
        if runner.life.is_none() {
            runner.life = Some(life);
        }
        let later = is_later(Some(life), runner.life);
        if later {
            runner.restart(life);
        }
        later
    }

    /// A runner has said in an answer, given in this life as far as that is told, that it is
    /// about to leave: from now on it is, whatever its entry says. Returns whether that is new.
    pub fn note_leaving(&mut self, id: &id::Runner, life: Option<Life>) -> bool {
        let Some(known) = self.recall(id) else { return false };
        if is_later(known.life, life) || self.is_leaving(id, known.life) {
            return false;
        }
        let new = !known.draining;
        self.leaving.insert(id.clone(), life.or(known.life));
        if let Some(entry) = self.entries.get_mut(id) {
            entry.runner.draining = true;
        }
        new
    }

    /// The runners that have said in an answer that they are about to leave.
    pub fn list_leaving(&self) -> Vec<LeavingRunner> {
        let leaving = self.leaving.iter();
        leaving.map(|(id, life)| LeavingRunner { runner: id.clone(), life: *life }).collect()
    }

    /// Whether a runner has said in this life that it is about to leave.
    fn is_leaving(&self, id: &id::Runner, life: Option<Life>) -> bool {
        self.leaving.get(id).is_some_and(|told| !is_later(life, *told))
    }

    /// A runner's entry cannot be read: it names no runner to use, from now on, whether or
    /// not the store was away. Requests that run there are not touched.
    pub fn discard(&mut self, id: &id::Runner, now: Millis) {
        self.depart(id, now);
    }

    /// A runner's entry is gone.
    pub fn remove(&mut self, id: &id::Runner, now: Millis) {
        if now >= self.grace {
            self.depart(id, now);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.missing.get_or_insert(now);
        }
    }

    /// All entries as read at once; those that are not among them are gone.
    pub fn replace(&mut self, runners: Vec<Runner>, now: Millis) {
        let kept: HashSet<&id::Runner> = runners.iter().map(|runner| &runner.id).collect();
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
            self.depart(id, now);
        }
        gone
    }

    fn depart(&mut self, id: &id::Runner, now: Millis) {
        self.departed.retain(|_, (_, since)| now < *since + REMEMBERED);
        if let Some(entry) = self.entries.remove(id) {
            self.departed.insert(id.clone(), (entry.runner, now));
        }
        self.leaving.retain(|id, _| self.entries.contains_key(id) || self.departed.contains_key(id));
    }

    /// A runner as it last described itself, its entry may be gone.
    pub fn recall(&self, id: &id::Runner) -> Option<&Runner> {
        self.get(id).or_else(|| self.departed.get(id).map(|(runner, _)| runner))
    }

    /// A runner.
    pub fn get(&self, id: &id::Runner) -> Option<&Runner> {
        self.entries.get(id).map(|entry| &entry.runner)
    }

    /// All runners, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.entries.values().map(|entry| &entry.runner)
    }

    /// The heads that take requests for `model`: those of groups that stand in
    /// the plans and are not given up. The decider looks after the other members.
    pub fn list_heads(&self, service: &id::Service, model: &id::Model, plans: &Plans) -> Vec<&Runner> {
        let groups = plans.values().flat_map(|plan| &plan.groups);
        let wanted =
            groups.filter(|group| !group.is_retired() && group.model == *model && group.service == *service);
        wanted
            .filter_map(|group| self.get(group.head()?).filter(|head| is_open(head, group)))
            .filter(|head| !head.draining)
            .collect()
    }

    /// The releases of the runners of a service, as far as they are told.
    pub fn list_releases(&self, service: &id::Service) -> BTreeSet<Release> {
        let runners = self.iter().filter(|runner| runner.service == *service);
        runners.filter_map(|runner| runner.release.clone()).collect()
    }

    /// The runners of a plain service that may be sent requests.
    pub fn list_plain<'a>(&'a self, service: &id::Service) -> Vec<&'a Runner> {
        self.iter().filter(|runner| runner.service == *service && !runner.draining).collect()
    }
}
