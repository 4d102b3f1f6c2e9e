//! The runners known to a node, and the heads among them that take requests.

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::Catalog;
use crate::cold::{self, Arrival};
use crate::evacuation;
use crate::feedback::LeavingRunner;
use crate::plan::{Group, Plans};
use crate::rate::Rate;
use crate::runner::{Incarnation, Phase, Release, Runner, is_later};

/// The time given to runners whose entry lapsed while the store was away to write it again after the
/// store recovered. The platform specifies about two seconds.
pub const RETURN_GRACE: Millis = Millis(2300);

/// How long a runner without an entry is remembered: as long as one may be cut off from the store and
/// still run requests.
pub const DEPARTED_TTL: Millis = Millis(60_000);

#[derive(Clone, Debug)]
struct Entry {
    runner: Runner,
    /// Since when its entry is missing, if it is.
    missing: Option<Millis>,
}

/// What a new entry says about a runner's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// It is of the known incarnation, or incarnations are not reported.
    Current,
    /// The runner restarted under its id.
    Restarted,
    /// It is of an earlier incarnation, or of an earlier time of this one.
    Outdated,
}

/// All runners by id.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: HashMap<id::Runner, Entry>,
    /// Runners whose entry is gone, and since when. They may still run.
    departed: HashMap<id::Runner, (Runner, Millis)>,
    /// Runners that announced in an answer that they are about to leave, and in which incarnation.
    leaving: HashMap<id::Runner, Option<Incarnation>>,
    cold: cold::Table,
    /// Until when a missing entry may still come back.
    grace_until: Millis,
    /// The halls under evacuation, whose runners are sent no requests.
    pub evacuations: evacuation::Table,
}

fn is_open(head: &Runner, group: &Group) -> bool {
    head.membership.as_ref().is_some_and(|membership| {
        membership.group == group.name && membership.epoch == group.epoch && membership.phase == Phase::Open
    })
}

impl Roster {
    /// Inserts a runner as its entry describes it. Keeps the model that it served last in the same
    /// incarnation. Ignores a late entry of an earlier incarnation.
    pub fn insert(&mut self, mut runner: Runner) -> Update {
        let known = self.get_last_known(&runner.id);
        let previous = known.and_then(|known| known.incarnation);
        if is_later(previous, runner.incarnation) || known.is_some_and(|known| runner.is_older_than(known)) {
            return Update::Outdated;
        }
        let update = if is_later(runner.incarnation, previous) { Update::Restarted } else { Update::Current };
        let served = known.filter(|_| update == Update::Current).and_then(|known| known.served.clone());
        runner.served = runner.models.first().cloned().or(served);
        runner.incarnation = runner.incarnation.or(previous);
        // Entries lag behind answers, and don't change while the store is away.
        runner.draining |= self.is_leaving(&runner.id, runner.incarnation);
        self.departed.remove(&runner.id);
        self.entries.insert(runner.id.clone(), Entry { runner, missing: None });
        update
    }

    /// Inserts a runner as its entry, received at `now`, describes it, and records its cold start.
    pub fn receive(&mut self, runner: Runner, now: Millis) -> Update {
        let is_known = self.get_last_known(&runner.id).is_some();
        let arrival = if is_known { Arrival::Known } else { Arrival::Started };
        self.receive_as(runner, arrival, now)
    }

    fn receive_as(&mut self, runner: Runner, arrival: Arrival, now: Millis) -> Update {
        let id = runner.id.clone();
        let update = self.insert(runner);
        let arrival = if update == Update::Restarted { Arrival::Started } else { arrival };
        if let Some(entry) = self.entries.get(&id).filter(|_| update != Update::Outdated) {
            self.cold.record_entry(&entry.runner, arrival, now);
        }
        update
    }

    /// Sets the cold starts of the services.
    pub fn configure_cold_starts(&mut self, catalog: &Catalog) {
        self.cold.configure(catalog);
    }

    /// Counts all runners of a hall as cold from `now` on, for the duration of their service's cold start,
    /// including those whose entries arrive later. Entries and answers do not end this earlier, because
    /// they may describe an earlier time.
    pub fn mark_cold_hall(&mut self, hall: &id::Hall, now: Millis) {
        self.cold.mark_hall(hall, now);
    }

    /// Counts all runners as cold until `end`, because this node may not have heard that they have just
    /// started. It knows no more of them than that their service has a cold start.
    pub fn assume_cold_until(&mut self, end: Millis) {
        self.cold.assume_until(end);
    }

