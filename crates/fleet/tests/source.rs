//! Which nodes are queried while the store is unavailable, and how often nodes call the store.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::source::{Failure, Source, Sources};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The duration of a rejected call to the store, and of a query to a node.
const CALL_TIME: Millis = Millis(4);

/// How long a poll waits when there is no change.
const LONG_POLL: Millis = Millis(700);

/// The time within which a configuration must be in force.
const BOUND: Millis = Millis(4000);

fn peer(hall: usize, number: usize, processor: u32) -> Peer {
    Peer {
        node: format!("n{hall}-{number}").parse().unwrap(),
        hall: format!("hall-{hall}").parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        processor: Millicores(processor),
    }
}

/// Returns halls of `nodes` boxes each, of which the first three have more processor time.
fn directory(halls: usize, nodes: usize) -> Directory {
    build(halls, nodes, |number| if number < 3 { 500 } else { 120 })
}

fn build(halls: usize, nodes: usize, processor: impl Fn(usize) -> u32) -> Directory {
    let mut directory = Directory::default();
    for hall in 0..halls {
        for number in 0..nodes {
            directory.insert(peer(hall, number, processor(number)));
        }
    }
    directory
}

/// A node that follows the changes of the store.
struct Follower {
    peer: Peer,
    sources: Sources,
    /// When it picks a source again.
    next: Millis,
    /// Its proof of freshness.
    proof: Millis,
}

/// Simulates a fleet whose store is unavailable from `down` to `up`. Returns the calls to it meanwhile, and
/// the delay after `up` until the last node has a proof again.
fn simulate_outage(halls: usize, nodes: usize, down: Millis, up: Millis) -> (usize, Millis) {
    let directory = directory(halls, nodes);
    let mut rng = SmallRng::seed_from_u64(3);
    let mut followers: Vec<Follower> = Vec::new();
    for hall in 0..halls {
        for number in 0..nodes {
            let peer = peer(hall, number, 120);
            let next = Millis((number as u64 * 37) % LONG_POLL.0);
            followers.push(Follower { peer, sources: Sources::new(BOUND), next, proof: Millis(0) });
        }
    }
    let (mut calls, mut now) = (0, Millis(0));
    let is_down = |now: Millis| now >= down && now < up;
    while now < up + Millis(20_000) {
        for at in 0..followers.len() {
            if now < followers[at].next {
                continue;
            }
            let Peer { node, hall, .. } = followers[at].peer.clone();
            let source = followers[at].sources.pick(&node, &hall, None, &directory, now, &mut rng);
            let from_store = source == Source::Store;
            let (proof, wait) = match source {
                Source::Store if is_down(now) => {
                    calls += 1;
                    let sources = &mut followers[at].sources;
                    sources.record_store_failure(&node, &hall, false, &directory, now, &mut rng);
                    (None, CALL_TIME)
                }
                Source::Store => (Some(now), LONG_POLL),
                Source::Reader(queried) | Source::Upstream(queried) => {
                    let their_proof =
                        followers.iter().find(|other| other.peer.node == queried.node).unwrap().proof;
                    // A node without a recent proof rejects queries.
                    if is_down(now) || their_proof + Millis(1500) < now {
                        followers[at].sources.record_failure(queried.node, Failure::Stale, now);
                        (None, CALL_TIME)
                    } else {
                        (Some(their_proof), LONG_POLL)
                    }
                }
                Source::Wait(pause) => (None, pause.max(CALL_TIME)),
            };
            if let Some(proof) = proof {
                match from_store {
                    true => followers[at].sources.record_store_answer(now, now),
                    false => followers[at].sources.record_answer(proof, now),
                }
                followers[at].proof = proof;
            }
            followers[at].next = now + wait;
        }
        now = now + Millis(1);
        if now > up && followers.iter().all(|follower| follower.proof >= up) {
            break;
        }
    }
    (calls, now.since(up))
}

