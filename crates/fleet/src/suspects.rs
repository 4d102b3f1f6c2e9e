//! Requests that end the runners which run them, told apart from those that were only there.
//!
//! The load this answers: one request comes again and again, at any node, and each runner that
//! begins it ends. With it end, by the dozen, requests that had nothing to do with it. Each node
//! sees a part: which of its crashes requests were in flight at a runner when that ended. All nodes
//! merge what they see into one table, in any order and any number of times, and come to the
//! same levels.
//!
//! A request is under suspicion for each end that nothing else explains better. An end is
//! explained by the request that was there at the most ends. Whatever has run to its end
//! anywhere is cleared for good: what ends each runner that begins it cannot have.

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::evidence::{Crash, Level, Row};
use crate::fingerprint::Fingerprint;
use crate::runner::{Incarnation, Release};

/// So many ends under one request tell that it is what ends them: this many are allowed
/// before it has to be held back, and a request that is there by chance at three in a row,
/// and ran to its end nowhere in between, is rare.
pub const MIN_CRASHES: usize = 3;

/// After so many, a request is held back also where another one was at all the same ends:
/// until then they can be told apart by another run of each, apart from the other.
pub const MIN_AMBIGUOUS_CRASHES: usize = 5;

/// A request is held back for good this long after its third end was first_seen of: what ended the
/// same runners may be known better at other nodes, and collectors tell each other every
/// 0.15 s. It spares the ones that were at three of its ends by chance.
const SETTLE_DELAY: Millis = Millis(300);

/// How long a request is remembered after its last end. Runners are sacrificed once in
/// this time to one that is still deadly; an hour gives operators the time to see it.
pub const SUSPECT_TTL: Millis = Millis(3_600_000);

/// The requests that are remembered, over all accounts: 1 MB.
const MAX_ROWS: usize = 4096;

/// And of one account. Nobody can push out what is known of others. Most requests of a
/// fleet may be of one account, and each deadly one puts those beside it under suspicion.
const MAX_ACCOUNT_ROWS: usize = 1024;

/// So many rows are dropped at once, for to find them takes a look at all.
const EVICTION_BATCH: usize = MAX_ACCOUNT_ROWS / 8;

/// A request whose level has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request, with its evidence.
    pub row: Row,
    /// The level before.
    pub before: Level,
    /// The level now.
    pub after: Level,
}

/// Who has told of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This node has seen it, or another one of its hall.
    Hall,
    /// Another hall, or the store: they know already.
    Elsewhere,
}

/// Who is told of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// A collector, which sums up what single nodes have seen.
    Collector,
    /// A node, which has to know what it holds back and what is on trial.
    Node,
}

/// A row, and what this node alone knows of it.
#[derive(Clone, Debug)]
struct Entry {
    row: Row,
    /// The ends that count, as [`Row::count`] says.
    count: usize,
    /// When an end was last added.
    last_crash: Millis,
    /// The version at which it was last changed.
    changed_version: u64,
    /// The same for changes that were seen in this hall; 0 for none.
    hall_version: u64,
    /// When threshold_reached ends of it were known.
    threshold_reached: Option<Millis>,
    /// Whether it is held back for good, if nothing else explains its ends.
    settled: bool,
    /// The ends that the store holds of it, if it holds any.
    stored: Option<usize>,
}

/// The requests that were in flight at an end.
#[derive(Clone, Debug)]
struct InFlight {
    requests: BTreeSet<Fingerprint>,
    /// When this node first first_seen of it.
    first_seen: Millis,
}

/// All that a node knows of such requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: HashMap<Fingerprint, Entry>,
    /// The ends, and which requests were in flight at each.
    in_flight: HashMap<Crash, InFlight>,
    /// How many rows there are of each account.
    counts: HashMap<Option<id::Account>, usize>,
    /// Rises with each change.
    version: u64,
    /// Requests that were dropped here while the store held them.
    dropped: BTreeSet<Fingerprint>,
}

