//! Service after the loss of all nodes at once, with runners that take as long to load models as real ones.

use std::time::Duration;

use cottoncrank_soak::fleet::find_program;
use cottoncrank_soak::outage::{Outage, Replacement, play};
use cottoncrank_soak::recovery::RECOVERY;

/// The part of a processor that each node has, in percent.
const PROCESSOR: u32 = 25;

/// Plays an outage in which each group loses half of its members, the head among them, and checks that service is back in time.
async fn check_return(name: &str, outage: Outage) {
    let folder = std::env::temp_dir().join(format!("cottoncrank-outage-{name}-{}", std::process::id()));
    let lost =
        Outage { empty: 50, heads: true, replacement: Replacement::Dark, processor: PROCESSOR, ..outage };
    let report = play(&lost, find_program().unwrap(), &folder).await.unwrap();
    println!("{name}: {report}");
    assert!(report.before.sent > 0 && report.after.sent > 0, "{report}");
    assert!(report.recovers(), "{report}");
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against waits one after the other: for groups that stand still, for orders that were not sent, and for
/// loads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn groups_that_lost_members_with_all_nodes_serve_in_time() {
    check_return("members", Outage { seed: 7, ..Outage::default() }).await;
}

/// Guards against the same after a return at which the store refuses all calls for a while.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn groups_that_lost_members_with_all_nodes_and_the_store_serve_in_time() {
    let store_away = Duration::from_millis(4000);
    check_return("store", Outage { seed: 7, store_away, ..Outage::default() }).await;
}

/// Guards against the same where the store comes back from an older copy, so that nodes also look for what they
/// have kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_that_lost_heads_the_store_and_its_latest_writes_serves_in_time() {
    let store_away = Duration::from_millis(4000);
    check_return("older", Outage { seed: 7, store_away, older: true, ..Outage::default() }).await;
}

/// The same with losses with which the groups came back last.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_that_lost_other_heads_the_store_and_its_latest_writes_serves_in_time() {
    let store_away = Duration::from_millis(4000);
    check_return("older-other", Outage { seed: 12, store_away, older: true, ..Outage::default() }).await;
}

/// Guards against the same with callers that repeat: each refused try is a request, so what serves has to outweigh
/// what refuses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_that_lost_heads_and_the_store_serves_callers_that_repeat_in_time() {
    let store_away = Duration::from_millis(4000);
    check_return("repeats", Outage { seed: 7, store_away, repeat: true, ..Outage::default() }).await;
}

/// Guards against members of groups that nobody can ask, as only the nodes before knew where they are: another
/// runner answers at the address of each head, so that nothing has to be waited for.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_fleet_whose_heads_were_replaced_serves_a_quarter_for_good_in_time() {
    let folder = std::env::temp_dir().join(format!("cottoncrank-outage-replaced-{}", std::process::id()));
    let outage = Outage {
        seed: 7,
        empty: 50,
        heads: true,
        replacement: Replacement::Same,
        processor: PROCESSOR,
        store_away: Duration::from_millis(4000),
        ..Outage::default()
    };
    let report = play(&outage, find_program().unwrap(), &folder).await.unwrap();
    println!("replaced: {report}");
    assert!(report.breaches.is_empty(), "{:?}", report.breaches);
    assert!(report.find_for_good().is_some_and(|at| at <= RECOVERY), "{report}");
    std::fs::remove_dir_all(&folder).unwrap();
}
