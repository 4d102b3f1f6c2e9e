//! What this node and others have seen of requests that end runners: taking it in, telling it
//! along with what nodes exchange anyway, and asking what becomes of a request.

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
use crate::candidates::count_takers;
use crate::state::Node;
use crate::telemetry;

/// A question to another node, with what this one tells of suspected requests.
#[derive(Serialize, Deserialize)]
pub(crate) struct Envelope<Q> {
    /// The question.
    pub(crate) question: Q,
    /// What is new here.
    pub(crate) push: Push,
}

/// The answer to it.
#[derive(Serialize, Deserialize)]
pub(crate) struct EnvelopeReply<A> {
    /// The answer.
    pub(crate) answer: A,
    /// What the asking node has to know.
    pub(crate) pull: Pull,
}

/// Puts a question to another node, and exchanges what both know of suspected requests.
pub(crate) async fn exchange<Q: Serialize, A: DeserializeOwned>(
    node: &Node,
    client: &Client,
    peer: &Peer,
    path: &str,
    question: Q,
    wait: Millis,
) -> Result<A, CallError> {
    let (push, pushed_mark) = node.gossip_peers.lock().build_push(&node.suspects.lock(), &peer.node);
    let envelope = Envelope { question, push };
    let reply: EnvelopeReply<A> = client.call(peer.address, path, &envelope, wait).await?;
    node.gossip_peers.lock().record_pull(&peer.node, pushed_mark, reply.pull.mark);
    merge_rows(node, &reply.pull.rows, Origin::Elsewhere);
    Ok(reply.answer)
}

/// Takes in what another node pushes, and says what it has to know.
pub(crate) fn receive_push(node: &Node, push: &Push, scope: Scope) -> Pull {
    let origin = match scope {
        Scope::Node => Origin::Hall,
        Scope::Hall => Origin::Elsewhere,
    };
    merge_rows(node, &push.rows, origin);
    gossip::build_pull(&node.suspects.lock(), node.instance, push, scope)
}

/// Takes rows in, from wherever they come.
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
        // An end or a run to the end: either way the run that was under way is over.
        node.trials.lock().finish(&row.fingerprint);
        report_changes(node, &changes);
    }
}

/// A request has run to its end at a runner that lives on.
pub(crate) fn record_completed(node: &Node, fingerprint: &Fingerprint) {
    node.trials.lock().finish(fingerprint);
    let changes = node.suspects.lock().record_completed(fingerprint, node.now());
    report_changes(node, &changes);
}

/// Holds back what nothing more is heard of, and forgets what is old.
pub(crate) fn update_levels(node: &Node) {
    let changes = {
        let mut table = node.suspects.lock();
        table.expire(node.now());
        table.settle(node.now())
    };
    report_changes(node, &changes);
}

/// What speaks against a request counts no more.
pub(crate) fn void_crashes(node: &Node, fingerprint: &Fingerprint, reason: &str) {
    let changes = node.suspects.lock().void_crashes(fingerprint, node.now());
    if !changes.is_empty() {
        log::info!("suspects: what speaks against {fingerprint} is lifted: {reason}");
    }
    report_changes(node, &changes);
}

/// Logs each change of a level with its evidence, and wakes requests that wait. That there is
/// more of the same evidence is no news.
fn report_changes(node: &Node, changes: &[Change]) {
    let is_level_change = |change: &&Change| discriminant(&change.before) != discriminant(&change.after);
    for Change { row, before, after } in changes.iter().filter(is_level_change) {
        telemetry::count_level_change(after);
        let account = row.account.as_ref().map_or("-", |account| account.as_str());
        let crashes: Vec<String> = row.crashes.iter().map(Crash::to_string).collect();
        let line = format!(
            "suspects: request {} of account {account} on route {} is {after}, was {before}: ended {}",
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

/// A request as a row with one end, that of the runner of a try.
pub(crate) fn build_row(node: &Node, job: &Job, pick: &Pick) -> Row {
    let crash = node.suspects.lock().identify_crash(&pick.id, pick.life, pick.release.clone(), pick.at);
    Row {
        fingerprint: job.fingerprint,
        account: job.account.clone(),
        route: job.route.name.clone(),
        crashes: [crash].into(),
        void: [].into(),
        cleared: false,
    }
}

/// Whether a request crashes the runners that run it. One that has ended runners of releases of
/// which none is left may run again: the release may have mended it.
pub(crate) fn is_deadly(node: &Node, job: &Job) -> bool {
    if !matches!(node.suspects.lock().level(&job.fingerprint), Level::Deadly(_)) {
        return false;
    }
    let releases = node.roster.lock().list_releases(&job.service);
    let is_obsolete =
        node.suspects.lock().get(&job.fingerprint).is_some_and(|row| row.is_obsolete(&releases));
    if is_obsolete {
        void_crashes(node, &job.fingerprint, "no runner is left of the releases that it has ended");
    }
    !is_obsolete
}

/// What becomes of a request at present, as far as this node alone can tell. A run that is
/// let begin counts from now.
pub(crate) fn decide(node: &Node, job: &Job) -> Ruling {
    let level = node.suspects.lock().level(&job.fingerprint);
    let (candidates, now) = (count_takers(node, job), node.now());
    let mut trials = node.trials.lock();
    let ruling = trials.decide(&job.fingerprint, level, candidates, now);
    if ruling == Ruling::Trial {
        trials.start(job.fingerprint, None, now);
    }
    ruling
}

/// Waits until a request is found to end runners; forever if it is not.
pub(crate) async fn wait_until_deadly(node: &Node, job: &Job) {
    let mut found = node.deadly_found.subscribe();
    while !is_deadly(node, job) {
        if found.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
