//! Callers that want something else than operators published: two hundred runners, of which
//! the half meant for a large model stands nearly idle, while members are lost all the time.

mod world;

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::Model;
use cottoncrank_fleet::demand::Demand;
use world::{World, engine, model};

/// The pause between two losses.
const PAUSE: Millis = Millis(3000);

fn models() -> Vec<Model> {
    vec![model("large", 16, 0.5, 16_000, 1600), model("small", 4, 0.5, 12_000, 1100)]
}

fn name(name: &str) -> id::Model {
    name.parse().unwrap()
}

/// 222 runners in six domains that serve; callers want so many slots of each model.
fn started(large: u32, small: u32, seed: u64) -> World {
    let mut world = World::new(engine(models(), 20.0, 28), 6, 37, 2, seed);
    world.run(Millis(14_000));
    world.serving = true;
    world.reset_counts();
    want(&mut world, large, small);
    world
}

fn want(world: &mut World, large: u32, small: u32) {
    world.demanded_slots = HashMap::from([(name("large"), large), (name("small"), small)]);
}

/// Groups open on average, large and small, over so many losses of four runners.
fn lose(world: &mut World, losses: usize) -> (f64, f64) {
    let (mut large, mut small) = (0, 0);
    for _ in 0..losses {
        world.lose_in_turn(3, 4, PAUSE, PAUSE);
        large += world.count_open("large");
        small += world.count_open("small");
    }
    (large as f64 / losses as f64, small as f64 / losses as f64)
}

#[test]
fn what_is_lost_is_formed_anew_of_the_model_that_callers_want() {
    let mean = |large: u32, small: u32| {
        let runs = (0..3).map(|seed| {
            let mut world = started(large, small, seed);
            lose(&mut world, 4);
            lose(&mut world, 10)
        });
        runs.fold((0.0, 0.0), |sum, run| (sum.0 + run.0 / 3.0, sum.1 + run.1 / 3.0))
    };
    // Of 84 slots of six large groups 8 are used, and nearly all of the small ones.
    let shifted = mean(8, 330);
    let even = mean(60, 250);
    assert!(shifted.1 > even.1 + 2.0, "small groups: {shifted:?}, and {even:?} where both are wanted");
    assert!(shifted.0 > 2.0, "large groups are kept for those who want them: {shifted:?}");
}

#[test]
fn a_burst_moves_nothing_and_a_shift_does() {
    let shares =
        |demand: &Demand| demand.adjust(&models()).iter().map(|model| model.share).collect::<Vec<_>>();
    let mut demand = Demand::default();
    let mut now = Millis(1_000_000);
    let mut note = |demand: &mut Demand, seconds: u64, large: f64, small: f64| {
        for _ in 0..4 * seconds {
            demand.record([(name("large"), large), (name("small"), small)], now);
            now = now + Millis(250);
        }
    };
    note(&mut demand, 20, 0.4, 0.45);
    assert_eq!(shares(&demand), [0.5, 0.5], "nobody waits for room");
    note(&mut demand, 2, 0.05, 0.95);
    assert!(shares(&demand)[0] > 0.45, "a burst of two seconds: {:?}", shares(&demand));
    note(&mut demand, 20, 0.05, 0.95);
    let shifted = shares(&demand);
    assert!(shifted[0] < 0.2 && (shifted[0] + shifted[1] - 1.0).abs() < 1e-9, "{shifted:?}");
    note(&mut demand, 30, 0.6, 0.7);
    assert_eq!(shares(&demand), [0.5, 0.5], "both are as busy again");
}

#[test]
fn what_moves_the_parts_is_told() {
    let mut demand = Demand::default();
    for at in 0..80 {
        let used = [(name("large"), 0.1), (name("small"), 0.8)];
        demand.record(used, Millis(1_000_000 + 250 * at));
    }
    let parts = demand.list_shares(&models());
    assert_eq!(parts[0].to_string(), "large gets 0.25 of the runners, published 0.50, slots in use 0.10");
    assert!(parts[0].differs(&Demand::default().list_shares(&models())[0]));
}

#[test]
fn a_wave_of_demand_makes_no_groups_swing() {
    let mut world = started(60, 250, 5);
    let mut open = (world.count_open("large"), world.count_open("small"));
    for turn in 0..60 {
        // Ten minutes of a wave of eleven seconds, a fifth up and down.
        let up = (f64::from(turn) * 10.0 / 11.0 * std::f64::consts::TAU).sin();
        want(&mut world, (60.0 * (1.0 + 0.2 * up)) as u32, (250.0 * (1.0 - 0.2 * up)) as u32);
        world.run(Millis(10_000));
        let now = (world.count_open("large"), world.count_open("small"));
        // A fleet that loses nobody gives spare runners back, and so gains groups.
        assert!(now.0 >= open.0 && now.1 >= open.1, "from {open:?} to {now:?} in turn {turn}");
        open = now;
    }
}
