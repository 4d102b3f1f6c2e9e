//! The cost of deadly requests, which crash the runners that execute them, by the policy of the nodes.
//! Prints a row for each fleet size, fault, load and policy: averages of twenty seeds.

#[path = "../tests/outbreak/mod.rs"]
mod outbreak;

use outbreak::{Fault, Policy, SIZES, Scenario, simulate_seeds};

const SEEDS: u64 = 20;

/// The number of different deadly requests, and the arrivals of each per second.
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
                // Without a policy the crashes never stop, and the result is the same at any size.
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
