//! The queries between nodes, both their client and their server: change polls, in-flight reports,
//! and queries for a group, a permit, a retry or a tunnel.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::resources::{Port, READ_BUFFER, Short};
use cottoncrank::{Millis, Size};
use cottoncrank_fleet::admission;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::dispatch::{Query, Reply};
use cottoncrank_fleet::occupancy::{self, Report, Scope};
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::pressure;
use cottoncrank_net::client::{CallError, Client};
use cottoncrank_net::intake::{self, IntakeError, LARGE_ANSWER};
use cottoncrank_net::resources::{Slot, hold};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::answer::{Answer, Body};
use crate::catchup;
use crate::dispatch;
use crate::feed::UnpackError;
use crate::past;
use crate::ports;
use crate::reporting;
use crate::retries;
use crate::state::Node;
use crate::suspects::{self, Envelope};
use crate::telemetry;
use crate::throttle::{self, Permit};
use crate::tunnel;

/// The path of a change poll.
const CHANGES_PATH: &str = "/news";

/// The path of the query for the group that takes a request.
const GROUP_PATH: &str = "/group";

/// The path of the query to admit a request.
const ADMISSION_PATH: &str = "/admission";

/// The path of the query for a permit to send to a rate-limited runner.
const PERMIT_PATH: &str = "/place";

/// The path of the query of earlier builds for a retry token.
const FORMER_RETRY_PATH: &str = "/retry";

/// The path of the query for a retry token.
const RETRY_PATH: &str = "/service-retry";

/// The path of the query whether a node holds what the store has lost.
const PAST_PATH: &str = "/past";

/// The path of a report of refusals to the decider.
const PRESSURE_PATH: &str = "/pressure";

/// The path of an in-flight report.
const REPORT_PATH: &str = "/in-flight";

/// The largest query or report, in bytes. A report has about 5 bytes for each of at most
/// 1000 groups, and about 100 for each suspected request that is new.
const MAX_QUERY_BYTES: usize = 64 * 1024;

/// How much longer than the wait of a change poll its answer may take to begin, and how long the
/// answer may pause. The whole content of the store is in transit for seconds when many nodes
/// poll a small box at once, so there is no bound for the whole answer.
const CALL_MARGIN: Millis = Millis(400);

/// The minimum time until a change poll is answered without changes, because each poll costs a call.
/// A poll waits for 0.7 s on average, as long as a watch of the store.
const MIN_EMPTY_WAIT: Millis = Millis(200);

/// How a node answers a change poll that has no copy of the store, has failed to obtain one, and has no answer of the
/// store either. All other nodes that cannot tell answer 503: they may soon.
pub(crate) const NO_COPY: StatusCode = StatusCode::NOT_FOUND;

/// A change poll.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ChangeQuery {
    /// The store position up to which the sender has all changes; `None` asks for the whole content.
    pub after: Option<Position>,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a change poll.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The store position up to which the answering node has all changes.
    pub position: Position,
    /// Whether the items are the whole content of the store, not only the changes.
    pub whole: bool,
    /// How long the answering node waited for a change, in milliseconds.
    pub waited_ms: u64,
    /// The age of its proof of freshness, in milliseconds.
    pub age_ms: u64,
    /// How long it may have missed changes of the store, in milliseconds.
    pub silence_ms: u64,
    /// The items, encoded.
    pub items: Bytes,
}

