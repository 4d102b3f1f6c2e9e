//! New connections at a node whose processor is overloaded.

use cottoncrank::Millis;
use cottoncrank_fleet::overload::Overload;

/// The connections that wait in one turn.
const WAITING: usize = 1000;

/// Records the same delay several times.
fn measure(overload: &mut Overload, delay: Millis, times: usize) {
    (0..times).for_each(|_| overload.record_delay(delay));
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
