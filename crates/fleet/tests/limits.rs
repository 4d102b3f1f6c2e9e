//! A runner that announces a rate limit gets no more requests than that from the nodes of three halls
//! together, and uses the whole rate while there is demand for it.

mod pressure;

use pressure::{FAULTS, Fault, Policy, find_max, find_min, simulate};

const SEEDS: std::ops::Range<u64> = 1..4;

const SIZES: [usize; 3] = [12, 90, 300];

#[test]
fn the_limit_is_kept_under_all_faults_at_every_fleet_size() {
    for nodes in SIZES {
        for fault in FAULTS {
            for rate in [1.1, 20.0] {
                let outcomes = simulate(Policy::Wanted, fault, nodes, rate, SEEDS);
                let load_ratio = find_max(&outcomes, |one| one.load_ratio);
                assert!(
                    load_ratio <= 1.0,
                    "{rate}/s, {nodes} nodes, {fault:?}: {load_ratio:.2} of the bound"
                );
            }
        }
    }
}

#[test]
fn other_policies_exceed_the_limit_under_this_load() {
    let ignored = simulate(Policy::Forgotten, Fault::Nothing, 90, 1.1, SEEDS);
    assert!(find_min(&ignored, |one| one.load_ratio) > 1.0, "{ignored:?}");
    let by_node = simulate(Policy::Nodes, Fault::Nothing, 300, 1.1, SEEDS);
    assert!(find_max(&by_node, |one| one.load_ratio) > 1.0, "each node by itself: {by_node:?}");
}

#[test]
fn the_rate_is_used_while_there_is_demand() {
    for nodes in SIZES {
        for fault in [Fault::Nothing, Fault::HallApart, Fault::OneNode] {
            let outcomes = simulate(Policy::Wanted, fault, nodes, 20.0, SEEDS);
            assert!(
                find_min(&outcomes, |one| one.utilization) >= 0.85,
                "{nodes} nodes, {fault:?}: {outcomes:?}"
            );
        }
        let partitioned = simulate(Policy::Wanted, Fault::HallCut, nodes, 20.0, SEEDS);
        assert!(
            find_min(&partitioned, |one| one.utilization) >= 0.6,
            "{nodes} nodes, a hall is partitioned: {partitioned:?}"
        );
        // Eleven requests are allowed in ten seconds, so one of them is about a tenth.
        let few = simulate(Policy::Wanted, Fault::Nothing, nodes, 1.1, SEEDS);
        assert!(find_min(&few, |one| one.utilization) >= 0.8, "{nodes} nodes: {few:?}");
    }
}

#[test]
fn halls_use_the_share_that_other_halls_do_not_need() {
    let equal = simulate(Policy::Halls, Fault::OneNode, 90, 20.0, SEEDS);
    let by_demand = simulate(Policy::Wanted, Fault::OneNode, 90, 20.0, SEEDS);
    let utilization = [&equal, &by_demand].map(|outcomes| find_min(outcomes, |one| one.utilization));
    assert!(
        utilization[0] < 0.4 && utilization[1] > 0.85,
        "equal shares, and shares by demand: {utilization:?}"
    );
    let leased = simulate(Policy::Lent, Fault::HallApart, 90, 20.0, SEEDS);
    let by_demand = simulate(Policy::Wanted, Fault::HallApart, 90, 20.0, SEEDS);
    let utilization = [&leased, &by_demand].map(|outcomes| find_min(outcomes, |one| one.utilization));
    assert!(
        utilization[0] < 0.8 && utilization[1] > 0.85,
        "leased by one hall, and divided by all: {utilization:?}"
    );
}
