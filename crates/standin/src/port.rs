//! Ports for the processes that a test starts.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::TcpSocket;

/// A port that is kept for a process of a test until this is dropped.
///
/// It is bound, and nothing listens on it, so the process may take it. A listener that is closed before the process
/// starts would not do: a child process that another thread starts meanwhile has a copy of it for a moment.
#[derive(Debug)]
pub struct Port {
    /// Its address.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl Port {
    /// Finds a free port at an address.
    pub fn find(ip: IpAddr) -> io::Result<Port> {
        let socket = if ip.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // The process that listens there does the same.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(ip, 0))?;
        Ok(Port { address: socket.local_addr()?, _socket: socket })
    }
}