/// A change poll without a usable answer.
#[derive(Debug, Error)]
pub enum PollError {
    /// The other node did not answer, or has no current content.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Its answer cannot be decoded.
    #[error(transparent)]
    Unpack(#[from] UnpackError),
}

/// Polls another node for changes of the store.
pub async fn poll_changes(
    client: &Client,
    address: SocketAddr,
    query: ChangeQuery,
) -> Result<ChangeBatch, PollError> {
    let wait = Millis(query.wait_ms) + CALL_MARGIN;
    Ok(client.call_steadily(address, CHANGES_PATH, &query, wait, CALL_MARGIN).await?)
}

/// Sends an in-flight report to another node. Returns the in-flight requests of the others.
pub async fn send_report(
    node: &Node,
    client: &Client,
    to: &Peer,
    report: &Report,
    wait: Millis,
) -> Result<occupancy::ReportReply, CallError> {
    suspects::exchange(node, client, to, REPORT_PATH, report, wait).await
}

/// Asks the collector of the hall which group takes a request.
pub async fn query_group(node: &Node, to: &Peer, query: &Query, wait: Millis) -> Result<Reply, CallError> {
    suspects::exchange(node, &node.client, to, GROUP_PATH, query, wait).await
}

/// Asks the collector of the hall to admit a request.
pub(crate) async fn query_admission(
    node: &Node,
    to: &Peer,
    query: &admission::Query,
    wait: Millis,
) -> Result<admission::Reply, CallError> {
    suspects::exchange(node, &node.client, to, ADMISSION_PATH, query, wait).await
}

/// Asks the collector of the hall for a permit to send to a rate-limited runner.
pub(crate) async fn query_permit(
    node: &Node,
    to: &Peer,
    query: &throttle::Query,
    wait: Millis,
) -> Result<Permit, CallError> {
    suspects::exchange(node, &node.client, to, PERMIT_PATH, query, wait).await
}

/// Asks the collector of the hall for a retry token. Returns whether it grants one.
pub(crate) async fn query_retry(
    node: &Node,
    to: &Peer,
    query: &retries::Query,
    wait: Millis,
) -> Result<bool, CallError> {
    suspects::exchange(node, &node.client, to, RETRY_PATH, query, wait).await
}

/// Asks another node whether it holds what the store has lost.
pub(crate) async fn query_past(
    client: &Client,
    to: &Peer,
    query: &past::Query,
    wait: Millis,
) -> Result<past::Reply, CallError> {
    client.call(to.address, PAST_PATH, query, wait).await
}

/// Tells the decider of refusals.
pub(crate) async fn send_pressure(
    client: &Client,
    to: &Peer,
    report: &pressure::Report,
    wait: Millis,
) -> Result<(), CallError> {
    client.call(to.address, PRESSURE_PATH, report, wait).await
}

/// Answers the queries of other nodes until the process ends.
pub async fn serve(node: Arc<Node>, listener: Arc<TcpListener>) {
    let asked = node.clone();
    ports::accept(node, listener, Port::Peers, |connection, slot| {
        serve_peer(asked.clone(), connection, slot)
    })
    .await;
}

async fn serve_peer(node: Arc<Node>, connection: ports::Connection, slot: Arc<Slot>) {
    if let Err(error) = connection.get_ref().set_nodelay(true) {
        log::debug!("peer: {error}");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let (node, slot) = (node.clone(), slot.clone());
        async move { Ok::<Answer, Infallible>(handle_request(&node, request, &slot).await) }
    });
    let mut builder = http1::Builder::new();
    let connection = builder.max_buf_size(READ_BUFFER.0).serve_connection(TokioIo::new(connection), service);
    if let Err(error) = connection.with_upgrades().await {
        log::debug!("peer: a connection failed: {error}");
    }
}

/// Returns the label of a query in metrics.
fn find_query_kind(path: &str) -> &'static str {
    match path {
        CHANGES_PATH => "news",
        GROUP_PATH => "group",
        ADMISSION_PATH => "admission",
        PERMIT_PATH => "place",
        FORMER_RETRY_PATH | RETRY_PATH => "retry",
        PRESSURE_PATH => "pressure",
        PAST_PATH => "past",
        REPORT_PATH => "report",
        _ => "other",
    }
}

