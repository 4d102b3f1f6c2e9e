//! Values of another writer that have the published form and say what no runner of the fleet says.
//!
//! The failure: an entry in a group of the highest epoch ended each plan of the decider, as there is no epoch after
//! it, so no group of any domain was formed any more.

mod common;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_fleet::runner::Epoch;
use cottoncrank_platform_standin::operator::{ENGINES, PLAIN, READ, STREAM, config};
use serde_json::{Value, json};

fn entry(service: &str, changes: &Value) -> Vec<u8> {
    let mut entry = json!({
        "service": service, "address": "127.0.0.1:9", "zone": "hall-a", "slots": 4, "state": "ready",
    });
    for (field, value) in changes.as_object().unwrap() {
        entry[field] = value.clone();
    }
    entry.to_string().into_bytes()
}

#[tokio::test]
async fn an_entry_in_a_group_of_the_highest_epoch_stops_no_plan() {
    let highest = Epoch::MAX.0;
    for (service, epoch) in [
        ("nobodys", u64::MAX),
        (PLAIN, u64::MAX),
        (ENGINES, u64::MAX),
        ("nobodys", highest + 1),
        ("nobodys", highest),
        (ENGINES, highest),
        ("nobodys", highest / 2 + 1),
        ("nobodys", highest / 2),
    ] {
        let fleet = Fleet::unconfigured(1).await;
        let group = json!({"name": "g1", "epoch": epoch, "rank": 0, "state": "open"});
        fleet.store.put_entry("stranger", &entry(service, &json!({"group": group, "domain": "d9"})));
        fleet.store.configure(&config(1, &[KEY]));
        fleet.wait("groups are open", |fleet| fleet.all_know(2)).await;
        assert_eq!(fleet.ask(STREAM, "r1").await.status, 200, "{service} {epoch}");
    }
}

#[tokio::test]
async fn a_plan_of_the_highest_epoch_stops_no_other_plan() {
    let fleet = Fleet::unconfigured(1).await;
    let plan = json!({"top": u64::MAX, "groups": []});
    fleet.store.put_bytes("cottoncrank/plan/d9", &rmp_serde::to_vec_named(&plan).unwrap());
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("groups are open", |fleet| fleet.all_know(2)).await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200);
}

#[tokio::test]
async fn entries_with_more_slots_than_a_box_has_draw_no_requests() {
    let fleet = Fleet::serving(1).await;
    for number in 0..2 {
        let slots = json!({"slots": u32::MAX, "address": format!("127.0.0.1:{}", 9 + number)});
        fleet.store.put_entry(&format!("stranger-{number}"), &entry(PLAIN, &slots));
    }
    tokio::time::sleep(Millis(1500).duration()).await;
    for number in 0..20 {
        assert_eq!(fleet.ask(READ, &format!("r{number}")).await.status, 200, "request {number}");
    }
    let roster = fleet.nodes[0].node.roster.lock();
    assert!(roster.iter().all(|runner| !runner.id.as_str().starts_with("stranger")), "the entries are used");
}
