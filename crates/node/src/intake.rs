//! Taking in what the store holds, however it was learned.

use std::collections::HashSet;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::{Change, Item, ItemError, decode};
use cottoncrank_platform::store::Batch;

use crate::decider::{self, LEASE_KEY};
use crate::era;
use crate::member;
use crate::plans::read_plan;
use crate::retries;
use crate::state::Node;
use crate::suspect_store;
use crate::unreadable::Part;

/// What was learned.
pub struct Learned {
    /// The items, up to its revision.
    pub batch: Batch,
    /// Whether items that are not in the batch are gone.
    pub whole: bool,
    /// When the store surely held nothing newer.
    pub proven: Proof,
    /// Up to when all that the store held is known, unless a watch was deaf.
    pub contact: Millis,
}

/// What an answer proves of the store's age.
pub enum Proof {
    /// The answer was asked for at that time.
    Read(Millis),
    /// A watch was begun at that time and waited so long.
    Watch(Millis, Millis),
}

/// Takes in what was learned, and keeps it for nodes that ask this one. `before` is the latest
/// position that was known; none at the start.
pub fn take_in(node: &Node, mut learned: Learned, before: Option<Position>) {
    let former = before.filter(|before| before.era() < learned.batch.position.era());
    if let Some(before) = former {
        era::enter(node, before, &mut learned.batch);
    }
    match learned.whole {
        true => node.feed.replace(&learned.batch),
        false => node.feed.extend(&learned.batch),
    }
    let changes = learned.batch.items.len();
    let caught_up = match learned.whole {
        true => take_all(node, learned.batch, former.is_some()),
        false => take_changes(node, learned.batch),
    };
    if caught_up {
        node.record_contact(learned.contact);
        let mut freshness = node.freshness.lock();
        match learned.proven {
            Proof::Read(asked) => freshness.prove_read(asked),
            Proof::Watch(asked, waited) => freshness.prove_watch(asked, waited),
        }
    }
    if changes > 0 {
        node.fleet_changed.notify_one();
    }
}

/// Takes all in that the store holds. `back` says that it came back from an older copy.
fn take_all(node: &Node, batch: Batch, back: bool) -> bool {
    let mut runners = Vec::new();
    let mut decider = None;
    let mut caught_up = true;
    let position = batch.position;
    let mut suspects = HashSet::new();
    let mut nodes = HashSet::new();
    for item in batch.items {
        match decode(item) {
            Ok(Change::Runner(runner)) => runners.push(runner),
            Ok(Change::Own(item)) if item.key == LEASE_KEY => decider = Some(decider::read_holder(&item)),
            Ok(Change::Own(item)) => {
                suspects
                    .extend(suspect_store::read_entry(&item).and_then(Result::ok).map(|row| row.fingerprint));
                nodes.extend(member::read_name(&item.key));
                take_own(node, &item);
            }
            other => caught_up &= take_change(node, other),
        }
    }
    log::info!("store: read whole at revision {position}, {} runners", runners.len());
    // What a copy lacks was not removed by operators.
    if !back {
        suspect_store::retain_entries(node, &suspects);
        node.directory.lock().retain(|name| nodes.contains(name));
        retries::update_budget(node);
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

fn take_changes(node: &Node, batch: Batch) -> bool {
    let mut caught_up = true;
    for item in batch.items {
        caught_up &= take_change(node, decode(item));
    }
    caught_up
}

/// Takes a change in. Returns false if the configuration held here is older
/// than the one in the store now.
fn take_change(node: &Node, change: Result<Change, ItemError>) -> bool {
    match change {
        Ok(Change::Catalog(catalog)) => take_catalog(node, catalog),
        Ok(Change::Runner(runner)) => {
            log::debug!("roster: {} is {:?} draining {}", runner.id, runner.membership, runner.draining);
            node.insert_runner(runner);
        }
        Ok(Change::RunnerRemoved(id)) => {
            log::info!("roster: the entry of {id} is gone");
            node.roster.lock().remove(&id, node.now());
            if node.roster.lock().get(&id).is_none() {
                node.ledger.lock().forget(&id);
            }
        }
        Ok(Change::Own(item)) => take_own(node, &item),
        Ok(Change::OwnRemoved(key)) => take_own_gone(node, &key),
        Ok(Change::Foreign(key)) => node.report_invalid_item(&key, Part::Foreign, "key", "nothing of ours"),
        Err(error @ ItemError::Catalog(_)) => {
            node.report_invalid_item("catalog", Part::Catalog, "form", error);
            return false;
        }
        Err(ItemError::Runner(name, error)) => {
            node.report_invalid_item(&name, Part::Runner, error.reason(), &error);
            if let Ok(id) = name.parse() {
                node.discard_runner(&id);
            }
        }
    }
    true
}

fn take_own(node: &Node, item: &Item) {
    if item.key == LEASE_KEY {
        node.decider.send_replace(Some(decider::read_holder(item)));
        return;
    }
    if let Some(entry) = member::read_entry(item) {
        match entry {
            Ok(peer) => {
                node.directory.lock().insert(peer);
                retries::update_budget(node);
            }
            Err(error) => node.report_invalid_item(&item.key, Part::Node, "form", error),
        }
        return;
    }
    if let Some(entry) = suspect_store::read_entry(item) {
        match entry {
            Ok(row) => suspect_store::apply_entry(node, &row),
            Err(error) => node.report_invalid_item(&item.key, Part::Suspect, "form", error),
        }
        return;
    }
    match read_plan(item) {
        Ok(Some((domain, document))) => {
            let mut plans = node.plans.lock();
            plans.insert(domain, document);
            node.stalls.lock().update(&plans, node.now());
            drop(plans);
            node.plans_changed.send_modify(|version| *version += 1);
        }
        Ok(None) => node.report_invalid_item(&item.key, Part::Foreign, "key", "of no kind that is known"),
        // The groups that were known go on; the deciding node leaves the domain alone.
        Err(error) => node.report_invalid_item(&item.key, Part::Plan, "form", error),
    }
}

fn take_own_gone(node: &Node, key: &str) {
    if key == LEASE_KEY {
        node.decider.send_replace(None);
    } else if let Some(name) = member::read_name(key) {
        if name == node.settings().node {
            node.entry_gone.notify_one();
        }
        node.directory.lock().remove(&name);
        retries::update_budget(node);
    } else if !suspect_store::apply_removal(node, key) {
        log::warn!("store: `{key}` was removed");
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
