//! As the collector of a hall, recognizes callers that return as told, and plans when refused ones
//! should return. The plans are held by the collector only: a new one takes each caller for one that
//! comes for the first time.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::Model;
use cottoncrank_fleet::dispatch::{Query, Reply, Urgency};
use cottoncrank_fleet::returns::{Arrival, Caller, DEFAULT_REMAINING, Drain, Openings, Plan, Returns};
use parking_lot::Mutex;

use crate::state::Node;
use crate::telemetry;

/// The time between two log lines about the returns to a model.
const LOG_INTERVAL: Millis = Millis(1000);

/// The returns to the models of this hall.
#[derive(Default)]
pub(crate) struct State(Mutex<Inner>);

#[derive(Default)]
struct Inner {
    models: HashMap<(id::Service, id::Model), Row>,
    openings: Openings,
}

#[derive(Default)]
struct Row {
    returns: Returns,
    /// The plans since the last log line.
    planned: u64,
    /// Those of them with a reserved place.
    kept: u64,
    /// When the last log line was written.
    logged: Millis,
}

/// Records the arrival of a request, and tells whether its caller returns as told.
pub(crate) fn classify(node: &Node, query: &Query) -> Arrival {
    let key = (query.service.clone(), query.model.clone());
    let mut inner = node.returns.0.lock();
    let row = inner.models.entry(key).or_default();
    let arrival = row.returns.classify(&query.fingerprint, node.now());
    telemetry::count_returns("never", row.returns.take_expired().never);
    match arrival {
        Arrival::First => {}
        Arrival::Due => telemetry::count_returns("due", 1),
        Arrival::Early(_) => telemetry::count_returns("early", 1),
        Arrival::Late(_) => telemetry::count_returns("late", 1),
    }
    arrival
}

/// Returns how soon a request needs its first event. For a caller that returns as told the wanted time is
/// over already, so any first event within its remaining time will do.
pub(crate) fn relax_urgency(query: &Query, arrival: Arrival) -> Urgency {
    let remaining = query.patience.unwrap_or(DEFAULT_REMAINING);
    match (query.urgency, arrival) {
        (Urgency::Within(target), Arrival::Due) => Urgency::Within(remaining.0.max(target)),
        (urgency, _) => urgency,
    }
}

/// Returns the time until the earliest possible first event if a reply refuses a request because all
/// groups are full or none is open.
pub(crate) fn read_shortage(node: &Node, query: &Query, reply: Reply) -> Option<Millis> {
    match reply {
        Reply::Full(wait) => Some(Millis(wait)),
        Reply::Unknown => estimate_opening(node, query),
        _ => None,
    }
}

/// Plans when the caller of a refused request should return. `wait` is the time until its earliest
/// possible first event.
pub(crate) fn plan(node: &Node, query: &Query, arrival: Arrival, wait: Millis) -> Millis {
    if arrival == Arrival::Due {
        telemetry::count_returns("due_refused", 1);
    }
    let backlog = match query.urgency {
        Urgency::Within(target) => wait.since(Millis(target)),
        Urgency::Again => wait,
    };
    let drain = Drain { backlog, opening: estimate_opening(node, query) };
    let caller = Caller { fingerprint: query.fingerprint, remaining: query.patience };
    let now = node.now();
    let mut inner = node.returns.0.lock();
    let row = inner.models.entry((query.service.clone(), query.model.clone())).or_default();
    let plan = row.returns.plan(&caller, &drain, now);
    telemetry::record_retry_after(plan.retry);
    row.log(&query.model, plan, &drain, now);
    plan.retry
}

/// Returns the time until a group of the model opens, if none is open.
fn estimate_opening(node: &Node, query: &Query) -> Option<Millis> {
    let model = find_model(node, query)?;
    let (roster, plans) = (node.roster.lock(), node.plans.lock());
    let openings = &mut node.returns.0.lock().openings;
    openings.estimate(&query.service, &model, &roster, &plans, node.now())
}

fn find_model(node: &Node, query: &Query) -> Option<Model> {
    let catalog = node.catalog.lock().clone()?;
    let engine = catalog.find_service(&query.service)?.engine.as_ref()?;
    engine.models.iter().find(|model| model.name == query.model).cloned()
}

impl Row {
    /// Logs what refused callers are told and why, at most once in an interval.
    fn log(&mut self, model: &id::Model, plan: Plan, drain: &Drain, now: Millis) {
        self.planned += 1;
        self.kept += u64::from(plan.kept);
        if now < self.logged + LOG_INTERVAL {
            return;
        }
        let (summary, opening) = (self.returns.summarize(now), drain.opening);
        let opening = opening.map_or("none".to_owned(), |opening| opening.to_string());
        log::info!(
            "returns: {model}: told {} to return, {} of them to a place; the last in {} (backlog {}, {} for returns, the next group in {opening}, {} remembered)",
            self.planned,
            self.kept,
            plan.retry,
            drain.backlog,
            summary.rate,
            summary.entries
        );
        (self.planned, self.kept, self.logged) = (0, 0, now);
    }
}
