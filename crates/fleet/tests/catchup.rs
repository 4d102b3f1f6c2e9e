//! Gaps in the running time of a node, and what it may rely on after them.

use cottoncrank::Millis;
use cottoncrank_fleet::catchup::{MAX_BEHIND, Tracker};

/// Returns a tracker of a process that ran each 100 ms until `end`.
fn run_until(end: u64) -> Tracker {
    let mut tracker = Tracker::default();
    for now in (0..=end).step_by(100) {
        assert_eq!(tracker.record_run(Millis(now)), None);
    }
    tracker
}

#[test]
fn a_process_that_runs_all_the_time_is_never_behind() {
    let mut tracker = run_until(10_000);
    assert_eq!(tracker.record_run(Millis(10_400)), None, "a timer on a busy box is late by as much");
    assert!(!tracker.is_behind(Millis(10_400)));
    assert_eq!(
        tracker.record_answer(Millis(10_400), Millis(10_400)),
        None,
        "there is nothing to catch up with"
    );
}

/// A node that ran again took an answer from before its pause for news.
#[test]
fn after_a_gap_only_an_answer_to_a_later_call_catches_up() {
    let mut tracker = run_until(1000);
    assert_eq!(tracker.record_run(Millis(4000)), Some(Millis(3000)));
    assert!(tracker.is_behind(Millis(4000)));
    assert!(tracker.has_resumed_since(Millis(1000)), "a runner picked before the gap");
    assert!(!tracker.has_resumed_since(Millis(4000)), "a runner picked after it");
    assert_eq!(tracker.record_answer(Millis(3999), Millis(4001)), None);
    assert!(tracker.is_behind(Millis(4010)));
    assert_eq!(tracker.record_answer(Millis(4000), Millis(4012)), Some(Millis(12)));
    assert!(!tracker.is_behind(Millis(4012)));
    assert_eq!(tracker.record_answer(Millis(4100), Millis(4100)), None, "it is told once");
}

#[test]
fn a_second_gap_begins_anew_and_an_outage_ends_it_after_a_while() {
    let mut tracker = run_until(1000);
    tracker.record_run(Millis(2000));
    assert!(tracker.record_answer(Millis(2000), Millis(2003)).is_some());
    tracker.record_run(Millis(9000));
    assert!(tracker.is_behind(Millis(9000)));
    assert!(tracker.is_behind(Millis(8999) + MAX_BEHIND));
    assert!(!tracker.is_behind(Millis(9000) + MAX_BEHIND), "nothing answers for so long");
}
