//! Cold starts: runners that are slow for some seconds after their start, and take a low rate of
//! requests in that time.
//!
//! An entry states how much longer its runner stays cold, counted from when the entry was written.
//! The age of an entry on receipt is unknown, so the time is counted from the first receipt of the
//! statement. That may be too long, but never too short. A cold start ends by the clock and needs no
//! message, so it also ends while nothing is heard of the runner.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::catalog::{Catalog, ColdStart};
use crate::rate::Rate;
use crate::runner::Runner;

/// What was known of a runner when its entry was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Nothing was known of any runner: this node has started, so this runner may be old.
    First,
    /// Other runners were known and this one was not: it has just started.
    Started,
    /// It was known in this incarnation.
    Known,
}

/// The cold start of one runner.
#[derive(Clone, Copy, Debug, Default)]
struct Coldness {
    /// How much longer it stays cold, as its entry last stated it.
    stated: Option<Millis>,
    /// When it is warm.
    until: Millis,
}

/// The cold runners.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    starts: HashMap<id::Service, ColdStart>,
    runners: HashMap<id::Runner, Coldness>,
    /// Since when all runners of a hall count as cold for one cold start.
    halls: HashMap<id::Hall, Millis>,
    /// Since when the process of a runner may have ended without this node having found out.
    doubted: HashMap<id::Runner, Millis>,
    /// Until when any runner may be cold without this node having heard of it.
    unheard_until: Millis,
}

impl Table {
    /// Sets the cold starts of the services that have one.
    pub(crate) fn configure(&mut self, catalog: &Catalog) {
        let starts =
            catalog.services.iter().filter_map(|service| Some((service.id.clone(), service.cold_start?)));
        self.starts = starts.collect();
    }

    /// Records the entry of a runner.
    ///
    /// A statement that equals the last one is taken for the same one, read again, and extends nothing.
    /// A statement longer than the service's cold start is cut, so that a wrong one has an end.
    pub(crate) fn record_entry(&mut self, runner: &Runner, arrival: Arrival, now: Millis) {
        let Some(start) = self.starts.get(&runner.service) else { return };
        let stated = runner.cold_left.map(|left| left.min(start.duration));
        let known = self.runners.entry(runner.id.clone()).or_default();
        let left = match arrival {
            Arrival::Known if stated.is_none() || stated == known.stated => return,
            Arrival::Started => stated.unwrap_or(start.duration),
            Arrival::First | Arrival::Known => stated.unwrap_or_default(),
        };
        *known = Coldness { stated, until: now + left };
        if arrival == Arrival::Started {
            self.doubted.remove(&runner.id);
        }
    }

    /// Records that a runner restarted or its process ended, before its entry describes the new
    /// incarnation. The next statement counts, even if it equals the last one.
    pub(crate) fn record_restart(&mut self, runner: &Runner, now: Millis) {
        let Some(start) = self.starts.get(&runner.service) else { return };
        self.doubted.remove(&runner.id);
        self.runners.insert(runner.id.clone(), Coldness { stated: None, until: now + start.duration });
    }

    /// Records that the process of a runner may have ended. It counts as cold for one cold start, unless it
    /// is found to run on.
    pub(crate) fn doubt(&mut self, id: &id::Runner, now: Millis) {
        self.doubted.insert(id.clone(), now);
    }

    /// Records that the process of a runner has not ended.
    pub(crate) fn trust(&mut self, id: &id::Runner) {
        self.doubted.remove(id);
    }

    /// Records how much longer a runner stays cold according to its own answer, which is more recent than
    /// any known entry.
    pub(crate) fn record_answer(&mut self, runner: &Runner, left: Millis, now: Millis) {
        let Some(start) = self.starts.get(&runner.service) else { return };
        self.runners.entry(runner.id.clone()).or_default().until = now + left.min(start.duration);
    }

    /// Counts all runners of a hall as cold from now on for one cold start, whatever they state.
    pub(crate) fn mark_hall(&mut self, hall: &id::Hall, now: Millis) {
        self.halls.insert(hall.clone(), now);
    }

    /// Counts all runners as cold until `end`.
    pub(crate) fn assume_until(&mut self, end: Millis) {
        self.unheard_until = end;
    }

    /// Returns the rate that a runner takes while it is cold; `None` if it is not.
    pub(crate) fn find_rate(&self, runner: &Runner, now: Millis) -> Option<Rate> {
        let start = self.starts.get(&runner.service)?;
        let lasts = |since: &Millis| now < *since + start.duration;
        let is_marked = || self.halls.get(&runner.hall).is_some_and(lasts);
        let is_doubted = || self.doubted.get(&runner.id).is_some_and(lasts);
        let is_known = || self.runners.get(&runner.id).is_some_and(|known| now < known.until);
        let is_cold = now < self.unheard_until || is_known() || is_doubted() || is_marked();
        is_cold.then_some(start.rate)
    }

    /// Removes runners that are gone.
    pub(crate) fn retain(&mut self, exists: impl Fn(&id::Runner) -> bool) {
        self.runners.retain(|id, _| exists(id));
        self.doubted.retain(|id, _| exists(id));
    }
}
