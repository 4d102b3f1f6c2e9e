//! Requests whose answer is wanted before they come: how they are told, and when
//! runners have room for them.

use cottoncrank::Millis;
use cottoncrank_fleet::patience::{KEPT, Patience};

const NOW: Millis = Millis(1_000_000);

#[test]
fn a_request_is_as_old_as_its_caller_waits_less_than_others() {
    let mut patience = Patience::default();
    assert_eq!(patience.note("r", Millis(8000), NOW), Millis(0));
    assert_eq!(patience.note("r", Millis(6780), NOW), Millis(1220), "an earlier try took that long");
    assert_eq!(patience.note("r", Millis(8000), NOW), Millis(0));
    assert_eq!(patience.note("other", Millis(6000), NOW), Millis(0), "routes are told apart");
}

#[test]
fn a_caller_who_waited_far_longer_than_all_others_is_forgotten() {
    let mut patience = Patience::default();
    patience.note("r", Millis(60_000), NOW);
    assert_eq!(patience.note("r", Millis(8000), NOW), Millis(52_000));
    let later = NOW + KEPT;
    assert_eq!(patience.note("r", Millis(8000), later), Millis(52_000), "it may still be the usual wait");
    assert_eq!(patience.note("r", Millis(8000), later + KEPT), Millis(0));
}

#[test]
fn routes_without_requests_are_forgotten() {
    let mut patience = Patience::default();
    for number in 0..1000 {
        patience.note(&format!("r{number}"), Millis(8000), NOW + Millis(40 * number));
    }
    assert!(patience.count() <= 2 * KEPT.0 as usize / 40 + 1, "{}", patience.count());
}