#[test]
fn calls_during_an_outage_hardly_grow_with_the_fleet() {
    let (calls_small, _) = simulate_outage(3, 3, Millis(3000), Millis(11_000));
    let (calls_large, _) = simulate_outage(5, 60, Millis(3000), Millis(11_000));
    // If each of 300 nodes retried every 0.2 to 0.4 s, they would make eight thousand calls.
    assert!(calls_large <= 800, "{calls_large} calls of 300 nodes");
    assert!(calls_large <= 10 * calls_small, "{calls_large} calls of 300 nodes, {calls_small} of nine");
}

#[test]
fn all_nodes_have_a_proof_soon_after_an_outage() {
    for (halls, nodes) in [(3, 3), (5, 14), (5, 60)] {
        let (_, delay) = simulate_outage(halls, nodes, Millis(3000), Millis(11_000));
        assert!(delay <= Millis(3500), "{halls} halls of {nodes}: the last one after {delay}");
    }
}

#[test]
fn readers_poll_the_decider_or_else_the_first_reader_of_their_hall() {
    let directory = build(2, 30, |_| 120);
    let hall: id::Hall = "hall-0".parse().unwrap();
    let readers: Vec<id::Node> =
        directory.list_readers(&hall).into_iter().map(|peer| peer.node.clone()).collect();
    assert_eq!(readers.len(), 3);
    let decider: id::Node = "n1-7".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pick = |sources: &mut Sources, me: &id::Node, decider: Option<&id::Node>, now: Millis| {
        sources.pick(me, &hall, decider, &directory, now, &mut rng)
    };
    let now = Millis(1000);
    for reader in &readers {
        let source = pick(&mut Sources::new(BOUND), reader, Some(&decider), now);
        assert!(matches!(source, Source::Upstream(peer) if peer.node == decider));
    }
    assert_eq!(pick(&mut Sources::new(BOUND), &readers[0], None, now), Source::Store);
    let mut second = Sources::new(BOUND);
    assert!(
        matches!(pick(&mut second, &readers[1], None, now), Source::Upstream(peer) if peer.node == readers[0])
    );
    // The first reader does not answer, so the second one reads the store for a while.
    second.record_failure(readers[0].clone(), Failure::TimedOut, now);
    assert_eq!(pick(&mut second, &readers[1], None, now), Source::Store);
    let later = now + Millis(3000);
    assert!(matches!(pick(&mut second, &readers[1], None, later), Source::Upstream(_)));
}

#[test]
fn a_node_without_a_current_reader_rarely_calls_the_store() {
    let directory = directory(5, 60);
    let hall: id::Hall = "hall-0".parse().unwrap();
    let readers: Vec<id::Node> =
        directory.list_readers(&hall).into_iter().map(|peer| peer.node.clone()).collect();
    let me = (0..60).map(|number| peer(0, number, 120).node).find(|node| !readers.contains(node)).unwrap();
    let mut sources = Sources::new(BOUND);
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut now, mut calls) = (Millis(0), 0);
    while now < Millis(60_000) {
        match sources.pick(&me, &hall, None, &directory, now, &mut rng) {
            Source::Reader(reader) => sources.record_failure(reader.node, Failure::Stale, now),
            Source::Store => {
                calls += 1;
                sources.record_store_failure(&me, &hall, false, &directory, now, &mut rng);
            }
            Source::Upstream(_) => panic!("{me} is no reader"),
            Source::Wait(pause) => now = now + pause.max(Millis(1)),
        }
    }
    assert!((1..=5).contains(&calls), "{calls} calls in a minute");
}

