//! The evidence about suspected requests in the store. There it outlasts all nodes, and reaches nodes that
//! cannot exchange messages with others.

use std::collections::HashSet;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Row;
use cottoncrank_fleet::fingerprint::{Fingerprint, FingerprintError};
use cottoncrank_fleet::suspects::Origin;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Outcome};
use thiserror::Error;

use crate::reporting::find_collector;
use crate::state::Node;
use crate::suspects;

/// The prefix of the keys of entries. The fingerprint of the request follows.
const PREFIX: &str = "suspects/";

/// How often a node checks what has to be written.
const SCAN_INTERVAL: Millis = Millis(200);

/// The delay between the collectors of successive halls. They write one after the other, and a write is
/// known to the others within some 0.3 s, so most find the entry written already.
const WRITE_STAGGER: Millis = Millis(300);

/// The pause after a failed call to the store.
const RETRY_PAUSE: Millis = Millis(1000);

/// The maximum number of entries in one commit, below the limit of the store.
const MAX_WRITES: usize = 30;

/// An invalid entry.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    /// The key is no fingerprint.
    #[error(transparent)]
    Key(#[from] FingerprintError),
    /// The value cannot be decoded.
    #[error("the value cannot be decoded: {0}")]
    Value(#[from] rmp_serde::decode::Error),
    /// The value is about another request than the key.
    #[error("the value is about {0}")]
    Foreign(Fingerprint),
}

/// Returns the request whose entry has this key, or `None` for a key of another kind.
fn parse_key(key: &str) -> Option<Result<Fingerprint, FingerprintError>> {
    key.strip_prefix(PREFIX).map(str::parse)
}

/// Decodes an entry. Returns `None` for an item of another kind.
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

/// Merges a row that the store holds.
pub(crate) fn apply_entry(node: &Node, row: &Row) {
    suspects::merge_rows(node, std::slice::from_ref(row), Origin::Elsewhere);
    node.suspects.lock().record_stored(row);
}

/// Applies the removal of a key. Returns whether it was the key of an entry.
///
/// Nodes remove only obsolete entries. Any other entry was removed by operators so that the request may
/// run again, so its crashes are voided.
pub(crate) fn apply_removal(node: &Node, key: &str) -> bool {
    let Some(Ok(fingerprint)) = parse_key(key) else { return false };
    if node.suspects.lock().record_removed(&fingerprint) {
        suspects::void_crashes(node, &fingerprint, "its entry was removed from the store");
    }
    true
}

/// Applies the removal of all stored entries except those that a complete read of the store found.
pub(crate) fn retain_entries(node: &Node, present: &HashSet<Fingerprint>) {
    let stored = node.suspects.lock().list_stored();
    for fingerprint in stored.iter().filter(|fingerprint| !present.contains(fingerprint)) {
        apply_removal(node, &format!("{PREFIX}{fingerprint}"));
    }
}

/// Writes the rows that the store lacks and removes obsolete entries until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SCAN_INTERVAL.duration()).await;
        let commit = build_commit(&node);
        if commit.puts.is_empty() && commit.removes.is_empty() {
            continue;
        }
        match node.store.commit(&commit).await {
            Ok(Outcome::Done(_)) => record_commit(&node, &commit),
            Ok(Outcome::Conflict(_)) => log::error!("record: a write without a condition got a conflict"),
            Err(error) => {
                log::info!("record: cannot write the evidence about suspected requests: {error}");
                tokio::time::sleep(RETRY_PAUSE.duration()).await;
            }
        }
    }
}

/// Returns what this node has to write now. Empty if it is no collector or its delay is not over.
fn build_commit(node: &Node) -> Commit {
    let Some(wait) = find_write_delay(node) else { return Commit::default() };
    let now = node.now();
    let table = node.suspects.lock();
    let due = table.list_unstored().into_iter().filter(|(_, since)| now >= *since + wait);
    let mut commit = Commit::default();
    for (row, _) in due.take(MAX_WRITES) {
        match rmp_serde::to_vec(row) {
            Ok(value) => commit.puts.push((format!("{PREFIX}{}", row.fingerprint), value, None)),
            Err(error) => log::error!("record: cannot encode {}: {error}", row.fingerprint),
        }
    }
    let obsolete = table.list_obsolete().into_iter().take(MAX_WRITES - commit.puts.len());
    commit.removes.extend(obsolete.map(|fingerprint| format!("{PREFIX}{fingerprint}")));
    commit
}

/// Returns how long after a row was learned this node writes it, or `None` if it is not the collector of
/// its hall. A node that reaches no other node of the hall is its own collector.
fn find_write_delay(node: &Node) -> Option<Millis> {
    let settings = node.settings();
    let collector = find_collector(node, &settings.hall, &node.unreachable_for_reports.lock());
    collector.is_none_or(|collector| collector.node == settings.node).then(|| {
        let directory = node.directory.lock();
        let rank = directory.list_halls().into_iter().position(|hall| *hall == settings.hall);
        Millis(WRITE_STAGGER.0 * rank.unwrap_or(0) as u64)
    })
}

/// Records the effects of a successful commit.
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
