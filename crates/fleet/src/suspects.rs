//! Tells requests that crash their runners from those that were only in flight at the same time.
//!
//! A deadly request comes again and again, at any node, and crashes each runner that executes it. With
//! each crash fail dozens of unrelated requests. Each node sees a part: which of its own requests were
//! in flight at a runner when it crashed. All nodes merge what they see into one table, in any order
//! and any number of times, and arrive at the same levels.
//!
//! A request is suspected for each crash that no other request explains better. A crash is explained by
//! the request that was in flight at the most crashes. A request that completed anywhere is cleared for
//! good, because a deadly one cannot complete.
//!
//! A part of prompts may be deadly too, whatever else the requests with it hold, so that no two of them are
//! alike. Each crash counts for the parts of the requests in flight as well. A completed run voids the
//! crashes of all of its parts that are known by then: sound parts are in flight at the same crashes, but
//! requests with them complete all the time. A part counts against requests of the account that sent it;
//! only when requests of several accounts with it were in flight at crashes does it count against all, so
//! that an account cannot get the parts of others refused by naming them.

mod parts;

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};

use crate::evidence::{Crash, Level, Row};
use crate::fingerprint::Fingerprint;
use crate::runner::{Incarnation, Release};

/// The number of crashes that makes a request deadly. A deadly request may cause this many before it
/// must be quarantined, and a harmless one is rarely in flight at three crashes in a row without
/// completing anywhere in between.
pub const MIN_CRASHES: usize = 3;

/// The number of crashes that makes a request deadly even if another one was in flight at all the same
/// crashes. Before that, another run of each, isolated from the other, can tell them apart.
pub const MIN_AMBIGUOUS_CRASHES: usize = 5;

/// The delay between the third known crash of a request and its rejection. Other nodes may know a
/// better explanation of these crashes, and collectors exchange rows every 0.15 s. The delay spares
/// requests that were in flight at three of them by chance.
const SETTLE_DELAY: Millis = Millis(300);

/// How long after its last crash prompts with a part that others may explain are run again without those. In a
/// fleet that serves, a run with a sound part has completed by then.
const RECHECK_DELAY: Millis = Millis(2000);

/// How long a request is remembered after its last crash. A request that is still deadly crashes
/// runners again once in this time; an hour gives operators the time to see it.
pub const SUSPECT_TTL: Millis = Millis(3_600_000);

/// The maximum number of requests remembered, over all accounts: 1 MB.
const MAX_ROWS: usize = 4096;

/// The maximum per account, so that no account can evict what is known of others. It is large because
/// most requests of a fleet may be of one account, and each deadly one makes those in flight beside it
/// suspected.
const MAX_ACCOUNT_ROWS: usize = 1024;

/// The number of rows to evict at once, because finding them takes a scan of all rows.
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

/// Where evidence comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This node or another one of its hall saw it.
    Hall,
    /// Another hall or the store, which know it already.
    Elsewhere,
}

/// Whom rows are sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// A collector, which adds up what single nodes saw.
    Collector,
    /// A node, which needs to know what it must quarantine and what needs a trial run.
    Node,
}

/// A row and what only this node knows of it.
#[derive(Clone, Debug)]
struct Entry {
    row: Row,
    /// The crashes that count, see [`Row::count_crashes`].
    count: usize,
    /// When a crash was last added.
    last_crash: Millis,
    /// The version of the table at the latest change.
    changed_version: u64,
    /// The same for changes seen in this hall; 0 for none.
    hall_version: u64,
    /// When [`MIN_CRASHES`] were known.
    threshold_reached: Option<Millis>,
    /// Whether [`SETTLE_DELAY`] has passed, so that it is rejected unless another request explains its
    /// crashes.
    settled: bool,
    /// Whether [`RECHECK_DELAY`] has passed since its last crash.
    rested: bool,
    /// The number of its crashes in the store, if it is stored.
    stored: Option<usize>,
}

impl Entry {
    /// Whether the crashes of a part count against the requests of an account.
    fn counts_against(&self, account: Option<&id::Account>) -> bool {
        self.row.account.is_none() || self.row.account.as_ref() == account
    }

    /// Whether this is a better explanation of crashes at which both were in flight. A request that was in
    /// flight at as many crashes as one of its parts explains them better than the part.
    fn explains_crashes_of(&self, other: &Entry) -> bool {
        let is_request_of_part = !self.row.fingerprint.is_part() && other.row.fingerprint.is_part();
        self.count > other.count || (is_request_of_part && self.count == other.count)
    }
}

/// The requests that were in flight at a crash.
#[derive(Clone, Debug)]
struct InFlight {
    requests: BTreeSet<Fingerprint>,
    /// When this node first learned of the crash.
    first_seen: Millis,
}

