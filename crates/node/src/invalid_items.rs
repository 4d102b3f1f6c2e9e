//! What the log tells of items that cannot be read: one line for each and each change of it,
//! however often it changes.

use std::collections::HashMap;

use cottoncrank::Millis;

/// The log tells of one key this often at the most.
const LOG_INTERVAL: Millis = Millis(1000);

/// So many keys are remembered; beyond that all are forgotten, and told of once more.
const MAX_KEYS: usize = 1000;

/// What an item is, as its key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemKind {
    /// A runner's entry.
    Runner,
    /// The operators' configuration.
    Catalog,
    /// A plan.
    Plan,
    /// A node's entry.
    Node,
    /// What is known of a request that ends runners.
    Suspect,
    /// Something that is no one's here.
    Foreign,
}

impl ItemKind {
    /// The name that logs and metrics use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ItemKind::Runner => "runner",
            ItemKind::Catalog => "catalog",
            ItemKind::Plan => "plan",
            ItemKind::Node => "node",
            ItemKind::Suspect => "suspect",
            ItemKind::Foreign => "foreign",
        }
    }
}

/// When the log last told of each key.
#[derive(Debug, Default)]
pub(crate) struct InvalidItems(HashMap<String, Millis>);

impl InvalidItems {
    /// Whether the log tells of a key at `now`.
    pub(crate) fn should_log(&mut self, key: &str, now: Millis) -> bool {
        if self.0.get(key).is_some_and(|logged| now < *logged + LOG_INTERVAL) {
            return false;
        }
        if self.0.len() >= MAX_KEYS {
            self.0.clear();
        }
        self.0.insert(key.to_owned(), now);
        true
    }
}
