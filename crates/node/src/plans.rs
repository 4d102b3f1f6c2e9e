//! The plans of groups as they stand in the store.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::plan::{self, Document};
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::Item;
use cottoncrank_platform::store::StoreError;
use thiserror::Error;

use crate::state::Node;

/// The prefix of the plans; a fabric domain's name follows.
const PREFIX: &str = "plan/";

/// A plan that cannot be read or written.
#[derive(Debug, Error)]
#[error("the plan `{key}` cannot be encoded or decoded: {reason}")]
pub struct PlanError {
    key: String,
    reason: String,
}

/// A plan as it stands in the store.
pub(crate) struct StoredPlan {
    /// None if the store does not hold it.
    pub(crate) position: Option<Position>,
    /// The plan.
    pub(crate) document: Document,
}

/// The plans as they stand in the store.
#[derive(Default)]
pub(crate) struct Plans {
    /// Those that can be read.
    pub(crate) stored: BTreeMap<id::Domain, StoredPlan>,
    /// Domains whose plan cannot be read.
    pub(crate) closed: BTreeSet<id::Domain>,
    /// When they were read.
    pub(crate) read_at: Millis,
}

impl Plans {
    /// What is planned, by domain.
    pub(crate) fn list_documents(&self) -> plan::Plans {
        self.stored.iter().map(|(domain, stored)| (domain.clone(), stored.document.clone())).collect()
    }
}

/// Reads all plans. A domain whose plan cannot be read is left alone, for its groups are not
/// known; all others are decided.
pub(crate) async fn read_plans(node: &Node) -> Result<Plans, StoreError> {
    let mut plans = Plans { read_at: node.now(), ..Plans::default() };
    for item in node.store.read_own().await? {
        match decode_plan(&item) {
            Ok(Some((domain, document))) => {
                plans.stored.insert(domain, StoredPlan { position: Some(item.position), document });
            }
            Ok(None) => {}
            Err(error) => {
                log::error!("decider: {error}; nothing is decided in that domain");
                plans.closed.extend(parse_domain(&item.key).and_then(Result::ok));
            }
        }
    }
    metrics::gauge!("cottoncrank_domains_closed").set(plans.closed.len() as f64);
    Ok(plans)
}

/// The domain whose plan stands under a key, if it is a plan's.
fn parse_domain(key: &str) -> Option<Result<id::Domain, id::IdError>> {
    key.strip_prefix(PREFIX).map(str::parse)
}

/// Reads a plan, if the item is one.
pub fn decode_plan(item: &Item) -> Result<Option<(id::Domain, Document)>, PlanError> {
    let invalid = |reason: String| PlanError { key: item.key.clone(), reason };
    let Some(domain) = parse_domain(&item.key) else { return Ok(None) };
    let domain = domain.map_err(|error| invalid(error.to_string()))?;
    let document: Document =
        rmp_serde::from_slice(&item.value).map_err(|error| invalid(error.to_string()))?;
    document.check().map_err(|flaw| invalid(flaw.to_string()))?;
    Ok(Some((domain, document)))
}

/// The key and the value under which a plan is written.
pub(crate) fn encode_plan(domain: &id::Domain, document: &Document) -> Result<(String, Vec<u8>), PlanError> {
    let key = format!("{PREFIX}{domain}");
    match rmp_serde::to_vec(document) {
        Ok(bytes) => Ok((key, bytes)),
        Err(error) => Err(PlanError { key, reason: error.to_string() }),
    }
}