impl Table {
    /// The version of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The rows, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.entries.values().map(|entry| &entry.row)
    }

    /// What is known of a request.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Row> {
        self.entries.get(fingerprint).map(|entry| &entry.row)
    }

    /// How strongly a request is suspected.
    pub fn level(&self, fingerprint: &Fingerprint) -> Level {
        let Some(entry) = self.entries.get(fingerprint) else { return Level::Clear };
        match self.judge(entry) {
            Level::Deadly(crashes) if !entry.settled => Level::Pending(crashes),
            level => level,
        }
    }

    /// How strongly a request is suspected if nothing more is first_seen of it.
    fn judge(&self, entry: &Entry) -> Level {
        let (row, crashes) = (&entry.row, entry.count);
        if crashes == 0 {
            return Level::Clear;
        }
        let explained = |crash: &&Crash| self.list_in_flight(crash).any(|other| other.count > crashes);
        let unexplained: Vec<&Crash> = row.list_valid_crashes().filter(|crash| !explained(crash)).collect();
        match crashes >= MIN_AMBIGUOUS_CRASHES
            || (unexplained.len() >= MIN_CRASHES && !self.has_indistinguishable(row, &unexplained))
        {
            true => Level::Deadly(crashes),
            false => Level::Suspected(unexplained.len()),
        }
    }

    /// Whether another request was in flight at all of these ends as well.
    fn has_indistinguishable(&self, row: &Row, crashes: &[&Crash]) -> bool {
        let Some(first) = crashes.first() else { return false };
        let was_in_flight = |other: &Entry| crashes.iter().all(|crash| other.row.crashes.contains(*crash));
        let mut others = self.list_in_flight(first).filter(|other| other.row.fingerprint != row.fingerprint);
        others.any(|other| other.count > 0 && was_in_flight(other))
    }

    /// The requests that were in flight at an end.
    fn list_in_flight(&self, crash: &Crash) -> impl Iterator<Item = &Entry> {
        let requests = self.in_flight.get(crash).map(|in_flight| &in_flight.requests);
        requests.into_iter().flatten().filter_map(|fingerprint| self.entries.get(fingerprint))
    }

    /// Takes in what was seen or told of a request. Returns the requests whose level that
    /// has changed: an end that is explained by one counts no more for the others.
    pub fn merge(&mut self, row: &Row, origin: Origin, now: Millis) -> Vec<Change> {
        let before = self.list_levels(row);
        if !self.apply(row, origin, now) {
            return Vec::new();
        }
        self.evict(row.account.as_ref());
        self.list_changes(before)
    }

    /// The levels that can change with a row: its crashes, and those of all that were in flight
    /// at one of its ends, unless it was at one only and so explains none of them.
    fn list_levels(&self, row: &Row) -> Vec<(Fingerprint, Level)> {
        let known = self.get(&row.fingerprint).map(|known| &known.crashes);
        let crashes: BTreeSet<&Crash> = row.crashes.iter().chain(known.into_iter().flatten()).collect();
        let mut touched = HashSet::from([row.fingerprint]);
        if crashes.len() > 1 {
            let in_flight = crashes.into_iter().filter_map(|crash| self.in_flight.get(crash));
            touched.extend(in_flight.flat_map(|in_flight| &in_flight.requests));
        }
        touched.into_iter().map(|fingerprint| (fingerprint, self.level(&fingerprint))).collect()
    }

    fn list_changes(&self, before: Vec<(Fingerprint, Level)>) -> Vec<Change> {
        let changed = before.into_iter().filter_map(|(fingerprint, before)| {
            let after = self.level(&fingerprint);
            let row = self.get(&fingerprint).filter(|_| after != before)?.clone();
            Some(Change { row, before, after })
        });
        changed.collect()
    }

    /// Returns whether anything was new.
    fn apply(&mut self, row: &Row, origin: Origin, now: Millis) -> bool {
        if row.crashes.is_empty() {
            return false;
        }
        let unknown = Row { crashes: BTreeSet::new(), void: BTreeSet::new(), cleared: false, ..row.clone() };
        let new = || {
            *self.counts.entry(row.account.clone()).or_default() += 1;
            Entry {
                row: unknown,
                count: 0,
                last_crash: now,
                changed_version: 0,
                hall_version: 0,
                threshold_reached: None,
                settled: false,
                stored: None,
            }
        };
        let entry = self.entries.entry(row.fingerprint).or_insert_with(new);
        let crash_count = entry.row.crashes.len();
        if !entry.row.merge(row) {
            return false;
        }
        entry.count = entry.row.count_crashes();
        if entry.count >= MIN_CRASHES {
            entry.threshold_reached.get_or_insert(now);
        } else {
            (entry.threshold_reached, entry.settled) = (None, false);
        }
        if entry.row.crashes.len() > crash_count {
            entry.last_crash = now;
        }
        self.version += 1;
        entry.changed_version = self.version;
        if origin == Origin::Hall {
            entry.hall_version = self.version;
        }
        for crash in &entry.row.crashes {
            let new = || InFlight { requests: BTreeSet::new(), first_seen: now };
            let in_flight = self.in_flight.entry(crash.clone()).or_insert_with(new);
            in_flight.requests.insert(row.fingerprint);
        }
        self.dropped.remove(&row.fingerprint);
        true
    }

    /// Holds back for good what has been at threshold_reached ends for [`SETTLE_DELAY`]. Returns the requests
    /// whose level that has changed.
    pub fn settle(&mut self, now: Millis) -> Vec<Change> {
        let is_due = |entry: &&Entry| {
            entry.threshold_reached.is_some_and(|threshold_reached| now >= threshold_reached + SETTLE_DELAY)
        };
        let due = self.entries.values().filter(|entry| !entry.settled).filter(is_due);
        let deadly = due.filter(|entry| matches!(self.judge(entry), Level::Deadly(_)));
        let settled: Vec<Fingerprint> = deadly.map(|entry| entry.row.fingerprint).collect();
        let before = settled.iter().map(|fingerprint| (*fingerprint, self.level(fingerprint))).collect();
        for fingerprint in &settled {
            if let Some(entry) = self.entries.get_mut(fingerprint) {
                entry.settled = true;
            }
        }
        self.list_changes(before)
    }

    /// The end of a runner under a request that was sent there at `sent`: it is not one that
    /// had been first_seen of before.
    pub fn identify_crash(
        &self,
        runner: &id::Runner,
        incarnation: Option<Incarnation>,
        release: Option<Release>,
        sent: Millis,
    ) -> Crash {
        let mut crash = Crash { runner: runner.clone(), life: incarnation, nth: 0, release };
        while self.in_flight.get(&crash).is_some_and(|in_flight| in_flight.first_seen < sent) {
            crash.nth += 1;
        }
        crash
    }

    /// A request has run to its end here: it does not end runners. Only one that is
    /// suspected is noted.
    pub fn record_completed(&mut self, fingerprint: &Fingerprint, now: Millis) -> Vec<Change> {
        let Some(row) = self.get(fingerprint).filter(|row| !row.cleared) else { return Vec::new() };
        let cleared = Row { cleared: true, ..row.clone() };
        self.merge(&cleared, Origin::Hall, now)
    }

    /// What speaks against a request counts no more: it may be run again.
    pub fn void_crashes(&mut self, fingerprint: &Fingerprint, now: Millis) -> Vec<Change> {
        let Some(row) = self.get(fingerprint) else { return Vec::new() };
        let voided = Row { void: row.crashes.clone(), ..row.clone() };
        self.merge(&voided, Origin::Hall, now)
    }

    /// What is new after a version for those told, oldest first, `most` at the most, and the
    /// version up to which that is all.
    pub fn list_updates(&self, after: u64, audience: Audience, limit: usize) -> (Vec<Row>, u64) {
        let version = |entry: &Entry| match audience {
            Audience::Collector => entry.hall_version,
            Audience::Node => entry.changed_version,
        };
        // A single end is of use only where ends are added up.
        let is_relevant = |entry: &&Entry| audience == Audience::Collector || entry.row.crashes.len() > 1;
        let updates = self.entries.values().filter(|entry| version(entry) > after).filter(is_relevant);
        let mut updates: Vec<&Entry> = updates.collect();
        updates.sort_by_key(|entry| version(entry));
        let version = match updates.get(limit) {
            Some(_) => version(updates[limit - 1]),
            None => self.version,
        };
        (updates.into_iter().take(limit).map(|entry| entry.row.clone()).collect(), version)
    }

    /// The store holds this of a request.
    pub fn record_stored(&mut self, row: &Row) {
        if let Some(entry) = self.entries.get_mut(&row.fingerprint) {
            entry.stored = Some(row.crashes.len());
        }
    }

    /// The store holds nothing of a request any more. Returns whether it did.
    pub fn record_removed(&mut self, fingerprint: &Fingerprint) -> bool {
        self.dropped.remove(fingerprint);
        self.entries.get_mut(fingerprint).is_some_and(|entry| entry.stored.take().is_some())
    }

    /// The store may hold nothing any more of what it held: it came back from an older copy.
    pub fn forget_stored(&mut self) {
        for entry in self.entries.values_mut() {
            entry.stored = None;
        }
    }

    /// The requests that the store holds, as far as this node knows.
    pub fn list_stored(&self) -> Vec<Fingerprint> {
        let stored = self.entries.iter().filter(|(_, entry)| entry.stored.is_some());
        stored.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// What the store should hold and does not: requests at two ends or more, for what
    /// single nodes know of the first one is exchanged, and a hall that is cut off from the
    /// others has one more to add. With when the last end was added.
    pub fn list_unstored(&self) -> Vec<(&Row, Millis)> {
        let missing = |entry: &&Entry| {
            entry.count > 1 && entry.stored.is_none_or(|stored| stored < entry.row.crashes.len())
        };
        self.entries.values().filter(missing).map(|entry| (&entry.row, entry.last_crash)).collect()
    }

    /// What the store should not hold any more: requests that count for nothing, or were
    /// dropped.
    pub fn list_obsolete(&self) -> Vec<Fingerprint> {
        let obsolete = self.entries.values().filter(|entry| entry.stored.is_some() && entry.count == 0);
        obsolete.map(|entry| entry.row.fingerprint).chain(self.dropped.iter().copied()).collect()
    }

    /// Forgets what is older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Millis) {
        let old = self.entries.iter().filter(|(_, entry)| now >= entry.last_crash + SUSPECT_TTL);
        for fingerprint in old.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.remove_row(&fingerprint);
        }
    }

    /// Drops rows beyond the bounds: of the account first, for what it sends must not push
    /// out what is known of others; then of the account that has most.
    fn evict(&mut self, account: Option<&id::Account>) {
        let account = account.cloned();
        if self.counts.get(&account).is_some_and(|count| *count > MAX_ACCOUNT_ROWS) {
            self.evict_weakest(&account);
        } else if self.entries.len() > MAX_ROWS {
            let most = self.counts.iter().max_by_key(|(_, count)| **count);
            if let Some(account) = most.map(|(account, _)| account.clone()) {
                self.evict_weakest(&account);
            }
        }
    }

    /// Drops the rows of an account that say least, the oldest first.
    fn evict_weakest(&mut self, account: &Option<id::Account>) {
        let of_account = self.entries.values().filter(|entry| entry.row.account == *account);
        let rank = |entry: &Entry| (entry.count, entry.changed_version, entry.row.fingerprint);
        let mut ranked: Vec<_> = of_account.map(rank).collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(EVICTION_BATCH) {
            self.remove_row(&fingerprint);
        }
    }

    fn remove_row(&mut self, fingerprint: &Fingerprint) {
        let Some(entry) = self.entries.remove(fingerprint) else { return };
        if entry.stored.is_some() {
            self.dropped.insert(*fingerprint);
        }
        if let Some(count) = self.counts.get_mut(&entry.row.account) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&entry.row.account);
            }
        }
        for crash in &entry.row.crashes {
            if let Some(in_flight) = self.in_flight.get_mut(crash) {
                in_flight.requests.remove(fingerprint);
                if in_flight.requests.is_empty() {
                    self.in_flight.remove(crash);
                }
            }
        }
    }
}
