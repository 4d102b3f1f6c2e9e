//! What one look of the deciding node costs, on a fleet of a target's size and on one
//! five times as large.
//!
//! Eleven runners were just lost. A look at 608 runners takes 4.6 ms and one at 3,002
//! runners 76 ms (ten samples beside eight busy processes): it grows with the square of
//! the fleet.

#[path = "../tests/world/mod.rs"]
mod world;

use std::hint::black_box;

use cottoncrank::Millis;
use criterion::{Criterion, criterion_group, criterion_main};
use world::{World, engine, model};

fn fleet(domains: usize) -> World {
    let models = vec![model("large", 8, 0.5, 16_000, 1600), model("small", 4, 0.5, 12_000, 1100)];
    // The weight store grows with the fleet, so that all groups stand before callers come.
    let rate = domains as f64 * 1.6;
    let mut world = World::new(engine(models, rate, domains * 3), domains, 19, 8, 1);
    world.run(Millis(14_000));
    world.serving = true;
    world.run(Millis(1000));
    world.lose(0, 11);
    world.run(Millis(2000));
    world
}

fn look(criterion: &mut Criterion) {
    for domains in [32, 158] {
        let mut world = fleet(domains);
        let name = format!("look at {} runners", domains * 19);
        criterion.bench_function(&name, |bencher| bencher.iter(|| black_box(world.step())));
    }
}

criterion_group!(planner, look);
criterion_main!(planner);
