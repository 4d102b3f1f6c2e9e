//! Suspected requests: requests that may crash the runners that execute them.
//!
//! This module merges the evidence of this node and of others, exchanges it piggybacked on the
//! queries between nodes, and decides whether a request may run.

use std::mem::discriminant;

use cottoncrank::Millis;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::evidence::{Crash, Level, Row};
use cottoncrank_fleet::fingerprint::Fingerprint;
use cottoncrank_fleet::gossip::{self, Pull, Push};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::suspects::{Change, Origin};
use cottoncrank_fleet::trials::Ruling;
use cottoncrank_net::client::{CallError, Client};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::attempt::{Job, Pick};
use crate::candidates::count_capacity;
use crate::state::Node;
use crate::telemetry;

/// A query to another node with piggybacked gossip about suspected requests.
#[derive(Serialize, Deserialize)]
pub(crate) struct Envelope<Q> {
    /// The query.
    pub(crate) question: Q,
    /// The rows that are new at the sender.
    pub(crate) push: Push,
}

/// The reply to an envelope: the answer to the query, with gossip in return.
#[derive(Serialize, Deserialize)]
pub(crate) struct EnvelopeReply<A> {
    /// The answer to the query.
    pub(crate) answer: A,
    /// The rows that the sender of the query lacks.
    pub(crate) pull: Pull,
}

/// Sends a query to another node and exchanges the evidence about suspected requests with it.
pub(crate) async fn exchange<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: &Peer,
    path: &str,
    query: Q,
    wait: Millis,
) -> Result<A, CallError> {
    let (push, pushed_mark) = node.gossip_peers.lock().build_push(&node.suspects.lock(), &peer.node);
    let envelope = Envelope { question: query, push };
    let reply: EnvelopeReply<A> = client.call(peer.address, path, &envelope, wait).await?;
    node.gossip_peers.lock().record_pull(&peer.node, pushed_mark, reply.pull.mark);
    merge_rows(node, &reply.pull.rows, Origin::Elsewhere);
    Ok(reply.answer)
}

/// Merges the rows that another node pushes, and returns the rows that it lacks.
pub(crate) fn receive_push(node: &Node, push: &Push, scope: Scope) -> Pull {
    let origin = match scope {
        Scope::Node => Origin::Hall,
        Scope::Hall => Origin::Elsewhere,
    };
    merge_rows(node, &push.rows, origin);
    gossip::build_pull(&node.suspects.lock(), node.instance, push, scope)
}

/// Merges rows of any origin into the evidence of this node.
pub(crate) fn merge_rows(node: &Node, rows: &[Row], origin: Origin) {
    for row in rows {
        let changes = {
            let mut table = node.suspects.lock();
            let previous = table.version();
            let changes = table.merge(row, origin, node.now());
            if table.version() == previous {
                continue;
            }
            changes
        };
        // A new row reports a crash or a completed run, so the trial run is over in either case.
        node.trials.lock().finish(&row.fingerprint);
        report_changes(node, &changes);
    }
}

/// Records that a request has completed at a runner that did not crash.
pub(crate) fn record_completed(node: &Node, fingerprint: &Fingerprint) {
    node.trials.lock().finish(fingerprint);
    let changes = node.suspects.lock().record_completed(fingerprint, node.now());
    report_changes(node, &changes);
}

/// Records that a run answered the request to its end, so the parts of its prompt do not crash runners.
pub(crate) fn record_answered(node: &Node, job: &Job) {
    record_completed(node, &job.fingerprint);
    for part in &job.parts {
        let changes = node.suspects.lock().void_crashes(part, node.now());
        report_changes(node, &changes);
    }
}

/// Drops expired evidence, and settles pending requests as deadly when no node has reported a better
/// explanation of their crashes in time.
pub(crate) fn update_levels(node: &Node) {
    let changes = {
        let mut table = node.suspects.lock();
        table.expire(node.now());
        table.settle(node.now())
    };
    report_changes(node, &changes);
}

/// Voids all crashes that count against a request.
pub(crate) fn void_crashes(node: &Node, fingerprint: &Fingerprint, reason: &str) {
    let changes = node.suspects.lock().void_crashes(fingerprint, node.now());
    if !changes.is_empty() {
        log::info!("suspects: voided the crashes of request {fingerprint}: {reason}");
    }
    report_changes(node, &changes);
}

