//! Which nodes are gone for good.
//!
//! A node writes its entry once. Were each to renew its own, the store would be called in
//! proportion to the nodes, at all times, for entries that hardly ever change. The collector of a
//! hall hears of each node of the hall several times a second anyway, so it removes the entries of
//! those that it hears of no more: calls go with the changes. A node whose entry was removed
//! wrongly writes it again.

use std::collections::{BTreeSet, HashMap};

use cottoncrank::{Millis, id};

use crate::directory::Directory;

/// A node that was not heard of for this long is gone, where most of its hall are heard.
pub const ABSENT: Millis = Millis(12_000);

/// The same where most of the hall are not heard, or a whole hall is not: the way there may be
/// cut, or the collector itself cut off.
pub const ABSENT_MANY: Millis = Millis(120_000);

/// What a collector has heard of nodes.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// Whether this node is the collector of its hall.
    collecting: bool,
    /// When each node of the hall was last heard of, or first missed.
    nodes: HashMap<id::Node, Millis>,
    /// The same for the collectors of the other halls.
    halls: HashMap<id::Hall, Millis>,
}

impl Presence {
    /// This node is the collector of its hall, as far as it can tell.
    pub fn begin(&mut self) {
        self.collecting = true;
    }

    /// Another node is. What this one hears of others says nothing.
    pub fn resign(&mut self) {
        *self = Presence::default();
    }

    /// A node of the hall has reported to this one.
    pub fn hear(&mut self, node: &id::Node, now: Millis) {
        self.nodes.insert(node.clone(), now);
    }

    /// The collector of another hall has.
    pub fn hear_hall(&mut self, hall: &id::Hall, now: Millis) {
        self.halls.insert(hall.clone(), now);
    }

    /// The nodes that are gone, as `me` can tell which collects in `hall`.
    pub fn list_gone(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        directory: &Directory,
        now: Millis,
    ) -> Vec<id::Node> {
        if !self.collecting {
            return Vec::new();
        }
        let here: BTreeSet<&id::Node> = directory.list_names(hall).filter(|node| *node != me).collect();
        self.nodes.retain(|node, _| here.contains(node));
        let spans = here.iter().map(|node| {
            let heard = *self.nodes.entry((*node).clone()).or_insert(now);
            (*node, now.since(heard))
        });
        let spans: Vec<(&id::Node, Millis)> = spans.collect();
        let absent = spans.iter().filter(|(_, span)| *span >= ABSENT).count();
        // This node is one that is there.
        let most_are_there = absent <= here.len() / 2;
        let bound = if most_are_there { ABSENT } else { ABSENT_MANY };
        let gone = spans.into_iter().filter(|(_, span)| *span >= bound).map(|(node, _)| node.clone());
        gone.chain(self.list_gone_elsewhere(hall, directory, now)).collect()
    }

    /// The nodes of halls that are silent as a whole: the first hall that is not looks after them.
    fn list_gone_elsewhere(&mut self, hall: &id::Hall, directory: &Directory, now: Millis) -> Vec<id::Node> {
        let others: BTreeSet<&id::Hall> =
            directory.list_halls().into_iter().filter(|other| *other != hall).collect();
        self.halls.retain(|other, _| others.contains(other));
        let spans = others.iter().map(|other| {
            let heard = *self.halls.entry((*other).clone()).or_insert(now);
            (*other, now.since(heard))
        });
        let spans: Vec<(&id::Hall, Millis)> = spans.collect();
        if spans.iter().any(|(other, span)| *other < hall && *span < ABSENT) {
            return Vec::new();
        }
        let silent = spans.into_iter().filter(|(_, span)| *span >= ABSENT_MANY).map(|(other, _)| other);
        silent.flat_map(|other| directory.list_names(other).cloned()).collect()
    }
}
