//! Admitting a request and finding where it goes.

use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_fleet::catalog::{Catalog, Kind, Route};
use cottoncrank_fleet::fingerprint::{self, Fingerprint};
use cottoncrank_platform::header::{self, Terms};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use rand::Rng;

use crate::answer::{Answer, Refusal};
use crate::attempt::Job;
use crate::candidates::refuse_unwilling;
use crate::flight::Running;
use crate::state::Node;
use crate::{plain, stream, suspects, telemetry};

/// The urgency of a request where neither account nor route says one.
const PRIORITY_MAX: u8 = 9;

/// A request that comes while the node starts waits for this long for what the store
/// holds. That is read 20 to 60 ms after the start; callers who were sent away came
/// back too late to be answered in time.
const START: Millis = Millis(150);

/// How long a request waits whose caller and route say nothing.
const WAIT_UNSET: Millis = Millis(30_000);

/// Answers one request.
pub async fn answer(node: Arc<Node>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let terms = header::read_terms(&head.headers);
    let id = terms.request.clone();
    let running = node.begin_request();
    let arrived = node.now();
    let mut kind = "none";
    let outcome = match admit(&node, head, body, terms).await {
        Ok(job) => {
            kind = job.route.kind.name();
            let end = job.end;
            tokio::select! {
                outcome = run(&node, Arc::new(job), running) => outcome,
                () = node.wait_until(end) => Err(Refusal::Late),
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
            refusal.answer(id.as_deref())
        }
    }
}

/// Says why a request was refused, and what this node knew then.
fn log_refusal(node: &Node, id: Option<&str>, kind: &str, waited: Millis, refusal: &Refusal) {
    let id = id.unwrap_or("-");
    let version = node.catalog.lock().as_ref().map_or(0, |catalog| catalog.version);
    let age = node.freshness.lock().age(node.now()).map_or("none".to_owned(), |age| age.to_string());
    log::info!(
        "request {id}: refused after {waited}: {refusal} (kind {kind}, config {version}, proof of the store {age})"
    );
}

async fn run(node: &Arc<Node>, job: Arc<Job>, running: Running) -> Result<Answer, Refusal> {
    node.retry_budget.lock().deposit();
    if suspects::is_deadly(node, &job) {
        return Err(Refusal::Deadly);
    }
    if let Some(refusal) = refuse_unwilling(node, &job) {
        return Err(refusal);
    }
    match job.route.kind {
        Kind::Stream => stream::run(node, job, running).await,
        Kind::Idempotent | Kind::Once => plain::run(node, &job).await,
    }
}

async fn admit(node: &Arc<Node>, head: Parts, body: Incoming, terms: Terms) -> Result<Job, Refusal> {
    let arrived = node.now();
    node.wait_synced(START).await;
    let catalog = node.catalog.lock().clone().ok_or(Refusal::Unsure)?;
    let body = read_body(body, catalog.limits.max_body_bytes).await?;
    let route = find_route(&catalog, &head).map_err(|refusal| verify(node, refusal))?;
    let account = match route.allow_anonymous || !catalog.has_accounts() {
        true => None,
        false => {
            if !node.trusts_keys() {
                return Err(Refusal::Unsure);
            }
            let key = terms.key.as_deref().ok_or(Refusal::Key)?;
            Some(catalog.find_account(key).ok_or_else(|| verify(node, Refusal::Key))?)
        }
    };
    let priority = account.and_then(|account| account.priority).unwrap_or(route.priority).min(PRIORITY_MAX);
    let target = route.pick_target(rand::rng().random()).ok_or(Refusal::NoRoute)?;
    let wait = terms.wait.unwrap_or(WAIT_UNSET).min(route.timeout);
    let fingerprint = Fingerprint::of(&fingerprint::Request {
        account: account.map(|account| &account.id),
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &body,
    });
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
        arrived,
        end: arrived + wait,
    })
}

/// What a refusal for want of a route or a key becomes where a newer configuration may
/// have it: the caller may come back, and others may know.
fn verify(node: &Node, refusal: Refusal) -> Refusal {
    if node.has_current_catalog() { refusal } else { Refusal::Unsure }
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
        Err(_) => Err(Refusal::Body),
    }
}
