//! In-flight requests at each group, over the whole fleet.
//!
//! A node has at most one request in flight at most groups, so its own requests say little about
//! how busy they are. Nodes of a hall therefore send in-flight reports to the hall's collector
//! several times a second, collectors send each other the sums of their halls, and each node
//! receives the sum of all other nodes as the reply. A report that is not renewed expires, because
//! its sender is gone or cut off.

use std::collections::{BTreeMap, HashMap};

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::allocation::Demand;
use crate::feedback::Digest;
use crate::runner::Epoch;

/// How long a report counts: three times the longest interval between two reports.
pub const REPORT_TTL: Millis = Millis(1500);

/// The fraction of the known nodes that the fleet load has to cover to be usable. With less, a hall
/// that is cut off or an isolated node would mistake busy groups for idle ones.
pub const MIN_COVERAGE: f64 = 0.5;

/// Requests in flight by group. An epoch identifies a group, because each is used only once.
pub type Counts = BTreeMap<Epoch, u32>;

/// The load of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight, over all nodes.
    pub running: u32,
    /// The number of nodes that doubt the group.
    pub doubts: u32,
}

/// The requests in flight of some nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The number of nodes covered.
    pub nodes: usize,
    /// Their requests by group.
    pub counts: Counts,
}

impl InFlight {
    /// Returns the requests in flight of a single node.
    pub fn for_node(counts: Counts) -> InFlight {
        InFlight { nodes: 1, counts }
    }

    /// Adds the requests of other nodes.
    pub fn add(&mut self, more: &InFlight) {
        self.nodes += more.nodes;
        for (epoch, count) in &more.counts {
            *self.counts.entry(*epoch).or_default() += count;
        }
    }

    /// Subtracts the requests of some of these nodes.
    pub fn subtract(&mut self, part: &InFlight) {
        self.nodes = self.nodes.saturating_sub(part.nodes);
        for (epoch, count) in &part.counts {
            if let Some(remaining) = self.counts.get_mut(epoch) {
                *remaining = remaining.saturating_sub(*count);
            }
        }
    }
}

/// What a report covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The requests of the node that sends it.
    Node,
    /// The requests of all nodes of a hall.
    Hall,
}

/// An in-flight report, sent from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub node: id::Node,
    /// The sender's data hall.
    pub hall: id::Hall,
    /// What it covers.
    pub scope: Scope,
    /// The requests in flight.
    pub sum: InFlight,
    /// Groups that failed a request of the node, or that make no progress on its streams.
    pub doubted: Vec<Epoch>,
    /// Feedback of runners: to the node, or to any node of the hall.
    #[serde(rename = "news")]
    pub feedback: Digest,
    /// The demand of the hall for rate-limited runners; empty in the report of a single node.
    pub wants: Vec<Demand>,
}

/// The reply to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// The requests in flight that the report does not cover.
    pub sum: InFlight,
    /// Feedback of runners, as far as the sender of the report needs it.
    #[serde(rename = "news")]
    pub feedback: Digest,
}

#[derive(Clone, Debug)]
struct Row {
    in_flight: InFlight,
    doubted: Vec<Epoch>,
    received: Millis,
}

/// The latest reports received. Only collectors receive any.
#[derive(Clone, Debug, Default)]
pub struct Table {
    nodes: HashMap<id::Node, Row>,
    halls: HashMap<id::Hall, Row>,
}

impl Table {
    /// Inserts a report and removes expired ones.
    pub fn insert(&mut self, report: Report, now: Millis) {
        self.nodes.retain(|_, row| now < row.received + REPORT_TTL);
        self.halls.retain(|_, row| now < row.received + REPORT_TTL);
        let row = Row { in_flight: report.sum, doubted: report.doubted, received: now };
        match report.scope {
            Scope::Node => self.nodes.insert(report.node, row),
            Scope::Hall => self.halls.insert(report.hall, row),
        };
    }

    /// Returns how many nodes of this hall have sent a recent report.
    pub fn count_nodes(&self, now: Millis) -> usize {
        self.nodes.values().filter(|row| now < row.received + REPORT_TTL).count()
    }

    /// Lists the nodes of this hall that have sent a recent report.
    pub fn list_nodes(&self, now: Millis) -> Vec<id::Node> {
        let recent = self.nodes.iter().filter(|(_, row)| now < row.received + REPORT_TTL);
        recent.map(|(node, _)| node.clone()).collect()
    }

    /// Whether another hall's collector has sent a recent report.
    pub fn has_report_from(&self, hall: &id::Hall, now: Millis) -> bool {
        self.halls.get(hall).is_some_and(|row| now < row.received + REPORT_TTL)
    }

    /// Counts a request of a node of this hall that its last report does not include yet.
    pub fn begin_request(&mut self, node: &id::Node, epoch: Epoch) {
        if let Some(row) = self.nodes.get_mut(node) {
            *row.in_flight.counts.entry(epoch).or_default() += 1;
        }
    }

    /// Returns the load of each group over all nodes, with `own` as the requests of this node. Only
    /// doubts of nodes of this hall are counted.
    pub fn sum_loads(&self, own: &InFlight, now: Millis) -> HashMap<Epoch, Load> {
        let mut loads: HashMap<Epoch, Load> = HashMap::new();
        let fresh = |row: &&Row| now < row.received + REPORT_TTL;
        let nodes = self.nodes.values().filter(fresh);
        let halls = self.halls.values().filter(fresh);
        let sums = nodes.clone().chain(halls).map(|row| &row.in_flight).chain(std::iter::once(own));
        for (epoch, count) in sums.flat_map(|sum| &sum.counts) {
            loads.entry(*epoch).or_default().running += count;
        }
        for epoch in nodes.flat_map(|row| &row.doubted) {
            loads.entry(*epoch).or_default().doubts += 1;
        }
        loads
    }

    /// Returns the sum over the nodes of this hall, `own` included.
    pub fn sum_hall(&self, own: &InFlight, now: Millis) -> InFlight {
        let mut sum = own.clone();
        for row in self.nodes.values().filter(|row| now < row.received + REPORT_TTL) {
            sum.add(&row.in_flight);
        }
        sum
    }

    /// Returns the sum over the other halls.
    pub fn sum_others(&self, now: Millis) -> InFlight {
        let mut sum = InFlight::default();
        for row in self.halls.values().filter(|row| now < row.received + REPORT_TTL) {
            sum.add(&row.in_flight);
        }
        sum
    }
}

/// The other nodes' in-flight requests as last received.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    others: Counts,
    /// Whether enough nodes are covered.
    covers_enough: bool,
    sent: Option<Millis>,
}

impl FleetLoad {
    /// Replaces the counts with those received for a report sent at `sent`. `known` is the number
    /// of known nodes, this one included.
    pub fn update(&mut self, others: InFlight, known: usize, sent: Millis) {
        self.covers_enough = (others.nodes + 1) as f64 >= MIN_COVERAGE * known as f64;
        self.others = others.counts;
        self.sent = Some(sent);
    }

    /// Whether the counts are recent and cover enough nodes.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.covers_enough && self.sent.is_some_and(|sent| now < sent + REPORT_TTL)
    }

    /// Returns the other nodes' in-flight requests by group.
    pub fn counts(&self) -> &Counts {
        &self.others
    }

    /// Returns the other nodes' in-flight requests at a group.
    pub fn count(&self, epoch: Epoch) -> u32 {
        self.others.get(&epoch).copied().unwrap_or(0)
    }
}
