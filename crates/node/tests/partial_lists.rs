//! Lists of the store that cannot be read to their ends.
//!
//! The failures: what was read was taken for the whole, so that runners beyond it counted as gone and their groups
//! were taken apart; or nothing of it was used, so that no configuration was ever applied.

mod common;

use std::time::Duration;

use common::{Fleet, KEY, Running};
use cottoncrank_platform_standin::operator::{READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::{Distortion, Limits, Pages};
use tokio::time::{Instant, sleep, sleep_until};

/// Lists of several pages each; the first one of runners has items of another writer only.
const SHORT_PAGES: Limits = Limits { items: 2, bytes: usize::MAX };

/// The time within which a configuration has to be in force, by the settings of the nodes.
const APPLY: Duration = Duration::from_secs(4);

/// How long nodes are watched for what they do with a list that is not whole: longer than a member is waited for that
/// seems to be lost.
const WATCHED: Duration = Duration::from_secs(5);

fn knows_all_runners(fleet: &Fleet, running: &Running) -> bool {
    let roster = running.node.roster.lock();
    fleet.engines.iter().chain(&fleet.plain).all(|runner| roster.get(&runner.id().parse().unwrap()).is_some())
}

/// Returns the groups that serve, each with the count of its epoch.
fn list_groups(fleet: &Fleet) -> Vec<(String, u64)> {
    let places = fleet.heads().into_iter().filter_map(Runner::membership);
    places.map(|place| (place.group, place.epoch)).collect()
}

async fn check_served(fleet: &Fleet, name: &str) {
    for (route, path) in [READ, STREAM].into_iter().enumerate() {
        assert_eq!(fleet.ask(path, &format!("{name}-{route}")).await.status, 200, "{path}");
    }
}

/// Checks that nodes that live keep what they know, and apply a configuration, while they have to read lists anew that
/// are distorted so.
async fn check_kept(pages: Pages, distortion: Distortion) {
    let is_whole = distortion == Distortion::NoRevisions;
    let fleet = Fleet::serving(3).await;
    let groups = list_groups(&fleet);
    for number in 0..SHORT_PAGES.items {
        fleet.store.put_entry(&format!("+{number}"), b"of another writer");
    }
    fleet.store.set_page_limits(SHORT_PAGES);
    fleet.store.distort("servers/", pages, distortion);
    fleet.store.compact();
    fleet.store.configure_and_compact(&config(2, &[KEY]));
    let end = Instant::now() + APPLY;
    while !fleet.know_version(2) {
        assert!(Instant::now() < end, "a configuration is not in force after {APPLY:?}");
        sleep(Duration::from_millis(20)).await;
    }
    assert!(fleet.nodes.iter().any(|running| running.node.knows_part()) != is_whole, "the part is no part");
    sleep_until(end + WATCHED - APPLY).await;
    assert!(fleet.nodes.iter().all(|running| knows_all_runners(&fleet, running)), "runners count as gone");
    assert_eq!(list_groups(&fleet), groups, "groups were formed anew");
    check_served(&fleet, "kept").await;
    fleet.store.distort("", Pages::All, Distortion::None);
    let _late = Runner::start(&fleet.store, "late", "marks", "hall-a", None).unwrap();
    let knows_late = |running: &Running| running.node.roster.lock().get(&"late".parse().unwrap()).is_some();
    fleet.wait("lists are read whole again", |fleet| fleet.nodes.iter().all(knows_late)).await;
}

#[tokio::test]
async fn runners_beyond_a_page_without_usable_items_do_not_count_as_gone() {
    check_kept(Pages::First, Distortion::Unusable).await;
}

#[tokio::test]
async fn runners_beyond_a_page_of_items_without_revisions_do_not_count_as_gone() {
    check_kept(Pages::First, Distortion::NoRevisions).await;
}

#[tokio::test]
async fn runners_beyond_an_empty_page_do_not_count_as_gone() {
    check_kept(Pages::Later, Distortion::EmptyTruncated).await;
}

#[tokio::test]
async fn nodes_go_on_where_the_first_page_comes_again_and_again() {
    check_kept(Pages::Later, Distortion::Again).await;
}

#[tokio::test]
async fn nodes_go_on_where_a_page_is_refused() {
    check_kept(Pages::Later, Distortion::Status(400)).await;
}

#[tokio::test]
async fn nodes_go_on_where_the_store_fails_at_a_page() {
    check_kept(Pages::Later, Distortion::Status(500)).await;
}

#[tokio::test]
async fn nodes_go_on_where_the_first_page_is_refused() {
    check_kept(Pages::First, Distortion::Status(400)).await;
}

#[tokio::test]
async fn nodes_go_on_where_a_page_cannot_be_read() {
    check_kept(Pages::Later, Distortion::Body("{\"items\":[".into())).await;
}

/// Guards against a decider that takes groups apart since it started beside a list that it knows in part.
#[tokio::test]
async fn nodes_that_start_serve_with_the_part_of_a_list_that_they_know() {
    let mut fleet = Fleet::serving(2).await;
    let groups = list_groups(&fleet);
    fleet.store.set_page_limits(Limits { items: 6, bytes: usize::MAX });
    fleet.store.distort("servers/", Pages::Later, Distortion::Status(400));
    for running in &mut fleet.nodes {
        running.tasks.shutdown().await;
    }
    fleet.nodes.clear();
    for _ in 0..2 {
        fleet.add_node().await;
    }
    let start = Instant::now();
    fleet.wait("nodes are ready", |fleet| fleet.nodes.iter().all(|running| running.node.is_ready())).await;
    assert!(start.elapsed() < Duration::from_secs(12), "ready after {:?}", start.elapsed());
    sleep(WATCHED).await;
    assert_eq!(list_groups(&fleet), groups, "groups were formed anew");
    assert_eq!(fleet.ask(READ, "part").await.status, 200);
    fleet.store.distort("", Pages::All, Distortion::None);
    fleet
        .wait("lists are read whole", |fleet| {
            fleet.nodes.iter().all(|running| knows_all_runners(fleet, running))
        })
        .await;
}

/// Makes all nodes read a list of runners that is cut.
async fn cut_lists(fleet: &Fleet) {
    fleet.store.set_page_limits(SHORT_PAGES);
    fleet.store.distort("servers/", Pages::Later, Distortion::Status(400));
    fleet.store.compact();
    fleet.store.configure_and_compact(&config(2, &[KEY]));
    fleet
        .wait("nodes know a part", |fleet| fleet.nodes.iter().all(|running| running.node.knows_part()))
        .await;
}

/// Guards against nodes that count as knowing a part for good, as they got the rest as changes from another node.
#[tokio::test]
async fn a_decider_is_elected_once_lists_can_be_read_again() {
    let mut fleet = Fleet::serving(3).await;
    cut_lists(&fleet).await;
    fleet.store.distort("", Pages::All, Distortion::None);
    fleet.wait("nodes know all", |fleet| fleet.nodes.iter().all(|running| !running.node.knows_part())).await;
    let decider = fleet.nodes.iter().position(|running| running.node.is_deciding()).unwrap();
    fleet.nodes[decider].tasks.shutdown().await;
    fleet.nodes.remove(decider);
    fleet.wait("another decider", |fleet| fleet.nodes.iter().any(|running| running.node.is_deciding())).await;
}

/// Guards against evacuations that last for as long as the list of runners is cut.
#[tokio::test]
async fn an_evacuation_is_withdrawn_while_the_list_of_runners_is_cut() {
    let fleet = Fleet::serving(3).await;
    let hall = "hall-b".parse().unwrap();
    let is_evacuated = |running: &Running| running.node.roster.lock().evacuations.contains(&hall);
    fleet.store.evacuate("hall-b", b"{}");
    fleet.wait("the evacuation", |fleet| fleet.nodes.iter().all(is_evacuated)).await;
    cut_lists(&fleet).await;
    fleet.store.withdraw_evacuation("hall-b");
    let end = Instant::now() + APPLY;
    while fleet.nodes.iter().any(is_evacuated) {
        assert!(Instant::now() < end, "still evacuated {APPLY:?} after it was withdrawn");
        sleep(Duration::from_millis(20)).await;
    }
}
