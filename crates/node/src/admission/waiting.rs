//! Holds the requests that wait for a place, as the collector of a hall.
//!
//! The call of a waiting request stays open until it has an answer. Meanwhile the task of the call advances
//! the queue of the model every few milliseconds, so no timer runs while no request waits. If the call is
//! closed, its request leaves the queue.

use std::collections::{BTreeMap, HashMap};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::admission::class::Class;
use cottoncrank_fleet::admission::decision::{
    Counts, Decision, Outcome, Refusal, Request, Settled, Ticket, Verdict,
};
use cottoncrank_fleet::admission::queue::Queue;
use cottoncrank_fleet::admission::{Query, Reply};
use cottoncrank_fleet::dispatch::{self as choice, Urgency};
use cottoncrank_fleet::feedback::Digest;
use cottoncrank_fleet::occupancy::InFlight;
use cottoncrank_fleet::pressure::Outcome as PressureOutcome;
use cottoncrank_fleet::returns::Arrival;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::dispatch::{choose_group, judge_group, record_query};
use crate::pressure;
use crate::returns;
use crate::state::Node;
use crate::telemetry;

/// How often a queue with waiting requests is advanced. It is short against the tens of milliseconds in
/// which a busy group opens a place, because a hall has several groups of a model.
const ADVANCE_INTERVAL: Millis = Millis(4);

/// The most requests that wait on this node: four models with a full queue.
const MAX_WAITERS: usize = 384;

/// A queue's service and model.
pub type Key = (id::Service, id::Model);

/// What a request asked for, and whether its caller returns as told.
#[derive(Clone)]
struct Asked {
    query: choice::Query,
    class: Class,
    arrival: Arrival,
}

impl Asked {
    /// Plans the return of the caller, and returns the refusal that tells it. `wait` is the time until the
    /// earliest possible first event, `drain` the time until all waiting requests have a place.
    fn plan_return(&self, node: &Node, wait: Millis, drain: Millis) -> Reply {
        self.record(node, PressureOutcome::Refused);
        let retry = returns::plan(node, &self.query, self.arrival, drain);
        Reply::Return { wait: wait.0, retry }
    }

    /// Counts the request by its outcome, for the reports to the decider.
    fn record(&self, node: &Node, outcome: PressureOutcome) {
        pressure::record(node, &self.query.service, &self.query.model, self.class.0, outcome);
    }

    fn refuse(&self, node: &Node, refusal: &Refusal) -> Reply {
        self.plan_return(node, Millis(refusal.wait), refusal.drain_time())
    }

    /// Subtracts a wait from the remaining time of the caller.
    fn after_wait(mut self, waited: Millis) -> Asked {
        self.query.patience = self.query.patience.map(|patience| patience.since(waited));
        self
    }
}

/// A held request.
struct Held {
    asked: Asked,
    sender: oneshot::Sender<Reply>,
}

/// The queue of a model, and when it was last advanced.
#[derive(Default)]
struct ModelQueue {
    queue: Queue<Held>,
    advanced: Millis,
}

/// The queues of the models of which requests arrived here.
#[derive(Default)]
pub(crate) struct Queues(Mutex<HashMap<Key, ModelQueue>>);

impl Queues {
    /// Returns how many requests wait, by model and priority.
    pub(crate) fn count_waiting(&self) -> Vec<(id::Model, u8, usize)> {
        let mut counts = Vec::new();
        for ((_, model), row) in self.0.lock().iter() {
            let waiting = row.queue.count_waiting();
            counts.extend(waiting.into_iter().map(|(priority, count)| (model.clone(), priority, count)));
        }
        counts
    }
}

impl Node {
    /// As the collector, returns how many requests wait.
    pub fn count_admission_waiting(&self) -> usize {
        self.admission.queues.0.lock().values().map(|row| row.queue.len()).sum()
    }

    /// As the collector, returns the requests that asked, waited and were refused since the last call, by
    /// queue and priority.
    pub fn take_admission_counts(&self) -> HashMap<Key, BTreeMap<u8, Counts>> {
        let mut rows = self.admission.queues.0.lock();
        rows.iter_mut().map(|(key, row)| (key.clone(), row.queue.take_counts())).collect()
    }
}

