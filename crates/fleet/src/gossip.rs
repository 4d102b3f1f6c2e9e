//! Exchange of suspected requests, piggybacked on the messages that nodes exchange anyway.
//!
//! A node sends its collector what it has seen, collectors send each other what their halls have seen,
//! and a collector answers its nodes with what they need to know. Each side remembers up to which
//! version the other one is informed, so that an exchange without changes costs a few bytes. Rows may
//! arrive twice or late, because merging one again changes nothing.

use std::collections::HashMap;

use cottoncrank::id;
use serde::{Deserialize, Serialize};

use crate::evidence::Row;
use crate::occupancy::Scope;
use crate::suspects::{Audience, Table};

/// The maximum number of rows in a message, some 100 bytes each. All that a node has in flight at a
/// runner fits.
pub const MAX_ROWS: usize = 256;

/// A version of one node's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Identifies the process: after a restart, a node knows nothing of what was sent before.
    pub instance: u64,
    /// The version of the table.
    pub version: u64,
}

/// What the querying node sends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The changes in its hall.
    pub rows: Vec<Row>,
    /// Up to which mark it has received the rows of the other node.
    pub heard: Option<Mark>,
}

/// What the queried node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// What the querying node needs to know.
    pub rows: Vec<Row>,
    /// The mark up to which the rows are complete.
    pub mark: Mark,
}

/// The state of the exchange with another node.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// The version of this node's table up to which the other node is informed.
    sent: u64,
    /// The mark up to which this node is informed by the other one.
    received: Option<Mark>,
}

/// The state of the exchange with each queried node.
#[derive(Clone, Debug, Default)]
pub struct Peers(HashMap<id::Node, Peer>);

impl Peers {
    /// Returns the push for a node, and the version up to which it is complete.
    pub fn build_push(&self, table: &Table, to: &id::Node) -> (Push, u64) {
        let peer = self.0.get(to).copied().unwrap_or_default();
        let (rows, version) = table.list_updates(peer.sent, Audience::Collector, MAX_ROWS);
        (Push { rows, heard: peer.received }, version)
    }

    /// Records that a node answered a push that was complete up to `version`.
    pub fn record_pull(&mut self, from: &id::Node, version: u64, mark: Mark) {
        let peer = self.0.entry(from.clone()).or_default();
        let restarted = peer.received.is_some_and(|received| received.instance != mark.instance);
        peer.sent = if restarted { 0 } else { version };
        peer.received = Some(mark);
    }
}

/// Returns the answer to a push. It has no rows for collectors of other halls, which receive them by
/// pushes.
pub fn build_pull(table: &Table, instance: u64, push: &Push, scope: Scope) -> Pull {
    let known =
        push.heard.filter(|received| received.instance == instance).map_or(0, |received| received.version);
    let (rows, version) = match scope {
        Scope::Node => table.list_updates(known, Audience::Node, MAX_ROWS),
        Scope::Hall => (Vec::new(), table.version()),
    };
    Pull { rows, mark: Mark { instance, version } }
}
