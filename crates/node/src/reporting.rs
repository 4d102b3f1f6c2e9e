//! Exchanges in-flight reports with other nodes.
//!
//! A report holds the number of requests in flight at each group. A node reports to the collector of its
//! hall, and collectors report to each other. The replies hold the in-flight requests of other nodes.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::occupancy::{InFlight, Report, ReportReply, Scope};
use cottoncrank_net::client::{Client, Traffic};
use tokio::task::JoinSet;

use crate::denylist::Denylist;
use crate::feedback;
use crate::peer;
use crate::retries;
use crate::state::Node;
use crate::throttle;

/// The minimum pause between two reports of a node. Several requests end within this time
/// only at a busy node.
const MIN_REPORT_INTERVAL: Millis = Millis(50);

/// The pause of a collector between its reports to the collectors of other halls. A busy group starts
/// about two requests within it.
const HALL_REPORT_INTERVAL: Millis = Millis(150);

/// The maximum pause between two reports. Three of these pauses fit into the time for which a report is
/// valid.
const MAX_REPORT_INTERVAL: Millis = Millis(500);

/// The timeout of a report. It is much longer than the round trip.
const REPLY_TIMEOUT: Millis = Millis(150);

/// How long a collector that did not answer gets no reports.
const RETRY_DELAY: Millis = Millis(2000);

/// Sends reports until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    loop {
        let settings = node.settings();
        node.unreachable_for_reports.lock().evict_expired(node.now());
        throttle::remove_gone(&node);
        retries::update_allowance(&node);
        let collector = find_collector(&node, &settings.hall, &node.unreachable_for_reports.lock());
        let failed = match collector {
            Some(collector) if collector.node != settings.node => {
                let outcome = send_report(&node, &client, &collector).await;
                if outcome.is_ok() {
                    node.presence.lock().stop_collecting();
                    node.retry_pool.lock().reset();
                }
                outcome.err().into_iter().collect()
            }
            _ => send_hall_reports(&node, &client, list_other_collectors(&node, &settings.hall)).await,
        };
        for name in failed {
            node.unreachable_for_reports.lock().insert(name, node.now() + RETRY_DELAY);
        }
        wait_until_due(&node).await;
    }
}

/// Waits until the next report is due: at a collector after a fixed interval, at another node when a
/// request has ended, within the minimum and maximum interval.
async fn wait_until_due(node: &Node) {
    if node.reports.lock().count_nodes(node.now()) > 0 {
        return tokio::time::sleep(HALL_REPORT_INTERVAL.duration()).await;
    }
    tokio::time::sleep(MIN_REPORT_INTERVAL.duration()).await;
    // A report is due in either case, so the outcome is unused.
    let _ = tokio::time::timeout(
        (MAX_REPORT_INTERVAL - MIN_REPORT_INTERVAL).duration(),
        node.attempt_ended.notified(),
    )
    .await;
}

/// Finds the collector of a hall: the first candidate that is not on the denylist.
pub(crate) fn find_collector(node: &Node, hall: &id::Hall, denylist: &Denylist) -> Option<Peer> {
    let directory = node.directory.lock();
    let mut ranked = directory.list_collectors(hall).into_iter();
    ranked.find(|peer| !denylist.contains(&peer.node)).cloned()
}

/// Lists the collectors of the other halls.
fn list_other_collectors(node: &Node, hall: &id::Hall) -> Vec<Peer> {
    let halls: Vec<id::Hall> = node.directory.lock().list_halls().into_iter().cloned().collect();
    let other_halls = halls.iter().filter(|other| *other != hall);
    other_halls
        .filter_map(|other| find_collector(node, other, &node.unreachable_for_reports.lock()))
        .collect()
}