    /// Counts a runner that restarted as cold, before its entry describes the new incarnation.
    pub fn record_cold_start(&mut self, id: &id::Runner, now: Millis) {
        let known = self.entries.get(id).map(|entry| &entry.runner);
        if let Some(runner) = known.or_else(|| self.departed.get(id).map(|(runner, _)| runner)) {
            self.cold.record_restart(runner, now);
        }
    }

    /// Records that the process of a runner ended, in `incarnation` if that is known. The next process that
    /// answers there has just started, even if the entry still describes the old one.
    pub fn record_end(&mut self, id: &id::Runner, incarnation: Option<Incarnation>, now: Millis) {
        let known = self.get_last_known(id).and_then(|runner| runner.incarnation);
        if !is_later(known, incarnation) {
            self.record_cold_start(id, now);
        }
    }

    /// Records that the process of a runner may have ended, because a connection to it broke. Until that is
    /// known it counts as cold, for at most one cold start.
    pub fn doubt(&mut self, id: &id::Runner, now: Millis) {
        self.cold.doubt(id, now);
    }

    /// Records that the process of a runner runs on.
    pub fn trust(&mut self, id: &id::Runner) {
        self.cold.trust(id);
    }

    /// Records how much longer a runner stays cold, as it said in an answer. `incarnation` is the one that
    /// answered, if known.
    pub fn record_cold(
        &mut self,
        id: &id::Runner,
        incarnation: Option<Incarnation>,
        left: Millis,
        now: Millis,
    ) {
        let known = self.entries.get(id).map(|entry| &entry.runner);
        if let Some(runner) = known.filter(|known| !is_later(known.incarnation, incarnation)) {
            self.cold.record_answer(runner, left, now);
        }
    }

    /// Returns the rate that a runner takes from all nodes together while it is cold; `None` if it is not.
    /// For a group, that of its head applies.
    pub fn find_cold_rate(&self, id: &id::Runner, now: Millis) -> Option<Rate> {
        self.cold.find_rate(self.get_last_known(id)?, now)
    }

    /// Whether a runner is cold.
    pub fn is_cold(&self, id: &id::Runner, now: Millis) -> bool {
        self.find_cold_rate(id, now).is_some()
    }

    /// Records the incarnation that a runner reported. Returns whether it is later than the known one:
    /// the entry then still describes the earlier one, so its state is reset.
    pub fn record_incarnation(&mut self, id: &id::Runner, incarnation: Incarnation) -> bool {
        let entry = self.entries.get_mut(id).map(|entry| &mut entry.runner);
        let known = entry.or_else(|| self.departed.get_mut(id).map(|(runner, _)| runner));
        let Some(runner) = known else { return false };
        if runner.incarnation.is_none() {
            runner.incarnation = Some(incarnation);
        }
        let later = is_later(Some(incarnation), runner.incarnation);
        if later {
            runner.restart(incarnation);
        }
        later
    }

    /// Records that a runner announced in an answer, of this incarnation if known, that it is about to
    /// leave. It counts as draining from now on, whatever its entry says. Returns whether that is new.
    pub fn record_leaving(&mut self, id: &id::Runner, incarnation: Option<Incarnation>) -> bool {
        let Some(known) = self.get_last_known(id) else { return false };
        if is_later(known.incarnation, incarnation) || self.is_leaving(id, known.incarnation) {
            return false;
        }
        let new = !known.draining;
        self.leaving.insert(id.clone(), incarnation.or(known.incarnation));
        if let Some(entry) = self.entries.get_mut(id) {
            entry.runner.draining = true;
        }
        new
    }

    /// Returns the runners that announced in an answer that they are about to leave.
    pub fn list_leaving(&self) -> Vec<LeavingRunner> {
        let leaving = self.leaving.iter();
        leaving.map(|(id, incarnation)| LeavingRunner { runner: id.clone(), life: *incarnation }).collect()
    }

    /// Whether a runner announced in this incarnation that it is about to leave.
    fn is_leaving(&self, id: &id::Runner, incarnation: Option<Incarnation>) -> bool {
        self.leaving.get(id).is_some_and(|leaving_in| !is_later(incarnation, *leaving_in))
    }

    /// Removes a runner whose entry is invalid, without the grace period after an outage of the store.
    /// Requests that run there continue.
    pub fn discard(&mut self, id: &id::Runner, now: Millis) {
        self.mark_departed(id, now);
    }

    /// Removes a runner whose entry is gone, or marks it as missing during the grace period.
    pub fn remove(&mut self, id: &id::Runner, now: Millis) {
        if now >= self.grace_until {
            self.mark_departed(id, now);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.missing.get_or_insert(now);
        }
    }

