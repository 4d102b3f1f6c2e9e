//! How nodes that start together obtain their first copies of the store.
//!
//! They asked readers for 1.24 s that the store had refused. Whoever waits for no reader must not bring all nodes to
//! read the store at once.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::first_copy::{Answer, Asks, Step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The duration of a query to a node, and of a read of the whole store.
const QUERY_TIME: Millis = Millis(3);
const READ_TIME: Millis = Millis(30);

/// The time within which all nodes start.
const START_SPREAD: Millis = Millis(100);

/// How many readers are asked in each round.
const ASKED: usize = 2;

/// How readers fare, after the start of the first node.
#[derive(Clone, Copy)]
enum Readers {
    /// They read the store until then.
    ReadUntil(Millis),
    /// The store refuses them until then.
    RefusedUntil(Millis),
    /// They are gone.
    Gone,
}

impl Readers {
    /// Returns what they answer; `None` is a copy.
    fn answer(self, now: Millis) -> Option<Answer> {
        match self {
            Readers::ReadUntil(end) => (now < end).then_some(Answer::Pending),
            Readers::RefusedUntil(end) => (now < end).then_some(Answer::Empty),
            Readers::Gone => Some(Answer::Silent),
        }
    }
}

/// When each of the nodes that are no readers had a copy, and read the store for it if it did.
struct Start {
    reads: Vec<Millis>,
    copies: Vec<Millis>,
}

impl Start {
    fn last_copy(&self) -> Millis {
        *self.copies.iter().max().unwrap()
    }

    /// The most whole reads that began within a second.
    fn peak(&self) -> usize {
        let within = |begin: Millis| {
            self.reads.iter().filter(move |at| **at >= begin && at.since(begin) < Millis(1000))
        };
        self.reads.iter().map(|begin| within(*begin).count()).max().unwrap_or(0)
    }
}

fn build_hall(hall: usize, nodes: usize) -> (id::Hall, Directory) {
    let name: id::Hall = format!("hall-{hall}").parse().unwrap();
    let mut directory = Directory::default();
    for number in 0..nodes {
        directory.insert(Peer {
            node: format!("n{hall}-{number}").parse().unwrap(),
            hall: name.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            processor: Millicores(120),
        });
    }
    (name, directory)
}

/// Starts all nodes of a fleet.
fn simulate(halls: usize, nodes: usize, readers: Readers) -> Start {
    let mut rng = SmallRng::seed_from_u64(82);
    let mut start = Start { reads: Vec::new(), copies: Vec::new() };
    for number in 0..halls {
        let (hall, directory) = build_hall(number, nodes);
        for node in directory.list_nodes(&hall) {
            let asked = directory.list_local_readers(node, &hall).len().min(ASKED);
            if asked == 0 {
                continue;
            }
            let mut asks = Asks::default();
            let mut now = Millis(rng.random_range(0..START_SPREAD.0));
            loop {
                now = now + QUERY_TIME;
                let Some(answer) = readers.answer(now) else { break };
                match asks.record(&vec![answer; asked], &directory, now, &mut rng) {
                    Step::Ask(pause) => now = now + pause,
                    Step::Read(pause) => {
                        start.reads.push(now + pause);
                        now = now + pause + READ_TIME;
                        break;
                    }
                }
            }
            start.copies.push(now);
        }
    }
    start
}

#[test]
fn few_nodes_whose_reader_is_refused_read_the_store_at_once() {
    for nodes in [2, 3, 4] {
        let start = simulate(3, nodes, Readers::RefusedUntil(Millis(u64::MAX)));
        let bound = START_SPREAD + Millis(50 * nodes as u64) + QUERY_TIME + QUERY_TIME + READ_TIME;
        assert!(
            start.last_copy() <= bound,
            "{nodes} nodes a hall: the last copy after {}",
            start.last_copy()
        );
        assert_eq!(start.reads.len(), 3 * (nodes - 1));
    }
}

#[test]
fn hundreds_of_nodes_whose_readers_are_refused_do_not_read_the_store_together() {
    // The first retries of readers take about half a second. Until then few others read the store.
    let start = simulate(5, 60, Readers::RefusedUntil(Millis(600)));
    assert!(start.reads.len() <= 90, "{} of 275 nodes read the store", start.reads.len());
    assert!(start.last_copy() <= Millis(1400), "the last copy after {}", start.last_copy());
    // Even if no reader ever gets a copy, each hall reads it some 20 times a second.
    let start = simulate(5, 60, Readers::RefusedUntil(Millis(u64::MAX)));
    assert!(start.peak() <= 5 * 30, "{} nodes read the store within a second", start.peak());
    assert!(start.last_copy() <= Millis(3500), "the last copy after {}", start.last_copy());
}

#[test]
fn nodes_wait_for_readers_that_read_the_store() {
    for (halls, nodes) in [(3, 3), (5, 60)] {
        for end in [Millis(550), Millis(1000)] {
            let start = simulate(halls, nodes, Readers::ReadUntil(end));
            let reads = start.reads.len();
            assert_eq!(reads, 0, "{halls} halls of {nodes}: reads beside readers that read until {end}");
            assert!(start.last_copy() <= Millis(1400), "the last copy after {}", start.last_copy());
        }
    }
}

#[test]
fn hundreds_of_nodes_whose_readers_read_for_long_do_not_read_the_store_together() {
    let start = simulate(5, 60, Readers::ReadUntil(Millis(2000)));
    assert!(start.peak() <= 5 * 30, "{} nodes read the store within a second", start.peak());
    assert!(start.last_copy() <= Millis(2800), "the last copy after {}", start.last_copy());
    // A few read it hardly later than they would have together.
    let start = simulate(3, 3, Readers::ReadUntil(Millis(u64::MAX)));
    assert!(start.last_copy() <= Millis(1380 + 150), "the last copy after {}", start.last_copy());
}

#[test]
fn nodes_of_a_large_hall_whose_readers_never_have_a_copy_have_one_long_before_a_box_has_to_be_back() {
    for readers in [Readers::RefusedUntil(Millis(u64::MAX)), Readers::ReadUntil(Millis(u64::MAX))] {
        let start = simulate(5, 200, readers);
        assert!(start.last_copy() <= Millis(6000), "the last copy after {}", start.last_copy());
        assert!(start.peak() <= 300, "{} of 915 nodes read the store within a second", start.peak());
    }
}

#[test]
fn one_reader_that_may_have_a_copy_soon_is_waited_for_beside_others_that_have_none() {
    let (_, directory) = build_hall(0, 60);
    let rng = &mut SmallRng::seed_from_u64(1);
    let mut asks = Asks::default();
    for answers in [[Answer::Empty, Answer::Pending], [Answer::Pending, Answer::Silent]] {
        let step = asks.record(&answers, &directory, Millis(1000), rng);
        assert!(matches!(step, Step::Ask(_)), "{answers:?}: {step:?}");
    }
}

#[test]
fn nodes_whose_readers_are_gone_or_that_are_readers_read_the_store_at_once() {
    let start = simulate(3, 3, Readers::Gone);
    assert!(start.last_copy() <= START_SPREAD + QUERY_TIME + READ_TIME, "{}", start.last_copy());
    let (_, directory) = build_hall(0, 3);
    let step = Asks::default().record(&[], &directory, Millis(1000), &mut SmallRng::seed_from_u64(1));
    assert_eq!(step, Step::Read(Millis(0)));
}
