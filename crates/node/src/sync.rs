//! Keeping the node's beliefs in step with the platform's store.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_platform::store::{Batch, Change, Item, ItemError, StoreError};
use rand::Rng;

use crate::decider::{self, LEASE_KEY};
use crate::state::Node;

/// How long one watch waits. An answer without changes proves that the keys
/// held here are not old; two of them fit into the bound for that.
const WATCH: Millis = Millis(1500);

/// The pause after a batch of changes, so that the next watch brings several at
/// once: each costs a call, and the strictest bound is two seconds.
const GATHER: Millis = Millis(200);

/// The same at the node that decides: groups stand still until it knows.
const GATHER_DECIDING: Millis = Millis(50);

/// The pause after a failed call: at least this, at most twice. Every call is
/// counted, refused ones too, and all nodes fail at the same time.
const PAUSE: Millis = Millis(200);

/// How often runners are looked through whose entry lapsed with the store away.
const EXPIRE: Millis = Millis(250);

/// Follows the store until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut revision = None;
    let mut reached = true;
    loop {
        let asked = node.now();
        let outcome = match revision {
            None => node.store.read_all().await.map(|batch| take_all(&node, asked, batch)),
            Some(after) => {
                node.store.watch(after, WATCH).await.map(|batch| take_changes(&node, asked, batch))
            }
        };
        match outcome {
            Ok(next) => {
                if !reached {
                    log::info!("store: it answers again, at revision {}", next.revision);
                    node.roster.lock().regain(node.now());
                }
                reached = true;
                revision = Some(next.revision);
                if next.changes > 0 {
                    let pause = if node.is_deciding() { GATHER_DECIDING } else { GATHER };
                    tokio::time::sleep(pause.duration()).await;
                }
            }
            Err(StoreError::Forgotten) => {
                log::warn!("store: the changes after {revision:?} are forgotten; reading all anew");
                revision = None;
            }
            Err(error) => {
                if reached {
                    log::warn!("store: {error}; going on with what is known at revision {revision:?}");
                }
                reached = false;
                let pause = PAUSE.0 + rand::rng().random_range(0..PAUSE.0);
                tokio::time::sleep(Millis(pause).duration()).await;
            }
        }
    }
}

/// Takes runners as gone whose time to come back is over, until the process ends.
pub async fn run_expiry(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EXPIRE.duration()).await;
        let gone = node.roster.lock().expire(node.now());
        for id in &gone {
            log::info!("roster: {id} did not come back with the store and is taken as gone");
            node.ledger.lock().forget(id);
        }
        if !gone.is_empty() {
            node.changed.notify_one();
        }
    }
}

/// Where a batch left the node.
struct Progress {
    revision: u64,
    changes: usize,
}

fn take_all(node: &Node, asked: Millis, batch: Batch) -> Progress {
    let changes = batch.changes.len();
    let mut runners = Vec::new();
    let mut decider = None;
    let mut caught_up = true;
    for change in batch.changes {
        match change {
            Ok(Change::Runner(runner)) => runners.push(runner),
            Ok(Change::Own(item)) if item.key == LEASE_KEY => decider = Some(item.revision),
            other => caught_up &= take_change(node, other),
        }
    }
    log::info!("store: read whole at revision {}, {} runners", batch.revision, runners.len());
    node.roster.lock().replace(runners, node.now());
    node.decider.send_replace(decider);
    if caught_up {
        node.freshness.lock().prove_read(asked);
    }
    node.set_synced();
    node.changed.notify_one();
    Progress { revision: batch.revision, changes }
}

fn take_changes(node: &Node, asked: Millis, batch: Batch) -> Progress {
    let changes = batch.changes.len();
    let mut caught_up = true;
    for change in batch.changes {
        caught_up &= take_change(node, change);
    }
    if caught_up {
        let waited = if changes == 0 { WATCH } else { Millis(0) };
        node.freshness.lock().prove_watch(asked, waited);
    }
    if changes > 0 {
        node.changed.notify_one();
    }
    Progress { revision: batch.revision, changes }
}

/// Takes a change in. Returns false if the configuration held here is older
/// than the one in the store now.
fn take_change(node: &Node, change: Result<Change, ItemError>) -> bool {
    match change {
        Ok(Change::Catalog(catalog)) => take_catalog(node, catalog),
        Ok(Change::Runner(runner)) => {
            log::debug!("roster: {} is {:?} draining {}", runner.id, runner.membership, runner.draining);
            node.roster.lock().put(runner);
        }
        Ok(Change::RunnerGone(id)) => {
            log::info!("roster: the entry of {id} is gone");
            node.roster.lock().remove(&id, node.now());
            if node.roster.lock().get(&id).is_none() {
                node.ledger.lock().forget(&id);
            }
        }
        Ok(Change::Own(item)) if item.key == LEASE_KEY => {
            node.decider.send_replace(Some(item.revision));
        }
        Ok(Change::OwnGone(key)) if key == LEASE_KEY => {
            node.decider.send_replace(None);
        }
        Ok(Change::Own(item)) => take_plan(node, &item),
        Ok(Change::OwnGone(key)) => log::warn!("store: `{key}` was removed"),
        Err(error @ ItemError::Catalog(_)) => {
            log::error!("catalog: {error}");
            return false;
        }
        Err(error) => log::error!("store: {error}"),
    }
    true
}

fn take_plan(node: &Node, item: &Item) {
    match decider::read_plan(item) {
        Ok(Some((domain, document))) => {
            node.plans.lock().insert(domain, document);
        }
        Ok(None) => log::warn!("store: `{}` is no plan", item.key),
        Err(error) => log::error!("store: {error}"),
    }
}

fn take_catalog(node: &Node, catalog: Catalog) {
    let mut held = node.catalog.lock();
    let here = held.as_ref().map(|catalog| catalog.version);
    if here.is_some_and(|here| catalog.version < here) {
        log::error!(
            "catalog: the store has version {}, older than {here:?} here; keeping it",
            catalog.version
        );
        return;
    }
    if here != Some(catalog.version) {
        log::info!("catalog: version {} is in force, {} routes", catalog.version, catalog.count_routes());
    }
    *held = Some(Arc::new(catalog));
}
