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
struct FaultBudget {
    crashes: u8,
    restarts: u8,
    doubled: u8,
}

struct Search {
    seen: HashSet<u64>,
    violation: Option<Violation>,
    whole: usize,
}

fn fingerprint(world: &World, faults: FaultBudget) -> u64 {
    let mut hasher = DefaultHasher::new();
    let deciders: Vec<String> = world
        .deciders
        .iter()
        .map(|d| format!("{:?}{:?}", summarize(&d.cache), summarize(&d.pending)))
        .collect();
    (&world.runners, format!("{:?}", summarize(&Some(world.store.clone()))), deciders).hash(&mut hasher);
    (format!("{:?}", world.wire), world.lose_answers, faults).hash(&mut hasher);
    hasher.finish()
}

/// Returns a document without its events, which no decision depends on.
fn summarize(held: &Option<(u64, cottoncrank::domain::Document)>) -> Option<String> {
    let (revision, document) = held.as_ref()?;
    Some(format!("{revision}{}{:?}{:?}", document.generation, document.groups, document.quarantine))
}

fn explore(world: &World, faults: FaultBudget, depth: u32, search: &mut Search) {
    if search.violation.is_some() || !search.seen.insert(fingerprint(world, faults) ^ u64::from(depth)) {
        return;
    }
    if let Some(violation) = world.violations.first() {
        search.violation = Some(violation.clone());
        return;
    }
    search.whole += world.list_whole_groups().len();
    if depth == 0 {
        return;
    }
    let mut branch = |faults: FaultBudget, apply: &dyn Fn(&mut World) -> bool| {
        let mut next = world.clone();
        if apply(&mut next) {
            explore(&next, faults, depth - 1, search);
        }
    };
    for decider in 0..world.deciders.len() {
        branch(faults, &|w| w.read(decider));
        branch(faults, &|w| w.decide(decider));
        branch(faults, &|w| w.write(decider));
        branch(faults, &|w| w.order(decider));
    }
    for message in 0..world.wire.len() {
        branch(faults, &|w| w.deliver(message, false));
        if faults.doubled > 0 {
            let faults = FaultBudget { doubled: faults.doubled - 1, ..faults };
            branch(faults, &|w| w.deliver(message, true));
        }
    }
    for runner in 0..world.runners.len() {
        if faults.crashes > 0 && world.runners[runner].alive {
            let faults = FaultBudget { crashes: faults.crashes - 1, ..faults };
            branch(faults, &|w| {
                w.crash(runner);
                true
            });
        }
        if faults.restarts > 0 && !world.runners[runner].alive {
            let faults = FaultBudget { restarts: faults.restarts - 1, ..faults };
            branch(faults, &|w| {
                w.restart(runner);
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
    explore(&world, FaultBudget { crashes: 2, restarts: 1, doubled: 1 }, depth, &mut search);
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
    assert!(matches!(search.violation, Some(Violation::Regressed { .. })), "{:?}", search.violation);
}
