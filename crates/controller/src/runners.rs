//! Health checks of the runners that this node watches in its hall.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::config::{self, Entry, Kind};
use cottoncrank::engine::Status;
use cottoncrank::member::{list_live, pick_watchers};
use cottoncrank::row::{Body, Key, Load, Observation};
use cottoncrank::{Millis, engine, id};
use rand::Rng;
use tokio::task::JoinSet;

use crate::state::State;

/// Interval between two probes of a runner.
pub const PROBE_INTERVAL: Millis = Millis(500);

/// Timeout of one status request. A runner counts as missed after two failed requests.
const PROBE_TIMEOUT: Millis = Millis(300);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    loop {
        let jitter = rand::rng().random_range(0..PROBE_INTERVAL.0 / 5);
        tokio::time::sleep((PROBE_INTERVAL - Millis(PROBE_INTERVAL.0 / 10) + Millis(jitter)).duration())
            .await;
        if !state.has_joined() {
            continue;
        }
        let mut probes = JoinSet::new();
        for watched in list_watched_runners(&state) {
            probes.spawn(probe_runner(state.clone(), watched));
        }
        probes.join_all().await;
    }
}

/// A runner that this node watches.
struct WatchedRunner {
    runner: id::Runner,
    address: SocketAddr,
    /// Whether this node is the first watcher, which also reports load.
    first: bool,
}

fn list_watched_runners(state: &State) -> Vec<WatchedRunner> {
    let members = state.members();
    let me = &state.settings.node;
    let live = list_live(&members, &state.settings.hall);
    let config = state.config.lock();
    let runners = config.list_kind(Kind::Runner).filter_map(|(name, entry)| match entry {
        Entry::Runner { domain, address, .. } if config.find_hall(domain) == Some(&state.settings.hall) => {
            Some((name.parse::<id::Runner>().ok()?, *address))
        }
        _ => None,
    });
    runners
        .filter_map(|(runner, address)| {
            let rank = pick_watchers(&runner, &live).into_iter().position(|watcher| watcher == me)?;
            Some(WatchedRunner { runner, address, first: rank == 0 })
        })
        .collect()
}

async fn probe_runner(state: Arc<State>, watched: WatchedRunner) {
    let mut status = fetch_status(&state, watched.address).await;
    if status.is_none() {
        status = fetch_status(&state, watched.address).await;
    }
    record_status(&state, &watched, status);
}

async fn fetch_status(state: &State, address: SocketAddr) -> Option<Status> {
    state.client.call(address, "/status", &(), PROBE_TIMEOUT).await.ok()
}

fn record_status(state: &State, watched: &WatchedRunner, status: Option<Status>) {
    let key = Key::Seen { runner: watched.runner.clone(), by: state.settings.node.clone() };
    let before = match state.table.lock().get(&key).map(|held| held.row.body.clone()) {
        Some(Body::Seen(seen)) => Some(seen),
        _ => None,
    };
    let Some(status) = status else {
        if before.as_ref().is_none_or(|seen| seen.answers) {
            log::warn!("runner: {} does not answer", watched.runner);
        }
        let seen = Observation { answers: false, ..before.unwrap_or_else(unobserved) };
        return state.write(key, Body::Seen(seen));
    };
    if before.is_some_and(|seen| !seen.answers) {
        log::info!("runner: {} answers again", watched.runner);
    }
    if watched.first {
        record_load(state, &status);
    }
    let seen = Observation {
        answers: true,
        incarnation: status.incarnation,
        fence: status.fence,
        role: status.role,
        stage: status.stage,
        warm: status.warm,
    };
    state.write(key, Body::Seen(seen));
}

/// Returns the observation of a runner that has never answered.
fn unobserved() -> Observation {
    Observation {
        answers: false,
        incarnation: id::Incarnation(0),
        fence: id::Generation(0),
        role: None,
        stage: engine::Stage::Idle,
        warm: None,
    }
}

/// Records the load that a runner of rank 0 reports for its group. Only changes that
/// affect routing and the start and end of load are written, except while the group
/// drains, because its decider waits for a new row with zero load.
fn record_load(state: &State, status: &Status) {
    let Some(role) = status.role.as_ref().filter(|role| role.rank == 0) else { return };
    let load = Load { generation: role.generation, running: status.running, backlog: status.backlog };
    let key = Key::Load(role.group.clone());
    let mut table = state.table.lock();
    let draining = match table.get(&Key::Group(role.group.clone())).map(|held| &held.row.body) {
        Some(Body::Group(Some(row))) => row.group.phase == cottoncrank::domain::Phase::Drain,
        _ => false,
    };
    let before = match table.get(&key).map(|held| &held.row.body) {
        Some(Body::Load(before)) => Some(*before),
        _ => None,
    };
    if !draining && before.is_some_and(|before| !is_significant_change(before, load)) {
        return;
    }
    let now = state.now();
    let version = table.next_version(&key, now);
    table.merge(cottoncrank::row::Row { key, version, body: Body::Load(load) }, now);
    drop(table);
    state.table_changed.notify_one();
}

/// Whether a load change affects routing, or is the start or end of load.
fn is_significant_change(before: Load, now: Load) -> bool {
    before.generation != now.generation
        || (before.running == 0) != (now.running == 0)
        || before.backlog.abs_diff(now.backlog) > before.backlog / 10 + 20
}

/// Returns the configured address of a runner.
pub fn find_runner_address(config: &config::Document, runner: &id::Runner) -> Option<SocketAddr> {
    match config.get(&config::Key::new(Kind::Runner, runner))? {
        Entry::Runner { address, .. } => Some(*address),
        _ => None,
    }
}

/// Returns the configured runners of a domain.
pub fn list_domain_runners<'a>(
    config: &'a config::Document,
    domain: &'a id::Domain,
) -> BTreeMap<id::Runner, &'a Entry> {
    let of_domain =
        move |entry: &Entry| matches!(entry, Entry::Runner { domain: theirs, .. } if theirs == domain);
    config
        .list_kind(Kind::Runner)
        .filter(|(_, entry)| of_domain(entry))
        .filter_map(|(name, entry)| Some((name.parse().ok()?, entry)))
        .collect()
}
