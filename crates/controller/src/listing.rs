//! Reading the platform's list of live and leaving boxes.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::config::{Entry, Kind};
use cottoncrank::member::{list_live, pick_list_readers};
use cottoncrank::row::{Body, Key, Listing, Row};
use cottoncrank::{Millis, config, id, wire};
use cottoncrank_net::server::{HeaderMap, Verb};

use crate::state::State;

/// The time between two looks at the list. A leaving box has to be without new
/// work within 3 s.
const PERIOD: Millis = Millis(1000);

/// How long the list may take to answer.
const WAIT: Millis = Millis(1000);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(PERIOD.duration()).await;
        if !state.is_settled() {
            continue;
        }
        let members = state.members();
        let readers =
            pick_list_readers(&list_live(&members, &state.settings.hall)).contains(&&state.settings.node);
        if !readers {
            continue;
        }
        if let Some(list) = fetch(&state).await {
            take_in(&state, list);
        }
    }
}

async fn fetch(state: &State) -> Option<wire::List> {
    let address = state.settings.list;
    let exchange = state.client.exchange(address, Verb::GET, "/list", HeaderMap::new(), Bytes::new(), WAIT);
    let bytes = exchange.await.ok()?.into_body();
    rmp_serde::from_slice(&bytes).ok()
}

fn is_of_hall(config: &config::Document, runner: &id::Runner, hall: &id::Hall) -> bool {
    match config.get(&config::Key::new(Kind::Runner, runner)) {
        Some(Entry::Runner { domain, .. }) => config.find_hall(domain) == Some(hall),
        _ => false,
    }
}

fn take_in(state: &State, list: wire::List) {
    let now = state.now();
    let mut changed = false;
    let config = state.config.lock().clone();
    let mut table = state.table.lock();
    let ours = |line: &wire::Listed| is_of_hall(&config, &line.runner, &state.settings.hall);
    for line in list.boxes.into_iter().filter(ours) {
        let key = Key::Listed(line.runner.clone());
        let body = Body::Listed(Listing { live: line.live, leaving: line.leaving });
        let before = table.get(&key).map(|held| &held.row.body);
        // A box that was always live and stays is not worth a row.
        if before == Some(&body) || (before.is_none() && line.live && !line.leaving) {
            continue;
        }
        // The list's own version orders what several readers copy from it.
        if table.merge(Row { key, version: list.version, body }, now) {
            changed = true;
            if line.leaving {
                log::info!("list: {} is leaving", line.runner);
            }
        }
    }
    drop(table);
    if changed {
        state.fresh.notify_one();
        state.urgent.notify_one();
    }
}
