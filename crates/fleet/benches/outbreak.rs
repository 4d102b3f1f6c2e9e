//! What requests that end runners cost, by the way in which nodes treat them. Prints a row for
//! each size of the fleet, trouble, load and way: averages of twenty seeds.

#[path = "../tests/outbreak/mod.rs"]
mod outbreak;

use outbreak::{Day, SIZES, Trouble, Way, play_seeds};

const SEEDS: u64 = 20;

/// Different deadly requests, and how often each comes in a second.
const LOADS: [(usize, f64); 4] = [(0, 0.0), (1, 2.0), (1, 10.0), (20, 0.5)];

fn main() {
    println!("nodes trouble load way | ends most late known served wronged held bytes/s");
    let cells = SIZES.into_iter().flat_map(|size| Trouble::ALL.map(|trouble| (size, trouble)));
    for (size, trouble) in cells {
        if trouble != Trouble::None && size.nodes != SIZES[0].nodes {
            continue;
        }
        for (deadly, rate) in LOADS {
            for way in Way::ALL {
                // Nothing ends such a day, and it says the same at any size.
                if way == Way::None && size.nodes != SIZES[0].nodes {
                    continue;
                }
                let sum = play_seeds(SEEDS, &|seed| Day { size, deadly, rate, way, trouble, seed });
                println!(
                    "{} {trouble:?} {deadly}x{rate} {way:?} | {:.1} {} {} {} {:.3} {} {} {:.0}",
                    size.nodes,
                    sum.ends,
                    sum.ends_most,
                    sum.late_most,
                    sum.known_most,
                    sum.served,
                    sum.wronged,
                    sum.held,
                    sum.bytes
                );
            }
        }
    }
}
