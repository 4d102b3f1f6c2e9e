//! Runs of suspected requests: one at a time, apart from each other, and not at any price.

use cottoncrank::Millis;
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_fleet::suspects::Level;
use cottoncrank_fleet::trials::{LASTS, Ruling, Trials};

const NOW: Millis = Millis(1000);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(&Request { account: None, method: "POST", path: name, body: b"" })
}

#[test]
fn copies_of_a_suspected_request_wait_for_the_outcome_of_the_first() {
    let (a, b) = (fingerprint("a"), fingerprint("b"));
    let mut trials = Trials::default();
    assert_eq!(trials.rule(&a, Level::Suspected(1), 4, NOW), Ruling::Trial);
    trials.begin(a, Some(Epoch(7)), NOW);
    assert_eq!(trials.rule(&a, Level::Suspected(1), 4, NOW), Ruling::Hold);
    assert_eq!(trials.rule(&b, Level::Suspected(1), 4, NOW), Ruling::Trial, "another one need not wait");
    assert_eq!(trials.rule(&a, Level::Clear, 4, NOW), Ruling::Run, "it was cleared meanwhile");
    trials.end(&a);
    assert_eq!(trials.rule(&a, Level::Suspected(2), 4, NOW), Ruling::Trial);
    // Nothing is heard of a run whose caller has left.
    trials.begin(a, Some(Epoch(7)), NOW);
    assert_eq!(trials.rule(&a, Level::Suspected(2), 4, NOW + LASTS), Ruling::Trial);
}

#[test]
fn a_request_that_goes_on_elsewhere_does_not_wait_for_its_own_run() {
    let a = fingerprint("a");
    let mut trials = Trials::default();
    trials.begin(a, Some(Epoch(7)), NOW);
    trials.end_at(&a, &[Epoch(5)]);
    assert_eq!(trials.rule(&a, Level::Suspected(1), 4, NOW), Ruling::Hold, "that is another copy of it");
    trials.end_at(&a, &[Epoch(5), Epoch(7)]);
    assert_eq!(trials.rule(&a, Level::Suspected(1), 4, NOW), Ruling::Trial);
}

#[test]
fn runs_are_kept_apart_from_those_of_other_suspected_requests() {
    let (a, b) = (fingerprint("a"), fingerprint("b"));
    let mut trials = Trials::default();
    trials.begin(a, Some(Epoch(7)), NOW);
    trials.begin(b, Some(Epoch(8)), NOW);
    assert_eq!(trials.list_groups(&a, NOW), [Epoch(8)]);
    assert!(trials.list_groups(&a, NOW + LASTS).is_empty());
}

#[test]
fn the_last_one_left_is_spared_after_two_ends_and_a_deadly_request_runs_nowhere() {
    let a = fingerprint("a");
    let trials = Trials::default();
    assert_eq!(trials.rule(&a, Level::Suspected(1), 1, NOW), Ruling::Trial);
    assert_eq!(trials.rule(&a, Level::Suspected(2), 1, NOW), Ruling::Hold);
    assert_eq!(trials.rule(&a, Level::Suspected(2), 2, NOW), Ruling::Trial);
    assert_eq!(trials.rule(&a, Level::Deadly(3), 9, NOW), Ruling::Refuse);
}
