//! Guards against a node that has just started and campaigns before one that holds what the store has lost.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Directory, Millicores, Peer};
use cottoncrank_fleet::past::{Past, find_campaign_time};
use cottoncrank_fleet::position::{Era, Position};

const LEASE: Millis = Millis(1600);

fn name(number: usize) -> id::Node {
    format!("n-{number}").parse().unwrap()
}

/// The nodes that a copy of the store names.
fn directory(count: usize) -> Directory {
    let mut directory = Directory::default();
    for number in 0..count {
        let (hall, address) = ("hall-a".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
        directory.insert(Peer { node: name(number), hall, address, processor: Millicores(1000) });
    }
    directory
}

/// Node 0, after these others have answered in era 1 that they hold nothing.
fn ask(others: impl IntoIterator<Item = usize>) -> Past {
    let mut past = Past::default();
    others.into_iter().for_each(|number| assert!(past.record_empty(Era(1), &name(number))));
    past
}

fn is_lost(past: &Past, count: usize) -> bool {
    past.is_lost(Era(1), Some(Era(1)), &name(0), &directory(count))
}

#[test]
fn all_is_lost_only_where_each_node_that_the_copy_names_has_said_so() {
    assert!(is_lost(&ask([1, 2]), 3));
    assert!(!is_lost(&ask([1]), 3), "one is silent");
    assert!(!is_lost(&ask([1, 2]), 4), "one entered itself afterwards");
    assert!(!is_lost(&ask([]), 1), "the copy may be older than all nodes");
    assert!(!is_lost(&ask([]), 0), "the copy may be older than all nodes");
}

#[test]
fn a_node_that_holds_something_or_has_heard_of_one_that_may_does_not_take_it_for_lost() {
    let mut past = ask([1, 2]);
    past.record_heard(Position::new(Era(1), 7));
    assert!(is_lost(&past, 3));
    past.record_heard(Position::new(Era(0), 9));
    past.record_heard(Position::new(Era(1), 8));
    assert!(!is_lost(&past, 3), "a node of the former era lives");
    let mut past = ask([1, 2]);
    past.record_holding();
    assert!(!is_lost(&past, 3) && !past.is_empty(Era(1), Some(Era(1))));
    let past = ask([1, 2]);
    assert!(!past.is_empty(Era(1), Some(Era(0))), "it does not know yet that the store was restored");
    assert!(past.is_empty(Era(1), None) && past.is_empty(Era(1), Some(Era(1))));
}

#[test]
fn answers_count_in_the_era_for_which_they_were_given() {
    let mut past = ask([1, 2]);
    assert!(!past.is_lost(Era(2), Some(Era(2)), &name(0), &directory(3)));
    assert_eq!(past.list_unknown(Era(2), &name(0), &directory(3)).len(), 2);
    assert!(past.record_empty(Era(2), &name(1)));
    assert!(!past.is_lost(Era(2), Some(Era(2)), &name(0), &directory(3)));
    assert!(past.record_empty(Era(2), &name(2)) && !past.record_empty(Era(2), &name(2)));
    assert!(past.is_lost(Era(2), Some(Era(2)), &name(0), &directory(3)));
    past.restart(Era(2));
    assert!(!past.is_lost(Era(2), Some(Era(2)), &name(0), &directory(3)));
}

#[test]
fn a_large_fleet_is_not_asked() {
    assert_eq!(ask([]).list_unknown(Era(1), &name(0), &directory(17)).len(), 16);
    assert!(ask([]).list_unknown(Era(1), &name(0), &directory(18)).is_empty());
}

#[test]
fn the_wait_for_others_ends_where_all_is_lost_and_that_for_a_former_decider_does_not() {
    let (free, synced) = (Millis(10_000), Millis(9000));
    assert_eq!(find_campaign_time(free, synced, LEASE, false), Millis(13_200));
    assert_eq!(find_campaign_time(free, synced, LEASE, true), Millis(10_600));
    assert_eq!(find_campaign_time(free, Millis(2000), LEASE, true), free);
}
