//! What nodes tell each other of suspected requests, along with what they exchange anyway.
//!
//! A node tells its collector what it has seen; collectors tell each other what their halls
//! have seen; and a collector answers its nodes with what they have to know. Each side keeps
//! in mind up to where the other has been sent, so that an exchange without news costs a few
//! bytes. Rows may arrive twice or late: taking one in again changes nothing.

use std::collections::HashMap;

use cottoncrank::id;
use serde::{Deserialize, Serialize};

use crate::evidence::Row;
use crate::occupancy::Scope;
use crate::suspects::{Audience, Table};

/// Rows sent at once: some 100 bytes each. All that a node has in flight at a runner fits.
pub const MAX_ROWS: usize = 256;

/// A state of one node's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Tells the processes of a node apart: one that has started again knows nothing.
    pub instance: u64,
    /// The version of the table.
    pub version: u64,
}

/// What the asking node tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// What is new in its hall.
    pub rows: Vec<Row>,
    /// Up to where it has heard from the other node.
    pub heard: Option<Mark>,
}

/// What the other node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// What the asking node has to know.
    pub rows: Vec<Row>,
    /// Up to where that is all.
    pub mark: Mark,
}

/// What is kept in mind of another node.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// The version of the own table up to which it has been sent.
    sent: u64,
    /// Up to where it has sent.
    received: Option<Mark>,
}

/// What is kept in mind of the nodes asked.
#[derive(Clone, Debug, Default)]
pub struct Peers(HashMap<id::Node, Peer>);

impl Peers {
    /// What to tell a node, and the version up to which that is all.
    pub fn build_push(&self, table: &Table, to: &id::Node) -> (Push, u64) {
        let peer = self.0.get(to).copied().unwrap_or_default();
        let (rows, version) = table.list_updates(peer.sent, Audience::Collector, MAX_ROWS);
        (Push { rows, heard: peer.received }, version)
    }

    /// A node has answered what was sent up to a version.
    pub fn record_pull(&mut self, from: &id::Node, version: u64, mark: Mark) {
        let peer = self.0.entry(from.clone()).or_default();
        let restarted = peer.received.is_some_and(|received| received.instance != mark.instance);
        peer.sent = if restarted { 0 } else { version };
        peer.received = Some(mark);
    }
}

/// What a node answers to one that has asked. Collectors of other halls tell by themselves.
pub fn build_pull(table: &Table, instance: u64, push: &Push, scope: Scope) -> Pull {
    let known =
        push.heard.filter(|received| received.instance == instance).map_or(0, |received| received.version);
    let (rows, version) = match scope {
        Scope::Node => table.list_updates(known, Audience::Node, MAX_ROWS),
        Scope::Hall => (Vec::new(), table.version()),
    };
    Pull { rows, mark: Mark { instance, version } }
}
