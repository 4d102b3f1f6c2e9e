//! The network paths to the runners of a hall.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::path::{Change, MIN_SILENCE, Outcome, Paths};

fn runner(number: usize) -> id::Runner {
    format!("r-{number}").parse().unwrap()
}

fn hall() -> id::Hall {
    "hall-a".parse().unwrap()
}

#[test]
fn a_path_is_lost_when_connections_to_several_runners_fail_and_none_is_made() {
    let mut paths = Paths::default();
    let mut record = |number, outcome, at| paths.record(&hall(), &runner(number), outcome, Millis(at));
    assert_eq!(record(0, Outcome::Refused, 0), None);
    assert_eq!(record(0, Outcome::Refused, MIN_SILENCE.0), None, "one runner may have ended");
    assert_eq!(record(1, Outcome::Made, 350), None);
    assert_eq!(record(0, Outcome::Refused, 400), None);
    assert_eq!(record(1, Outcome::TimedOut, 500), None, "too early");
    let Some(Change::Lost(failures)) = record(1, Outcome::TimedOut, 800) else { panic!("it is lost") };
    assert_eq!((failures.refused, failures.timed_out, failures.runners.len()), (1, 2, 2));
    assert_eq!(record(0, Outcome::Refused, 900), None, "it is reported once");
    assert_eq!(record(0, Outcome::Made, 1000), Some(Change::Regained(Millis(600))));
    assert!(!paths.is_lost(&hall()));
}
