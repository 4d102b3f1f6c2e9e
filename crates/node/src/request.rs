//! Admits a caller's request, picks its route and runs it.

use std::fmt::{self, Display};
use std::sync::Arc;

use cottoncrank::resources::{self, REQUEST, SMALL_BODY, Short};
use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Catalog, Kind, Route};
use cottoncrank_fleet::fingerprint::{self, Fingerprint};
use cottoncrank_net::intake::{self, IntakeError};
use cottoncrank_net::resources::{Charge, Slot};
use cottoncrank_platform::header::{self, RequestMetadata};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Version};
use rand::Rng;

use crate::answer::{Answer, Refusal};
use crate::attempt::Job;
use crate::candidates::refuse_if_closed;
use crate::catchup;
use crate::in_flight::RequestGuard;
use crate::state::Node;
use crate::trace::Trace;
use crate::{plain, retries, stream, suspects, telemetry};

/// The largest priority number that a runner is sent. 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;

/// How long a request waits for a node that is starting to read the store. The read completes 20 to
/// 60 ms after the start. Callers that were refused instead retried too late to be answered in
/// time.
const STARTUP_WAIT: Millis = Millis(150);

/// How long a caller waits that does not say so. The timeout of the route applies as well.
const DEFAULT_CALLER_WAIT: Millis = Millis(30_000);

/// How long the small body of a refused request may still arrive.
const DISCARD_TIME: Millis = Millis(100);

/// Handles one request of a caller.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>, slot: &Slot) -> Answer {
    let (head, body) = request.into_parts();
    let terms = header::read_metadata(&head.headers);
    let id = terms.request_id.clone();
    let request_guard = node.begin_request();
    let arrived = node.now();
    let mut kind = "none";
    let mut admitted = None;
    let outcome = match admit(&node, head, body, terms, slot).await {
        Ok(job) => {
            kind = job.route.kind.name();
            let deadline = job.deadline;
            let job = admitted.insert(Arc::new(job)).clone();
            tokio::select! {
                // An answer that is there goes before the reasons to wait for none.
                biased;
                outcome = run(&node, job, request_guard) => outcome,
                () = node.wait_until(deadline) => Err(Refusal::DeadlineExceeded),
                () = node.wait_ending() => Err(Refusal::MayHaveRun),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let waited = node.now().since(arrived);
    telemetry::count_request(kind, outcome.as_ref().err().map_or("answered", Refusal::reason));
    match outcome {
        Ok(answer) => {
            telemetry::record_first_event(kind, waited);
            answer
        }
        Err(refusal) => {
            log_refusal(&node, id.as_deref(), admitted.as_deref(), waited, &refusal);
            refusal.to_answer(id.as_deref())
        }
    }
}

/// Logs why a request was refused, with the state of the configuration at that time and, if it was admitted,
/// what it waited for.
fn log_refusal(node: &Node, id: Option<&str>, job: Option<&Job>, waited: Millis, refusal: &Refusal) {
    let id = id.unwrap_or("-");
    let kind = job.map_or("none", |job| job.route.kind.name());
    let position = job.map(|job| job.trace.position());
    let done = fmt::from_fn(|f| match &position {
        Some(position) => position.format_at(node.now()).fmt(f),
        None => Ok(()),
    });
    let version = node.catalog.lock().as_ref().map_or(0, |catalog| catalog.version);
    let age = node.freshness.lock().age(node.now()).map_or("none".to_owned(), |age| age.to_string());
    log::info!(
        "request {id}: refused after {waited}: {refusal} (kind {kind}, config {version}, proof of the store {age}){done}"
    );
}

async fn run(node: &Arc<Node>, job: Arc<Job>, request_guard: RequestGuard) -> Result<Answer, Refusal> {
    retries::record_request(node, &job.service);
    catchup::wait(node, &job).await;
    if suspects::is_deadly(node, &job) {
        return Err(Refusal::Deadly);
    }
    if suspects::is_quarantined(node, &job) {
        return Err(Refusal::Quarantined);
    }
    if let Some(refusal) = refuse_if_closed(node, &job) {
        return Err(refusal);
    }
    match job.route.kind {
        Kind::Stream => stream::run(node, job, request_guard).await,
        Kind::Idempotent | Kind::Once => plain::run(node, &job).await,
    }
}

/// What the head of a request says of it.
struct Accepted {
    catalog: Arc<Catalog>,
    route: Arc<Route>,
    account: Option<id::Account>,
    priority: u8,
}

impl From<IntakeError> for Refusal {
    fn from(error: IntakeError) -> Refusal {
        match error {
            IntakeError::TooLarge => Refusal::TooLarge,
            IntakeError::Broken => Refusal::BrokenBody,
            IntakeError::Short(Short) => Refusal::NoRoom,
        }
    }
}

/// Marks the body of a request as abandoned unless it is read to its end.
struct Unread<'a> {
    slot: &'a Slot,
    is_whole: bool,
}

impl Drop for Unread<'_> {
    fn drop(&mut self) {
        if !self.is_whole {
            self.slot.abandon_body();
        }
    }
}

