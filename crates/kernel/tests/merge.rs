//! Properties that hold for every order, loss and duplication of messages.

use std::collections::BTreeMap;

use cottoncrank::Millis;
use cottoncrank::config::{Document, Entry, Key as Name, Kind};
use cottoncrank::id::{self, Generation, Incarnation, Proposal, Revision};
use cottoncrank::member::{WATCHERS, pick_watchers};
use cottoncrank::row::{Body, Key, Load, Observation, Row};
use cottoncrank::table::{Scope, Table, encoded_size};
use cottoncrank::{engine, row};
use proptest::prelude::*;

fn node(n: u8) -> id::Node {
    format!("n{n}").parse().unwrap()
}

/// Generates rows of a small fleet, with few keys and versions so that they collide.
fn any_row() -> impl Strategy<Value = Row> {
    let seen = (0..4u8, 0..3u8, 1..5u64, any::<bool>(), 0..3u64).prop_map(
        |(runner, by, version, answers, fence)| {
            let key = Key::Seen { runner: format!("r{runner}").parse().unwrap(), by: node(by) };
            let seen = Observation {
                answers,
                incarnation: Incarnation(1),
                fence: Generation(fence),
                role: None,
                stage: engine::Stage::Idle,
                warm: None,
            };
            Row { key, version, body: Body::Seen(seen) }
        },
    );
    let doubt = (0..4u8, 0..4u8, 1..5u64, any::<bool>()).prop_map(|(of, by, version, held)| Row {
        key: Key::Doubt { of: node(of), by: node(by) },
        version,
        body: Body::Doubt { version: 1, held },
    });
    let load = (0..3u8, 1..5u64, 0..3u32).prop_map(|(group, version, running)| Row {
        key: Key::Load(format!("g{group}").parse().unwrap()),
        version,
        body: Body::Load(Load { generation: Generation(1), running, backlog: 0 }),
    });
    let listed = (0..4u8, 1..5u64, any::<bool>()).prop_map(|(runner, version, leaving)| Row {
        key: Key::Listed(format!("r{runner}").parse().unwrap()),
        version,
        body: Body::Listed(row::Listing { live: true, leaving }),
    });
    prop_oneof![seen, doubt, load, listed]
}

fn fill(rows: &[Row]) -> Table {
    let mut table = Table::default();
    for row in rows {
        table.merge(row.clone(), Millis(0));
    }
    table
}

fn content(table: &Table) -> BTreeMap<Key, Row> {
    table.iter().map(|held| (held.row.key.clone(), held.row.clone())).collect()
}

proptest! {
    #[test]
    fn merging_does_not_depend_on_order_or_repetition(
        rows in prop::collection::vec(any_row(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut shuffled = rows.clone();
        shuffled.extend(rows.iter().take(10).cloned());
        let len = shuffled.len().max(1);
        for at in 0..shuffled.len() {
            let other = (seed.wrapping_mul(at as u64 + 7) >> 7) as usize % len;
            shuffled.swap(at, other);
        }
        let (one, two) = (fill(&rows), fill(&shuffled));
        prop_assert_eq!(content(&one), content(&two));
        prop_assert_eq!(one.sums(Scope::Hall), two.sums(Scope::Hall));
    }

    #[test]
    fn a_version_never_goes_down(rows in prop::collection::vec(any_row(), 0..40)) {
        let mut table = Table::default();
        for row in rows {
            let before = table.get(&row.key).map_or(0, |held| held.row.version);
            table.merge(row.clone(), Millis(0));
            prop_assert!(table.get(&row.key).map_or(0, |held| held.row.version) >= before);
        }
    }

    #[test]
    fn two_tables_converge_by_exchanging_missing_rows(
        one in prop::collection::vec(any_row(), 0..40),
        two in prop::collection::vec(any_row(), 0..40),
    ) {
        let (mut one, mut two) = (fill(&one), fill(&two));
        let to_two =
            one.list_missing(two.sums(Scope::Hall), &two.list_marks(one.sums(Scope::Hall)), usize::MAX, 7);
        let to_one =
            two.list_missing(one.sums(Scope::Hall), &one.list_marks(two.sums(Scope::Hall)), usize::MAX, 9);
        prop_assert!(to_two.iter().all(|row| two.get(&row.key).map(|held| &held.row) != Some(row)));
        to_two.into_iter().for_each(|row| { two.merge(row, Millis(0)); });
        to_one.into_iter().for_each(|row| { one.merge(row, Millis(0)); });
        let kept = |table: &Table| -> BTreeMap<Key, Row> {
            content(table).into_iter().filter(|(key, _)| !matches!(key, Key::Load(_))).collect()
        };
        prop_assert_eq!(kept(&one), kept(&two));
    }

    #[test]
    fn a_message_stays_within_its_budget(
        rows in prop::collection::vec(any_row(), 0..60),
        budget in 0usize..600,
    ) {
        let mut table = fill(&rows);
        let news = table.collect_pending(Scope::Hall, budget);
        prop_assert!(news.iter().map(encoded_size).sum::<usize>() <= budget);
        let differing = table.list_missing(&[1; 32], &[], budget, 3);
        prop_assert!(differing.iter().map(encoded_size).sum::<usize>() <= budget);
    }

    #[test]
    fn other_halls_receive_no_rows_about_single_runners(rows in prop::collection::vec(any_row(), 0..60)) {
        let mut table = fill(&rows);
        let wide = table.collect_pending(Scope::Fleet, usize::MAX);
        let all_wide = wide.iter().all(|row| row.key.is_fleet_wide());
        prop_assert!(all_wide);
        let single = wide.iter().any(|row| matches!(row.key, Key::Seen { .. } | Key::Listed(_)));
        prop_assert!(!single);
    }

    #[test]
    fn a_configuration_never_goes_back(
        changes in prop::collection::vec((0..4u8, any::<bool>()), 1..30),
        deliveries in prop::collection::vec((0..30usize, 0..30usize), 0..60),
    ) {
        let mut history = vec![Document::default()];
        for (n, (name, add)) in changes.iter().enumerate() {
            let last = history.last().unwrap();
            let key = Name::new(Kind::Domain, format!("d{name}"));
            let entry = add.then(|| Entry::Domain { hall: format!("h{n}").parse().unwrap() });
            history.extend(last.change(key, entry, Proposal(n as u64)).ok());
        }
        let mut holder = Document::default();
        for (to, base) in deliveries {
            let sender = &history[to % history.len()];
            let before = holder.revision;
            holder.apply(sender.delta(Revision(base as u64)));
            prop_assert!(holder.revision >= before);
            // It always holds exactly one of the accepted documents.
            prop_assert!(history.contains(&holder));
        }
    }

    #[test]
    fn losing_a_node_keeps_the_other_watchers_of_each_runner(
        nodes in 1usize..80,
        lost in 0usize..80,
        runners in 1usize..150,
    ) {
        let all: Vec<id::Node> = (0..nodes).map(|n| format!("node-{n}").parse().unwrap()).collect();
        let live: Vec<&id::Node> = all.iter().collect();
        let gone = &all[lost % nodes];
        let rest: Vec<&id::Node> = all.iter().filter(|node| *node != gone).collect();
        for runner in (0..runners).map(|n| format!("runner-{n}").parse::<id::Runner>().unwrap()) {
            let before = pick_watchers(&runner, &live);
            prop_assert_eq!(before.len(), WATCHERS.min(nodes));
            let after = pick_watchers(&runner, &rest);
            let kept = before.iter().filter(|node| **node != gone).all(|node| after.contains(node));
            prop_assert!(kept, "a watcher that is still there lost {}", runner);
        }
    }
}
