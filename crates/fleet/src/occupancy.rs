//! How many requests are in flight at each group, over the whole fleet.
//!
//! A node has one request or none at most groups, so what it sent itself says
//! little about how busy they are. Nodes of a hall therefore tell one of them, the
//! hall's collector, what they have in flight, several times a second; collectors
//! tell each other the sums of their halls; and each node gets the sum of all the
//! others back. A report that is not renewed is dropped: whoever made it is gone
//! or cut off.

use std::collections::{BTreeMap, HashMap};

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::allocation::Demand;
use crate::feedback::Digest;
use crate::runner::Epoch;

/// A report counts for this long: three of the longest periods between two.
pub const REPORT_TTL: Millis = Millis(1500);

/// A view that covers less than this part of the nodes says too little: a hall that
/// is cut off, or a node on its own, would take busy groups for idle ones.
pub const MIN_COVERAGE: f64 = 0.5;

/// Requests in flight by group. Epochs name groups: each is given out once.
pub type Counts = BTreeMap<Epoch, u32>;

/// What is in flight at a group, and how many nodes doubt it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight, over all nodes.
    pub running: u32,
    /// Nodes that doubt it.
    pub doubts: u32,
}

/// What some nodes have in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// How many nodes it covers.
    pub nodes: usize,
    /// Their requests.
    pub counts: Counts,
}

impl InFlight {
    /// What one node has.
    pub fn for_node(counts: Counts) -> InFlight {
        InFlight { nodes: 1, counts }
    }

    /// Adds what other nodes have.
    pub fn add(&mut self, more: &InFlight) {
        self.nodes += more.nodes;
        for (epoch, count) in &more.counts {
            *self.counts.entry(*epoch).or_default() += count;
        }
    }

    /// Takes off what some of these nodes have.
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

/// What one node tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The node that sends it.
    pub node: id::Node,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// What it covers.
    pub scope: Scope,
    /// What is in flight.
    #[serde(rename = "sum")]
    pub in_flight: InFlight,
    /// Groups that failed a request of the node, or at which its streams do not get on.
    pub doubted: Vec<Epoch>,
    /// What runners have said of themselves: to the node, or to any of the hall.
    #[serde(rename = "news")]
    pub feedback: Digest,
    /// What the hall wants of them; a node wants through its hall.
    #[serde(rename = "wants")]
    pub demands: Vec<Demand>,
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// What is in flight that the report does not cover.
    #[serde(rename = "sum")]
    pub in_flight: InFlight,
    /// What runners have said of themselves, as far as the node has to know it.
    #[serde(rename = "news")]
    pub feedback: Digest,
}

#[derive(Clone, Debug)]
struct Row {
    in_flight: InFlight,
    doubted: Vec<Epoch>,
    received: Millis,
}

/// The reports a node holds. Only collectors get any.
#[derive(Clone, Debug, Default)]
pub struct Table {
    nodes: HashMap<id::Node, Row>,
    halls: HashMap<id::Hall, Row>,
}

impl Table {
    /// Takes a report in.
    pub fn insert(&mut self, report: Report, now: Millis) {
        self.nodes.retain(|_, row| now < row.received + REPORT_TTL);
        self.halls.retain(|_, row| now < row.received + REPORT_TTL);
        let row = Row { in_flight: report.in_flight, doubted: report.doubted, received: now };
        match report.scope {
            Scope::Node => self.nodes.insert(report.node, row),
            Scope::Hall => self.halls.insert(report.hall, row),
        };
    }

    /// How many nodes of this hall tell this one what they have in flight.
    pub fn count_nodes(&self, now: Millis) -> usize {
        self.nodes.values().filter(|row| now < row.received + REPORT_TTL).count()
    }

    /// Whether another hall's collector tells this one.
    pub fn has_report_from(&self, hall: &id::Hall, now: Millis) -> bool {
        self.halls.get(hall).is_some_and(|row| now < row.received + REPORT_TTL)
    }

    /// A node of this hall begins a request that its last report does not have yet.
    pub fn begin_request(&mut self, node: &id::Node, epoch: Epoch) {
        if let Some(row) = self.nodes.get_mut(node) {
            *row.in_flight.counts.entry(epoch).or_default() += 1;
        }
    }

    /// What is in flight at each group over all nodes, with `own` as what this one has,
    /// and how many nodes of this hall doubt it.
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

    /// The sum over the nodes of this hall, `own` included.
    pub fn sum_hall(&self, own: &InFlight, now: Millis) -> InFlight {
        let mut sum = own.clone();
        for row in self.nodes.values().filter(|row| now < row.received + REPORT_TTL) {
            sum.add(&row.in_flight);
        }
        sum
    }

    /// The sum over the other halls.
    pub fn sum_others(&self, now: Millis) -> InFlight {
        let mut sum = InFlight::default();
        for row in self.halls.values().filter(|row| now < row.received + REPORT_TTL) {
            sum.add(&row.in_flight);
        }
        sum
    }
}

/// What a node was last received of all the others.
#[derive(Clone, Debug, Default)]
pub struct FleetLoad {
    others: Counts,
    /// Whether it covers covers_enough of the nodes to be used.
    covers_enough: bool,
    sent: Option<Millis>,
}

impl FleetLoad {
    /// Takes what the others have in flight, as sent for at `sent`, where `known`
    /// nodes are known of, this one included.
    pub fn update(&mut self, others: InFlight, known: usize, sent: Millis) {
        self.covers_enough = (others.nodes + 1) as f64 >= MIN_COVERAGE * known as f64;
        self.others = others.counts;
        self.sent = Some(sent);
    }

    /// Whether the view can be used.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.covers_enough && self.sent.is_some_and(|sent| now < sent + REPORT_TTL)
    }

    /// What the other nodes have in flight at each group.
    pub fn counts(&self) -> &Counts {
        &self.others
    }

    /// What the other nodes have in flight at a group.
    pub fn count(&self, epoch: Epoch) -> u32 {
        self.others.get(&epoch).copied().unwrap_or(0)
    }
}
