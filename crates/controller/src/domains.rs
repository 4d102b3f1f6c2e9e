//! Deciding for the domains of this hall that fall to this node, and telling
//! the runners.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::budget::Purpose;
use cottoncrank::config::Kind;
use cottoncrank::decide::{Decision, Hold, Input, decide_change, list_orders};
use cottoncrank::domain::{self, Document};
use cottoncrank::engine::{Order, OrderReply};
use cottoncrank::evidence::{Evidence, gather_evidence};
use cottoncrank::member::{Member, list_live, pick_decider};
use cottoncrank::row::{Body, Group, Key, Readiness, Row};
use cottoncrank::view::assess_group;
use cottoncrank::{Millis, config, id, wire};
use cottoncrank_net::store::{StoreError, Swap};
use parking_lot::Mutex;

use crate::runners::runners_of;
use crate::state::{Held, State};

/// The time between two looks at a domain.
const PERIOD: Millis = Millis(200);

/// How long an order may take, and how soon it is repeated.
const ORDER_WAIT: Millis = Millis(1000);

/// A node lost longer ago no longer speaks for our being cut off: it was replaced.
const RECENT: Millis = Millis(300_000);

/// Runners with an order on its way.
type InFlight = Arc<Mutex<HashSet<id::Runner>>>;

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    let in_flight = InFlight::default();
    loop {
        tokio::time::sleep(PERIOD.duration()).await;
        if !state.is_settled() {
            continue;
        }
        let members = state.members();
        let config = state.config.lock().clone();
        for domain in list_own(&state, &config, &members) {
            govern(&state, &config, &members, &domain, &in_flight).await;
        }
    }
}

/// The domains this node decides for. What it knew of others is forgotten.
fn list_own(state: &State, config: &config::Document, members: &[Member]) -> Vec<id::Domain> {
    let hall = &state.settings.hall;
    let live = list_live(members, hall);
    let names = config.list_kind(Kind::Domain).filter_map(|(name, _)| name.parse::<id::Domain>().ok());
    let own: Vec<id::Domain> = names
        .filter(|domain| config.find_hall(domain) == Some(hall))
        .filter(|domain| pick_decider(domain, &live) == Some(&state.settings.node))
        .collect();
    state.documents.lock().retain(|domain, _| own.contains(domain));
    state.holds.lock().retain(|domain, _| own.contains(domain));
    own
}

async fn govern(
    state: &Arc<State>,
    config: &config::Document,
    members: &[Member],
    domain: &id::Domain,
    in_flight: &InFlight,
) {
    let Some(held) = fetch(state, domain).await else { return };
    let evidence = gather_domain(state, config, members, domain, &held.document);
    note_conditions(state, members, &held.document);
    let view = Input {
        config,
        domain,
        document: &held.document,
        evidence: &evidence,
        nodes: count_nodes(state, members),
        decider: &state.settings.node,
        now: state.now(),
        proposal: state.next_proposal(),
    };
    match decide_change(&view) {
        Decision::Change(next) => write(state, domain, held.revision, *next).await,
        Decision::Hold(holds) => {
            note_holds(state, domain, holds);
            for (runner, address, order) in list_orders(&view) {
                send_order(state, in_flight, runner, address, order);
            }
        }
    }
}

/// Live nodes of the hall, and those together with the nodes lost not long ago.
fn count_nodes(state: &State, members: &[Member]) -> (usize, usize) {
    let of_hall = members.iter().filter(|member| member.node.hall == state.settings.hall);
    let live = of_hall.clone().filter(|member| member.live).count();
    let lost = of_hall
        .filter(|m| m.unreachable_since.is_some_and(|since| state.now().since(since) < RECENT))
        .count();
    (live, live + lost)
}

/// What is known of the runners of a domain.
pub fn gather_domain(
    state: &State,
    config: &config::Document,
    members: &[Member],
    domain: &id::Domain,
    document: &Document,
) -> Evidence {
    let mut runners: HashSet<id::Runner> = runners_of(config, domain).into_keys().collect();
    let placed = document.groups.values().flat_map(|group| &group.members);
    runners.extend(placed.map(|place| place.runner.clone()));
    runners.extend(document.quarantine.keys().cloned());
    gather_evidence(
        &state.table.lock(),
        members,
        &state.settings.hall,
        runners.iter(),
        document.groups.keys(),
    )
}

/// The document as this node holds it, read from the store the first time.
async fn fetch(state: &State, domain: &id::Domain) -> Option<Held> {
    if let Some(held) = state.documents.lock().get(domain) {
        return Some(held.clone());
    }
    match read(state, domain, Purpose::Group).await {
        Ok(held) => {
            log::info!("domain: {domain} is decided here, generation {}", held.document.generation);
            hold(state, domain, held.clone());
            Some(held)
        }
        Err(error) => {
            log::debug!("domain: {domain} cannot be read: {error}");
            None
        }
    }
}

