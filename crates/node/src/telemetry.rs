//! The metrics of a node and the port that serves them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::clock::Suspension;
use cottoncrank::resources::Port;
use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::Engine;
use cottoncrank_fleet::evidence::Level;
use cottoncrank_fleet::path::Outcome;
use cottoncrank_fleet::pressure::{Pressure, Strain};
use cottoncrank_fleet::waits::Waits;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpListener;

use crate::answer::{Answer, Body};
use crate::cold::ColdLog;
use crate::evacuation;
use crate::feedback::{self, Backpressure};
use crate::hall_label;
use crate::ports;
use crate::state::Node;
use crate::unread::{Reason, UnreadLog};

/// The metrics port, at the address that other nodes use. It is also written in deploy/system.toml.
pub const PORT: u16 = 9464;

/// How often gauges are sampled.
const SAMPLE_INTERVAL: Millis = Millis(1000);

/// The number of samples over which the maximum age of the proof of freshness is taken. It has to cover
/// the interval at which metrics are scraped, because a scrape sees no peak before that.
const AGE_SAMPLES: usize = 10;

/// The bounds of latency histograms, in seconds. They are densest around the targets for first events,
/// 0.15 to 0.5 s.
const LATENCY_BUCKETS: [f64; 9] = [0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Counts a request whose answer has begun or is complete. `outcome` is `answered` or the reason of the
/// refusal.
pub fn count_request(kind: &'static str, outcome: &'static str) {
    metrics::counter!("cottoncrank_requests_total", "kind" => kind, "outcome" => outcome).increment(1);
}

/// Counts a failed attempt at a runner.
pub fn count_failed_attempt(reason: &'static str) {
    metrics::counter!("cottoncrank_attempts_failed_total", "reason" => reason).increment(1);
}

/// Counts an attempt to connect to a runner.
pub fn count_connection(hall: &id::Hall, outcome: Outcome) {
    metrics::counter!("cottoncrank_runner_connections_total", "hall" => hall_label::find(hall), "outcome" => outcome.name())
        .increment(1);
}

/// Counts an attempt to connect to a runner through other nodes, by whether one of them reached it.
pub fn count_tunnel(opened: bool) {
    let outcome = if opened { "opened" } else { "unreached" };
    metrics::counter!("cottoncrank_tunnels_total", "outcome" => outcome).increment(1);
}

/// Counts a query of another node for a tunnel, by what became of it.
pub fn count_carried_tunnel(outcome: &'static str) {
    metrics::counter!("cottoncrank_carried_tunnels_total", "outcome" => outcome).increment(1);
}

/// Counts a request that the collector refused, or that waited there. `outcome` is `served`, `left` or the
/// reason of the refusal.
pub fn count_admission(model: &id::Model, priority: u8, outcome: &'static str) {
    let (model, priority) = (model.to_string(), priority.to_string());
    metrics::counter!("cottoncrank_admission_total", "model" => model, "priority" => priority, "outcome" => outcome)
        .increment(1);
}

/// Records how long a request waited at the collector.
pub fn record_admission_wait(model: &id::Model, priority: u8, waited: Millis) {
    let (model, priority) = (model.to_string(), priority.to_string());
    metrics::histogram!("cottoncrank_admission_wait_seconds", "model" => model, "priority" => priority)
        .record(waited.0 as f64 / 1000.0);
}

/// Counts an answered query of another node, with the bytes of both.
pub fn count_query(kind: &'static str, query_bytes: usize, answer_bytes: usize) {
    metrics::counter!("cottoncrank_questions_total", "kind" => kind).increment(1);
    metrics::counter!("cottoncrank_question_bytes_total", "kind" => kind, "direction" => "in")
        .increment(query_bytes as u64);
    metrics::counter!("cottoncrank_question_bytes_total", "kind" => kind, "direction" => "out")
        .increment(answer_bytes as u64);
}

/// Counts probes that the decider sent to runners.
pub fn count_probes(count: usize) {
    metrics::counter!("cottoncrank_runner_questions_total").increment(count as u64);
}

/// Records the duration of one planning pass of the decider over the fleet.
pub fn record_planning_time(took: Millis) {
    metrics::histogram!("cottoncrank_look_seconds").record(took.0 as f64 / 1000.0);
}

/// Records what became of a write of plans, and how long it took.
pub fn record_plan_write(outcome: &'static str, took: Millis) {
    metrics::counter!("cottoncrank_plan_writes_total", "outcome" => outcome).increment(1);
    metrics::histogram!("cottoncrank_plan_write_seconds").record(took.0 as f64 / 1000.0);
}

/// Counts orders that were planned and not sent, by the reason.
pub fn count_unsent_orders(reason: &'static str, count: usize) {
    metrics::counter!("cottoncrank_orders_unsent_total", "reason" => reason).increment(count as u64);
}

/// Sets the fraction of the requests for each model that is refused for want of room, by priority
/// weights.
pub fn set_refused_parts(engine: &Engine, pressure: &Pressure) {
    for model in &engine.models {
        let fraction = pressure.strains.get(&model.name).map_or(0.0, Strain::fraction);
        metrics::gauge!("cottoncrank_refused_part", "model" => model.name.to_string()).set(fraction);
    }
}

/// Sets how many retired groups of a service are held, by what they wait for.
pub fn set_groups_held(service: &id::Service, waits: &Waits) {
    for (wait, groups) in waits.list() {
        metrics::gauge!("cottoncrank_groups_held", "service" => service.to_string(), "wait" => wait)
            .set(groups as f64);
    }
}

/// Sets how many groups each model lends.
pub fn set_lent(lent: &[(id::Model, usize)]) {
    for (model, groups) in lent {
        metrics::gauge!("cottoncrank_groups_lent", "model" => model.to_string()).set(*groups as f64);
    }
}

/// Counts the answer to a retry query: granted, or none left in the shared retry pool.
pub fn count_retry_grant(granted: bool) {
    let outcome = if granted { "lent" } else { "none" };
    metrics::counter!("cottoncrank_retries_lent_total", "outcome" => outcome).increment(1);
}

/// Counts a new connection that was closed unread.
pub(crate) fn count_closed_unread(reason: Reason) {
    metrics::counter!("cottoncrank_connections_closed_unread_total", "reason" => reason.name()).increment(1);
}

/// Counts a panic, in whatever task.
pub(crate) fn count_panic() {
    metrics::counter!("cottoncrank_panics_total").increment(1);
}

/// Counts a task that ended by itself and is started again.
pub(crate) fn count_task_end(task: &'static str, cause: &'static str) {
    metrics::counter!("cottoncrank_tasks_ended_total", "task" => task, "cause" => cause).increment(1);
}

/// Records how late a task ran, and what the process worked meanwhile, in times of its share of the processor.
pub(crate) fn record_delay(late: Millis, work: Millis) {
    metrics::histogram!("cottoncrank_task_late_seconds").record(late.0 as f64 / 1000.0);
    metrics::histogram!("cottoncrank_task_work_seconds").record(work.0 as f64 / 1000.0);
}

/// Counts a retry by what paid for it: the node's `own` budget, the `pool` of the hall, or `none`.
pub fn count_retry(service: &id::Service, source: &'static str) {
    let labels = [("service", service.to_string()), ("source", source.to_owned())];
    metrics::counter!("cottoncrank_retries_total", &labels).increment(1);
}

/// Records the retries that a node may save, of its own and for the pool of its hall.
pub fn set_retry_share(own: f64, pooled: f64) {
    metrics::gauge!("cottoncrank_retry_share", "source" => "own").set(own);
    metrics::gauge!("cottoncrank_retry_share", "source" => "pool").set(pooled);
}

/// Records the time after which a refused caller was told to return.
pub fn record_retry_after(retry: Millis) {
    metrics::histogram!("cottoncrank_retry_after_seconds").record(retry.0 as f64 / 1000.0);
}

/// Counts callers that were told a time to return: `due`, `early`, `late` or `never` by when they came,
/// and `due_refused` those of the due ones that were refused again.
pub fn count_returns(outcome: &'static str, count: u64) {
    if count > 0 {
        metrics::counter!("cottoncrank_returns_total", "outcome" => outcome).increment(count);
    }
}

/// Counts a request of this node that a rate-limited runner of `hall` has answered.
pub fn count_rate_limited(hall: &id::Hall) {
    metrics::counter!("cottoncrank_limited_sent_total", "hall" => hall_label::find(hall)).increment(1);
}

/// Counts a suspension of this process.
pub fn count_suspension(suspension: &Suspension) {
    let kind = match suspension {
        Suspension::Suspended(_) => "suspended",
        Suspension::Frozen(_) => "frozen",
    };
    metrics::counter!("cottoncrank_gaps_total", "kind" => kind).increment(1);
}

/// Records how long after a gap in its running time this process knew all changes again.
pub fn record_catch_up(behind: Millis) {
    metrics::histogram!("cottoncrank_catch_up_seconds").record(behind.0 as f64 / 1000.0);
}

/// Counts a restore of the store from an older copy.
pub fn count_era() {
    metrics::counter!("cottoncrank_store_eras_total").increment(1);
}

/// Counts an item that this node keeps in force because the restored store has an older one or none.
pub fn count_carried_item(kind: &'static str) {
    metrics::counter!("cottoncrank_items_carried_total", "kind" => kind).increment(1);
}

/// Counts a request to evacuate a hall, or the end of an evacuation, by its outcome.
pub fn count_evacuation(outcome: &'static str) {
    metrics::counter!("cottoncrank_evacuations_total", "outcome" => outcome).increment(1);
}

/// Counts an attempt that was stopped because its hall was closed while the connection was made.
pub fn count_evacuated_attempt() {
    metrics::counter!("cottoncrank_evacuated_attempts_total").increment(1);
}

/// Counts a finding about a runner whose connection broke.
pub fn count_finding(finding: &'static str) {
    metrics::counter!("cottoncrank_broken_runners_total", "finding" => finding).increment(1);
}

/// Counts a change of the level of a suspected request.
pub fn count_level_change(level: &Level) {
    let level = match level {
        Level::Clear => "clear",
        Level::Suspected(_) => "suspected",
        Level::Pending(_) => "pending",
        Level::Deadly(_) => "deadly",
    };
    metrics::counter!("cottoncrank_suspects_total", "level" => level).increment(1);
}

/// Counts a failure of a source of the store's content, which is another node or the store itself.
pub fn count_source_failure(source: &'static str, reason: &'static str) {
    metrics::counter!("cottoncrank_sources_failed_total", "source" => source, "reason" => reason)
        .increment(1);
}

/// Counts a list of the store that was not read to its end, by the reason.
pub fn count_cut_list(reason: &'static str) {
    metrics::counter!("cottoncrank_store_lists_cut_total", "reason" => reason).increment(1);
}

/// Counts an invalid item of the store by its kind and the reason.
pub fn count_invalid_item(kind: &'static str, reason: &'static str) {
    metrics::counter!("cottoncrank_items_unreadable_total", "part" => kind, "reason" => reason).increment(1);
}

/// Counts a stream that was cut after its first event.
pub fn count_cut_stream() {
    metrics::counter!("cottoncrank_streams_cut_total").increment(1);
}

/// Counts a try that was late and how it ended: `went_on`, `failed`, or `replaced` by another one.
pub fn count_late_try(end: &'static str) {
    metrics::counter!("cottoncrank_late_tries_total", "end" => end).increment(1);
}

/// Counts the body of a stream that ended at its caller's connection: `complete` if it has its last chunk,
/// `cut` if the connection is closed without it. A caller that left before sees neither.
pub fn count_stream_body(end: &'static str) {
    metrics::counter!("cottoncrank_stream_bodies_total", "end" => end).increment(1);
}

/// Records the delay of the first event of a stream, or of a whole plain answer.
pub fn record_first_event(kind: &'static str, wait: Millis) {
    metrics::histogram!("cottoncrank_first_event_seconds", "kind" => kind).record(wait.0 as f64 / 1000.0);
}

/// Installs the global recorder. Returns `None` if this process has one already.
pub fn install() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS).ok()?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok().map(|()| handle)
}

