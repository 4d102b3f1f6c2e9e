//! Runners that start again under their id, over and over, on runners that take as long as
//! real ones: the world checks each join and each opening.

mod world;

use cottoncrank::Millis;
use cottoncrank_fleet::catalog::{Model, Service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use world::{World, engine, model};

/// How long processes are down: at once, within two questions, until their group is given up.
const DOWNTIMES: [Millis; 3] = [Millis(0), Millis(300), Millis(3000)];

fn fleet(seed: u64) -> World {
    let models: Vec<Model> = vec![model("large", 4, 0.5, 16_000, 1600), model("small", 2, 0.5, 12_000, 1100)];
    let service: Service = engine(models, 5.0, 7);
    let mut world = World::new(service, 4, 12, 2, seed);
    world.run(Millis(14_000));
    world.serving = true;
    world.reset();
    world
}

#[test]
fn no_join_and_no_opening_goes_wrong_however_often_runners_start_again() {
    for seed in 0..8 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = fleet(seed);
        world.unwritten = Millis(1200);
        world.late = if seed % 2 == 0 { 0.3 } else { 0.0 };
        for _ in 0..60 {
            world.restart_one(rng.random_bool(0.8), DOWNTIMES[rng.random_range(0..DOWNTIMES.len())]);
            if rng.random_bool(0.1) {
                world.replace_decider();
            }
            world.run(Millis(rng.random_range(100..1500)));
        }
        // All is formed again once it is calm.
        world.late = 0.0;
        world.run(Millis(60_000));
        let open = (world.count_open("large"), world.count_open("small"));
        assert!(open.0 >= 4 && open.0 * 4 + open.1 * 2 >= 40, "seed {seed}: {open:?} open in the end");
    }
}

#[test]
fn a_member_back_at_once_costs_its_group_no_more_than_it_takes_to_join_anew() {
    // A member starts again every 2.5 s. Where lives are not told apart, its group is taken
    // for whole, stands still until it breaks, after six seconds, and 0.649 are served.
    let mut served = 0.0;
    for seed in 0..6 {
        let mut world = fleet(seed);
        for _ in 0..12 {
            world.restart_one(true, Millis(0));
            world.run(Millis(2500));
        }
        served += (world.part("large") + world.part("small")) / 6.0;
    }
    assert!(served > 0.75, "{served}");
}
