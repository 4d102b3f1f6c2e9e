//! Telling the other nodes what this one has in flight at each group, and learning
//! what they have: a node tells the collector of its hall, collectors tell each
//! other.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::occupancy::{Reply, Report, Scope, Sum};
use cottoncrank_net::client::{Client, Traffic};
use tokio::task::JoinSet;

use crate::denylist::Denylist;
use crate::feedback;
use crate::peer;
use crate::retries;
use crate::state::Node;
use crate::throttle;

/// The least pause between two reports of a node. Within it several requests end
/// only at a node that has many.
const MIN_REPORT_INTERVAL: Millis = Millis(50);

/// The pause of a collector between what it tells those of the other halls: by then a
/// busy group has begun some two requests.
const HALL_REPORT_INTERVAL: Millis = Millis(150);

/// The longest pause between two reports; three of them fit into the time for
/// which a report counts.
const MAX_REPORT_INTERVAL: Millis = Millis(500);

/// How long a collector may take to answer: much more than the way there and back.
const REPLY_TIMEOUT: Millis = Millis(150);

/// A collector that does not answer is not told for this long.
const RETRY_DELAY: Millis = Millis(2000);

/// Tells and learns until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    loop {
        let settings = node.settings();
        node.untold.lock().evict_expired(node.now());
        throttle::forget(&node);
        let collector = find_collector(&node, &settings.hall, &node.untold.lock());
        let failed = match collector {
            Some(collector) if collector.node != settings.node => {
                let outcome = send_report(&node, &client, &collector).await;
                if outcome.is_ok() {
                    node.presence.lock().stop_collecting();
                    node.pool.lock().resign();
                }
                outcome.err().into_iter().collect()
            }
            _ => send_hall_reports(&node, &client, list_other_collectors(&node, &settings.hall)).await,
        };
        for name in failed {
            node.untold.lock().insert(name, node.now() + RETRY_DELAY);
        }
        wait_until_due(&node).await;
    }
}

/// Waits until a report is due: as a collector soon, else once a request has ended.
async fn wait_until_due(node: &Node) {
    if node.reports.lock().count_nodes(node.now()) > 0 {
        return tokio::time::sleep(HALL_REPORT_INTERVAL.duration()).await;
    }
    tokio::time::sleep(MIN_REPORT_INTERVAL.duration()).await;
    // Either way a report is due then.
    let _ = tokio::time::timeout(
        (MAX_REPORT_INTERVAL - MIN_REPORT_INTERVAL).duration(),
        node.flight_ended.notified(),
    )
    .await;
}

/// The collector of a hall.
pub(crate) fn find_collector(node: &Node, hall: &id::Hall, denylist: &Denylist) -> Option<Peer> {
    let directory = node.directory.lock();
    let mut ranked = directory.list_collectors(hall).into_iter();
    ranked.find(|peer| !denylist.contains(&peer.node)).cloned()
}

/// The collectors of the other halls.
fn list_other_collectors(node: &Node, hall: &id::Hall) -> Vec<Peer> {
    let halls: Vec<id::Hall> = node.directory.lock().list_halls().into_iter().cloned().collect();
    let other_halls = halls.iter().filter(|other| *other != hall);
    other_halls.filter_map(|other| find_collector(node, other, &node.untold.lock())).collect()
}

/// Tells the collector of this hall. Returns its name if it does not answer.
async fn send_report(node: &Node, client: &Client, collector: &Peer) -> Result<(), id::Node> {
    let sent = node.now();
    let report = build_report(node, Scope::Node, node.sum_in_flight());
    let outcome = peer::report(node, client, collector, &report, REPLY_TIMEOUT).await;
    match outcome {
        Ok(reply) => {
            feedback::apply_digest(node, &reply.news, Scope::Hall);
            store_fleet_load(node, reply.sum, sent);
            Ok(())
        }
        Err(error) => {
            log::info!("collect: {} is not told for {RETRY_DELAY}: {error}", collector.node);
            Err(collector.node.clone())
        }
    }
}

/// As the collector of this hall, tells those of the others. Returns the names of
/// those that do not answer.
async fn send_hall_reports(node: &Arc<Node>, client: &Client, others: Vec<Peer>) -> Vec<id::Node> {
    let sent = node.now();
    node.presence.lock().start_collecting();
    retries::keep_pool(node);
    let sum = node.reports.lock().sum_hall(&node.sum_in_flight(), sent);
    let mut sending = JoinSet::new();
    for collector in others {
        let (node, client) = (node.clone(), client.clone());
        let report = build_report(&node, Scope::Hall, sum.clone());
        sending.spawn(async move {
            let outcome = peer::report(&node, &client, &collector, &report, REPLY_TIMEOUT).await;
            outcome.map_err(|error| {
                log::info!("collect: {} is not told for {RETRY_DELAY}: {error}", collector.node);
                collector.node
            })
        });
    }
    let outcomes = sending.join_all().await;
    store_fleet_load(node, sum_others(node, &Sum::default(), Scope::Node), sent);
    outcomes.into_iter().filter_map(Result::err).collect()
}

fn store_fleet_load(node: &Node, others: Sum, sent: Millis) {
    let known = node.directory.lock().count();
    node.view.lock().put(others, known, sent);
}

/// What this node tells a collector.
pub fn build_report(node: &Node, scope: Scope, sum: Sum) -> Report {
    let settings = node.settings();
    let doubted = node.list_doubted();
    Report {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        scope,
        sum,
        doubted,
        news: feedback::build_digest(node, scope),
        wants: throttle::list_wants(node, scope),
    }
}

/// Takes a report in. Returns what its sender is not told by others: a node what
/// all others have in flight, a collector what this hall has.
pub fn receive_report(node: &Node, report: Report) -> Reply {
    let (scope, own) = (report.scope, report.sum.clone());
    record_report(node, report);
    let mut sum = sum_others(node, &node.sum_in_flight(), scope);
    if scope == Scope::Node {
        sum.subtract(&own);
    }
    Reply { sum, news: feedback::build_reply_digest(node, scope) }
}

/// Keeps what a report says.
pub fn record_report(node: &Node, report: Report) {
    let now = node.now();
    feedback::apply_digest(node, &report.news, report.scope);
    match report.scope {
        Scope::Node => node.presence.lock().record_report(&report.node, now),
        Scope::Hall => {
            node.presence.lock().record_hall_report(&report.hall, now);
            node.rations.lock().hear(&report.hall, &report.wants);
        }
    }
    node.reports.lock().put(report, now);
}

fn sum_others(node: &Node, own: &Sum, scope: Scope) -> Sum {
    let (reports, now) = (node.reports.lock(), node.now());
    let mut sum = reports.sum_hall(own, now);
    if scope == Scope::Node {
        sum.add(&reports.sum_others(now));
    }
    sum
}
