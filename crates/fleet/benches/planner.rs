//! Measures the time of one planning step of the decider, for a fleet of the target size and for one
//! five times as large, just after the loss of eleven runners.
//!
//! A step takes 4.6 ms for 608 runners and 76 ms for 3,002 runners (ten samples beside eight busy
//! processes): it grows with the square of the fleet.

#[path = "../tests/world/mod.rs"]
mod world;

use std::hint::black_box;

use cottoncrank::Millis;
use criterion::{Criterion, criterion_group, criterion_main};
use world::{World, engine, model};

fn start_fleet(domains: usize) -> World {
    let models = vec![model("large", 8, 0.5, 16_000, 1600), model("small", 4, 0.5, 12_000, 1100)];
    // The rate of the weight store grows with the fleet, so that all groups are open before callers arrive.
    let loads_per_second = domains as f64 * 1.6;
    let mut world = World::new(engine(models, loads_per_second, domains * 3), domains, 19, 8, 1);
    world.run(Millis(14_000));
    world.serving = true;
    world.run(Millis(1000));
    world.lose(0, 11);
    world.run(Millis(2000));
    world
}

fn bench_step(criterion: &mut Criterion) {
    for domains in [32, 158] {
        let mut world = start_fleet(domains);
        let name = format!("planning step for {} runners", domains * 19);
        criterion.bench_function(&name, |bencher| bencher.iter(|| black_box(world.step())));
    }
}

criterion_group!(planner, bench_step);
criterion_main!(planner);
