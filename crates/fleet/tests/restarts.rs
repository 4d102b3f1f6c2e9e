//! Runners that restart under their id again and again. Joins and openings take as long as on real runners,
//! and the simulated world checks each of them.

mod world;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::{Model, Service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{World, engine, model};

/// How long processes are down: back at once, within two probes, or after their group is retired.
const DOWNTIMES: [Millis; 3] = [Millis(0), Millis(300), Millis(3000)];

fn fleet(seed: u64) -> World {
    let models: Vec<Model> = vec![model("large", 4, 0.5, 16_000, 1600), model("small", 2, 0.5, 12_000, 1100)];
    let service: Service = engine(models, 5.0, 7);
    let mut world = World::new(service, 4, 12, 2, seed);
    world.run(Millis(14_000));
    world.serving = true;
    world.reset_counts();
    world
}

#[test]
fn joins_and_openings_stay_correct_while_runners_restart() {
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = fleet(seed);
        world.entry_delay = Millis(1200);
        world.late_ratio = if seed % 2 == 0 { 0.3 } else { 0.0 };
        for _ in 0..60 {
            world.restart_one(rng.random_bool(0.8), DOWNTIMES[rng.random_range(0..DOWNTIMES.len())]);
            if rng.random_bool(0.1) {
                world.replace_decider();
            }
            world.run(Millis(rng.random_range(100..1500)));
        }
        // All groups are formed again once there are no more restarts.
        world.late_ratio = 0.0;
        world.run(Millis(60_000));
        let open = (world.count_open("large"), world.count_open("small"));
        assert!(open.0 >= 4 && open.0 * 4 + open.1 * 2 >= 40, "seed {seed}: {open:?} open in the end");
    }
}

#[test]
fn a_member_that_restarts_at_once_costs_only_the_time_to_join_again() {
    // A member restarts every 2.5 s. If incarnations were not told apart, its group would count as complete
    // and be stalled until it breaks after six seconds, and the fraction served would be 0.649.
    let mut served = 0.0;
    for seed in 0..6 {
        let mut world = fleet(seed);
        for _ in 0..12 {
            world.restart_one(true, Millis(0));
            world.run(Millis(2500));
        }
        served += (world.served_ratio("large") + world.served_ratio("small")) / 6.0;
    }
    assert!(served > 0.75, "{served}");
}
