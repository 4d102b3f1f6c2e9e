//! What nodes ask each other: what the store holds, and what is in flight.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::dispatch::{Question, Reply};
use cottoncrank_fleet::occupancy::{self, Report, Scope};
use cottoncrank_fleet::position::Position;
use cottoncrank_net::client::{CallError, Client};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

use crate::answer::{Answer, Body};
use crate::dispatch;
use crate::feed::UnpackError;
use crate::figures;
use crate::front::pause_accepting;
use crate::reporting;
use crate::retries::{self, Loan};
use crate::state::Node;
use crate::suspects::{self, Letter};
use crate::throttle::{self, Place, Plea};

/// The path of the question.
const PATH: &str = "/news";

/// The path of the question which group takes a request.
const GROUP_PATH: &str = "/group";

/// The path of the question for a place at a runner that names a rate.
const PLACE_PATH: &str = "/place";

/// The path of the question for a retry.
const LOAN_PATH: &str = "/retry";

/// The path of a report of what is in flight.
const REPORT_PATH: &str = "/in-flight";

/// The largest question or report, in bytes: a report has some five bytes for each
/// group, of which there are a thousand at most, and some hundred for each suspected
/// request that is new.
const ASK_MAX: usize = 64 * 1024;

/// How much longer than it asked to wait a question may take until its answer begins, and how
/// long the answer may pause. All that the store holds takes seconds on the way where many nodes
/// ask a small box at once.
const SLACK: Millis = Millis(400);

/// A question without news is answered no sooner than this, for each costs a call; a
/// question waits for 0.7 s on average, as long as a watch of the store.
const RENEWED: Millis = Millis(200);

/// A question for what is new.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// Up to where the asking node knows everything.
    pub after: Option<Position>,
    /// How long to wait for something new, in milliseconds.
    pub wait_ms: u64,
}

/// What is new.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// Up to where this node knows everything.
    pub position: Position,
    /// Whether the items are all there are.
    pub whole: bool,
    /// How long the answer was held back for something new, in milliseconds.
    pub waited_ms: u64,
    /// How long ago it was proven that the store held nothing newer, in milliseconds.
    pub age_ms: u64,
    /// For how long this node may have missed changes of the store, in milliseconds.
    pub silence_ms: u64,
    /// The items, packed.
    pub items: Bytes,
}

/// A question without a usable answer.
#[derive(Debug, Error)]
pub enum AskError {
    /// The other node did not answer, or does not know.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Its answer cannot be read.
    #[error(transparent)]
    Unpack(#[from] UnpackError),
}

/// Asks another node for what is new.
pub async fn ask(client: &Client, address: SocketAddr, question: Ask) -> Result<Told, AskError> {
    let wait = Millis(question.wait_ms) + SLACK;
    Ok(client.call_steadily(address, PATH, &question, wait, SLACK).await?)
}

/// Tells another node what is in flight. Returns what others have.
pub async fn report(
    node: &Node,
    client: &Client,
    to: &Peer,
    report: &Report,
    wait: Millis,
) -> Result<occupancy::Reply, CallError> {
    suspects::exchange(node, client, to, REPORT_PATH, report, wait).await
}

/// Asks the collector of the hall which group takes a request.
pub async fn ask_group(
    node: &Node,
    to: &Peer,
    question: &Question,
    wait: Millis,
) -> Result<Reply, CallError> {
    suspects::exchange(node, &node.client, to, GROUP_PATH, question, wait).await
}

/// Asks the collector of the hall for a place at a runner that names a rate.
pub(crate) async fn ask_place(node: &Node, to: &Peer, plea: &Plea, wait: Millis) -> Result<Place, CallError> {
    suspects::exchange(node, &node.client, to, PLACE_PATH, plea, wait).await
}

/// Asks the collector of the hall for a retry. Returns whether it lends one.
pub(crate) async fn ask_loan(node: &Node, to: &Peer, loan: &Loan, wait: Millis) -> Result<bool, CallError> {
    suspects::exchange(node, &node.client, to, LOAN_PATH, loan, wait).await
}

/// Answers other nodes until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_peer(node.clone(), stream));
            }
            Err(error) => pause_accepting(&error).await,
        }
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("peer: {error}");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let node = node.clone();
        async move { Ok::<Answer, Infallible>(answer(&node, request).await) }
    });
    if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("peer: a connection ended with {error}");
    }
}

