//! Connects to runners: directly, or through another node where this node's own path is cut.
//!
//! A direct connection that fails, or takes unusually long, is raced against tunnels to the same runner.
//! Each tunnel that wins although the direct connection failed is a proof that the path is at fault
//! and not the runner.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::path::Outcome;
use cottoncrank_fleet::runner::{Place, Runner};
use cottoncrank_net::reach::Link;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::task::JoinSet;

use crate::attempt::Pick;
use crate::channel::{Channel, ChannelError};
use crate::paths;
use crate::state::Node;
use crate::telemetry;
use crate::tunnel::{self, TunnelError};

/// The longest time to make a connection. It is more than ten round trips between halls plus the
/// runner's own delay, and short enough that another runner can still send its first event within
/// 0.3 s, the target of most requests.
const CONNECT_TIMEOUT: Millis = Millis(80);

/// The same where the path is cut: another runner would be no closer.
const TUNNEL_TIMEOUT: Millis = Millis(150);

/// How long a direct connection, and then each tunnel, is waited for before the next one is tried beside
/// it. It is several round trips between halls.
const HEDGE_DELAY: Millis = Millis(20);

/// The most nodes through which one connection is tried.
const MAX_NODES: usize = 3;

/// The most tunnels that a node opens at a time while no path is cut. Runners that are down would
/// otherwise cost all nodes the more connections, the more of them are down.
const MAX_OPENING: usize = 16;

/// How long a node that failed to carry a tunnel is asked for none.
const NODE_AVOID_TIME: Millis = Millis(1000);

/// How long a node of an earlier build is asked for none.
const EARLIER_BUILD_TIME: Millis = Millis(10_000);

/// The runner to connect to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its id.
    pub id: id::Runner,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The hall that it is in.
    pub hall: id::Hall,
}

impl Target {
    /// Returns a runner as a target.
    pub fn of(runner: &Runner) -> Target {
        Target { id: runner.id.clone(), address: runner.address, hall: runner.hall.clone() }
    }

    /// Returns a runner that is known by its place as a target.
    pub fn at(id: id::Runner, place: Place) -> Target {
        Target { id, address: place.address, hall: place.hall }
    }

    /// Returns a picked runner as a target.
    pub fn of_pick(pick: &Pick) -> Target {
        Target { id: pick.id.clone(), address: pick.address, hall: pick.hall.clone() }
    }
}

/// Connects to a runner. A tunnel is given up at `deadline`, whatever it carries.
pub(crate) async fn open(
    node: &Arc<Node>,
    target: Target,
    deadline: Millis,
) -> Result<Channel, ChannelError> {
    let needs_tunnel = node.paths.lock().needs_tunnel(&target.hall, &target.id, node.now());
    if needs_tunnel && let Some(tunnel) = race_tunnels(node, &target, deadline, TUNNEL_TIMEOUT).await {
        return tunnel.into_channel().await;
    }
    open_hedged(node, target, deadline).await
}

/// A tunnel, and the node that carries it.
struct Tunnel {
    connection: Upgraded,
    through: id::Node,
}

impl Tunnel {
    async fn into_channel(self) -> Result<Channel, ChannelError> {
        Channel::start(TokioIo::new(self.connection), Some(self.through)).await
    }
}

/// Connects directly and records how that ended. Fails with [`ErrorKind::TimedOut`] if it takes longer
/// than [`CONNECT_TIMEOUT`].
pub(crate) async fn connect_directly(node: Arc<Node>, target: Target) -> io::Result<Link> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT.duration(), node.reach.connect(target.address));
    let connected = connecting.await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
    let connected = connected.and_then(|link| {
        link.set_nodelay(true)?;
        link.enable_keepalive()?;
        Ok(link)
    });
    paths::record(&node, &target, find_outcome(connected.as_ref().err()));
    connected
}