/// Reads a domain's document from the store.
pub async fn read(state: &State, domain: &id::Domain, purpose: Purpose) -> Result<Held, StoreError> {
    let value = state.store.get(&domain::key(domain), purpose).await?;
    decode(value.as_ref())
}

fn decode(value: Option<&wire::Value>) -> Result<Held, StoreError> {
    let Some(value) = value else { return Ok(Held::default()) };
    let document = rmp_serde::from_slice(&value.bytes).map_err(|_| StoreError::Answer)?;
    Ok(Held { revision: value.revision, document })
}

async fn write(state: &State, domain: &id::Domain, expect: u64, next: Document) {
    if let Err(error) = next.check() {
        log::error!("domain: {domain}: refused to write: {error}");
        return;
    }
    let Ok(bytes) = rmp_serde::to_vec(&next) else { return };
    match state.store.swap(&domain::key(domain), expect, bytes, Purpose::Group).await {
        Ok(Swap::Done(revision)) => {
            if let Some(event) = next.events.back() {
                let group = &event.group;
                log::info!(
                    "domain: {group} generation {}: {}, for {}",
                    event.generation,
                    event.action,
                    event.cause
                );
            }
            metrics::counter!("cottoncrank_domain_changes").increment(1);
            hold(state, domain, Held { revision, document: next });
        }
        Ok(Swap::Conflict(value)) => match decode(value.as_ref()) {
            Ok(held) => {
                log::info!("domain: another node changed {domain} first");
                hold(state, domain, held);
            }
            Err(error) => log::error!("domain: {domain}: {error}"),
        },
        Err(error @ (StoreError::Unknown(_) | StoreError::Answer)) => {
            // Read again: either this write stands, or it is decided anew.
            log::warn!("domain: {domain}: {error}");
            state.documents.lock().remove(domain);
        }
        Err(error) => log::warn!("domain: {domain} stays as it is: {error}"),
    }
}

/// Keeps the document and tells every node of its groups.
fn hold(state: &State, domain: &id::Domain, held: Held) {
    let now = state.now();
    let mut table = state.table.lock();
    let known: Vec<id::Group> = table
        .iter()
        .filter_map(|row| match (&row.row.key, &row.row.body) {
            (Key::Group(id), Body::Group(Some(group))) if group.domain == *domain => Some(id.clone()),
            _ => None,
        })
        .collect();
    let gone = known.into_iter().filter(|id| !held.document.groups.contains_key(id)).map(|id| (id, None));
    let there = held
        .document
        .groups
        .iter()
        .map(|(id, group)| (id.clone(), Some(Group { domain: domain.clone(), group: group.clone() })));
    for (id, group) in gone.chain(there) {
        let same =
            table.get(&Key::Group(id.clone())).is_some_and(|row| row.row.body == Body::Group(group.clone()));
        if !same {
            table.merge(Row { key: Key::Group(id), version: held.revision, body: Body::Group(group) }, now);
        }
    }
    drop(table);
    state.documents.lock().insert(domain.clone(), held);
    state.fresh.notify_one();
    state.urgent.notify_one();
}

/// Tells the other halls which groups of the domain may take work.
fn note_conditions(state: &State, members: &[Member], document: &Document) {
    let live = list_live(members, &state.settings.hall);
    for (id, group) in &document.groups {
        let condition = assess_group(&state.table.lock(), &live, id, group, state.now());
        let whole = Readiness { generation: group.generation, condition };
        state.write(Key::Whole(id.clone()), Body::Whole(whole));
    }
}

fn note_holds(state: &State, domain: &id::Domain, holds: Vec<Hold>) {
    let before = state.holds.lock().insert(domain.clone(), holds.clone());
    if before.as_ref() == Some(&holds) {
        return;
    }
    for hold in &holds {
        for passed in &hold.passed {
            log::info!("domain: {} waits, {} not possible: {}", hold.group, passed.option, passed.reason);
        }
    }
}

fn send_order(
    state: &Arc<State>,
    in_flight: &InFlight,
    runner: id::Runner,
    address: SocketAddr,
    order: Order,
) {
    if !in_flight.lock().insert(runner.clone()) {
        return;
    }
    let (state, in_flight) = (state.clone(), in_flight.clone());
    tokio::spawn(async move {
        match state.client.call::<Order, OrderReply>(address, "/order", &order, ORDER_WAIT).await {
            Ok(OrderReply::Yes) => log::info!("order: {runner} obeyed generation {}", order.generation()),
            Ok(OrderReply::Fenced { held }) => {
                log::warn!("order: {runner} holds generation {held}, refused {}", order.generation());
            }
            Ok(OrderReply::Reborn { incarnation }) => log::warn!("order: {runner} is in life {incarnation}"),
            Err(error) => log::debug!("order: {runner}: {error}"),
        }
        // The watchers need a moment to see the new role; until then it is not sent again.
        tokio::time::sleep(ORDER_WAIT.duration()).await;
        in_flight.lock().remove(&runner);
    });
}
