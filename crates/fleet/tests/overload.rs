//! New connections at a node whose processor is overloaded.

use cottoncrank::Millis;
use cottoncrank_fleet::overload::{Measurement, Overload};

/// The connections that wait in one turn.
const WAITING: usize = 1000;

/// Records several times that a task ran this much too late, and all tasks as late in the turn that followed.
fn measure(overload: &mut Overload, delay: Millis, times: usize) {
    let measurement = Measurement { late: delay, turn: delay };
    (0..times).for_each(|_| overload.record(measurement));
}

/// Returns how many of the waiting connections are taken in one turn.
fn count_accepted(overload: &mut Overload, now: Millis) -> usize {
    overload.begin_turn();
    (0..WAITING).filter(|_| overload.accepts(now)).count()
}

/// Guards against a node that takes more than it can answer, or calls itself ready and takes nothing.
#[test]
fn an_overloaded_node_takes_few_new_connections_in_each_turn_but_never_none() {
    let mut overload = Overload::default();
    assert_eq!(count_accepted(&mut overload, Millis(0)), WAITING);
    measure(&mut overload, Millis(200), 20);
    for turn in 0..100 {
        assert_eq!(count_accepted(&mut overload, Millis(turn)), 4, "turn {turn}");
    }
    measure(&mut overload, Millis(0), 20);
    assert_eq!(count_accepted(&mut overload, Millis(2000)), WAITING);
}

/// Guards against a process that closes connections because it did not run for a while.
#[test]
fn a_single_delay_refuses_nobody() {
    let mut overload = Overload::default();
    measure(&mut overload, Millis(8000), 1);
    assert_eq!(count_accepted(&mut overload, Millis(0)), WAITING);
    let mut overload = Overload::default();
    overload.expect_measurement(Millis(50));
    assert_eq!(count_accepted(&mut overload, Millis(8000)), WAITING);
}

/// Guards against an overload that is found out only once the measurement runs, which is late itself.
#[test]
fn a_measurement_that_is_overdue_counts_before_it_is_made() {
    let mut overload = Overload::default();
    measure(&mut overload, Millis(200), 1);
    overload.expect_measurement(Millis(1000));
    assert_eq!(count_accepted(&mut overload, Millis(1010)), WAITING);
    assert_eq!(count_accepted(&mut overload, Millis(1200)), 4);
}

/// Guards against a process that closes connections because it waits for its processor again and again.
#[test]
fn a_process_that_is_late_again_and_again_and_then_catches_up_refuses_nobody() {
    let mut overload = Overload::default();
    for pause in 1..100 {
        let resumed = Millis(500 * pause);
        overload.expect_measurement(resumed - Millis(400));
        assert_eq!(count_accepted(&mut overload, resumed), WAITING, "pause {pause}");
        overload.record(Measurement { late: Millis(400), turn: Millis(2) });
        assert_eq!(count_accepted(&mut overload, resumed), WAITING, "pause {pause}");
    }
}

/// Guards against the same at a process that has much to do, though not too much.
#[test]
fn a_busy_process_that_is_late_again_and_again_refuses_nobody() {
    let mut overload = Overload::default();
    for pause in 1..100 {
        let resumed = Millis(500 * pause);
        overload.expect_measurement(resumed - Millis(400));
        assert_eq!(count_accepted(&mut overload, resumed), WAITING, "pause {pause}");
        overload.record(Measurement { late: Millis(400), turn: Millis(30) });
    }
}
