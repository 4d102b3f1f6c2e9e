//! Decides on the groups of the domains assigned to this node, and sends orders to
//! their runners.

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

use crate::runners::list_domain_runners;
use crate::state::{State, StoredDocument};

/// Interval between two evaluations of a domain.
const DECISION_INTERVAL: Millis = Millis(200);

/// Timeout of an order, and the delay before it may be repeated.
const ORDER_TIMEOUT: Millis = Millis(1000);

/// Nodes lost longer ago are assumed to be replaced, so they no longer count as a sign
/// that this node is partitioned from its hall.
const LOST_NODE_WINDOW: Millis = Millis(300_000);

/// Runners with an order in flight.
type InFlight = Arc<Mutex<HashSet<id::Runner>>>;

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    let in_flight = InFlight::default();
    loop {
        tokio::time::sleep(DECISION_INTERVAL.duration()).await;
        if !state.has_joined() {
            continue;
        }
        let members = state.members();
        let config = state.config.lock().clone();
        for domain in list_assigned_domains(&state, &config, &members) {
            decide_domain(&state, &config, &members, &domain, &in_flight).await;
        }
    }
}

/// Lists the domains that this node decides for, and drops the state of all others.
fn list_assigned_domains(state: &State, config: &config::Document, members: &[Member]) -> Vec<id::Domain> {
    let hall = &state.settings.hall;
    let live = list_live(members, hall);
    let names = config.list_kind(Kind::Domain).filter_map(|(name, _)| name.parse::<id::Domain>().ok());
    let assigned: Vec<id::Domain> = names
        .filter(|domain| config.find_hall(domain) == Some(hall))
        .filter(|domain| pick_decider(domain, &live) == Some(&state.settings.node))
        .collect();
    state.documents.lock().retain(|domain, _| assigned.contains(domain));
    state.holds.lock().retain(|domain, _| assigned.contains(domain));
    assigned
}

async fn decide_domain(
    state: &Arc<State>,
    config: &config::Document,
    members: &[Member],
    domain: &id::Domain,
    in_flight: &InFlight,
) {
    let Some(stored) = load_document(state, domain).await else { return };
    let evidence = gather_domain_evidence(state, config, members, domain, &stored.document);
    publish_conditions(state, members, &stored.document);
    let input = Input {
        config,
        domain,
        document: &stored.document,
        evidence: &evidence,
        nodes: count_nodes(state, members),
        decider: &state.settings.node,
        now: state.now(),
        proposal: state.next_proposal(),
    };
    match decide_change(&input) {
        Decision::Change(next) => write_document(state, domain, stored.revision, *next).await,
        Decision::Hold(holds) => {
            record_holds(state, domain, holds);
            for (runner, address, order) in list_orders(&input) {
                send_order(state, in_flight, runner, address, order);
            }
        }
    }
}

/// Counts the live nodes of the hall, and the live and recently lost nodes together.
fn count_nodes(state: &State, members: &[Member]) -> (usize, usize) {
    let of_hall = members.iter().filter(|member| member.node.hall == state.settings.hall);
    let live = of_hall.clone().filter(|member| member.live).count();
    let lost = of_hall
        .filter(|m| m.unreachable_since.is_some_and(|since| state.now().since(since) < LOST_NODE_WINDOW))
        .count();
    (live, live + lost)
}