async fn handle_request(node: &Arc<Node>, request: Request<Incoming>, slot: &Slot) -> Answer {
    slot.begin_request();
    if request.method() == Method::CONNECT {
        // The connection stays in use for as long as it is a tunnel.
        slot.serve();
        return tunnel::answer(node, request, slot).await;
    }
    let answer = read_and_answer(node, request, slot).await;
    slot.end_request();
    answer
}

async fn read_and_answer(node: &Arc<Node>, request: Request<Incoming>, slot: &Slot) -> Answer {
    let path = request.uri().path().to_owned();
    let body = match intake::read(request.into_body(), MAX_QUERY_BYTES, slot).await {
        Ok(body) => body,
        Err(error) => {
            log::warn!("peer: a query to {path} was not read: {error}");
            slot.abandon_body();
            return build_answer(find_status(&error), Bytes::new());
        }
    };
    slot.serve();
    let query_bytes = body.len();
    let answer = hold_large(handle_query(node, &path, body.into_bytes()).await, slot);
    let answer_bytes = answer.body().size_hint().exact().unwrap_or(0) as usize;
    telemetry::count_query(find_query_kind(&path), query_bytes, answer_bytes);
    answer
}

/// Holds a large answer with the memory that it takes, until its box has taken it. Where there is none, the box asks
/// another one.
fn hold_large(answer: Answer, slot: &Slot) -> Answer {
    let (head, body) = answer.into_parts();
    match body {
        Body::Whole(Some(bytes)) if Size(bytes.len()) > LARGE_ANSWER => {
            match slot.try_reserve_answer(Size(bytes.len())) {
                Ok(charge) => Answer::from_parts(head, Body::Whole(Some(hold(bytes, charge)))),
                Err(Short) => build_answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            }
        }
        body => Answer::from_parts(head, body),
    }
}

