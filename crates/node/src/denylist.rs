//! Nodes that did not answer and are not asked for a while.

use cottoncrank::{Millis, id};

/// Nodes, and until when they are passed over.
#[derive(Debug, Default)]
pub(crate) struct Denylist(Vec<(id::Node, Millis)>);

impl Denylist {
    /// Passes a node over until then.
    pub(crate) fn insert(&mut self, node: id::Node, until: Millis) {
        self.0.push((node, until));
    }

    /// Forgets those whose time is over.
    pub(crate) fn evict_expired(&mut self, now: Millis) {
        self.0.retain(|(_, until)| now < *until);
    }

    /// Whether a node is passed over.
    pub(crate) fn contains(&self, node: &id::Node) -> bool {
        self.0.iter().any(|(listed, _)| listed == node)
    }
}
