//! The runners that asked a node to send no requests for a while.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::backoff::Table;
use cottoncrank_fleet::runner::Incarnation;

const NOW: Millis = Millis(10_000);

const SPAN: Millis = Millis(3000);

fn runner(name: &str) -> id::Runner {
    name.parse().unwrap()
}

#[test]
fn a_backoff_lasts_for_the_requested_time() {
    let (mut table, id) = (Table::default(), runner("a"));
    assert!(table.insert(&id, Some(Incarnation(1)), SPAN, NOW));
    assert_eq!(table.find_end(&id, Some(Incarnation(1)), NOW), Some(NOW + SPAN));
    assert_eq!(table.find_end(&id, Some(Incarnation(1)), NOW + Millis(2999)), Some(NOW + SPAN));
    assert_eq!(table.find_end(&id, Some(Incarnation(1)), NOW + SPAN), None);
    assert!(!table.is_empty(NOW) && table.is_empty(NOW + SPAN));
    assert_eq!(table.find_end(&runner("b"), None, NOW), None, "another runner is not backing off");
}

#[test]
fn the_latest_end_applies() {
    let (mut table, id) = (Table::default(), runner("a"));
    table.insert(&id, None, SPAN, NOW);
    // An answer that was overtaken, or a runner that asks for less time.
    assert!(!table.insert(&id, None, Millis(500), NOW + Millis(100)), "a later end is known");
    assert_eq!(table.find_end(&id, None, NOW + Millis(700)), Some(NOW + SPAN));
    table.insert(&id, None, SPAN, NOW + Millis(1000));
    assert_eq!(table.find_end(&id, None, NOW + Millis(3500)), Some(NOW + Millis(4000)));
}

#[test]
fn an_incarnation_is_not_bound_by_the_former_one() {
    let (mut table, id) = (Table::default(), runner("a"));
    table.insert(&id, Some(Incarnation(5)), SPAN, NOW);
    assert_eq!(table.find_end(&id, Some(Incarnation(6)), NOW), None, "it has restarted");
    assert!(table.find_end(&id, Some(Incarnation(5)), NOW).is_some());
    assert!(table.find_end(&id, None, NOW).is_some(), "no restart is known");
    // The later incarnation asks for less time, and an answer of the former one arrives late.
    assert!(table.insert(&id, Some(Incarnation(6)), Millis(1000), NOW));
    assert!(!table.insert(&id, Some(Incarnation(5)), SPAN, NOW));
    assert_eq!(table.find_end(&id, Some(Incarnation(6)), NOW), Some(NOW + Millis(1000)));
}

#[test]
fn expired_backoffs_take_no_memory() {
    let mut table = Table::default();
    for number in 0..1000 {
        table.insert(&runner(&format!("r{number}")), None, SPAN, NOW + Millis(number));
    }
    assert_eq!(table.list(NOW + Millis(1000)).count(), 1000);
    table.insert(&runner("a"), None, SPAN, NOW + Millis(10_000));
    assert_eq!(table.list(NOW).count(), 1, "the others were dropped");
}
