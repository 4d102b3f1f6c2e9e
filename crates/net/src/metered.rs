//! Connections that tell the account of the process what is read and written on them.

use std::io::{self, IoSlice};
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use cottoncrank::resources::Shortage;
use cottoncrank::{Millis, Size};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::resources::Slot;

/// How long, and how much, is read of a caller that is answered while it still sends. To close the connection
/// at once would reset it, and the answer might be lost with it.
const LINGER_TIME: Millis = Millis(1000);
const LINGER_BYTES: usize = 16 << 20;

/// How much is read at a time then, in bytes.
const LINGER_BUFFER: usize = 16 * 1024;

/// The receive buffer and the send buffer of a connection, in bytes each. What arrives while its process is busy
/// is held in one, and what its caller does not take in the other; the kernel takes up to twice as much.
const KERNEL_BUFFER: usize = 32 * 1024;

/// Limits what the kernel holds of each connection that a listener accepts from now on.
pub fn limit_buffers(listener: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(KERNEL_BUFFER)?;
    socket.set_send_buffer_size(KERNEL_BUFFER)
}

/// A connection whose reads are recorded.
#[derive(Debug)]
pub struct Metered<T> {
    connection: T,
    slot: Arc<Slot>,
    linger: Option<Linger>,
}

/// What may still be read of a connection that is closed.
#[derive(Debug)]
struct Linger {
    timer: Pin<Box<Sleep>>,
    left: usize,
}

impl<T> Metered<T> {
    /// Records the reads of a connection.
    pub fn new(connection: T, slot: Arc<Slot>) -> Metered<T> {
        Metered { connection, slot, linger: None }
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.slot.record_written();
        }
        written
    }

    /// Returns the connection.
    pub fn get_ref(&self) -> &T {
        &self.connection
    }

    /// Returns the connection, and its place in the account.
    pub fn into_parts(self) -> (T, Arc<Slot>) {
        (self.connection, self.slot)
    }
}

impl<T: AsyncRead + Unpin> Metered<T> {
    /// Reads what the caller still sends, until it closes or enough has been read.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            timer: Box::pin(tokio::time::sleep(LINGER_TIME.duration())),
            left: LINGER_BYTES,
        });
        let mut bytes = [0; LINGER_BUFFER];
        while linger.timer.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            if ready!(Pin::new(&mut self.connection).poll_read(context, &mut buffer)).is_err() {
                break;
            }
            let read = buffer.filled().len();
            linger.left = linger.left.saturating_sub(read);
            if read == 0 || linger.left == 0 {
                break;
            }
        }
        Poll::Ready(())
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.connection).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.slot.receive(Size(read));
        }
        polled
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.connection).poll_write_vectored(context, bytes);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.connection).poll_shutdown(context))?;
        }
        if self.slot.is_abandoned() && self.slot.find_eviction() != Some(Shortage::Descriptors) {
            ready!(self.poll_linger(context));
        }
        Poll::Ready(Ok(()))
    }
}
