//! Telling the other nodes what this one has in flight at each group, and learning
//! what they have: a node tells the collector of its hall, collectors tell each
//! other.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::occupancy::{InFlight, Report, ReportReply, Scope};
use cottoncrank_net::client::{Client, Traffic};
use tokio::task::JoinSet;

use crate::avoid::Avoided;
use crate::news;
use crate::peer;
use crate::retries;
use crate::state::Node;
use crate::throttle;

/// The least pause between two reports of a node. Within it several requests end
/// only at a node that has many.
const PERIOD: Millis = Millis(50);

/// The pause of a collector between what it tells those of the other halls: by then a
/// busy group has begun some two requests.
const PERIOD_HALLS: Millis = Millis(150);

/// The longest pause between two reports; three of them fit into the time for
/// which a report counts.
const PERIOD_MAX: Millis = Millis(500);

/// How long a collector may take to answer: much more than the way there and back.
const ANSWER: Millis = Millis(150);

/// A collector that does not answer is not told for this long.
const AVOID: Millis = Millis(2000);

/// Tells and learns until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    loop {
        let settings = node.settings();
        node.unreachable_for_reports.lock().forget(node.now());
        throttle::remove_gone(&node);
        let collector = find_collector(&node, &settings.hall, &node.unreachable_for_reports.lock());
        let failed = match collector {
            Some(collector) if collector.node != settings.node => {
                let told = tell(&node, &client, &collector).await;
                if told.is_ok() {
                    node.presence.lock().stop_collecting();
                    node.retry_pool.lock().reset();
                }
                told.err().into_iter().collect()
            }
            _ => tell_halls(&node, &client, list_others(&node, &settings.hall)).await,
        };
        for name in failed {
            node.unreachable_for_reports.lock().add(name, node.now() + AVOID);
        }
        wait_turn(&node).await;
    }
}

/// Waits until a report is due: as a collector soon, else once a request has ended.
async fn wait_turn(node: &Node) {
    if node.reports.lock().count_nodes(node.now()) > 0 {
        return tokio::time::sleep(PERIOD_HALLS.duration()).await;
    }
    tokio::time::sleep(PERIOD.duration()).await;
    // Either way a report is due then.
    let _ = tokio::time::timeout((PERIOD_MAX - PERIOD).duration(), node.flight_ended.notified()).await;
}

/// The collector of a hall.
pub(crate) fn find_collector(node: &Node, hall: &id::Hall, avoided: &Avoided) -> Option<Peer> {
    let directory = node.directory.lock();
    let mut ranked = directory.list_collectors(hall).into_iter();
    ranked.find(|peer| !avoided.contains(&peer.node)).cloned()
}

/// The collectors of the other halls.
fn list_others(node: &Node, hall: &id::Hall) -> Vec<Peer> {
    let halls: Vec<id::Hall> = node.directory.lock().list_halls().into_iter().cloned().collect();
    let others = halls.iter().filter(|other| *other != hall);
    others.filter_map(|other| find_collector(node, other, &node.unreachable_for_reports.lock())).collect()
}

/// Tells the collector of this hall. Returns its name if it does not answer.
async fn tell(node: &Node, client: &Client, collector: &Peer) -> Result<(), id::Node> {
    let asked = node.now();
    let report = write_report(node, Scope::Node, node.sum_in_flight());
    let told = peer::send_report(node, client, collector, &report, ANSWER).await;
    match told {
        Ok(reply) => {
            news::take(node, &reply.feedback, Scope::Hall);
            put_view(node, reply.sum, asked);
            Ok(())
        }
        Err(error) => {
            log::info!("collect: {} is not told for {AVOID}: {error}", collector.node);
            Err(collector.node.clone())
        }
    }
}

/// As the collector of this hall, tells those of the others. Returns the names of
/// those that do not answer.
async fn tell_halls(node: &Arc<Node>, client: &Client, others: Vec<Peer>) -> Vec<id::Node> {
    let asked = node.now();
    node.presence.lock().start_collecting();
    retries::update_pool(node);
    let sum = node.reports.lock().sum_hall(&node.sum_in_flight(), asked);
    let mut telling = JoinSet::new();
    for collector in others {
        let (node, client) = (node.clone(), client.clone());
        let report = write_report(&node, Scope::Hall, sum.clone());
        telling.spawn(async move {
            let told = peer::send_report(&node, &client, &collector, &report, ANSWER).await;
            told.map_err(|error| {
                log::info!("collect: {} is not told for {AVOID}: {error}", collector.node);
                collector.node
            })
        });
    }
    let outcomes = telling.join_all().await;
    put_view(node, sum_others(node, &InFlight::default(), Scope::Node), asked);
    outcomes.into_iter().filter_map(Result::err).collect()
}

fn put_view(node: &Node, others: InFlight, asked: Millis) {
    let known = node.directory.lock().count();
    node.fleet_load.lock().update(others, known, asked);
}

/// What this node tells a collector.
pub fn write_report(node: &Node, scope: Scope, sum: InFlight) -> Report {
    let settings = node.settings();
    let doubted = node.list_doubted();
    Report {
        node: settings.node.clone(),
        hall: settings.hall.clone(),
        scope,
        sum,
        doubted,
        feedback: news::tell(node, scope),
        wants: throttle::list_demands(node, scope),
    }
}

/// Takes a report in. Returns what its sender is not told by others: a node what
/// all others have in flight, a collector what this hall has.
pub fn take(node: &Node, report: Report) -> ReportReply {
    let (scope, own) = (report.scope, report.sum.clone());
    note(node, report);
    let mut sum = sum_others(node, &node.sum_in_flight(), scope);
    if scope == Scope::Node {
        sum.subtract(&own);
    }
    ReportReply { sum, feedback: news::answer(node, scope) }
}

/// Keeps what a report says.
pub fn note(node: &Node, report: Report) {
    let now = node.now();
    news::take(node, &report.feedback, report.scope);
    match report.scope {
        Scope::Node => node.presence.lock().record_report(&report.node, now),
        Scope::Hall => {
            node.presence.lock().record_hall_report(&report.hall, now);
            node.allocations.lock().receive_demands(&report.hall, &report.wants);
        }
    }
    node.reports.lock().insert(report, now);
}

fn sum_others(node: &Node, own: &InFlight, scope: Scope) -> InFlight {
    let (reports, now) = (node.reports.lock(), node.now());
    let mut sum = reports.sum_hall(own, now);
    if scope == Scope::Node {
        sum.add(&reports.sum_others(now));
    }
    sum
}
