//! Carries data over into a new store era, which begins when the store is restored from an older copy.
//!
//! Operators and runners write their own items again. What the nodes have written since the copy was
//! made is known only to the nodes. The next decider writes the plans again; it finds them in this
//! node's feed, with the store positions that they had. Requests that crash runners are written again by
//! the nodes that know of them. The configuration that was in force stays in force until an operator
//! writes it again, at this node and at nodes that poll it.

use cottoncrank::id;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::item::{Change, RawItem, decode, is_catalog};
use cottoncrank_platform::store::Batch;

use crate::plans::decode_plan;
use crate::state::Node;
use crate::telemetry;

/// Returns the version of a configuration or a plan; a greater version is newer. Returns `None` for all
/// other items, which their writers write again.
fn read_version(raw: &RawItem) -> Option<u64> {
    match decode(raw.clone()) {
        Ok(Change::Catalog(catalog)) => Some(catalog.version),
        Ok(Change::Own(item)) => Some(decode_plan(&item).ok()??.1.version),
        _ => None,
    }
}

/// Applies the restore of the store from an older copy. `batch` is the whole content of that copy.
/// Configurations and plans held here that are newer replace those in the batch.
pub(crate) fn apply_restore(node: &Node, former_position: Position, batch: &mut Batch) {
    log::warn!(
        "sync: the store came back from an older copy: at {}, after {former_position}",
        batch.position
    );
    telemetry::count_era();
    node.store.raise_era(batch.position.era());
    // Runners write their entries again within seconds. The grace period keeps them until then.
    node.roster.lock().start_grace_period(node.now());
    node.suspects.lock().forget_stored();
    let held = node.feed.list(|raw| read_version(raw).is_some());
    for raw in held {
        carry_over(batch, raw);
    }
}

/// Puts an item that is held here into the batch, if the batch has an older version of it or none.
fn carry_over(batch: &mut Batch, held: RawItem) {
    let index = batch.items.iter().position(|raw| raw.key == held.key);
    let stored_version = index.and_then(|index| read_version(&batch.items[index]));
    if stored_version >= read_version(&held) {
        return;
    }
    let kind = if is_catalog(&held) { "catalog" } else { "plan" };
    log::info!("sync: `{}` of {} is kept, the store has an older version or none", held.key, held.position);
    telemetry::count_carried_item(kind);
    match index {
        Some(index) => batch.items[index] = held,
        None => batch.items.push(held),
    }
}

/// Lists the plans that this node has carried over from before `era`, which the store may lack.
pub(crate) fn list_carried_plans(node: &Node, era: Era) -> Vec<(id::Domain, Document)> {
    let former = node.feed.list(|raw| raw.position.era() < era);
    let plans = former.into_iter().filter_map(|raw| match decode(raw) {
        Ok(Change::Own(item)) => decode_plan(&item).ok()?,
        _ => None,
    });
    plans.collect()
}
