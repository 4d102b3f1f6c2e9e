//! The ports for callers and for the balancer.

use std::convert::Infallible;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, OnceLock};
use std::task::Poll;

use bytes::Bytes;
use cottoncrank::resources::Port;
use cottoncrank::{Millis, Size};
use cottoncrank_net::metered::{self, Metered};
use cottoncrank_net::resources::Slot;
use cottoncrank_net::{feed, keepalive};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use socket2::{SockRef, Socket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{Answer, Body};
use crate::arrivals::{Arrivals, Watched};
use crate::idle::{self, Idle};
use crate::in_flight::ConnectionGuard;
use crate::ports;
use crate::request;
use crate::state::Node;
use crate::telemetry;
use crate::unread::Reason;

/// The smallest read buffer of a connection, in bytes: room for a head and a part of a body.
const MIN_BUFFER_BYTES: usize = 32 * 1024;

/// The pause after a connection could not be accepted, for example for lack of file descriptors.
const ACCEPT_PAUSE: Millis = Millis(20);

/// How long a caller may still read of a stream that was cut before its connection is closed. One that does
/// not read would not learn of the cut otherwise.
const CUT_READ_TIME: Millis = Millis(100);

/// How often the delay of tasks is measured.
const DELAY_INTERVAL: Millis = Millis(50);

/// Accepts callers until the node is closed, and then those that wait.
pub async fn serve_callers(node: Arc<Node>, listener: Arc<TcpListener>) {
    let _accepting = node.begin_accepting();
    let mut closed = node.closed.subscribe();
    if let Err(error) = metered::limit_buffers(&listener) {
        log::warn!("front: the kernel may hold more of callers: {error}");
    }
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closed(&mut closed) => break,
        };
        node.overload.lock().begin_turn();
        let mut next = Some(accepted);
        while let Some(accepted) = next {
            next = match accepted {
                Ok((stream, _)) => {
                    take(&node, stream).await;
                    accept_waiting(&listener).await
                }
                Err(error) => {
                    pause_accepting(&error).await;
                    None
                }
            };
        }
    }
    accept_last(&node, &listener).await;
}