/// Takes a waiting request out of the queue when it is dropped.
struct LeaveGuard<'a> {
    node: &'a Node,
    key: Key,
    ticket: Ticket,
    class: Class,
}

impl Drop for LeaveGuard<'_> {
    fn drop(&mut self) {
        let mut rows = self.node.admission.queues.0.lock();
        if rows.get_mut(&self.key).is_some_and(|row| row.queue.leave(self.ticket)) {
            telemetry::count_admission(&self.key.1, self.class.0, "left");
        }
    }
}

/// Admits a request of this hall, holds it for a short time, or refuses it.
pub(crate) async fn admit(node: &Node, query: Query) -> Reply {
    if query.choice.urgency == Urgency::Again {
        return Reply::Chosen(choose_group(node, &query.choice));
    }
    record_query(node, &query.choice);
    let arrival = returns::classify(node, &query.choice);
    let key = (query.choice.service.clone(), query.choice.model.clone());
    let request = build_request(node, &query);
    let class = request.class;
    let asked = Asked { query: strip(query.choice), class, arrival };
    if arrival == Arrival::Due {
        return admit_due(node, &asked);
    }
    let (sender, mut receiver) = oneshot::channel();
    let held = Held { asked: asked.clone(), sender };
    advance(node, &key);
    match arrive(node, &key, request, held) {
        Decision::Answer(reply) => build_reply(node, &asked, reply, PressureOutcome::Taken),
        Decision::Refuse(refusal) => {
            report_refusal(&key, class, &asked.query.fingerprint.to_string(), &refusal, Millis(0));
            asked.refuse(node, &refusal)
        }
        Decision::Wait(ticket, _) => {
            let _guard = LeaveGuard { node, key: key.clone(), ticket, class };
            let reply = wait(node, &key, &mut receiver).await;
            reply.unwrap_or(Reply::Chosen(choice::Reply::Unknown))
        }
    }
}

/// Hands a request to the queue of its model. It may wait unless too many wait on this node, or the node
/// is about to stop.
fn arrive(node: &Node, key: &Key, request: Request, held: Held) -> Decision<choice::Reply> {
    let mut rows = node.admission.queues.0.lock();
    let waiting: usize = rows.values().map(|row| row.queue.len()).sum();
    let may_wait = waiting < MAX_WAITERS && !*node.draining.borrow();
    let row = rows.entry(key.clone()).or_default();
    row.queue.arrive(request, held, may_wait, node.now(), |held, within| judge(node, held, within))
}

/// Admits a request whose caller returns as told. It goes before all waiting requests, and any first event
/// within the remaining time of its caller will do. Its place is one that the order of return gave away, so
/// it counts neither in the queue's rates nor for its account.
fn admit_due(node: &Node, asked: &Asked) -> Reply {
    let urgency = returns::relax_urgency(&asked.query, asked.arrival);
    let chosen = choose(node, &choice::Query { urgency, ..asked.query.clone() });
    build_reply(node, asked, chosen, PressureOutcome::Taken)
}

/// Waits for the answer to a held request.
async fn wait(node: &Node, key: &Key, receiver: &mut oneshot::Receiver<Reply>) -> Option<Reply> {
    let mut draining = node.draining.subscribe();
    let mut ticks = tokio::time::interval(ADVANCE_INTERVAL.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            reply = &mut *receiver => return reply.ok(),
            _ = draining.wait_for(|draining| *draining) => close(node, key),
            _ = ticks.tick() => advance(node, key),
        }
    }
}

/// Gives places to the waiting requests of a model, and refuses those that get none in time.
fn advance(node: &Node, key: &Key) {
    let now = node.now();
    let settled = {
        let mut rows = node.admission.queues.0.lock();
        let Some(row) = rows.get_mut(key) else { return };
        // Each waiting request has a timer, and the queue is advanced once in an interval.
        if row.queue.is_empty() || now < row.advanced + ADVANCE_INTERVAL {
            return;
        }
        row.advanced = now;
        row.queue.advance(now, |held, within| judge(node, held, within))
    };
    answer(node, key, settled);
}

/// Refuses all waiting requests of a model, because this node stops.
fn close(node: &Node, key: &Key) {
    let settled = {
        let mut rows = node.admission.queues.0.lock();
        let Some(row) = rows.get_mut(key) else { return };
        row.queue.close(node.now())
    };
    answer(node, key, settled);
}

