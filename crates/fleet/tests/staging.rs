//! The choice of models to stage on the hosts of runners, and the limit on loads.

mod instant;

use std::collections::HashSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::loads::{Loads, Purpose};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::Order;
use instant::{CEILING, World, at_rest, runner, service};

#[test]
fn reserve_loads_do_not_delay_repair_loads() {
    let mut loads = Loads::default();
    let engine = service().engine.unwrap();
    let started = Millis(1_000_000);
    let max_loads = engine.loads_at_once;
    loads.record_started(started, max_loads, Millis(16_000), true, Purpose::Reserve);
    let later = started + CEILING.window;
    let allowed = |purpose| loads.count_allowed(later, &engine, &CEILING, true, purpose);
    assert_eq!(allowed(Purpose::Reserve), 0, "no more run than the weight store serves at full speed");
    assert_eq!(
        allowed(Purpose::Repair),
        max_loads,
        "a group that callers need does not wait for reserve loads"
    );
    loads.record_started(later, max_loads, Millis(16_000), true, Purpose::Repair);
    let last = later + CEILING.window;
    assert_eq!(loads.count_allowed(last, &engine, &CEILING, true, Purpose::Repair), 0);
}

#[test]
fn a_starting_fleet_stages_on_free_runners_though_a_group_is_missing() {
    let mut world = World::new(6);
    // One domain has too few runners for its large group.
    for number in 3..10 {
        world.roster.remove(&format!("r0-{number}").parse().unwrap(), Millis(0));
    }
    world.run(60);
    let free = world.list_free();
    assert!(!free.is_empty());
    assert!(free.iter().all(|runner| !runner.staged.is_empty()), "all hold a model before callers arrive");
}

#[test]
fn loads_keep_the_ceiling_in_every_window() {
    let mut world = World::new(20);
    let mut starts: Vec<Millis> = Vec::new();
    for _ in 0..200 {
        let step = world.step();
        for (id, order) in &step.orders {
            let loads = match order {
                Order::Stage(_) => true,
                Order::Join(_, _, model, _) => !world.roster.get(id).unwrap().staged.contains(model),
                _ => false,
            };
            starts.extend(loads.then_some(world.now));
        }
        world.execute(&step);
        world.now = world.now + Millis(50);
    }
    let max_in_window = 5.0 * 5.0 * CEILING.overshoot + 3.0;
    for start in &starts {
        let within = starts.iter().filter(|at| **at >= *start && **at < *start + CEILING.window).count();
        assert!(within as f64 <= max_in_window, "{within} loads from {start}");
    }
    assert!(starts.len() >= 30, "it uses the allowed loads: {}", starts.len());
}

#[test]
fn a_runner_that_is_loading_a_model_is_not_ordered_to_load_another() {
    let mut world = World::new(1);
    world.serving = true;
    let mut ordered: HashSet<id::Runner> = HashSet::new();
    // No staged model ever arrives.
    for _ in 0..100 {
        let mut step = world.step();
        for (id, order) in &step.orders {
            if let Order::Stage(_) = order {
                assert!(ordered.insert(id.clone()), "{id} was ordered twice");
            }
        }
        step.orders.retain(|(_, order)| !matches!(order, Order::Stage(_)));
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    assert!(!ordered.is_empty());
}

#[test]
fn members_of_groups_hold_another_model_beside_the_served_one() {
    let mut world = World::new(6);
    // Before callers arrive loads are short, so that all wanted models can be loaded.
    world.run(300);
    for group in world.groups() {
        let other = if group.model.as_str() == "large" { "small" } else { "large" };
        for id in &group.members {
            let runner = world.roster.get(id).unwrap();
            assert_eq!(runner.staged[0].as_str(), other, "{id} of {}", group.name);
            assert!(runner.membership.is_some(), "they continue to serve");
        }
    }
}

#[test]
fn a_member_of_a_small_group_loads_the_model_that_the_rest_of_a_large_one_needs() {
    let mut world = at_rest(6);
    world.hang_loads = true;
    // No member of a small group holds the large model, as in a fleet whose callers arrived before it
    // could be loaded.
    let groups = world.groups().filter(|group| group.model.as_str() == "small");
    let members: HashSet<id::Runner> = groups.flat_map(|group| group.members.clone()).collect();
    for id in &members {
        let mut runner = world.roster.get(id).unwrap().clone();
        runner.staged = vec!["small".parse().unwrap()];
        world.roster.insert(runner);
    }
    world.memory = Memory::default();
    let (domain, plan) = world.plans.iter().next().map(|(id, plan)| (id.clone(), plan.clone())).unwrap();
    world.crash_spares(&domain);
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
    let small_members: Vec<&id::Runner> =
        plan.groups.iter().filter(|g| g.model.as_str() == "small").flat_map(|g| &g.members).collect();
    assert!(loading.iter().any(|id| small_members.contains(&id)), "{loading:?}");
    assert!(
        small_members.iter().all(|id| world.roster.get(id).unwrap().membership.is_some()),
        "they continue to serve"
    );
}

#[test]
fn a_runner_with_the_longest_possible_name_is_preloaded() {
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

/// Guards against reserve loads without benefit, which take capacity of the weight store that repairs
/// need.
///
/// A fleet without losses loaded 576 models in 25 s, each by an order, until every host had one:
/// reserves were sorted by the number of runners they spare, without a minimum.
#[test]
fn a_fleet_without_losses_loads_no_reserve_that_spares_practically_no_runners() {
    let clear_staged = |world: &mut World, members: usize| {
        let groups: Vec<_> = world.groups().cloned().collect();
        for id in groups.iter().flat_map(|group| group.members.iter().take(members)) {
            let mut runner = world.roster.get(id).unwrap().clone();
            runner.staged.clear();
            world.roster.insert(runner);
        }
    };
    let count_staged = |world: &mut World| {
        let mut staged = 0;
        for _ in 0..20 {
            let step = world.step();
            staged += step.orders.iter().filter(|(_, order)| matches!(order, Order::Stage(_))).count();
            world.now = world.now + Millis(100);
        }
        staged
    };
    let start_calm = || {
        let mut world = at_rest(6);
        let engine = world.service.engine.as_mut().unwrap();
        (engine.loads_at_once, engine.loads_per_second) = (100, 50.0);
        world.run(600);
        world
    };
    let mut world = start_calm();
    clear_staged(&mut world, 1);
    assert_eq!(count_staged(&mut world), 0, "the others of each domain hold the other model");
    let mut world = start_calm();
    clear_staged(&mut world, usize::MAX);
    assert!(count_staged(&mut world) > 0, "if no runner holds the other model, it is loaded");
}
