//! Evacuates halls on an operator's request: applies the operator's request, watches the callers' requests
//! in flight in the hall, and takes the hall back.
//!
//! The table of the halls is part of the roster, so that lists of runners leave out those of a closed hall.
//! Every caller's request is checked once more right before it is sent.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evacuation::{End, Outcome, find_close_time};
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::plan::{Group, Plans};
use cottoncrank_fleet::position::Era;
use cottoncrank_fleet::roster::Roster;
use cottoncrank_platform::item::{Evacuation, find_evacuated_hall};
use cottoncrank_platform::store::Batch;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::answer::Refusal;
use crate::attempt::{Job, Pick};
use crate::invalid_items::ItemKind;
use crate::state::Node;
use crate::telemetry;

/// How often the halls under evacuation are checked.
const CHECK_INTERVAL: Millis = Millis(100);

/// The minimum time between two log lines of the decider about the progress of evacuations.
const PROGRESS_INTERVAL: Millis = Millis(2000);

/// What a node remembers of evacuations besides the table in its roster.
#[derive(Default)]
pub struct State {
    /// Notified when an evacuation starts.
    started: Notify,
    /// The closed halls in which this node has had no request in flight since, as logged.
    drained: Mutex<BTreeSet<id::Hall>>,
    /// When the decider last logged their progress.
    logged: Mutex<Option<Millis>>,
}

/// Applies an operator's request that the store holds. The store is in `era`; a request of an earlier era
/// was lost in a restore. `known` are the halls that have runners.
pub(crate) fn apply_request(node: &Node, request: &Evacuation, era: Era, known: &BTreeSet<id::Hall>) {
    let (hall, now) = (&request.hall, node.now());
    if !request.readable {
        report_unreadable(node, hall);
    }
    let age = node.freshness.lock().age(now);
    let closes_at = find_close_time(now, age, node.settings().bounds.evacuate);
    let outcome = {
        let table = &mut node.roster.lock().evacuations;
        let outcome = table.start(hall, now, closes_at, known);
        match request.position.era() < era {
            true => table.keep(hall, now),
            false => table.confirm(hall),
        }
        outcome
    };
    match outcome {
        Outcome::Already => log::debug!("evacuation: {hall}: {outcome}"),
        Outcome::Started => log::info!("evacuation: {hall}: {outcome}, closes in {}", closes_at.since(now)),
        Outcome::UnknownHall | Outcome::AllHalls => {
            log::warn!("evacuation: {hall}: {outcome}, closes in {}", closes_at.since(now))
        }
    }
    telemetry::count_evacuation(outcome.name());
    node.evacuations.started.notify_one();
    node.fleet_changed.notify_one();
}

/// Counts and logs an operator's request whose value does not have the published form.
fn report_unreadable(node: &Node, hall: &id::Hall) {
    let kind = ItemKind::Evacuation;
    telemetry::count_invalid_item(kind.name(), "form");
    if node.invalid_items.should_log(hall.as_str(), kind, "form") {
        log::error!(
            "evacuation: {hall}: the value of the item ({}) is unreadable, its key counts",
            kind.name()
        );
    }
}

/// Applies the operators' requests in the whole content of the store. Evacuations that it does not hold
/// are withdrawn.
pub(crate) fn apply_whole(node: &Node, requests: &[Evacuation], era: Era, known: &BTreeSet<id::Hall>) {
    let requested = requests.iter().map(|request| request.hall.clone()).collect();
    let missing = node.roster.lock().evacuations.list_missing(&requested);
    for hall in &missing {
        end(node, hall, End::Withdrawn);
    }
    for request in requests {
        apply_request(node, request, era, known);
    }
}

/// Ends the evacuation of a hall.
pub(crate) fn end(node: &Node, hall: &id::Hall, end: End) {
    if !node.roster.lock().evacuations.contains(hall) {
        log::info!("evacuation: {hall}: {end}, and was not in force here");
        return;
    }
    take_back(node, hall);
    let ended = node.roster.lock().evacuations.withdraw(hall);
    node.evacuations.drained.lock().remove(hall);
    let lasted = ended.map_or(Millis(0), |ended| node.now().since(ended.since));
    log::info!("evacuation: {hall}: {end} after {lasted}");
    telemetry::count_evacuation(end.name());
    node.fleet_changed.notify_one();
}

/// Counts the runners of a hall as cold, right before they are candidates again. They may have become cold
/// while they were sent no requests.
fn take_back(node: &Node, hall: &id::Hall) {
    let mut roster = node.roster.lock();
    roster.mark_cold_hall(hall, node.now());
    let runners = roster.iter().filter(|runner| runner.hall == *hall).count();
    log::info!("evacuation: {hall}: {runners} runners are taken back");
}

/// Adds the operators' requests that the store lost in a restore to its whole content, so that nodes that
/// poll this one keep them as well. `restored` says that the content is the first of its era.
pub(crate) fn carry_over(node: &Node, batch: &mut Batch, restored: bool) {
    let lost: Vec<id::Hall> = {
        let table = &node.roster.lock().evacuations;
        let halls = table.iter().map(|(hall, _)| hall);
        halls.filter(|hall| restored || table.is_kept(hall)).cloned().collect()
    };
    if lost.is_empty() {
        return;
    }
    let stored: BTreeSet<id::Hall> = batch.items.iter().filter_map(find_evacuated_hall).collect();
    let is_lost = |hall: &id::Hall| lost.contains(hall) && !stored.contains(hall);
    let carried = node.feed.list(|raw| find_evacuated_hall(raw).as_ref().is_some_and(is_lost));
    for raw in carried {
        log::info!("sync: `{}` of {} is kept, the store has lost it", raw.key, raw.position);
        telemetry::count_carried_item("evacuation");
        batch.items.push(raw);
    }
}

