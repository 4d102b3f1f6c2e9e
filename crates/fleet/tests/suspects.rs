//! Which requests are suspected or deadly, from what all nodes have seen.

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evidence::{Crash, Level, Row};
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_fleet::suspects::{Audience, Origin, SUSPECT_TTL, Table};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const NOW: Millis = Millis(1_000_000);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(&Request { account: None, method: "POST", path: name, body: b"" })
}

fn crash(runner: u64, incarnation: u64) -> Crash {
    Crash {
        runner: format!("r-{runner}").parse().unwrap(),
        life: Some(Incarnation(incarnation)),
        nth: 0,
        release: None,
    }
}

/// Returns the row of a request that was in flight when the first incarnations of these runners crashed.
fn row(name: &str, runners: &[u64]) -> Row {
    let account: id::Account = "acme".parse().unwrap();
    let crashes = runners.iter().map(|runner| crash(*runner, 1)).collect();
    Row {
        fingerprint: fingerprint(name),
        account: Some(account),
        route: "write".to_owned(),
        crashes,
        void: BTreeSet::new(),
        cleared: false,
    }
}

fn table(rows: &[Row]) -> Table {
    let mut table = Table::default();
    for row in rows {
        table.merge(row, Origin::Hall, NOW);
    }
    table
}

/// Returns how strongly a request is suspected once the table has settled.
fn level(table: &Table, name: &str) -> Level {
    let mut settled = table.clone();
    settled.settle(NOW + Millis(300));
    settled.level(&fingerprint(name))
}

#[test]
fn a_request_is_deadly_after_three_crashes() {
    let mut table = table(&[row("k", &[1])]);
    assert_eq!(level(&table, "k"), Level::Suspected(1));
    assert_eq!(level(&table, "other"), Level::Clear);
    // The same crash reported by another node does not count again; one of another incarnation does.
    assert!(table.merge(&row("k", &[1]), Origin::Elsewhere, NOW).is_empty());
    let again = Row { crashes: [crash(1, 2)].into(), ..row("k", &[]) };
    let changes = table.merge(&again, Origin::Elsewhere, NOW);
    assert_eq!((changes[0].before, changes[0].after), (Level::Suspected(1), Level::Suspected(2)));
    table.merge(&row("k", &[7]), Origin::Elsewhere, NOW);
    assert_eq!(level(&table, "k"), Level::Deadly(3));
}

#[test]
fn a_second_crash_of_the_same_incarnation_is_another_crash() {
    let table = table(&[row("k", &[1])]);
    let runner = "r-1".parse().unwrap();
    let name = |sent| table.identify_crash(&runner, Some(Incarnation(1)), None, sent);
    assert_eq!(name(NOW), crash(1, 1), "it was in flight when the crash became known");
    assert_eq!(name(NOW + Millis(1)), Crash { nth: 1, ..crash(1, 1) });
    assert_eq!(table.identify_crash(&runner, Some(Incarnation(2)), None, NOW + Millis(1)), crash(1, 2));
}

#[test]
fn a_request_is_rejected_only_after_other_nodes_could_report() {
    let mut table = table(&[row("k", &[1, 2, 3]), row("a", &[1, 2, 5])]);
    assert_eq!(table.level(&fingerprint("k")), Level::Pending(3));
    assert!(table.settle(NOW + Millis(299)).is_empty());
    // What other nodes saw meanwhile explains the crashes of one request. Further crashes do not delay the
    // rejection of the other one.
    table.merge(&row("k", &[4, 5]), Origin::Elsewhere, NOW + Millis(200));
    assert_eq!(table.level(&fingerprint("a")), Level::Suspected(0));
    let changes = table.settle(NOW + Millis(300));
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].before, changes[0].after), (Level::Pending(5), Level::Deadly(5)));
    assert!(table.settle(NOW + Millis(600)).is_empty());
}

#[test]
fn crashes_explained_by_a_deadly_request_count_for_no_other() {
    let mut table = table(&[row("k", &[1, 2]), row("a", &[1, 2]), row("b", &[2]), row("c", &[9])]);
    assert_eq!(level(&table, "a"), Level::Suspected(2));
    assert_eq!(
        level(&table, "b"),
        Level::Suspected(0),
        "two other requests were in flight at one more crash"
    );
    let changes = table.merge(&row("k", &[3]), Origin::Hall, NOW);
    assert_eq!(level(&table, "k"), Level::Deadly(3));
    assert_eq!((level(&table, "a"), level(&table, "b")), (Level::Suspected(0), Level::Suspected(0)));
    assert_eq!(level(&table, "c"), Level::Suspected(1), "another crash is not explained by it");
    assert_eq!(changes.len(), 2, "each changed level is returned");
}

