//! A store that had forgotten its history set nearly a thousand nodes back by seconds: a
//! configuration acked at 1.7 s was not in force 6.5 s later in two halls of five, and their callers
//! were refused until the end of the day.
//!
//! The cause: a node that had read the store anew no longer knew what had changed since some
//! position, so it gave everything it held to each node that asked, a megabyte each. Small boxes
//! took seconds to send and to take that in, questions were given up meanwhile and asked again
//! elsewhere, and whoever got no answer read the whole store itself. Changes were kept in a list of
//! a fixed length as well, so that a start of all runners had the same effect.
//!
//! Now each key is kept with its last change, also when it is gone: a node that is behind gets what
//! has changed, each key once, whatever the store or this node had to read anew.

use std::collections::BTreeMap;

use bytes::Bytes;
use cottoncrank_fleet::position::{Era, Position};
use cottoncrank_node::feed::{Changes, Feed};
use cottoncrank_platform::item::RawItem;
use cottoncrank_platform::store::Batch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Runners, nodes and plans of the largest fleet, twice over.
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

/// A feed of a node that has read all of them at that revision.
fn read_whole(feed: &Feed, revision: usize) {
    feed.replace(&batch((0..ITEMS).map(|number| item(number, number + 1)).collect(), revision));
}

/// The numbers of the items of an answer.
fn list_numbers(news: &Changes) -> Vec<String> {
    news.items.iter().map(|raw| raw.key.trim_start_matches("servers/i-").to_owned()).collect()
}

#[test]
fn whoever_is_behind_a_forgotten_history_gets_what_changed_and_no_more() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    // While the history was forgotten one item changed, two went and one came.
    let mut items: Vec<RawItem> = (0..ITEMS - 2).map(|number| item(number, number + 1)).collect();
    items[7] = item(7, ITEMS + 1);
    items.push(item(ITEMS, ITEMS + 2));
    feed.replace(&batch(items, ITEMS + 9));
    let news = feed.read(Some(at(ITEMS))).unwrap();
    assert!(!news.whole, "a node that is behind by a second gets all {} items", news.items.len());
    let mut numbers = list_numbers(&news);
    numbers.sort();
    let wanted = [7, ITEMS - 2, ITEMS - 1, ITEMS].map(|number| number.to_string());
    assert_eq!(numbers, wanted, "what changed, went and came");
    let left = news.items.iter().filter(|raw| raw.value.is_none()).count();
    assert_eq!((left, news.position), (2, at(ITEMS + 9)));
}

#[test]
fn each_key_is_told_once_however_often_it_has_changed() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    for revision in ITEMS..3 * ITEMS {
        feed.extend(&batch(vec![item(revision % 100, revision + 1)], revision + 1));
    }
    let news = feed.read(Some(at(ITEMS))).unwrap();
    assert!(!news.whole, "a node that missed {} changes gets everything", 2 * ITEMS);
    assert_eq!(news.items.len(), 100, "keys that have changed");
    assert!(news.items.is_sorted_by_key(|raw| raw.position), "in the order of their last changes");
}

#[test]
fn keys_that_are_gone_are_remembered_as_long_as_there_are_fewer_of_them_than_items() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let mut revision = ITEMS;
    // Runners that start again leave one key for good each.
    for number in 0..3 * ITEMS {
        revision += 1;
        feed.extend(&batch(vec![gone(number, revision), item(number + ITEMS, revision)], revision));
        if number + 1 == ITEMS {
            let news = feed.read(Some(at(ITEMS))).unwrap();
            assert!(!news.whole && news.items.len() == 2 * ITEMS, "one new life of every runner");
        }
    }
    assert!(feed.read(Some(at(ITEMS))).unwrap().whole, "what is behind by more gets everything");
    let all = feed.read(None).unwrap().items;
    assert!(all.len() == ITEMS && all.iter().all(|raw| raw.value.is_some()), "{} items", all.len());
}

#[test]
fn positions_of_another_era_say_nothing() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let position = Position::new(Era(2), 5);
    feed.replace(&Batch { items: vec![RawItem { position, ..item(1, 1) }], position });
    let news = feed.read(Some(at(ITEMS))).unwrap();
    assert!(news.whole && news.items.len() == 1, "{} items", news.items.len());
}

#[test]
fn an_answer_that_many_ask_for_is_packed_once() {
    let feed = Feed::default();
    read_whole(&feed, ITEMS);
    let ask = |after| feed.read_packed(after).unwrap().unwrap();
    let (one, other) = (ask(None), ask(None));
    assert!(one.whole && one.items.as_ptr() == other.items.as_ptr(), "packed anew for each");
    feed.extend(&batch(vec![item(3, ITEMS + 1)], ITEMS + 1));
    let news = ask(Some(at(ITEMS)));
    assert!(!news.whole && news.position == at(ITEMS + 1) && news.items.len() < one.items.len());
    assert_ne!(ask(None).position, one.position, "what was packed before a change is not given out");
}

/// What a node that asks holds.
#[derive(Default)]
struct Follower {
    held: BTreeMap<String, Bytes>,
    position: Option<Position>,
}

impl Follower {
    fn take(&mut self, news: Changes) {
        if news.whole {
            self.held.clear();
        }
        for raw in news.items {
            match raw.value {
                Some(value) => self.held.insert(raw.key, value),
                None => self.held.remove(&raw.key),
            };
        }
        self.position = Some(news.position);
    }
}

/// A store in which keys come, change and go; two nodes that learn from it by watches and by
/// whole reads, and a third that asks now the one and now the other.
#[test]
fn whoever_asks_holds_what_the_store_holds_whichever_way_the_others_learned_it() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut history: Vec<RawItem> = Vec::new();
        let mut store: BTreeMap<String, RawItem> = BTreeMap::new();
        let (feeds, mut seen) = ([Feed::default(), Feed::default()], [0, 0]);
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
                    let turn = rng.random_range(0..2);
                    let forgotten = seen[turn] == 0 || rng.random_bool(0.3);
                    let living = store.values().filter(|raw| raw.value.is_some()).cloned().collect();
                    match forgotten {
                        true => feeds[turn].replace(&batch(living, history.len())),
                        false => feeds[turn].extend(&batch(history[seen[turn]..].to_vec(), history.len())),
                    }
                    seen[turn] = history.len();
                }
                _ => {
                    let turn = rng.random_range(0..2);
                    let Some(news) = feeds[turn].read(follower.position) else { continue };
                    if Some(news.position) < follower.position {
                        continue;
                    }
                    follower.take(news);
                    let upto = &history[..seen[turn]];
                    let mut known: BTreeMap<String, Bytes> = BTreeMap::new();
                    for raw in upto {
                        match &raw.value {
                            Some(value) => known.insert(raw.key.clone(), value.clone()),
                            None => known.remove(&raw.key),
                        };
                    }
                    assert_eq!(follower.held, known, "seed {seed}");
                }
            }
        }
    }
}
