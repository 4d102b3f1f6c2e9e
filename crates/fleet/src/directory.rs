//! The nodes of the fleet and their roles: which of them read the store, collect reports, or may become
//! the decider.
//!
//! Each call to the store has a price and queues behind all others, so only a few nodes of each data
//! hall make them, and the rest query those.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cottoncrank::hash::score;
use cottoncrank::id;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};

/// The number of nodes of its hall that a reader with the minimum CPU serves. It answers each a few
/// times a second, some tens of queries in total. Readers with more CPU serve proportionally more.
pub const NODES_PER_READER: usize = 12;

/// The CPU from which a reader's capacity is scaled, also assumed for nodes that don't report theirs.
const MIN_READER_CPU: Millicores = Millicores(120);

/// The minimum number of readers, unless fewer readers of minimum CPU could serve the hall: the loss of
/// one must not send all other nodes to another hall.
const MIN_READERS: usize = 2;

/// The hash key that orders the readers of a hall.
const READER_KEY: &str = "readers";

/// The hash key that orders the candidates for decider.
const CANDIDATE_KEY: &str = "candidates";

/// The hash key that orders the collectors of a hall.
const COLLECTOR_KEY: &str = "collector";

/// A node as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Its data hall.
    pub hall: id::Hall,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// The CPU it may use.
    #[serde(default)]
    pub processor: Millicores,
}

/// CPU that a node may use, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millicores(pub u32);

/// The known nodes.
#[derive(Clone, Debug, Default)]
pub struct Directory(BTreeMap<id::Node, Peer>);

impl Directory {
    /// Inserts or replaces a node.
    pub fn insert(&mut self, peer: Peer) {
        self.0.insert(peer.node.clone(), peer);
    }

    /// Removes a node.
    pub fn remove(&mut self, node: &id::Node) {
        self.0.remove(node);
    }

    /// Removes all nodes but the known ones.
    pub fn retain(&mut self, known: impl Fn(&id::Node) -> bool) {
        self.0.retain(|node, _| known(node));
    }

    /// Returns a node.
    pub fn get(&self, node: &id::Node) -> Option<&Peer> {
        self.0.get(node)
    }

    /// Returns all nodes but `me`.
    pub fn list_others<'a>(&'a self, me: &'a id::Node) -> impl Iterator<Item = &'a Peer> {
        self.0.values().filter(move |peer| peer.node != *me)
    }

    /// Returns the number of nodes, at least 1 because this one counts even if it is not listed.
    pub fn count(&self) -> usize {
        self.0.len().max(1)
    }

    /// Returns the readers of a hall, in order; the first one reads the store while there is no
    /// decider. Nodes with more CPU come first and serve more, because at a fleet start a reader sends
    /// the full content of the store to each node that queries it.
    pub fn list_readers(&self, hall: &id::Hall) -> Vec<&Peer> {
        let ranked = self.rank(hall, READER_KEY);
        let limit = ranked.len().div_ceil(NODES_PER_READER);
        let mut served = 0;
        let needed = ranked.iter().take_while(|peer| {
            let more = served < ranked.len();
            served +=
                NODES_PER_READER * peer.processor.max(MIN_READER_CPU).0 as usize / MIN_READER_CPU.0 as usize;
            more
        });
        let count = needed.count().max(MIN_READERS).min(limit);
        ranked.into_iter().take(count).collect()
    }

    /// Returns the nodes of a hall in the order of a role: those with more CPU first, equal ones in an
    /// order that differs between roles.
    fn rank(&self, hall: &id::Hall, role: &str) -> Vec<&Peer> {
        let mut ranked: Vec<&Peer> = self.0.values().filter(|peer| peer.hall == *hall).collect();
        ranked.sort_by_cached_key(|peer| (Reverse(peer.processor), Reverse(score(role, peer.node.as_str()))));
        ranked
    }

    /// Returns the readers that `me` may query, best first; none if it is a reader itself.
    pub fn list_local_readers(&self, me: &id::Node, hall: &id::Hall) -> Vec<&Peer> {
        let readers = self.list_readers(hall);
        if readers.iter().any(|peer| peer.node == *me) {
            return Vec::new();
        }
        sort_for(me, readers.into_iter())
    }

