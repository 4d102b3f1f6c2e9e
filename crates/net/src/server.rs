//! The HTTP server: listeners, worker threads, and a service that answers requests.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread::JoinHandle;

use bytes::Bytes;
use cottoncrank::resources::Shortage;
use cottoncrank::{Millis, Size};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::Builder;
use xitca_service::ServiceExt;
use xitca_web::body::{Body, BodyExt, Frame, RequestBody, ResponseBody, SizeHint};
use xitca_web::handler::handler_service;
use xitca_web::http::header::{CONTENT_TYPE, HeaderValue};
use xitca_web::http::{RequestExt, StatusCode, WebRequest, WebResponse};
use xitca_web::{App, WebContext};

use crate::feed::{self, Cut};
use crate::intake::{self, IntakeError};
use crate::keepalive;
use crate::metered;
use crate::resources::Slot;

mod slots;

use slots::Handling;

pub use slots::Slots;
pub use xitca_web::http::header;
pub use xitca_web::http::{HeaderMap, Method as Verb, StatusCode as Status};

/// The head of a request as a service sees it.
pub type Head = WebRequest<()>;

/// The body of a request, not yet read. What is read of it is charged to the slot of its connection.
pub struct Incoming {
    body: RequestBody,
    slot: Arc<Slot>,
}

impl Incoming {
    /// Returns the slot of its connection in the account of the process.
    pub fn slot(&self) -> &Arc<Slot> {
        &self.slot
    }
}

/// An answer.
pub type Answer = WebResponse;

/// Answers requests. One value serves all worker threads.
pub trait Service: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller disconnects.
    fn answer(&self, head: Head, body: Incoming) -> impl Future<Output = Answer>;
}

/// The error of a request body that was not accepted.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no room for it at present.
    #[error("there is no room for the body at present")]
    NoRoom,
    /// The connection broke before its end.
    #[error("the body broke off")]
    Broken,
    /// It is not a valid encoding of the expected message.
    #[error("the body cannot be read: {0}")]
    Invalid(String),
}

