//! Trial runs of suspected requests: one at a time for each request, isolated from each other, and only
//! while capacity suffices.
//!
//! They guard against a crash that fails a dozen requests in flight, only one of which caused it. All
//! are retried at once. If they were retried on one runner, it would crash too and reveal nothing about
//! which of them is the cause. Copies of the request may be at every node, and where many such requests
//! arrive, the harmless ones need the runners that remain.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::evidence::Level;
use crate::fingerprint::Fingerprint;
use crate::runner::Epoch;

/// A trial run without a result counts as running for this long. Usual answers take less, and a deadly
/// request crashes its runner sooner. The timeout is needed because no result arrives when the caller
/// disconnects.
pub const TRIAL_TIMEOUT: Millis = Millis(2000);

/// Suspected requests run only while at least this percentage of the usual groups or runners is
/// available. It still holds when one data hall of three is lost. Below it, the remaining groups are
/// kept for other requests.
const MIN_CAPACITY_PERCENT: usize = 60;

/// The usual capacity is the peak over the last one to two windows. A window is longer than it takes to
/// form the groups of a lost data hall anew.
const PEAK_WINDOW: Millis = Millis(30_000);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// Run it like any other.
    Run,
    /// Run it isolated from other suspected requests.
    Trial,
    /// Don't run it now; the caller may retry.
    Quarantine,
    /// Don't run it any more.
    Reject,
}

/// The number of groups or runners that can run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Those available now.
    pub available: usize,
    /// The usual number.
    pub usual: usize,
}

impl Capacity {
    /// Whether there is enough capacity to risk losing one. If only the crashed one is missing, the
    /// requests that were in flight there may run on the others, even if these are few.
    fn is_sufficient(self) -> bool {
        self.available + 1 >= self.usual.max(2) || self.available * 100 >= self.usual * MIN_CAPACITY_PERCENT
    }
}

/// The peak number of groups or runners in the current window and in the previous one.
#[derive(Clone, Copy, Debug)]
struct Peak {
    since: Millis,
    current: usize,
    previous: usize,
}

/// The usual capacity for each model of each service.
#[derive(Clone, Debug, Default)]
pub struct Baseline(HashMap<id::Service, HashMap<Option<id::Model>, Peak>>);

impl Baseline {
    /// Records the available capacity and returns it with the usual one.
    pub fn record(
        &mut self,
        service: &id::Service,
        model: Option<&id::Model>,
        available: usize,
        now: Millis,
    ) -> Capacity {
        let models = self.0.entry(service.clone()).or_default();
        let peak =
            models.entry(model.cloned()).or_insert(Peak { since: now, current: available, previous: 0 });
        if now >= peak.since + PEAK_WINDOW {
            *peak = Peak { since: now, current: available, previous: peak.current };
        }
        peak.current = peak.current.max(available);
        Capacity { available, usual: peak.current.max(peak.previous) }
    }
}

/// A running trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The group that runs it; none if a single runner does.
    group: Option<Epoch>,
    until: Millis,
}

/// The trial runs that this node has started.
#[derive(Clone, Debug, Default)]
pub struct Trials(HashMap<Fingerprint, Trial>);

impl Trials {
    /// Decides what to do with a request that is suspected at this level.
    pub fn decide(&self, fingerprint: &Fingerprint, level: Level, capacity: Capacity, now: Millis) -> Ruling {
        match level {
            Level::Clear => Ruling::Run,
            Level::Deadly(_) => Ruling::Reject,
            Level::Pending(_) => Ruling::Quarantine,
            Level::Suspected(_) if self.is_running(fingerprint, now) => Ruling::Quarantine,
            Level::Suspected(_) if !capacity.is_sufficient() => Ruling::Quarantine,
            Level::Suspected(_) => Ruling::Trial,
        }
    }

    /// Records the start of a trial run.
    pub fn start(&mut self, fingerprint: Fingerprint, group: Option<Epoch>, now: Millis) {
        self.0.retain(|_, trial| now < trial.until);
        self.0.insert(fingerprint, Trial { group, until: now + TRIAL_TIMEOUT });
    }

    /// Records that the result of a trial run is known.
    pub fn finish(&mut self, fingerprint: &Fingerprint) {
        self.0.remove(fingerprint);
    }

    /// Finishes the trial run of a request that continues elsewhere, if the run was at one of the
    /// groups `tried`.
    pub fn finish_at(&mut self, fingerprint: &Fingerprint, tried: &[Epoch]) {
        let group = self.0.get(fingerprint).and_then(|trial| trial.group);
        if group.is_some_and(|group| tried.contains(&group)) {
            self.finish(fingerprint);
        }
    }

    /// Whether a trial run of the request has no result yet.
    fn is_running(&self, fingerprint: &Fingerprint, now: Millis) -> bool {
        self.0.get(fingerprint).is_some_and(|trial| now < trial.until)
    }

    /// Returns the groups with a trial run of another request.
    pub fn list_trial_groups(&self, fingerprint: &Fingerprint, now: Millis) -> Vec<Epoch> {
        let others = self.0.iter().filter(|(other, trial)| *other != fingerprint && now < trial.until);
        others.filter_map(|(_, trial)| trial.group).collect()
    }
}