    /// Replaces all entries by a full read; runners that are not in it are removed.
    pub fn replace(&mut self, runners: Vec<Runner>, now: Millis) {
        let kept: HashSet<&id::Runner> = runners.iter().map(|runner| &runner.id).collect();
        let gone: Vec<id::Runner> = self.entries.keys().filter(|id| !kept.contains(id)).cloned().collect();
        for id in gone {
            self.remove(&id, now);
        }
        self.merge(runners, now);
    }

    /// Takes over the entries of a list that may lack some.
    pub fn merge(&mut self, runners: Vec<Runner>, now: Millis) {
        let is_first = self.entries.is_empty() && self.departed.is_empty();
        for runner in runners {
            let arrival = match self.get_last_known(&runner.id) {
                Some(_) => Arrival::Known,
                None if is_first => Arrival::First,
                None => Arrival::Started,
            };
            self.receive_as(runner, arrival, now);
        }
    }

    /// Starts the grace period for missing entries, after the store recovered.
    pub fn start_grace_period(&mut self, now: Millis) {
        self.grace_until = now + RETURN_GRACE;
    }

    /// Removes the runners still missing after the grace period and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<id::Runner> {
        if now < self.grace_until {
            return Vec::new();
        }
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing.is_some());
        let gone: Vec<id::Runner> = missing.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.mark_departed(id, now);
        }
        gone
    }

    fn mark_departed(&mut self, id: &id::Runner, now: Millis) {
        self.departed.retain(|_, (_, since)| now < *since + DEPARTED_TTL);
        if let Some(entry) = self.entries.remove(id) {
            self.departed.insert(id.clone(), (entry.runner, now));
        }
        self.leaving.retain(|id, _| self.entries.contains_key(id) || self.departed.contains_key(id));
        self.cold.retain(|id| self.entries.contains_key(id) || self.departed.contains_key(id));
    }

    /// Returns a runner as it last described itself, even if its entry is gone.
    pub fn get_last_known(&self, id: &id::Runner) -> Option<&Runner> {
        self.get(id).or_else(|| self.departed.get(id).map(|(runner, _)| runner))
    }

    /// Returns a runner that has an entry.
    pub fn get(&self, id: &id::Runner) -> Option<&Runner> {
        self.entries.get(id).map(|entry| &entry.runner)
    }

    /// Returns all runners, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.entries.values().map(|entry| &entry.runner)
    }

    /// Returns the heads that take requests for `model`: those of groups that are planned and not
    /// retired. The decider checks the other members.
    pub fn list_heads(&self, service: &id::Service, model: &id::Model, plans: &Plans) -> Vec<&Runner> {
        let groups = plans.values().flat_map(|plan| &plan.groups);
        let wanted =
            groups.filter(|group| !group.is_retired() && group.model == *model && group.service == *service);
        wanted
            .filter(|group| !self.is_closed_group(group))
            .filter_map(|group| self.get(group.head()?).filter(|head| is_open(head, group)))
            .filter(|head| !head.draining)
            .collect()
    }

    /// Whether a group has a member in a closed hall. Then its head is sent no requests either, because
    /// they run on all members.
    pub fn is_closed_group(&self, group: &Group) -> bool {
        self.evacuations.has_closed() && self.has_member(group, |hall| self.evacuations.is_closed(hall))
    }

    /// Whether a group has a member in a hall under evacuation.
    pub fn is_evacuated_group(&self, group: &Group) -> bool {
        !self.evacuations.is_empty() && self.has_member(group, |hall| self.evacuations.contains(hall))
    }

    fn has_member(&self, group: &Group, is_wanted: impl Fn(&id::Hall) -> bool) -> bool {
        let mut members = group.members.iter().filter_map(|id| self.get_last_known(id));
        members.any(|member| is_wanted(&member.hall))
    }

    /// Returns the halls that have runners.
    pub fn list_halls(&self) -> BTreeSet<id::Hall> {
        self.iter().map(|runner| runner.hall.clone()).collect()
    }

    /// Returns the known releases of the runners of a service.
    pub fn list_releases(&self, service: &id::Service) -> BTreeSet<Release> {
        let runners = self.iter().filter(|runner| runner.service == *service);
        runners.filter_map(|runner| runner.release.clone()).collect()
    }

    /// Returns the runners of a plain service that may be sent requests.
    pub fn list_plain<'a>(&'a self, service: &id::Service) -> Vec<&'a Runner> {
        let serving = self.iter().filter(|runner| runner.service == *service && !runner.draining);
        serving.filter(|runner| !self.evacuations.is_closed(&runner.hall)).collect()
    }
}
