//! Writes of plans that the store does not execute, or whose answers are lost.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_fleet::plan::Document;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_platform::store::{CALL_TIMEOUT, Commit, Difference, Outcome, Store};
use cottoncrank_platform_standin::operator::{ENGINES, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{self, Blocked, Fault};

#[tokio::test]
async fn a_conflict_names_the_keys_that_differ() {
    let written = store::Store::start().unwrap();
    for key in ["same", "other"] {
        written.put_bytes(&format!("cottoncrank/{key}"), b"value");
    }
    let expect = [("same", Some(1)), ("other", Some(1)), ("missing", Some(7)), ("new", None)];
    let position = |revision| Position::new(Era::default(), revision);
    let expect = expect.map(|(key, revision)| (key.to_owned(), revision.map(position)));
    let commit = Commit { expect: expect.into(), ..Commit::default() };
    let outcome = Store::new(written.address()).commit(&commit).await.unwrap();
    let Outcome::Conflict(differences) = outcome else { panic!("{outcome:?}") };
    let lines: Vec<String> = differences.iter().map(Difference::to_string).collect();
    assert_eq!(lines, ["`other` is at 0:2, expected 0:1", "`missing` is at none, expected 0:7"]);
    let found = differences[0].found.as_ref().unwrap();
    assert_eq!(found.value.as_ref(), b"value");
}

/// The key that the decider's lease is bound to.
const DECIDER: &str = "cottoncrank/decider";

/// How long a lease lasts.
const LEASE: Duration = Duration::from_millis(1600);

/// How long it may take from a written plan to the orders that follow from it. A repetition comes after 1.5 s.
const ORDER_BOUND: Duration = Duration::from_millis(450);

/// Waits until the store holds another text under a key.
async fn wait_for_change(fleet: &Fleet, key: &str, from: &Option<String>) -> Instant {
    fleet.wait("the plan is written", |fleet| fleet.store.text(key) != *from).await;
    Instant::now()
}

/// Returns when each of these runners was ordered to join a group of several.
async fn wait_for_joins(fleet: &Fleet, runners: &[Runner]) -> Vec<Instant> {
    let join = |runner: &Runner| runner.joins().into_iter().find(|join| join.members.len() > 1);
    fleet.wait("all join", |_| runners.iter().all(|runner| join(runner).is_some())).await;
    runners.iter().filter_map(join).map(|join| join.at).collect()
}

/// Another writer changed the plan of a domain. The decider's next write met a conflict and its orders were not sent,
/// but were remembered as sent.
#[tokio::test]
async fn orders_follow_the_plan_at_once_after_a_write_met_a_conflict() {
    let fleet = Fleet::serving(1).await;
    let key = "cottoncrank/plan/d2";
    let foreign = rmp_serde::to_vec(&Document { version: 1, ..Document::default() }).unwrap();
    fleet.store.put_bytes(key, &foreign);
    let before = fleet.store.text(key);
    let start = |n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap();
    let runners: Vec<Runner> = (0..2).map(start).collect();
    let written = wait_for_change(&fleet, key, &before).await;
    for joined in wait_for_joins(&fleet, &runners).await {
        let late = joined.saturating_duration_since(written);
        assert!(late < ORDER_BOUND, "ordered {late:?} after the plan was written");
    }
}

/// The same with a write that was executed and whose answer was lost.
#[tokio::test]
async fn orders_follow_the_plan_at_once_after_the_answer_to_a_write_was_lost() {
    let fleet = Fleet::serving(1).await;
    let key = "cottoncrank/plan/d2";
    fleet.store.set_fault(Fault::WriteAnswersLost);
    let start = |n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap();
    let runners: Vec<Runner> = (0..2).map(start).collect();
    wait_for_change(&fleet, key, &None).await;
    // The decider gives the write up after its timeout.
    tokio::time::sleep(CALL_TIMEOUT.duration()).await;
    fleet.store.set_fault(Fault::None);
    let given_up = Instant::now();
    for joined in wait_for_joins(&fleet, &runners).await {
        let late = joined.saturating_duration_since(given_up);
        assert!(late < ORDER_BOUND, "ordered {late:?} after the write was given up");
    }
}

/// Engines in three domains: their plans are changed in one write.
#[tokio::test]
async fn plans_that_were_written_together_are_written_again_without_a_conflict() {
    let fleet = Fleet::unconfigured(1).await;
    let start = |n: usize| {
        let domain = format!("d{}", 2 + n / 2);
        Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some(&domain)).unwrap()
    };
    let runners: Vec<Runner> = (0..4).map(start).collect();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("four groups are open", |fleet| fleet.all_know(4)).await;
    runners.iter().step_by(2).for_each(Runner::restart);
    fleet.wait("two are taken apart", |fleet| fleet.all_know(2)).await;
    fleet.wait("four groups are open again", |fleet| fleet.all_know(4)).await;
    assert_eq!(fleet.store.calls().conflicts, 0, "writes met conflicts");
}

