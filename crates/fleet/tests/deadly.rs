//! How many runners a request ends before all nodes hold it back, and whom that harms, on a
//! set clock. The bench `outbreak` prints the figures of more ways and seeds.

mod outbreak;

use cottoncrank::Millis;
use outbreak::{CONTACT, Day, SIZES, Sum, Trouble, Way, play_seeds};

/// Further runs that are allowed once three runners have ended and all nodes can know.
const MORE: usize = 3;

/// Seeds of each day.
const SEEDS: u64 = if cfg!(debug_assertions) { 4 } else { 20 };

/// One deadly request, ten times a second, at the smallest fleet.
fn usual_day(seed: u64) -> Day {
    Day { size: SIZES[0], deadly: 1, rate: 10.0, way: Way::Trial, trouble: Trouble::None, seed }
}

fn check(day: impl Fn(u64) -> Day) -> Sum {
    let sum = play_seeds(SEEDS, &day);
    let day = day(0);
    assert!(sum.ends_most >= 3, "{day:?}: {sum:?}");
    assert!(sum.late_most <= MORE, "{day:?}: {sum:?}");
    assert!(sum.known_most <= CONTACT, "{day:?}: {sum:?}");
    assert_eq!((sum.unknowing, sum.wronged), (0, 0), "{day:?}: {sum:?}");
    sum
}

#[test]
fn all_nodes_hold_a_deadly_request_back_at_any_size_and_pace() {
    for size in SIZES {
        for rate in [2.0, 10.0] {
            check(|seed| Day { size, rate, ..usual_day(seed) });
        }
    }
}

#[test]
fn they_do_with_the_store_away_a_hall_cut_off_or_a_collector_gone() {
    let troubles =
        [Trouble::StoreAway, Trouble::HallCut, Trouble::CollectorLost, Trouble::CollectorSuspended];
    for trouble in troubles {
        check(|seed| Day { trouble, ..usual_day(seed) });
    }
}

#[test]
fn and_beside_runners_that_end_by_themselves() {
    check(|seed| Day { trouble: Trouble::Crashes, ..usual_day(seed) });
}

#[test]
fn runs_apart_and_one_at_a_time_end_fewer_runners_and_harm_fewer_requests() {
    let of = |way| play_seeds(20, &|seed| Day { way, ..usual_day(seed) });
    let (count, trial) = (of(Way::Count), of(Way::Trial));
    assert!(trial.ends < count.ends, "{trial:?} against {count:?}");
    assert!(trial.served > count.served, "{trial:?} against {count:?}");
    assert_eq!(trial.wronged, 0);
    assert!(count.wronged > 0, "a count alone refuses those that were only there: {count:?}");
}

#[test]
fn twenty_deadly_requests_leave_runners_to_the_others() {
    for (size, seeds, least) in [(SIZES[0], SEEDS, 0.5), (SIZES[1], SEEDS / 4, 0.8)] {
        let day = |seed| Day { size, deadly: 20, rate: 0.5, ..usual_day(seed) };
        let sum = play_seeds(seeds, &day);
        assert!(sum.late_most <= MORE, "{sum:?}");
        assert_eq!(sum.wronged, 0, "{sum:?}");
        assert!(sum.served >= least, "{sum:?}");
    }
}

#[test]
fn without_any_of_them_runners_that_end_cost_what_they_did() {
    let day = |way| move |seed| Day { way, deadly: 0, trouble: Trouble::Crashes, ..usual_day(seed) };
    let (none, trial) = (play_seeds(20, &day(Way::None)), play_seeds(20, &day(Way::Trial)));
    assert!(trial.served > none.served - 0.005, "{trial:?} against {none:?}");
    assert_eq!(trial.wronged, 0);
}

#[test]
fn what_rows_add_to_the_exchange_stays_small() {
    for size in SIZES {
        let calm = play_seeds(2, &|seed| Day { size, deadly: 0, ..usual_day(seed) });
        assert!(calm.bytes < 40.0, "bytes a second and node without any: {calm:?}");
        let one = play_seeds(2, &|seed| Day { size, ..usual_day(seed) });
        assert!(one.bytes < 400.0, "{one:?}");
    }
    assert_eq!(CONTACT, Millis(3000));
}
