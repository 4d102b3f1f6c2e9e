//! A connection to a runner, for one request.
//!
//! Each request has a connection of its own. On a reused connection, a runner may send a second
//! answer or close without an answer, and then a request that must not run twice cannot be told
//! apart from one that ran.

use std::io::ErrorKind;
use std::net::SocketAddr;

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::reach::Reach;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::JoinHandle;

/// The longest time to make a connection. It is more than ten round trips between halls plus the
/// runner's own delay, and short enough that another runner can still send its first event within
/// 0.3 s, the target of most requests.
const CONNECT_TIMEOUT: Millis = Millis(80);

/// Why a runner gave no answer.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// No connection was made: nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection broke: the request may have run.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
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
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Channel {
    /// Connects to a runner.
    pub async fn open(reach: &Reach, address: SocketAddr) -> Result<Channel, ChannelError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT.duration(), reach.connect(address));
        let timed_out = |_| ChannelError::Connect(ErrorKind::TimedOut.into());
        let stream = connecting.await.map_err(timed_out)?.map_err(ChannelError::Connect)?;
        stream.set_nodelay(true).map_err(ChannelError::Connect)?;
        let (sender, connection) = http1::Builder::new().handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // The sender or the body reports a failure, and it is handled there.
            if let Err(error) = connection.await {
                log::debug!("channel: {address}: {error}");
            }
        });
        Ok(Channel { sender, driver })
    }

    /// Sends the request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, ChannelError> {
        Ok(self.sender.send_request(request).await?)
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
