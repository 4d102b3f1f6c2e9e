//! Applies updates of the store to the node's state, whether they come from the store or another node.

use std::collections::HashSet;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::evacuation::End;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::item::{Change, Item, ItemError, decode};
use cottoncrank_platform::store::Batch;

use crate::decider::{self, LEASE_KEY};
use crate::era;
use crate::evacuation;
use crate::invalid_items::ItemKind;
use crate::plans::decode_plan;
use crate::registration;
use crate::retries;
use crate::state::Node;
use crate::suspect_store;

/// Changes of the store, or its whole content.
pub struct Update {
    /// The items, and the store position up to which they are complete.
    pub batch: Batch,
    /// How much of the store the batch holds.
    pub extent: Extent,
    /// The proof of freshness: when the store is known to have held nothing newer.
    pub proof: Proof,
    /// The time up to which all changes of the store are known, unless a watch failed silently.
    pub last_contact: Millis,
}

/// How much of the store a batch holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// What has changed.
    Changes,
    /// Everything, so that items that are not in it are gone.
    Whole,
    /// A part. What is not in it may exist.
    Part,
}

impl Extent {
    /// Returns the extent of a batch that is whole or else holds changes.
    pub fn from_whole(whole: bool) -> Extent {
        if whole { Extent::Whole } else { Extent::Changes }
    }
}

/// What an answer proves about the freshness of the node's copy.
pub enum Proof {
    /// The answer holds everything that the store held at this time, or at least the operators' items.
    Read(Millis),
    /// Nothing, as operators' items may be missing.
    None,
    /// A watch began at this time and waited for this long.
    Watch(Millis, Millis),
}

/// Applies an update, and adds it to the feed for nodes that poll this one. `before` is the latest
/// store position that was known before the update; `None` at the start.
pub fn apply_update(node: &Node, mut update: Update, before: Option<Position>) {
    let former = before.filter(|before| before.era() < update.batch.position.era());
    if let Some(before) = former {
        era::apply_restore(node, before, &mut update.batch);
    }
    if update.extent == Extent::Whole {
        era::record_held(node, &update.batch);
        evacuation::carry_over(node, &mut update.batch, former.is_some());
    }
    match update.extent {
        Extent::Whole => node.feed.replace(&update.batch),
        Extent::Changes => node.feed.extend(&update.batch),
        // Other nodes would take it for more than it is.
        Extent::Part => {}
    }
    let changes = update.batch.items.len();
    let caught_up = match update.extent {
        Extent::Whole => apply_all(node, update.batch, former.is_some()),
        Extent::Changes => apply_changes(node, update.batch),
        Extent::Part => apply_part(node, update.batch, matches!(update.proof, Proof::Read(_))),
    };
    node.set_knows_part(update.extent);
    if caught_up {
        if update.extent != Extent::Part {
            node.record_contact(update.last_contact);
        }
        let mut freshness = node.freshness.lock();
        match update.proof {
            Proof::Read(asked) => freshness.prove_read(asked),
            Proof::Watch(asked, waited) => freshness.prove_watch(asked, waited),
            Proof::None => {}
        }
    }
    node.log_first_ready();
    if changes > 0 {
        node.fleet_changed.notify_one();
    }
}

/// Applies the whole content of the store. `restored` says that the store was restored from an older
/// copy. Returns false if the configuration held here is older than the store's.
fn apply_all(node: &Node, batch: Batch, restored: bool) -> bool {
    let mut runners = Vec::new();
    let mut decider = None;
    let mut caught_up = true;
    let position = batch.position;
    let mut suspects = HashSet::new();
    let mut nodes = HashSet::new();
    let mut evacuations = Vec::new();
    for item in batch.items {
        match decode(item) {
            Ok(Change::Runner(runner)) => runners.push(runner),
            Ok(Change::Own(item)) if item.key == LEASE_KEY => decider = Some(decider::decode_holder(&item)),
            Ok(Change::Own(item)) => {
                suspects
                    .extend(suspect_store::read_entry(&item).and_then(Result::ok).map(|row| row.fingerprint));
                nodes.extend(registration::parse_key(&item.key));
                apply_own_item(node, &item);
            }
            Ok(Change::Evacuation(request)) => evacuations.push(request),
            other => caught_up &= apply_change(node, other, position.era()),
        }
    }
    let halls = runners.iter().map(|runner| runner.hall.clone()).collect();
    evacuation::apply_whole(node, &evacuations, position.era(), &halls);
    log::info!("store: read whole at revision {position}, {} runners", runners.len());
    // An entry that is missing in an older copy was not removed by an operator.
    if !restored {
        suspect_store::retain_entries(node, &suspects);
        node.directory.lock().retain(|name| nodes.contains(name));
    }
    let own = &node.settings().node;
    if !nodes.contains(own) {
        node.directory.lock().remove(own);
        node.entry_gone.notify_one();
    }
    retries::record_members(node);
    node.roster.lock().replace(runners, node.now());
    node.decider.send_replace(decider);
    node.set_synced();
    caught_up
}

