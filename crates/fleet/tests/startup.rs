//! Steps of a start that fail for a while.

use cottoncrank::Millis;
use cottoncrank_fleet::startup::{CHANGED_LINE_INTERVAL, Failures, MAX_PAUSE, REPEATED_LINE_INTERVAL};

const DAY: Millis = Millis(86_400_000);

/// Returns the times of the lines of a day on which a step fails, with the error that `find` gives.
fn list_lines(find: impl Fn(u64) -> &'static str) -> Vec<Millis> {
    let (mut failures, mut now, mut lines) = (Failures::default(), Millis(0), Vec::new());
    while now < DAY {
        let response = failures.record(find(u64::from(failures.count())), now);
        assert!(response.pause > Millis(0) && response.pause <= MAX_PAUSE, "{response:?}");
        if response.logs {
            lines.push(now);
        }
        now = now + response.pause;
    }
    lines
}

#[test]
fn a_step_that_fails_all_day_is_repeated_within_the_maximum_pause_and_logged_now_and_then() {
    let lines = list_lines(|_| "in use");
    assert_eq!(lines[0], Millis(0), "the first failure is logged at once");
    assert!(lines.windows(2).all(|pair| pair[1].since(pair[0]) >= REPEATED_LINE_INTERVAL));
    assert!(lines.len() as u64 >= DAY.0 / (REPEATED_LINE_INTERVAL + MAX_PAUSE).0);
}

#[test]
fn a_step_that_fails_in_another_way_each_time_does_not_fill_the_log() {
    let lines = list_lines(|number| if number.is_multiple_of(2) { "empty" } else { "half" });
    assert!(lines.windows(2).all(|pair| pair[1].since(pair[0]) >= CHANGED_LINE_INTERVAL));
}

#[test]
fn another_error_is_logged_sooner_than_the_same_again() {
    let mut failures = Failures::default();
    assert!(failures.record("in use", Millis(0)).logs);
    assert!(!failures.record("in use", CHANGED_LINE_INTERVAL).logs);
    assert!(failures.record("not there", CHANGED_LINE_INTERVAL).logs);
}
