//! Logs which halls have cold runners.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;

use crate::state::Node;

/// The cold runners as last logged, by hall.
#[derive(Default)]
pub(crate) struct ColdLog(BTreeMap<id::Hall, BTreeSet<id::Runner>>);

impl ColdLog {
    /// Logs what changed since the last call, with one line for each hall, because all runners of a hall
    /// may become cold at once.
    pub(crate) fn update(&mut self, node: &Node) {
        let current = list_cold(node);
        let previous = std::mem::replace(&mut self.0, current);
        let halls: BTreeSet<&id::Hall> = self.0.keys().chain(previous.keys()).collect();
        let none = BTreeSet::new();
        for hall in halls {
            let (current, before) = (self.0.get(hall).unwrap_or(&none), previous.get(hall).unwrap_or(&none));
            let (began, ended) = (current.difference(before).count(), before.difference(current).count());
            if began + ended > 0 {
                log::info!(
                    "cold start: {hall}: {began} runners began, {ended} ended, {} are cold",
                    current.len()
                );
            }
        }
    }
}

/// Lists the cold runners by hall.
fn list_cold(node: &Node) -> BTreeMap<id::Hall, BTreeSet<id::Runner>> {
    let (roster, now) = (node.roster.lock(), node.now());
    let mut halls: BTreeMap<id::Hall, BTreeSet<id::Runner>> = BTreeMap::new();
    for runner in roster.iter().filter(|runner| roster.is_cold(&runner.id, now)) {
        halls.entry(runner.hall.clone()).or_default().insert(runner.id.clone());
    }
    halls
}