/// What a node knows of suspected requests.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: HashMap<Fingerprint, Entry>,
    /// The requests that were in flight at each crash.
    in_flight: HashMap<Crash, InFlight>,
    /// The number of rows of each account.
    counts: HashMap<Option<id::Account>, usize>,
    /// Rises with each change.
    version: u64,
    /// Requests removed here while the store held them.
    dropped: BTreeSet<Fingerprint>,
}

impl Table {
    /// Returns the version of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the rows, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Row> {
        self.entries.values().map(|entry| &entry.row)
    }

    /// Returns what is known of a request.
    pub fn get(&self, fingerprint: &Fingerprint) -> Option<&Row> {
        self.entries.get(fingerprint).map(|entry| &entry.row)
    }

    /// Returns how strongly a request is suspected.
    pub fn level(&self, fingerprint: &Fingerprint) -> Level {
        let Some(entry) = self.entries.get(fingerprint) else { return Level::Clear };
        match self.judge(entry) {
            Level::Deadly(crashes) if !entry.settled => Level::Pending(crashes),
            level => level,
        }
    }

    /// Returns the level of an entry without regard to [`SETTLE_DELAY`].
    fn judge(&self, entry: &Entry) -> Level {
        let (row, crashes) = (&entry.row, entry.count);
        if crashes == 0 {
            return Level::Clear;
        }
        let explained =
            |crash: &&Crash| self.list_in_flight(crash).any(|other| other.explains_crashes_of(entry));
        let unexplained: Vec<&Crash> = row.list_valid_crashes().filter(|crash| !explained(crash)).collect();
        let is_ambiguous = || self.list_indistinguishable(row, &unexplained).next().is_some();
        let is_known = unexplained.len() >= MIN_CRASHES;
        let is_deadly = match row.fingerprint.is_part() {
            true => is_known && (crashes >= MIN_AMBIGUOUS_CRASHES || !is_ambiguous()),
            false => crashes >= MIN_AMBIGUOUS_CRASHES || (is_known && !is_ambiguous()),
        };
        if is_deadly { Level::Deadly(crashes) } else { Level::Suspected(unexplained.len()) }
    }

    /// Returns the other requests that were in flight at all of these crashes as well; for a part, the other
    /// parts.
    fn list_indistinguishable<'a>(
        &'a self,
        row: &'a Row,
        crashes: &'a [&Crash],
    ) -> impl Iterator<Item = &'a Entry> {
        let of_first = crashes.first().into_iter().flat_map(|first| self.list_in_flight(first));
        let is_other = |other: &&Entry| {
            other.row.fingerprint != row.fingerprint
                && other.row.fingerprint.is_part() == row.fingerprint.is_part()
        };
        let was_in_flight = |other: &&Entry| {
            other.count > 0
                && crashes.iter().all(|crash| other.row.list_valid_crashes().any(|known| known == *crash))
        };
        of_first.filter(is_other).filter(was_in_flight)
    }

    /// Returns the requests that were in flight at a crash.
    fn list_in_flight(&self, crash: &Crash) -> impl Iterator<Item = &Entry> {
        let requests = self.in_flight.get(crash).map(|in_flight| &in_flight.requests);
        requests.into_iter().flatten().filter_map(|fingerprint| self.entries.get(fingerprint))
    }

    /// Merges evidence about a request. Returns the requests whose level changed, which may be others,
    /// because a crash explained by one request no longer counts for the rest.
    pub fn merge(&mut self, row: &Row, origin: Origin, now: Millis) -> Vec<Change> {
        let before = self.list_levels(row);
        if !self.apply(row, origin, now) {
            return Vec::new();
        }
        self.evict(row.account.as_ref());
        self.list_changes(before)
    }

    /// Returns the levels that a change of the row can affect: its own, and those of all requests that
    /// were in flight at one of its crashes. A request with a single crash explains none, so it affects
    /// only itself.
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

    /// Merges a row into its entry. Returns whether anything was new.
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
                rested: false,
                stored: None,
            }
        };
        let entry = self.entries.entry(row.fingerprint).or_insert_with(new);
        let crash_count = entry.row.crashes.len();
        let account = entry.row.account.clone();
        if !entry.row.merge(row) {
            return false;
        }
        if entry.row.account != account {
            move_count(&mut self.counts, &account, &entry.row.account);
        }
        entry.count = entry.row.count_crashes();
        if entry.count >= MIN_CRASHES {
            entry.threshold_reached.get_or_insert(now);
        } else {
            (entry.threshold_reached, entry.settled) = (None, false);
        }
        if entry.row.crashes.len() > crash_count {
            (entry.last_crash, entry.rested) = (now, false);
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

    /// Settles the deadly requests that reached [`MIN_CRASHES`] at least [`SETTLE_DELAY`] ago and returns
    /// those whose level changed.
    pub fn settle(&mut self, now: Millis) -> Vec<Change> {
        for entry in self.entries.values_mut() {
            entry.rested = now >= entry.last_crash + RECHECK_DELAY;
        }
        let is_due =
            |entry: &&Entry| entry.threshold_reached.is_some_and(|reached| now >= reached + SETTLE_DELAY);
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

    /// Returns the crash of a runner under a request that was sent to it at `sent`. Its number differs
    /// from that of crashes of the same incarnation that were known before.
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

    /// Records that a request completed here, so it does not crash runners. Only requests with a row
    /// are recorded.
    pub fn record_completed(&mut self, fingerprint: &Fingerprint, now: Millis) -> Vec<Change> {
        let Some(row) = self.get(fingerprint).filter(|row| !row.cleared) else { return Vec::new() };
        let cleared = Row { cleared: true, ..row.clone() };
        self.merge(&cleared, Origin::Hall, now)
    }

    /// Voids the crashes known of a request or part, so that it may run again.
    pub fn void_crashes(&mut self, fingerprint: &Fingerprint, now: Millis) -> Vec<Change> {
        let has_crashes = |row: &&Row| row.list_valid_crashes().next().is_some();
        let Some(row) = self.get(fingerprint).filter(has_crashes) else { return Vec::new() };
        let voided = Row { void: row.crashes.clone(), ..row.clone() };
        self.merge(&voided, Origin::Hall, now)
    }

    /// Returns at most `limit` rows that changed after a version and matter to the audience, oldest
    /// change first, and the version up to which they are complete.
    pub fn list_updates(&self, after: u64, audience: Audience, limit: usize) -> (Vec<Row>, u64) {
        let version = |entry: &Entry| match audience {
            Audience::Collector => entry.hall_version,
            Audience::Node => entry.changed_version,
        };
        // A single crash matters only where crashes are added up.
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

    /// Records that the store holds this row.
    pub fn record_stored(&mut self, row: &Row) {
        if let Some(entry) = self.entries.get_mut(&row.fingerprint) {
            entry.stored = Some(row.crashes.len());
        }
    }

    /// Records that the store no longer holds a request. Returns whether it did.
    pub fn record_removed(&mut self, fingerprint: &Fingerprint) -> bool {
        self.dropped.remove(fingerprint);
        self.entries.get_mut(fingerprint).is_some_and(|entry| entry.stored.take().is_some())
    }

    /// Forgets what the store held, because it was restored from an older copy.
    pub fn forget_stored(&mut self) {
        for entry in self.entries.values_mut() {
            entry.stored = None;
        }
    }

    /// Returns the requests that the store holds, as far as this node knows.
    pub fn list_stored(&self) -> Vec<Fingerprint> {
        let stored = self.entries.iter().filter(|(_, entry)| entry.stored.is_some());
        stored.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the rows that the store should hold and does not, with the time of their last crash.
    /// Those are requests with two crashes or more, and parts with three: nodes exchange rows with a
    /// single one anyway, and a hall that is cut off from the others can add one more to two.
    pub fn list_unstored(&self) -> Vec<(&Row, Millis)> {
        let missing = |entry: &&Entry| {
            // Sound parts are in flight at two crashes all the time while another one is deadly.
            let min = if entry.row.fingerprint.is_part() { MIN_CRASHES } else { 2 };
            entry.count >= min && entry.stored.is_none_or(|stored| stored < entry.row.crashes.len())
        };
        self.entries.values().filter(missing).map(|entry| (&entry.row, entry.last_crash)).collect()
    }

    /// Returns the requests that the store should no longer hold: those without a crash that counts,
    /// and those removed here.
    pub fn list_obsolete(&self) -> Vec<Fingerprint> {
        let obsolete = self.entries.values().filter(|entry| entry.stored.is_some() && entry.count == 0);
        obsolete.map(|entry| entry.row.fingerprint).chain(self.dropped.iter().copied()).collect()
    }

    /// Removes rows whose last crash is older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Millis) {
        let old = self.entries.iter().filter(|(_, entry)| now >= entry.last_crash + SUSPECT_TTL);
        for fingerprint in old.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.remove_row(&fingerprint);
        }
    }

    /// Evicts rows beyond the limits: first those of the account of the latest row, so that an account
    /// cannot evict what is known of others; then those of the account that has the most.
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

    /// Evicts the rows of an account with the fewest crashes, the oldest first.
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
        decrement_count(&mut self.counts, &entry.row.account);
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

/// Counts a row for another account than before.
fn move_count(
    counts: &mut HashMap<Option<id::Account>, usize>,
    from: &Option<id::Account>,
    to: &Option<id::Account>,
) {
    decrement_count(counts, from);
    *counts.entry(to.clone()).or_default() += 1;
}

fn decrement_count(counts: &mut HashMap<Option<id::Account>, usize>, account: &Option<id::Account>) {
    if let Some(count) = counts.get_mut(account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(account);
        }
    }
}