/// Simulates a store that rejects the readers of one hall. Returns the maximum staleness of the other nodes
/// of that hall, which the store serves. Queries succeed only at nodes for which `served` holds.
fn simulate_rejection(served: impl Fn(&Peer) -> bool) -> Millis {
    let directory = directory(3, 23);
    let hall: id::Hall = "hall-0".parse().unwrap();
    let readers: Vec<id::Node> =
        directory.list_readers(&hall).into_iter().map(|peer| peer.node.clone()).collect();
    let decider: id::Node = "n1-0".parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut max_staleness = Millis(0);
    for number in 0..23 {
        let me = peer(0, number, 120).node;
        if readers.contains(&me) {
            continue;
        }
        let (mut sources, mut now, mut proof) = (Sources::new(BOUND), Millis(0), Millis(0));
        while now < Millis(20_000) {
            match sources.pick(&me, &hall, Some(&decider), &directory, now, &mut rng) {
                Source::Reader(queried) | Source::Upstream(queried) if !served(&queried) => {
                    sources.record_failure(queried.node, Failure::Stale, now);
                    now = now + CALL_TIME;
                }
                Source::Reader(_) | Source::Upstream(_) => {
                    proof = now;
                    sources.record_answer(now, now);
                    now = now + LONG_POLL;
                }
                Source::Store => {
                    proof = now;
                    sources.record_store_answer(now, now);
                    now = now + LONG_POLL;
                }
                Source::Wait(pause) => now = now + pause.max(Millis(1)),
            }
            max_staleness = max_staleness.max(now.since(proof));
        }
    }
    max_staleness
}

#[test]
fn nodes_with_rejected_readers_learn_from_other_halls() {
    let hall: id::Hall = "hall-0".parse().unwrap();
    let max_staleness = simulate_rejection(|peer| peer.hall != hall);
    assert!(max_staleness < Millis(1500), "what a node knows became {max_staleness} old");
}

#[test]
fn nodes_call_the_store_while_no_other_node_is_current() {
    // Each node finds out at its own time, so that they do not all call at once in an outage.
    let mut max_staleness = simulate_rejection(|_| false);
    assert!(max_staleness < Millis(4500), "what a node knows became {max_staleness} old");
    // A node that found out does not wait again.
    max_staleness = simulate_rejection(|peer| peer.node.as_str() == "n1-0");
    assert!(max_staleness < Millis(1500), "what a node knows became {max_staleness} old");
}

#[test]
fn candidates_with_more_processor_time_rank_first_and_ranks_are_unique() {
    let directory = directory(5, 60);
    let ranks: Vec<usize> = (0..5)
        .flat_map(|hall| (0..60).map(move |number| peer(hall, number, 0).node))
        .map(|node| directory.rank_candidate(&node))
        .collect();
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, (0..300).collect::<Vec<_>>(), "two candidates have the same rank");
    let large: Vec<usize> = (0..5).flat_map(|hall| ranks[hall * 60..hall * 60 + 3].to_vec()).collect();
    assert!(large.iter().all(|rank| *rank < 15), "{large:?}");
}

/// Returns the longest pause of a node that knows no other, over `failures` calls to the store that fail. The store
/// gives some pages before each failure if `has_pages` says so.
fn find_longest_pause(failures: usize, has_pages: bool) -> Millis {
    let mut directory = Directory::default();
    directory.insert(peer(0, 0, 120));
    let (me, hall): (id::Node, id::Hall) = ("n0-0".parse().unwrap(), "hall-0".parse().unwrap());
    let mut sources = Sources::new(BOUND);
    let mut rng = SmallRng::seed_from_u64(9);
    let (mut now, mut longest) = (Millis(0), Millis(0));
    for _ in 0..failures {
        if has_pages {
            sources.record_store_progress();
        }
        sources.record_store_failure(&me, &hall, false, &directory, now, &mut rng);
        let Source::Wait(pause) = sources.pick_store(&me, &hall, &directory, now) else {
            panic!("the store is called at once after it failed");
        };
        assert!(pause >= Millis(200), "{pause}");
        longest = longest.max(pause);
        now = now + pause;
    }
    longest
}

#[test]
fn pauses_grow_only_while_the_store_gives_no_pages() {
    assert!(find_longest_pause(8, true) <= Millis(400));
    assert!(find_longest_pause(8, false) >= Millis(1600));
}