/// Samples the gauges until the process ends.
pub async fn sample_gauges(node: Arc<Node>) {
    let mut ages = VecDeque::new();
    let mut cold_log = ColdLog::default();
    let mut unread_log = UnreadLog::default();
    let mut evacuated = BTreeSet::new();
    let mut evictions = 0;
    loop {
        let age = node.freshness.lock().age(node.now()).map_or(-1.0, |age| age.0 as f64 / 1000.0);
        ages.push_back(age);
        if ages.len() > AGE_SAMPLES {
            ages.pop_front();
        }
        metrics::gauge!("cottoncrank_store_proof_age_seconds").set(age);
        metrics::gauge!("cottoncrank_store_proof_age_max_seconds")
            .set(ages.iter().copied().fold(-1.0, f64::max));
        metrics::gauge!("cottoncrank_store_era").set(node.store.era().0 as f64);
        metrics::gauge!("cottoncrank_requests_running").set(node.running() as f64);
        metrics::gauge!("cottoncrank_runners_known").set(node.roster.lock().iter().count() as f64);
        metrics::gauge!("cottoncrank_nodes_known").set(node.directory.lock().count() as f64);
        metrics::gauge!("cottoncrank_deciding").set(f64::from(u8::from(node.is_deciding())));
        metrics::gauge!("cottoncrank_reading")
            .set(f64::from(u8::from(*node.feed.subscribe_serving().borrow())));
        metrics::gauge!("cottoncrank_nodes_reporting")
            .set(node.reports.lock().count_nodes(node.now()) as f64);
        metrics::gauge!("cottoncrank_suspects_known").set(node.suspects.lock().iter().count() as f64);
        let version = node.catalog.lock().as_ref().map_or(0, |catalog| catalog.version);
        metrics::gauge!("cottoncrank_config_version").set(version as f64);
        metrics::gauge!("cottoncrank_paths_cut").set(node.paths.lock().list_cut().count() as f64);
        metrics::gauge!("cottoncrank_tunnels_carried").set(node.carried_tunnels.count() as f64);
        let groups = node.plans.lock().values().map(|plan| plan.groups.len()).sum::<usize>();
        metrics::gauge!("cottoncrank_groups_planned").set(groups as f64);
        set_limits(&node);
        set_pressures(&node);
        set_resources(&node, &mut evictions);
        cold_log.update(&node);
        unread_log.update(&node);
        node.invalid_items.log_left_out();
        set_evacuations(&node, &mut evacuated);
        tokio::time::sleep(SAMPLE_INTERVAL.duration()).await;
    }
}

