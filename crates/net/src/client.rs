//! The HTTP client for calls to other processes. It counts the bytes on the wire.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use cottoncrank::clock::System;
use cottoncrank::{Clock, Millis};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::reach::Reach;

/// The largest answer body that is read to its end, in bytes.
pub const ANSWER_MAX: usize = 8 << 20;

/// How long an idle connection is kept in the pool. Servers keep it longer.
const IDLE_TIMEOUT: Millis = Millis(20_000);

/// An answer that exceeds its timeout by more than this arrived while the box was suspended, or waited
/// here unread. It counts as timed out. Timers on a busy box are 0.1 to 0.3 s late.
const SUSPENSION_MARGIN: Millis = Millis(500);

/// How many turns a call gets after its timeout. Timers fire before an answer that waits in the socket has been
/// read, which takes its connection and the call a few turns each.
const LATE_TURNS: u32 = 8;

/// How long the setup of a connection may take.
const CONNECT_TIMEOUT: Millis = Millis(400);

/// The statuses of answers (RFC 9110, section 15). Those below announce another answer or another protocol, and
/// a server in trouble may send any three digits.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Whether a status is one that an answer has. What has another one is no answer.
pub fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// The error of a call without a usable answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    #[error("no connection to {address}: {reason}")]
    Connect {
        /// The other side.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The connection broke; the call may have taken effect.
    #[error("the connection to {address} broke: {reason}")]
    Broken {
        /// The other side.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// No answer arrived in time; the call may have taken effect.
    #[error("no answer from {address} within {timeout}")]
    Timeout {
        /// The other side.
        address: SocketAddr,
        /// The timeout of the call.
        timeout: Millis,
    },
    /// The answer is larger than is read.
    #[error("the answer of {address} is larger than {ANSWER_MAX} bytes")]
    TooLarge {
        /// The other side.
        address: SocketAddr,
    },
    /// The other side answered with an error status.
    #[error("{address} answered {status}")]
    Status {
        /// The other side.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The message could not be encoded, or the answer could not be decoded.
    #[error("invalid message to or from {address}: {reason}")]
    Message {
        /// The other side.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
}

impl CallError {
    /// Whether it is certain that nothing of the call reached the other side.
    pub fn is_unsent(&self) -> bool {
        matches!(self, CallError::Connect { .. })
    }
}

/// Counts the calls of a client and the bytes on all its connections, HTTP heads included.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    calls: AtomicU64,
}

/// What a client has sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Calls made.
    pub calls: u64,
}

impl Traffic {
    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        Tally {
            sent: self.0.sent.load(Ordering::Relaxed),
            received: self.0.received.load(Ordering::Relaxed),
            calls: self.0.calls.load(Ordering::Relaxed),
        }
    }
}

/// A TCP stream that counts its bytes, and fails where more is received than an answer may have.
pub struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
    answer_max: usize,
    /// The bytes received since something was sent.
    answered: usize,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.answered > self.answer_max {
            return Poll::Ready(Err(io::Error::other("the other side sends more than an answer may have")));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.answered += read;
        self.traffic.0.received.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.traffic.0.sent.fetch_add(written as u64, Ordering::Relaxed);
            self.answered = 0;
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

/// Establishes connections that count their bytes.
#[derive(Clone)]
struct Connector {
    traffic: Traffic,
    answer_max: usize,
}

impl tower_service::Service<Uri> for Connector {
    type Response = TokioIo<CountedStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<TokioIo<CountedStream>>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let Connector { traffic, answer_max } = self.clone();
        Box::pin(async move {
            let address: SocketAddr =
                uri.authority()
                    .and_then(|authority| authority.as_str().parse().ok())
                    .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "no address"))?;
            let stream = tokio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(address))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(CountedStream { stream, traffic, answer_max, answered: 0 }))
        })
    }
}

/// An HTTP client with its connection pool.
#[derive(Clone)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<Connector, Full<Bytes>>,
    traffic: Traffic,
    reach: Option<Reach>,
    clock: System,
}

/// An answer whose body still streams.
pub type Answer = Response<Incoming>;

impl Client {
    /// Returns a client that counts into `traffic`.
    pub fn new(traffic: Traffic) -> Client {
        Client::build(traffic, None, usize::MAX)
    }

    /// Returns a client whose calls to the addresses that `reach` cuts off get no answer.
    pub fn with_reach(traffic: Traffic, reach: Reach) -> Client {
        Client::build(traffic, Some(reach), usize::MAX)
    }

    /// Returns such a client for small answers. A call fails once its answer takes more than `answer_max` bytes
    /// on the wire, whatever these are.
    pub fn with_small_answers(traffic: Traffic, reach: Reach, answer_max: usize) -> Client {
        Client::build(traffic, Some(reach), answer_max)
    }

