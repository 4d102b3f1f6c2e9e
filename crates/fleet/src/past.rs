//! Whether any node may hold what the store has lost, so that candidates have to wait for it.
//!
//! After the store was restored from an older copy, nodes that lived before may hold later plans. A node that
//! has just started lets them campaign first. Where all nodes have started anew, nobody holds any.

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};

use crate::directory::{Directory, Peer};
use crate::position::{Era, Position};

/// How many other nodes are asked whether they hold anything, at the most. Each node asks all others.
const NODES_ASKED: usize = 16;

/// What a node knows of who may hold what the store has lost.
#[derive(Clone, Debug, Default)]
pub struct Past {
    /// Whether this node has lived through a restore, or holds something from before one.
    holds: bool,
    /// The earliest era in which another node was heard of while this process ran.
    heard: Option<Era>,
    /// The era in which other nodes were asked.
    era: Era,
    /// The nodes that have answered in that era that they hold nothing.
    empty: BTreeSet<id::Node>,
}

impl Past {
    /// Records that this node holds something from before a restore, or may do so.
    pub fn record_holding(&mut self) {
        self.holds = true;
    }

    /// Records that another node follows the store and was at this position.
    pub fn record_heard(&mut self, position: Position) {
        let era = position.era();
        self.heard = Some(self.heard.map_or(era, |heard| heard.min(era)));
    }

    /// Whether this node holds nothing from before `era`, and has heard of no node that may. `known` is the era
    /// of what it has read of the store; `None` if it has read nothing.
    pub fn is_empty(&self, era: Era, known: Option<Era>) -> bool {
        !self.holds && known.is_none_or(|known| known >= era) && self.heard.is_none_or(|heard| heard >= era)
    }

    /// Records that another node has answered that it holds nothing from before `era`. Returns whether that is
    /// new.
    pub fn record_empty(&mut self, era: Era, node: &id::Node) -> bool {
        if era != self.era {
            self.restart(era);
        }
        self.empty.insert(node.clone())
    }

    /// Forgets what others have answered, so that they are asked again.
    pub fn restart(&mut self, era: Era) {
        (self.era, self.empty) = (era, BTreeSet::new());
    }

    /// Lists the nodes that have not yet answered that they hold nothing from before `era`; none of them if
    /// there are too many.
    pub fn list_unknown(&self, era: Era, me: &id::Node, directory: &Directory) -> Vec<Peer> {
        let others: Vec<&Peer> = directory.list_others(me).collect();
        if others.len() > NODES_ASKED {
            return Vec::new();
        }
        others.into_iter().filter(|peer| !self.has_answered(era, &peer.node)).cloned().collect()
    }

    fn has_answered(&self, era: Era, node: &id::Node) -> bool {
        self.era == era && self.empty.contains(node)
    }

    /// Whether nobody holds anything from before `era`, as far as this node can tell: it holds nothing itself,
    /// and all others that the store names have answered the same. A copy that names no other node proves
    /// nothing: it may be older than all of them.
    pub fn is_lost(&self, era: Era, known: Option<Era>, me: &id::Node, directory: &Directory) -> bool {
        let mut others = directory.list_others(me).peekable();
        let names_others = others.peek().is_some();
        names_others && self.is_empty(era, known) && others.all(|peer| self.has_answered(era, &peer.node))
    }
}

/// Returns when a node that has just started campaigns in an era after the first one, if the lease has been
/// free since `free`. Nodes that hold later plans campaign first; they wait for a lease themselves, as the
/// former decider may go on for so long. Where everything is lost, only that lease is left to wait for, from
/// when this node had read the store: it began after the restore.
pub fn find_campaign_time(free: Millis, synced: Millis, lease: Millis, is_lost: bool) -> Millis {
    match is_lost {
        true => free.max(synced + lease),
        false => free + lease + lease,
    }
}