/// Sets the gauges of what callers fill, and logs how many connections had to go since `before`.
fn set_resources(node: &Node, before: &mut u64) {
    let (held, answers) = (node.resources.held(), node.resources.held_answers());
    metrics::gauge!("cottoncrank_callers_memory_bytes").set(held.0 as f64);
    metrics::gauge!("cottoncrank_answers_memory_bytes").set(answers.0 as f64);
    for port in Port::ALL {
        let open = node.resources.count_open(port);
        metrics::gauge!("cottoncrank_connections", "port" => port.name()).set(open as f64);
    }
    let evictions = node.resources.count_evictions();
    if evictions > *before {
        let (count, callers) = (evictions - *before, node.resources.count_open(Port::Callers));
        log::warn!(
            "resources: {count} connections had to go for others, {held} are held of {callers} connections of callers, and {answers} of answers"
        );
        *before = evictions;
    }
}

/// Sets the gauges of each model's concurrency limit and waiting requests.
fn set_limits(node: &Node) {
    for ((_, model), limit) in node.concurrency_limits.lock().iter() {
        let model = model.as_ref().map_or(String::new(), ToString::to_string);
        metrics::gauge!("cottoncrank_limit", "model" => model).set(limit.level());
    }
    for (model, priority, waiting) in node.admission.queues.count_waiting() {
        let (model, priority) = (model.to_string(), priority.to_string());
        metrics::gauge!("cottoncrank_admission_waiting", "model" => model, "priority" => priority)
            .set(waiting as f64);
    }
}

