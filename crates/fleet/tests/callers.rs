//! How a decider that has had no request itself finds that callers are served, and that the store keeps it.
//!
//! The failure: a decider without a request of its own took all loads for fast, and began 25 at once beside seven
//! of its predecessor, where the ceiling allows 30 within 5 s.

mod instant;

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::Millis;
use cottoncrank_fleet::callers::{self, Evidence};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::plan::{Document, Plans};
use cottoncrank_fleet::position::Era;
use cottoncrank_fleet::pressure::{Pressure, Strain};
use cottoncrank_fleet::probe::Probes;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_fleet::snapshot::Snapshot;
use instant::{CEILING, STALL, World, service};

/// What a decider may know of callers.
#[derive(Default)]
struct Known {
    own: bool,
    plans: Plans,
    in_flight: Option<Counts>,
    pressure: Pressure,
}

fn find(known: &Known) -> Option<Evidence> {
    callers::find(&Snapshot {
        service: &service(),
        roster: &Roster::default(),
        plans: &known.plans,
        era: Era::default(),
        closed: &BTreeSet::new(),
        probes: &Probes::default(),
        serving: known.own,
        ceiling: &CEILING,
        stall: STALL,
        in_flight: known.in_flight.as_ref(),
        rejecting: &BTreeSet::new(),
        pressure: &known.pressure,
        now: Millis(1_000_000),
    })
}

fn plan(served: bool) -> Plans {
    Plans::from([("d0".parse().unwrap(), Document { served, ..Document::default() })])
}

#[test]
fn each_trace_of_callers_is_found() {
    let in_flight = |count| Some(Counts::from([(Epoch(1), 0), (Epoch(2), count)]));
    let strain = Strain { asked: 1.0, refused: 1.0 };
    let strains = BTreeMap::from([("large".parse().unwrap(), strain)]);
    let pressure = Pressure { strains, priorities: false };
    let rows = [
        (Known::default(), None),
        (Known { plans: plan(false), in_flight: in_flight(0), ..Known::default() }, None),
        (Known { own: true, ..Known::default() }, Some(Evidence::Own)),
        (Known { plans: plan(true), ..Known::default() }, Some(Evidence::Plan)),
        (Known { in_flight: in_flight(1), ..Known::default() }, Some(Evidence::InFlight)),
        (Known { pressure, ..Known::default() }, Some(Evidence::Pressure)),
    ];
    for (known, evidence) in rows {
        assert_eq!(find(&known), evidence);
    }
}

/// Returns a fleet whose groups are open, before its first caller.
fn start_fleet() -> World {
    let mut world = World::new(4);
    world.run(60);
    assert!(world.groups().count() > 4);
    world
}

fn count_served(world: &World) -> usize {
    world.plans.values().filter(|plan| plan.served).count()
}

#[test]
fn one_plan_is_written_for_the_first_caller_and_none_for_the_next() {
    let mut world = start_fleet();
    assert!(world.step().writes.is_empty());
    // The decider has had no request itself.
    let epoch = world.groups().next().unwrap().epoch;
    world.in_flight = Some(Counts::from([(epoch, 1)]));
    assert_eq!(world.step().writes.len(), 1);
    assert_eq!(count_served(&world), 1);
    world.serving = true;
    world.in_flight = None;
    assert!(world.step().writes.is_empty());
}

#[test]
fn a_step_that_was_not_written_marks_a_plan_again() {
    let mut world = start_fleet();
    world.serving = true;
    assert_eq!(world.propose().writes.len(), 1);
    assert_eq!(world.propose().writes.len(), 1);
}

#[test]
fn a_decider_that_knows_only_the_plans_keeps_the_mark_through_losses() {
    let mut world = start_fleet();
    world.serving = true;
    world.run(5);
    (world.serving, world.memory) = (false, Memory::default());
    let marked = world.plans.values().find(|plan| plan.served).unwrap();
    let (top, lost) = (marked.top, marked.groups[0].clone());
    world.crash(&lost.members[1]);
    world.run(60);
    let marked = world.plans.values().find(|plan| plan.served).unwrap();
    assert!(marked.top > top && !marked.groups.contains(&lost), "the plan is written anew");
    assert_eq!(count_served(&world), 1);
}

/// Before the first caller, loads are fast for every decider.
#[test]
fn a_change_of_deciders_before_the_first_caller_leaves_no_mark() {
    let mut world = World::new(4);
    for _ in 0..10 {
        world.run(6);
        world.memory = Memory::default();
    }
    assert_eq!(count_served(&world), 0);
    assert!(world.groups().count() > 4);
}
