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
const SYNC_TIMEOUT: Millis = Millis(1000);

/// What is written to the store is known here within this, as a rule.
const CONFIRM_DELAY: Millis = Millis(500);

/// The pause after a failed call: at least this, at most twice.
const RETRY_DELAY: Millis = Millis(1000);

/// All nodes together make a failed call anew this often at the most: an entry that is
/// written late harms nobody, and an outage strikes all nodes at once.
const FLEET_RETRY_INTERVAL: Millis = Millis(15);

/// Writes the entry, and again when it is gone, until the process ends.
pub async fn run(node: Arc<Node>) {
    if !node.settings().first_start {
        node.wait_synced(SYNC_TIMEOUT).await;
    }
    let own = build_peer(&node);
    let is_registered = || node.directory.lock().get(&own.node) == Some(&own);
    let mut registered = is_registered();
    loop {
        if !registered && let Err(error) = write_entry(&node, &own).await {
            log::info!("member: the entry of this node is not written: {error}");
            wait_with_jitter(&node, RETRY_DELAY).await;
            continue;
        }
        node.entry_gone.notified().await;
        wait_with_jitter(&node, CONFIRM_DELAY).await;
        registered = is_registered();
    }
}

/// Waits for this node's turn among all: at least for `least`.
async fn wait_with_jitter(node: &Node, min_delay: Millis) {
    let spread = Millis(FLEET_RETRY_INTERVAL.0 * node.directory.lock().count() as u64).max(min_delay);
    let delay = min_delay + Millis(rand::rng().random_range(0..spread.0));
    tokio::time::sleep(delay.duration()).await;
}

/// What this node tells of itself.
fn build_peer(node: &Node) -> Peer {
    let settings = node.settings();
    Peer {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        address: settings.peers,
        processor: settings.processor,
    }
}

async fn write_entry(node: &Node, own: &Peer) -> Result<(), StoreError> {
    let value = rmp_serde::to_vec(own).map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let key = format!("{}{}", format_prefix(&own.hall), own.node);
    let commit = Commit { puts: vec![(key, value, None)], ..Commit::default() };
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => Ok(()),
        Outcome::Conflict => Err(StoreError::Unreadable("a write without a condition met one".to_owned())),
    }
}

/// What the keys of the entries of a hall's nodes begin with.
pub fn format_prefix(hall: &id::Hall) -> String {
    format!("{PREFIX}{hall}/")
}

/// Reads a node's entry, if the item is one.
pub fn decode_entry(item: &Item) -> Option<Result<Peer, rmp_serde::decode::Error>> {
    item.key.strip_prefix(PREFIX)?;
    Some(rmp_serde::from_slice(&item.value))
}

/// Takes the entries of other nodes in, as far as these can be read.
pub fn apply_entries(node: &Node, items: &[Item]) {
    for entry in items.iter().filter_map(decode_entry) {
        match entry {
            Ok(peer) => node.directory.lock().insert(peer),
            Err(error) => log::error!("member: the entry of a node cannot be read: {error}"),
        }
    }
    retries::take_share(node);
}

/// The node whose entry has this key, if it is one's. Earlier versions left the hall out.
pub fn parse_key(key: &str) -> Option<id::Node> {
    let path = key.strip_prefix(PREFIX)?;
    path.rsplit_once('/').map_or(path, |(_, name)| name).parse().ok()
}