/// Accepts all connections that wait in the kernel, whether the runtime has noticed them or not.
async fn accept_last(node: &Arc<Node>, listener: &TcpListener) {
    let mut waiting = 0;
    let listener = SockRef::from(listener);
    node.overload.lock().begin_turn();
    loop {
        match listener.accept() {
            Ok((socket, _)) => {
                waiting += 1;
                match into_stream(socket) {
                    Ok(stream) => take(node, stream).await,
                    Err(error) => log::warn!("front: closed a connection that waited: {error}"),
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => pause_accepting(&error).await,
        }
    }
    // The task that keeps this one running holds the listener, too.
    if let Err(error) = listener.shutdown(Shutdown::Read) {
        log::warn!("front: the port of callers is closed late: {error}");
    }
    log::info!("front: closes the port of callers, {waiting} connections waited at it");
}

fn into_stream(socket: Socket) -> io::Result<TcpStream> {
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

async fn take(node: &Arc<Node>, stream: TcpStream) {
    let before = node.resources.count_evictions();
    take_or_close(node, stream);
    ports::let_evicted_go(node, before).await;
}

fn take_or_close(node: &Arc<Node>, stream: TcpStream) {
    let at = node.read_moment();
    let accepts = node.overload.lock().accepts(at);
    // Nothing is read of one that is closed, so the caller may send its request to another node.
    match accepts.then(|| node.resources.open(Port::Callers)) {
        Some(Ok(slot)) => {
            drop(tokio::spawn(serve_caller(node.clone(), stream, slot, node.begin_use())));
        }
        Some(Err(_)) => node.closed_unread.count(Reason::Room),
        None => node.closed_unread.count(Reason::Overload),
    }
}

/// Accepts a connection that waits already, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    std::future::poll_fn(|context| match listener.poll_accept(context) {
        Poll::Ready(accepted) => Poll::Ready(Some(accepted)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Measures how late tasks of this process run, until the process ends.
pub async fn measure_delay(node: Arc<Node>) {
    loop {
        let begun = node.read_moment();
        let due = begun.now + DELAY_INTERVAL;
        node.overload.lock().begin_measurement(begun, due);
        tokio::time::sleep(DELAY_INTERVAL.duration()).await;
        let at = node.read_moment();
        node.activity.lock().record(at.now);
        telemetry::record_delay(at.now.since(due), at.work.since(begun.work));
        node.overload.lock().end_measurement(at);
    }
}

/// Logs that a connection could not be accepted, and pauses.
pub async fn pause_accepting(error: &io::Error) {
    log::warn!("front: could not accept a connection: {error}");
    tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
}

async fn serve_caller(node: Arc<Node>, stream: TcpStream, slot: Arc<Slot>, accepted: ConnectionGuard) {
    let limits = node.catalog.lock().as_ref().map(|catalog| catalog.limits);
    // A caller that reads nothing would otherwise hold its connection and its answer for good.
    let prepared =
        stream.set_nodelay(true).and_then(|()| keepalive::limit_unread(&stream, idle::limit(&node)));
    if let Err(error) = prepared {
        log::debug!("front: {error}");
    }
    let buffer = limits.map_or(MIN_BUFFER_BYTES, |limits| (2 * limits.max_head_bytes).max(MIN_BUFFER_BYTES));
    slot.set_max_buffer(Size(buffer));
    let mut closed = node.closed.subscribe();
    let (current_stream, mut streams) = watch::channel(None);
    let (in_use, was_used) = (Mutex::new(Some(accepted)), OnceLock::new());
    let idle = Idle::new(node.clone(), slot.clone());
    let arrivals = Arc::new(Arrivals::default());
    let service = service_fn(|request: Request<Incoming>| {
        let (node, slot, current_stream) = (node.clone(), slot.clone(), &current_stream);
        was_used.get_or_init(|| ());
        in_use.lock().get_or_insert_with(|| node.begin_use());
        let busy = idle.begin_request();
        async move {
            let mut answer = request::handle(node.clone(), request, &slot).await;
            if *node.draining.borrow() || slot.is_abandoned() {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            current_stream.send_replace(answer.body().watch());
            Ok::<_, Infallible>(busy.hold(answer))
        }
    });
    let watched = Watched::new(stream, arrivals.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // `idle` limits the time until a head is read.
        .header_read_timeout(None)
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(Metered::new(watched, slot.clone())), service);
    tokio::pin!(connection);
    let (mut is_closing, mut evicted) = (false, None);
    let outcome = loop {
        tokio::select! {
            // A request that has arrived is read before its connection is closed.
            biased;
            outcome = &mut connection => break outcome,
            () = async { wait_closed(&mut closed).await; arrivals.wait_read().await }, if !is_closing => {
                is_closing = true;
                if was_used.get().is_none() {
                    // The rest of a head may never come.
                    in_use.lock().take();
                }
                connection.as_mut().graceful_shutdown();
            }
            () = async { idle.wait_expired().await; arrivals.wait_read().await }, if !is_closing => {
                if was_used.get().is_none() {
                    break Ok(());
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            shortage = slot.wait_evicted(evicted) => {
                if shortage.is_some_and(|shortage| slot.closes_for(shortage)) {
                    break Ok(());
                }
                evicted = shortage;
                connection.as_mut().graceful_shutdown();
            }
            () = wait_cut(&mut streams) => {
                let rest = tokio::time::timeout(CUT_READ_TIME.duration(), &mut connection);
                break rest.await.unwrap_or_else(|_| {
                    log::info!("front: closed a connection on which a cut stream was not read to its end");
                    Ok(())
                });
            }
        }
    };
    if let Err(error) = outcome {
        log::debug!("front: connection error: {error}");
    }
}

/// Waits until the stream that a connection carries at that time is cut.
async fn wait_cut(streams: &mut watch::Receiver<Option<feed::Watch>>) {
    loop {
        let stream = streams.borrow_and_update().clone();
        tokio::select! {
            () = wait_stream_cut(stream) => return,
            changed = streams.changed() => if changed.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

async fn wait_stream_cut(stream: Option<feed::Watch>) {
    match stream {
        Some(mut stream) => stream.wait_cut().await,
        None => std::future::pending().await,
    }
}

async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    // The sender exists as long as the node, so this cannot fail.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// How long a node that is about to stop still accepts requests. The balancer checks once a second,
/// and skips a node after two failed checks.
pub const DRAIN_NOTICE: Millis = Millis(2500);

/// Answers the balancer's health checks until the process ends.
pub async fn serve_readiness(node: Arc<Node>, listener: Arc<TcpListener>) {
    let asked = node.clone();
    ports::accept(node, listener, Port::Readiness, |connection, slot| {
        let node = asked.clone();
        ports::answer_each(connection, slot, move |_| {
            let answer = answer_readiness(node.is_ready());
            async move { answer }
        })
    })
    .await;
}

fn answer_readiness(ready: bool) -> Answer {
    let (status, text) =
        if ready { (StatusCode::OK, "ready\n") } else { (StatusCode::SERVICE_UNAVAILABLE, "not ready\n") };
    let mut answer = Response::new(Body::Whole(Some(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    answer
}
