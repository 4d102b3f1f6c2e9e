//! When the store forgot its history, each of nearly a thousand nodes read all that it holds: two
//! megabytes each, for longer than a configuration may take to be in force everywhere.
//!
//! The cause: a node whose changes the store no longer knew forgot its own position, and asked
//! nobody but the store from then on. Now it goes on asking other nodes for what changed after that
//! position. All is read by the deciding node and the first reader of each hall, and by others only
//! where those tell nothing.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::source::{Failure, Source, Sources};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Within how long a configuration must be in force.
const BOUND: Millis = Millis(5000);

/// How long a call to the store takes, a question to a node, and a question without news.
const CALL_TIME: Millis = Millis(4);
const QUERY_TIME: Millis = Millis(2);
const LONG_POLL: Millis = Millis(700);

/// How long it takes to read all that the store holds, on a box of a whole core and on a small one.
const FULL_READ_TIME: Millis = Millis(250);
const FULL_READ_TIME_SMALL: Millis = Millis(1500);

const HALLS: usize = 5;

/// The processor time of the first boxes of a hall, and of all others.
const LARGE: Millicores = Millicores(1000);
const SMALL: Millicores = Millicores(120);

struct Follower {
    peer: Peer,
    sources: Sources,
    next_call: Millis,
    /// Whether the store has told this node that it forgot the history.
    compacted: bool,
    /// Whether it answers those that ask.
    serving: bool,
    /// Whether it knows the change that was made meanwhile, and from when on.
    informed_at: Option<Millis>,
}

/// The nodes of a fleet, the first boxes of each hall of a whole core if there are such.
fn build(nodes: usize, large: usize) -> (Directory, Vec<Follower>) {
    let mut directory = Directory::default();
    let mut followers = Vec::new();
    for at in 0..nodes {
        let (hall, number) = (at % HALLS, at / HALLS);
        let peer = Peer {
            node: format!("n{hall}-{number}").parse().unwrap(),
            hall: format!("hall-{hall}").parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            processor: if number < large { LARGE } else { SMALL },
        };
        directory.insert(peer.clone());
        let mut sources = Sources::new(BOUND);
        sources.record_answer(Millis(0), Millis(0));
        let next_call = Millis(1 + (at as u64 * 37) % LONG_POLL.0);
        followers.push(Follower {
            peer,
            sources,
            next_call,
            compacted: false,
            serving: true,
            informed_at: None,
        });
    }
    (directory, followers)
}

/// The store has forgotten its history, and has cut all watches, when a change was made. Returns
/// how many nodes read all that it holds, and when the last one knew of the change.
fn simulate(nodes: usize, large: usize, seed: u64) -> (usize, Millis) {
    let (directory, mut followers) = build(nodes, large);
    let mut rng = SmallRng::seed_from_u64(seed);
    let decider = followers[0].peer.node.clone();
    let (mut full_reads, mut now) = (0, Millis(1));
    // The watch of the deciding node was cut.
    followers[0].serving = false;
    while now < Millis(BOUND.0 + 100)
        && followers.iter().any(|follower| follower.informed_at.is_none_or(|at| at > now))
    {
        for at in 0..followers.len() {
            if now >= followers[at].next_call {
                let next_call =
                    step(&directory, &mut followers, at, &decider, &mut full_reads, now, &mut rng);
                followers[at].next_call = now + next_call;
            }
        }
        now = now + Millis(5);
    }
    (full_reads, now)
}

/// One call of a node. Returns how long it takes.
fn step(
    directory: &Directory,
    followers: &mut [Follower],
    at: usize,
    decider: &id::Node,
    full_reads: &mut usize,
    now: Millis,
    rng: &mut SmallRng,
) -> Millis {
    let Peer { node, hall, processor, .. } = followers[at].peer.clone();
    let is_decider = node == *decider;
    let me = &mut followers[at];
    let source = match is_decider {
        true => me.sources.pick_store(&node, &hall, directory, now),
        false => me.sources.pick(&node, &hall, Some(decider), directory, now, rng),
    };
    match source {
        Source::Store if me.informed_at.is_some() => {
            me.sources.record_store_answer(now);
            LONG_POLL
        }
        Source::Store if !me.compacted => {
            me.compacted = true;
            me.sources.record_compaction(&node, &hall, is_decider, directory, now, rng);
            CALL_TIME
        }
        Source::Store => {
            *full_reads += 1;
            let read_time = if processor == LARGE { FULL_READ_TIME } else { FULL_READ_TIME_SMALL };
            me.sources.record_store_answer(now + read_time);
            (me.informed_at, me.serving) = (Some(now + read_time), true);
            read_time
        }
        Source::Reader(queried) | Source::Upstream(queried) => {
            let other = followers.iter().find(|other| other.peer.node == queried.node).unwrap();
            let informed_at = other.informed_at.filter(|at| *at <= now);
            let serving = other.serving && !other.compacted || informed_at.is_some();
            let me = &mut followers[at];
            match (informed_at, serving) {
                (Some(_), _) => {
                    me.sources.record_answer(now, now);
                    (me.informed_at, me.compacted, me.serving) = (Some(now + QUERY_TIME), false, true);
                    LONG_POLL
                }
                (None, true) => {
                    me.sources.record_answer(now, now);
                    QUERY_TIME + Millis(20)
                }
                (None, false) => {
                    me.sources.record_failure(queried.node, Failure::Stale, now);
                    QUERY_TIME
                }
            }
        }
        Source::Wait(pause) => pause.max(CALL_TIME),
    }
}

#[test]
fn all_that_the_store_holds_is_read_by_few_nodes_of_each_hall_whatever_the_fleet() {
    for (nodes, large) in [(90, 0), (300, 0), (985, 10), (1970, 10)] {
        let (full_reads, last_informed) = simulate(nodes, large, 1);
        assert!(full_reads <= 3 * HALLS, "{nodes} nodes: {full_reads} read all that the store holds");
        assert!(last_informed < BOUND, "{nodes} nodes: a change was known everywhere after {last_informed}");
    }
}

#[test]
fn readers_are_the_boxes_with_the_most_time() {
    let (directory, _) = build(985, 10);
    let readers = directory.list_readers(&"hall-1".parse().unwrap());
    assert!(readers.iter().all(|peer| peer.processor == LARGE), "a small box reads for a hall");
    // Each has the time of eight small ones, which serve twelve nodes each.
    assert_eq!(readers.len(), 2, "of a hall of 197 nodes");
    let (directory, _) = build(985, 0);
    assert_eq!(directory.list_readers(&"hall-1".parse().unwrap()).len(), 17, "of small boxes alone");
    let (directory, _) = build(100, 10);
    assert_eq!(directory.list_readers(&"hall-1".parse().unwrap()).len(), 2, "one alone may be lost");
}