#[test]
fn an_indistinguishable_request_is_told_apart_before_it_is_rejected() {
    let mut table = table(&[row("k", &[1, 2, 3]), row("a", &[1, 2, 3])]);
    assert_eq!((level(&table, "k"), level(&table, "a")), (Level::Suspected(3), Level::Suspected(3)));
    table.merge(&row("k", &[4]), Origin::Hall, NOW);
    assert_eq!((level(&table, "k"), level(&table, "a")), (Level::Deadly(4), Level::Suspected(0)));
    // The same if the other request completes instead.
    let mut table = self::table(&[row("k", &[1, 2, 3]), row("a", &[1, 2, 3])]);
    table.record_completed(&fingerprint("a"), NOW);
    assert_eq!((level(&table, "k"), level(&table, "a")), (Level::Deadly(3), Level::Clear));
    // A request explains only the crashes at which it was in flight. Five crashes make another one deadly
    // even if a request with more crashes was in flight at nearly all of them.
    let table = self::table(&[row("k", &[1, 2, 3, 4, 5, 6]), row("l", &[1, 2, 3, 4])]);
    assert_eq!(level(&table, "l"), Level::Suspected(0));
    let table = self::table(&[row("k", &[1, 2, 3, 4, 5, 6]), row("l", &[1, 2, 3, 4, 7])]);
    assert_eq!(level(&table, "l"), Level::Deadly(5));
    // Two indistinguishable requests are both rejected in the end.
    let table = self::table(&[row("k", &[1, 2, 3, 4, 5]), row("a", &[1, 2, 3, 4, 5])]);
    assert_eq!((level(&table, "k"), level(&table, "a")), (Level::Deadly(5), Level::Deadly(5)));
}

#[test]
fn a_request_that_completed_anywhere_is_cleared_at_any_time() {
    let mut table = table(&[row("a", &[1, 2])]);
    let cleared = Row { cleared: true, ..row("a", &[1]) };
    let changes = table.merge(&cleared, Origin::Elsewhere, NOW);
    assert_eq!((changes[0].before, changes[0].after), (Level::Suspected(2), Level::Clear));
    table.merge(&row("a", &[3, 4]), Origin::Hall, NOW);
    assert_eq!(level(&table, "a"), Level::Clear, "a deadly request cannot have completed");
}

#[test]
fn a_voided_entry_needs_three_new_crashes() {
    let mut table = table(&[row("k", &[1, 2, 3])]);
    table.void_crashes(&fingerprint("k"), NOW);
    assert_eq!(level(&table, "k"), Level::Clear);
    // A node that does not know of it reports the old crashes again.
    table.merge(&row("k", &[1, 2, 3]), Origin::Elsewhere, NOW);
    assert_eq!(level(&table, "k"), Level::Clear);
    table.merge(&row("k", &[4, 5]), Origin::Hall, NOW);
    assert_eq!(level(&table, "k"), Level::Suspected(2));
    table.merge(&row("k", &[6]), Origin::Hall, NOW);
    assert_eq!(level(&table, "k"), Level::Deadly(3));
}

#[test]
fn tables_reach_the_same_levels_in_any_order_and_with_repetition() {
    let names = ["k", "a", "b", "c", "d"];
    for seed in 0..40 {
        let rng = &mut SmallRng::seed_from_u64(seed);
        let mut rows: Vec<Row> = (0..30)
            .map(|_| Row {
                cleared: rng.random_bool(0.05),
                ..row(names[rng.random_range(0..names.len())], &[rng.random_range(0..6)])
            })
            .collect();
        let mut levels = BTreeSet::new();
        for _ in 0..10 {
            rows.shuffle(rng);
            let repeated = rows.iter().filter(|_| rng.random_bool(0.3)).cloned().collect::<Vec<_>>();
            let mut table = Table::default();
            for row in rows.iter().chain(&repeated) {
                table.merge(row, Origin::Hall, NOW);
            }
            levels.insert(format!("{:?}", names.map(|name| level(&table, name))));
        }
        assert_eq!(levels.len(), 1, "seed {seed}: {levels:?}");
    }
}

