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
pub const ABSENCE_TIMEOUT: Millis = Millis(12_000);

/// The same where most of the hall are not heard, or a whole hall is not: the way there may be
/// cut, or the collector itself cut off.
pub const MASS_ABSENCE_TIMEOUT: Millis = Millis(120_000);

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
    pub fn start_collecting(&mut self) {
        self.collecting = true;
    }

    /// Another node is. What this one hears of others says nothing.
    pub fn stop_collecting(&mut self) {
        *self = Presence::default();
    }

    /// A node of the hall has reported to this one.
    pub fn record_report(&mut self, node: &id::Node, now: Millis) {
        self.nodes.insert(node.clone(), now);
    }

    /// The collector of another hall has.
    pub fn record_hall_report(&mut self, hall: &id::Hall, now: Millis) {
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
        let local_nodes: BTreeSet<&id::Node> =
            directory.list_nodes(hall).filter(|node| *node != me).collect();
        self.nodes.retain(|node, _| local_nodes.contains(node));
        let ages = local_nodes.iter().map(|node| {
            let last_report = *self.nodes.entry((*node).clone()).or_insert(now);
            (*node, now.since(last_report))
        });
        let ages: Vec<(&id::Node, Millis)> = ages.collect();
        let absent = ages.iter().filter(|(_, age)| *age >= ABSENCE_TIMEOUT).count();
        // This node is one that is there.
        let most_present = absent <= local_nodes.len() / 2;
        let timeout = if most_present { ABSENCE_TIMEOUT } else { MASS_ABSENCE_TIMEOUT };
        let gone = ages.into_iter().filter(|(_, age)| *age >= timeout).map(|(node, _)| node.clone());
        gone.chain(self.list_gone_elsewhere(hall, directory, now)).collect()
    }

    /// The nodes of halls that are silent as a whole: the first hall that is not looks after them.
    fn list_gone_elsewhere(&mut self, hall: &id::Hall, directory: &Directory, now: Millis) -> Vec<id::Node> {
        let others: BTreeSet<&id::Hall> =
            directory.list_halls().into_iter().filter(|other| *other != hall).collect();
        self.halls.retain(|other, _| others.contains(other));
        let ages = others.iter().map(|other| {
            let last_report = *self.halls.entry((*other).clone()).or_insert(now);
            (*other, now.since(last_report))
        });
        let ages: Vec<(&id::Hall, Millis)> = ages.collect();
        if ages.iter().any(|(other, age)| *other < hall && *age < ABSENCE_TIMEOUT) {
            return Vec::new();
        }
        let silent = ages.into_iter().filter(|(_, age)| *age >= MASS_ABSENCE_TIMEOUT).map(|(other, _)| other);
        silent.flat_map(|other| directory.list_nodes(other).cloned()).collect()
    }
}
