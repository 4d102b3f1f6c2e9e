//! Runs of requests under suspicion: one at a time of each, apart from each other, and not
//! while runners are short.
//!
//! The load this answers: a runner ends with a dozen requests in flight, one of which has
//! ended it. All are sent again at once. Were they sent to the same runner, that would end
//! too, and tell nothing; of the one that ends runners there may be copies at every node;
//! and where many such requests come, those that end nothing need the runners that are left.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::evidence::Level;
use crate::fingerprint::Fingerprint;
use crate::runner::Epoch;

/// A run of which nothing was heard counts for this long: usual answers take less, and what
/// ends a runner does so sooner. A caller that leaves tells nothing.
pub const TRIAL_TIMEOUT: Millis = Millis(2000);

/// Suspected requests are run while at least this part of the usual groups or runners is
/// there, in hundredths: with one data hall of three lost they still are. The other requests keep
/// the groups that are left.
const MIN_CAPACITY_PERCENT: usize = 60;

/// What is usual is the most seen in a time between one and two of these: longer than the
/// groups of a lost data hall take to be formed anew.
const PEAK_WINDOW: Millis = Millis(30_000);

/// What becomes of a request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It is run like any other.
    Run,
    /// It is run apart from other suspected ones.
    Trial,
    /// It is not run now, and may come back.
    Quarantine,
    /// It is not run any more.
    Reject,
}

/// How many groups or runners can take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Now.
    pub available: usize,
    /// Usually.
    pub usual: usize,
}

impl Capacity {
    /// Whether there are enough to risk one. Where only the one that ended is missing, what
    /// was in flight there goes on at the others, also where these are few.
    fn is_sufficient(self) -> bool {
        self.available + 1 >= self.usual.max(2) || self.available * 100 >= self.usual * MIN_CAPACITY_PERCENT
    }
}

/// The most takers of one window, and of the one before.
#[derive(Clone, Copy, Debug)]
struct Peak {
    since: Millis,
    current: usize,
    previous: usize,
}

/// How many takers there usually are for the requests of each model of each service.
#[derive(Clone, Debug, Default)]
pub struct Baseline(HashMap<id::Service, HashMap<Option<id::Model>, Peak>>);

impl Baseline {
    /// So many are there now.
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

/// A run under way.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The group that has it; none where a runner has it alone.
    group: Option<Epoch>,
    until: Millis,
}

/// The runs under way that this node has let begin.
#[derive(Clone, Debug, Default)]
pub struct Trials(HashMap<Fingerprint, Trial>);

impl Trials {
    /// What becomes of a request of this level.
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

    /// A run of a suspected request begins.
    pub fn start(&mut self, fingerprint: Fingerprint, group: Option<Epoch>, now: Millis) {
        self.0.retain(|_, trial| now < trial.until);
        self.0.insert(fingerprint, Trial { group, until: now + TRIAL_TIMEOUT });
    }

    /// What became of a run is known.
    pub fn finish(&mut self, fingerprint: &Fingerprint) {
        self.0.remove(fingerprint);
    }

    /// A request that was tried at these groups goes on: if its run was there, it is over.
    pub fn finish_at(&mut self, fingerprint: &Fingerprint, tried: &[Epoch]) {
        let group = self.0.get(fingerprint).and_then(|trial| trial.group);
        if group.is_some_and(|group| tried.contains(&group)) {
            self.finish(fingerprint);
        }
    }

    /// Whether a run of a request is undecided.
    fn is_running(&self, fingerprint: &Fingerprint, now: Millis) -> bool {
        self.0.get(fingerprint).is_some_and(|trial| now < trial.until)
    }

    /// The groups that have a run of another request.
    pub fn list_trial_groups(&self, fingerprint: &Fingerprint, now: Millis) -> Vec<Epoch> {
        let others = self.0.iter().filter(|(other, trial)| *other != fingerprint && now < trial.until);
        others.filter_map(|(_, trial)| trial.group).collect()
    }
}
