//! Guards against calls to the store that grow with the number of nodes.
//!
//! With nearly a thousand nodes, 6,389 calls in a day without faults cost a tenth of the value of all
//! requests. Nearly all of them renewed a lease for the entry of a node, which hardly ever changes. A
//! longer lease would only have postponed that to a larger fleet. Now entries have no lease. The collector
//! of a hall, which receives reports from its nodes anyway, removes the entries of absent ones, so that
//! calls grow with changes only.

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::presence::{ABSENCE_TIMEOUT, MASS_ABSENCE_TIMEOUT, Presence};

const HALLS: usize = 5;
const CHECK_INTERVAL: Millis = Millis(1000);

fn name(hall: usize, number: usize) -> id::Node {
    format!("n{hall}-{number}").parse().unwrap()
}

fn hall(number: usize) -> id::Hall {
    format!("hall-{number}").parse().unwrap()
}

/// A fleet in which node 0 of each hall is its collector.
struct Fleet {
    directory: Directory,
    dead: BTreeSet<id::Node>,
    /// Halls whose collectors neither receive reports nor reach other halls.
    partitioned: BTreeSet<usize>,
    collectors: Vec<Presence>,
    per_hall: usize,
    now: Millis,
    /// The number of entries removed so far.
    removed: usize,
}

impl Fleet {
    fn new(nodes: usize) -> Fleet {
        let mut directory = Directory::default();
        let per_hall = nodes / HALLS;
        for at in 0..HALLS {
            for number in 0..per_hall {
                directory.insert(Peer {
                    node: name(at, number),
                    hall: hall(at),
                    address: "127.0.0.1:9".parse().unwrap(),
                    processor: Millicores(120),
                });
            }
        }
        let collectors = vec![Presence::default(); HALLS];
        let (dead, partitioned) = (BTreeSet::new(), BTreeSet::new());
        Fleet { directory, dead, partitioned, collectors, per_hall, now: Millis(1), removed: 0 }
    }

    fn kill(&mut self, at: usize, numbers: std::ops::Range<usize>) {
        self.dead.extend(numbers.map(|number| name(at, number)));
    }

    /// Advances the simulation by `span`.
    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + CHECK_INTERVAL;
            for at in 0..HALLS {
                self.check(at);
            }
        }
    }

    fn check(&mut self, at: usize) {
        let me = name(at, 0);
        if self.dead.contains(&me) {
            return;
        }
        let collector = &mut self.collectors[at];
        collector.start_collecting();
        if !self.partitioned.contains(&at) {
            let alive = (1..self.per_hall).map(|number| name(at, number));
            for node in alive.filter(|node| !self.dead.contains(node)) {
                collector.record_report(&node, self.now);
            }
            let others = (0..HALLS).filter(|other| *other != at && !self.partitioned.contains(other));
            for other in others.filter(|other| !self.dead.contains(&name(*other, 0))) {
                collector.record_hall_report(&hall(other), self.now);
            }
        }
        for node in collector.list_gone(&me, &hall(at), &self.directory, self.now) {
            self.directory.remove(&node);
            self.removed += 1;
        }
    }

    fn knows(&self, at: usize, number: usize) -> bool {
        self.directory.get(&name(at, number)).is_some()
    }
}

#[test]
fn a_fleet_of_any_size_without_faults_makes_no_calls() {
    for nodes in [10, 300, 985, 1970] {
        let mut fleet = Fleet::new(nodes);
        fleet.run(Millis(180_000));
        assert_eq!(fleet.removed, 0, "{nodes} nodes");
    }
}

#[test]
fn gone_nodes_are_removed_once_and_no_others() {
    let mut fleet = Fleet::new(985);
    fleet.run(Millis(60_000));
    fleet.kill(1, 3..17);
    fleet.run(ABSENCE_TIMEOUT - CHECK_INTERVAL);
    assert_eq!(fleet.removed, 0, "a restarting box is absent for seconds");
    fleet.run(CHECK_INTERVAL + CHECK_INTERVAL);
    assert_eq!(fleet.removed, 14);
    assert!(!fleet.knows(1, 3) && !fleet.knows(1, 16) && fleet.knows(1, 17));
    fleet.run(Millis(300_000));
    assert_eq!(fleet.removed, 14);
}

#[test]
fn a_partitioned_collector_removes_no_nodes_soon() {
    let mut fleet = Fleet::new(985);
    fleet.run(Millis(60_000));
    fleet.partitioned.insert(2);
    fleet.run(MASS_ABSENCE_TIMEOUT - CHECK_INTERVAL);
    assert_eq!(fleet.removed, 0, "no reports pass between its hall and the others");
    fleet.partitioned.clear();
    fleet.run(Millis(300_000));
    assert_eq!(fleet.removed, 0);
}

#[test]
fn a_hall_that_is_gone_is_removed_by_one_other_hall() {
    let mut fleet = Fleet::new(985);
    fleet.run(Millis(60_000));
    fleet.kill(0, 0..197);
    fleet.kill(3, 1..150);
    fleet.run(MASS_ABSENCE_TIMEOUT - CHECK_INTERVAL);
    assert_eq!(fleet.removed, 0, "most nodes of two halls are absent");
    fleet.run(CHECK_INTERVAL + CHECK_INTERVAL);
    assert_eq!(fleet.removed, 197 + 149);
    assert!(fleet.knows(3, 0) && fleet.knows(3, 150) && !fleet.knows(0, 0));
}

#[test]
fn a_node_that_is_no_longer_collector_removes_no_nodes() {
    let mut fleet = Fleet::new(90);
    fleet.run(Millis(60_000));
    fleet.kill(1, 3..5);
    fleet.run(ABSENCE_TIMEOUT - CHECK_INTERVAL);
    // Another node of the hall has become the collector and received the reports meanwhile.
    fleet.collectors[1].stop_collecting();
    let gone =
        fleet.collectors[1].list_gone(&name(1, 0), &hall(1), &fleet.directory, fleet.now + ABSENCE_TIMEOUT);
    assert!(gone.is_empty(), "{gone:?}");
}
