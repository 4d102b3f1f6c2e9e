//! Change polls after the store has compacted its history.
//!
//! The failure: nearly a thousand nodes fell seconds behind. A configuration acknowledged at 1.7 s was not
//! in force 6.5 s later in two halls of five, whose callers were rejected until the end of the day. A node
//! that had read the whole store again no longer knew what had changed since a position, so it answered
//! each change poll with its whole content, a megabyte each. Small boxes took seconds to send and to
//! process that, polls timed out and were retried at other nodes, and nodes without an answer read the
//! whole store. A change list of fixed length overflowed in the same way when all runners started.
//!
//! The feed therefore keeps the last change of each key, with tombstones for removed keys: a node that is
//! behind gets each changed key once, even if the store or the polled node had to read everything again.

use std::collections::BTreeMap;

use bytes::Bytes;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_node::feed::{Changes, Feed};
use cottoncrank_platform::item::RawItem;
use cottoncrank_platform::store::Batch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Twice the number of runners, nodes and plans of the largest fleet.
const ITEMS: usize = 8400;

fn at(revision: usize) -> Position {
    Position::new(Era(1), revision as u64)
}

fn item(number: usize, revision: usize) -> RawItem {
    let value = Some(Bytes::from(format!("{number} at {revision}")));
    RawItem { key: format!("servers/i-{number}"), value, position: at(revision), leased: false }
}

fn gone(number: usize, revision: usize) -> RawItem {
    RawItem { value: None, ..item(number, revision) }
}

fn batch(items: Vec<RawItem>, revision: usize) -> Batch {
    Batch { items, position: at(revision) }
}

/// Fills the feed with a whole read of [`ITEMS`] items at this revision.
fn read_whole(feed: &Feed, revision: usize) {
    feed.replace(&batch((0..ITEMS).map(|number| item(number, number + 1)).collect(), revision));
}

/// Returns the numbers of the items of a change batch.
fn list_numbers(changes: &Changes) -> Vec<String> {
    changes.items.iter().map(|raw| raw.key.trim_start_matches("servers/i-").to_owned()).collect()
}

#[test]
fn a_node_behind_a_compacted_history_gets_only_what_changed() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    // In the compacted part of the history one item changed, two were removed and one was added.
    let mut items: Vec<RawItem> = (0..ITEMS - 2).map(|number| item(number, number + 1)).collect();
    items[7] = item(7, ITEMS + 1);
    items.push(item(ITEMS, ITEMS + 2));
    feed.replace(&batch(items, ITEMS + 9));
    let changes = feed.read(Some(at(ITEMS))).unwrap();
    assert!(!changes.whole, "a node that is one second behind gets all {} items", changes.items.len());
    let mut numbers = list_numbers(&changes);
    numbers.sort();
    let wanted = [7, ITEMS - 2, ITEMS - 1, ITEMS].map(|number| number.to_string());
    assert_eq!(numbers, wanted, "items that were changed, removed and added");
    let removed = changes.items.iter().filter(|raw| raw.value.is_none()).count();
    assert_eq!((removed, changes.position), (2, at(ITEMS + 9)));
}

#[test]
fn a_key_that_changed_many_times_is_sent_once() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    for revision in ITEMS..3 * ITEMS {
        feed.extend(&batch(vec![item(revision % 100, revision + 1)], revision + 1));
    }
    let changes = feed.read(Some(at(ITEMS))).unwrap();
    assert!(!changes.whole, "a node that missed {} changes gets everything", 2 * ITEMS);
    assert_eq!(changes.items.len(), 100, "changed keys");
    assert!(changes.items.is_sorted_by_key(|raw| raw.position), "in the order of their last changes");
}

