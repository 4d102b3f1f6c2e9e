//! What speaks against a request: the ends of runners under it, and how strongly it is suspected.

use std::collections::BTreeSet;
use std::fmt;

use cottoncrank::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::runner::{Incarnation, Release};

/// Ends that are kept of one request: [`MIN_AMBIGUOUS_CRASHES`](crate::suspects::MIN_AMBIGUOUS_CRASHES), and some that were under way meanwhile.
const MAX_CRASHES: usize = 8;

/// The end of a runner's process, with a request in flight there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation that ended, where lives are told.
    pub life: Option<Incarnation>,
    /// How many ends in that incarnation were known before the request was sent there: while the
    /// store is away nodes learn of no new incarnation.
    pub nth: u32,
    /// The release of its software, where it is told.
    pub release: Option<Release>,
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.life {
            Some(incarnation) => write!(f, "{} in incarnation {incarnation}", self.runner),
            None => write!(f, "{}", self.runner),
        }
    }
}

/// What is known of a request. Two of the same request are merged by uniting them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The account that sends it.
    pub account: Option<id::Account>,
    /// The name of its route, for operators.
    pub route: String,
    /// The runners that ended with it in flight.
    pub crashes: BTreeSet<Crash>,
    /// Those of them that count no more: an operator or a release has lifted them.
    pub void: BTreeSet<Crash>,
    /// Whether it has run to its end somewhere.
    pub cleared: bool,
}

impl Row {
    /// The ends that count, whatever else was there.
    pub fn count_crashes(&self) -> usize {
        if self.cleared { 0 } else { self.list_valid_crashes().count() }
    }

    /// Whether it has ended runners of certain releases, and none of those is left.
    pub fn is_obsolete(&self, releases: &BTreeSet<Release>) -> bool {
        let mut releases_crashed = self.list_valid_crashes().map(|crash| crash.release.as_ref());
        !releases.is_empty()
            && releases_crashed.all(|release| release.is_some_and(|release| !releases.contains(release)))
    }

    pub(crate) fn list_valid_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.void)
    }

    /// Takes in what another row of the same request says. Returns whether that was new.
    pub(crate) fn merge(&mut self, other: &Row) -> bool {
        let before = (self.crashes.len(), self.void.len(), self.cleared);
        for crash in &other.crashes {
            if self.crashes.len() < MAX_CRASHES {
                self.crashes.insert(crash.clone());
            }
        }
        let known = other.void.iter().filter(|crash| self.crashes.contains(crash));
        self.void.extend(known.cloned());
        self.cleared |= other.cleared;
        before != (self.crashes.len(), self.void.len(), self.cleared)
    }
}

/// How strongly a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Nothing speaks against it.
    Clear,
    /// Runners have ended under it, so many of them with no other request there that explains
    /// the end better. What is explained is still run with care, for it may end runners too.
    Suspected(usize),
    /// It seems to end the runners that run it, so many so far. More may be heard of it: until
    /// then it is not run.
    Pending(usize),
    /// It ends the runners that run it, so many so far: it is not run any more.
    Deadly(usize),
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Level::Clear => f.write_str("clear"),
            Level::Suspected(ends) => write!(f, "suspected, {ends} unexplained ends"),
            Level::Pending(ends) => write!(f, "probably deadly, after {ends} ends"),
            Level::Deadly(ends) => write!(f, "deadly, after {ends} ends"),
        }
    }
}