#[test]
fn nodes_receive_rows_with_two_crashes_and_collectors_all_changes_of_the_hall() {
    let mut table = table(&[row("a", &[1]), row("k", &[1, 2])]);
    let list = |audience, after| {
        let (rows, version) = table.list_updates(after, audience, 10);
        (rows.iter().map(|row| row.fingerprint).collect::<Vec<_>>(), version)
    };
    let (updates, version) = list(Audience::Collector, 0);
    assert_eq!(updates, [fingerprint("a"), fingerprint("k")]);
    assert_eq!(list(Audience::Collector, version).0, []);
    assert_eq!(list(Audience::Node, 0).0, [fingerprint("k")]);
    // Rows from another hall are passed on to nodes, not back to collectors.
    table.merge(&row("far", &[3, 4, 5]), Origin::Elsewhere, NOW);
    assert!(table.list_updates(version, Audience::Collector, 10).0.is_empty());
    assert_eq!(table.list_updates(version, Audience::Node, 10).0.len(), 1);
    // Rows that exceed a message are sent in several, and none is left out.
    for number in 0..20 {
        table.merge(&row(&format!("m{number}"), &[10 + number]), Origin::Hall, NOW);
    }
    let (mut after, mut seen) = (version, BTreeSet::new());
    for _ in 0..4 {
        let (rows, version) = table.list_updates(after, Audience::Collector, 6);
        seen.extend(rows.iter().map(|row| row.fingerprint));
        after = version;
    }
    assert_eq!(seen.len(), 20);
}

#[test]
fn a_million_deadly_requests_of_an_account_evict_none_of_others() {
    let mut table = Table::default();
    let other: id::Account = "globex".parse().unwrap();
    let theirs = Row { account: Some(other), ..row("theirs", &[1, 2, 3]) };
    table.merge(&theirs, Origin::Hall, NOW);
    let count = if cfg!(debug_assertions) { 5_000 } else { 1_000_000 };
    for number in 0..count {
        let runners = [3 * number + 10, 3 * number + 11, 3 * number + 12];
        table.merge(&row(&number.to_string(), &runners), Origin::Hall, NOW);
    }
    assert_eq!(level(&table, "theirs"), Level::Deadly(3));
    assert_eq!(level(&table, &(count - 1).to_string()), Level::Deadly(3), "the latest ones are rejected");
    assert!(table.iter().count() <= 1025);
    // With many accounts the whole table stays bounded too, and each account keeps some rows.
    for account_number in 0..100 {
        for number in 0..100 {
            let name = format!("{account_number}-{number}");
            let account: id::Account = format!("account-{account_number}").parse().unwrap();
            let runner = 10_000_000 + 100 * account_number + number;
            table.merge(&Row { account: Some(account), ..row(&name, &[runner]) }, Origin::Hall, NOW);
        }
    }
    assert!(table.iter().count() <= 4096);
    assert_eq!(level(&table, "theirs"), Level::Deadly(3));
}

#[test]
fn old_rows_expire_here_and_in_the_store() {
    let mut table = table(&[row("k", &[1, 2, 3]), row("a", &[8])]);
    let unstored: Vec<Fingerprint> = table.list_unstored().iter().map(|(row, _)| row.fingerprint).collect();
    assert_eq!(unstored, [fingerprint("k")], "a single crash is exchanged but not stored");
    table.record_stored(&row("k", &[1, 2, 3]));
    assert!(table.list_unstored().is_empty());
    table.merge(&row("k", &[4]), Origin::Hall, NOW);
    assert_eq!(table.list_unstored().len(), 1, "it has one crash more than the store holds");
    assert!(table.list_obsolete().is_empty());
    table.expire(NOW + SUSPECT_TTL - Millis(1));
    assert_eq!(level(&table, "k"), Level::Deadly(4));
    table.expire(NOW + SUSPECT_TTL);
    assert_eq!(level(&table, "k"), Level::Clear);
    assert_eq!(table.list_obsolete(), [fingerprint("k")]);
    assert!(!table.record_removed(&fingerprint("k")));
    assert!(table.list_obsolete().is_empty());
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part(&"engines".parse().unwrap(), &name.parse().unwrap())
}

