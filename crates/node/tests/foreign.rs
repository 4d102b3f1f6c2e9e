//! Invalid items in the store: items of another writer, and items of this system that cannot be decoded.
//!
//! What an invalid item names is not used, and all other items stay in use, both on the node that reads the
//! store and on the nodes that poll it for changes.

mod common;

use common::{Fleet, KEY};
use cottoncrank_platform_standin::foreign;
use cottoncrank_platform_standin::operator::{ENGINES, READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store;
use serde_json::json;

fn list_known(fleet: &Fleet, id: &str) -> Vec<bool> {
    let id = id.parse().unwrap();
    fleet.nodes.iter().map(|running| running.node.roster.lock().get(&id).is_some()).collect()
}

/// Waits until all nodes have read what the store holds now.
async fn wait_until_read(fleet: &Fleet, number: usize) {
    let id = format!("mark-{number}");
    let _marker = Runner::start(&fleet.store, &id, "marks", "hall-a", None).unwrap();
    fleet.wait("the marker is known", |fleet| list_known(fleet, &id).iter().all(|known| *known)).await;
}

#[tokio::test]
async fn the_runner_of_an_invalid_entry_is_not_used_and_the_others_are() {
    let fleet = Fleet::serving(3).await;
    let plain = fleet.plain[0].id().to_owned();
    for (number, (kind, bytes)) in
        foreign::list_invalid_entries(&fleet.plain[0].entry()).into_iter().enumerate()
    {
        fleet.store.put_entry(&plain, &bytes);
        wait_until_read(&fleet, number).await;
        assert!(list_known(&fleet, &plain).iter().all(|known| !known), "{kind}: the runner is still used");
        assert!(
            list_known(&fleet, fleet.plain[1].id()).iter().all(|known| *known),
            "{kind}: another runner is lost"
        );
        let request = format!("r{number}");
        assert_eq!(fleet.ask(READ, &request).await.status, 200, "{kind}");
        assert_eq!(fleet.count_runs(&request), 1, "{kind}");
        fleet.plain[0].write_entry();
        fleet
            .wait("the runner is known again", |fleet| list_known(fleet, &plain).iter().all(|known| *known))
            .await;
    }
}

#[tokio::test]
async fn invalid_values_in_a_response_do_not_affect_other_items() {
    let fleet = Fleet::serving(3).await;
    let plain = fleet.plain[0].id().to_owned();
    for (number, shown) in foreign::list_invalid_values().into_iter().enumerate() {
        fleet.store.put_raw_entry(&plain, &shown);
        fleet.store.put_raw_entry("no id at all!", &shown);
        wait_until_read(&fleet, number).await;
        assert!(list_known(&fleet, &plain).iter().all(|known| !known), "{shown}");
        // Whole reads contain them as well.
        fleet.store.compact();
        wait_until_read(&fleet, 100 + number).await;
        assert_eq!(fleet.ask(READ, &format!("r{number}")).await.status, 200, "{shown}");
        fleet.plain[0].write_entry();
        fleet
            .wait("the runner is known again", |fleet| list_known(fleet, &plain).iter().all(|known| *known))
            .await;
    }
}

#[tokio::test]
async fn foreign_keys_are_not_read_as_the_configuration() {
    let fleet = Fleet::serving(2).await;
    for (number, key) in foreign::LOOKALIKE_KEYS.into_iter().enumerate() {
        fleet.store.put(key, &config(99, &["key-99"]));
        wait_until_read(&fleet, number).await;
        fleet.store.remove(key);
        wait_until_read(&fleet, 100 + number).await;
        let read_version =
            |running: &common::Running| running.node.catalog.lock().as_ref().map(|catalog| catalog.version);
        assert!(fleet.nodes.iter().all(|running| read_version(running) == Some(1)), "{key}");
        assert!(fleet.nodes.iter().all(|running| running.node.trusts_keys()), "{key}");
    }
    assert_eq!(fleet.ask_with(READ, "r1", "key-99").await.status, 401);
    assert_eq!(fleet.ask_with(READ, "r2", KEY).await.status, 200);
}

#[tokio::test]
async fn an_invalid_plan_stops_neither_requests_nor_the_decider() {
    let mut fleet = Fleet::serving(2).await;
    let plans = fleet.store.list("cottoncrank/plan/");
    assert_eq!(plans.len(), 1);
    fleet.store.corrupt(&plans[0], |bytes| bytes.truncate(bytes.len() / 2));
    wait_until_read(&fleet, 0).await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200, "known groups keep serving");
    // The next decider plans all domains whose plans it can decode.
    let decider = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    drop(fleet.nodes.remove(decider));
    let new: Vec<Runner> = (0..2)
        .map(|n| Runner::start(&fleet.store, &format!("n-{n}"), ENGINES, "hall-a", Some("d2")).unwrap())
        .collect();
    fleet.wait("a group of the other domain is open", |_| new.iter().any(Runner::is_open)).await;
    assert_eq!(fleet.store.list("cottoncrank/plan/").len(), 2);
    let joins: usize = fleet.engines.iter().map(Runner::count_joins).sum();
    wait_until_read(&fleet, 1).await;
    assert_eq!(
        joins,
        fleet.engines.iter().map(Runner::count_joins).sum::<usize>(),
        "a runner of the domain with the invalid plan got an order"
    );
    // Once an operator removes the invalid plan, the domain is planned again.
    fleet.store.remove(&plans[0]);
    fleet
        .wait("its groups are formed again", |fleet| {
            fleet.engines.iter().map(Runner::count_joins).sum::<usize>() >= joins + 4
        })
        .await;
    fleet.wait("all groups serve", |fleet| fleet.all_know(3)).await;
}

