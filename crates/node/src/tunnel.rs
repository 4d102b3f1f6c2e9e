//! Tunnels: connections to runners that lead through another node, for a node whose own path to them is
//! cut.
//!
//! A tunnel carries bytes and decides nothing. The node that opens it keeps the request with its account,
//! deadline, permits and retries, and is the one that sends it. The node that carries it only ever
//! connects to the runner itself, so no tunnel leads through a second node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use cottoncrank::resources::Kind;
use cottoncrank::{Millis, Size, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_net::keepalive;
use cottoncrank_net::reach::Link;
use cottoncrank_net::resources::{Charge, Outbound, Slot};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderMap, HeaderName};
use hyper::upgrade::{self, Upgraded};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::answer::{Answer, Body};
use crate::connect::{Target, connect_for_other};
use crate::ports::Connection;
use crate::state::Node;
use crate::telemetry;

/// Names the runner to which a tunnel leads.
const RUNNER: HeaderName = HeaderName::from_static("cottoncrank-runner");

/// Names for how long the tunnel is needed at the most, in milliseconds.
const LIFETIME: HeaderName = HeaderName::from_static("cottoncrank-lifetime-ms");

/// The most tunnels that a node carries at a time.
pub const MAX_TUNNELS: usize = 512;

/// What a tunnel takes beside the connection that it was asked for on: another connection, and two buffers.
const TUNNEL: Size = Size::kilobytes(24);

