//! The table of rows that a node holds, and the rows it still has to send.
//!
//! Merging is commutative, associative and idempotent: the higher version wins,
//! and between equal versions the greater body. So all nodes converge to the same
//! rows when messages are reordered, duplicated or lost.

use std::collections::{BTreeMap, HashSet};

use crate::clock::Millis;
use crate::hash::hash;
use crate::row::{Body, Key, Row, Urgency};

/// The number of checksums over the rows for all halls; as many cover the rows of one hall.
pub const BUCKETS: usize = 16;

/// The checksums of a table: those for all halls, then those of the hall.
pub type Sums = [u64; 2 * BUCKETS];

/// Which rows may go into a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All rows; for a receiver in the same hall.
    Hall,
    /// Only rows that other halls use.
    Fleet,
}

impl Scope {
    fn includes(self, key: &Key) -> bool {
        self == Scope::Hall || key.is_fleet_wide()
    }
}

/// A row with its local bookkeeping.
#[derive(Clone, Debug)]
pub struct StoredRow {
    /// The row.
    pub row: Row,
    /// When this node received this version.
    pub since: Millis,
    bucket: usize,
    mark: u64,
}

impl StoredRow {
    /// Returns the low 32 bits of the row's hash, which messages carry.
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
    // Encoding plain data into memory cannot fail.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Returns the size of a row in a message, in bytes.
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

/// Whether the checksums cover the row. Load changes too fast to be worth a repair.
fn is_checksummed(row: &Row) -> bool {
    !matches!(row.body, Body::Load(_))
}

impl Table {
    /// Returns the row under `key`.
    pub fn get(&self, key: &Key) -> Option<&StoredRow> {
        self.rows.get(key)
    }

    /// Iterates over all rows in key order.
    pub fn iter(&self) -> impl Iterator<Item = &StoredRow> {
        self.rows.values()
    }

    /// Iterates over the rows from `start` on in key order.
    pub fn iter_from(&self, start: &Key) -> impl Iterator<Item = &StoredRow> {
        self.rows.range(start.clone()..).map(|(_, held)| held)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Merges a row if it is newer than the one held; returns whether it was.
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

    /// Returns the version with which a row written by this node is the newest.
    pub fn next_version(&self, key: &Key, now: Millis) -> u64 {
        self.rows.get(key).map_or(0, |held| held.row.version + 1).max(now.0)
    }

    /// Writes a row of this node if its body differs from the current one; returns whether it did.
    pub fn write(&mut self, key: Key, body: Body, now: Millis) -> bool {
        if self.rows.get(&key).is_some_and(|held| held.row.body == body) {
            return false;
        }
        let version = self.next_version(&key, now);
        self.merge(Row { key, version, body }, now)
    }

    /// Whether rows are waiting to be sent.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the rows for the next message and counts them as sent. The most urgent
    /// rows come first, among those the least often sent; `budget` bounds their bytes.
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

    /// Returns a checksum for each bucket of keys; equal tables have equal checksums.
    pub fn sums(&self, scope: Scope) -> &[u64] {
        match scope {
            Scope::Hall => &self.sums,
            Scope::Fleet => &self.sums[..BUCKETS],
        }
    }

    /// Returns one checksum over all rows in scope.
    pub fn total(&self, scope: Scope) -> u64 {
        self.sums(scope).iter().fold(0, |total, sum| total ^ sum)
    }

    /// Lists the rows in the buckets whose checksum differs from `other_sums`. Buckets beyond
    /// the end of `other_sums` are skipped.
    fn list_differing<'a>(&'a self, other_sums: &'a [u64]) -> impl Iterator<Item = &'a StoredRow> {
        let differs =
            |held: &&StoredRow| other_sums.get(held.bucket).is_some_and(|sum| *sum != self.sums[held.bucket]);
        self.rows.values().filter(|held| is_checksummed(&held.row)).filter(differs)
    }

    /// Lists the short hashes of the rows in the buckets whose checksum differs from `other_sums`.
    pub fn list_marks(&self, other_sums: &[u64]) -> Vec<u32> {
        self.list_differing(other_sums).map(StoredRow::short_mark).collect()
    }

    /// Lists the short hashes of all rows in scope.
    pub fn list_all_marks(&self, scope: Scope) -> Vec<u32> {
        let rows =
            self.rows.values().filter(|held| is_checksummed(&held.row) && scope.includes(&held.row.key));
        rows.map(StoredRow::short_mark).collect()
    }

    /// Lists the rows that the other table lacks: those in the buckets whose checksum differs
    /// from `other_sums` and whose short hash is not in `marks`. The most urgent come first;
    /// `budget` bounds their bytes, and `seed` varies the order among equally urgent rows.
    pub fn list_missing(&self, other_sums: &[u64], marks: &[u32], budget: usize, seed: u64) -> Vec<Row> {
        let marks: HashSet<u32> = marks.iter().copied().collect();
        let mut rows: Vec<&StoredRow> =
            self.list_differing(other_sums).filter(|held| !marks.contains(&held.short_mark())).collect();
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
