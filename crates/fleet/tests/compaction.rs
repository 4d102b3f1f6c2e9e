//! Guards against every node reading the whole store after the store dropped its history.
//!
//! Each of nearly a thousand nodes read two megabytes, for longer than the time within which a
//! configuration must be in force. A node whose changes the store no longer had discarded its own position,
//! and from then on queried only the store. Now it keeps polling other nodes for changes after that
//! position. Only the decider and the first reader of each hall read everything, and others only if those
//! do not answer.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::source::{Failure, Source, Sources};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The time within which a configuration must be in force.
const BOUND: Millis = Millis(5000);

/// The duration of a call to the store, of a query to a node, and of a poll without changes.
const CALL_TIME: Millis = Millis(4);
const QUERY_TIME: Millis = Millis(2);
const LONG_POLL: Millis = Millis(700);

/// How long reading the whole store takes on a box with a whole core, and on a small one.
const FULL_READ_TIME: Millis = Millis(250);
const FULL_READ_TIME_SMALL: Millis = Millis(1500);

const HALLS: usize = 5;

/// The processor time of the first boxes of each hall, and of all others.
const LARGE: Millicores = Millicores(1000);
const SMALL: Millicores = Millicores(120);

struct Follower {
    peer: Peer,
    sources: Sources,
    next_call: Millis,
    /// Whether the store has answered this node that it dropped the history.
    compacted: bool,
    /// Whether it answers queries.
    serving: bool,
    /// From when on it knows the change that was made meanwhile.
    informed_at: Option<Millis>,
}

/// Builds a fleet in which the first `large` boxes of each hall have a whole core.
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

/// Simulates a change of the store right after it dropped its history and ended all watches. Returns how
/// many nodes read the whole store, and when the last one knew of the change.
fn simulate(nodes: usize, large: usize, seed: u64) -> (usize, Millis) {
    let (directory, mut followers) = build(nodes, large);
    let mut rng = SmallRng::seed_from_u64(seed);
    let decider = followers[0].peer.node.clone();
    let (mut full_reads, mut now) = (0, Millis(1));
    // The watch of the decider was ended.
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

/// Makes one call of a node and returns its duration.
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
            me.sources.record_store_answer(now, now);
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
            me.sources.record_store_answer(now, now + read_time);
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
fn few_nodes_of_each_hall_read_the_whole_store_at_any_fleet_size() {
    for (nodes, large) in [(90, 0), (300, 0), (985, 10), (1970, 10)] {
        let (full_reads, last_informed) = simulate(nodes, large, 1);
        assert!(full_reads <= 3 * HALLS, "{nodes} nodes: {full_reads} read the whole store");
        assert!(last_informed < BOUND, "{nodes} nodes: a change was known everywhere after {last_informed}");
    }
}

#[test]
fn readers_are_the_boxes_with_the_most_processor_time() {
    let (directory, _) = build(985, 10);
    let readers = directory.list_readers(&"hall-1".parse().unwrap());
    assert!(readers.iter().all(|peer| peer.processor == LARGE), "a small box is a reader");
    // Each has the processor time of eight small boxes, which serve twelve nodes each.
    assert_eq!(readers.len(), 2, "of a hall of 197 nodes");
    let (directory, _) = build(985, 0);
    assert_eq!(directory.list_readers(&"hall-1".parse().unwrap()).len(), 17, "of small boxes alone");
    let (directory, _) = build(100, 10);
    assert_eq!(directory.list_readers(&"hall-1".parse().unwrap()).len(), 2, "a single reader may be lost");
}