/// Takes a member of a group away while the store has a fault, and checks that the decider stays in office for
/// longer than the loss takes to be found.
async fn check_office(fault: Fault) {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    fleet.wait("the node decides", |_| node.is_deciding()).await;
    // It may act for 1.3 s after it has renewed its lease of 1.6 s.
    let is_renewed = |fleet: &Fleet| fleet.store.lease_left(DECIDER) >= Some(Millis(1550));
    fleet.wait("the lease is renewed", is_renewed).await;
    let end = Instant::now() + Duration::from_millis(1100);
    fleet.store.set_fault(fault);
    fleet.engines[0].crash();
    while Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        assert!(node.is_deciding(), "its term ended {left:?} early");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A decider whose write was refused read the plans again, and a refusal of that read ended its term: the next one
/// knew nothing of the runners that it had watched.
#[tokio::test]
async fn a_decider_whose_write_is_refused_stays_in_office() {
    check_office(Fault::Busy).await;
}

/// The same where the write was made, its answer broke off, and the read that followed was refused.
#[tokio::test]
async fn a_decider_that_cannot_read_what_became_of_its_write_stays_in_office() {
    check_office(Fault::WriteAnswersBroken).await;
}

/// The same where the store is back in time: the group is taken apart by the decider that found the loss.
#[tokio::test]
async fn a_decider_that_could_not_read_what_became_of_its_write_goes_on_once_it_can() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let is_renewed = |fleet: &Fleet| fleet.store.lease_left(DECIDER) >= Some(Millis(1550));
    fleet.wait("the lease is renewed", is_renewed).await;
    let commits = fleet.store.calls().commits;
    fleet.store.set_fault(Fault::WriteAnswersBroken);
    fleet.engines[0].crash();
    let is_unsure = |fleet: &Fleet| fleet.store.calls().commits > commits;
    fleet.wait("a write whose answer breaks off", is_unsure).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_fault(Fault::None);
    let left = |_: &Fleet| {
        assert!(node.is_deciding(), "its term ended");
        fleet.engines[1].membership().is_none()
    };
    fleet.wait("the member that lives leaves", left).await;
}

/// A node whose write of the lease's key had no answer left the lease to expire, and nobody could campaign.
#[tokio::test]
async fn a_candidate_that_does_not_learn_of_its_election_ends_the_lease() {
    let fleet = Fleet::serving(1).await;
    fleet.wait("the node decides", |fleet| fleet.nodes[0].node.is_deciding()).await;
    fleet.store.set_fault(Fault::Silent);
    fleet.wait("its lease is over", |fleet| fleet.store.lease_left(DECIDER) == Some(Millis(0))).await;
    fleet.store.set_fault(Fault::WriteAnswersLost);
    let campaigns = |fleet: &Fleet| fleet.store.lease_left(DECIDER) > Some(Millis(1000));
    fleet.wait("the node campaigns", campaigns).await;
    let begun = Instant::now();
    fleet.wait("the lease ends", |fleet| fleet.store.lease_left(DECIDER).is_none()).await;
    let held = begun.elapsed();
    assert!(held < CALL_TIMEOUT.duration() + ORDER_BOUND, "nobody can campaign for {held:?}");
}

/// The same where the store does not tell for longer than a lease lasts: another node may fare better.
#[tokio::test]
async fn a_decider_that_never_learns_what_became_of_its_write_gives_its_office_up() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let commits = fleet.store.calls().commits;
    fleet.store.set_fault(Fault::WriteAnswersBroken);
    fleet.engines[0].crash();
    let is_unsure = |fleet: &Fleet| fleet.store.calls().commits > commits;
    fleet.wait("a write whose answer breaks off", is_unsure).await;
    let unsure = Instant::now();
    let refused = fleet.store.calls().refused;
    fleet.wait("its term ends", |_| !node.is_deciding()).await;
    let lasted = unsure.elapsed();
    assert!(lasted > LEASE - ORDER_BOUND && lasted < LEASE + CALL_TIMEOUT.duration(), "{lasted:?}");
    // A read each 250 ms, and those of the copy that the node follows.
    let reads = fleet.store.calls().refused - refused;
    assert!(reads < 40, "{reads} reads were refused meanwhile");
}

/// A candidate that was elected and could not read the plans ended its lease, so that all nodes campaigned anew at
/// once.
#[tokio::test]
async fn a_candidate_that_cannot_read_the_plans_asks_again_while_its_lease_lasts() {
    let (fleet, doors) = Fleet::behind_doors(1).await;
    let node = &fleet.nodes[0].node;
    fleet.wait("the node decides", |_| node.is_deciding()).await;
    let former = fleet.store.revision(DECIDER);
    fleet.store.set_fault(Fault::Silent);
    fleet.wait("its lease is over", |fleet| fleet.store.lease_left(DECIDER) == Some(Millis(0))).await;
    // Watches tell that the lease is over; lists cannot be read.
    doors[0].set_blocked(Blocked::Ranges);
    fleet.store.set_fault(Fault::None);
    let is_elected = |fleet: &Fleet| {
        let revision = fleet.store.revision(DECIDER);
        revision.is_some() && revision != former
    };
    fleet.wait("the node campaigns", is_elected).await;
    let elected = fleet.store.revision(DECIDER);
    tokio::time::sleep(Duration::from_millis(600)).await;
    doors[0].set_blocked(Blocked::Nothing);
    fleet.wait("the node decides again", |_| node.is_deciding()).await;
    assert_eq!(fleet.store.revision(DECIDER), elected, "it campaigned once more");
}