/// Returns the row of a part that requests of an account were in flight with when these runners crashed.
fn part_row(name: &str, account: &str, runners: &[u64]) -> Row {
    let account: id::Account = account.parse().unwrap();
    Row { fingerprint: part(name), account: Some(account), ..row("", runners) }
}

/// Returns how strongly the parts of a prompt of an account are suspected once the table has settled.
fn level_of_parts(table: &Table, account: &str, parts: &[&str]) -> Level {
    level_of_parts_after(Millis(300), table, account, parts)
}

/// The same so long after the latest crash.
fn level_of_parts_after(time: Millis, table: &Table, account: &str, parts: &[&str]) -> Level {
    let mut settled = table.clone();
    settled.settle(NOW + time);
    let parts: Vec<Fingerprint> = parts.iter().map(|name| part(name)).collect();
    settled.level_of_parts(&parts, Some(&account.parse().unwrap()))
}

#[test]
fn a_part_is_deadly_after_three_crashes_of_different_requests() {
    let mut table = table(&[part_row("bad", "acme", &[1, 2])]);
    for (name, runner) in [("k1", 1), ("k2", 2), ("k3", 3)] {
        table.merge(&row(name, &[runner]), Origin::Hall, NOW);
    }
    assert_eq!(level_of_parts(&table, "acme", &["bad"]), Level::Clear);
    table.merge(&part_row("bad", "acme", &[3]), Origin::Hall, NOW);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad"]), Level::Deadly(3));
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Clear);
    assert!(matches!(level(&table, "k1"), Level::Suspected(0)), "the part explains its crash");
}

#[test]
fn a_part_is_not_deadly_for_the_crashes_of_one_request() {
    let mut table = table(&[row("k", &[1, 2, 3]), part_row("a1", "acme", &[1, 2, 3])]);
    assert_eq!(level(&table, "k"), Level::Deadly(3), "the request is recognized whatever parts it has");
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Clear);
    table.merge(&part_row("a1", "acme", &[4]), Origin::Hall, NOW);
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Deadly(4), "another request crashed a runner");
}

#[test]
fn a_completed_request_clears_its_parts() {
    let mut table = table(&[part_row("a1", "acme", &[1, 2, 3]), part_row("bad", "acme", &[1, 2, 3])]);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad"]), Level::Clear, "either may be the cause");
    table.void_crashes(&part("a1"), NOW);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad"]), Level::Deadly(3));
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Clear);
    // What it was in flight at afterwards counts again.
    table.merge(&part_row("a1", "acme", &[4, 5, 6]), Origin::Hall, NOW);
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Deadly(3));
}

#[test]
fn parts_that_cannot_be_told_apart_count_only_together() {
    let crashes = [1, 2, 3, 4, 5];
    let table = table(&[part_row("a1", "acme", &crashes), part_row("bad", "acme", &crashes)]);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad"]), Level::Deadly(5));
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Clear, "its run tells the parts apart");
    assert_eq!(level_of_parts(&table, "acme", &["bad"]), Level::Clear);
}

/// Each deadly request had the shared part too, and none without a deadly one has run since.
#[test]
fn a_part_that_two_deadly_ones_share_requests_with_is_run_without_them() {
    let shared = part_row("a1", "acme", &[1, 2, 3, 4]);
    for (bad0, bad1) in [(&[1, 2, 3][..], &[4][..]), (&[1, 2], &[3, 4]), (&[1, 4], &[2])] {
        let rows = [shared.clone(), part_row("bad0", "acme", bad0), part_row("bad1", "acme", bad1)];
        let table = table(&rows);
        let after = |time| level_of_parts_after(time, &table, "acme", &["a1"]);
        assert_eq!(after(Millis(300)), Level::Pending(4), "crashes of {bad0:?} and {bad1:?}");
        assert_eq!(after(Millis(1999)), Level::Pending(4), "crashes of {bad0:?} and {bad1:?}");
        assert_eq!(after(Millis(2000)), Level::Clear, "crashes of {bad0:?} and {bad1:?}");
    }
}

