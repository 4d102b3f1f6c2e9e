//! Bodies that are sent while they are still being made.
//!
//! Such a body ends as complete only if its sender has said so. In every other case, be it an error, a
//! timeout or a panic, the receiver ends with [`Cut`] once it has yielded the chunks that were sent. No mark
//! of the failure travels through the buffer, so none is lost where the buffer is full.

use std::task::{Context, Poll};

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Ends a body that is not complete.
#[derive(Debug, Error)]
#[error("the answer was cut")]
pub struct Cut;

/// The receiver is gone: nobody wants the rest of the body.
#[derive(Debug, Error)]
#[error("nobody reads the answer any more")]
pub struct Closed;

/// How far a body is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Unfinished,
    Complete,
}

/// Makes a body. Dropping it before [`Sender::finish`] cuts the body.
#[derive(Debug)]
pub struct Sender {
    chunks: mpsc::Sender<Bytes>,
    progress: watch::Sender<Progress>,
}

/// Yields the chunks of a body.
#[derive(Debug)]
pub struct Receiver {
    chunks: mpsc::Receiver<Bytes>,
    progress: watch::Receiver<Progress>,
}

/// Tells when a body is cut, even if nobody reads its chunks.
#[derive(Clone, Debug)]
pub struct Watch(watch::Receiver<Progress>);

/// Returns the two ends of a body, with a buffer of `depth` chunks.
pub fn channel(depth: usize) -> (Sender, Receiver) {
    let (chunks, buffered) = mpsc::channel(depth);
    let (progress, watched) = watch::channel(Progress::Unfinished);
    (Sender { chunks, progress }, Receiver { chunks: buffered, progress: watched })
}

impl Sender {
    /// Sends a chunk, once the buffer has room.
    pub async fn send(&self, chunk: Bytes) -> Result<(), Closed> {
        self.chunks.send(chunk).await.map_err(|_| Closed)
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Returns the number of chunks that are buffered.
    pub fn buffered(&self) -> usize {
        self.chunks.max_capacity() - self.chunks.capacity()
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.progress.send_replace(Progress::Complete);
    }
}

impl Receiver {
    /// Yields the next chunk; `None` at the end of a complete body, and [`Cut`] at the end of another one.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(chunk)),
            None if *self.progress.borrow() == Progress::Complete => None,
            None => Some(Err(Cut)),
        })
    }

    /// Returns a watch of the same body.
    pub fn watch(&self) -> Watch {
        Watch(self.progress.clone())
    }
}

impl Watch {
    /// Waits until the body is cut. Waits forever if it is complete.
    pub async fn wait_cut(&mut self) {
        if self.0.wait_for(|progress| *progress == Progress::Complete).await.is_ok() {
            std::future::pending().await
        }
    }
}
