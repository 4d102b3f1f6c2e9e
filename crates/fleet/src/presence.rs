//! Detects nodes that are gone for good.
//!
//! A node writes its entry once. If each renewed its own, store calls would grow with the number of
//! nodes for entries that hardly ever change. The collector of a hall receives reports from each node
//! of the hall several times a second anyway, so it removes the entries of absent ones: calls grow with
//! changes only. A node whose entry was removed by mistake writes it again.

use std::collections::{BTreeSet, HashMap};

use cottoncrank::{Millis, id};

use crate::directory::Directory;

/// The time without a report after which a node is gone, while most nodes of its hall report.
pub const ABSENCE_TIMEOUT: Millis = Millis(12_000);

/// The same while most of the hall or a whole hall does not report, because the network there may be
/// partitioned, or the collector itself cut off.
pub const MASS_ABSENCE_TIMEOUT: Millis = Millis(120_000);

/// The times at which a collector last received reports.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// Whether this node is the collector of its hall.
    collecting: bool,
    /// When each node of the hall last reported, or was first missed.
    nodes: HashMap<id::Node, Millis>,
    /// The same for the collectors of the other halls.
    halls: HashMap<id::Hall, Millis>,
}

impl Presence {
    /// Records that this node is the collector of its hall, as far as it can tell.
    pub fn start_collecting(&mut self) {
        self.collecting = true;
    }

    /// Records that another node is the collector. Reports that this node received then prove nothing.
    pub fn stop_collecting(&mut self) {
        *self = Presence::default();
    }

    /// Records a report from a node of the hall.
    pub fn record_report(&mut self, node: &id::Node, now: Millis) {
        self.nodes.insert(node.clone(), now);
    }

    /// Records a report from the collector of another hall.
    pub fn record_hall_report(&mut self, hall: &id::Hall, now: Millis) {
        self.halls.insert(hall.clone(), now);
    }

    /// Returns the nodes that are gone, as far as `me`, the collector of `hall`, can tell.
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
        // The count of absent nodes leaves this node out, which is present.
        let most_present = absent <= local_nodes.len() / 2;
        let timeout = if most_present { ABSENCE_TIMEOUT } else { MASS_ABSENCE_TIMEOUT };
        let gone = ages.into_iter().filter(|(_, age)| *age >= timeout).map(|(node, _)| node.clone());
        gone.chain(self.list_gone_elsewhere(hall, directory, now)).collect()
    }

    /// Returns the nodes of halls whose collectors are absent. Only the first hall that is present
    /// removes them.
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
