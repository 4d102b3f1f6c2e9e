//! The store comes back from a copy some seconds old. What was written since is gone, leases too;
//! revisions go back and are given out again. Nodes compared bare revisions, so that those that
//! knew more passed over every node that had read the store again, took for removed what the copy
//! lacked, and went on under a lease that was not theirs.

mod common;

use std::collections::{HashMap, HashSet};

use common::{Fleet, KEY, start_node};
use cottoncrank::Millis;
use cottoncrank_fleet::position::Era;
use cottoncrank_platform::store::{Commit, EraError, Store, StoreError};
use cottoncrank_platform_standin::caller::{Question, WAIT_MS, ask};
use cottoncrank_platform_standin::operator::{PLAIN, READ, STREAM, config};
use cottoncrank_platform_standin::runner::{Place, Runner};
use cottoncrank_platform_standin::store::{self, Closed, Door};

/// Runners and operators write again within about this.
const AGAIN: Millis = Millis(1000);

/// All know within this what an operator has put in force.
const APPLY: Millis = Millis(4000);

/// The places of the heads of open groups.
fn list_places(fleet: &Fleet) -> HashSet<(String, u64)> {
    let places = fleet.heads().into_iter().filter_map(Runner::place);
    places.map(|Place { group, epoch, .. }| (group, epoch)).collect()
}

/// Runners write their entries again, as they do a while after the store has come back.
async fn write_again(fleet: &Fleet) {
    tokio::time::sleep(AGAIN.duration()).await;
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.enter();
    }
}

/// No epoch was given to two groups.
fn assert_epochs_once(fleet: &Fleet) {
    let mut known: HashMap<u64, Vec<String>> = HashMap::new();
    for join in fleet.engines.iter().flat_map(Runner::history).filter(|join| join.members.len() > 1) {
        let members = known.entry(join.epoch).or_insert_with(|| join.members.clone());
        assert_eq!(*members, join.members, "epoch {} of {}", join.epoch, join.group);
    }
}

/// Ends a group by the restart of a member, until two others are open.
async fn replace_a_group(fleet: &Fleet) {
    let before = list_places(fleet);
    fleet.heads()[0].restart();
    let is_new = |fleet: &Fleet| {
        let places = list_places(fleet);
        places.len() == 2 && places.difference(&before).count() == 1
    };
    fleet.wait("a group is formed anew", |fleet| is_new(fleet) && fleet.all_know(2)).await;
}

#[tokio::test]
async fn groups_that_serve_go_on_and_no_epoch_is_given_twice() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.copy();
    replace_a_group(&fleet).await;
    let before = list_places(&fleet);
    fleet.store.go_back(&copy);
    write_again(&fleet).await;
    tokio::time::sleep(Millis(2500).duration()).await;
    assert_eq!(list_places(&fleet), before, "groups that served are stopped");
    // The next groups have epochs of their own.
    replace_a_group(&fleet).await;
    replace_a_group(&fleet).await;
    assert_epochs_once(&fleet);
}

#[tokio::test]
async fn callers_are_served_while_the_store_comes_back_older() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.copy();
    replace_a_group(&fleet).await;
    fleet.store.go_back(&copy);
    let mut turns = tokio::time::interval(Millis(50).duration());
    for turn in 0..60 {
        turns.tick().await;
        if turn == 20 {
            write_again(&fleet).await;
        }
        let node = fleet.nodes[turn % 3].callers;
        let answer = ask(node, STREAM, &format!("r-{turn}"), KEY).await.unwrap();
        assert_eq!((answer.status, answer.whole), (200, true), "{turn}: {answer:?}");
    }
}

#[tokio::test]
async fn a_runner_whose_entry_is_missing_is_waited_for() {
    let fleet = Fleet::unconfigured(2).await;
    let copy = fleet.store.copy();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let before = list_places(&fleet);
    // Nothing of this is in the copy: neither plans, nor what runners said of their groups.
    fleet.store.go_back(&copy);
    write_again(&fleet).await;
    fleet.store.configure(&config(1, &[KEY]));
    tokio::time::sleep(Millis(3000).duration()).await;
    assert_eq!(list_places(&fleet), before, "groups that served are stopped");
    assert!(fleet.all_know(2));
    assert_epochs_once(&fleet);
}

