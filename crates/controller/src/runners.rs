//! Watching runners: this node's share of its hall.

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

/// The time between two looks at a runner.
pub const PERIOD: Millis = Millis(500);

/// How long a runner may take to answer; it is asked twice before it counts as missed.
const WAIT: Millis = Millis(300);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    loop {
        let jitter = rand::rng().random_range(0..PERIOD.0 / 5);
        tokio::time::sleep((PERIOD - Millis(PERIOD.0 / 10) + Millis(jitter)).duration()).await;
        if !state.is_settled() {
            continue;
        }
        let mut looks = JoinSet::new();
        for share in list_share(&state) {
            looks.spawn(look(state.clone(), share));
        }
        looks.join_all().await;
    }
}

/// A runner to watch.
struct Share {
    runner: id::Runner,
    address: SocketAddr,
    /// This node is the first watcher, which also reports load.
    first: bool,
}

fn list_share(state: &State) -> Vec<Share> {
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
            Some(Share { runner, address, first: rank == 0 })
        })
        .collect()
}

async fn look(state: Arc<State>, share: Share) {
    let mut status = ask(&state, share.address).await;
    if status.is_none() {
        status = ask(&state, share.address).await;
    }
    note(&state, &share, status);
}

async fn ask(state: &State, address: SocketAddr) -> Option<Status> {
    state.client.call(address, "/status", &(), WAIT).await.ok()
}

fn note(state: &State, share: &Share, status: Option<Status>) {
    let key = Key::Seen { runner: share.runner.clone(), by: state.settings.node.clone() };
    let before = match state.table.lock().get(&key).map(|held| held.row.body.clone()) {
        Some(Body::Seen(seen)) => Some(seen),
        _ => None,
    };
    let Some(status) = status else {
        if before.as_ref().is_none_or(|seen| seen.answers) {
            log::warn!("runner: {} does not answer", share.runner);
        }
        let seen = Observation { answers: false, ..before.unwrap_or_else(blank) };
        return state.write(key, Body::Seen(seen));
    };
    if before.is_some_and(|seen| !seen.answers) {
        log::info!("runner: {} answers again", share.runner);
    }
    if share.first {
        note_load(state, &status);
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

/// What is known of a runner that never answered.
fn blank() -> Observation {
    Observation {
        answers: false,
        incarnation: id::Incarnation(0),
        fence: id::Generation(0),
        role: None,
        stage: engine::Stage::Idle,
        warm: None,
    }
}

/// Load is told when it changed by enough to matter to routing, or ended, or
/// while the group drains, whose decider waits for a fresh zero.
fn note_load(state: &State, status: &Status) {
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
    if !draining && before.is_some_and(|before| !differs(before, load)) {
        return;
    }
    let now = state.now();
    let version = table.next_version(&key, now);
    table.merge(cottoncrank::row::Row { key, version, body: Body::Load(load) }, now);
    drop(table);
    state.fresh.notify_one();
}

fn differs(before: Load, now: Load) -> bool {
    before.generation != now.generation
        || (before.running == 0) != (now.running == 0)
        || before.backlog.abs_diff(now.backlog) > before.backlog / 10 + 20
}

/// The address of a runner in the configuration.
pub fn address_of(config: &config::Document, runner: &id::Runner) -> Option<SocketAddr> {
    match config.get(&config::Key::new(Kind::Runner, runner))? {
        Entry::Runner { address, .. } => Some(*address),
        _ => None,
    }
}

/// The runners of a domain.
pub fn runners_of<'a>(
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
