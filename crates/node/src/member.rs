//! Keeping this node's entry in the store, so that other nodes find it.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::position::Era;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::{Commit, Lease, Outcome, StoreError};
use rand::Rng;
use tokio::sync::watch;

use crate::state::Node;

/// The prefix of the entries; a node's name follows.
pub const PREFIX: &str = "node/";

/// How long an entry outlasts its node. Nodes that ask a lost one find out by
/// themselves, at once; the entry only says how many there are.
const LEASE: Millis = Millis(12_000);

/// How often the lease is renewed; two renewals may fail.
const RENEW: Millis = Millis(3500);

/// The pause after a failed call: at least this, at most twice.
const PAUSE: Millis = Millis(1000);

/// All nodes together make a failed call anew this often at the most: an entry that is
/// written late harms nobody, and an outage strikes all nodes at once.
const ALL: Millis = Millis(15);

/// Keeps the entry until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut lease = None;
    let mut era = node.store.subscribe_era();
    loop {
        let outcome = match lease {
            None => enter(&node).await.map(|entered| lease = Some(entered)),
            Some(held) => node.store.keep_lease(held).await,
        };
        let pause = match outcome {
            Ok(()) => RENEW,
            Err(error) => {
                log::info!("member: the entry of this node is not kept: {error}");
                if matches!(error, StoreError::LeaseOver) {
                    lease = None;
                }
                let least = PAUSE.max(Millis(ALL.0 * node.directory.lock().count() as u64));
                Millis(least.0 + rand::rng().random_range(0..least.0))
            }
        };
        // A lease of a former era keeps nothing: the entry is gone with what it was written to.
        let back = wait_back(&node, &mut era);
        if tokio::time::timeout(pause.duration(), back).await.is_ok() {
            lease = None;
        }
    }
}

/// Waits until the store has come back from an older copy, and for this node's turn then.
async fn wait_back(node: &Node, era: &mut watch::Receiver<Option<Era>>) {
    let known = *era.borrow_and_update();
    // The sender lives as long as the node.
    let _ = era.wait_for(|era| known.is_some() && *era > known).await;
    let spread = ALL.0 * node.directory.lock().count() as u64;
    let turn = Millis(rand::rng().random_range(0..spread.max(1)));
    tokio::time::sleep(turn.duration()).await;
}

async fn enter(node: &Node) -> Result<Lease, StoreError> {
    let settings = node.settings();
    let lease = node.store.open_lease(LEASE.max(settings.lease_min)).await?;
    let peer = Peer {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        address: settings.peers,
        processor: settings.processor,
    };
    let value = rmp_serde::to_vec(&peer).map_err(|error| StoreError::Unreadable(error.to_string()))?;
    let commit =
        Commit { puts: vec![(format!("{PREFIX}{}", peer.node), value, Some(lease))], ..Commit::default() };
    match node.store.commit(&commit).await? {
        Outcome::Done(_) => Ok(lease),
        Outcome::Conflict => Err(StoreError::Unreadable("a write without a condition met one".to_owned())),
    }
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
            Ok(peer) => node.directory.lock().put(peer),
            Err(error) => log::error!("member: the entry of a node cannot be read: {error}"),
        }
    }
    node.share_retries();
}

/// The node whose entry has this key, if it is one's.
pub fn read_name(key: &str) -> Option<id::Node> {
    key.strip_prefix(PREFIX)?.parse().ok()
}
