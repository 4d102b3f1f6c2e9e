//! What a node carries over when the store comes back from an older copy.
//!
//! Operators and runners write again what was theirs. What the nodes themselves had written since
//! the copy is known to them alone: plans are put back by the next deciding node, which finds
//! them among what this one passes on, under the position that they had; requests that end
//! runners are written again by those that know of them. Until an operator has written again,
//! the configuration that was in force stays so, here and at nodes that learn from this one.

use cottoncrank::id;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::item::{Change, Raw, decode, is_catalog};
use cottoncrank_platform::store::Batch;

use crate::figures;
use crate::plans::decode_plan;
use crate::state::Node;

/// What a value that nodes or operators keep in force says of its age: the greater, the later.
/// None for all other items, which their writers write again.
fn read_version(raw: &Raw) -> Option<u64> {
    match decode(raw.clone()) {
        Ok(Change::Catalog(catalog)) => Some(catalog.version),
        Ok(Change::Own(item)) => Some(decode_plan(&item).ok()??.1.version),
        _ => None,
    }
}

/// Takes in that the store has come back from an older copy, which `batch` is all of. What was
/// in force here and is later than that takes its place.
pub(crate) fn apply_restore(node: &Node, former_position: Position, batch: &mut Batch) {
    log::warn!(
        "sync: the store came back from an older copy: at {}, after {former_position}",
        batch.position
    );
    figures::count_era();
    node.store.raise_era(batch.position.era());
    // Runners write their entries again within seconds; none is given up for that.
    node.roster.lock().start_grace_period(node.now());
    node.suspects.lock().forget_stored();
    let held = node.feed.list(|raw| read_version(raw).is_some());
    for raw in held {
        carry_over(batch, raw);
    }
}

/// Puts an item that is held here into a batch that has an earlier one, or none.
fn carry_over(batch: &mut Batch, held: Raw) {
    let index = batch.items.iter().position(|raw| raw.key == held.key);
    let stored_version = index.and_then(|index| read_version(&batch.items[index]));
    if stored_version >= read_version(&held) {
        return;
    }
    let kind = if is_catalog(&held) { "catalog" } else { "plan" };
    log::info!("sync: `{}` of {} is kept, the store has an older one", held.key, held.position);
    figures::count_carried(kind);
    match index {
        Some(index) => batch.items[index] = held,
        None => batch.items.push(held),
    }
}

/// The plans that this node has carried over from before an era, and the store may lack.
pub(crate) fn list_carried_plans(node: &Node, era: Era) -> Vec<(id::Domain, Document)> {
    let former = node.feed.list(|raw| raw.position.era() < era);
    let plans = former.into_iter().filter_map(|raw| match decode(raw) {
        Ok(Change::Own(item)) => decode_plan(&item).ok()?,
        _ => None,
    });
    plans.collect()
}
