//! The nodes of the fleet, and from which of them a node learns what the store
//! holds. Each call to the store has a price and waits among all others; a few
//! nodes of each data hall make them, and the rest ask those.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cottoncrank::hash::{pick_owners, score};
use cottoncrank::id;
use serde::{Deserialize, Serialize};

/// One node of a hall in this many reads the store: so that a reader, which answers
/// the others a few times a second each, has some tens of questions a second. The
/// number is an estimate; others were not tried.
pub const NODES_PER_READER: usize = 12;

/// The key by which readers are chosen among the nodes of a hall.
const READERS: &str = "readers";

/// The key by which the collector of a hall is chosen.
const COLLECTOR: &str = "collector";

/// A node as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// Where other nodes reach it.
    pub address: SocketAddr,
}

/// The nodes known of.
#[derive(Clone, Debug, Default)]
pub struct Directory(BTreeMap<id::Node, Peer>);

impl Directory {
    /// A node has told of itself.
    pub fn put(&mut self, peer: Peer) {
        self.0.insert(peer.node.clone(), peer);
    }

    /// A node is gone.
    pub fn remove(&mut self, node: &id::Node) {
        self.0.remove(node);
    }

    /// A node.
    pub fn get(&self, node: &id::Node) -> Option<&Peer> {
        self.0.get(node)
    }

    /// How many nodes there are, this one included, whether or not it is listed.
    pub fn count(&self) -> usize {
        self.0.len().max(1)
    }

    /// The nodes that `me` may ask, best first. None if it is to read the store.
    pub fn list_sources(&self, me: &id::Node, hall: &id::Hall) -> Vec<Peer> {
        let here: Vec<&Peer> = self.0.values().filter(|peer| peer.hall == *hall).collect();
        let readers = here.len().div_ceil(NODES_PER_READER);
        let owners = pick_owners(READERS, here.iter().map(|peer| peer.node.as_str()), readers);
        if owners.contains(&me.as_str()) {
            return Vec::new();
        }
        let mut sources: Vec<Peer> =
            here.into_iter().filter(|peer| owners.contains(&peer.node.as_str())).cloned().collect();
        // Each node has its own order, so that the readers of a hall share the work.
        sources.sort_by_key(|peer| score(me.as_str(), peer.node.as_str()));
        sources
    }

    /// The halls there are nodes in.
    pub fn list_halls(&self) -> BTreeSet<&id::Hall> {
        self.0.values().map(|peer| &peer.hall).collect()
    }

    /// The nodes of a hall in the order in which they collect its reports: the
    /// first does, unless it does not answer.
    pub fn list_collectors(&self, hall: &id::Hall) -> Vec<&Peer> {
        let here: Vec<&Peer> = self.0.values().filter(|peer| peer.hall == *hall).collect();
        let names = here.iter().map(|peer| peer.node.as_str());
        let ranked = pick_owners(COLLECTOR, names, here.len());
        ranked
            .into_iter()
            .filter_map(|name| here.iter().copied().find(|peer| peer.node.as_str() == name))
            .collect()
    }
}
