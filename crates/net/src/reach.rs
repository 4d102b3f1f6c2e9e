//! Cuts of the network between a process and others, for tests of partitions.

use std::collections::HashSet;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::keepalive;

/// How a cut from all addresses shows in connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Block {
    /// There is no such cut.
    #[default]
    None,
    /// Nothing arrives, on new and on open connections. What was lost stays lost afterwards.
    Hang,
    /// New connections are refused, and open ones are reset with the next data that arrives.
    Reset,
    /// New connections are refused, and open ones live on.
    Refuse,
}

#[derive(Debug, Default)]
struct State {
    cut: HashSet<SocketAddr>,
    block: Block,
}

impl State {
    fn find_block(&self, address: SocketAddr) -> Block {
        if self.cut.contains(&address) { Block::Hang } else { self.block }
    }
}

/// What a process cannot reach. A cut address never answers, not even a call that is in flight when it
/// is cut.
#[derive(Clone, Debug)]
pub struct Reach(Arc<watch::Sender<State>>);

impl Default for Reach {
    fn default() -> Reach {
        Reach(Arc::new(watch::Sender::new(State::default())))
    }
}

impl Reach {
    /// Cuts off these addresses from now on.
    pub fn cut(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.0.send_modify(|state| state.cut.extend(addresses));
    }

    /// Cuts off all addresses from now on.
    pub fn block(&self, block: Block) {
        self.0.send_modify(|state| state.block = block);
    }

    /// Makes all addresses reachable again.
    pub fn heal(&self) {
        self.0.send_modify(|state| *state = State::default());
    }

    /// Connects to an address, if it can be reached.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<Link> {
        self.check(address).await?;
        let stream = TcpStream::connect(address).await?;
        Ok(Link { stream, reach: self.clone(), address })
    }

    /// Fails if new connections to an address are refused, and never returns if they hang.
    pub(crate) async fn check(&self, address: SocketAddr) -> io::Result<()> {
        match self.find_block(address) {
            Block::None => Ok(()),
            Block::Hang => std::future::pending().await,
            Block::Reset | Block::Refuse => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }

    /// Waits until what is sent to an address gets no answer.
    pub(crate) async fn wait_until_cut(&self, address: SocketAddr) {
        // The sender lives as long as `self`, so the wait ends only when the address is cut off.
        let _ = self.0.subscribe().wait_for(|state| state.find_block(address) == Block::Hang).await;
    }

    fn find_block(&self, address: SocketAddr) -> Block {
        self.0.borrow().find_block(address)
    }
}

/// A connection that a cut concerns as well.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    reach: Reach,
    address: SocketAddr,
}

impl Link {
    /// Disables the delay of small packets.
    pub fn set_nodelay(&self, nodelay: bool) -> io::Result<()> {
        self.stream.set_nodelay(nodelay)
    }

    /// Lets the connection fail once the other side is gone, see [`keepalive`].
    pub fn enable_keepalive(&self) -> io::Result<()> {
        keepalive::enable(&self.stream)
    }

    /// Returns what a read or a write yields because of a cut; `None` if it is not cut.
    fn poll_cut<T>(&self) -> Option<Poll<io::Result<T>>> {
        match self.reach.find_block(self.address) {
            Block::None | Block::Refuse => None,
            Block::Hang => Some(Poll::Pending),
            Block::Reset => Some(Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))),
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_cut() {
            Some(cut) => cut,
            None => Pin::new(&mut self.stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Link {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.poll_cut() {
            Some(cut) => cut,
            None => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.poll_cut() {
            Some(cut) => cut,
            None => Pin::new(&mut self.stream).poll_write_vectored(cx, bytes),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