    /// Returns the readers of other halls in the order in which `me` queries them, which differs
    /// between nodes.
    pub fn list_remote_readers(&self, me: &id::Node, hall: &id::Hall) -> Vec<&Peer> {
        let halls = self.list_halls().into_iter().filter(|other| *other != hall);
        sort_for(me, halls.flat_map(|other| self.list_readers(other)))
    }

    /// Returns the nodes other than `me` that are no readers, in the order in which it queries them.
    pub fn list_non_readers(&self, me: &id::Node) -> Vec<&Peer> {
        let readers: BTreeSet<&id::Node> = self
            .list_halls()
            .into_iter()
            .flat_map(|hall| self.list_readers(hall))
            .map(|peer| &peer.node)
            .collect();
        let others = self.0.values().filter(|peer| peer.node != *me && !readers.contains(&peer.node));
        sort_for(me, others)
    }

    /// Returns the nodes other than `me` through which it may connect to a runner of a hall, best first:
    /// in turn one of the runner's hall, one of its own and one of each other hall, because all nodes
    /// of a hall may be cut off together. Within a hall the order is random, which spreads the load.
    pub fn list_tunnel_nodes(
        &self,
        me: &id::Node,
        my_hall: &id::Hall,
        runner_hall: &id::Hall,
        rng: &mut impl Rng,
    ) -> Vec<&Peer> {
        let mut halls: BTreeMap<&id::Hall, Vec<&Peer>> = BTreeMap::new();
        for peer in self.0.values().filter(|peer| peer.node != *me) {
            halls.entry(&peer.hall).or_default().push(peer);
        }
        let mut ranked: Vec<(usize, bool, bool, u32, &Peer)> = Vec::new();
        for peers in halls.values_mut() {
            peers.shuffle(rng);
            let (is_far, is_other) = (peers[0].hall != *runner_hall, peers[0].hall != *my_hall);
            let tie_breaker = rng.random();
            let peers = peers.iter().enumerate();
            ranked.extend(peers.map(|(round, peer)| (round, is_far, is_other, tie_breaker, *peer)));
        }
        ranked.sort_by_key(|(round, is_far, is_other, tie_breaker, _)| {
            (*round, *is_far, *is_other, *tie_breaker)
        });
        ranked.into_iter().map(|(.., peer)| peer).collect()
    }

    /// Returns how many nodes come before `me` as candidates for decider. Nodes with more CPU come
    /// first, because deciding takes more of it than serving.
    pub fn rank_candidate(&self, me: &id::Node) -> usize {
        let key = |peer: &Peer| (Reverse(peer.processor), score(CANDIDATE_KEY, peer.node.as_str()));
        let Some(my_key) = self.0.get(me).map(key) else { return self.0.len() };
        self.0.values().filter(|peer| key(peer) < my_key).count()
    }

    /// Returns the names of the nodes of a hall.
    pub fn list_nodes(&self, hall: &id::Hall) -> impl Iterator<Item = &id::Node> {
        self.0.values().filter(move |peer| peer.hall == *hall).map(|peer| &peer.node)
    }

    /// Returns the halls that have nodes.
    pub fn list_halls(&self) -> BTreeSet<&id::Hall> {
        self.0.values().map(|peer| &peer.hall).collect()
    }

    /// Returns the nodes of a hall in the order in which they become its collector: the first one is,
    /// unless it does not answer.
    pub fn list_collectors(&self, hall: &id::Hall) -> Vec<&Peer> {
        self.rank(hall, COLLECTOR_KEY)
    }
}

/// Sorts nodes in the order in which `me` queries them. It differs between nodes, which spreads the
/// load.
fn sort_for<'a>(me: &id::Node, peers: impl Iterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    let mut sorted: Vec<&Peer> = peers.collect();
    sorted.sort_by_cached_key(|peer| score(me.as_str(), peer.node.as_str()));
    sorted
}
