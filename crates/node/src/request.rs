//! Admits a caller's request, picks its route and runs it.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_fleet::catalog::{Catalog, Kind, Route};
use cottoncrank_fleet::fingerprint::{self, Fingerprint};
use cottoncrank_platform::header::{self, RequestMetadata};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
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
use crate::{plain, retries, stream, suspects, telemetry};

/// The largest priority number that a runner is sent. 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;

/// How long a request waits for a node that is starting to read the store. The read completes 20 to
/// 60 ms after the start. Callers that were refused instead retried too late to be answered in
/// time.
const STARTUP_WAIT: Millis = Millis(150);

/// How long a caller waits that does not say so. The timeout of the route applies as well.
const DEFAULT_CALLER_WAIT: Millis = Millis(30_000);

/// Handles one request of a caller.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let terms = header::read_metadata(&head.headers);
    let id = terms.request_id.clone();
    let request_guard = node.begin_request();
    let arrived = node.now();
    let mut kind = "none";
    let outcome = match admit(&node, head, body, terms).await {
        Ok(job) => {
            kind = job.route.kind.name();
            let deadline = job.deadline;
            tokio::select! {
                outcome = run(&node, Arc::new(job), request_guard) => outcome,
                () = node.wait_until(deadline) => Err(Refusal::DeadlineExceeded),
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
            log_refusal(&node, id.as_deref(), kind, waited, &refusal);
            refusal.to_answer(id.as_deref())
        }
    }
}

/// Logs why a request was refused, with the state of the configuration at that time.
fn log_refusal(node: &Node, id: Option<&str>, kind: &str, waited: Millis, refusal: &Refusal) {
    let id = id.unwrap_or("-");
    let version = node.catalog.lock().as_ref().map_or(0, |catalog| catalog.version);
    let age = node.freshness.lock().age(node.now()).map_or("none".to_owned(), |age| age.to_string());
    log::info!(
        "request {id}: refused after {waited}: {refusal} (kind {kind}, config {version}, proof of the store {age})"
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

async fn admit(
    node: &Arc<Node>,
    head: Parts,
    body: Incoming,
    terms: RequestMetadata,
) -> Result<Job, Refusal> {
    let arrived = node.now();
    node.wait_synced(STARTUP_WAIT).await;
    let catalog = node.catalog.lock().clone().ok_or(Refusal::StaleConfig)?;
    let body = read_body(body, catalog.limits.max_body_bytes).await?;
    let route = find_route(&catalog, &head).map_err(|refusal| replace_if_stale(node, refusal))?;
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
    let target = route.pick_target(rand::rng().random()).ok_or(Refusal::NoRoute)?;
    let wait = terms.timeout.unwrap_or(DEFAULT_CALLER_WAIT).min(route.timeout);
    let fingerprint = Fingerprint::of(&fingerprint::Request {
        account: account.map(|account| &account.id),
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &body,
    });
    let parts = terms.prompt_parts.iter().map(|part| Fingerprint::of_part(&target.service, part)).collect();
    Ok(Job {
        account: account.map(|account| account.id.clone()),
        service: target.service.clone(),
        head,
        body,
        terms,
        route,
        catalog,
        priority,
        fingerprint,
        parts,
        arrived,
        deadline: arrived + wait,
    })
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

async fn read_body(body: Incoming, max: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Err(_) => Err(Refusal::BrokenBody),
    }
}
