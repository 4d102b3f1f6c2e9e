//! A denylist of nodes that did not answer and are not called for a while.

use cottoncrank::{Millis, id};

/// The listed nodes, and until when each is listed.
#[derive(Debug, Default)]
pub(crate) struct Denylist(Vec<(id::Node, Millis)>);

impl Denylist {
    /// Lists a node until `until`.
    pub(crate) fn insert(&mut self, node: id::Node, until: Millis) {
        self.0.push((node, until));
    }

    /// Removes the nodes whose time is over.
    pub(crate) fn evict_expired(&mut self, now: Millis) {
        self.0.retain(|(_, until)| now < *until);
    }

    /// Whether a node is listed.
    pub(crate) fn contains(&self, node: &id::Node) -> bool {
        self.0.iter().any(|(listed, _)| listed == node)
    }
}
