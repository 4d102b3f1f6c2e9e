//! Items of another writer in the copies that nodes send each other.
//!
//! The failure: what no node uses was kept and sent with its value, so forty values of the size that the store allows
//! made a copy larger than an answer may be, and a node that started got none from any other node.

use bytes::Bytes;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_net::client::ANSWER_MAX;
use cottoncrank_node::feed::{Feed, unpack};
use cottoncrank_platform::item::RawItem;
use cottoncrank_platform::store::Batch;
use cottoncrank_platform_standin::foreign::{LOOKALIKE_KEYS, PREFIXES, STRANGE_NAMES, USED_KEYS};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

/// The largest value that the store takes.
const LARGEST: usize = 262_000;

fn item(key: &str, revision: u64, size: usize, rng: &mut SmallRng) -> RawItem {
    let mut value = vec![0; size];
    rng.fill_bytes(&mut value);
    let position = Position::new(Era(1), revision);
    RawItem { key: key.to_owned(), value: Some(value.into()), position, leased: false }
}

/// Returns what a node that polls a feed with these items gets.
fn copy(items: Vec<RawItem>) -> (usize, Vec<RawItem>) {
    let feed = Feed::default();
    feed.replace(&Batch { items, position: Position::new(Era(1), 1000) });
    let packed = feed.read_packed(None).unwrap().unwrap();
    let mut items = unpack(&packed.items).unwrap();
    items.sort_by(|one, other| one.key.cmp(&other.key));
    (packed.items.len(), items)
}

#[test]
fn large_values_that_no_node_uses_make_no_copy_too_large_to_read() {
    let mut rng = SmallRng::seed_from_u64(71);
    let mut items: Vec<RawItem> =
        (0..40).map(|number| item(&format!("op/note-{number}"), number, LARGEST, &mut rng)).collect();
    items.extend(LOOKALIKE_KEYS.map(|key| item(key, 50, LARGEST, &mut rng)));
    let used: Vec<RawItem> = USED_KEYS.map(|key| item(key, 60, 300, &mut rng)).into();
    items.extend(used.clone());
    let (size, received) = copy(items.clone());
    assert!(size < ANSWER_MAX / 8, "{size} bytes");
    assert_eq!(received.len(), items.len(), "their keys are told");
    for raw in used {
        assert!(received.contains(&raw), "{} has another value", raw.key);
    }
}

#[test]
fn a_copy_with_strange_keys_is_received_as_it_was_sent() {
    let mut rng = SmallRng::seed_from_u64(72);
    let names = PREFIXES.into_iter().flat_map(|prefix| STRANGE_NAMES.map(|name| format!("{prefix}{name}")));
    let keys: Vec<String> = names.chain(["\u{0}".repeat(200), "\u{10ffff}".repeat(50)]).collect();
    let items: Vec<RawItem> = keys.iter().map(|key| item(key, 1, 0, &mut rng)).collect();
    let (_, received) = copy(items.clone());
    let mut sent = items;
    sent.sort_by(|one, other| one.key.cmp(&other.key));
    assert_eq!(received, sent);
    assert!(received.iter().all(|raw| raw.value == Some(Bytes::new())));
}