#[tokio::test]
async fn a_configuration_never_goes_back_and_the_next_is_in_force_in_time() {
    let mut fleet = Fleet::serving(3).await;
    let copy = fleet.store.copy();
    fleet.store.configure(&config(2, &["key-2"]));
    let knows = |fleet: &Fleet, version: u64| {
        let version = move |node: &cottoncrank_node::state::Node| {
            node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version >= version)
        };
        fleet.nodes.iter().all(|running| version(&running.node))
    };
    fleet.wait("version 2 is in force", |fleet| knows(fleet, 2)).await;
    fleet.store.go_back(&copy);
    tokio::time::sleep(AGAIN.duration()).await;
    for running in &fleet.nodes {
        assert_eq!(ask(running.callers, READ, "r1", KEY).await.unwrap().status, 401, "the key was revoked");
    }
    // One that starts in between learns from those that know.
    fleet.add_node().await;
    fleet.wait("it has read the store", |fleet| fleet.nodes[3].node.is_synced()).await;
    let answer = ask(fleet.nodes[3].callers, READ, "r2", KEY).await.unwrap();
    assert_ne!(answer.status, 200, "a key that was taken away is honoured again");
    write_again(&fleet).await;
    fleet.store.configure(&config(2, &["key-2"]));
    let end = fleet.nodes[0].node.now() + APPLY;
    fleet.store.configure(&config(3, &["key-3"]));
    fleet.wait("version 3 is in force", |fleet| knows(fleet, 3)).await;
    assert!(fleet.nodes[0].node.now() <= end, "in force after the bound");
}

#[tokio::test]
async fn requests_that_end_runners_stay_refused() {
    let fleet = Fleet::serving(2).await;
    let copy = fleet.store.copy();
    let send = async |name: &str, turn: usize| {
        let request = format!("{name}-{turn}");
        let node = fleet.nodes[turn % 2].callers;
        let question =
            Question { path: READ, request: &request, key: KEY, wait_ms: WAIT_MS, body: "a deadly body" };
        question.ask(node).await.unwrap()
    };
    for turn in 0..200 {
        if send("d", turn).await.status == 400 {
            break;
        }
        tokio::time::sleep(Millis(100).duration()).await;
    }
    let stored = |fleet: &Fleet| fleet.store.list("cottoncrank/suspects/").len();
    fleet.wait("the store holds it", |fleet| stored(fleet) == 1).await;
    fleet.store.go_back(&copy);
    write_again(&fleet).await;
    fleet.wait("the store holds it again", |fleet| stored(fleet) == 1).await;
    for turn in 0..4 {
        assert_eq!(send("e", turn).await.status, 400);
    }
}

#[tokio::test]
async fn nodes_are_found_again_and_only_one_decides() {
    let fleet = Fleet::unconfigured(3).await;
    let copy = fleet.store.copy();
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    fleet.store.go_back(&copy);
    write_again(&fleet).await;
    fleet.store.configure(&config(1, &[KEY]));
    let entries = |fleet: &Fleet| fleet.store.list("cottoncrank/node/").len();
    fleet.wait("all entries are there", |fleet| entries(fleet) == 3).await;
    let deciding = |fleet: &Fleet| fleet.nodes.iter().filter(|running| running.node.is_deciding()).count();
    for _ in 0..150 {
        assert!(deciding(&fleet) <= 1, "two nodes decide");
        tokio::time::sleep(Millis(20).duration()).await;
    }
    assert_eq!(deciding(&fleet), 1, "nobody decides");
}

#[tokio::test]
async fn it_comes_back_older_twice_and_serves_on() {
    let fleet = Fleet::serving(3).await;
    let oldest = fleet.store.copy();
    replace_a_group(&fleet).await;
    let older = fleet.store.copy();
    replace_a_group(&fleet).await;
    fleet.store.go_back(&older);
    tokio::time::sleep(Millis(700).duration()).await;
    fleet.store.go_back(&oldest);
    write_again(&fleet).await;
    for turn in 0..30 {
        let node = fleet.nodes[turn % 3].callers;
        let answer = ask(node, STREAM, &format!("r-{turn}"), KEY).await.unwrap();
        assert_eq!((answer.status, answer.whole), (200, true), "{turn}: {answer:?}");
    }
    replace_a_group(&fleet).await;
    assert_epochs_once(&fleet);
}

