//! Trial runs of suspected requests: one at a time, isolated from each other, and only while capacity
//! suffices.

use cottoncrank::Millis;
use cottoncrank_fleet::evidence::Level;
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_fleet::trials::{Baseline, Capacity, Ruling, TRIAL_TIMEOUT, Trials};

const NOW: Millis = Millis(1000);

/// All groups are available.
const ALL: Capacity = Capacity { available: 4, usual: 4 };

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(&Request { account: None, method: "POST", path: name, body: b"" })
}

#[test]
fn copies_of_a_suspected_request_wait_for_the_first_trial_run() {
    let (a, b) = (fingerprint("a"), fingerprint("b"));
    let mut trials = Trials::default();
    assert_eq!(trials.decide(&a, Level::Suspected(1), ALL, NOW), Ruling::Trial);
    trials.start(a, Some(Epoch(7)), NOW);
    assert_eq!(trials.decide(&a, Level::Suspected(1), ALL, NOW), Ruling::Quarantine);
    assert_eq!(
        trials.decide(&b, Level::Suspected(1), ALL, NOW),
        Ruling::Trial,
        "another request need not wait"
    );
    assert_eq!(trials.decide(&a, Level::Clear, ALL, NOW), Ruling::Run, "it was cleared meanwhile");
    trials.finish(&a);
    assert_eq!(trials.decide(&a, Level::Suspected(2), ALL, NOW), Ruling::Trial);
    // The outcome of a run is not reported if its caller has left.
    trials.start(a, Some(Epoch(7)), NOW);
    assert_eq!(trials.decide(&a, Level::Suspected(2), ALL, NOW + TRIAL_TIMEOUT), Ruling::Trial);
}

#[test]
fn a_retried_request_does_not_wait_for_its_own_trial_run() {
    let a = fingerprint("a");
    let mut trials = Trials::default();
    trials.start(a, Some(Epoch(7)), NOW);
    trials.finish_at(&a, &[Epoch(5)]);
    assert_eq!(
        trials.decide(&a, Level::Suspected(1), ALL, NOW),
        Ruling::Quarantine,
        "the run is of another copy"
    );
    trials.finish_at(&a, &[Epoch(5), Epoch(7)]);
    assert_eq!(trials.decide(&a, Level::Suspected(1), ALL, NOW), Ruling::Trial);
}

#[test]
fn trial_runs_are_isolated_from_those_of_other_requests() {
    let (a, b) = (fingerprint("a"), fingerprint("b"));
    let mut trials = Trials::default();
    trials.start(a, Some(Epoch(7)), NOW);
    trials.start(b, Some(Epoch(8)), NOW);
    assert_eq!(trials.list_trial_groups(&a, NOW), [Epoch(8)]);
    assert!(trials.list_trial_groups(&a, NOW + TRIAL_TIMEOUT).is_empty());
}

#[test]
fn suspected_requests_wait_for_capacity_and_deadly_ones_are_rejected() {
    let a = fingerprint("a");
    let trials = Trials::default();
    let decide =
        |available, usual| trials.decide(&a, Level::Suspected(1), Capacity { available, usual }, NOW);
    assert_eq!(decide(1, 1), Ruling::Trial, "there was never more than one group");
    assert_eq!(decide(2, 3), Ruling::Trial, "one hall of three is lost");
    assert_eq!(decide(1, 2), Ruling::Trial, "requests in flight at the other group are retried");
    assert_eq!(
        (decide(0, 2), decide(1, 3), decide(0, 3)),
        (Ruling::Quarantine, Ruling::Quarantine, Ruling::Quarantine)
    );
    assert_eq!((decide(12, 20), decide(11, 20)), (Ruling::Trial, Ruling::Quarantine));
    assert_eq!(trials.decide(&a, Level::Clear, Capacity { available: 1, usual: 9 }, NOW), Ruling::Run);
    assert_eq!(trials.decide(&a, Level::Deadly(3), ALL, NOW), Ruling::Reject);
}

#[test]
fn the_usual_capacity_is_remembered_for_some_time() {
    let service = "engines".parse().unwrap();
    let (small, large) = ("small".parse().unwrap(), "large".parse().unwrap());
    let mut baseline = Baseline::default();
    let mut record =
        |model, available, at| baseline.record(&service, Some(model), available, NOW + Millis(at)).usual;
    assert_eq!(record(&small, 9, 0), 9);
    assert_eq!(record(&large, 3, 0), 3);
    assert_eq!(record(&small, 4, 29_000), 9);
    assert_eq!(record(&small, 4, 59_000), 9);
    assert_eq!(record(&small, 4, 90_000), 4, "four are usual now");
    assert_eq!(record(&small, 6, 91_000), 6);
}
