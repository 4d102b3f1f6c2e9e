//! What has arrived on a caller's connection, whether the runtime has noticed it or not.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Tells whether bytes have arrived on a connection that were not read.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    is_looking: AtomicBool,
    are_waiting: AtomicBool,
}

/// A connection that looks for bytes which the runtime has not noticed yet.
#[derive(Debug)]
pub(crate) struct Watched {
    stream: TcpStream,
    arrivals: Arc<Arrivals>,
}

impl Arrivals {
    /// Waits until all that has arrived is read. The task has to poll the connection before this, each time.
    pub(crate) async fn wait_read(&self) {
        self.is_looking.store(true, Ordering::Relaxed);
        loop {
            self.are_waiting.store(false, Ordering::Relaxed);
            // The connection is polled before this goes on, and looks if it reads at all.
            tokio::task::yield_now().await;
            if !self.are_waiting.load(Ordering::Relaxed) {
                break;
            }
        }
        self.is_looking.store(false, Ordering::Relaxed);
    }
}

impl Watched {
    /// Watches a connection.
    pub(crate) fn new(stream: TcpStream, arrivals: Arc<Arrivals>) -> Watched {
        Watched { stream, arrivals }
    }

    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.stream).peek(&mut byte), Ok(1..))
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() && self.arrivals.is_looking.load(Ordering::Relaxed) {
            self.arrivals.are_waiting.store(self.has_unread(), Ordering::Relaxed);
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