/// Admits a request. All that can be judged by its head alone is judged before its body is read, and again
/// afterwards, as a key may have been revoked meanwhile.
async fn admit(
    node: &Arc<Node>,
    head: Parts,
    body: Incoming,
    terms: RequestMetadata,
    slot: &Slot,
) -> Result<Job, Refusal> {
    let arrived = node.now();
    let mut unread = Unread { slot, is_whole: body.is_end_stream() };
    node.wait_synced(STARTUP_WAIT).await;
    let accepted = match judge(node, &head, &body, &terms) {
        Ok(accepted) => accepted,
        Err(refusal) => {
            unread.is_whole = discard(body).await;
            return Err(refusal);
        }
    };
    let room = slot.charge(REQUEST, resources::Kind::Overhead).map_err(|Short| Refusal::NoRoom)?;
    let wait = terms.timeout.unwrap_or(DEFAULT_CALLER_WAIT).min(accepted.route.timeout);
    let deadline = arrived + wait;
    let has_body = !unread.is_whole;
    let body = tokio::select! {
        biased;
        body = intake::read(body, accepted.catalog.limits.max_body_bytes, slot) => body?,
        () = node.wait_until(deadline) => return Err(Refusal::Stalled),
    };
    unread.is_whole = true;
    slot.serve();
    let accepted = if has_body { judge_again(node, &head, &terms)? } else { accepted };
    build_job(Arrival { head, body, terms, arrived, deadline, room }, accepted)
}

/// A request that has arrived whole.
struct Arrival {
    head: Parts,
    body: intake::Body,
    terms: RequestMetadata,
    arrived: Millis,
    deadline: Millis,
    room: Charge,
}

fn build_job(arrival: Arrival, accepted: Accepted) -> Result<Job, Refusal> {
    let Arrival { head, body, terms, arrived, deadline, room } = arrival;
    let Accepted { catalog, route, account, priority } = accepted;
    let service = route.pick_target(rand::rng().random()).ok_or(Refusal::NoRoute)?.service.clone();
    let (first, rest) =
        body.segments().split_first().map_or((&[][..], &[][..]), |(first, rest)| (first, rest));
    let request = fingerprint::Request {
        account: account.as_ref(),
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: first,
    };
    let fingerprint = Fingerprint::of_segments(&request, rest);
    let parts = terms.prompt_parts.iter().map(|part| Fingerprint::of_part(&service, part)).collect();
    Ok(Job {
        account,
        service,
        head,
        body,
        room,
        terms,
        route,
        catalog,
        priority,
        fingerprint,
        parts,
        arrived,
        deadline,
        trace: Trace::begin(arrived),
    })
}

/// Judges a request by its head.
fn judge(node: &Node, head: &Parts, body: &Incoming, terms: &RequestMetadata) -> Result<Accepted, Refusal> {
    if is_misdirected(node, head) {
        return Err(Refusal::Misdirected);
    }
    let accepted = judge_again(node, head, terms)?;
    let announced = body.size_hint().lower();
    if announced > accepted.catalog.limits.max_body_bytes as u64 {
        return Err(Refusal::TooLarge);
    }
    Ok(accepted)
}

/// Whether a node sent a request here that it addressed to a runner: an entry names the address of this node.
/// Forwarded, it would come here again and again.
fn is_misdirected(node: &Node, head: &Parts) -> bool {
    let Some(expected) = header::read_expected_runner(&head.headers) else { return false };
    let roster = node.roster.lock();
    roster.get_last_known(&expected).is_some_and(|runner| runner.address == node.settings().callers)
}

/// Judges a request by its head, with the configuration in force.
fn judge_again(node: &Node, head: &Parts, terms: &RequestMetadata) -> Result<Accepted, Refusal> {
    let catalog = node.catalog.lock().clone().ok_or(Refusal::StaleConfig)?;
    let route = find_route(&catalog, head).map_err(|refusal| replace_if_stale(node, refusal))?;
    if route.kind == Kind::Stream && head.version < Version::HTTP_11 {
        return Err(Refusal::Version);
    }
    let account = match route.allow_anonymous || !catalog.has_accounts() {
        true => None,
        false => {
            if !node.trusts_keys() {
                return Err(Refusal::StaleConfig);
            }
            let key = terms.api_key.as_deref().ok_or(Refusal::UnknownKey)?;
            Some(catalog.find_account(key).ok_or_else(|| replace_if_stale(node, Refusal::UnknownKey))?)
        }
    };
    let priority = account.and_then(|account| account.priority).unwrap_or(route.priority).min(MAX_PRIORITY);
    let account = account.map(|account| account.id.clone());
    Ok(Accepted { catalog, route, account, priority })
}

/// Reads a small body of a refused request and drops it, if it is about to arrive, so that the connection can
/// be used again. Returns whether it was read to its end.
async fn discard(mut body: Incoming) -> bool {
    if body.size_hint().upper().is_none_or(|announced| announced > SMALL_BODY.0 as u64) {
        return body.is_end_stream();
    }
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(DISCARD_TIME.duration(), reading).await.unwrap_or(false)
}

/// Returns [`Refusal::StaleConfig`] in place of a refusal for an unknown route or key if a newer
/// configuration may have it. Then the caller may retry, and another node may know the route or
/// key.
fn replace_if_stale(node: &Node, refusal: Refusal) -> Refusal {
    if node.has_current_catalog() { refusal } else { Refusal::StaleConfig }
}

fn find_route(catalog: &Catalog, head: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    catalog.find_route(name, head.uri.path()).cloned().ok_or(Refusal::NoRoute)
}