/// Gathers what is known about the configured, placed and quarantined runners of a domain.
pub fn gather_domain_evidence(
    state: &State,
    config: &config::Document,
    members: &[Member],
    domain: &id::Domain,
    document: &Document,
) -> Evidence {
    let mut runners: HashSet<id::Runner> = list_domain_runners(config, domain).into_keys().collect();
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

/// Returns the cached document of a domain, or reads it from the store if there is none.
async fn load_document(state: &State, domain: &id::Domain) -> Option<StoredDocument> {
    if let Some(stored) = state.documents.lock().get(domain) {
        return Some(stored.clone());
    }
    match read_domain(state, domain, Purpose::Group).await {
        Ok(stored) => {
            log::info!(
                "domain: this node now decides for {domain}, at generation {}",
                stored.document.generation
            );
            publish_document(state, domain, stored.clone());
            Some(stored)
        }
        Err(error) => {
            log::debug!("domain: {domain} cannot be read: {error}");
            None
        }
    }
}

/// Reads a domain's document from the store.
pub async fn read_domain(
    state: &State,
    domain: &id::Domain,
    purpose: Purpose,
) -> Result<StoredDocument, StoreError> {
    let value = state.store.get(&domain::key(domain), purpose).await?;
    decode_document(value.as_ref())
}

fn decode_document(value: Option<&wire::Value>) -> Result<StoredDocument, StoreError> {
    let Some(value) = value else { return Ok(StoredDocument::default()) };
    let document = rmp_serde::from_slice(&value.bytes).map_err(|_| StoreError::Answer)?;
    Ok(StoredDocument { revision: value.revision, document })
}

async fn write_document(state: &State, domain: &id::Domain, expect: u64, next: Document) {
    if let Err(error) = next.check() {
        log::error!("domain: {domain}: not writing an invalid document: {error}");
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
            publish_document(state, domain, StoredDocument { revision, document: next });
        }
        Ok(Swap::Conflict(value)) => match decode_document(value.as_ref()) {
            Ok(stored) => {
                log::info!("domain: {domain}: write conflicted with a change by another node");
                publish_document(state, domain, stored);
            }
            Err(error) => log::error!("domain: {domain}: {error}"),
        },
        Err(error @ (StoreError::Unknown(_) | StoreError::Answer)) => {
            // The write may have succeeded, so the document is read again before the next decision.
            log::warn!("domain: {domain}: {error}");
            state.documents.lock().remove(domain);
        }
        Err(error) => log::warn!("domain: {domain}: document not written: {error}"),
    }
}

/// Caches the document and updates the rows of its groups, which gossip spreads to every node.
fn publish_document(state: &State, domain: &id::Domain, stored: StoredDocument) {
    let now = state.now();
    let mut table = state.table.lock();
    let known: Vec<id::Group> = table
        .iter()
        .filter_map(|row| match (&row.row.key, &row.row.body) {
            (Key::Group(id), Body::Group(Some(group))) if group.domain == *domain => Some(id.clone()),
            _ => None,
        })
        .collect();
    let removed =
        known.into_iter().filter(|id| !stored.document.groups.contains_key(id)).map(|id| (id, None));
    let present = stored
        .document
        .groups
        .iter()
        .map(|(id, group)| (id.clone(), Some(Group { domain: domain.clone(), group: group.clone() })));
    for (id, group) in removed.chain(present) {
        let same =
            table.get(&Key::Group(id.clone())).is_some_and(|row| row.row.body == Body::Group(group.clone()));
        if !same {
            table.merge(Row { key: Key::Group(id), version: stored.revision, body: Body::Group(group) }, now);
        }
    }
    drop(table);
    state.documents.lock().insert(domain.clone(), stored);
    state.table_changed.notify_one();
    state.urgent.notify_one();
}

/// Publishes to the other halls which groups of the domain can take work.
fn publish_conditions(state: &State, members: &[Member], document: &Document) {
    let live = list_live(members, &state.settings.hall);
    for (id, group) in &document.groups {
        let condition = assess_group(&state.table.lock(), &live, id, group, state.now());
        let readiness = Readiness { generation: group.generation, condition };
        state.write(Key::Whole(id.clone()), Body::Whole(readiness));
    }
}

fn record_holds(state: &State, domain: &id::Domain, holds: Vec<Hold>) {
    let before = state.holds.lock().insert(domain.clone(), holds.clone());
    if before.as_ref() == Some(&holds) {
        return;
    }
    for hold in &holds {
        for passed in &hold.passed {
            log::info!(
                "domain: {} is on hold, {} is not possible: {}",
                hold.group,
                passed.option,
                passed.reason
            );
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
        match state.client.call::<Order, OrderReply>(address, "/order", &order, ORDER_TIMEOUT).await {
            Ok(OrderReply::Yes) => log::info!("order: {runner} accepted generation {}", order.generation()),
            Ok(OrderReply::Fenced { held }) => {
                log::warn!(
                    "order: {runner} is fenced at generation {held} and refused generation {}",
                    order.generation()
                );
            }
            Ok(OrderReply::Reborn { incarnation }) => {
                log::warn!("order: {runner} refused the order, its incarnation is now {incarnation}")
            }
            Err(error) => log::debug!("order: {runner}: {error}"),
        }
        // The order is not repeated until the watchers have had time to observe the new role.
        tokio::time::sleep(ORDER_TIMEOUT.duration()).await;
        in_flight.lock().remove(&runner);
    });
}
