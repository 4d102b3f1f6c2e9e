//! The network paths to the runners of a hall.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::path::{Change, MIN_PROOFS, MIN_SILENCE, Outcome, Paths, RUNNER_TUNNEL_TIME};

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
    assert_eq!(
        record(0, Outcome::Made, 1000),
        Some(Change::Regained { lasted: Millis(600), was_cut: false })
    );
}

#[test]
fn a_path_is_cut_when_another_node_reaches_several_runners_and_this_one_none() {
    let mut paths = Paths::default();
    for proof in 1..=MIN_PROOFS as u64 {
        let runner = runner(proof as usize);
        assert!(!paths.is_cut(&hall()));
        assert_eq!(paths.record(&hall(), &runner, Outcome::Refused, Millis(proof)), None);
        paths.record_proof(&hall(), &runner, Millis(proof));
    }
    assert!(paths.is_cut(&hall()) && paths.needs_tunnel(&hall(), &runner(9), Millis(50)));
    assert!(!paths.is_trusted(&hall(), Millis(50)));
    let restored = paths.record(&hall(), &runner(9), Outcome::Made, Millis(100));
    assert_eq!(restored, Some(Change::Regained { lasted: Millis(99), was_cut: true }));
    assert!(!paths.needs_tunnel(&hall(), &runner(1), Millis(100)));
    assert!(!paths.is_trusted(&hall(), Millis(2599)), "failures of the time before may still count");
    assert!(paths.is_trusted(&hall(), Millis(2600)));
}

#[test]
fn a_single_runner_that_only_another_node_reaches_leaves_the_path_as_it_is() {
    let mut paths = Paths::default();
    paths.record(&hall(), &runner(1), Outcome::TimedOut, Millis(0));
    paths.record_proof(&hall(), &runner(1), Millis(0));
    assert!(!paths.is_cut(&hall()) && !paths.needs_tunnel(&hall(), &runner(2), Millis(0)));
    assert!(paths.needs_tunnel(&hall(), &runner(1), Millis(0)));
    assert!(!paths.needs_tunnel(&hall(), &runner(1), RUNNER_TUNNEL_TIME), "its own path is tried again");
    paths.record(&hall(), &runner(2), Outcome::Made, Millis(1));
    paths.record(&hall(), &runner(3), Outcome::TimedOut, Millis(2));
    paths.record_proof(&hall(), &runner(3), Millis(2));
    assert!(!paths.is_cut(&hall()), "proofs count from the last connection on");
}

#[test]
fn a_node_is_cut_off_when_it_reaches_no_hall() {
    let mut paths = Paths::default();
    let other: id::Hall = "hall-b".parse().unwrap();
    let halls = [hall(), other.clone()];
    assert!(!paths.is_cut_off([].into_iter()), "there may be no runners");
    for hall in &halls {
        assert!(!paths.is_cut_off(halls.iter()));
        for number in 0..MIN_PROOFS as usize {
            paths.record_proof(hall, &runner(number), Millis(0));
        }
    }
    assert!(paths.is_cut_off(halls.iter()));
    paths.record(&other, &runner(1), Outcome::Made, Millis(1));
    assert!(!paths.is_cut_off(halls.iter()));
}
