//! Half of the fleet's processes ended within half a second while the store turned some
//! boxes away, and nodes that lived learned nothing for more than three seconds: one of them
//! refused requests with 404 for a route that had been accepted 3.01 s before. It had asked
//! two readers, two nodes of other halls and the deciding one, all of which had just started
//! or knew no more than itself, took the store for away, and was to wait for up to 50 ms for
//! each of 90 known nodes before it called it. Readers that the store turned away asked nobody
//! at all but the deciding node: one was at version 84 when version 87 was 2.1 s old, and
//! had called the store three times a second, each time in vain.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::source::{Failure, Source, Sources};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How long a watch of the store, or a question to a node, waits for a change.
const WAIT: Millis = Millis(700);

/// How long a refused call or question takes.
const REFUSED: Millis = Millis(4);

/// How long a node gathers changes before it asks again.
const GATHER: Millis = Millis(150);

/// How often something changes in the store.
const CHANGE: Millis = Millis(100);

/// From when to when the store turns some boxes away.
const AWAY: (Millis, Millis) = (Millis(1000), Millis(12_000));

/// From when to when the processes that end are gone.
const GONE: (Millis, Millis) = (Millis(2000), Millis(2300));

/// How long a question takes to a box without power, which says nothing.
const SILENT: Millis = Millis(1400);

/// When the lease of the deciding node, which ended, is over, and when the next one decides.
const LEASE_OVER: Millis = Millis(3500);
const NEXT_DECIDES: Millis = Millis(4000);

/// What a node does.
#[derive(Clone)]
enum Work {
    Idle(Millis),
    Asks { asked: usize, serves: bool, since: Millis },
    Watches(Millis),
}

struct Node {
    peer: Peer,
    sources: Sources,
    /// Whether the store turns it away, and whether its process ends.
    turned_away: bool,
    ends: bool,
    /// Up to when it knows all that was in the store; nothing if it has just started.
    known: Option<Millis>,
    /// Whether it answers other nodes.
    serving: bool,
    work: Work,
}

