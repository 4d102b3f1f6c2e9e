//! A connection to a runner, for one request.
//!
//! Each request has a connection of its own. On a reused connection, a runner may send a second
//! answer or close without an answer, and then a request that must not run twice cannot be told
//! apart from one that ran.

use std::io::ErrorKind;

use cottoncrank::id;
use cottoncrank_net::allowance::{Allowance, Bounded};
use cottoncrank_net::intake::Outgoing;
use cottoncrank_net::resources::Outbound;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

/// The most that a runner may send until the head of its answer is complete, in bytes. Heads are far smaller;
/// what arrives of the body at the same time counts as well.
const HEAD_BYTES: usize = 64 * 1024;

/// The read buffer of a connection, in bytes. It is larger than what a head may take.
const BUFFER_BYTES: usize = 2 * HEAD_BYTES;

/// Why a runner gave no answer.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// No connection was made: nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// No connection was made: it was refused, and it is not known whether the runner has ended or the
    /// path to it is cut.
    #[error("no connection: refused, like all others in its hall")]
    Unconfirmed,
    /// The connection broke: the request may have run.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The runner sent more than any answer has: the request may have run.
    #[error("it sends more than an answer may have")]
    Oversized,
}

impl ChannelError {
    /// Whether the runner's box did not answer in time.
    pub fn is_timeout(&self) -> bool {
        matches!(self, ChannelError::Connect(error) if error.kind() == ErrorKind::TimedOut)
    }

    /// Whether the runner's box answered that no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, ChannelError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// A connection. Dropping it closes it, and the runner then drops the request.
pub struct Channel {
    sender: SendRequest<Outgoing>,
    driver: JoinHandle<()>,
    through: Option<id::Node>,
    allowance: Allowance,
    /// The descriptor that is charged for it, if it carries a request of a caller.
    outbound: Option<Outbound>,
}

impl Channel {
    /// Starts a channel on a connection to a runner. `through` is the node that carries it if it is a
    /// tunnel.
    pub(crate) async fn start(
        connection: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        through: Option<id::Node>,
    ) -> Result<Channel, ChannelError> {
        let allowance = Allowance::new(HEAD_BYTES);
        let bounded = TokioIo::new(Bounded::new(connection, allowance.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(BUFFER_BYTES).handshake(bounded).await?;
        let driver = tokio::spawn(async move {
            // The sender or the body reports a failure, and it is handled there.
            if let Err(error) = connection.await {
                log::debug!("channel: {error}");
            }
        });
        Ok(Channel { sender, driver, through, allowance, outbound: None })
    }

    /// Holds a descriptor of the account for as long as the channel lives.
    pub(crate) fn hold(&mut self, outbound: Outbound) {
        self.outbound = Some(outbound);
    }

    /// Returns the node that carries the connection; `None` if it is direct.
    pub(crate) fn through(&self) -> Option<&id::Node> {
        self.through.as_ref()
    }

    /// Sends the request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Outgoing>) -> Result<Response<Incoming>, ChannelError> {
        let sent = self.sender.send_request(request).await;
        sent.map_err(|error| if self.is_oversized() { ChannelError::Oversized } else { error.into() })
    }

    /// Allows the runner to send this many bytes from now on.
    pub(crate) fn allow(&self, bytes: usize) {
        self.allowance.renew(bytes);
    }

    /// Whether the runner has sent more than it may, so that nothing more is read.
    pub(crate) fn is_oversized(&self) -> bool {
        self.allowance.is_spent()
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