#[tokio::test]
async fn a_plan_with_a_group_without_members_does_not_stop_the_decider() {
    let mut fleet = Fleet::serving(2).await;
    let group = json!({
        "name": "g9", "epoch": 9, "service": ENGINES, "model": "m1", "members": [], "state": "Active",
    });
    let plan = json!({"top": 9, "groups": [group]});
    fleet.store.put_bytes("cottoncrank/plan/d7", &rmp_serde::to_vec_named(&plan).unwrap());
    wait_until_read(&fleet, 0).await;
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
async fn an_invalid_decider_lease_key_allows_no_second_decider() {
    let fleet = Fleet::serving(2).await;
    // The key is still bound to the lease of the decider, which therefore keeps deciding.
    fleet.store.corrupt("cottoncrank/decider", |bytes| *bytes = vec![0xff, 0x00]);
    wait_until_read(&fleet, 0).await;
    fleet
        .wait("exactly one node is the decider", |fleet| {
            fleet.nodes.iter().filter(|r| r.node.is_deciding()).count() == 1
        })
        .await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200);
}

#[tokio::test]
async fn a_decider_key_without_a_lease_belongs_to_no_node() {
    let fleet = Fleet::unconfigured(2).await;
    fleet.store.put_bytes("cottoncrank/decider", b"node-77");
    fleet.store.configure(&config(1, &[KEY]));
    fleet
        .wait("exactly one node is the decider", |fleet| {
            fleet.nodes.iter().filter(|r| r.node.is_deciding()).count() == 1
        })
        .await;
    fleet.wait("groups are open", |fleet| fleet.all_know(2)).await;
}

#[tokio::test]
async fn an_invalid_entry_of_a_node_does_not_affect_other_items() {
    let fleet = Fleet::serving(2).await;
    fleet
        .wait("both nodes are known", |fleet| {
            fleet.nodes.iter().all(|r| r.node.directory.lock().count() == 2)
        })
        .await;
    fleet.store.put_bytes("cottoncrank/node/node-1", b"\xc1 no entry");
    fleet.store.put_bytes("cottoncrank/node/no node/at all", b"");
    fleet.store.set_fault(store::Fault::None);
    wait_until_read(&fleet, 0).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 200);
}