/// Reports to the collector of this hall. Returns the collector's name as the error if it does not answer.
async fn send_report(node: &Node, client: &Client, collector: &Peer) -> Result<(), id::Node> {
    let sent = node.now();
    let report = build_report(node, Scope::Node, node.sum_in_flight());
    let outcome = peer::send_report(node, client, collector, &report, REPLY_TIMEOUT).await;
    match outcome {
        Ok(reply) => {
            feedback::apply_digest(node, &reply.feedback, Scope::Hall);
            store_fleet_load(node, reply.sum, sent);
            Ok(())
        }
        Err(error) => {
            log::info!(
                "collect: {} is not told of in-flight requests for {RETRY_DELAY}: {error}",
                collector.node
            );
            Err(collector.node.clone())
        }
    }
}

/// Reports, as the collector of this hall, to the collectors of other halls. Returns the names of those
/// that do not answer.
async fn send_hall_reports(node: &Arc<Node>, client: &Client, others: Vec<Peer>) -> Vec<id::Node> {
    let sent = node.now();
    node.presence.lock().start_collecting();
    retries::update_pool(node);
    let own_in_flight = node.sum_in_flight();
    let sum = node.reports.lock().sum_hall(&own_in_flight, sent);
    let mut sending = JoinSet::new();
    for collector in others {
        let (node, client) = (node.clone(), client.clone());
        let report = build_report(&node, Scope::Hall, sum.clone());
        sending.spawn(async move {
            let outcome = peer::send_report(&node, &client, &collector, &report, REPLY_TIMEOUT).await;
            outcome.map_err(|error| {
                log::info!(
                    "collect: {} is not told of in-flight requests for {RETRY_DELAY}: {error}",
                    collector.node
                );
                collector.node
            })
        });
    }
    let outcomes = sending.join_all().await;
    store_fleet_load(node, sum_others(node, &InFlight::default(), Scope::Node), sent);
    outcomes.into_iter().filter_map(Result::err).collect()
}

/// Stores the in-flight requests of the other nodes, as of the time `sent` of the report.
fn store_fleet_load(node: &Node, others: InFlight, sent: Millis) {
    let known = node.directory.lock().count();
    node.fleet_load.lock().update(others, known, sent);
}

/// Builds this node's report to a collector.
pub fn build_report(node: &Node, scope: Scope, sum: InFlight) -> Report {
    let settings = node.settings();
    let doubted = node.list_doubted();
    Report {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        scope,
        sum,
        doubted,
        feedback: feedback::build_digest(node, scope),
        wants: throttle::list_demands(node, scope),
    }
}

/// Records a report and returns the reply. The reply holds what the sender gets from no other node: for
/// a node the in-flight requests of all other nodes, for a collector those of this hall.
pub fn receive_report(node: &Node, report: Report) -> ReportReply {
    let (scope, sender_in_flight) = (report.scope, report.sum.clone());
    record_report(node, report);
    let mut sum = sum_others(node, &node.sum_in_flight(), scope);
    if scope == Scope::Node {
        sum.subtract(&sender_in_flight);
    }
    ReportReply { sum, feedback: feedback::build_reply_digest(node, scope) }
}

/// Records the content of a report.
pub fn record_report(node: &Node, report: Report) {
    let now = node.now();
    feedback::apply_digest(node, &report.feedback, report.scope);
    match report.scope {
        Scope::Node => node.presence.lock().record_report(&report.node, now),
        Scope::Hall => {
            node.presence.lock().record_hall_report(&report.hall, now);
            node.allocations.lock().receive_demands(&report.hall, &report.wants);
        }
    }
    node.reports.lock().insert(report, now);
}

/// Sums up the in-flight requests of this hall, for a node also those of other halls.
fn sum_others(node: &Node, own_in_flight: &InFlight, scope: Scope) -> InFlight {
    let (reports, now) = (node.reports.lock(), node.now());
    let mut sum = reports.sum_hall(own_in_flight, now);
    if scope == Scope::Node {
        sum.add(&reports.sum_others(now));
    }
    sum
}
