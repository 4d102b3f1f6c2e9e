//! Searches every order of events of a small domain for a broken invariant. The domain
//! has two deciders, one document, three runners and one group of two. Up to two crashes,
//! one restart, one lost store answer and one duplicated order occur at any moment, and
//! orders arrive late or never.

mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use cottoncrank::config::Fence;
use world::{Violation, World};

/// The faults that may still occur in one history.
#[derive(Clone, Copy, Debug, Hash)]
struct Mishaps {
    deaths: u8,
    births: u8,
    doubled: u8,
}

struct Search {
    seen: HashSet<u64>,
    violation: Option<Violation>,
    whole: usize,
}

fn fingerprint(world: &World, mishaps: Mishaps) -> u64 {
    let mut hasher = DefaultHasher::new();
    let deciders: Vec<String> =
        world.deciders.iter().map(|d| format!("{:?}{:?}", brief(&d.cache), brief(&d.pending))).collect();
    (&world.runners, format!("{:?}", brief(&Some(world.store.clone()))), deciders).hash(&mut hasher);
    (format!("{:?}", world.wire), world.lose_answers, mishaps).hash(&mut hasher);
    hasher.finish()
}

/// Returns a document without its events, which no decision depends on.
fn brief(held: &Option<(u64, cottoncrank::domain::Document)>) -> Option<String> {
    let (revision, document) = held.as_ref()?;
    Some(format!("{revision}{}{:?}{:?}", document.generation, document.groups, document.quarantine))
}

fn explore(world: &World, mishaps: Mishaps, depth: u32, search: &mut Search) {
    if search.violation.is_some() || !search.seen.insert(fingerprint(world, mishaps) ^ u64::from(depth)) {
        return;
    }
    if let Some(violation) = world.violations.first() {
        search.violation = Some(violation.clone());
        return;
    }
    search.whole += world.whole().len();
    if depth == 0 {
        return;
    }
    let mut go = |mishaps: Mishaps, act: &dyn Fn(&mut World) -> bool| {
        let mut next = world.clone();
        if act(&mut next) {
            explore(&next, mishaps, depth - 1, search);
        }
    };
    for decider in 0..world.deciders.len() {
        go(mishaps, &|w| w.read(decider));
        go(mishaps, &|w| w.decide(decider));
        go(mishaps, &|w| w.write(decider));
        go(mishaps, &|w| w.order(decider));
    }
    for message in 0..world.wire.len() {
        go(mishaps, &|w| w.deliver(message, false));
        if mishaps.doubled > 0 {
            let mishaps = Mishaps { doubled: mishaps.doubled - 1, ..mishaps };
            go(mishaps, &|w| w.deliver(message, true));
        }
    }
    for runner in 0..world.runners.len() {
        if mishaps.deaths > 0 && world.runners[runner].alive {
            let mishaps = Mishaps { deaths: mishaps.deaths - 1, ..mishaps };
            go(mishaps, &|w| {
                w.kill(runner);
                true
            });
        }
        if mishaps.births > 0 && !world.runners[runner].alive {
            let mishaps = Mishaps { births: mishaps.births - 1, ..mishaps };
            go(mishaps, &|w| {
                w.revive(runner);
                true
            });
        }
    }
}

fn search(fence: Fence, depth: u32) -> Search {
    let mut world = World::new(3, 1, 2, 2, fence);
    // Start with a complete group, so that the search depth covers what follows.
    world.settle(1, 20).expect("a healthy domain forms its group");
    for decider in &mut world.deciders {
        decider.cache = Some(world.store.clone());
    }
    world.lose_answers = 1;
    let mut search = Search { seen: HashSet::new(), violation: None, whole: 0 };
    explore(&world, Mishaps { deaths: 2, births: 1, doubled: 1 }, depth, &mut search);
    search
}

#[test]
fn no_order_of_events_breaks_an_invariant() {
    let search = search(Fence::Checked, 12);
    assert_eq!(search.violation, None);
    println!("{} states", search.seen.len());
    assert!(search.seen.len() > 10_000, "only {} states", search.seen.len());
    assert!(search.whole > 0);
}

#[test]
fn without_fences_the_same_search_finds_a_runner_going_back() {
    let search = search(Fence::Unchecked, 9);
    assert!(matches!(search.violation, Some(Violation::Back { .. })), "{:?}", search.violation);
}