/// Sends the answers to requests that waited.
fn answer(node: &Node, key: &Key, settled: Vec<Settled<Held, choice::Reply>>) {
    for Settled { payload, class, waited, outcome } in settled {
        let Held { asked, sender } = payload;
        let fingerprint = asked.query.fingerprint;
        let asked = asked.after_wait(waited);
        telemetry::record_admission_wait(&key.1, class.0, waited);
        let reply = match outcome {
            Outcome::Answer(reply) => {
                telemetry::count_admission(&key.1, class.0, "served");
                log::info!("admission: request {fingerprint} has a place after {waited}");
                build_reply(node, &asked, reply, PressureOutcome::Waited)
            }
            Outcome::Refuse(refusal) => {
                report_refusal(key, class, &fingerprint.to_string(), &refusal, waited);
                asked.refuse(node, &refusal)
            }
        };
        if sender.send(reply).is_err() {
            log::debug!("admission: request {fingerprint} left as it was answered");
        }
    }
}

/// Returns whether a held request has a place whose first event is predicted within a time.
fn judge(node: &Node, held: &Held, within: Millis) -> Verdict<choice::Reply> {
    let urgency = Urgency::Within(within.0);
    let reply = choose(node, &choice::Query { urgency, ..held.asked.query.clone() });
    match reply {
        choice::Reply::Take(_) => Verdict::Take(reply),
        choice::Reply::Full(wait) => Verdict::Full(wait),
        choice::Reply::Unknown
        | choice::Reply::Throttled(_)
        | choice::Reply::Held
        | choice::Reply::Deadly => Verdict::Other(reply),
    }
}

/// Chooses a group, and counts the request there.
fn choose(node: &Node, query: &choice::Query) -> choice::Reply {
    let reply = judge_group(node, query);
    if let choice::Reply::Take(assignment) = reply {
        node.reports.lock().begin_request(&query.report.node, assignment.epoch);
    }
    reply
}

fn build_request(node: &Node, query: &Query) -> Request {
    let left = match query.choice.urgency {
        Urgency::Within(left) => Millis(left),
        Urgency::Again => Millis(0),
    };
    Request {
        class: (query.priority, query.route_priority),
        flow: query.account.clone(),
        left,
        tokens: f64::from(query.choice.prompt) + find_usual_answer(node, &query.choice),
    }
}

/// Returns the number of tokens of a usual answer.
fn find_usual_answer(node: &Node, query: &choice::Query) -> f64 {
    let catalog = node.catalog.lock();
    let service = catalog.as_ref().and_then(|catalog| catalog.find_service(&query.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(0.0, |engine| engine.speed.usual_answer_tokens)
}

/// Drops the parts of a query that have been recorded on arrival and are not needed while it waits.
fn strip(mut query: choice::Query) -> choice::Query {
    query.report.sum = InFlight::default();
    query.report.doubted = Vec::new();
    query.report.feedback = Digest::default();
    query.report.wants = Vec::new();
    query.samples = Vec::new();
    query
}

/// Returns the reply for a choice. A request that has a place is counted as `taken`. If there is no place
/// or no open group, the caller is told when to return.
fn build_reply(node: &Node, asked: &Asked, chosen: choice::Reply, taken: PressureOutcome) -> Reply {
    if let choice::Reply::Take(_) = chosen {
        asked.record(node, taken);
    }
    match returns::read_shortage(node, &asked.query, chosen) {
        Some(wait) => asked.plan_return(node, wait, wait),
        None => Reply::Chosen(chosen),
    }
}

fn report_refusal(key: &Key, class: Class, fingerprint: &str, refusal: &Refusal, waited: Millis) {
    telemetry::count_admission(&key.1, class.0, refusal.reason.name());
    log::info!(
        "admission: request {fingerprint} refused after {waited}: {}, {} of {} waiting for {} ahead of it, {:.0} places/s at priority {}.{}, {} left, first event {}ms away",
        refusal.reason.name(),
        refusal.ahead,
        refusal.length,
        key.1,
        refusal.rate,
        class.0,
        class.1,
        refusal.left,
        refusal.wait,
    );
}