fn find_outcome(error: Option<&io::Error>) -> Outcome {
    match error.map(io::Error::kind) {
        None => Outcome::Made,
        Some(ErrorKind::ConnectionRefused) => Outcome::Refused,
        Some(ErrorKind::TimedOut) => Outcome::TimedOut,
        Some(_) => Outcome::Failed,
    }
}

/// Races a direct connection against tunnels that start once it is late or has failed.
pub(crate) async fn open_hedged(
    node: &Arc<Node>,
    target: Target,
    deadline: Millis,
) -> Result<Channel, ChannelError> {
    let started = node.now();
    let mut direct = Box::pin(connect_directly(node.clone(), target.clone()));
    let early = tokio::time::timeout(HEDGE_DELAY.duration(), &mut direct).await;
    let mut failed = match early {
        Ok(Ok(link)) => return Channel::start(link, None).await,
        Ok(Err(error)) => Some(error),
        Err(_) => None,
    };
    let mut tunnels = Box::pin(race_tunnels(node, &target, deadline, CONNECT_TIMEOUT));
    let mut is_racing = true;
    loop {
        tokio::select! {
            biased;
            direct = &mut direct, if failed.is_none() => match direct {
                Ok(link) => return Channel::start(link, None).await,
                Err(error) => failed = Some(error),
            },
            tunnel = &mut tunnels, if is_racing => match tunnel {
                Some(tunnel) => {
                    prove(node, target.clone(), failed.is_none().then_some(direct));
                    return tunnel.into_channel().await;
                }
                None => is_racing = false,
            },
        }
        if let Some(error) = failed.take_if(|_| !is_racing) {
            return Err(confirm(node, &target, started, error).await);
        }
    }
}

/// Connects to a runner for another node, directly. Records that the runner has ended if it refuses the
/// connection, as for a request of this node.
pub(crate) async fn connect_for_other(node: &Arc<Node>, target: Target) -> io::Result<Link> {
    let started = node.now();
    let connected = connect_directly(node.clone(), target.clone()).await;
    if find_outcome(connected.as_ref().err()) == Outcome::Refused {
        let node = node.clone();
        tokio::spawn(async move {
            if is_path_proven(&node, &target, started).await {
                node.roster.lock().record_end(&target.id, None, node.now());
            }
        });
    }
    connected
}

/// Records that a tunnel reached a runner, once the direct connection has failed. One that is merely late
/// proves nothing.
fn prove(
    node: &Arc<Node>,
    target: Target,
    direct: Option<impl Future<Output = io::Result<Link>> + Send + 'static>,
) {
    let Some(direct) = direct else { return paths::record_proof(node, &target) };
    let node = node.clone();
    tokio::spawn(async move {
        if direct.await.is_err() {
            paths::record_proof(&node, &target);
        }
    });
}

/// Returns the error of a runner that neither this node nor another one reached. That it refused the
/// connection says that it has ended only if this node reaches others in its hall.
async fn confirm(node: &Arc<Node>, target: &Target, started: Millis, error: io::Error) -> ChannelError {
    if error.kind() != ErrorKind::ConnectionRefused || is_path_proven(node, target, started).await {
        return ChannelError::Connect(error);
    }
    ChannelError::Unconfirmed
}

/// Whether a connection to another runner of the hall was made since `started`, or can be made now. Holds
/// as well if there is no other one to compare with.
async fn is_path_proven(node: &Arc<Node>, target: &Target, started: Millis) -> bool {
    if node.paths.lock().is_made_since(&target.hall, started) {
        return true;
    }
    let others = paths::list_runners(node, &target.hall, MAX_NODES, |id| *id != target.id);
    if others.is_empty() {
        return true;
    }
    for other in others {
        if connect_directly(node.clone(), other).await.is_ok() {
            return true;
        }
    }
    false
}

/// The number of tunnels that a node is opening.
#[derive(Debug, Default)]
pub(crate) struct Opening(AtomicUsize);

