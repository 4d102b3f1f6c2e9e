//! The rate of log lines about invalid items: a few keys of each kind a minute, and a summary that leaves nothing out.

use cottoncrank::Millis;
use cottoncrank_node::invalid_items::{InvalidItems, ItemKind, KEYS_PER_KIND, WINDOW};

/// An hour.
const HOUR: Millis = Millis(3_600_000);

/// Reports items for `span` and returns the lines written: of items, and the summaries.
fn report(span: Millis, interval: Millis, keys: impl Fn(u64) -> Vec<String>) -> (usize, Vec<String>) {
    let mut items = InvalidItems::default();
    let (mut lines, mut summaries) = (0, Vec::new());
    for round in 0..span.0 / interval.0 {
        let now = Millis(round * interval.0);
        summaries.extend(items.end_window(now).map(|summary| summary.to_string()));
        lines +=
            keys(round).iter().filter(|key| items.should_log(key, ItemKind::Foreign, "key", now)).count();
    }
    (lines, summaries)
}

#[test]
fn twelve_thousand_items_that_are_read_again_and_again_make_few_lines() {
    // As often as a node reads a list that it cannot read to its end.
    let keys: Vec<String> = (0..12_000).map(|number| format!("op/{number}")).collect();
    let (lines, summaries) = report(Millis(4 * WINDOW.0), Millis(300), |_| keys.clone());
    assert_eq!(lines, 4 * KEYS_PER_KIND);
    assert_eq!(summaries.len(), 3);
    assert_eq!(
        summaries[0], "2399990 more reports of invalid items were left out in 60000ms: foreign 2399990 (key)",
        "200 reads of 12,000 items, less ten lines"
    );
}

#[test]
fn an_item_that_is_written_anew_all_the_time_makes_a_line_a_minute() {
    let (lines, summaries) = report(HOUR, Millis(50), |_| vec!["servers/a".to_owned()]);
    assert_eq!((lines, summaries.len()), (60, 59));
}

#[test]
fn new_keys_all_the_time_make_few_lines() {
    let (lines, _) = report(HOUR, Millis(50), |round| vec![format!("servers/{round}")]);
    assert_eq!(lines, 60 * KEYS_PER_KIND);
}

#[test]
fn the_items_of_one_kind_take_no_line_from_another_kind() {
    let mut items = InvalidItems::default();
    for number in 0..12_000 {
        items.should_log(&format!("op/{number}"), ItemKind::Foreign, "key", Millis(0));
    }
    assert!(items.should_log("catalog", ItemKind::Catalog, "form", Millis(1)));
    assert!(
        !items.should_log("catalog", ItemKind::Catalog, "form", Millis(2)),
        "the same item once a minute"
    );
    assert!(items.should_log("plan/d1", ItemKind::Plan, "form", Millis(3)));
    assert!(items.end_window(Millis(WINDOW.0 - 1)).is_none());
    let summary = items.end_window(WINDOW).unwrap().to_string();
    assert!(summary.contains("catalog 1 (form), foreign 11990 (key)"), "{summary}");
    assert!(items.should_log("catalog", ItemKind::Catalog, "form", WINDOW));
}
