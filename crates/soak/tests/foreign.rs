//! Service beside entries of another writer whose names cannot stand in a query as they are, in lists of several
//! pages.
//!
//! The failure: a list was asked for again and again, so nodes that returned served nobody, and nodes that had to
//! read everything again applied nothing any more.

use std::path::PathBuf;
use std::time::Duration;

use cottoncrank_platform_standin::store::Broken;
use cottoncrank_soak::fleet::find_program;
use cottoncrank_soak::outage::{Foreign, Outage, Report, play};
use cottoncrank_soak::recovery::RECOVERY;

/// The time within which a configuration must be in force.
const APPLY: Duration = Duration::from_millis(2000);

/// Plays an outage beside such entries.
async fn play_beside(name: &str, outage: Outage) -> (Report, PathBuf) {
    let folder = std::env::temp_dir().join(format!("cottoncrank-foreign-{name}-{}", std::process::id()));
    let beside = Outage { seed: 71, apply: APPLY, ..outage };
    let report = play(&beside, find_program().unwrap(), &folder).await.unwrap();
    println!("{name}: {report}");
    assert!(report.before.sent > 0 && report.after.sent > 0, "{report}");
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    (report, folder)
}

/// Checks that a fleet that lost all nodes serves in time.
async fn check_return(name: &str, broken: Broken) {
    let lost = Outage { foreign: Foreign::Everywhere, broken, ..Outage::default() };
    let (report, folder) = play_beside(name, lost).await;
    assert!(report.recovers(), "{report}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_that_returns_serves_beside_strange_names_where_broken_queries_are_refused() {
    check_return("refused", Broken::Refused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_that_returns_serves_beside_strange_names_where_broken_queries_are_kept() {
    check_return("kept", Broken::Kept).await;
}

/// No node is lost: the store forgets its history, so that everything is read again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_applies_a_configuration_beside_strange_names_when_the_history_of_the_store_is_gone() {
    let live = Outage { foreign: Foreign::Everywhere, live: true, ..Outage::default() };
    let (report, folder) = play_beside("live", live).await;
    assert!(!report.applied.is_empty(), "{report}");
    assert!(report.applied.iter().all(|found| found.is_some_and(|after| after <= APPLY)), "{report}");
    assert!(report.recovers(), "{report}");
    assert!(report.find_for_good().is_some_and(|at| at <= RECOVERY), "{report}");
    std::fs::remove_dir_all(&folder).unwrap();
}