/// What the figures call a question.
fn find_kind(path: &str) -> &'static str {
    match path {
        PATH => "news",
        GROUP_PATH => "group",
        PLACE_PATH => "place",
        LOAN_PATH => "retry",
        REPORT_PATH => "report",
        _ => "other",
    }
}

async fn answer(node: &Node, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), ASK_MAX).collect().await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    let asked = bytes.len();
    let answer = answer_read(node, &path, bytes).await;
    let answered = answer.body().size_hint().exact().unwrap_or(0) as usize;
    figures::count_question(find_kind(&path), asked, answered);
    answer
}

async fn answer_read(node: &Node, path: &str, bytes: Bytes) -> Answer {
    if path == REPORT_PATH {
        if let Ok(Letter { question, push }) = rmp_serde::from_slice::<Letter<Report>>(&bytes) {
            let pull = suspects::answer(node, &push, question.scope);
            return reply_encoded(&suspects::Reply {
                answer: reporting::receive_report(node, question),
                pull,
            });
        }
    } else if path == GROUP_PATH {
        if let Ok(Letter { question, push }) = rmp_serde::from_slice::<Letter<Question>>(&bytes) {
            let pull = suspects::answer(node, &push, Scope::Node);
            return reply_encoded(&suspects::Reply { answer: dispatch::take(node, question), pull });
        }
    } else if path == PLACE_PATH {
        if let Ok(Letter { question, push }) = rmp_serde::from_slice::<Letter<Plea>>(&bytes) {
            let pull = suspects::answer(node, &push, Scope::Node);
            return reply_encoded(&suspects::Reply { answer: throttle::give_place(node, &question), pull });
        }
    } else if path == LOAN_PATH {
        if let Ok(Letter { question, push }) = rmp_serde::from_slice::<Letter<Loan>>(&bytes) {
            let pull = suspects::answer(node, &push, Scope::Node);
            return reply_encoded(&suspects::Reply { answer: retries::lend(node, &question), pull });
        }
    } else if path == PATH
        && let Ok(question) = rmp_serde::from_slice::<Ask>(&bytes)
    {
        return tell(node, question).await;
    }
    log::warn!("peer: a question to {path} that cannot be read, {} bytes", bytes.len());
    reply(StatusCode::BAD_REQUEST, Bytes::new())
}

async fn tell(node: &Node, question: Ask) -> Answer {
    let started = node.now();
    let mut serving = node.feed.subscribe_serving();
    tokio::select! {
        () = wait_newer(node, question) => {}
        // The sender lives as long as the node.
        _ = serving.wait_for(|serving| !serving) => {}
    }
    if !*serving.borrow() {
        return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let age = node.freshness.lock().age(node.now());
    let news = match node.feed.read_packed(question.after) {
        Ok(news) => news,
        Err(error) => return fail_encoding(&error),
    };
    let Some(((news, age), silence)) = news.zip(age).zip(node.silence()) else {
        return reply(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    reply_encoded(&Told {
        position: news.position,
        whole: news.whole,
        waited_ms: node.now().since(started).0,
        age_ms: age.0,
        silence_ms: silence.0,
        items: news.items,
    })
}

fn reply_encoded<M: Serialize>(message: &M) -> Answer {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => reply(StatusCode::OK, bytes.into()),
        Err(error) => fail_encoding(&error),
    }
}

fn fail_encoding(error: &rmp_serde::encode::Error) -> Answer {
    log::error!("peer: an answer could not be encoded: {error}");
    reply(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
}

/// Waits until there is something newer than the asking node has, or its time is over. An
/// answer without news is given when this node has just been in contact with the store
/// itself, so that those that ask it are hardly longer without than it is.
async fn wait_newer(node: &Node, question: Ask) {
    let Some(after) = question.after else { return };
    let least = node.now() + RENEWED;
    let mut position = node.feed.subscribe();
    let mut contact = node.contact.subscribe();
    let newer = position.wait_for(|position| position.is_some_and(|position| position > after));
    let renewed = contact.wait_for(|contact| contact.is_some_and(|contact| contact > least));
    let either = async {
        // Whichever comes first: the feed is read next, and says what there is.
        tokio::select! { _ = newer => {} _ = renewed => {} }
    };
    let _ = tokio::time::timeout(Millis(question.wait_ms).duration(), either).await;
}

fn reply(status: StatusCode, bytes: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(Some(bytes)));
    *answer.status_mut() = status;
    answer
}
