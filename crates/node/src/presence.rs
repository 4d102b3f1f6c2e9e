//! Removing the entries of nodes that are gone, as the collector of a hall.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_platform::item::{Change, Item, decode};
use cottoncrank_platform::store::{Commit, Outcome, StoreError};

use crate::registration;
use crate::state::Node;

/// How often a collector looks which nodes are gone.
const CHECK_INTERVAL: Millis = Millis(1000);

/// The pause after a failed call.
const RETRY_DELAY: Millis = Millis(5000);

/// Entries in one write: each counts twice against the store's limit, with its condition.
const MAX_REMOVES: usize = 15;

/// Removes entries until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        let gone: BTreeSet<id::Node> = {
            let settings = node.settings();
            let (directory, now) = (node.directory.lock(), node.now());
            let gone = node.presence.lock().list_gone(&settings.node, &settings.hall, &directory, now);
            gone.into_iter().collect()
        };
        if gone.is_empty() {
            continue;
        }
        for entries in list_entries(&node, &gone).chunks(MAX_REMOVES) {
            if let Err(error) = remove(&node, entries).await {
                log::info!("presence: the entries of nodes that are gone were not removed: {error}");
                tokio::time::sleep(RETRY_DELAY.duration()).await;
                break;
            }
        }
    }
}

/// The entries of these nodes, as this node knows them.
fn list_entries(node: &Node, gone: &BTreeSet<id::Node>) -> Vec<Item> {
    let items = node.feed.list(|_| true).into_iter().filter_map(|raw| match decode(raw) {
        Ok(Change::Own(item)) => Some(item),
        _ => None,
    });
    items.filter(|item| registration::parse_key(&item.key).is_some_and(|name| gone.contains(&name))).collect()
}

/// Removes entries, unless one of them has been written again.
async fn remove(node: &Node, entries: &[Item]) -> Result<(), StoreError> {
    let commit = Commit {
        expect: entries.iter().map(|item| (item.key.clone(), Some(item.position))).collect(),
        removes: entries.iter().map(|item| item.key.clone()).collect(),
        ..Commit::default()
    };
    let keys: Vec<&str> = entries.iter().map(|item| item.key.as_str()).collect();
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => log::info!("presence: gone, and removed: {}", keys.join(" ")),
        Outcome::Conflict => log::info!("presence: written again meanwhile, one of {}", keys.join(" ")),
    }
    Ok(())
}
