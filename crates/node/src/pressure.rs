//! As a collector, counts the requests refused or kept waiting for want of room, and reports them to the
//! decider.

use std::sync::Arc;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::pressure::{Outcome, Pressure, REPORT_INTERVAL, Recorder, Report, Table};
use cottoncrank_net::client::{CallError, Client, Traffic};
use hyper::StatusCode;
use parking_lot::Mutex;

use crate::denylist::Denylist;
use crate::peer;
use crate::state::Node;

/// How long a decider of an earlier build is sent no reports.
const FORMER_BUILD_TIME: Millis = Millis(10_000);

/// The timeout of a report. It is short because the next one follows soon.
const REPORT_TIMEOUT: Millis = Millis(150);

/// The counts of this node and, on the decider, the reports received.
#[derive(Default)]
pub(crate) struct State {
    recorder: Mutex<Recorder>,
    table: Mutex<Table>,
    /// Deciders of an earlier build, which do not know these reports.
    former_builds: Mutex<Denylist>,
}

/// As the collector, counts a request for a model that was admitted or refused.
pub(crate) fn record(node: &Node, service: &id::Service, model: &id::Model, priority: u8, outcome: Outcome) {
    node.pressure.recorder.lock().record(service, model, priority, outcome, node.now());
}

/// Sends reports to the decider until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    loop {
        tokio::time::sleep(REPORT_INTERVAL.duration()).await;
        let rows = node.pressure.recorder.lock().take(node.now());
        if rows.is_empty() {
            continue;
        }
        let report = Report { hall: node.settings().hall.clone(), rows };
        if node.is_deciding() {
            receive(&node, report);
        } else if let Some(decider) = find_decider(&node) {
            send(&node, &client, &decider, &report).await;
        }
    }
}

/// Returns the decider, unless it is of an earlier build.
fn find_decider(node: &Node) -> Option<Peer> {
    let name = node.decider.borrow().as_ref().filter(|holder| holder.leased)?.node.clone()?;
    let mut former_builds = node.pressure.former_builds.lock();
    former_builds.evict_expired(node.now());
    if former_builds.contains(&name) {
        return None;
    }
    node.directory.lock().get(&name).cloned()
}

async fn send(node: &Node, client: &Client, decider: &Peer, report: &Report) {
    match peer::send_pressure(client, decider, report, REPORT_TIMEOUT).await {
        Ok(()) => {}
        Err(CallError::Status { status: StatusCode::BAD_REQUEST, .. }) => {
            log::info!("pressure: decider {} is of an earlier build", decider.node);
            node.pressure.former_builds.lock().insert(decider.node.clone(), node.now() + FORMER_BUILD_TIME);
        }
        Err(error) => log::info!("pressure: decider {} is not told of refusals: {error}", decider.node),
    }
}

/// Records a report, as the decider.
pub(crate) fn receive(node: &Node, report: Report) {
    node.pressure.table.lock().insert(report, node.now());
}

/// As the decider, returns the recent requests for a service by how they fared.
pub(crate) fn sum(node: &Node, catalog: &Catalog, service: &id::Service) -> Pressure {
    Pressure {
        strains: node.pressure.table.lock().sum(service, node.now()),
        priorities: catalog.has_priorities(service),
    }
}
