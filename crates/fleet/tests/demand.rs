//! Demand that differs from the published shares: of about two hundred runners, the half published
//! for a large model is nearly idle, while members of groups are lost continually.

mod world;

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::Model;
use cottoncrank_fleet::demand::Demand;
use world::{World, engine, model};

/// The time between two losses.
const PAUSE: Millis = Millis(3000);

fn models() -> Vec<Model> {
    vec![model("large", 16, 0.5, 16_000, 1600), model("small", 4, 0.5, 12_000, 1100)]
}

fn parse_model(name: &str) -> id::Model {
    name.parse().unwrap()
}

/// Returns 222 serving runners in six domains, where callers use this many slots of each model.
fn start(large: u32, small: u32, seed: u64) -> World {
    let mut world = World::new(engine(models(), 20.0, 28), 6, 37, 2, seed);
    world.run(Millis(14_000));
    world.serving = true;
    world.reset_counts();
    set_demand(&mut world, large, small);
    world
}

fn set_demand(world: &mut World, large: u32, small: u32) {
    world.demanded_slots = HashMap::from([(parse_model("large"), large), (parse_model("small"), small)]);
}

/// Returns the mean numbers of open groups, large and small, over `losses` losses of four runners.
fn run_losses(world: &mut World, losses: usize) -> (f64, f64) {
    let (mut large, mut small) = (0, 0);
    for _ in 0..losses {
        world.lose_in_turn(3, 4, PAUSE, PAUSE);
        large += world.count_open("large");
        small += world.count_open("small");
    }
    (large as f64 / losses as f64, small as f64 / losses as f64)
}

#[test]
fn lost_groups_are_replaced_by_groups_of_the_demanded_model() {
    let mean = |large: u32, small: u32| {
        let runs = (0..3).map(|seed| {
            let mut world = start(large, small, seed);
            run_losses(&mut world, 4);
            run_losses(&mut world, 10)
        });
        runs.fold((0.0, 0.0), |sum, run| (sum.0 + run.0 / 3.0, sum.1 + run.1 / 3.0))
    };
    // 8 of the 84 slots of six large groups are used, and nearly all slots of the small ones.
    let shifted = mean(8, 330);
    let even = mean(60, 250);
    assert!(shifted.1 > even.1 + 2.0, "small groups: {shifted:?}, and {even:?} with even demand");
    assert!(shifted.0 > 2.0, "some large groups are kept for their callers: {shifted:?}");
}

#[test]
fn shares_follow_a_lasting_shift_but_not_a_burst() {
    let shares =
        |demand: &Demand| demand.adjust(&models()).iter().map(|model| model.share).collect::<Vec<_>>();
    let mut demand = Demand::default();
    let mut now = Millis(1_000_000);
    let mut record = |demand: &mut Demand, seconds: u64, large: f64, small: f64| {
        for _ in 0..4 * seconds {
            demand.record([(parse_model("large"), large), (parse_model("small"), small)], now);
            now = now + Millis(250);
        }
    };
    record(&mut demand, 20, 0.4, 0.45);
    assert_eq!(shares(&demand), [0.5, 0.5], "no request waits for a slot");
    record(&mut demand, 2, 0.05, 0.95);
    assert!(shares(&demand)[0] > 0.45, "a burst of two seconds: {:?}", shares(&demand));
    record(&mut demand, 20, 0.05, 0.95);
    let shifted = shares(&demand);
    assert!(shifted[0] < 0.2 && (shifted[0] + shifted[1] - 1.0).abs() < 1e-9, "{shifted:?}");
    record(&mut demand, 30, 0.6, 0.7);
    assert_eq!(shares(&demand), [0.5, 0.5], "both are equally busy again");
}

#[test]
fn the_reason_for_a_changed_share_is_logged() {
    let mut demand = Demand::default();
    for at in 0..80 {
        let utilization = [(parse_model("large"), 0.1), (parse_model("small"), 0.8)];
        demand.record(utilization, Millis(1_000_000 + 250 * at));
    }
    let shares = demand.list_shares(&models());
    assert_eq!(shares[0].to_string(), "large gets 0.25 of the runners, published 0.50, slots in use 0.10");
    assert!(shares[0].differs(&Demand::default().list_shares(&models())[0]));
}

#[test]
fn a_wave_of_demand_causes_no_oscillation_of_groups() {
    let mut world = start(60, 250, 5);
    let mut open = (world.count_open("large"), world.count_open("small"));
    for turn in 0..60 {
        // Ten minutes of demand that varies by a fifth, with a period of eleven seconds.
        let wave = (f64::from(turn) * 10.0 / 11.0 * std::f64::consts::TAU).sin();
        set_demand(&mut world, (60.0 * (1.0 + 0.2 * wave)) as u32, (250.0 * (1.0 - 0.2 * wave)) as u32);
        world.run(Millis(10_000));
        let current = (world.count_open("large"), world.count_open("small"));
        // A fleet without losses lets its spare runners serve, and so gains groups.
        assert!(current.0 >= open.0 && current.1 >= open.1, "from {open:?} to {current:?} in turn {turn}");
        open = current;
    }
}