struct OpeningGuard<'a>(&'a Opening);

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Opening {
    fn begin(&self, max: usize) -> Option<OpeningGuard<'_>> {
        let before = self.0.fetch_add(1, Ordering::Relaxed);
        let guard = OpeningGuard(self);
        (before < max).then_some(guard)
    }
}

/// Opens tunnels through several nodes, one after the other and then side by side, and returns the first
/// that reaches the runner.
async fn race_tunnels(
    node: &Arc<Node>,
    target: &Target,
    deadline: Millis,
    timeout: Millis,
) -> Option<Tunnel> {
    let max = if node.paths.lock().is_cut(&target.hall) { tunnel::MAX_TUNNELS } else { MAX_OPENING };
    let _guard = node.opening_tunnels.begin(max)?;
    let lifetime = deadline.since(node.now());
    let mut nodes = list_nodes(node, target).into_iter();
    let mut opening = JoinSet::new();
    let (mut failed, mut is_unreached) = (Vec::new(), false);
    let race = async {
        loop {
            if let Some(peer) = nodes.next() {
                let target = target.clone();
                opening.spawn(async move {
                    let opened = tunnel::open(&peer, &target, lifetime).await;
                    (peer.node, opened)
                });
            }
            let patience = if nodes.len() > 0 { HEDGE_DELAY } else { timeout };
            match tokio::time::timeout(patience.duration(), opening.join_next()).await {
                Ok(Some(Ok((through, Ok(connection))))) => return Some(Tunnel { connection, through }),
                Ok(Some(Ok((peer, Err(error))))) => {
                    avoid_if_useless(node, &peer, &error);
                    is_unreached |= matches!(error, TunnelError::Unreached);
                    failed.push(peer);
                }
                Ok(Some(Err(error))) => log::error!("tunnel: opening one failed: {error}"),
                Ok(None) => return None,
                Err(_) => {}
            }
        }
    };
    let tunnel = tokio::time::timeout(timeout.duration(), race).await.ok().flatten();
    telemetry::count_tunnel(tunnel.is_some());
    if tunnel.is_some() {
        // What they did not reach, another node did.
        failed.into_iter().for_each(|peer| avoid(node, peer));
    } else if is_unreached {
        // It may have ended, and this node cannot tell by itself.
        node.roster.lock().doubt(&target.id, node.now());
    }
    tunnel
}

/// Lists the nodes through which a connection to a runner is tried, those that are avoided last.
fn list_nodes(node: &Node, target: &Target) -> Vec<Peer> {
    let settings = node.settings();
    let mut avoided = node.unreachable_for_tunnels.lock();
    avoided.evict_expired(node.now());
    let directory = node.directory.lock();
    let ranked = directory.list_tunnel_nodes(&settings.node, &settings.hall, &target.hall, &mut rand::rng());
    let (last, first): (Vec<&Peer>, Vec<&Peer>) =
        ranked.into_iter().partition(|peer| avoided.contains(&peer.node));
    first.into_iter().chain(last).take(MAX_NODES).cloned().collect()
}

/// Avoids a node whose failure to carry a tunnel does not concern a single runner.
fn avoid_if_useless(node: &Node, peer: &id::Node, error: &TunnelError) {
    log::debug!("tunnel: none through {peer}: {error}");
    match error {
        TunnelError::Unreached | TunnelError::UnknownRunner => {}
        TunnelError::Peer(_) | TunnelError::Exchange(_) | TunnelError::Unavailable => {
            avoid(node, peer.clone())
        }
        TunnelError::Status(_) => {
            let until = node.now() + EARLIER_BUILD_TIME;
            node.unreachable_for_tunnels.lock().insert(peer.clone(), until);
        }
    }
}

/// Asks a node for no tunnels for a while.
pub(crate) fn avoid(node: &Node, peer: id::Node) {
    node.unreachable_for_tunnels.lock().insert(peer, node.now() + NODE_AVOID_TIME);
}
