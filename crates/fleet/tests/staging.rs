//! Which models are put onto the hosts of runners, and how many at once.

mod instant;

use std::collections::HashSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::loads::{Loads, Purpose};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::Order;
use instant::{CEILING, World, at_rest, runner, service};

#[test]
fn loads_in_reserve_leave_those_for_repairs_alone() {
    let mut loads = Loads::default();
    let engine = service().engine.unwrap();
    let at = Millis(1_000_000);
    let most = engine.loads_at_once;
    loads.record_started(at, most, Millis(16_000), true, Purpose::Reserve);
    let later = at + CEILING.window;
    let allowed = |purpose| loads.count_allowed(later, &engine, &CEILING, true, purpose);
    assert_eq!(allowed(Purpose::Reserve), 0, "no more than run at full speed");
    assert_eq!(allowed(Purpose::Repair), most, "a group that callers need does not wait for them");
    loads.record_started(later, most, Millis(16_000), true, Purpose::Repair);
    let last = later + CEILING.window;
    assert_eq!(loads.count_allowed(last, &engine, &CEILING, true, Purpose::Repair), 0);
}

#[test]
fn a_fleet_that_starts_stages_what_is_free_though_a_group_is_lacking() {
    let mut world = World::new(6);
    // Of one domain there are too few runners for its large group.
    for number in 3..10 {
        world.roster.remove(&format!("r0-{number}").parse().unwrap(), Millis(0));
    }
    world.run(60);
    let free = world.list_free();
    assert!(!free.is_empty());
    assert!(free.iter().all(|runner| !runner.staged.is_empty()), "all hold a model before callers come");
}

#[test]
fn loads_keep_the_ceiling_in_every_window() {
    let mut world = World::new(20);
    let mut begun: Vec<Millis> = Vec::new();
    for _ in 0..200 {
        let step = world.step();
        for (id, order) in &step.orders {
            let loads = match order {
                Order::Stage(_) => true,
                Order::Join(_, _, model, _) => !world.roster.get(id).unwrap().staged.contains(model),
                _ => false,
            };
            begun.extend(loads.then_some(world.now));
        }
        world.execute(&step);
        world.now = world.now + Millis(50);
    }
    let most = 5.0 * 5.0 * CEILING.overshoot + 3.0;
    for start in &begun {
        let within = begun.iter().filter(|at| **at >= *start && **at < *start + CEILING.window).count();
        assert!(within as f64 <= most, "{within} loads from {start}");
    }
    assert!(begun.len() >= 30, "it uses what is allowed: {}", begun.len());
}

#[test]
fn a_runner_that_still_loads_one_model_is_not_told_to_load_another() {
    let mut world = World::new(1);
    world.serving = true;
    let mut asked: HashSet<id::Runner> = HashSet::new();
    // Nothing that is ordered to be staged ever gets there.
    for _ in 0..100 {
        let mut step = world.step();
        for (id, order) in &step.orders {
            if let Order::Stage(_) = order {
                assert!(asked.insert(id.clone()), "{id} was told twice");
            }
        }
        step.orders.retain(|(_, order)| !matches!(order, Order::Stage(_)));
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    assert!(!asked.is_empty());
}

#[test]
fn members_of_groups_hold_another_model_beside_what_they_serve() {
    let mut world = World::new(6);
    // Before callers come loads are short, and all that is wanted can be loaded.
    world.run(300);
    for group in world.groups() {
        let other = if group.model.as_str() == "large" { "small" } else { "large" };
        for id in &group.members {
            let runner = world.roster.get(id).unwrap();
            assert_eq!(runner.staged[0].as_str(), other, "{id} of {}", group.name);
            assert!(runner.membership.is_some(), "they serve on");
        }
    }
}

#[test]
fn a_member_of_a_small_group_loads_what_is_left_of_a_large_one_needs() {
    let mut world = at_rest(6);
    world.hang_loads = true;
    // Nobody holds the large model beside what he serves, as on a fleet whose callers
    // came before that could be loaded.
    let groups = world.groups().filter(|group| group.model.as_str() == "small");
    let members: HashSet<id::Runner> = groups.flat_map(|group| group.members.clone()).collect();
    for id in &members {
        let mut runner = world.roster.get(id).unwrap().clone();
        runner.staged = vec!["small".parse().unwrap()];
        world.roster.insert(runner);
    }
    world.memory = Memory::default();
    let (site, plan) = world.plans.iter().next().map(|(id, plan)| (id.clone(), plan.clone())).unwrap();
    world.crash_spares(&site);
    let large = plan.groups.iter().find(|group| group.model.as_str() == "large").unwrap();
    world.crash(&large.members[1]);
    let mut loading = Vec::new();
    for _ in 0..5 {
        let step = world.step();
        loading.extend(step.orders.iter().filter_map(|(id, order)| match order {
            Order::Stage(model) if model.as_str() == "large" => Some(id.clone()),
            _ => None,
        }));
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    let here: Vec<&id::Runner> =
        plan.groups.iter().filter(|g| g.model.as_str() == "small").flat_map(|g| &g.members).collect();
    assert!(loading.iter().any(|id| here.contains(&id)), "{loading:?}");
    assert!(here.iter().all(|id| world.roster.get(id).unwrap().membership.is_some()), "they serve on");
}

#[test]
fn a_runner_with_the_longest_name_there_can_be_is_preloaded() {
    let mut world = World::new(1);
    let mut long = runner(0, 99);
    long.id = "r".repeat(id::MAX_NAME_LEN).parse().unwrap();
    long.staged = vec!["large".parse().unwrap()];
    world.roster.insert(long.clone());
    let mut preloaded = false;
    for _ in 0..60 {
        let step = world.step();
        preloaded |= step.orders.iter().any(|(id, order)| {
            *id == long.id && matches!(order, Order::Join(.., members) if members.len() == 1)
        });
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    assert!(preloaded || world.groups().any(|group| group.members.contains(&long.id)));
}

/// In a fleet that lost nobody 576 models were loaded in 25 s, and as many orders given, until every
/// host had one: reserves were ordered by what they spare, with no least. Callers pay for such loads
/// with the places at the weight store that a repair would have.
#[test]
fn a_calm_fleet_that_serves_loads_no_reserve_that_spares_next_to_nothing() {
    let strip = |world: &mut World, members: usize| {
        let groups: Vec<_> = world.groups().cloned().collect();
        for id in groups.iter().flat_map(|group| group.members.iter().take(members)) {
            let mut runner = world.roster.get(id).unwrap().clone();
            runner.staged.clear();
            world.roster.insert(runner);
        }
    };
    let count = |world: &mut World| {
        let mut staged = 0;
        for _ in 0..20 {
            let step = world.step();
            staged += step.orders.iter().filter(|(_, order)| matches!(order, Order::Stage(_))).count();
            world.now = world.now + Millis(100);
        }
        staged
    };
    let calm = || {
        let mut world = at_rest(6);
        let engine = world.service.engine.as_mut().unwrap();
        (engine.loads_at_once, engine.loads_per_second) = (100, 50.0);
        world.run(600);
        world
    };
    let mut world = calm();
    strip(&mut world, 1);
    assert_eq!(count(&mut world), 0, "the others of each domain hold the other model");
    let mut world = calm();
    strip(&mut world, usize::MAX);
    assert!(count(&mut world) > 0, "where nobody holds the other model it is loaded");
}