fn find_status(error: &IntakeError) -> StatusCode {
    match error {
        IntakeError::TooLarge | IntakeError::Broken => StatusCode::BAD_REQUEST,
        IntakeError::Short(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Whether the answer to a query rests on what this node knows of the store.
fn needs_current_knowledge(path: &str) -> bool {
    matches!(path, CHANGES_PATH | GROUP_PATH | ADMISSION_PATH | PERMIT_PATH)
}

async fn handle_query(node: &Node, path: &str, bytes: Bytes) -> Answer {
    if needs_current_knowledge(path) && catchup::check(node) {
        return build_answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    if path == REPORT_PATH {
        if let Ok(Envelope { question, push }) = rmp_serde::from_slice::<Envelope<Report>>(&bytes) {
            let pull = suspects::receive_push(node, &push, question.scope);
            return encode_answer(&suspects::EnvelopeReply {
                answer: reporting::receive_report(node, question),
                pull,
            });
        }
    } else if path == GROUP_PATH {
        if let Ok(Envelope { question, push }) = rmp_serde::from_slice::<Envelope<Query>>(&bytes) {
            let pull = suspects::receive_push(node, &push, Scope::Node);
            return encode_answer(&suspects::EnvelopeReply {
                answer: dispatch::answer_query(node, question),
                pull,
            });
        }
    } else if path == ADMISSION_PATH {
        if let Ok(Envelope { question, push }) = rmp_serde::from_slice::<Envelope<admission::Query>>(&bytes) {
            let pull = suspects::receive_push(node, &push, Scope::Node);
            let answer = crate::admission::answer_query(node, question).await;
            return encode_answer(&suspects::EnvelopeReply { answer, pull });
        }
    } else if path == PERMIT_PATH {
        if let Ok(Envelope { question, push }) = rmp_serde::from_slice::<Envelope<throttle::Query>>(&bytes) {
            let pull = suspects::receive_push(node, &push, Scope::Node);
            return encode_answer(&suspects::EnvelopeReply {
                answer: throttle::grant_permit(node, &question),
                pull,
            });
        }
    } else if path == RETRY_PATH {
        if let Ok(Envelope { question, push }) = rmp_serde::from_slice::<Envelope<retries::Query>>(&bytes) {
            let pull = suspects::receive_push(node, &push, Scope::Node);
            return encode_answer(&suspects::EnvelopeReply { answer: retries::grant(node, &question), pull });
        }
    } else if path == FORMER_RETRY_PATH {
        if let Ok(Envelope { question, push }) =
            rmp_serde::from_slice::<Envelope<retries::FormerQuery>>(&bytes)
        {
            let pull = suspects::receive_push(node, &push, Scope::Node);
            return encode_answer(&suspects::EnvelopeReply {
                answer: retries::refuse_former(&question),
                pull,
            });
        }
    } else if path == PRESSURE_PATH {
        if let Ok(report) = rmp_serde::from_slice::<pressure::Report>(&bytes) {
            crate::pressure::receive(node, report);
            return encode_answer(&());
        }
    } else if path == PAST_PATH {
        if let Ok(query) = rmp_serde::from_slice::<past::Query>(&bytes) {
            return encode_answer(&past::answer_query(node, &query));
        }
    } else if path == CHANGES_PATH
        && let Ok(query) = rmp_serde::from_slice::<ChangeQuery>(&bytes)
    {
        return answer_change_query(node, query).await;
    }
    log::warn!("peer: a query to {path} cannot be decoded, {} bytes", bytes.len());
    build_answer(StatusCode::BAD_REQUEST, Bytes::new())
}

async fn answer_change_query(node: &Node, query: ChangeQuery) -> Answer {
    let started = node.now();
    if let Some(position) = query.after {
        node.past.lock().record_heard(position);
    }
    let mut serving = node.feed.subscribe_serving();
    tokio::select! {
        () = wait_for_changes(node, query) => {}
        // This cannot fail: the sender lives as long as the node.
        _ = serving.wait_for(|serving| !serving) => {}
    }
    // A store that has answered is being read.
    if node.feed.is_empty() && node.store.answered_era().is_none() {
        return build_answer(NO_COPY, Bytes::new());
    }
    if !*serving.borrow() || catchup::check(node) {
        return build_answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let age = node.freshness.lock().age(node.now());
    let batch = match node.feed.read_packed(query.after) {
        Ok(batch) => batch,
        Err(error) => return report_encode_error(&error),
    };
    let Some(((batch, age), staleness)) = batch.zip(age).zip(node.staleness()) else {
        return build_answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    encode_answer(&ChangeBatch {
        position: batch.position,
        whole: batch.whole,
        waited_ms: node.now().since(started).0,
        age_ms: age.0,
        silence_ms: staleness.0,
        items: batch.items,
    })
}

fn encode_answer<M: Serialize>(message: &M) -> Answer {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => build_answer(StatusCode::OK, bytes.into()),
        Err(error) => report_encode_error(&error),
    }
}

fn report_encode_error(error: &rmp_serde::encode::Error) -> Answer {
    log::error!("peer: cannot encode an answer: {error}");
    build_answer(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
}

/// Waits until this node has a change that the polling node lacks, or the wait of the poll is over.
/// It also returns without a change when this node renews its contact with the store, so that the
/// staleness of a polling node is hardly longer than that of this one.
async fn wait_for_changes(node: &Node, query: ChangeQuery) {
    let Some(after) = query.after else { return };
    let min_contact = node.now() + MIN_EMPTY_WAIT;
    let mut position = node.feed.subscribe();
    let mut last_contact = node.last_contact.subscribe();
    let newer = position.wait_for(|position| position.is_some_and(|position| position > after));
    let renewed = last_contact.wait_for(|contact| contact.is_some_and(|contact| contact > min_contact));
    let either = async {
        // The caller reads the feed next, whichever of the two came first.
        tokio::select! { _ = newer => {} _ = renewed => {} }
    };
    let _ = tokio::time::timeout(Millis(query.wait_ms).duration(), either).await;
}

fn build_answer(status: StatusCode, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(Some(bytes)));
    *answer.status_mut() = status;
    answer
}