/// Logs each change of a level with its evidence, and wakes waiting requests if one became deadly.
/// More evidence for the same level is not logged.
fn report_changes(node: &Node, changes: &[Change]) {
    let is_level_change = |change: &&Change| discriminant(&change.before) != discriminant(&change.after);
    for Change { row, before, after } in changes.iter().filter(is_level_change) {
        telemetry::count_level_change(after);
        let account = row.account.as_ref().map_or("-", |account| account.as_str());
        let crashes: Vec<String> = row.crashes.iter().map(Crash::to_string).collect();
        let line = format!(
            "suspects: request {} of account {account} on route {} is {after}, was {before}: crashed {}",
            row.fingerprint,
            row.route,
            crashes.join(", ")
        );
        match after {
            Level::Deadly(_) => log::warn!("{line}"),
            Level::Clear | Level::Suspected(_) | Level::Pending(_) => log::info!("{line}"),
        }
    }
    if changes.iter().any(|change| matches!(change.after, Level::Deadly(_))) {
        node.deadly_found.send_modify(|count| *count += 1);
    }
}

/// Returns the rows for a request and for the parts of its prompt with one crash, that of the runner of an
/// attempt.
pub(crate) fn build_rows(node: &Node, job: &Job, pick: &Pick) -> Vec<Row> {
    let crash =
        node.suspects.lock().identify_crash(&pick.id, pick.incarnation, pick.release.clone(), pick.picked_at);
    let build = |fingerprint: Fingerprint, route: String| Row {
        fingerprint,
        account: job.account.clone(),
        route,
        crashes: [crash.clone()].into(),
        void: [].into(),
        cleared: false,
    };
    let names = job.parts.iter().zip(&job.terms.prompt_parts);
    let parts = names.map(|(part, name)| build(*part, format!("{}, prompt part {name}", job.route.name)));
    [build(job.fingerprint, job.route.name.clone())].into_iter().chain(parts).collect()
}

/// Whether runners have crashed under a request, and it is not known whether because of it.
pub(crate) fn is_suspected(node: &Node, job: &Job) -> bool {
    node.suspects.lock().level(&job.fingerprint) != Level::Clear
}

/// Whether a request is deadly, that is, crashes the runners that execute it, or a part of its prompt does.
///
/// The crashes are voided when no runner is left of the releases that it crashed: the newer release
/// may have fixed the fault, so the request may run again.
pub(crate) fn is_deadly(node: &Node, job: &Job) -> bool {
    let is_suspect_deadly = {
        let table = node.suspects.lock();
        matches!(table.level(&job.fingerprint), Level::Deadly(_))
            || matches!(table.level_of_parts(&job.parts, job.account.as_ref()), Level::Deadly(_))
    };
    if !is_suspect_deadly {
        return false;
    }
    let releases = node.roster.lock().list_releases(&job.service);
    let obsolete: Vec<Fingerprint> = {
        let table = node.suspects.lock();
        let suspects = [&job.fingerprint].into_iter().chain(&job.parts);
        let is_obsolete = |row: &&Row| row.count_crashes() > 0 && row.is_obsolete(&releases);
        let rows = suspects.filter_map(|suspect| table.get(suspect));
        rows.filter(is_obsolete).map(|row| row.fingerprint).collect()
    };
    for suspect in &obsolete {
        void_crashes(node, suspect, "no runner is left of the releases that it crashed");
    }
    obsolete.is_empty() || is_deadly(node, job)
}

/// Whether a part of a request's prompt probably crashes runners, which other nodes may explain better.
pub(crate) fn is_quarantined(node: &Node, job: &Job) -> bool {
    let table = node.suspects.lock();
    matches!(table.level_of_parts(&job.parts, job.account.as_ref()), Level::Pending(_))
}

/// Decides whether a request may run now, by what this node alone knows. A trial run that it allows is
/// recorded as started now.
pub(crate) fn decide(node: &Node, job: &Job) -> Ruling {
    let level = node.suspects.lock().level(&job.fingerprint);
    let (capacity, now) = (count_capacity(node, job), node.now());
    let mut trials = node.trials.lock();
    let ruling = trials.decide(&job.fingerprint, level, capacity, now);
    if ruling == Ruling::Trial {
        trials.start(job.fingerprint, None, now);
    }
    ruling
}

/// Waits until a request is found to be deadly. Never returns if it is not, or only a part of its prompt is:
/// what a part crashes, it crashes at once, and the completed runs of others show which parts are sound.
pub(crate) async fn wait_until_deadly(node: &Node, job: &Job) {
    let mut found = node.deadly_found.subscribe();
    let is_suspect = || matches!(node.suspects.lock().level(&job.fingerprint), Level::Deadly(_));
    while !(is_suspect() && is_deadly(node, job)) {
        if found.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
