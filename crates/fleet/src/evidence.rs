//! Evidence against a request: the runners that crashed while it was in flight, and how strongly it is
//! suspected.

use std::collections::BTreeSet;
use std::fmt;

use cottoncrank::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::runner::{Incarnation, Release};

/// The maximum number of crashes kept of a request:
/// [`MIN_AMBIGUOUS_CRASHES`](crate::suspects::MIN_AMBIGUOUS_CRASHES), and some that occurred meanwhile.
pub(crate) const MAX_CRASHES: usize = 8;

/// The crash of a runner's process while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation that crashed, if known.
    pub life: Option<Incarnation>,
    /// The number of crashes known in that incarnation before the request was sent: while the store is
    /// away, nodes learn of no new incarnation.
    pub nth: u32,
    /// The release of the runner's software, if known.
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

/// The evidence against one request, or against one part of prompts. Rows of the same request merge as the union of their crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request or the prompt part.
    pub fingerprint: Fingerprint,
    /// The account that sends it. For a part, the only account whose requests with it were in flight at its
    /// crashes, and none if those of several were.
    pub account: Option<id::Account>,
    /// The name of its route, for operators; of a part, its name as well.
    pub route: String,
    /// The crashes with it in flight.
    pub crashes: BTreeSet<Crash>,
    /// Crashes that no longer count, because an operator or a new release voided them.
    pub void: BTreeSet<Crash>,
    /// Whether it completed somewhere.
    pub cleared: bool,
}

impl Row {
    /// Returns the number of crashes that count, whichever other requests were in flight.
    pub fn count_crashes(&self) -> usize {
        if self.cleared { 0 } else { self.list_valid_crashes().count() }
    }

    /// Whether all releases that it crashed are known and none of them is among `releases`, the ones in
    /// use.
    pub fn is_obsolete(&self, releases: &BTreeSet<Release>) -> bool {
        let mut releases_crashed = self.list_valid_crashes().map(|crash| crash.release.as_ref());
        !releases.is_empty()
            && releases_crashed.all(|release| release.is_some_and(|release| !releases.contains(release)))
    }

    pub(crate) fn list_valid_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.difference(&self.void)
    }

    /// Merges another row of the same request. Returns whether anything was new.
    pub(crate) fn merge(&mut self, other: &Row) -> bool {
        let measure = |row: &Row| (row.crashes.len(), row.void.len(), row.cleared, row.account.is_some());
        let before = measure(self);
        if self.fingerprint.is_part() && self.account != other.account {
            self.account = None;
        }
        for crash in &other.crashes {
            if self.crashes.len() < MAX_CRASHES {
                self.crashes.insert(crash.clone());
            }
        }
        let known = other.void.iter().filter(|crash| self.crashes.contains(crash));
        self.void.extend(known.cloned());
        self.cleared |= other.cleared;
        before != measure(self)
    }
}

/// How strongly a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// There is no evidence against it.
    Clear,
    /// This many crashes are not better explained by another request in flight. A request whose crashes
    /// are all explained still runs with care, because it may be deadly too.
    Suspected(usize),
    /// It seems to crash its runners, this many so far. It is quarantined until other nodes had time to
    /// report a better explanation.
    Pending(usize),
    /// It crashes its runners, this many so far: it is rejected.
    Deadly(usize),
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Level::Clear => f.write_str("clear"),
            Level::Suspected(crashes) => write!(f, "suspected, {crashes} unexplained crashes"),
            Level::Pending(crashes) => write!(f, "probably deadly, after {crashes} crashes"),
            Level::Deadly(crashes) => write!(f, "deadly, after {crashes} crashes"),
        }
    }
}