#[test]
fn prompts_with_the_parts_that_may_explain_all_crashes_are_refused_for_good() {
    let mut table = table(&[
        part_row("a1", "acme", &[1, 2, 3, 4]),
        part_row("bad0", "acme", &[1, 2, 3]),
        part_row("bad1", "acme", &[4]),
    ]);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad0"]), Level::Deadly(4));
    table.void_crashes(&part("a1"), NOW);
    assert_eq!(level_of_parts(&table, "acme", &["a1", "bad0"]), Level::Deadly(3));
    assert_eq!(level_of_parts(&table, "acme", &["a1"]), Level::Clear);
}

#[test]
fn a_deadly_part_that_runs_without_those_it_crashed_with_is_refused_for_good() {
    let mut table = table(&[part_row("bad", "acme", &[1, 2, 3, 4]), part_row("a1", "acme", &[1, 2, 3])]);
    let level = |table: &Table| level_of_parts_after(Millis(2000), table, "acme", &["bad"]);
    assert_eq!(level(&table), Level::Clear);
    table.merge(&part_row("bad", "acme", &[5]), Origin::Hall, NOW);
    assert_eq!(level(&table), Level::Clear);
    table.merge(&part_row("bad", "acme", &[6]), Origin::Hall, NOW);
    assert_eq!(level(&table), Level::Deadly(6));
    // Beyond eight no crash is recorded, so no run shows more.
    let rows = |name: &str, runners: &[u64]| part_row(name, "acme", runners);
    let full = [rows("bad", &[1, 2, 3, 4, 5, 6, 7, 8]), rows("a1", &[1, 2, 3, 4]), rows("a2", &[5, 6, 7])];
    let mut table = Table::default();
    for row in full {
        table.merge(&row, Origin::Hall, NOW);
    }
    assert_eq!(level(&table), Level::Deadly(8));
}

/// No further crash of such a part is recorded, be those that are void or those that count the most.
#[test]
fn a_part_whose_crashes_are_partly_void_is_refused_once_no_more_are_recorded() {
    let mut table = table(&[part_row("bad", "acme", &[1, 2, 3, 4])]);
    table.void_crashes(&part("bad"), NOW);
    for row in [part_row("bad", "acme", &[5, 6, 7, 8]), part_row("a1", "acme", &[5, 6])] {
        table.merge(&row, Origin::Hall, NOW);
    }
    assert_eq!(level_of_parts_after(Millis(2000), &table, "acme", &["bad"]), Level::Deadly(4));
}

#[test]
fn a_part_counts_against_other_accounts_only_when_several_sent_it() {
    let mut table = table(&[part_row("bad", "acme", &[1, 2, 3, 4])]);
    assert_eq!(level_of_parts(&table, "acme", &["bad"]), Level::Deadly(4));
    assert_eq!(level_of_parts(&table, "globex", &["bad"]), Level::Clear, "an account may name any part");
    table.merge(&part_row("bad", "globex", &[5]), Origin::Elsewhere, NOW);
    for account in ["acme", "globex", "initech"] {
        assert_eq!(level_of_parts(&table, account, &["bad"]), Level::Deadly(5));
    }
    // The order in which rows arrive makes no difference.
    table.merge(&part_row("bad", "acme", &[1]), Origin::Hall, NOW);
    assert_eq!(level_of_parts(&table, "initech", &["bad"]), Level::Deadly(5));
}

#[test]
fn a_million_parts_stay_within_the_limits_and_evict_no_deadly_one() {
    let mut table = table(&[part_row("bad", "globex", &[1, 2, 3])]);
    let count = if cfg!(debug_assertions) { 5_000 } else { 1_000_000 };
    for number in 0..count {
        table.merge(&part_row(&format!("{number:08x}"), "acme", &[10 + number / 32]), Origin::Hall, NOW);
    }
    assert!(table.iter().count() <= 1025);
    assert_eq!(level_of_parts(&table, "globex", &["bad"]), Level::Deadly(3));
}

#[test]
fn fingerprints_of_parts_and_of_requests_differ() {
    assert!(part("a1").is_part() && !fingerprint("a1").is_part());
    let other = Fingerprint::of_part(&"others".parse().unwrap(), &"a1".parse().unwrap());
    assert_ne!(part("a1"), other, "a part of prompts for another service is another one");
    assert_eq!(part("A1"), part("a1"));
}
