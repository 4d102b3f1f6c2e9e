//! Taking in what the store holds, from the store or from another node.

use std::collections::HashSet;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::{Change, Item, ItemError, decode};
use cottoncrank_platform::store::Batch;

use crate::decider::{self, LEASE_KEY};
use crate::era;
use crate::invalid_items::ItemKind;
use crate::plans::decode_plan;
use crate::record;
use crate::registration;
use crate::retries;
use crate::state::Node;

/// Changes of the store, or all of it.
pub struct Update {
    /// The items, up to its revision.
    pub batch: Batch,
    /// Whether items that are not in the batch are gone.
    pub whole: bool,
    /// When the store surely held nothing newer.
    pub proof: Proof,
    /// Up to when all that the store held is known, unless a watch was deaf.
    pub last_contact: Millis,
}

/// What an answer proves of the store's age.
pub enum Proof {
    /// The answer was asked for at that time.
    Read(Millis),
    /// A watch was begun at that time and waited so long.
    Watch(Millis, Millis),
}

/// Applies an update, and keeps it for nodes that ask this one. `before` is the latest
/// position that was known; none at the start.
pub fn apply_update(node: &Node, mut update: Update, before: Option<Position>) {
    let former = before.filter(|before| before.era() < update.batch.position.era());
    if let Some(before) = former {
        era::apply_restore(node, before, &mut update.batch);
    }
    match update.whole {
        true => node.feed.replace(&update.batch),
        false => node.feed.extend(&update.batch),
    }
    let changes = update.batch.items.len();
    let caught_up = match update.whole {
        true => apply_all(node, update.batch, former.is_some()),
        false => apply_changes(node, update.batch),
    };
    if caught_up {
        node.note_contact(update.last_contact);
        let mut freshness = node.freshness.lock();
        match update.proof {
            Proof::Read(asked) => freshness.prove_read(asked),
            Proof::Watch(asked, waited) => freshness.prove_watch(asked, waited),
        }
    }
    if changes > 0 {
        node.changed.notify_one();
    }
}

/// Takes all in that the store holds. `restored` says that it came back from an older copy.
fn apply_all(node: &Node, batch: Batch, restored: bool) -> bool {
    let mut runners = Vec::new();
    let mut decider = None;
    let mut caught_up = true;
    let position = batch.position;
    let mut suspects = HashSet::new();
    let mut nodes = HashSet::new();
    for item in batch.items {
        match decode(item) {
            Ok(Change::Runner(runner)) => runners.push(runner),
            Ok(Change::Own(item)) if item.key == LEASE_KEY => decider = Some(decider::decode_holder(&item)),
            Ok(Change::Own(item)) => {
                suspects.extend(record::read_entry(&item).and_then(Result::ok).map(|row| row.fingerprint));
                nodes.extend(registration::parse_key(&item.key));
                apply_own_item(node, &item);
            }
            other => caught_up &= apply_change(node, other),
        }
    }
    log::info!("store: read whole at revision {position}, {} runners", runners.len());
    // What a copy lacks was not removed by operators.
    if !restored {
        record::retain(node, &suspects);
        node.directory.lock().retain(|name| nodes.contains(name));
        retries::take_share(node);
    }
    let own = &node.settings().node;
    if !nodes.contains(own) {
        node.directory.lock().remove(own);
        node.entry_gone.notify_one();
    }
    node.roster.lock().replace(runners, node.now());
    node.decider.send_replace(decider);
    node.set_synced();
    caught_up
}

fn apply_changes(node: &Node, batch: Batch) -> bool {
    let mut caught_up = true;
    for item in batch.items {
        caught_up &= apply_change(node, decode(item));
    }
    caught_up
}

/// Takes a change in. Returns false if the configuration held here is older
/// than the one in the store now.
fn apply_change(node: &Node, change: Result<Change, ItemError>) -> bool {
    match change {
        Ok(Change::Catalog(catalog)) => apply_catalog(node, catalog),
        Ok(Change::Runner(runner)) => {
            log::debug!("roster: {} is {:?} draining {}", runner.id, runner.membership, runner.draining);
            node.put_runner(runner);
        }
        Ok(Change::RunnerGone(id)) => {
            log::info!("roster: the entry of {id} is gone");
            node.roster.lock().remove(&id, node.now());
            if node.roster.lock().get(&id).is_none() {
                node.ledger.lock().forget(&id);
            }
        }
        Ok(Change::Own(item)) => apply_own_item(node, &item),
        Ok(Change::OwnGone(key)) => apply_own_removal(node, &key),
        Ok(Change::Foreign(key)) => node.note_unreadable(&key, ItemKind::Foreign, "key", "nothing of ours"),
        Err(error @ ItemError::Catalog(_)) => {
            node.note_unreadable("catalog", ItemKind::Catalog, "form", error);
            return false;
        }
        Err(ItemError::Runner(name, error)) => {
            node.note_unreadable(&name, ItemKind::Runner, error.reason(), &error);
            if let Ok(id) = name.parse() {
                node.discard_runner(&id);
            }
        }
    }
    true
}

fn apply_own_item(node: &Node, item: &Item) {
    if item.key == LEASE_KEY {
        node.decider.send_replace(Some(decider::decode_holder(item)));
        return;
    }
    if let Some(entry) = registration::decode_entry(item) {
        match entry {
            Ok(peer) => {
                node.directory.lock().insert(peer);
                retries::take_share(node);
            }
            Err(error) => node.note_unreadable(&item.key, ItemKind::Node, "form", error),
        }
        return;
    }
    if let Some(entry) = record::read_entry(item) {
        match entry {
            Ok(row) => record::take(node, &row),
            Err(error) => node.note_unreadable(&item.key, ItemKind::Suspect, "form", error),
        }
        return;
    }
    match decode_plan(item) {
        Ok(Some((domain, document))) => {
            let mut plans = node.plans.lock();
            plans.insert(domain, document);
            node.halts.lock().update(&plans, node.now());
            drop(plans);
            node.plans_changed.send_modify(|version| *version += 1);
        }
        Ok(None) => node.note_unreadable(&item.key, ItemKind::Foreign, "key", "of no kind that is known"),
        // The groups that were known go on; the deciding node leaves the domain alone.
        Err(error) => node.note_unreadable(&item.key, ItemKind::Plan, "form", error),
    }
}

fn apply_own_removal(node: &Node, key: &str) {
    if key == LEASE_KEY {
        node.decider.send_replace(None);
    } else if let Some(name) = registration::parse_key(key) {
        if name == node.settings().node {
            node.entry_gone.notify_one();
        }
        node.directory.lock().remove(&name);
        retries::take_share(node);
    } else if !record::take_gone(node, key) {
        log::warn!("store: `{key}` was removed");
    }
}

fn apply_catalog(node: &Node, catalog: Catalog) {
    let mut held = node.catalog.lock();
    let held_version = held.as_ref().map(|catalog| catalog.version);
    if held_version.is_some_and(|held| catalog.version < held) {
        log::error!(
            "catalog: the store has version {}, older than {held_version:?} here; keeping it",
            catalog.version
        );
        return;
    }
    if held_version != Some(catalog.version) {
        log::info!("catalog: version {} is in force, {} routes", catalog.version, catalog.count_routes());
    }
    *held = Some(Arc::new(catalog));
}
