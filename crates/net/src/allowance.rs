//! Bounds what the other side of a connection may send.
//!
//! A message may be without end in many ways, and a bound on each part of it is easily forgotten: on its head,
//! its chunks, their sizes, what precedes and follows it. This bounds all bytes, whatever they are.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How many bytes may still be read from a connection.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows this many bytes from now on.
    pub fn new(bytes: usize) -> Allowance {
        Allowance(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Allows this many bytes from now on, whatever is left.
    pub fn renew(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Whether all of it was used up.
    pub fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let spent = |left: usize| Some(left.saturating_sub(bytes));
        // The closure always returns a value, so this cannot fail.
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spent);
    }
}

/// A connection of which no more is read than an [`Allowance`] permits. Reads fail after that.
#[derive(Debug)]
pub struct Bounded<T> {
    connection: T,
    allowance: Allowance,
}

impl<T> Bounded<T> {
    /// Bounds what is read from `connection`.
    pub fn new(connection: T, allowance: Allowance) -> Bounded<T> {
        Bounded { connection, allowance }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Bounded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            return Poll::Ready(Err(io::Error::other("the other side sends more than it may")));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.connection).poll_read(context, buffer);
        self.allowance.spend(buffer.filled().len() - before);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Bounded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(context)
    }
}
