//! Runs of requests under suspicion: one at a time of each, and apart from each other.
//!
//! The load this answers: a runner ends with a dozen requests in flight, one of which has
//! ended it. All are sent again at once. Were they sent to the same runner, that would end
//! too, and tell nothing; and of the one that ends runners there may be copies at every node.

use std::collections::HashMap;

use cottoncrank::Millis;

use crate::fingerprint::Fingerprint;
use crate::runner::Epoch;
use crate::suspects::Level;

/// A run of which nothing was heard counts for this long: usual answers take less, and what
/// ends a runner does so sooner. A caller that leaves tells nothing.
pub const LASTS: Millis = Millis(2000);

/// A request under which so many runners have ended is not given to the last one that is
/// left: all others would wait until that is back.
const SPARED: usize = 2;

/// What becomes of a request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It is run like any other.
    Run,
    /// It is run apart from other suspected ones.
    Trial,
    /// It is not run now, and may come back.
    Hold,
    /// It is not run any more.
    Refuse,
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
    /// What becomes of a request of this level, where so many groups or runners can take it.
    pub fn rule(&self, fingerprint: &Fingerprint, level: Level, takers: usize, now: Millis) -> Ruling {
        match level {
            Level::Clear => Ruling::Run,
            Level::Deadly(_) => Ruling::Refuse,
            Level::Suspected(_) if self.is_under_way(fingerprint, now) => Ruling::Hold,
            Level::Suspected(ends) if ends >= SPARED && takers < 2 => Ruling::Hold,
            Level::Suspected(_) => Ruling::Trial,
        }
    }

    /// A run of a suspected request begins.
    pub fn begin(&mut self, fingerprint: Fingerprint, group: Option<Epoch>, now: Millis) {
        self.0.retain(|_, trial| now < trial.until);
        self.0.insert(fingerprint, Trial { group, until: now + LASTS });
    }

    /// What became of a run is known.
    pub fn end(&mut self, fingerprint: &Fingerprint) {
        self.0.remove(fingerprint);
    }

    /// A request that was tried at these groups goes on: if its run was there, it is over.
    pub fn end_at(&mut self, fingerprint: &Fingerprint, tried: &[Epoch]) {
        let group = self.0.get(fingerprint).and_then(|trial| trial.group);
        if group.is_some_and(|group| tried.contains(&group)) {
            self.end(fingerprint);
        }
    }

    /// Whether a run of a request is undecided.
    fn is_under_way(&self, fingerprint: &Fingerprint, now: Millis) -> bool {
        self.0.get(fingerprint).is_some_and(|trial| now < trial.until)
    }

    /// The groups that have a run of another request.
    pub fn list_groups(&self, fingerprint: &Fingerprint, now: Millis) -> Vec<Epoch> {
        let others = self.0.iter().filter(|(other, trial)| *other != fingerprint && now < trial.until);
        others.filter_map(|(_, trial)| trial.group).collect()
    }
}
