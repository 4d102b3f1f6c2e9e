//! Keeping what is known of requests that end runners in the store: it outlasts all nodes
//! there, and reaches those that cannot exchange with others.

use std::collections::HashSet;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Row;
use cottoncrank_fleet::fingerprint::{Fingerprint, FingerprintError};
use cottoncrank_fleet::suspects::Origin;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Outcome};
use thiserror::Error;

use crate::collect::find_collector;
use crate::state::Node;
use crate::suspects;

/// The prefix of the entries; a request's fingerprint follows.
const PREFIX: &str = "suspects/";

/// How often a node looks what the store lacks.
const SCAN_INTERVAL: Millis = Millis(200);

/// The collectors write one after the other, so that most find it written: a write is
/// known to the others within some 0.3 s.
const WRITE_STAGGER: Millis = Millis(300);

/// The pause after a call that failed.
const RETRY_PAUSE: Millis = Millis(1000);

/// Entries in one write, under the store's limit for one.
const MAX_WRITES: usize = 30;

/// An entry that cannot be read.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    /// Its key names no request.
    #[error(transparent)]
    Key(#[from] FingerprintError),
    /// Its value is not of the form that is written.
    #[error("the value cannot be decoded: {0}")]
    Value(#[from] rmp_serde::decode::Error),
    /// The value is about another request than the key.
    #[error("the value is about {0}")]
    Foreign(Fingerprint),
}

/// The request whose entry has this key, if it is one's.
fn parse_key(key: &str) -> Option<Result<Fingerprint, FingerprintError>> {
    key.strip_prefix(PREFIX).map(str::parse)
}

/// Reads an entry, if the item is one.
pub(crate) fn read_entry(item: &Item) -> Option<Result<Row, EntryError>> {
    let key = parse_key(&item.key)?;
    Some(key.map_err(EntryError::from).and_then(|fingerprint| {
        let row: Row = rmp_serde::from_slice(&item.value)?;
        match row.fingerprint == fingerprint {
            true => Ok(row),
            false => Err(EntryError::Foreign(row.fingerprint)),
        }
    }))
}

/// The store holds this.
pub(crate) fn apply_entry(node: &Node, row: &Row) {
    suspects::merge_rows(node, std::slice::from_ref(row), Origin::Elsewhere);
    node.suspects.lock().record_stored(row);
}

/// A key is gone. Returns whether it was an entry's. Nodes remove only what counts for
/// nothing any more: anything else was removed by operators, to have the request run again.
pub(crate) fn apply_removal(node: &Node, key: &str) -> bool {
    let Some(Ok(fingerprint)) = parse_key(key) else { return false };
    if node.suspects.lock().record_removed(&fingerprint) {
        suspects::void_crashes(node, &fingerprint, "its entry was removed from the store");
    }
    true
}

/// The store was read whole, and these are all its entries.
pub(crate) fn retain_entries(node: &Node, present: &HashSet<Fingerprint>) {
    let stored = node.suspects.lock().list_stored();
    for fingerprint in stored.iter().filter(|fingerprint| !present.contains(fingerprint)) {
        apply_removal(node, &format!("{PREFIX}{fingerprint}"));
    }
}

/// Writes what the store lacks, and removes what it needs no more, until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SCAN_INTERVAL.duration()).await;
        let commit = build_commit(&node);
        if commit.puts.is_empty() && commit.removes.is_empty() {
            continue;
        }
        match node.store.commit(&commit).await {
            Ok(Outcome::Done(_)) => record_commit(&node, &commit),
            Ok(Outcome::Conflict) => log::error!("record: a write without a condition met one"),
            Err(error) => {
                log::info!("record: what is known of suspected requests is not written: {error}");
                tokio::time::sleep(RETRY_PAUSE.duration()).await;
            }
        }
    }
}

/// What this node writes now, if it is a collector and its turn has come.
fn build_commit(node: &Node) -> Commit {
    let Some(wait) = find_write_delay(node) else { return Commit::default() };
    let now = node.now();
    let table = node.suspects.lock();
    let due = table.list_unstored().into_iter().filter(|(_, since)| now >= *since + wait);
    let mut commit = Commit::default();
    for (row, _) in due.take(MAX_WRITES) {
        match rmp_serde::to_vec(row) {
            Ok(value) => commit.puts.push((format!("{PREFIX}{}", row.fingerprint), value, None)),
            Err(error) => log::error!("record: {} cannot be encoded: {error}", row.fingerprint),
        }
    }
    let obsolete = table.list_obsolete().into_iter().take(MAX_WRITES - commit.puts.len());
    commit.removes.extend(obsolete.map(|fingerprint| format!("{PREFIX}{fingerprint}")));
    commit
}

/// How long after it was learned this node writes something, if it is the collector of its
/// hall. One that reaches no other node of the hall is its own.
fn find_write_delay(node: &Node) -> Option<Millis> {
    let settings = node.settings();
    let collector = find_collector(node, &settings.hall, &node.unreachable_for_reports.lock());
    collector.is_none_or(|collector| collector.node == settings.node).then(|| {
        let directory = node.directory.lock();
        let rank = directory.list_halls().into_iter().position(|hall| *hall == settings.hall);
        Millis(WRITE_STAGGER.0 * rank.unwrap_or(0) as u64)
    })
}

fn record_commit(node: &Node, commit: &Commit) {
    let mut table = node.suspects.lock();
    for (_, value, _) in &commit.puts {
        if let Ok(row) = rmp_serde::from_slice::<Row>(value) {
            table.record_stored(&row);
        }
    }
    for fingerprint in commit.removes.iter().filter_map(|key| parse_key(key)?.ok()) {
        table.record_removed(&fingerprint);
    }
}
