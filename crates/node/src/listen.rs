//! Takes the ports of a node, and waits for those that others hold.

use std::io;
use std::net::SocketAddr;

use cottoncrank::resources::Port;
use cottoncrank_fleet::settings::Settings;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};

use crate::ports;
use crate::repeat;
use crate::state::Node;

/// A port that cannot be had at present.
#[derive(Debug, Error)]
#[error("the port for {} cannot be had at {address}: {source}", .port.name())]
struct PortError {
    port: Port,
    address: SocketAddr,
    source: io::Error,
}

/// A port that is bound, so that nobody else takes it. Connections to it are refused until it listens.
struct Claim {
    port: Port,
    bound: Option<(SocketAddr, TcpSocket)>,
}

impl Claim {
    fn new(port: Port) -> Claim {
        Claim { port, bound: None }
    }

    /// Binds an address, in place of another one if the settings have changed.
    fn bind(&mut self, address: SocketAddr) -> Result<(), PortError> {
        if self.bound.as_ref().is_some_and(|(bound, _)| *bound == address) {
            return Ok(());
        }
        self.bound = None;
        let socket = bind(address).map_err(|source| PortError { port: self.port, address, source })?;
        self.bound = Some((address, socket));
        Ok(())
    }

    /// Listens at the address, which has to be bound first.
    fn listen(&mut self, address: SocketAddr) -> Result<TcpListener, PortError> {
        self.bind(address)?;
        let bound = self.bound.take().ok_or_else(|| io::ErrorKind::NotConnected.into());
        let listener = bound.and_then(|(_, socket)| socket.listen(ports::backlog(self.port)));
        listener.map_err(|source| PortError { port: self.port, address, source })
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // The port may have connections left of the process before.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Listens at a port, as soon as it can be had.
pub(crate) async fn wait_for_port(
    node: &Node,
    port: Port,
    find: impl Fn(&Settings) -> SocketAddr,
) -> TcpListener {
    let mut claim = Claim::new(port);
    repeat::until_done(|| claim.listen(find(&node.settings()))).await
}

/// Listens at the ports for callers and for other nodes, as soon as both can be had. Callers of a node that lacks
/// one of them are refused at once, and may go to another one.
pub(crate) async fn wait_for_both_ports(node: &Node) -> (TcpListener, TcpListener) {
    let (mut callers, mut peers) = (Claim::new(Port::Callers), Claim::new(Port::Peers));
    repeat::until_done(|| {
        let settings = node.settings();
        let bound = (callers.bind(settings.callers), peers.bind(settings.peers));
        bound.0.and(bound.1)?;
        let peers = peers.listen(settings.peers)?;
        Ok::<_, PortError>((callers.listen(settings.callers)?, peers))
    })
    .await
}