#[test]
fn tombstones_are_kept_as_long_as_there_are_no_more_of_them_than_items() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let mut revision = ITEMS;
    // Each restart of a runner leaves one key that is never used again.
    for number in 0..3 * ITEMS {
        revision += 1;
        feed.extend(&batch(vec![gone(number, revision), item(number + ITEMS, revision)], revision));
        if number + 1 == ITEMS {
            let changes = feed.read(Some(at(ITEMS))).unwrap();
            assert!(!changes.whole && changes.items.len() == 2 * ITEMS, "one new incarnation each");
        }
    }
    assert!(feed.read(Some(at(ITEMS))).unwrap().whole, "a node that is further behind gets everything");
    let all = feed.read(None).unwrap().items;
    assert!(all.len() == ITEMS && all.iter().all(|raw| raw.value.is_some()), "{} items", all.len());
}

#[test]
fn a_position_of_another_era_gets_everything() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let position = Position::new(Era(2), 5);
    feed.replace(&Batch { items: vec![RawItem { position, ..item(1, 1) }], position });
    let changes = feed.read(Some(at(ITEMS))).unwrap();
    assert!(changes.whole && changes.items.len() == 1, "{} items", changes.items.len());
}

#[test]
fn a_batch_for_many_polls_is_packed_once() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let poll = |after| feed.read_packed(after).unwrap().unwrap();
    let (one, other) = (poll(None), poll(None));
    assert!(one.whole && one.items.as_ptr() == other.items.as_ptr(), "packed again for each poll");
    feed.extend(&batch(vec![item(3, ITEMS + 1)], ITEMS + 1));
    let changes = poll(Some(at(ITEMS)));
    assert!(!changes.whole && changes.position == at(ITEMS + 1) && changes.items.len() < one.items.len());
    assert_ne!(poll(None).position, one.position, "a batch packed before a change is still sent");
}

/// The items and the position of a node that polls.
#[derive(Default)]
struct Follower {
    items: BTreeMap<String, Bytes>,
    position: Option<Position>,
}

impl Follower {
    fn apply(&mut self, changes: Changes) {
        if changes.whole {
            self.items.clear();
        }
        for raw in changes.items {
            match raw.value {
                Some(value) => self.items.insert(raw.key, value),
                None => self.items.remove(&raw.key),
            };
        }
        self.position = Some(changes.position);
    }
}

/// In a store keys are added, changed and removed. Two nodes follow it by watches and whole reads, and a
/// third node polls one of the two at random.
#[test]
fn a_polling_node_holds_what_the_polled_nodes_read_by_watches_or_whole_reads() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut history: Vec<RawItem> = Vec::new();
        let mut store: BTreeMap<String, RawItem> = BTreeMap::new();
        let (feeds, mut read) = ([Feed::default(), Feed::default()], [0, 0]);
        let mut follower = Follower::default();
        for _ in 0..300 {
            match rng.random_range(0..4) {
                0 | 1 => {
                    let (number, revision) = (rng.random_range(0..30), history.len() + 1);
                    let raw =
                        if rng.random_bool(0.3) { gone(number, revision) } else { item(number, revision) };
                    store.insert(raw.key.clone(), raw.clone());
                    history.push(raw);
                }
                2 => {
                    let node = rng.random_range(0..2);
                    let compacted = read[node] == 0 || rng.random_bool(0.3);
                    let present = store.values().filter(|raw| raw.value.is_some()).cloned().collect();
                    match compacted {
                        true => feeds[node].replace(&batch(present, history.len())),
                        false => feeds[node].extend(&batch(history[read[node]..].to_vec(), history.len())),
                    }
                    read[node] = history.len();
                }
                _ => {
                    let node = rng.random_range(0..2);
                    let Some(changes) = feeds[node].read(follower.position) else { continue };
                    if Some(changes.position) < follower.position {
                        continue;
                    }
                    follower.apply(changes);
                    let prefix = &history[..read[node]];
                    let mut expected: BTreeMap<String, Bytes> = BTreeMap::new();
                    for raw in prefix {
                        match &raw.value {
                            Some(value) => expected.insert(raw.key.clone(), value.clone()),
                            None => expected.remove(&raw.key),
                        };
                    }
                    assert_eq!(follower.items, expected, "seed {seed}");
                }
            }
        }
    }
}
