//! Leases that the store grants for another time than the decider asks for.
//!
//! The failure: the decider relied on the time that it had asked for, and was one beside another that was elected
//! after the lease was over, or sent orders then.

mod common;

use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY, start_node};
use cottoncrank::Millis;
use cottoncrank_platform_standin::operator::{ENGINES, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{Blocked, Bounds, Endpoint, Fault};
use rustix::process::Signal;

/// The key that the decider's lease is bound to.
const DECIDER: &str = "cottoncrank/decider";

/// How long a decider asks for.
const ASKED: Millis = Millis(1600);

/// Half of that.
const HALF: Millis = Millis(800);

/// The time between two looks.
const LOOK: Duration = Duration::from_millis(5);

/// Grants leases for so long from the start on.
fn grant(ttl: Millis) -> Bounds {
    Bounds { granted_ttl: ttl, least_granted_ttl: ttl, ..Bounds::default() }
}

/// Starts a configured fleet behind doors whose leases are granted for `ttl`.
async fn start(nodes: usize, ttl: Millis) -> (Fleet, Vec<Endpoint>) {
    let mut fleet = Fleet::unconfigured(0).await;
    fleet.store.set_bounds(grant(ttl));
    let doors: Vec<Endpoint> = (0..nodes).map(|_| Endpoint::open(&fleet.store).unwrap()).collect();
    for (number, door) in doors.iter().enumerate() {
        fleet.nodes.push(start_node(door.address(), number, "hall-a").await);
    }
    fleet.store.configure(&config(1, &[KEY]));
    (fleet, doors)
}

fn list_deciders(fleet: &Fleet) -> Vec<usize> {
    (0..fleet.nodes.len()).filter(|number| fleet.nodes[*number].node.is_deciding()).collect()
}

/// Waits until the lease has just been renewed, and returns the decider.
async fn wait_renewed(fleet: &Fleet, ttl: Millis) -> usize {
    let is_renewed = |fleet: &Fleet| {
        list_deciders(fleet).len() == 1 && fleet.store.lease_left(DECIDER) >= Some(Millis(ttl.0 - 40))
    };
    fleet.wait("the lease is renewed", is_renewed).await;
    list_deciders(fleet)[0]
}

/// Cuts the decider off from the store, and checks that it is none any more once its lease is over. Returns how long
/// it was one.
async fn cut(fleet: &Fleet, doors: &[Endpoint], ttl: Millis) -> Duration {
    let cut = wait_renewed(fleet, ttl).await;
    doors[cut].set_blocked(Blocked::All);
    let begun = Instant::now();
    let mut held = Duration::ZERO;
    let mut other = false;
    while !other {
        assert!(begun.elapsed() < Duration::from_secs(20), "no other node was elected");
        let deciders = list_deciders(fleet);
        assert!(deciders.len() <= 1, "nodes {deciders:?} decide, {:?} after the cut", begun.elapsed());
        if deciders.contains(&cut) {
            held = begun.elapsed();
        }
        other = deciders.iter().any(|decider| *decider != cut);
        tokio::time::sleep(LOOK).await;
    }
    doors[cut].set_blocked(Blocked::Nothing);
    held
}

#[tokio::test]
async fn a_decider_that_is_cut_off_relies_on_the_granted_time_where_it_is_shorter() {
    let (fleet, doors) = start(2, HALF).await;
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    for _ in 0..4 {
        let held = cut(&fleet, &doors, HALF).await;
        assert!(held < HALF.duration(), "it relied on its lease for {held:?} after the cut");
    }
}

/// Nodes that wait until a lease of before a restore is over wait for as long as they would ask for.
#[tokio::test]
async fn a_decider_that_is_cut_off_relies_on_the_asked_time_where_the_granted_one_is_longer() {
    let (fleet, doors) = start(2, Millis(4000)).await;
    let held = cut(&fleet, &doors, Millis(4000)).await;
    assert!(held < ASKED.duration(), "it relied on its lease for {held:?} after the cut");
}

/// A decider stays in office with a lease that is renewed as often as it needs.
#[tokio::test]
async fn a_lease_of_half_the_time_is_kept() {
    let (fleet, _doors) = start(2, HALF).await;
    let decider = wait_renewed(&fleet, HALF).await;
    let position = fleet.store.revision(DECIDER);
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(5) {
        assert_eq!(list_deciders(&fleet), [decider], "after {:?}", begun.elapsed());
        tokio::time::sleep(LOOK).await;
    }
    assert_eq!(fleet.store.revision(DECIDER), position, "it was elected anew");
}

/// The answer to the write of a plan arrives after the lease is over.
#[tokio::test]
async fn no_order_is_sent_after_the_granted_time() {
    let (fleet, _doors) = start(1, HALF).await;
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    wait_renewed(&fleet, HALF).await;
    fleet.store.set_fault(Fault::WriteAnswersLate(Millis(830)));
    let key = "cottoncrank/plan/d2";
    let start = |n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap();
    let runners: Vec<Runner> = (0..2).map(start).collect();
    fleet.wait("the plan is written", |fleet| fleet.store.text(key).is_some()).await;
    let begun = Instant::now();
    let count = || runners.iter().map(Runner::count_joins).sum::<usize>();
    // Nobody can be elected meanwhile: the answer to that write is as late.
    while begun.elapsed() < Duration::from_millis(1500) {
        let left = fleet.store.lease_left(DECIDER);
        assert_eq!(count(), 0, "ordered {:?} after the plan was written, {left:?} left", begun.elapsed());
        tokio::time::sleep(LOOK).await;
    }
    fleet.store.set_fault(Fault::None);
    fleet.wait("they are ordered by the next decider", |_| count() > 0).await;
}

/// A lease that would be over before it is renewed makes a decider that comes and goes.
#[tokio::test]
async fn nobody_campaigns_with_a_lease_that_cannot_be_kept() {
    let fleet = Fleet::unconfigured(0).await;
    let store = &fleet.store;
    store.set_bounds(grant(Millis(500)));
    store.configure(&config(1, &[KEY]));
    let node = NodeProcess::start(store.address(), 0).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let log = node.read_log();
    assert_eq!(store.revision(DECIDER), None, "it campaigns:\n{log}");
    let lines = log.lines().filter(|line| line.contains("500ms"));
    assert_eq!(lines.count(), 1, "a line with the time, and no more in 3 s:\n{log}");
    store.set_bounds(Bounds::default());
    let begun = Instant::now();
    while store.revision(DECIDER).is_none() {
        assert!(begun.elapsed() < Duration::from_secs(10), "it does not ask again:\n{}", node.read_log());
        tokio::time::sleep(LOOK).await;
    }
}

/// A decider that was held up beyond its lease finds another elected, and does not act beside it.
#[tokio::test]
async fn a_decider_that_is_held_up_beyond_the_granted_time_sends_no_order() {
    let fleet = Fleet::unconfigured(0).await;
    fleet.store.set_bounds(grant(HALF));
    fleet.store.configure(&config(1, &[KEY]));
    let mut nodes = Vec::new();
    for number in 0..2 {
        nodes.push(NodeProcess::start(fleet.store.address(), number).await);
    }
    let opens = |fleet: &Fleet| fleet.heads().len() == 2;
    wait_for("two groups are open", || opens(&fleet)).await;
    for round in 0..3 {
        let holder = fleet.store.text(DECIDER);
        let Some(decider) = nodes.iter().position(|node| Some(&node.settings.node) == holder.as_ref()) else {
            panic!("{holder:?} decides");
        };
        let before: usize = fleet.engines.iter().map(Runner::count_joins).sum();
        nodes[decider].signal(Signal::STOP);
        wait_for("another decides", || {
            let found = fleet.store.text(DECIDER);
            found.is_some() && found != holder
        })
        .await;
        nodes[decider].signal(Signal::CONT);
        tokio::time::sleep(HALF.duration()).await;
        let log = nodes[decider].read_log();
        let ends = log.lines().filter(|line| line.contains("no longer the decider")).count();
        assert!(ends > 0, "round {round}: it did not end its term:\n{log}");
        assert!(opens(&fleet), "round {round}: groups were broken up, {before} orders before");
    }
}

/// Waits until `holds` returns true, and panics with `what` after twenty seconds.
async fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        tokio::time::sleep(LOOK).await;
    }
}
