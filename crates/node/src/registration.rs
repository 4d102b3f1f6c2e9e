//! Registers this node in the store, so that other nodes find it.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Outcome, StoreError};
use rand::Rng;

use crate::invalid_items::ItemKind;
use crate::retries;
use crate::state::Node;

/// The key prefix of the entries. The names of the hall and of the node follow.
const PREFIX: &str = "node/";

/// The longest time that a restarted node waits to learn whether its entry still exists.
const SYNC_TIMEOUT: Millis = Millis(1000);

/// The time within which a write to the store usually shows in this node's copy of it.
const CONFIRM_DELAY: Millis = Millis(500);

/// The minimum pause after a failed call. Jitter of up to the same time is added, or more in a large
/// fleet.
const RETRY_DELAY: Millis = Millis(1000);

/// The mean interval between the retries of all nodes together. An outage hits all nodes at once, and an
/// entry that is written late does no harm.
const FLEET_RETRY_INTERVAL: Millis = Millis(15);

/// Writes this node's entry, and writes it again whenever it is gone, until the process ends.
pub async fn run(node: Arc<Node>) {
    if !node.settings().first_start {
        node.wait_synced(SYNC_TIMEOUT).await;
    }
    let own = build_peer(&node);
    let is_registered = || node.directory.lock().get(&own.node) == Some(&own);
    let mut registered = is_registered();
    loop {
        if !registered && let Err(error) = write_entry(&node, &own).await {
            log::info!("member: the entry of this node could not be written: {error}");
            wait_with_jitter(&node, RETRY_DELAY).await;
            continue;
        }
        node.entry_gone.notified().await;
        wait_with_jitter(&node, CONFIRM_DELAY).await;
        registered = is_registered();
    }
}

/// Waits for `min_delay` plus jitter that grows with the number of nodes.
async fn wait_with_jitter(node: &Node, min_delay: Millis) {
    let spread = Millis(FLEET_RETRY_INTERVAL.0 * node.directory.lock().count() as u64).max(min_delay);
    let delay = min_delay + Millis(rand::rng().random_range(0..spread.0));
    tokio::time::sleep(delay.duration()).await;
}

/// Builds this node's entry.
fn build_peer(node: &Node) -> Peer {
    let settings = node.settings();
    Peer {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        address: settings.peers,
        processor: settings.processor,
    }
}

/// Writes this node's entry to the store.
async fn write_entry(node: &Node, own: &Peer) -> Result<(), StoreError> {
    let value = rmp_serde::to_vec(own).map_err(|error| StoreError::Invalid(error.to_string()))?;
    let key = format!("{}{}", format_prefix(&own.hall), own.node);
    let commit = Commit { puts: vec![(key, value, None)], ..Commit::default() };
    let asked = node.now();
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => {
            node.store_taken.send_replace(Some(asked));
            Ok(())
        }
        Outcome::Conflict(_) => {
            Err(StoreError::Invalid("an unconditional write returned a conflict".to_owned()))
        }
    }
}

/// Returns the key prefix of the entries of a hall's nodes.
pub fn format_prefix(hall: &id::Hall) -> String {
    format!("{PREFIX}{hall}/")
}

/// Decodes a node's entry. Returns `None` if the item is something else.
pub fn decode_entry(item: &Item) -> Option<Result<Peer, rmp_serde::decode::Error>> {
    item.key.strip_prefix(PREFIX)?;
    Some(rmp_serde::from_slice(&item.value))
}

/// Adds the nodes with valid entries to the directory.
pub fn apply_entries(node: &Node, items: &[Item]) {
    for (item, entry) in items.iter().filter_map(|item| Some((item, decode_entry(item)?))) {
        match entry {
            Ok(peer) => node.directory.lock().insert(peer),
            Err(error) => node.log_invalid_item(&item.key, ItemKind::Node, "form", error),
        }
    }
    retries::record_members(node);
}

/// Returns the name of the node whose entry has this key, if the key is that of a node. Earlier versions
/// wrote keys without the hall.
pub fn parse_key(key: &str) -> Option<id::Node> {
    let path = key.strip_prefix(PREFIX)?;
    path.rsplit_once('/').map_or(path, |(_, name)| name).parse().ok()
}
