//! How many runners a deadly request crashes until all nodes quarantine it, and how many harmless
//! requests suffer, in a simulated fleet. `benches/outbreak.rs` prints the results for more policies and
//! seeds.

mod outbreak;

use cottoncrank::Millis;
use outbreak::{Fault, PROPAGATION_BOUND, Policy, SIZES, Scenario, Summary, simulate_seeds};

/// The further runs that are allowed after three crashes, once all nodes can know of them.
const MAX_LATE_RUNS: usize = 3;

/// The number of seeds for each scenario.
const SEEDS: u64 = if cfg!(debug_assertions) { 4 } else { 20 };

/// One deadly request ten times a second, in the smallest fleet.
fn default_scenario(seed: u64) -> Scenario {
    Scenario { size: SIZES[0], deadly: 1, rate: 10.0, policy: Policy::Trial, fault: Fault::None, seed }
}

fn check(scenario: impl Fn(u64) -> Scenario) -> Summary {
    let summary = simulate_seeds(SEEDS, &scenario);
    let scenario = scenario(0);
    assert!(summary.max_crashes >= 3, "{scenario:?}: {summary:?}");
    assert!(summary.max_late_runs <= MAX_LATE_RUNS, "{scenario:?}: {summary:?}");
    assert!(summary.max_propagation <= PROPAGATION_BOUND, "{scenario:?}: {summary:?}");
    assert_eq!((summary.uninformed, summary.wrongly_rejected), (0, 0), "{scenario:?}: {summary:?}");
    summary
}

#[test]
fn all_nodes_quarantine_a_deadly_request_at_any_fleet_size_and_rate() {
    for size in SIZES {
        for rate in [2.0, 10.0] {
            check(|seed| Scenario { size, rate, ..default_scenario(seed) });
        }
    }
}

#[test]
fn all_nodes_quarantine_it_without_the_store_a_hall_or_a_collector() {
    let faults = [Fault::StoreAway, Fault::HallCut, Fault::CollectorLost, Fault::CollectorSuspended];
    for fault in faults {
        check(|seed| Scenario { fault, ..default_scenario(seed) });
    }
}

#[test]
fn all_nodes_quarantine_it_while_other_runners_crash_without_it() {
    check(|seed| Scenario { fault: Fault::Crashes, ..default_scenario(seed) });
}

#[test]
fn isolated_trial_runs_crash_fewer_runners_and_fail_fewer_requests() {
    let simulate = |policy| simulate_seeds(20, &|seed| Scenario { policy, ..default_scenario(seed) });
    let (count, trial) = (simulate(Policy::Count), simulate(Policy::Trial));
    assert!(trial.crashes < count.crashes, "{trial:?} against {count:?}");
    assert!(trial.served > count.served, "{trial:?} against {count:?}");
    assert_eq!(trial.wrongly_rejected, 0);
    assert!(
        count.wrongly_rejected > 0,
        "a count alone rejects requests that were in flight by chance: {count:?}"
    );
}

#[test]
fn twenty_deadly_requests_leave_runners_for_harmless_ones() {
    for (size, seeds, min_served) in [(SIZES[0], SEEDS, 0.5), (SIZES[1], SEEDS / 4, 0.8)] {
        let scenario = |seed| Scenario { size, deadly: 20, rate: 0.5, ..default_scenario(seed) };
        let summary = simulate_seeds(seeds, &scenario);
        assert!(summary.max_late_runs <= MAX_LATE_RUNS, "{summary:?}");
        assert_eq!(summary.wrongly_rejected, 0, "{summary:?}");
        assert!(summary.served >= min_served, "{summary:?}");
    }
}

#[test]
fn without_deadly_requests_trial_runs_make_crashes_no_more_costly() {
    let scenario =
        |policy| move |seed| Scenario { policy, deadly: 0, fault: Fault::Crashes, ..default_scenario(seed) };
    let (none, trial) =
        (simulate_seeds(20, &scenario(Policy::None)), simulate_seeds(20, &scenario(Policy::Trial)));
    assert!(trial.served > none.served - 0.005, "{trial:?} against {none:?}");
    assert_eq!(trial.wrongly_rejected, 0);
}

#[test]
fn rows_add_few_bytes_to_exchanges() {
    for size in SIZES {
        let calm = simulate_seeds(2, &|seed| Scenario { size, deadly: 0, ..default_scenario(seed) });
        assert!(calm.bytes < 40.0, "bytes per second and node without deadly requests: {calm:?}");
        let one = simulate_seeds(2, &|seed| Scenario { size, ..default_scenario(seed) });
        assert!(one.bytes < 400.0, "{one:?}");
    }
    assert_eq!(PROPAGATION_BOUND, Millis(3000));
}
