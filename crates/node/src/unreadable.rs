//! What the log tells of items that cannot be read: one line for each and each change of it,
//! however often it changes.

use std::collections::HashMap;

use cottoncrank::Millis;

/// The log tells of one key this often at the most.
const PAUSE: Millis = Millis(1000);

/// So many keys are remembered; beyond that all are forgotten, and told of once more.
const KEYS_MAX: usize = 1000;

/// What an item is, as its key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
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

impl Part {
    /// The name that logs and metrics use.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Part::Runner => "runner",
            Part::Catalog => "catalog",
            Part::Plan => "plan",
            Part::Node => "node",
            Part::Suspect => "suspect",
            Part::Foreign => "foreign",
        }
    }
}

/// When the log last told of each key.
#[derive(Debug, Default)]
pub(crate) struct Unreadable(HashMap<String, Millis>);

impl Unreadable {
    /// Whether the log tells of a key at `now`.
    pub(crate) fn tells(&mut self, key: &str, now: Millis) -> bool {
        if self.0.get(key).is_some_and(|told| now < *told + PAUSE) {
            return false;
        }
        if self.0.len() >= KEYS_MAX {
            self.0.clear();
        }
        self.0.insert(key.to_owned(), now);
        true
    }
}
