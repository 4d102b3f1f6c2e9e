//! What items of other writers cost a node beside its decisions: lines of the log and labels of the metrics.
//!
//! The failure: 12,000 such items gave a line each at every whole read, up to 200 a second, and displaced all other
//! warnings. Each hall that an entry named got metrics of its own, for good.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_node::telemetry;
use cottoncrank_platform_standin::operator::{READ, config};
use cottoncrank_platform_standin::runner::Runner;
use log::{Log, Metadata, Record};
use metrics_exporter_prometheus::PrometheusHandle;
use parking_lot::Mutex;
use serde_json::json;

/// As many items of another writer as were played.
const ITEMS: usize = 12_000;

/// The lines that all unusable items together may make at first, and then in a minute.
const MAX_LINES: usize = 80;

/// The halls whose runners have metrics of their own, at the most.
const MAX_HALLS: usize = 64;

/// Keeps the lines about items that are not used.
struct Kept(Mutex<Vec<String>>);

static KEPT: Kept = Kept(Mutex::new(Vec::new()));

impl Log for Kept {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let line = record.args().to_string();
        if line.contains("is not used") || line.contains("invalid items") {
            self.0.lock().push(line);
        }
    }

    fn flush(&self) {}
}

/// Returns the sum of a counter over the labels that contain `label`.
fn sum(metrics: &PrometheusHandle, name: &str, label: &str) -> f64 {
    let rendered = metrics.render();
    let rows = rendered.lines().filter(|row| row.starts_with(name) && row.contains(label));
    rows.filter_map(|row| row.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

/// Waits until all that was written before is applied.
async fn wait_until_read(fleet: &Fleet, id: &str) {
    let _marker = Runner::start(&fleet.store, id, "marks", "hall-a", None).unwrap();
    let known = id.parse().unwrap();
    fleet.wait("the marker is known", |fleet| fleet.nodes[0].node.roster.lock().get(&known).is_some()).await;
}

/// One test, as the log and the metrics are of the whole process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_of_another_writer_make_few_lines_and_few_labels() {
    log::set_logger(&KEPT).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let metrics = telemetry::install().unwrap();
    let fleet = Fleet::serving(1).await;
    let sampled = tokio::spawn(telemetry::sample_gauges(fleet.nodes[0].node.clone()));

    let kept = KEPT.0.lock().len();
    for number in 0..ITEMS {
        fleet.store.put_bytes(&format!("op/stranger-{number:05}"), b"[1]");
    }
    wait_until_read(&fleet, "mark-1").await;
    fleet.store.configure_and_compact(&config(2, &[KEY]));
    fleet.wait("all is read again", |fleet| fleet.know_version(2)).await;
    wait_until_read(&fleet, "mark-again").await;
    let reports = sum(&metrics, "cottoncrank_items_unreadable_total", "foreign");
    assert!(reports >= 2.0 * ITEMS as f64, "the counters are exact: {reports}");
    let lines = KEPT.0.lock().len() - kept;
    assert!(lines <= MAX_LINES, "{lines} lines of {ITEMS} items of another writer, read twice");

    let kept = KEPT.0.lock().len();
    for number in 0..100 {
        fleet.store.put_entry("stranger", format!("[{number}]").as_bytes());
        tokio::time::sleep(Millis(50).duration()).await;
    }
    wait_until_read(&fleet, "mark-2").await;
    let lines: Vec<String> = KEPT.0.lock().drain(kept..).collect();
    assert!(
        lines.iter().any(|line| line.contains("`stranger` (runner)")),
        "another kind has lines of its own"
    );
    assert!(lines.len() <= 2, "{} lines of one entry written anew for 5 s", lines.len());

    for number in 0..300 {
        let entry = json!({
            "service": "nobodys", "address": "127.0.0.1:9", "zone": format!("hall-{number:03}"), "slots": 1,
            "state": "ready",
        });
        fleet.store.put_entry(&format!("stranger-{number:03}"), entry.to_string().as_bytes());
    }
    wait_until_read(&fleet, "mark-3").await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let rendered = metrics.render();
    let halls: BTreeSet<&str> =
        rendered.lines().filter_map(|row| row.split_once("hall=\"")?.1.split('"').next()).collect();
    assert!(halls.contains("hall-a"), "{halls:?}");
    assert!(halls.len() <= MAX_HALLS + 1, "{} halls have metrics", halls.len());
    sampled.abort();
    assert_eq!(fleet.ask(READ, "r1").await.status, 200);
}
