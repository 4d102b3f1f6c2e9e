//! How many connections may wait at each port, and how they are accepted at those other than that of callers,
//! within the account of the process.

use std::convert::Infallible;
use std::sync::Arc;

use cottoncrank::resources::{Port, READ_BUFFER};
use cottoncrank_net::metered::{self, Metered};
use cottoncrank_net::resources::Slot;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::answer::Answer;
use crate::front::pause_accepting;
use crate::state::Node;

/// The connections that may wait at a port until the process takes them. The kernel lets later callers wait for
/// a second before they can try again, and clients and other nodes come all at once after a pause or a return.
const CALLERS_BACKLOG: u32 = 1024;
const PEERS_BACKLOG: u32 = 512;
const OTHER_BACKLOG: u32 = 128;

/// An accepted connection.
pub(crate) type Connection = Metered<TcpStream>;

/// Returns how many connections may wait at a port.
pub(crate) fn backlog(port: Port) -> u32 {
    match port {
        Port::Callers => CALLERS_BACKLOG,
        Port::Peers => PEERS_BACKLOG,
        Port::Readiness | Port::Metrics => OTHER_BACKLOG,
    }
}

/// Accepts connections until the process ends, and serves each with `serve`. One that has to go for others is
/// dropped.
pub(crate) async fn accept<F, S>(node: Arc<Node>, listener: Arc<TcpListener>, port: Port, serve: F)
where
    F: Fn(Connection, Arc<Slot>) -> S,
    S: Future<Output = ()> + Send + 'static,
{
    if let Err(error) = metered::limit_buffers(&listener) {
        log::warn!("{}: the kernel may hold more: {error}", port.name());
    }
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let before = node.resources.count_evictions();
                match node.resources.open(port) {
                    Ok(slot) => {
                        let serving = serve(Metered::new(stream, slot.clone()), slot.clone());
                        tokio::spawn(serve_until_evicted(serving, slot));
                    }
                    Err(short) => log::debug!("{}: closed a new connection: {short}", port.name()),
                }
                let_evicted_go(&node, before).await;
            }
            Err(error) => pause_accepting(&error).await,
        }
    }
}

async fn serve_until_evicted(serving: impl Future<Output = ()>, slot: Arc<Slot>) {
    tokio::select! {
        () = serving => {}
        _ = slot.wait_evicted(None) => {}
    }
}

/// Answers the requests on a connection, one after the other. The body of none is read but by `handle`.
pub(crate) async fn answer_each<H, A>(connection: Connection, slot: Arc<Slot>, handle: H)
where
    H: Fn(Request<Incoming>) -> A,
    A: Future<Output = Answer>,
{
    let service = service_fn(|request| {
        slot.begin_request();
        slot.serve();
        let (answering, slot) = (handle(request), &slot);
        async move {
            let answer = answering.await;
            slot.end_request();
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    let connection = builder.max_buf_size(READ_BUFFER.0).serve_connection(TokioIo::new(connection), service);
    if let Err(error) = connection.await {
        log::debug!("ports: a connection failed: {error}");
    }
}

/// Lets those that were told to go since `before` close their descriptors, before more are opened.
pub(crate) async fn let_evicted_go(node: &Node, before: u64) {
    if node.resources.count_evictions() > before {
        tokio::task::yield_now().await;
    }
}
