//! Items of the store that another writer left, and items of ours that cannot be read: what
//! they name is not used, and all others hold, on the node that reads the store and on those
//! that learn from it.

mod common;

use common::{Fleet, KEY};
use cottoncrank_platform_standin::foreign;
use cottoncrank_platform_standin::operator::{ENGINES, READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store;
use serde_json::json;

fn knows(fleet: &Fleet, id: &str) -> Vec<bool> {
    let id = id.parse().unwrap();
    fleet.nodes.iter().map(|running| running.node.roster.lock().get(&id).is_some()).collect()
}

/// Waits until all nodes have read what the store holds now.
async fn settle(fleet: &Fleet, mark: usize) {
    let id = format!("mark-{mark}");
    let _marker = Runner::start(&fleet.store, &id, "marks", "hall-a", None).unwrap();
    fleet.wait("the mark is known", |fleet| knows(fleet, &id).iter().all(|known| *known)).await;
}

#[tokio::test]
async fn an_entry_that_cannot_be_read_names_no_runner_and_the_others_hold() {
    let fleet = Fleet::serving(3).await;
    let plain = fleet.plain[0].id().to_owned();
    for (at, (kind, bytes)) in foreign::list_entries(&fleet.plain[0].entry()).into_iter().enumerate() {
        fleet.store.put_entry(&plain, &bytes);
        settle(&fleet, at).await;
        assert!(knows(&fleet, &plain).iter().all(|known| !known), "{kind}: the runner is still used");
        assert!(knows(&fleet, fleet.plain[1].id()).iter().all(|known| *known), "{kind}: another one is lost");
        let request = format!("r{at}");
        assert_eq!(fleet.ask(READ, &request).await.status, 200, "{kind}");
        assert_eq!(fleet.count_runs(&request), 1, "{kind}");
        fleet.plain[0].enter();
        fleet.wait("it is back", |fleet| knows(fleet, &plain).iter().all(|known| *known)).await;
    }
}

#[tokio::test]
async fn values_of_another_form_take_no_other_item_with_them() {
    let fleet = Fleet::serving(3).await;
    let plain = fleet.plain[0].id().to_owned();
    for (at, shown) in foreign::list_values().into_iter().enumerate() {
        fleet.store.show_entry(&plain, &shown);
        fleet.store.show_entry("no id at all!", &shown);
        settle(&fleet, at).await;
        assert!(knows(&fleet, &plain).iter().all(|known| !known), "{shown}");
        // Whole reads meet them as well.
        fleet.store.forget();
        settle(&fleet, 100 + at).await;
        assert_eq!(fleet.ask(READ, &format!("r{at}")).await.status, 200, "{shown}");
        fleet.plain[0].enter();
        fleet.wait("it is back", |fleet| knows(fleet, &plain).iter().all(|known| *known)).await;
    }
}

#[tokio::test]
async fn keys_that_are_no_ones_are_not_taken_for_the_configuration() {
    let fleet = Fleet::serving(2).await;
    for (at, key) in foreign::KEYS.into_iter().enumerate() {
        fleet.store.put(key, &config(99, &["key-99"]));
        settle(&fleet, at).await;
        fleet.store.remove(key);
        settle(&fleet, 100 + at).await;
        let held = |running: &common::Running| running.node.catalog.lock().as_ref().map(|held| held.version);
        assert!(fleet.nodes.iter().all(|running| held(running) == Some(1)), "{key}");
        assert!(fleet.nodes.iter().all(|running| running.node.trusts_keys()), "{key}");
    }
    assert_eq!(fleet.ask_with(READ, "r1", "key-99").await.status, 401);
    assert_eq!(fleet.ask_with(READ, "r2", KEY).await.status, 200);
}

#[tokio::test]
async fn a_plan_that_cannot_be_read_stops_neither_requests_nor_the_deciding_node() {
    let mut fleet = Fleet::serving(2).await;
    let plans = fleet.store.list("cottoncrank/plan/");
    assert_eq!(plans.len(), 1);
    fleet.store.spoil(&plans[0], |bytes| bytes.truncate(bytes.len() / 2));
    settle(&fleet, 0).await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200, "groups that were known go on");
    // The next decider decides for all that it can read.
    let decider = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    drop(fleet.nodes.remove(decider));
    let new: Vec<Runner> = (0..2)
        .map(|n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap())
        .collect();
    fleet.wait("a group of the other domain is open", |_| new.iter().any(Runner::is_open)).await;
    assert_eq!(fleet.store.list("cottoncrank/plan/").len(), 2);
    let joins: usize = fleet.engines.iter().map(Runner::joins).sum();
    settle(&fleet, 1).await;
    assert_eq!(
        joins,
        fleet.engines.iter().map(Runner::joins).sum::<usize>(),
        "nothing is told in that domain"
    );
    // An operator removes it: the domain is decided again.
    fleet.store.remove(&plans[0]);
    fleet
        .wait("its groups are formed anew", |fleet| {
            fleet.engines.iter().map(Runner::joins).sum::<usize>() >= joins + 4
        })
        .await;
    fleet.wait("and serve", |fleet| fleet.all_know(3)).await;
}

#[tokio::test]
async fn a_plan_with_a_group_that_has_no_members_does_not_end_the_deciding_node() {
    let mut fleet = Fleet::serving(2).await;
    let group = json!({
        "name": "g9", "epoch": 9, "service": ENGINES, "model": "m1", "members": [], "state": "Active",
    });
    let plan = json!({"top": 9, "groups": [group]});
    fleet.store.put_bytes("cottoncrank/plan/d7", &rmp_serde::to_vec_named(&plan).unwrap());
    settle(&fleet, 0).await;
    let decider = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    drop(fleet.nodes.remove(decider));
    let new: Vec<Runner> = (0..2)
        .map(|n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap())
        .collect();
    fleet.wait("a group of another domain is open", |_| new.iter().any(Runner::is_open)).await;
    assert!(fleet.nodes[0].node.is_deciding());
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200);
}

#[tokio::test]
async fn a_lease_that_cannot_be_read_lets_nobody_decide_beside_its_holder() {
    let fleet = Fleet::serving(2).await;
    // It goes with the lease of the deciding node: that still decides.
    fleet.store.spoil("cottoncrank/decider", |bytes| *bytes = vec![0xff, 0x00]);
    settle(&fleet, 0).await;
    fleet
        .wait("one node decides", |fleet| fleet.nodes.iter().filter(|r| r.node.is_deciding()).count() == 1)
        .await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200);
}

#[tokio::test]
async fn a_lease_key_that_goes_with_no_lease_is_no_ones() {
    let fleet = Fleet::unconfigured(2).await;
    fleet.store.put_bytes("cottoncrank/decider", b"node-77");
    fleet.store.configure(&config(1, &[KEY]));
    fleet
        .wait("one node decides", |fleet| fleet.nodes.iter().filter(|r| r.node.is_deciding()).count() == 1)
        .await;
    fleet.wait("groups are open", |fleet| fleet.all_know(2)).await;
}

#[tokio::test]
async fn an_entry_of_a_node_that_cannot_be_read_takes_nothing_with_it() {
    let fleet = Fleet::serving(2).await;
    fleet
        .wait("both are known", |fleet| fleet.nodes.iter().all(|r| r.node.directory.lock().count() == 2))
        .await;
    fleet.store.put_bytes("cottoncrank/node/node-1", b"\xc1 no entry");
    fleet.store.put_bytes("cottoncrank/node/no node/at all", b"");
    fleet.store.set_fault(store::Fault::None);
    settle(&fleet, 0).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 200);
}
