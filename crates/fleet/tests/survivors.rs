//! Guards against nodes that lose contact with the store while many others restart.
//!
//! Half of the fleet's processes ended within half a second while the store rejected some boxes. Nodes
//! that kept running learned nothing for more than three seconds, and one rejected requests with 404 for
//! a route accepted 3.01 s before. It had queried two readers, two nodes of other halls and the
//! decider, which had just started or knew no more than itself. It took the store for unavailable, and
//! would have waited up to 50 ms for each of 90 known nodes before calling the store. Readers rejected
//! by the store queried only the decider: one was at version 84 when version 87 was 2.1 s old, and had
//! called the store three times a second in vain.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::source::{Failure, Source, Sources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How long a watch of the store, or a query to a node, waits for a change.
const LONG_POLL: Millis = Millis(700);

/// The duration of a rejected call or query.
const REJECTION_TIME: Millis = Millis(4);

/// How long a node batches changes before it polls again.
const GATHER_TIME: Millis = Millis(150);

/// The interval of changes in the store.
const CHANGE_INTERVAL: Millis = Millis(100);

/// When the store begins to reject some boxes, and when it stops.
const OUTAGE: (Millis, Millis) = (Millis(1000), Millis(12_000));

/// When the processes that restart end and start.
const DOWNTIME: (Millis, Millis) = (Millis(2000), Millis(2300));

/// The timeout of a query to a box without power, which does not respond.
const CONNECT_TIMEOUT: Millis = Millis(1400);

/// When the lease of the lost decider expires, and when the next node becomes decider.
const LEASE_EXPIRY: Millis = Millis(3500);
const NEXT_TERM: Millis = Millis(4000);

/// What a node does at present.
#[derive(Clone)]
enum Activity {
    Idle(Millis),
    Polls { queried: usize, serves: bool, since: Millis },
    Watches(Millis),
}

struct Node {
    peer: Peer,
    sources: Sources,
    /// Whether the store rejects it.
    store_rejects: bool,
    /// Whether its process ends and starts again.
    restarts: bool,
    /// The time up to which it knows every change of the store; none if it has just started.
    last_contact: Option<Millis>,
    /// Whether it answers queries of other nodes.
    serving: bool,
    activity: Activity,
}

struct Fleet {
    bound: Millis,
    directory: Directory,
    nodes: Vec<Node>,
    decider: usize,
    successor: usize,
    /// Whether restarting processes lose power with their boxes, so that they do not respond.
    loses_power: bool,
    rng: SmallRng,
}

