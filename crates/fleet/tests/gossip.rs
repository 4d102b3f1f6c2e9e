//! Exchange of suspected requests between nodes and collectors, and interruptions whose crash becomes known
//! later.

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evidence::{Crash, Level, Row};
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_fleet::gossip::{Peers, build_pull};
use cottoncrank_fleet::interruptions::{INTERRUPTION_TTL, Interruption, Interruptions};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_fleet::suspects::{Origin, Table};

const NOW: Millis = Millis(1000);

fn row(name: &str, runners: &[u64]) -> Row {
    let crash = |runner: &u64| Crash {
        runner: format!("r-{runner}").parse().unwrap(),
        life: None,
        nth: 0,
        release: None,
    };
    Row {
        fingerprint: Fingerprint::of(&Request { account: None, method: "POST", path: name, body: b"" }),
        account: None,
        route: "write".to_owned(),
        crashes: runners.iter().map(crash).collect(),
        void: BTreeSet::new(),
        cleared: false,
    }
}

/// A node with its table and the state of its exchanges.
struct Node {
    name: id::Node,
    instance: u64,
    table: Table,
    peers: Peers,
}

impl Node {
    fn new(name: &str, instance: u64) -> Node {
        Node { name: name.parse().unwrap(), instance, table: Table::default(), peers: Peers::default() }
    }

    fn record_crashes(&mut self, name: &str, runners: &[u64]) {
        self.table.merge(&row(name, runners), Origin::Hall, NOW);
    }

    /// Exchanges rows with `other`. Returns the numbers of rows sent and received.
    fn exchange(&mut self, other: &mut Node, scope: Scope) -> (usize, usize) {
        let (push, version) = self.peers.build_push(&self.table, &other.name);
        let origin = if scope == Scope::Node { Origin::Hall } else { Origin::Elsewhere };
        for row in &push.rows {
            other.table.merge(row, origin, NOW);
        }
        let pull = build_pull(&other.table, other.instance, &push, scope);
        self.peers.record_pull(&other.name, version, pull.mark);
        for row in &pull.rows {
            self.table.merge(row, Origin::Elsewhere, NOW);
        }
        (push.rows.len(), pull.rows.len())
    }

    fn level(&self, name: &str) -> Level {
        self.table.level(&row(name, &[]).fingerprint)
    }
}

#[test]
fn crashes_seen_by_three_nodes_reach_a_fourth_after_one_exchange_each() {
    let mut collector = Node::new("c", 1);
    let mut nodes: Vec<Node> = (0..4).map(|number| Node::new(&format!("n{number}"), 10 + number)).collect();
    for number in 0..3 {
        nodes[number as usize].record_crashes("k", &[number]);
        nodes[number as usize].record_crashes(&format!("by chance {number}"), &[number]);
        nodes[number as usize].exchange(&mut collector, Scope::Node);
    }
    assert_eq!(collector.level("k"), Level::Pending(3));
    assert_eq!(
        nodes[3].exchange(&mut collector, Scope::Node),
        (0, 1),
        "nodes need no rows with a single crash"
    );
    assert_eq!(nodes[3].level("k"), Level::Pending(3));
    assert_eq!(nodes[3].exchange(&mut collector, Scope::Node), (0, 0), "no row is sent twice");
    assert_eq!(nodes[0].exchange(&mut collector, Scope::Node), (0, 1));
    assert_eq!(nodes[0].exchange(&mut collector, Scope::Node), (0, 0));
}

#[test]
fn collectors_send_each_other_only_what_their_own_halls_saw() {
    let (mut a, mut b, mut c) = (Node::new("a", 1), Node::new("b", 2), Node::new("c", 3));
    a.record_crashes("k", &[1]);
    b.record_crashes("k", &[2, 3]);
    assert_eq!(a.exchange(&mut b, Scope::Hall), (1, 0));
    assert_eq!(b.level("k"), Level::Pending(3));
    assert_eq!(b.exchange(&mut a, Scope::Hall), (1, 0));
    assert_eq!(a.level("k"), Level::Pending(3));
    // Only b sends what its hall saw. So a sends c the row of its own hall and no others.
    b.record_crashes("other", &[9]);
    b.exchange(&mut a, Scope::Hall);
    assert_eq!(a.exchange(&mut c, Scope::Hall), (1, 0));
    assert_eq!(c.level("other"), Level::Clear);
    assert_eq!(a.exchange(&mut b, Scope::Hall), (0, 0));
}

#[test]
fn after_a_restart_of_either_side_all_rows_are_sent_again() {
    let mut collector = Node::new("c", 1);
    let mut node = Node::new("n", 2);
    node.record_crashes("k", &[1, 2, 3]);
    node.exchange(&mut collector, Scope::Node);
    assert_eq!(node.exchange(&mut collector, Scope::Node), (0, 0));
    let mut collector = Node::new("c", 7);
    node.exchange(&mut collector, Scope::Node);
    node.exchange(&mut collector, Scope::Node);
    assert_eq!(collector.level("k"), Level::Pending(3));
    let mut node = Node::new("n", 8);
    node.exchange(&mut collector, Scope::Node);
    assert_eq!(node.level("k"), Level::Pending(3));
}

fn interruption(name: &str, incarnation: u64, at: Millis) -> Interruption {
    Interruption {
        rows: vec![row(name, &[1])],
        runner: "r-1".parse().unwrap(),
        incarnation: Some(Incarnation(incarnation)),
        address: "10.0.0.1:80".parse().unwrap(),
        at,
    }
}

#[test]
fn a_later_incarnation_or_another_runner_at_the_address_proves_a_crash() {
    let (runner, other): (id::Runner, id::Runner) = ("r-1".parse().unwrap(), "r-2".parse().unwrap());
    let address = "10.0.0.1:80".parse().unwrap();
    let mut interruptions = Interruptions::default();
    interruptions.record(interruption("a", 5, NOW));
    assert!(
        interruptions.take_earlier(&runner, Incarnation(5), NOW).is_empty(),
        "it is the same incarnation"
    );
    assert!(interruptions.take_earlier(&other, Incarnation(9), NOW).is_empty());
    assert!(interruptions.take_replaced(&runner, address, NOW).is_empty(), "it is the same runner");
    assert_eq!(interruptions.take_earlier(&runner, Incarnation(6), NOW), [row("a", &[1])]);
    assert!(interruptions.take_earlier(&runner, Incarnation(7), NOW).is_empty(), "each counts once");
    interruptions.record(interruption("b", 6, NOW));
    assert_eq!(interruptions.take_replaced(&other, address, NOW), [row("b", &[1])]);
    // An attempt at an incarnation that is now known to have crashed.
    interruptions.record(interruption("d", 6, NOW));
    assert!(interruptions.take_crashed(&runner, Some(Incarnation(5)), NOW).is_empty());
    assert_eq!(interruptions.take_crashed(&runner, Some(Incarnation(6)), NOW), [row("d", &[1])]);
    // A crash much later is not attributed to it.
    interruptions.record(interruption("c", 6, NOW));
    assert!(interruptions.take_earlier(&runner, Incarnation(7), NOW + INTERRUPTION_TTL).is_empty());
}