    fn build(traffic: Traffic, reach: Option<Reach>, answer_max: usize) -> Client {
        // A request is sent again on another connection if an idle one turned out to be closed before
        // any of it was written, so nothing is sent twice.
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT.duration())
            .pool_timer(TokioTimer::new())
            .build(Connector { traffic: traffic.clone(), answer_max });
        Client { inner, traffic, reach, clock: System::new() }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Millis,
    ) -> Result<Answer, CallError> {
        let answer = self.request(address, method, path, headers, body);
        let answer = tokio::time::timeout(timeout.duration(), answer).await;
        answer.unwrap_or(Err(CallError::Timeout { address, timeout }))
    }

    /// Sends a request and waits for the head of the answer, however long that takes.
    async fn request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, CallError> {
        let message = |reason: String| CallError::Message { address, reason };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| message(error.to_string()))?;
        *request.headers_mut() = headers;
        self.traffic.0.calls.fetch_add(1, Ordering::Relaxed);
        let request = async {
            match self.inner.request(request).await {
                Ok(answer) => Ok(answer),
                Err(error) if error.is_connect() => {
                    Err(CallError::Connect { address, reason: format_sources(&error) })
                }
                Err(error) => Err(CallError::Broken { address, reason: format_sources(&error) }),
            }
        };
        let answer = async {
            let Some(reach) = &self.reach else { return request.await };
            let refused = |error: io::Error| CallError::Connect { address, reason: error.to_string() };
            reach.check(address).await.map_err(refused)?;
            tokio::select! {
                biased;
                () = reach.wait_until_cut(address) => std::future::pending().await,
                answer = request => answer,
            }
        };
        answer.await
    }

    /// Sends a request and reads the answer to its end, all within `timeout`. The timeout covers the
    /// body because otherwise a connection that goes silent within an answer would block the call
    /// forever. An answer that waited here while the box was suspended counts as timed out.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Millis,
    ) -> Result<Response<Bytes>, CallError> {
        let exchange = async {
            let answer = self.request(address, method, path, headers, body).await?;
            let (head, body) = answer.into_parts();
            Ok(Response::from_parts(head, read_all(address, body).await?))
        };
        let mut exchange = pin!(exchange);
        let started = self.clock.now();
        let suspended = || self.clock.now().since(started) > timeout + SUSPENSION_MARGIN;
        let mut answer = tokio::time::timeout(timeout.duration(), exchange.as_mut()).await.ok();
        for _ in 0..LATE_TURNS {
            if answer.is_some() || suspended() {
                break;
            }
            tokio::task::yield_now().await;
            answer = poll_once(exchange.as_mut()).await;
        }
        answer.filter(|_| !suspended()).unwrap_or(Err(CallError::Timeout { address, timeout }))
    }

    /// Sends one message to `path` and reads one back, both in MessagePack.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        query: &Q,
        timeout: Millis,
    ) -> Result<A, CallError> {
        let body = encode(address, query)?;
        let exchanged = self.exchange(address, Method::POST, path, HeaderMap::new(), body, timeout);
        decode(address, exchanged.await?)
    }

    /// Like [`Client::call`], without a bound on the duration of the whole answer. Its head has to
    /// arrive within `timeout`, and each further part within `stall_timeout`. A bound on the whole
    /// would abort large answers the most often, and each aborted answer is requested again.
    pub async fn call_steadily<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        query: &Q,
        timeout: Millis,
        stall_timeout: Millis,
    ) -> Result<A, CallError> {
        let body = encode(address, query)?;
        let started = self.clock.now();
        let answer = self.send(address, Method::POST, path, HeaderMap::new(), body, timeout).await?;
        if self.clock.now().since(started) > timeout + SUSPENSION_MARGIN {
            return Err(CallError::Timeout { address, timeout });
        }
        let (head, body) = answer.into_parts();
        let body = self.read_steadily(address, body, stall_timeout).await?;
        decode(address, Response::from_parts(head, body))
    }

    /// Reads a body to its end. Each part has to arrive within `stall_timeout`.
    async fn read_steadily(
        &self,
        address: SocketAddr,
        body: Incoming,
        stall_timeout: Millis,
    ) -> Result<Bytes, CallError> {
        let mut body = Limited::new(body, ANSWER_MAX);
        let mut read = BytesMut::new();
        loop {
            let started = self.clock.now();
            let frame = tokio::time::timeout(stall_timeout.duration(), body.frame()).await;
            let suspended = self.clock.now().since(started) > stall_timeout + SUSPENSION_MARGIN;
            let Some(frame) = frame.ok().filter(|_| !suspended) else {
                return Err(CallError::Timeout { address, timeout: stall_timeout });
            };
            match frame {
                Some(Ok(frame)) => read.extend(frame.into_data()),
                Some(Err(error)) => return Err(CallError::Broken { address, reason: error.to_string() }),
                None => return Ok(read.freeze()),
            }
        }
    }
}

/// Polls a future once.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Option<F::Output> {
    poll_fn(|context| {
        Poll::Ready(match future.as_mut().poll(context) {
            Poll::Ready(output) => Some(output),
            Poll::Pending => None,
        })
    })
    .await
}

fn encode<Q: Serialize>(address: SocketAddr, query: &Q) -> Result<Bytes, CallError> {
    let encoded = rmp_serde::to_vec(query).map(Bytes::from);
    encoded.map_err(|error| CallError::Message { address, reason: error.to_string() })
}

fn decode<A: DeserializeOwned>(address: SocketAddr, answer: Response<Bytes>) -> Result<A, CallError> {
    let status = answer.status();
    if !status.is_success() {
        return Err(CallError::Status { address, status });
    }
    let decoded = rmp_serde::from_slice(answer.body());
    decoded.map_err(|error| CallError::Message { address, reason: error.to_string() })
}

/// Reads a body to its end, up to [`ANSWER_MAX`].
pub async fn read_all(address: SocketAddr, body: Incoming) -> Result<Bytes, CallError> {
    match Limited::new(body, ANSWER_MAX).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLarge { address }),
        Err(error) => Err(CallError::Broken { address, reason: error.to_string() }),
    }
}

/// Returns the headers for a JSON body.
pub fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    headers
}

fn format_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text = format!("{text}: {error}");
        source = error.source();
    }
    text
}
