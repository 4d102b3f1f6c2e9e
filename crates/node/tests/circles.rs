//! A runner's entry of another writer with the address of a node.
//!
//! The failure: the node took itself for a runner and forwarded the request to itself, which forwarded it again, until
//! the caller's time was over: one request of a caller became a thousand.

mod common;

use common::Fleet;
use cottoncrank::Millis;
use cottoncrank_node::telemetry;
use cottoncrank_platform_standin::operator::{PLAIN, READ, config, remove_accounts};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;

/// The requests that one request of a caller may become at its node, its own included.
const MAX_REQUESTS: f64 = 8.0;

/// Returns the sum of a counter over all labels.
fn sum(metrics: &PrometheusHandle, name: &str) -> f64 {
    let rendered = metrics.render();
    let rows = rendered.lines().filter(|row| row.starts_with(name));
    rows.filter_map(|row| row.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

#[tokio::test]
async fn an_entry_at_the_address_of_a_node_does_not_send_its_requests_in_circles() {
    let metrics = telemetry::install().unwrap();
    let fleet = Fleet::serving(2).await;
    for plain in &fleet.plain {
        fleet.store.remove(&format!("servers/{}", plain.id()));
    }
    // Where there are accounts, a node lets in nothing that comes from another one, for want of a key.
    let mut open = config(2, &[]);
    remove_accounts(&mut open);
    fleet.store.configure(&open);
    fleet.wait("all nodes know the configuration", |fleet| fleet.know_version(2)).await;
    let id = "stranger".parse().unwrap();
    for running in &fleet.nodes {
        let entry = json!({
            "service": PLAIN, "address": running.callers, "zone": "hall-a", "slots": 4, "state": "ready",
        });
        fleet.store.put_entry("stranger", entry.to_string().as_bytes());
        fleet
            .wait("the entry is known and alone", |fleet| {
                fleet.nodes.iter().all(|other| {
                    let roster = other.node.roster.lock();
                    let plain = roster.iter().filter(|runner| runner.service.as_str() == PLAIN).count();
                    plain == 1 && roster.get(&id).is_some_and(|runner| runner.address == running.callers)
                })
            })
            .await;
        let before = sum(&metrics, "cottoncrank_requests_total");
        assert_ne!(fleet.ask(READ, "r1").await.status, 200);
        tokio::time::sleep(Millis(200).duration()).await;
        let requests = sum(&metrics, "cottoncrank_requests_total") - before;
        assert!(requests <= MAX_REQUESTS, "one request of a caller became {requests}");
    }
}
