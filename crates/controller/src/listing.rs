//! Polls the platform's list of live and leaving boxes.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::config::{Entry, Kind};
use cottoncrank::member::{list_live, pick_list_readers};
use cottoncrank::row::{Body, Key, Listing, Row};
use cottoncrank::{Millis, config, id, wire};
use cottoncrank_net::server::{HeaderMap, Verb};

use crate::state::State;

/// Polling interval. A leaving box must stop receiving new work within 3 s.
const POLL_INTERVAL: Millis = Millis(1000);

/// Timeout of a request to the list.
const REQUEST_TIMEOUT: Millis = Millis(1000);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        if !state.has_joined() {
            continue;
        }
        let members = state.members();
        let is_reader =
            pick_list_readers(&list_live(&members, &state.settings.hall)).contains(&&state.settings.node);
        if !is_reader {
            continue;
        }
        if let Some(list) = fetch_list(&state).await {
            apply_list(&state, list);
        }
    }
}

async fn fetch_list(state: &State) -> Option<wire::List> {
    let address = state.settings.list;
    let exchange =
        state.client.exchange(address, Verb::GET, "/list", HeaderMap::new(), Bytes::new(), REQUEST_TIMEOUT);
    let bytes = exchange.await.ok()?.into_body();
    rmp_serde::from_slice(&bytes).ok()
}

fn is_runner_in_hall(config: &config::Document, runner: &id::Runner, hall: &id::Hall) -> bool {
    match config.get(&config::Key::new(Kind::Runner, runner)) {
        Some(Entry::Runner { domain, .. }) => config.find_hall(domain) == Some(hall),
        _ => false,
    }
}

fn apply_list(state: &State, list: wire::List) {
    let now = state.now();
    let mut changed = false;
    let config = state.config.lock().clone();
    let mut table = state.table.lock();
    let in_hall = |line: &wire::Listed| is_runner_in_hall(&config, &line.runner, &state.settings.hall);
    for line in list.boxes.into_iter().filter(in_hall) {
        let key = Key::Listed(line.runner.clone());
        let body = Body::Listed(Listing { live: line.live, leaving: line.leaving });
        let before = table.get(&key).map(|held| &held.row.body);
        // A box that has always been live needs no row.
        if before == Some(&body) || (before.is_none() && line.live && !line.leaving) {
            continue;
        }
        // The list's own version orders the rows that several readers copy from it.
        if table.merge(Row { key, version: list.version, body }, now) {
            changed = true;
            if line.leaving {
                log::info!("list: {} is leaving", line.runner);
            }
        }
    }
    drop(table);
    if changed {
        state.table_changed.notify_one();
        state.urgent.notify_one();
    }
}