/// Why a node opened no tunnel.
#[derive(Debug, Error)]
pub(crate) enum TunnelError {
    /// The node did not answer.
    #[error("{0}")]
    Peer(#[from] io::Error),
    /// The exchange with the node failed.
    #[error("{0}")]
    Exchange(#[from] hyper::Error),
    /// The node does not reach the runner.
    #[error("it does not reach the runner either")]
    Unreached,
    /// The node carries no tunnels at present: its own path is cut, it stops, or it carries too many.
    #[error("it carries none at present")]
    Unavailable,
    /// The node does not know the runner.
    #[error("it does not know the runner")]
    UnknownRunner,
    /// The node is of an earlier build, or answered in another unexpected way.
    #[error("it answered {0}")]
    Status(StatusCode),
}

/// The number of tunnels that a node carries.
#[derive(Debug, Default)]
pub struct Carried(AtomicUsize);

impl Carried {
    /// Returns the number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a tunnel as carried until it is dropped.
struct CarryGuard {
    node: Arc<Node>,
    _outbound: Outbound,
    _room: Charge,
}

impl CarryGuard {
    /// Returns `None` if the node carries as many as it may.
    fn begin(node: &Arc<Node>, slot: &Slot) -> Option<CarryGuard> {
        let outbound = node.resources.begin_outbound()?;
        let room = slot.charge(TUNNEL, Kind::Overhead).ok()?;
        let before = node.carried_tunnels.0.fetch_add(1, Ordering::Relaxed);
        let guard = CarryGuard { node: node.clone(), _outbound: outbound, _room: room };
        (before < MAX_TUNNELS).then_some(guard)
    }
}

impl Drop for CarryGuard {
    fn drop(&mut self) {
        self.node.carried_tunnels.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Opens a tunnel to a runner through another node, for `lifetime` at the most.
pub(crate) async fn open(peer: &Peer, target: &Target, lifetime: Millis) -> Result<Upgraded, TunnelError> {
    let stream = TcpStream::connect(peer.address).await?;
    stream.set_nodelay(true)?;
    keepalive::enable(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let address = peer.address;
    tokio::spawn(async move {
        // The sender reports a failure, or the tunnel itself does.
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("tunnel: {address}: {error}");
        }
    });
    let answer = sender.send_request(build_request(target, lifetime)).await?;
    match answer.status() {
        StatusCode::OK => Ok(upgrade::on(answer).await?),
        StatusCode::BAD_GATEWAY => Err(TunnelError::Unreached),
        StatusCode::SERVICE_UNAVAILABLE => Err(TunnelError::Unavailable),
        StatusCode::NOT_FOUND => Err(TunnelError::UnknownRunner),
        other => Err(TunnelError::Status(other)),
    }
}

fn build_request(target: &Target, lifetime: Millis) -> Request<Empty<Bytes>> {
    let address = target.address.to_string();
    let request = Request::builder()
        .method(Method::CONNECT)
        .uri(&address)
        .header(HOST, &address)
        .header(RUNNER, target.id.as_str())
        .header(LIFETIME, lifetime.0);
    request.body(Empty::new()).expect("an address and a runner id are valid in a head")
}

/// What another node asks for.
#[derive(Debug)]
struct Query {
    runner: id::Runner,
    address: SocketAddr,
    lifetime: Millis,
}

fn read_query<B>(request: &Request<B>) -> Option<Query> {
    let text = |headers: &HeaderMap, name| headers.get(name)?.to_str().ok().map(str::to_owned);
    let headers = request.headers();
    Some(Query {
        runner: text(headers, RUNNER)?.parse().ok()?,
        address: request.uri().authority()?.as_str().parse().ok()?,
        lifetime: Millis(text(headers, LIFETIME)?.parse().ok()?),
    })
}

/// Answers the query of another node for a tunnel, and carries the tunnel if it can be opened.
pub(crate) async fn answer(node: &Arc<Node>, request: Request<Incoming>, slot: &Slot) -> Answer {
    let Some(query) = read_query(&request) else {
        log::warn!("tunnel: a query cannot be decoded");
        return build_answer(StatusCode::BAD_REQUEST);
    };
    match begin(node, &query, slot).await {
        Ok((runner, guard)) => {
            telemetry::count_carried_tunnel("opened");
            tokio::spawn(carry(request, runner, query, guard));
            build_answer(StatusCode::OK)
        }
        Err(error) => {
            let (status, outcome) = match error {
                TunnelError::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
                TunnelError::UnknownRunner => (StatusCode::NOT_FOUND, "unknown_runner"),
                _ => (StatusCode::BAD_GATEWAY, "unreached"),
            };
            telemetry::count_carried_tunnel(outcome);
            log::debug!("tunnel: none to {}: {error}", query.runner);
            build_answer(status)
        }
    }
}

fn build_answer(status: StatusCode) -> Answer {
    let mut answer = Response::new(Body::Whole(None));
    *answer.status_mut() = status;
    answer
}

/// Connects to the runner of a query. Only known runners are connected to, at the address that their
/// entry or a plan names.
async fn begin(node: &Arc<Node>, query: &Query, slot: &Slot) -> Result<(Link, CarryGuard), TunnelError> {
    let known = node.find_place(&query.runner).filter(|place| place.address == query.address);
    let target = Target::at(query.runner.clone(), known.ok_or(TunnelError::UnknownRunner)?);
    let is_stopping = *node.draining.borrow();
    if is_stopping || node.paths.lock().is_cut(&target.hall) {
        return Err(TunnelError::Unavailable);
    }
    let guard = CarryGuard::begin(node, slot).ok_or(TunnelError::Unavailable)?;
    let link = connect_for_other(node, target).await.map_err(|_| TunnelError::Unreached)?;
    Ok((link, guard))
}

/// How a tunnel ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// One side closed its connection.
    Closed,
    /// A connection broke, or the tunnel's time is over.
    Aborted,
}

/// Carries bytes both ways until one side ends or the time is over, and then closes both connections. The
/// node that opened the tunnel gets a reset unless the runner has closed its connection: an answer may have
/// neither a length nor chunks, and must not look complete if this process ends within it.
async fn carry(request: Request<Incoming>, mut runner: Link, query: Query, _guard: CarryGuard) {
    let (mut opener, _slot) = match upgrade::on(request).await.map(Upgraded::downcast::<TokioIo<Connection>>)
    {
        Ok(Ok(parts)) => {
            if let Err(error) = runner.write_all(&parts.read_buf).await {
                log::debug!("tunnel: {}: {error}", query.runner);
            }
            parts.io.into_inner().into_parts()
        }
        Ok(Err(_)) => return log::error!("tunnel: the connection of a query is of an unexpected type"),
        Err(error) => return log::debug!("tunnel: {}: {error}", query.runner),
    };
    // The kernel resets the connection when the process ends.
    if let Err(error) = opener.set_zero_linger() {
        return log::warn!("tunnel: {}: its end could not be told from an abort: {error}", query.runner);
    }
    if copy_both_ways(&mut opener, &mut runner, query.lifetime).await == End::Closed
        && let Err(error) = SockRef::from(&opener).set_linger(None)
    {
        log::warn!("tunnel: {}: its end is told as an abort: {error}", query.runner);
    }
}

async fn copy_both_ways(opener: &mut TcpStream, runner: &mut Link, lifetime: Millis) -> End {
    let (mut from_opener, mut to_opener) = opener.split();
    let (mut from_runner, mut to_runner) = tokio::io::split(runner);
    let copied = tokio::select! {
        copied = tokio::io::copy(&mut from_opener, &mut to_runner) => copied,
        copied = tokio::io::copy(&mut from_runner, &mut to_opener) => copied,
        () = tokio::time::sleep(lifetime.duration()) => return End::Aborted,
    };
    if copied.is_ok() { End::Closed } else { End::Aborted }
}