/// Applies a part of the content of the store. Nothing that it lacks counts as gone, but for requests to evacuate if
/// `has_operators`: then it has all operators' items.
fn apply_part(node: &Node, batch: Batch, has_operators: bool) -> bool {
    let mut runners = Vec::new();
    let mut evacuations = Vec::new();
    let mut caught_up = true;
    let position = batch.position;
    for item in batch.items {
        match decode(item) {
            Ok(Change::Runner(runner)) => runners.push(runner),
            Ok(Change::Evacuation(request)) if has_operators => evacuations.push(request),
            other => caught_up &= apply_change(node, other, position.era()),
        }
    }
    log::info!("store: read in part at revision {position}, {} runners", runners.len());
    let knows_runners = !runners.is_empty();
    node.roster.lock().merge(runners, node.now());
    if has_operators {
        let halls = node.roster.lock().list_halls();
        evacuation::apply_whole(node, &evacuations, position.era(), &halls);
    }
    if knows_runners {
        node.set_synced();
    }
    caught_up
}

fn apply_changes(node: &Node, batch: Batch) -> bool {
    let mut caught_up = true;
    for item in batch.items {
        caught_up &= apply_change(node, decode(item), batch.position.era());
    }
    caught_up
}

/// Applies a change to the store in `era`. Returns false if the configuration held here is older than
/// the store's.
fn apply_change(node: &Node, change: Result<Change, ItemError>, era: Era) -> bool {
    match change {
        Ok(Change::Catalog(catalog)) => apply_catalog(node, catalog),
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
        Ok(Change::Evacuation(request)) => {
            let halls = node.roster.lock().list_halls();
            evacuation::apply_request(node, &request, era, &halls);
        }
        Ok(Change::EvacuationWithdrawn(hall)) => evacuation::end(node, &hall, End::Withdrawn),
        Err(ItemError::Evacuation(key, error)) => {
            node.report_invalid_item(&key, ItemKind::Evacuation, "key", error)
        }
        Ok(Change::Own(item)) => apply_own_item(node, &item),
        Ok(Change::OwnRemoved(key)) => apply_own_removal(node, &key),
        Ok(Change::Foreign(key)) => {
            node.report_invalid_item(&key, ItemKind::Foreign, "key", "the key is not one of this system")
        }
        Err(error @ ItemError::Catalog(_)) => {
            node.report_invalid_item("catalog", ItemKind::Catalog, "form", error);
            return false;
        }
        Err(ItemError::Runner(name, error)) => {
            node.report_invalid_item(&name, ItemKind::Runner, error.reason(), &error);
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
                retries::record_members(node);
            }
            Err(error) => node.report_invalid_item(&item.key, ItemKind::Node, "form", error),
        }
        return;
    }
    if let Some(entry) = suspect_store::read_entry(item) {
        match entry {
            Ok(row) => suspect_store::apply_entry(node, &row),
            Err(error) => node.report_invalid_item(&item.key, ItemKind::Suspect, "form", error),
        }
        return;
    }
    match decode_plan(item) {
        Ok(Some((domain, document))) => {
            let mut plans = node.plans.lock();
            plans.insert(domain, document);
            node.stalls.lock().update(&plans, node.now());
            drop(plans);
            node.plans_changed.send_modify(|version| *version += 1);
        }
        Ok(None) => {
            node.report_invalid_item(&item.key, ItemKind::Foreign, "key", "the key is of no known kind")
        }
        // The known groups keep serving, and the decider does not plan the domain.
        Err(error) => node.report_invalid_item(&item.key, ItemKind::Plan, "form", error),
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
        retries::record_members(node);
    } else if !suspect_store::apply_removal(node, key) {
        node.invalid_items.log_removal(key);
    }
}

fn apply_catalog(node: &Node, catalog: Catalog) {
    let mut held = node.catalog.lock();
    let held_version = held.as_ref().map(|catalog| catalog.version);
    if held_version.is_some_and(|held| catalog.version < held) {
        log::error!(
            "catalog: the store has version {}, older than {held_version:?} here; keeping the newer one",
            catalog.version
        );
        return;
    }
    if held_version != Some(catalog.version) {
        log::info!("catalog: version {} is in force, {} routes", catalog.version, catalog.count_routes());
        for model in &catalog.unusable_models {
            log::error!("catalog: {model} is not used, its groups have no runners");
        }
    }
    let catalog = Arc::new(catalog);
    *held = Some(catalog.clone());
    drop(held);
    node.roster.lock().configure_cold_starts(&catalog);
}