struct Fleet {
    bound: Millis,
    directory: Directory,
    nodes: Vec<Node>,
    decider: usize,
    next: usize,
    /// Whether those that end lose power with their boxes.
    silent: bool,
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
                    turned_away: rng.random_bool(0.4),
                    ends: rng.random_bool(0.6),
                    known: Some(Millis(0)),
                    serving: false,
                    work: Work::Idle(Millis(rng.random_range(0..100))),
                });
            }
        }
        let (decider, next) = (0, 1);
        nodes[decider].ends = true;
        nodes[decider].turned_away = false;
        (nodes[next].ends, nodes[next].turned_away) = (false, false);
        Fleet { bound, directory, nodes, decider, next, silent: false, rng }
    }

    fn is_gone(&self, at: usize, now: Millis) -> bool {
        self.nodes[at].ends && now >= GONE.0 && now < GONE.1
    }

    fn is_refused(&self, at: usize, now: Millis) -> bool {
        self.nodes[at].turned_away && now >= AWAY.0 && now < AWAY.1
    }

    /// Who decides, as far as a node that knows this much has heard.
    fn decider(&self, known: Millis) -> Option<usize> {
        match known {
            known if known < LEASE_OVER => Some(self.decider),
            known if known < NEXT_DECIDES => None,
            _ => Some(self.next),
        }
    }

    fn find(&self, node: &id::Node) -> usize {
        self.nodes.iter().position(|other| other.peer.node == *node).unwrap()
    }

    fn pick(&mut self, at: usize, now: Millis) {
        let known = self.nodes[at].known;
        let decider = known.and_then(|known| self.decider(known));
        let decides = decider == Some(at);
        let decider = decider.map(|decider| self.nodes[decider].peer.node.clone());
        let node = &mut self.nodes[at];
        let source = match known {
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
        self.nodes[at].work = match source {
            Source::Reader(ref peer) | Source::Upstream(ref peer) => {
                let serves = matches!(source, Source::Upstream(_));
                Work::Asks { asked: self.find(&peer.node), serves, since: now }
            }
            Source::Store => Work::Watches(now),
            Source::Wait(pause) => {
                self.nodes[at].serving = false;
                Work::Idle(now + pause.max(Millis(1)))
            }
        };
    }

    fn fail(&mut self, at: usize, asked: usize, failure: Failure, now: Millis) {
        let peer = self.nodes[asked].peer.node.clone();
        self.nodes[at].sources.record_failure(peer, failure, now);
        self.nodes[at].work = Work::Idle(now);
    }

    fn ask(&mut self, at: usize, asked: usize, serves: bool, since: Millis, now: Millis) {
        if now < since + REFUSED {
            return;
        }
        let there = self.nodes[asked].known;
        if self.is_gone(asked, now) && self.silent {
            let patience = self.nodes[at].sources.query_timeout(serves, since);
            let patience = patience.map_or(SILENT, |left| left.clamp(Millis(100), SILENT));
            if now >= since + patience {
                self.fail(at, asked, Failure::TimedOut, now);
            }
            return;
        }
        if self.is_gone(asked, now) {
            return self.fail(at, asked, Failure::Disconnected, now);
        }
        let Some(there) = there.filter(|_| self.nodes[asked].serving) else {
            return self.fail(at, asked, Failure::Stale, now);
        };
        let fresh = self.nodes[at].known.is_none_or(|here| there > here);
        if !fresh && now < since + WAIT {
            return;
        }
        match self.nodes[at].sources.accepts(now.since(there)) {
            true => {
                self.nodes[at].sources.record_answer(there, now);
                self.learn(at, there, serves, now);
            }
            false => self.fail(at, asked, Failure::Stale, now),
        }
    }

    fn watch(&mut self, at: usize, since: Millis, now: Millis) {
        if now < since + REFUSED {
            return;
        }
        if self.is_refused(at, now) {
            let Peer { node, hall, .. } = self.nodes[at].peer.clone();
            let decides = self.nodes[at].known.and_then(|known| self.decider(known)) == Some(at);
            let (sources, rng) = (&mut self.nodes[at].sources, &mut self.rng);
            sources.record_store_failure(&node, &hall, decides, &self.directory, now, rng);
            self.nodes[at].serving = false;
            self.nodes[at].work = Work::Idle(now);
        } else if now.0.is_multiple_of(CHANGE.0) {
            self.nodes[at].sources.record_store_answer(now);
            self.learn(at, now, true, now);
        }
    }

    fn learn(&mut self, at: usize, known: Millis, serves: bool, now: Millis) {
        let node = &mut self.nodes[at];
        node.known = node.known.max(Some(known));
        node.serving = serves;
        node.work = Work::Idle(now + GATHER);
    }

    fn step(&mut self, at: usize, now: Millis) {
        if self.is_gone(at, now) {
            let node = &mut self.nodes[at];
            (node.known, node.serving, node.sources) = (None, false, Sources::new(self.bound));
            node.work = Work::Idle(GONE.1 + Millis(at as u64 % 40));
            return;
        }
        match self.nodes[at].work {
            Work::Idle(until) if now < until => {}
            Work::Idle(_) => self.pick(at, now),
            Work::Asks { asked, serves, since } => self.ask(at, asked, serves, since, now),
            Work::Watches(since) => self.watch(at, since, now),
        }
    }

    /// How old what a node that lived knew became.
    fn play(&mut self) -> Millis {
        let mut oldest = Millis(0);
        for now in (0..AWAY.1.0).map(Millis) {
            for at in 0..self.nodes.len() {
                self.step(at, now);
                if !self.nodes[at].ends {
                    oldest = oldest.max(now.since(self.nodes[at].known.unwrap()));
                }
            }
        }
        oldest
    }
}

/// A node that starts asks a reader of its hall, and else the store.
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
fn those_that_live_through_a_restart_of_many_know_the_configuration_in_time() {
    for (halls, boxes, bound) in [(3, 3, 2000), (4, 23, 3000), (5, 60, 4000)] {
        for seed in 1..=4 {
            let oldest = Fleet::new(halls, boxes, Millis(bound), seed).play();
            assert!(
                oldest < Millis(bound),
                "{halls} halls of {boxes}, seed {seed}: what a node knew became {oldest} old"
            );
        }
    }
}

#[test]
fn those_that_live_through_a_loss_of_power_of_many_know_the_configuration_in_time() {
    for (halls, boxes, bound) in [(3, 3, 2000), (4, 23, 3000)] {
        for seed in 1..=8 {
            let mut fleet = Fleet::new(halls, boxes, Millis(bound), seed);
            fleet.silent = true;
            let oldest = fleet.play();
            assert!(
                oldest < Millis(bound),
                "{halls} halls of {boxes}, seed {seed}: what a node knew became {oldest} old"
            );
        }
    }
}
