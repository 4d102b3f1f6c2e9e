//! The runs of one request beside each other.

use cottoncrank::id;
use cottoncrank_fleet::runs::Runs;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn runner(number: u32) -> id::Runner {
    format!("r-{number}").parse().unwrap()
}

/// Guards against a request that runs at more runners than its route allows, where a silent runner keeps its
/// run while others begin.
#[test]
fn no_more_runs_begin_than_the_route_allows_however_they_end() {
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (attempts, repeatable) = (rng.random_range(1..4), rng.random());
        let (mut runs, mut begun, mut ran) = (Runs::default(), 0, 0);
        let mut in_flight: Vec<id::Runner> = Vec::new();
        for _ in 0..20 {
            match rng.random_range(0..3) {
                0 if runs.may_begin(attempts, repeatable) => {
                    runs.begin(runner(begun));
                    in_flight.push(runner(begun));
                    begun += 1;
                    ran += 1;
                }
                1 => runs.record_late(),
                _ if !in_flight.is_empty() => {
                    let failed = in_flight.swap_remove(rng.random_range(0..in_flight.len()));
                    let may_have_run: bool = rng.random();
                    ran -= u32::from(!may_have_run);
                    runs.record_failure(&failed, may_have_run, rng.random());
                }
                _ => {}
            }
            assert_eq!(runs.count_possible(), ran, "seed {seed}");
            assert!(ran <= if repeatable { attempts } else { 1 }, "seed {seed}");
        }
    }
}

/// Guards against a run that counts twice, as late and then as failed.
#[test]
fn a_late_run_that_turns_out_not_to_have_run_leaves_its_place_to_another() {
    let mut runs = Runs::default();
    runs.begin(runner(0));
    runs.record_late();
    assert!(!runs.may_begin(1, true));
    runs.record_failure(&runner(0), false, true);
    runs.record_failure(&runner(0), false, true);
    assert!(runs.may_begin(1, false));
    assert!(runs.needs_retry());
    runs.begin(runner(1));
    assert!(!runs.may_begin(1, true));
    assert_eq!((runs.number(&runner(0)), runs.number(&runner(1))), (1, 2));
}