/// Sets the gauges of evacuations. `before` are the labels that have had a gauge.
fn set_evacuations(node: &Node, before: &mut BTreeSet<String>) {
    let counts = evacuation::count_in_flight(node);
    metrics::gauge!("cottoncrank_halls_evacuated").set(counts.len() as f64);
    let mut labelled: BTreeMap<String, u32> = BTreeMap::new();
    for (hall, running) in &counts {
        *labelled.entry(hall_label::find(hall)).or_default() += running;
    }
    before.extend(labelled.keys().cloned());
    for label in before.iter() {
        let running = labelled.get(label).copied().unwrap_or(0);
        metrics::gauge!("cottoncrank_evacuated_in_flight", "hall" => label.clone()).set(f64::from(running));
    }
}

/// Sets the gauges of the back pressure from each hall. The halls with the most runners are the first to get labels.
fn set_pressures(node: &Node) {
    let mut halls: Vec<(id::Hall, Backpressure)> = feedback::measure_backpressure(node).into_iter().collect();
    halls.sort_by_key(|(_, pressure)| Reverse(pressure.runners));
    let mut labelled: BTreeMap<String, Backpressure> = BTreeMap::new();
    for (hall, pressure) in halls {
        labelled.entry(hall_label::find(&hall)).or_default().add(&pressure);
    }
    for (label, pressure) in labelled {
        set_pressure(&label, &pressure);
    }
}

fn set_pressure(hall: &str, pressure: &Backpressure) {
    let set = |state: &'static str, count: usize| {
        metrics::gauge!("cottoncrank_runners_saying", "hall" => hall.to_owned(), "state" => state)
            .set(count as f64);
    };
    set("backoff", pressure.backing_off);
    set("leaving", pressure.leaving);
    set("limited", pressure.rate_limited);
    set("cold", pressure.cold);
    metrics::gauge!("cottoncrank_limited_allowed", "hall" => hall.to_owned())
        .set(pressure.allowed_rate.0 as f64 / 1000.0);
    metrics::gauge!("cottoncrank_cold_allowed", "hall" => hall.to_owned())
        .set(pressure.cold_rate.0 as f64 / 1000.0);
}

/// Serves the metrics until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, handle: PrometheusHandle) {
    ports::accept(node, Arc::new(listener), Port::Metrics, |connection, slot| {
        let handle = handle.clone();
        ports::answer_each(connection, slot, move |_| {
            let answer = render(&handle);
            async move { answer }
        })
    })
    .await;
}

fn render(handle: &PrometheusHandle) -> Answer {
    handle.run_upkeep();
    let mut answer = Response::new(Body::Whole(Some(Bytes::from(handle.render()))));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    answer
}
