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

use crate::reporting::find_collector;
use crate::state::Node;
use crate::suspects;

/// The prefix of the entries; a request's fingerprint follows.
const PREFIX: &str = "suspects/";

/// How often a node looks what the store lacks.
const LOOK: Millis = Millis(200);

/// The collectors write one after the other, so that most find it written: a write is
/// known to the others within some 0.3 s.
const TURN: Millis = Millis(300);

/// The pause after a call that failed.
const PAUSE: Millis = Millis(1000);

/// Entries in one write, under the store's limit for one.
const WRITES_MAX: usize = 30;

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
fn read_key(key: &str) -> Option<Result<Fingerprint, FingerprintError>> {
    key.strip_prefix(PREFIX).map(str::parse)
}

/// Reads an entry, if the item is one.
pub(crate) fn read_entry(item: &Item) -> Option<Result<Row, EntryError>> {
    let key = read_key(&item.key)?;
    Some(key.map_err(EntryError::from).and_then(|fingerprint| {
        let row: Row = rmp_serde::from_slice(&item.value)?;
        match row.fingerprint == fingerprint {
            true => Ok(row),
            false => Err(EntryError::Foreign(row.fingerprint)),
        }
    }))
}

/// The store holds this.
pub(crate) fn take(node: &Node, row: &Row) {
    suspects::take(node, std::slice::from_ref(row), Origin::Elsewhere);
    node.suspects.lock().record_stored(row);
}

/// A key is gone. Returns whether it was an entry's. Nodes remove only what counts for
/// nothing any more: anything else was removed by operators, to have the request run again.
pub(crate) fn take_gone(node: &Node, key: &str) -> bool {
    let Some(Ok(fingerprint)) = read_key(key) else { return false };
    if node.suspects.lock().record_removed(&fingerprint) {
        suspects::lift(node, &fingerprint, "its entry was removed from the store");
    }
    true
}

/// The store was read whole, and these are all its entries.
pub(crate) fn retain(node: &Node, kept: &HashSet<Fingerprint>) {
    let stored = node.suspects.lock().list_stored();
    for fingerprint in stored.iter().filter(|fingerprint| !kept.contains(fingerprint)) {
        take_gone(node, &format!("{PREFIX}{fingerprint}"));
    }
}

/// Writes what the store lacks, and removes what it needs no more, until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(LOOK.duration()).await;
        let commit = list_writes(&node);
        if commit.puts.is_empty() && commit.removes.is_empty() {
            continue;
        }
        match node.store.commit(&commit).await {
            Ok(Outcome::Done(_)) => note_done(&node, &commit),
            Ok(Outcome::Conflict) => log::error!("record: a write without a condition met one"),
            Err(error) => {
                log::info!("record: what is known of suspected requests is not written: {error}");
                tokio::time::sleep(PAUSE.duration()).await;
            }
        }
    }
}

/// What this node writes now, if it is a collector and its turn has come.
fn list_writes(node: &Node) -> Commit {
    let Some(wait) = find_turn(node) else { return Commit::default() };
    let now = node.now();
    let table = node.suspects.lock();
    let due = table.list_unstored().into_iter().filter(|(_, since)| now >= *since + wait);
    let mut commit = Commit::default();
    for (row, _) in due.take(WRITES_MAX) {
        match rmp_serde::to_vec(row) {
            Ok(value) => commit.puts.push((format!("{PREFIX}{}", row.fingerprint), value, None)),
            Err(error) => log::error!("record: {} cannot be encoded: {error}", row.fingerprint),
        }
    }
    let needless = table.list_obsolete().into_iter().take(WRITES_MAX - commit.puts.len());
    commit.removes.extend(needless.map(|fingerprint| format!("{PREFIX}{fingerprint}")));
    commit
}

/// How long after it was learned this node writes something, if it is the collector of its
/// hall. One that reaches no other node of the hall is its own.
fn find_turn(node: &Node) -> Option<Millis> {
    let settings = node.settings();
    let collector = find_collector(node, &settings.hall, &node.untold.lock());
    collector.is_none_or(|collector| collector.node == settings.node).then(|| {
        let directory = node.directory.lock();
        let before = directory.list_halls().into_iter().position(|hall| *hall == settings.hall);
        Millis(TURN.0 * before.unwrap_or(0) as u64)
    })
}

fn note_done(node: &Node, commit: &Commit) {
    let mut table = node.suspects.lock();
    for (_, value, _) in &commit.puts {
        if let Ok(row) = rmp_serde::from_slice::<Row>(value) {
            table.record_stored(&row);
        }
    }
    for fingerprint in commit.removes.iter().filter_map(|key| read_key(key)?.ok()) {
        table.record_removed(&fingerprint);
    }
}
