//! Removes the entries of nodes that are gone. The collector of a hall does this for its hall.

use std::collections::BTreeSet;
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_platform::item::{Change, Item, decode};
use cottoncrank_platform::store::{Commit, Outcome, StoreError};

use crate::registration;
use crate::state::Node;

/// How often a collector checks which nodes are gone.
const CHECK_INTERVAL: Millis = Millis(1000);

/// The pause after a failed call.
const RETRY_DELAY: Millis = Millis(5000);

/// The maximum number of entries removed in one write. Each counts twice against the store's limit,
/// because it has a condition.
const MAX_REMOVES: usize = 15;

/// Removes the entries of nodes that are gone, until the process ends.
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
                log::info!("presence: the entries of nodes that are gone could not be removed: {error}");
                tokio::time::sleep(RETRY_DELAY.duration()).await;
                break;
            }
        }
    }
}

/// Lists the entries of these nodes in this node's copy of the store.
fn list_entries(node: &Node, gone: &BTreeSet<id::Node>) -> Vec<Item> {
    let items = node.feed.list(|_| true).into_iter().filter_map(|raw| match decode(raw) {
        Ok(Change::Own(item)) => Some(item),
        _ => None,
    });
    items.filter(|item| registration::parse_key(&item.key).is_some_and(|name| gone.contains(&name))).collect()
}

/// Removes entries, or none of them if one has been written again.
async fn remove(node: &Node, entries: &[Item]) -> Result<(), StoreError> {
    let commit = Commit {
        expect: entries.iter().map(|item| (item.key.clone(), Some(item.position))).collect(),
        removes: entries.iter().map(|item| item.key.clone()).collect(),
        ..Commit::default()
    };
    let keys: Vec<&str> = entries.iter().map(|item| item.key.as_str()).collect();
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => {
            log::info!("presence: removed the entries of nodes that are gone: {}", keys.join(" "))
        }
        Outcome::Conflict(_) => log::info!(
            "presence: removed nothing, one of these entries was written again: {}",
            keys.join(" ")
        ),
    }
    Ok(())
}