#[tokio::test]
async fn a_node_of_its_own_starts_in_the_new_era() {
    let fleet = Fleet::serving(1).await;
    let copy = fleet.store.copy();
    replace_a_group(&fleet).await;
    fleet.store.go_back(&copy);
    write_again(&fleet).await;
    let later = start_node(fleet.store.address(), 7, "hall-a").await;
    fleet.wait("it serves", |_| later.node.is_ready() && common::count_heads(&later.node) == 2).await;
    let answer = ask(later.callers, STREAM, "r1", KEY).await.unwrap();
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
}

#[tokio::test]
async fn what_the_copy_lacks_and_nobody_writes_again_is_forgotten() {
    let fleet = Fleet::serving(3).await;
    let copy = fleet.store.copy();
    let lost = Runner::start(&fleet.store, "p-lost", PLAIN, "hall-a", None).unwrap();
    let id = lost.id().parse().unwrap();
    let know = |fleet: &Fleet| fleet.nodes.iter().filter(|n| n.node.roster.lock().get(&id).is_some()).count();
    fleet.wait("all know the runner", |fleet| know(fleet) == 3).await;
    lost.crash();
    fleet.store.go_back(&copy);
    // The counter has passed what nodes know before they ask again.
    for number in 0..50 {
        fleet.store.put_bytes("op/other", format!("{number}").as_bytes());
    }
    fleet.wait("nobody knows it any more", |fleet| know(fleet) == 0).await;
}

#[tokio::test]
async fn answers_and_leases_of_a_former_era_are_not_used() {
    let store = store::Store::start().unwrap();
    let client = Store::new(store.address());
    let lease = client.open_lease(Millis(5000)).await.unwrap();
    client.renew_lease(lease).await.unwrap();
    let read = client.read_all().await.unwrap();
    store.go_back(&store.copy());
    // Its number is there in the copy too, and may be given to somebody else.
    let watched = client.watch(read.position, Millis(0)).await;
    assert!(matches!(watched, Err(StoreError::Restored(era)) if era > read.position.era()), "{watched:?}");
    assert!(matches!(client.renew_lease(lease).await, Err(StoreError::LeaseExpired)));
    let expect = vec![("a".to_owned(), Some(read.position))];
    let commit = client.commit(&Commit { expect, ..Commit::default() }).await;
    assert!(matches!(commit, Err(StoreError::Restored(_))), "{commit:?}");
    // Others have seen a later era: this answer was under way for long.
    client.raise_era(Era(9));
    let former = client.read_all().await;
    assert!(matches!(former, Err(StoreError::Era(EraError::Outdated { .. }))), "{former:?}");
}

#[tokio::test]
async fn a_node_that_starts_just_then_does_not_decide_before_those_that_know() {
    let mut fleet = Fleet::unconfigured(0).await;
    let copy = fleet.store.copy();
    let doors = [Door::open(&fleet.store).unwrap(), Door::open(&fleet.store).unwrap()];
    for (number, door) in doors.iter().enumerate() {
        fleet.nodes.push(start_node(door.address(), number, "hall-a").await);
    }
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("all nodes know two open groups", |fleet| fleet.all_know(2)).await;
    let before = list_places(&fleet);
    // The node that decides is lost as well, and the other one is turned away for a moment: the
    // store has no plan, and nobody else can say so to a node that starts.
    let deciding = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    fleet.nodes.remove(deciding);
    let door = &doors[1 - deciding];
    door.set_closed(Closed::All);
    fleet.store.go_back(&copy);
    fleet.store.configure(&config(1, &[KEY]));
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.enter();
    }
    fleet.nodes.push(start_node(fleet.store.address(), 7, "hall-a").await);
    let decides = |fleet: &Fleet| fleet.nodes.iter().any(|running| running.node.is_deciding());
    let mut decided = 0;
    for look in 0.. {
        if look == 20 {
            door.set_closed(Closed::Not);
        }
        assert_eq!(list_places(&fleet), before, "groups that served are stopped");
        decided += usize::from(decides(&fleet));
        if decided > 30 {
            break;
        }
        assert!(look < 400, "nobody decides");
        tokio::time::sleep(Millis(50).duration()).await;
    }
    assert_epochs_once(&fleet);
}
