//! The table of rows that one node holds, and what it passes on.
//!
//! Merging is commutative, associative and idempotent: the higher version
//! wins, and of equal versions the greater body, so all nodes end with the
//! same rows however messages are ordered, doubled or lost.

use std::collections::{BTreeMap, HashSet};

use crate::clock::Millis;
use crate::hash::hash;
use crate::row::{Body, Key, Row, Urgency};

/// How many checksums cover the rows for all halls, and as many those for one.
pub const BUCKETS: usize = 16;

/// The checksums of a table: those for all halls, then those of the hall.
pub type Sums = [u64; 2 * BUCKETS];

/// Which rows may go into a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All rows: the receiver is in the same hall.
    Hall,
    /// Only rows that other halls have a use for.
    Fleet,
}

impl Scope {
    fn includes(self, key: &Key) -> bool {
        self == Scope::Hall || key.is_fleet_wide()
    }
}

/// A row with what this node did with it.
#[derive(Clone, Debug)]
pub struct StoredRow {
    /// The row.
    pub row: Row,
    /// When this version came to this node.
    pub since: Millis,
    bucket: usize,
    mark: u64,
}

impl StoredRow {
    /// The short form of the row's mark that goes into messages.
    fn short_mark(&self) -> u32 {
        self.mark as u32
    }
}

/// All rows of a node.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<Key, StoredRow>,
    pending: BTreeMap<(Urgency, u8, Key), ()>,
    sums: Sums,
}

impl Default for Table {
    fn default() -> Table {
        Table { rows: BTreeMap::new(), pending: BTreeMap::new(), sums: [0; 2 * BUCKETS] }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain data into memory has no way to fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// How many bytes a row takes in a message.
pub fn encoded_size(row: &Row) -> usize {
    encode(row).len()
}

fn pick_bucket(key: &Key) -> usize {
    let at = hash(&encode(key)) as usize % BUCKETS;
    if key.is_fleet_wide() { at } else { BUCKETS + at }
}

fn hash_row(row: &Row) -> u64 {
    hash(&encode(row))
}

/// Load comes and goes too fast to be worth a repair.
fn is_checksummed(row: &Row) -> bool {
    !matches!(row.body, Body::Load(_))
}

impl Table {
    /// The row under `key`.
    pub fn get(&self, key: &Key) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Every row, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values()
    }

    /// The rows from `from` on, in the order of the keys.
    pub fn iter_from(&self, start: &Key) -> impl Iterator<Item = &StoredRow> {
        self.rows.range(start.clone()..).map(|(_, held)| held)
    }

    /// How many rows there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Takes a row in if it is newer; returns whether it was.
    pub fn merge(&mut self, row: Row, now: Millis) -> bool {
        let old = self.rows.get(&row.key);
        if old.is_some_and(|old| (old.row.version, &old.row.body) >= (row.version, &row.body)) {
            return false;
        }
        let (bucket, mark) = (pick_bucket(&row.key), hash_row(&row));
        if let Some(old) = old {
            if is_checksummed(&old.row) {
                self.sums[bucket] ^= old.mark;
            }
            let urgency = old.row.urgency();
            for sends in 0..urgency.max_sends() {
                self.pending.remove(&(urgency, sends, row.key.clone()));
            }
        }
        if is_checksummed(&row) {
            self.sums[bucket] ^= mark;
        }
        self.pending.insert((row.urgency(), 0, row.key.clone()), ());
        self.rows.insert(row.key.clone(), StoredRow { row, since: now, bucket, mark });
        true
    }

    /// The version that a row written here has to carry to be the newest.
    pub fn next_version(&self, key: &Key, now: Millis) -> u64 {
        self.rows.get(key).map_or(0, |held| held.row.version + 1).max(now.0)
    }

    /// Writes a row of this node's own, if its body differs from the present one.
    pub fn write(&mut self, key: Key, body: Body, now: Millis) -> bool {
        if self.rows.get(&key).is_some_and(|held| held.row.body == body) {
            return false;
        }
        let version = self.next_version(&key, now);
        self.merge(Row { key, version, body }, now)
    }

    /// Whether rows wait to be passed on.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The rows to put into the next message: most urgent first, the least
    /// often sent first among those, at most `budget` bytes together.
    pub fn collect_pending(&mut self, scope: Scope, budget: usize) -> Vec<Row> {
        let mut remaining = budget;
        let mut rows = Vec::new();
        let mut sent = Vec::new();
        for (urgency, sends, key) in self.pending.keys().filter(|(.., key)| scope.includes(key)) {
            let row = &self.rows[key].row;
            let size = encoded_size(row);
            if size > remaining {
                break;
            }
            remaining -= size;
            rows.push(row.clone());
            sent.push((*urgency, *sends, key.clone()));
        }
        for (urgency, sends, key) in sent {
            self.pending.remove(&(urgency, sends, key.clone()));
            if sends + 1 < urgency.max_sends() {
                self.pending.insert((urgency, sends + 1, key), ());
            }
        }
        rows
    }

    /// A checksum for each bucket of keys; equal tables have equal checksums.
    pub fn sums(&self, scope: Scope) -> &[u64] {
        match scope {
            Scope::Hall => &self.sums,
            Scope::Fleet => &self.sums[..BUCKETS],
        }
    }

    /// One checksum over all rows in scope.
    pub fn total(&self, scope: Scope) -> u64 {
        self.sums(scope).iter().fold(0, |total, sum| total ^ sum)
    }

    /// The rows in the buckets whose checksum differs from `theirs`. Buckets that
    /// `theirs` leaves out are left out.
    fn list_differing<'a>(&'a self, theirs: &'a [u64]) -> impl Iterator<Item = &'a StoredRow> {
        let differs =
            |held: &&StoredRow| theirs.get(held.bucket).is_some_and(|sum| *sum != self.sums[held.bucket]);
        self.rows.values().filter(|held| is_checksummed(&held.row)).filter(differs)
    }

    /// The marks of the rows where the checksums differ from `theirs`.
    pub fn list_marks(&self, theirs: &[u64]) -> Vec<u32> {
        self.list_differing(theirs).map(StoredRow::short_mark).collect()
    }

    /// The marks of all rows in scope.
    pub fn list_all_marks(&self, scope: Scope) -> Vec<u32> {
        let rows =
            self.rows.values().filter(|held| is_checksummed(&held.row) && scope.includes(&held.row.key));
        rows.map(StoredRow::short_mark).collect()
    }

    /// The rows where the checksums differ from `theirs` and whose mark is not
    /// among `marks`: what the other table lacks. The most urgent go first, at
    /// most `budget` bytes together; `seed` varies which go among equals.
    pub fn list_missing(&self, theirs: &[u64], marks: &[u32], budget: usize, seed: u64) -> Vec<Row> {
        let marks: HashSet<u32> = marks.iter().copied().collect();
        let mut rows: Vec<&StoredRow> =
            self.list_differing(theirs).filter(|held| !marks.contains(&held.short_mark())).collect();
        rows.sort_by_key(|held| (held.row.urgency(), held.mark ^ seed));
        let mut remaining = budget;
        let fits = |held: &&StoredRow| {
            let size = encoded_size(&held.row);
            let fits = size <= remaining;
            remaining -= if fits { size } else { 0 };
            fits
        };
        rows.into_iter().take_while(fits).map(|held| held.row.clone()).collect()
    }
}
