//! What items that the adapter cannot read cost in lines of the log: values that are not base64 or too large, items
//! without a revision, and own keys that somebody else writes and removes.
//!
//! The failure: each had a line at each read, beside the limit for all other items of another writer.

mod common;

use std::time::Duration;

use common::{Fleet, start_node};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{Distortion, Pages};
use log::{Log, Metadata, Record};
use parking_lot::Mutex;
use serde_json::json;

/// As many items of another writer as were played.
const ITEMS: usize = 12_000;

/// The lines that one kind of fault may make in a minute, as the adapter names it and as the node does.
const MAX_LINES: usize = 20;

/// Keeps the lines about items of the store.
struct Kept(Mutex<Vec<String>>);

static KEPT: Kept = Kept(Mutex::new(Vec::new()));

impl Log for Kept {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let line = record.args().to_string();
        if line.starts_with("store: ") && record.level() <= log::Level::Warn {
            self.0.lock().push(line);
        }
    }

    fn flush(&self) {}
}

/// Takes the lines kept so far.
fn take_lines() -> Vec<String> {
    std::mem::take(&mut KEPT.0.lock())
}

/// Takes the lines kept so far, and returns what is wrong with them, unless there are few and one of them has all of
/// these texts.
fn judge(texts: &[&str]) -> Option<String> {
    let lines = take_lines();
    if lines.len() > MAX_LINES {
        return Some(format!("{} lines, first {:?}", lines.len(), lines.first()));
    }
    let is_named = lines.iter().any(|line| texts.iter().all(|text| line.contains(text)));
    (!is_named).then(|| format!("no line names {texts:?}: {lines:#?}"))
}

/// Waits until all that was written before is applied.
async fn wait_until_read(fleet: &Fleet, id: &str) {
    let _marker = Runner::start(&fleet.store, id, "marks", "hall-a", None).unwrap();
    let known = id.parse().unwrap();
    fleet.wait("the marker is known", |fleet| fleet.nodes[0].node.roster.lock().get(&known).is_some()).await;
}

/// One test, as the log is of the whole process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_that_cannot_be_read_make_few_lines() {
    log::set_logger(&KEPT).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let mut fleet = Fleet::serving(1).await;
    take_lines();

    // Written while the node reads, and read whole after that.
    for number in 0..ITEMS {
        fleet.store.put_raw_entry(&format!("stranger-{number:05}"), &json!("no base64 at all!"));
    }
    wait_until_read(&fleet, "mark-1").await;
    fleet.store.compact();
    wait_until_read(&fleet, "mark-2").await;
    let mut faults = Vec::new();
    faults.extend(judge(&["stranger-", "base64", "17 bytes"]));

    for _ in 0..100 {
        fleet.store.put_entry("large", &vec![b'x'; 70_000]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    wait_until_read(&fleet, "mark-3").await;
    faults.extend(judge(&["servers/large", "too large", "70000 bytes"]));

    for number in 0..ITEMS {
        fleet.store.remove(&format!("servers/stranger-{number:05}"));
    }
    fleet.store.remove("servers/large");
    for number in 0..300 {
        fleet.store.put_bytes(&format!("cottoncrank/odd-{number:03}"), b"{}");
    }
    wait_until_read(&fleet, "mark-4").await;
    take_lines();
    for number in 0..300 {
        fleet.store.remove(&format!("cottoncrank/odd-{number:03}"));
    }
    wait_until_read(&fleet, "mark-5").await;
    faults.extend(judge(&["odd-", "was removed"]));

    // A page and an event that have no revisions, to a node that starts and to one that lives.
    for number in 0..300 {
        fleet.store.put_entry(&format!("plain-{number:03}"), b"{}");
    }
    wait_until_read(&fleet, "mark-6").await;
    take_lines();
    fleet.store.distort("servers/", Pages::All, Distortion::NoRevisions);
    fleet.nodes.clear();
    fleet.nodes.push(start_node(fleet.store.address(), 1, "hall-a").await);
    fleet.wait("the node has read the store", |fleet| fleet.nodes[0].node.catalog.lock().is_some()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    faults.extend(judge(&["`servers/", "revision", " bytes"]));
    assert!(faults.is_empty(), "{faults:#?}");
}