/// Closes the halls whose hold is over. It is also called before a request is sent, because the task that
/// does it periodically may be late, for example after a suspension of the box.
fn close_due(node: &Node, roster: &mut Roster) {
    for hall in roster.evacuations.close_due(node.now()) {
        log::info!("evacuation: {hall}: takes no more requests of this node");
        node.fleet_changed.notify_one();
    }
}

/// Whether a picked runner, or a member of its group, is in a closed hall by now.
pub(crate) fn is_closed(node: &Node, pick: &Pick) -> bool {
    let mut roster = node.roster.lock();
    if roster.evacuations.is_empty() {
        return false;
    }
    close_due(node, &mut roster);
    if roster.evacuations.is_closed(&pick.hall) {
        return true;
    }
    let Some((name, epoch)) = &pick.group else { return false };
    let plans = node.plans.lock();
    let mut groups = plans.values().flat_map(|plan| &plan.groups);
    let group = groups.find(|group| group.name == *name && group.epoch == *epoch);
    group.is_some_and(|group| roster.is_closed_group(group))
}

/// Returns the refusal of a request if all halls with runners of its service are closed.
pub(crate) fn refuse_if_closed(node: &Node, job: &Job) -> Option<Refusal> {
    let mut roster = node.roster.lock();
    if roster.evacuations.is_empty() {
        return None;
    }
    close_due(node, &mut roster);
    let runners = roster.iter().filter(|runner| runner.service == job.service);
    let mut halls = runners.map(|runner| &runner.hall).peekable();
    let all_closed = halls.peek().is_some() && halls.all(|hall| roster.evacuations.is_closed(hall));
    all_closed.then_some(Refusal::Evacuated)
}

/// Returns the requests of this node in flight in each hall under evacuation.
pub(crate) fn count_in_flight(node: &Node) -> BTreeMap<id::Hall, u32> {
    let (roster, ledger) = (node.roster.lock(), node.ledger.lock());
    let mut counts: BTreeMap<id::Hall, u32> =
        roster.evacuations.iter().map(|(hall, _)| (hall.clone(), 0)).collect();
    for (runner, running) in ledger.list_busy() {
        let hall = roster.get_last_known(runner).map(|runner| &runner.hall);
        if let Some(count) = hall.and_then(|hall| counts.get_mut(hall)) {
            *count += running;
        }
    }
    counts
}

/// Watches the halls under evacuation until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        if node.roster.lock().evacuations.is_empty() {
            node.evacuations.started.notified().await;
        }
        check(&node);
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
    }
}

fn check(node: &Node) {
    close_due(node, &mut node.roster.lock());
    let expired = node.roster.lock().evacuations.list_expired(node.now());
    for hall in &expired {
        node.feed.forget(|raw| find_evacuated_hall(raw).as_ref() == Some(hall));
        end(node, hall, End::NotRenewed);
    }
    log_drained(node);
}

/// Logs once for each closed hall that the last request of this node there has ended.
fn log_drained(node: &Node) {
    for (hall, _) in count_in_flight(node).into_iter().filter(|(_, running)| *running == 0) {
        let since = {
            let table = &node.roster.lock().evacuations;
            table.get(&hall).filter(|_| table.is_closed(&hall)).map(|evacuation| evacuation.since)
        };
        let Some(since) = since else { continue };
        if node.evacuations.drained.lock().insert(hall.clone()) {
            let took = node.now().since(since);
            log::info!("evacuation: {hall}: no request of this node is left there, after {took}");
        }
    }
}

/// As the decider, logs the progress of the evacuations. `in_flight` are the requests of all nodes by group.
pub(crate) fn log_progress(node: &Node, plans: &Plans, in_flight: Option<&Counts>) {
    let roster = node.roster.lock();
    if roster.evacuations.is_empty() {
        return;
    }
    let now = node.now();
    let mut logged = node.evacuations.logged.lock();
    if logged.is_some_and(|logged| now < logged + PROGRESS_INTERVAL) {
        return;
    }
    *logged = Some(now);
    let groups = || plans.values().flat_map(|plan| &plan.groups).filter(|group| !group.is_retired());
    let elsewhere = groups().filter(|group| !roster.is_evacuated_group(group)).count();
    for (hall, evacuation) in roster.evacuations.iter() {
        let is_here = |group: &&Group| {
            let mut members = group.members.iter().filter_map(|id| roster.get_last_known(id));
            members.any(|member| member.hall == *hall)
        };
        let here: Vec<&Group> = groups().filter(is_here).collect();
        let running = in_flight.map_or("an unknown number of".to_owned(), |counts| {
            let at_groups = here.iter().filter_map(|group| counts.get(&group.epoch));
            at_groups.sum::<u32>().to_string()
        });
        log::info!(
            "decider: evacuation of {hall} for {}: {} groups are left there with {running} requests, {elsewhere} groups are planned elsewhere",
            now.since(evacuation.since),
            here.len()
        );
    }
}
