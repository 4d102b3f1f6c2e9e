//! The nodes of the fleet, and from which of them a node learns what the store
//! holds. Each call to the store has a price and waits among all others; a few
//! nodes of each data hall make them, and the rest ask those.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cottoncrank::hash::score;
use cottoncrank::id;
use serde::{Deserialize, Serialize};

/// A reader with the least processor time serves so many nodes of its hall: it answers each a
/// few times a second, and so has some tens of questions a second. Others serve the more.
pub const NODES_PER_READER: usize = 12;

/// The least processor time of a reader, and what one that does not tell is taken to have.
const MIN_READER_CPU: Millicores = Millicores(120);

/// So many readers there are in any case where the hall has nodes for as many of the least: a
/// lost one must not send all the others to another hall.
const MIN_READERS: usize = 2;

/// The key by which readers are chosen among the nodes of a hall.
const READER_KEY: &str = "readers";

/// The key by which candidates for deciding are insert in order.
const CANDIDATE_KEY: &str = "candidates";

/// The key by which the collector of a hall is chosen.
const COLLECTOR_KEY: &str = "collector";

/// A node as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// How much processor time it may use.
    #[serde(default)]
    pub processor: Millicores,
}

/// Millicores time that a node may use, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Millicores(pub u32);

/// The nodes known of.
#[derive(Clone, Debug, Default)]
pub struct Directory(BTreeMap<id::Node, Peer>);

impl Directory {
    /// A node has told of itself.
    pub fn insert(&mut self, peer: Peer) {
        self.0.insert(peer.node.clone(), peer);
    }

    /// A node is gone.
    pub fn remove(&mut self, node: &id::Node) {
        self.0.remove(node);
    }

    /// These are all nodes that there are.
    pub fn retain(&mut self, known: impl Fn(&id::Node) -> bool) {
        self.0.retain(|node, _| known(node));
    }

    /// A node.
    pub fn get(&self, node: &id::Node) -> Option<&Peer> {
        self.0.get(node)
    }

    /// How many nodes there are, this one included, whether or not it is listed.
    pub fn count(&self) -> usize {
        self.0.len().max(1)
    }

    /// The nodes of a hall that read for it, first the one that reads while nobody decides. Those
    /// with more processor time come first and serve more: when all nodes start, a reader sends
    /// each that asks it all that the store holds.
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

    /// The nodes of a hall in the order of a role: those with more processor time first, and of
    /// the others each role has its own order.
    fn rank(&self, hall: &id::Hall, role: &str) -> Vec<&Peer> {
        let mut ranked: Vec<&Peer> = self.0.values().filter(|peer| peer.hall == *hall).collect();
        ranked.sort_by_cached_key(|peer| (Reverse(peer.processor), Reverse(score(role, peer.node.as_str()))));
        ranked
    }

    /// The readers that `me` may ask, best first. None if it is one of them.
    pub fn list_local_readers(&self, me: &id::Node, hall: &id::Hall) -> Vec<&Peer> {
        let readers = self.list_readers(hall);
        if readers.iter().any(|peer| peer.node == *me) {
            return Vec::new();
        }
        sort_for(me, readers.into_iter())
    }

    /// The readers of the other halls, in the order in which `me` asks them: each node has
    /// its own.
    pub fn list_remote_readers(&self, me: &id::Node, hall: &id::Hall) -> Vec<&Peer> {
        let halls = self.list_halls().into_iter().filter(|other| *other != hall);
        sort_for(me, halls.flat_map(|other| self.list_readers(other)))
    }

    /// The nodes that are no readers, `me` left out, in the order in which it asks them.
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

    /// How many nodes stand for deciding before `me` does: those with more processor
    /// time, for deciding takes more of it than serving, and of the others some.
    pub fn rank_candidate(&self, me: &id::Node) -> usize {
        let key = |peer: &Peer| (Reverse(peer.processor), score(CANDIDATE_KEY, peer.node.as_str()));
        let Some(my_key) = self.0.get(me).map(key) else { return self.0.len() };
        self.0.values().filter(|peer| key(peer) < my_key).count()
    }

    /// The names of the nodes of a hall.
    pub fn list_nodes(&self, hall: &id::Hall) -> impl Iterator<Item = &id::Node> {
        self.0.values().filter(move |peer| peer.hall == *hall).map(|peer| &peer.node)
    }

    /// The halls there are nodes in.
    pub fn list_halls(&self) -> BTreeSet<&id::Hall> {
        self.0.values().map(|peer| &peer.hall).collect()
    }

    /// The nodes of a hall in the order in which they collect its reports: the
    /// first does, unless it does not answer.
    pub fn list_collectors(&self, hall: &id::Hall) -> Vec<&Peer> {
        self.rank(hall, COLLECTOR_KEY)
    }
}

/// Nodes in the order in which `me` asks them. Each has its own, so that those asked share
/// the work.
fn sort_for<'a>(me: &id::Node, peers: impl Iterator<Item = &'a Peer>) -> Vec<&'a Peer> {
    let mut sorted: Vec<&Peer> = peers.collect();
    sorted.sort_by_cached_key(|peer| score(me.as_str(), peer.node.as_str()));
    sorted
}
