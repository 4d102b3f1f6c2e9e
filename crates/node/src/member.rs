//! Writing this node's entry into the store, so that other nodes find it.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Outcome, StoreError};
use rand::Rng;

use crate::retries;
use crate::state::Node;

/// The prefix of the entries; the hall's name and the node's follow.
const PREFIX: &str = "node/";

/// A node that starts again waits for this long at the most until it knows whether its entry
/// still stands.
const KNOWN: Millis = Millis(1000);

/// What is written to the store is known here within this, as a rule.
const SEEN: Millis = Millis(500);

/// The pause after a failed call: at least this, at most twice.
const PAUSE: Millis = Millis(1000);

/// All nodes together make a failed call anew this often at the most: an entry that is
/// written late harms nobody, and an outage strikes all nodes at once.
const ALL: Millis = Millis(15);

/// Writes the entry, and again when it is gone, until the process ends.
pub async fn run(node: Arc<Node>) {
    if !node.settings().first_start {
        node.wait_synced(KNOWN).await;
    }
    let own = write_peer(&node);
    let is_entered = || node.directory.lock().get(&own.node) == Some(&own);
    let mut entered = is_entered();
    loop {
        if !entered && let Err(error) = enter(&node, &own).await {
            log::info!("member: the entry of this node is not written: {error}");
            wait_turn(&node, PAUSE).await;
            continue;
        }
        node.entry_gone.notified().await;
        wait_turn(&node, SEEN).await;
        entered = is_entered();
    }
}

/// Waits for this node's turn among all: at least for `least`.
async fn wait_turn(node: &Node, least: Millis) {
    let spread = Millis(ALL.0 * node.directory.lock().count() as u64).max(least);
    let turn = least + Millis(rand::rng().random_range(0..spread.0));
    tokio::time::sleep(turn.duration()).await;
}

/// What this node tells of itself.
fn write_peer(node: &Node) -> Peer {
    let settings = node.settings();
    Peer {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        address: settings.peers,
        processor: settings.processor,
    }
}

async fn enter(node: &Node, own: &Peer) -> Result<(), StoreError> {
    let value = rmp_serde::to_vec(own).map_err(|error| StoreError::Invalid(error.to_string()))?;
    let key = format!("{}{}", write_prefix(&own.hall), own.node);
    let commit = Commit { puts: vec![(key, value, None)], ..Commit::default() };
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => Ok(()),
        Outcome::Conflict => Err(StoreError::Invalid("a write without a condition met one".to_owned())),
    }
}

/// What the keys of the entries of a hall's nodes begin with.
pub fn write_prefix(hall: &id::Hall) -> String {
    format!("{PREFIX}{hall}/")
}

/// Reads a node's entry, if the item is one.
pub fn read_entry(item: &Item) -> Option<Result<Peer, rmp_serde::decode::Error>> {
    item.key.strip_prefix(PREFIX)?;
    Some(rmp_serde::from_slice(&item.value))
}

/// Takes the entries of other nodes in, as far as these can be read.
pub fn take_entries(node: &Node, items: &[Item]) {
    for entry in items.iter().filter_map(read_entry) {
        match entry {
            Ok(peer) => node.directory.lock().insert(peer),
            Err(error) => log::error!("member: the entry of a node cannot be read: {error}"),
        }
    }
    retries::update_budget(node);
}

/// The node whose entry has this key, if it is one's. Earlier versions left the hall out.
pub fn read_name(key: &str) -> Option<id::Node> {
    let place = key.strip_prefix(PREFIX)?;
    place.rsplit_once('/').map_or(place, |(_, name)| name).parse().ok()
}
