//! A runner that names a rate, before nodes of three halls: it gets no more than it takes from all
//! of them together, and as much of that as there is work for.

mod pressure;

use pressure::{FAULTS, Fault, Policy, find_max, find_min, simulate};

const SEEDS: std::ops::Range<u64> = 1..4;

const SIZES: [usize; 3] = [12, 90, 300];

#[test]
fn the_rate_is_kept_through_all_troubles_at_every_size() {
    for nodes in SIZES {
        for fault in FAULTS {
            for rate in [1.1, 20.0] {
                let outcomes = simulate(Policy::Wanted, fault, nodes, rate, SEEDS);
                let load_ratio = find_max(&outcomes, |one| one.load_ratio);
                assert!(
                    load_ratio <= 1.0,
                    "{rate}/s, {nodes} nodes, {fault:?}: {load_ratio:.2} of what may come"
                );
            }
        }
    }
}

#[test]
fn the_load_shows_the_harm() {
    let forgotten = simulate(Policy::Forgotten, Fault::Nothing, 90, 1.1, SEEDS);
    assert!(find_min(&forgotten, |one| one.load_ratio) > 1.0, "{forgotten:?}");
    let alone = simulate(Policy::Nodes, Fault::Nothing, 300, 1.1, SEEDS);
    assert!(find_max(&alone, |one| one.load_ratio) > 1.0, "each node by itself: {alone:?}");
}

#[test]
fn the_rate_is_used_while_there_is_work_for_it() {
    for nodes in SIZES {
        for fault in [Fault::Nothing, Fault::HallApart, Fault::OneNode] {
            let outcomes = simulate(Policy::Wanted, fault, nodes, 20.0, SEEDS);
            assert!(
                find_min(&outcomes, |one| one.utilization) >= 0.85,
                "{nodes} nodes, {fault:?}: {outcomes:?}"
            );
        }
        let cut = simulate(Policy::Wanted, Fault::HallCut, nodes, 20.0, SEEDS);
        assert!(find_min(&cut, |one| one.utilization) >= 0.6, "{nodes} nodes, a hall is cut off: {cut:?}");
        // Eleven may come in ten seconds: one of them is a tenth.
        let few = simulate(Policy::Wanted, Fault::Nothing, nodes, 1.1, SEEDS);
        assert!(find_min(&few, |one| one.utilization) >= 0.8, "{nodes} nodes: {few:?}");
    }
}

#[test]
fn what_one_hall_leaves_the_others_use() {
    let even = simulate(Policy::Halls, Fault::OneNode, 90, 20.0, SEEDS);
    let wanted = simulate(Policy::Wanted, Fault::OneNode, 90, 20.0, SEEDS);
    let utilization = [&even, &wanted].map(|outcomes| find_min(outcomes, |one| one.utilization));
    assert!(
        utilization[0] < 0.4 && utilization[1] > 0.85,
        "even parts, and parts by what is wanted: {utilization:?}"
    );
    let lent = simulate(Policy::Lent, Fault::HallApart, 90, 20.0, SEEDS);
    let wanted = simulate(Policy::Wanted, Fault::HallApart, 90, 20.0, SEEDS);
    let utilization = [&lent, &wanted].map(|outcomes| find_min(outcomes, |one| one.utilization));
    assert!(
        utilization[0] < 0.8 && utilization[1] > 0.85,
        "lent by one hall, and shared by all: {utilization:?}"
    );
}
