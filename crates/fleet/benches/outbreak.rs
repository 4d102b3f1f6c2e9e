//! What requests that end runners cost, by the way in which nodes treat them. Prints a row for
//! each size of the fleet, trouble, load and way: averages of twenty seeds.

#[path = "../tests/outbreak/mod.rs"]
mod outbreak;

use outbreak::{Fault, Policy, SIZES, Scenario, simulate_seeds};

const SEEDS: u64 = 20;

/// Different deadly requests, and how often each comes in a second.
const LOADS: [(usize, f64); 4] = [(0, 0.0), (1, 2.0), (1, 10.0), (20, 0.5)];

fn main() {
    println!("nodes trouble load way | ends most late known served wronged held bytes/s");
    let cells = SIZES.into_iter().flat_map(|size| Fault::ALL.map(|fault| (size, fault)));
    for (size, fault) in cells {
        if fault != Fault::None && size.nodes != SIZES[0].nodes {
            continue;
        }
        for (deadly, rate) in LOADS {
            for policy in Policy::ALL {
                // Nothing ends such a day, and it says the same at any size.
                if policy == Policy::None && size.nodes != SIZES[0].nodes {
                    continue;
                }
                let summary =
                    simulate_seeds(SEEDS, &|seed| Scenario { size, deadly, rate, policy, fault, seed });
                println!(
                    "{} {fault:?} {deadly}x{rate} {policy:?} | {:.1} {} {} {} {:.3} {} {} {:.0}",
                    size.nodes,
                    summary.crashes,
                    summary.max_crashes,
                    summary.max_late_runs,
                    summary.max_propagation,
                    summary.served,
                    summary.wrongly_rejected,
                    summary.quarantined,
                    summary.bytes
                );
            }
        }
    }
}
