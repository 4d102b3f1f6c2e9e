//! Reads and writes the domain plans in the store.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::plan::{self, Document};
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::{Change, Item, decode, format_own_key};
use cottoncrank_platform::store::StoreError;
use thiserror::Error;

use crate::invalid_items::ItemKind;
use crate::state::Node;

/// The key prefix of the plans. The name of the fabric domain follows.
const PREFIX: &str = "plan/";

/// A plan that cannot be encoded or decoded.
#[derive(Debug, Error)]
#[error("the plan `{key}` cannot be encoded or decoded: {reason}")]
pub struct PlanError {
    key: String,
    reason: String,
}

/// A plan and its position in the store.
pub(crate) struct StoredPlan {
    /// The store position of the plan; `None` if the store does not hold it.
    pub(crate) position: Option<Position>,
    /// Whether the position is that of a write of several plans, of which each may have a revision of its own.
    pub(crate) shared: bool,
    /// The plan.
    pub(crate) document: Document,
}

/// The plans as last read from or written to the store.
#[derive(Default)]
pub(crate) struct Plans {
    /// The valid plans.
    pub(crate) stored: BTreeMap<id::Domain, StoredPlan>,
    /// Domains that are not planned, because their plan is invalid or lost.
    pub(crate) closed: BTreeSet<id::Domain>,
    /// When the plans were last read.
    pub(crate) read_at: Millis,
}

impl Plans {
    /// Returns the plan of each domain.
    pub(crate) fn list_documents(&self) -> plan::Plans {
        self.stored.iter().map(|(domain, stored)| (domain.clone(), stored.document.clone())).collect()
    }
}

/// Returns the position of a plan in the store. The answer to a write of several plans names one position; then it
/// is the one at which this node has seen this very plan since.
pub(crate) fn find_position(node: &Node, domain: &id::Domain, stored: &StoredPlan) -> Option<Position> {
    let era = stored.position.filter(|_| stored.shared).map(Position::era);
    let Some(era) = era else { return stored.position };
    let raw = node.feed.find(&format_own_key(&format!("{PREFIX}{domain}")));
    let item = raw.filter(|raw| raw.position.era() == era).and_then(|raw| match decode(raw) {
        Ok(Change::Own(item)) => Some(item),
        _ => None,
    });
    let is_same = |item: &Item| {
        let seen = decode_plan(item).ok().flatten();
        seen.is_some_and(|(_, document)| document == stored.document)
    };
    item.filter(is_same).map(|item| item.position).or(stored.position)
}

/// Reads all plans. A domain whose plan is invalid is closed, because its groups are not known. All
/// other domains are planned.
pub(crate) async fn read_plans(node: &Node) -> Result<Plans, StoreError> {
    let mut plans = Plans { read_at: node.now(), ..Plans::default() };
    for item in node.store.read_own_items(PREFIX).await? {
        match decode_plan(&item) {
            Ok(Some((domain, document))) => {
                plans
                    .stored
                    .insert(domain, StoredPlan { position: Some(item.position), shared: false, document });
            }
            Ok(None) => {}
            Err(error) => {
                let detail = format_args!("{error}; the domain is not planned");
                node.log_invalid_item(&item.key, ItemKind::Plan, "form", detail);
                plans.closed.extend(parse_domain(&item.key).and_then(Result::ok));
            }
        }
    }
    metrics::gauge!("cottoncrank_domains_closed").set(plans.closed.len() as f64);
    Ok(plans)
}

/// Returns the domain whose plan has this key, if the key is that of a plan.
fn parse_domain(key: &str) -> Option<Result<id::Domain, id::IdError>> {
    key.strip_prefix(PREFIX).map(str::parse)
}

/// Decodes a plan. Returns `None` if the item is something else.
pub fn decode_plan(item: &Item) -> Result<Option<(id::Domain, Document)>, PlanError> {
    let invalid = |reason: String| PlanError { key: item.key.clone(), reason };
    let Some(domain) = parse_domain(&item.key) else { return Ok(None) };
    let domain = domain.map_err(|error| invalid(error.to_string()))?;
    let mut rest = &item.value[..];
    let mut document: Document =
        rmp_serde::from_read(&mut rest).map_err(|error| invalid(error.to_string()))?;
    document.check().map_err(|flaw| invalid(flaw.to_string()))?;
    if let Err(error) = decode_notes(rest, &mut document) {
        // The groups are known without them.
        log::warn!("store: the notes behind `{}` cannot be decoded: {error}", item.key);
    }
    Ok(Some((domain, document)))
}

/// Decodes what follows a document: the places of its members, and whether callers have sent requests.
/// Earlier builds wrote the first alone, or neither.
fn decode_notes(mut rest: &[u8], document: &mut Document) -> Result<(), rmp_serde::decode::Error> {
    if !rest.is_empty() {
        document.places = rmp_serde::from_read(&mut rest)?;
    }
    if !rest.is_empty() {
        document.served = rmp_serde::from_read(&mut rest)?;
    }
    Ok(())
}

/// Returns the key and the value of a plan in the store. The notes follow the document: earlier builds read
/// no further than its end, or than the places, and could not read it if it were longer.
pub fn encode_plan(domain: &id::Domain, document: &Document) -> Result<(String, Vec<u8>), PlanError> {
    let key = format!("{PREFIX}{domain}");
    match encode_parts(document) {
        Ok(bytes) => Ok((key, bytes)),
        Err(error) => Err(PlanError { key, reason: error.to_string() }),
    }
}

fn encode_parts(document: &Document) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(document)?;
    if !document.places.is_empty() || document.served {
        bytes.extend(rmp_serde::to_vec(&document.places)?);
    }
    if document.served {
        bytes.extend(rmp_serde::to_vec(&document.served)?);
    }
    Ok(bytes)
}