/// A running server. Dropping it stops it at once.
pub struct Server {
    address: SocketAddr,
    stop: Box<dyn Fn() + Send + Sync>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Returns the address of its first listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and cuts its open connections.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        (self.stop)();
        if let Some(thread) = self.thread.take() {
            // An error means that a worker panicked, which it has printed on standard error.
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// The largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// How long idle connections are kept. This is longer than any client of this project keeps them, so
/// that a client never writes to a connection that the server is closing.
const KEEP_ALIVE: Millis = Millis(60_000);

/// How long a caller may take nothing of an answer before its connection is closed. The answer would
/// otherwise be held for good, and with it what its request holds.
pub const UNREAD_TIMEOUT: Millis = Millis(10_000);

/// Serves `service` on `listener` with `workers` threads until stopped.
pub fn serve<S: Service>(listener: TcpListener, workers: usize, service: Arc<S>) -> io::Result<Server> {
    serve_many(vec![listener], workers, service)
}

/// Serves `service` on several listeners with one set of threads. The `Host` header says at which
/// listener a request arrived.
pub fn serve_many<S: Service>(
    listeners: Vec<TcpListener>,
    workers: usize,
    service: Arc<S>,
) -> io::Result<Server> {
    start(listeners, workers, service, Slots::unlimited())
}

/// Serves like [`serve`], as many connections as have a slot.
pub fn serve_within<S: Service>(
    listener: TcpListener,
    workers: usize,
    service: Arc<S>,
    slots: Slots,
) -> io::Result<Server> {
    start(vec![listener], workers, service, slots)
}

fn start<S: Service>(
    listeners: Vec<TcpListener>,
    workers: usize,
    service: Arc<S>,
    slots: Slots,
) -> io::Result<Server> {
    let first = listeners.first().ok_or(io::ErrorKind::InvalidInput)?;
    let address = first.local_addr()?;
    let app = App::new()
        .with_state(service)
        .at("/", handler_service(handle::<S>))
        .at("/{*path}", handler_service(handle::<S>));
    let app = Arc::new(app.finish());
    let config = HttpServiceConfig::new()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>()
        .keep_alive_timeout(KEEP_ALIVE.duration());
    let mut builder = Builder::new().worker_threads(workers).disable_signal();
    for listener in listeners {
        listener.set_nonblocking(true)?;
        keepalive::limit_unread(&listener, UNREAD_TIMEOUT)?;
        metered::limit_buffers(&listener)?;
        let http = app.clone().enclosed(HttpServiceBuilder::with_config(config));
        builder = builder.listen("http", listener, http.enclosed(slots.clone()));
    }
    let mut running = builder.build();
    let handle = running.handle()?;
    let thread = std::thread::Builder::new().name("http-server".into()).spawn(move || {
        if let Err(error) = running.wait() {
            log::error!("server: stopped with an error: {error}");
        }
    })?;
    Ok(Server { address, stop: Box::new(move || handle.stop(false)), thread: Some(thread) })
}

async fn handle<S: Service>(context: &WebContext<'_, Arc<S>>) -> Result<Answer, Infallible> {
    let handling = Handling::begin();
    let body = std::mem::take(&mut *context.body_borrow_mut());
    let mut head = xitca_web::http::Request::new(RequestExt::default());
    *head.method_mut() = context.req().method().clone();
    *head.uri_mut() = context.req().uri().clone();
    *head.headers_mut() = context.req().headers().clone();
    let incoming = Incoming { body, slot: handling.slot().clone() };
    let answer = context.state().answer(head, incoming).await;
    Ok(handling.hold(answer))
}

/// How much of a body that is not accepted is read and discarded, in bytes, and for how long. A caller that is
/// answered while it still writes may see a broken connection in place of the answer.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
const DISCARD_TIME: Millis = Millis(1000);

/// Reads the rest of a body and discards it, up to a bound. An answer that is sent while the caller
/// still writes may be lost with the connection.
pub async fn discard_body(body: &mut Incoming) {
    let slot = body.slot.clone();
    tokio::select! {
        () = discard(body) => {}
        () = tokio::time::sleep(DISCARD_TIME.duration()) => {}
        _ = slot.wait_evicted(Some(Shortage::Memory)) => {}
    }
}

async fn discard(body: &mut Incoming) {
    let mut read = 0;
    while let Some(Ok(frame)) = body.body.frame().await {
        let Frame::Data(data) = frame else { continue };
        read += data.len();
        if read > MAX_DISCARDED_BYTES {
            break;
        }
    }
}

impl hyper::body::Body for Incoming {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, BodyError>>> {
        Body::poll_frame(Pin::new(&mut self.body), cx).map(|next| {
            next.map(|frame| match frame.map_err(|_| BodyError::Broken)? {
                Frame::Data(data) => {
                    self.slot.receive(Size(data.len()));
                    Ok(hyper::body::Frame::data(data))
                }
                Frame::Trailers(trailers) => Ok(hyper::body::Frame::trailers(trailers)),
            })
        })
    }
}

/// Reads a body to its end, up to `max` bytes, within the account of the process. The rest of one that is not
/// accepted is discarded.
pub async fn read_body(mut body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    let slot = body.slot.clone();
    let error = match intake::read_whole(&mut body, max, &slot).await {
        Ok(bytes) => {
            slot.serve();
            return Ok(bytes);
        }
        Err(IntakeError::Broken) => return Err(BodyError::Broken),
        Err(IntakeError::TooLarge) => BodyError::TooLarge(max),
        Err(IntakeError::Short(_)) => BodyError::NoRoom,
    };
    discard_body(&mut body).await;
    Err(error)
}

/// Reads a body in MessagePack.
pub async fn read_message<T: DeserializeOwned>(body: Incoming, max: usize) -> Result<T, BodyError> {
    let bytes = read_body(body, max).await?;
    rmp_serde::from_slice(&bytes).map_err(|error| BodyError::Invalid(error.to_string()))
}

/// The largest part of an answer that is handed over to its connection at a time, in bytes.
const PIECE_BYTES: usize = 32 * 1024;

/// The most that a connection holds of an answer that was handed over to it, in bytes. The server copies what
/// it is given, so the rest stays where it is charged.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// A whole answer that is handed over in pieces.
struct Pieced(Bytes);

impl Body for Pieced {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = self.0.len().min(PIECE_BYTES);
        Poll::Ready((length > 0).then(|| Ok(Frame::Data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.0.len() as u64)
    }
}

/// Returns an answer with a body.
pub fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let body = body.into();
    let body = match body.len() > PIECE_BYTES {
        true => ResponseBody::boxed(Pieced(body)),
        false => ResponseBody::bytes(body),
    };
    let mut answer = WebResponse::new(body);
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// Returns an answer in MessagePack.
pub fn reply_message<T: Serialize>(message: &T) -> Answer {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
    }
}

/// Returns an answer in JSON.
pub fn reply_json<T: Serialize>(status: StatusCode, message: &T) -> Answer {
    match serde_json::to_vec(message) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
    }
}

/// Returns the answer to a request whose body was not accepted.
pub fn reply_body_error(error: &BodyError) -> Answer {
    let status = match error {
        BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Broken | BodyError::Invalid(_) => StatusCode::BAD_REQUEST,
    };
    reply(status, "text/plain", error.to_string())
}

/// Returns the answer to a request for an unknown path.
pub fn reply_not_found() -> Answer {
    reply(StatusCode::NOT_FOUND, "text/plain", "there is nothing here\n")
}

/// A body that is still being made. One that is cut closes the connection, so that the caller cannot
/// mistake an incomplete answer for a complete one.
struct Feed(feed::Receiver);

/// Returns an answer and the sender that makes its body.
pub fn reply_feed(status: StatusCode, kind: &'static str, depth: usize) -> (feed::Sender, Answer) {
    let (sender, receiver) = feed::channel(depth);
    let mut answer = WebResponse::new(ResponseBody::boxed(Feed(receiver)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    (sender, answer)
}

impl Body for Feed {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.0.poll_chunk(cx).map(|next| next.map(|chunk| chunk.map(Frame::Data)))
    }
}

/// Waits for Ctrl-C or SIGTERM.
pub async fn wait_for_stop() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        done = tokio::signal::ctrl_c() => done,
        _ = term.recv() => Ok(()),
    }
}