impl Fleet {
    fn new(halls: usize, boxes: usize, bound: Millis, seed: u64) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let mut nodes = Vec::new();
        for hall in 0..halls {
            for number in 0..boxes {
                let peer = Peer {
                    node: format!("n{hall}-{number}").parse().unwrap(),
                    hall: format!("hall-{hall}").parse().unwrap(),
                    address: "127.0.0.1:9".parse().unwrap(),
                    processor: Millicores(120),
                };
                directory.insert(peer.clone());
                nodes.push(Node {
                    peer,
                    sources: Sources::new(bound),
                    store_rejects: rng.random_bool(0.4),
                    restarts: rng.random_bool(0.6),
                    last_contact: Some(Millis(0)),
                    serving: false,
                    activity: Activity::Idle(Millis(rng.random_range(0..100))),
                });
            }
        }
        let (decider, successor) = (0, 1);
        nodes[decider].restarts = true;
        nodes[decider].store_rejects = false;
        (nodes[successor].restarts, nodes[successor].store_rejects) = (false, false);
        Fleet { bound, directory, nodes, decider, successor, loses_power: false, rng }
    }

    fn is_down(&self, at: usize, now: Millis) -> bool {
        self.nodes[at].restarts && now >= DOWNTIME.0 && now < DOWNTIME.1
    }

    fn is_rejected(&self, at: usize, now: Millis) -> bool {
        self.nodes[at].store_rejects && now >= OUTAGE.0 && now < OUTAGE.1
    }

    /// Returns the decider as known to a node with this last contact.
    fn decider(&self, last_contact: Millis) -> Option<usize> {
        match last_contact {
            last_contact if last_contact < LEASE_EXPIRY => Some(self.decider),
            last_contact if last_contact < NEXT_TERM => None,
            _ => Some(self.successor),
        }
    }

    fn find(&self, node: &id::Node) -> usize {
        self.nodes.iter().position(|other| other.peer.node == *node).unwrap()
    }

    fn pick(&mut self, at: usize, now: Millis) {
        let last_contact = self.nodes[at].last_contact;
        let decider = last_contact.and_then(|last_contact| self.decider(last_contact));
        let decides = decider == Some(at);
        let decider = decider.map(|decider| self.nodes[decider].peer.node.clone());
        let node = &mut self.nodes[at];
        let source = match last_contact {
            None => start(&node.peer, &mut node.sources, &self.directory, now),
            Some(_) => pick(
                &mut node.sources,
                &node.peer,
                decides,
                decider.as_ref(),
                &self.directory,
                now,
                &mut self.rng,
            ),
        };
        if matches!(source, Source::Reader(_)) {
            self.nodes[at].serving = false;
        }
        self.nodes[at].activity = match source {
            Source::Reader(ref peer) | Source::Upstream(ref peer) => {
                let serves = matches!(source, Source::Upstream(_));
                Activity::Polls { queried: self.find(&peer.node), serves, since: now }
            }
            Source::Store => Activity::Watches(now),
            Source::Wait(pause) => {
                self.nodes[at].serving = false;
                Activity::Idle(now + pause.max(Millis(1)))
            }
        };
    }

    fn fail(&mut self, at: usize, queried: usize, failure: Failure, now: Millis) {
        let peer = self.nodes[queried].peer.node.clone();
        self.nodes[at].sources.record_failure(peer, failure, now);
        self.nodes[at].activity = Activity::Idle(now);
    }

    fn poll(&mut self, at: usize, queried: usize, serves: bool, since: Millis, now: Millis) {
        if now < since + REJECTION_TIME {
            return;
        }
        let their_contact = self.nodes[queried].last_contact;
        if self.is_down(queried, now) && self.loses_power {
            let timeout = self.nodes[at].sources.query_timeout(serves, since);
            let timeout =
                timeout.map_or(CONNECT_TIMEOUT, |remaining| remaining.clamp(Millis(100), CONNECT_TIMEOUT));
            if now >= since + timeout {
                self.fail(at, queried, Failure::TimedOut, now);
            }
            return;
        }
        if self.is_down(queried, now) {
            return self.fail(at, queried, Failure::Disconnected, now);
        }
        let Some(their_contact) = their_contact.filter(|_| self.nodes[queried].serving) else {
            return self.fail(at, queried, Failure::Stale, now);
        };
        let fresh = self.nodes[at].last_contact.is_none_or(|own_contact| their_contact > own_contact);
        if !fresh && now < since + LONG_POLL {
            return;
        }
        match self.nodes[at].sources.accepts(now.since(their_contact)) {
            true => {
                self.nodes[at].sources.record_answer(their_contact, now);
                self.record_contact(at, their_contact, serves, now);
            }
            false => self.fail(at, queried, Failure::Stale, now),
        }
    }

    fn watch(&mut self, at: usize, since: Millis, now: Millis) {
        if now < since + REJECTION_TIME {
            return;
        }
        if self.is_rejected(at, now) {
            let Peer { node, hall, .. } = self.nodes[at].peer.clone();
            let decides =
                self.nodes[at].last_contact.and_then(|last_contact| self.decider(last_contact)) == Some(at);
            let (sources, rng) = (&mut self.nodes[at].sources, &mut self.rng);
            sources.record_store_failure(&node, &hall, decides, &self.directory, now, rng);
            self.nodes[at].serving = false;
            self.nodes[at].activity = Activity::Idle(now);
        } else if now.0.is_multiple_of(CHANGE_INTERVAL.0) {
            self.nodes[at].sources.record_store_answer(now, now);
            self.record_contact(at, now, true, now);
        }
    }

    fn record_contact(&mut self, at: usize, last_contact: Millis, serves: bool, now: Millis) {
        let node = &mut self.nodes[at];
        node.last_contact = node.last_contact.max(Some(last_contact));
        node.serving = serves;
        node.activity = Activity::Idle(now + GATHER_TIME);
    }

    fn step(&mut self, at: usize, now: Millis) {
        if self.is_down(at, now) {
            let node = &mut self.nodes[at];
            (node.last_contact, node.serving, node.sources) = (None, false, Sources::new(self.bound));
            node.activity = Activity::Idle(DOWNTIME.1 + Millis(at as u64 % 40));
            return;
        }
        match self.nodes[at].activity {
            Activity::Idle(until) if now < until => {}
            Activity::Idle(_) => self.pick(at, now),
            Activity::Polls { queried, serves, since } => self.poll(at, queried, serves, since, now),
            Activity::Watches(since) => self.watch(at, since, now),
        }
    }

    /// Returns the maximum staleness of a node that kept running.
    fn simulate(&mut self) -> Millis {
        let mut max_staleness = Millis(0);
        for now in (0..OUTAGE.1.0).map(Millis) {
            for at in 0..self.nodes.len() {
                self.step(at, now);
                if !self.nodes[at].restarts {
                    max_staleness = max_staleness.max(now.since(self.nodes[at].last_contact.unwrap()));
                }
            }
        }
        max_staleness
    }
}

/// Picks the source of a node that starts: a reader of its hall, or else the store.
fn start(me: &Peer, sources: &mut Sources, directory: &Directory, now: Millis) -> Source {
    let readers = directory.list_local_readers(&me.node, &me.hall);
    match readers.get(now.0 as usize % (readers.len() + 1)) {
        Some(reader) => Source::Reader((*reader).clone()),
        None => sources.call_or_wait(now),
    }
}

fn pick(
    sources: &mut Sources,
    me: &Peer,
    decides: bool,
    decider: Option<&id::Node>,
    directory: &Directory,
    now: Millis,
    rng: &mut SmallRng,
) -> Source {
    match decides {
        true => sources.pick_store(&me.node, &me.hall, directory, now),
        false => sources.pick(&me.node, &me.hall, decider, directory, now, rng),
    }
}

#[test]
fn nodes_that_keep_running_stay_current_while_many_restart() {
    for (halls, boxes, bound) in [(3, 3, 2000), (4, 23, 3000), (5, 60, 4000)] {
        for seed in 1..=4 {
            let max_staleness = Fleet::new(halls, boxes, Millis(bound), seed).simulate();
            assert!(
                max_staleness < Millis(bound),
                "{halls} halls of {boxes}, seed {seed}: a node was stale by {max_staleness}"
            );
        }
    }
}

#[test]
fn nodes_that_keep_running_stay_current_while_many_lose_power() {
    for (halls, boxes, bound) in [(3, 3, 2000), (4, 23, 3000)] {
        for seed in 1..=8 {
            let mut fleet = Fleet::new(halls, boxes, Millis(bound), seed);
            fleet.loses_power = true;
            let max_staleness = fleet.simulate();
            assert!(
                max_staleness < Millis(bound),
                "{halls} halls of {boxes}, seed {seed}: a node was stale by {max_staleness}"
            );
        }
    }
}
