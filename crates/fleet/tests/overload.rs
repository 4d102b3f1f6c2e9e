//! New connections at a node whose processor is overloaded.

use cottoncrank::Millis;
use cottoncrank_fleet::overload::Overload;

/// Records the same delay several times.
fn measure(overload: &mut Overload, delay: Millis, times: usize) {
    (0..times).for_each(|_| overload.record_delay(delay));
}

/// Returns how many of a thousand connections, one per millisecond, are taken.
fn count_accepted(overload: &mut Overload, begin: Millis) -> usize {
    (0..1000).filter(|ms| overload.accepts(begin + Millis(*ms))).count()
}

#[test]
fn an_overloaded_node_takes_few_new_connections_but_never_none() {
    let mut overload = Overload::default();
    assert_eq!(count_accepted(&mut overload, Millis(0)), 1000);
    measure(&mut overload, Millis(200), 20);
    assert_eq!(count_accepted(&mut overload, Millis(1000)), 10);
    measure(&mut overload, Millis(0), 20);
    assert_eq!(count_accepted(&mut overload, Millis(2000)), 1000);
}

#[test]
fn a_single_delay_refuses_nobody() {
    let mut overload = Overload::default();
    measure(&mut overload, Millis(8000), 1);
    assert_eq!(count_accepted(&mut overload, Millis(0)), 1000);
}
