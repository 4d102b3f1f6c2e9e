//! When something may have happened that a process hears of late.

use cottoncrank::Millis;
use cottoncrank_fleet::activity::Activity;

fn run(activity: &mut Activity, times: impl IntoIterator<Item = u64>) {
    times.into_iter().for_each(|time| activity.record(Millis(time)));
}

#[test]
fn a_process_that_runs_hears_at_once() {
    let mut activity = Activity::default();
    assert_eq!(activity.find_earliest(Millis(5)), Millis(5));
    run(&mut activity, (1000..2000).step_by(50));
    assert_eq!(activity.find_earliest(Millis(1990)), Millis(1990));
}

#[test]
fn what_is_heard_right_after_a_pause_may_have_happened_at_its_begin() {
    let mut activity = Activity::default();
    run(&mut activity, (1000..=2000).step_by(50));
    assert_eq!(activity.find_earliest(Millis(5000)), Millis(2000), "heard before the process looked again");
    run(&mut activity, [5000, 5050]);
    assert_eq!(activity.find_earliest(Millis(5060)), Millis(2000), "heard after it has");
    run(&mut activity, (5100..=6000).step_by(50));
    assert_eq!(activity.find_earliest(Millis(6010)), Millis(6010), "heard long after");
}

#[test]
fn the_last_of_several_pauses_counts() {
    let mut activity = Activity::default();
    run(&mut activity, [1000, 1050, 1500, 1550, 2000]);
    assert_eq!(activity.find_earliest(Millis(2001)), Millis(1550));
}
