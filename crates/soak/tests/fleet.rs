//! Fleets that run at the same time.

use std::collections::HashSet;
use std::net::IpAddr;

use cottoncrank_soak::fleet::{Fleet, Layout};

fn list_addresses(fleet: &Fleet) -> Vec<IpAddr> {
    fleet.nodes.iter().map(|node| node.callers.ip()).collect()
}

/// Guards against a node that cannot start because a node of another fleet has taken its port meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleets_at_the_same_time_have_addresses_of_their_own() {
    let folders = ["a", "b"]
        .map(|name| std::env::temp_dir().join(format!("cottoncrank-fleets-{name}-{}", std::process::id())));
    let mut addresses = Vec::new();
    let mut fleets = Vec::new();
    for folder in &folders {
        std::fs::create_dir_all(folder).unwrap();
        let fleet = Fleet::start(Layout::small(2, 0, false), folder).await.unwrap();
        addresses.extend(list_addresses(&fleet));
        fleets.push(fleet);
    }
    let distinct: HashSet<&IpAddr> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len(), "{addresses:?}");
    drop(fleets);
    folders.iter().for_each(|folder| std::fs::remove_dir_all(folder).unwrap());
}
