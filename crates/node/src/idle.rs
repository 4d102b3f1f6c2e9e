//! How long a caller's connection has been without a request. Who serves it closes it by that.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cottoncrank::Millis;
use cottoncrank_net::feed::Cut;
use cottoncrank_net::resources::Slot;
use hyper::body::{Frame, SizeHint};
use tokio::sync::watch;

use crate::answer::{Answer, Body};
use crate::state::Node;

/// How long a connection may be idle before a configuration is known.
const DEFAULT_LIMIT: Millis = Millis(15_000);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// A request on it is being answered.
    Busy,
    /// It has had no request since then.
    IdleSince(Millis),
}

/// Follows the requests on one connection.
pub struct Idle {
    node: Arc<Node>,
    slot: Arc<Slot>,
    activity: watch::Sender<Activity>,
}

/// Marks a connection as busy until the answer has been handed over to it.
pub struct BusyGuard(Arc<Idle>);

/// The body of an answer, which keeps its connection busy.
pub struct GuardedBody {
    body: Body,
    _guard: BusyGuard,
}

/// Returns how long a connection may be idle by the configuration in force.
pub fn limit(node: &Node) -> Millis {
    let catalog = node.catalog.lock();
    catalog.as_ref().map_or(DEFAULT_LIMIT, |catalog| catalog.limits.idle_timeout)
}

impl Idle {
    /// Starts with a connection on which nothing was sent yet.
    pub fn new(node: Arc<Node>, slot: Arc<Slot>) -> Arc<Idle> {
        let since = Activity::IdleSince(node.now());
        Arc::new(Idle { node, slot, activity: watch::Sender::new(since) })
    }

    /// Marks the connection as busy with a request.
    pub fn begin_request(self: &Arc<Idle>) -> BusyGuard {
        self.activity.send_replace(Activity::Busy);
        self.slot.begin_request();
        BusyGuard(self.clone())
    }

    /// Waits until the connection has been idle for too long. The limit is that of the configuration in
    /// force, for a caller uses the connection for as long as that allows. One that was shortened
    /// meanwhile counts from the next request on, as the caller may not know it yet.
    pub async fn wait_expired(&self) {
        let mut changes = self.activity.subscribe();
        loop {
            let activity = *changes.borrow_and_update();
            let expiry = async {
                match activity {
                    Activity::Busy => std::future::pending().await,
                    Activity::IdleSince(since) => self.wait_longest(since).await,
                }
            };
            tokio::select! {
                biased;
                // The sender is held here, so this cannot fail.
                _ = changes.changed() => {}
                () = expiry => return,
            }
        }
    }

    /// Waits until the limit is over, and again if it has been raised by then or something was written.
    async fn wait_longest(&self, since: Millis) {
        loop {
            // A slow caller takes its answer long after that was handed over to the connection.
            let end = since.max(self.slot.written_at()) + limit(&self.node);
            if self.node.now() >= end {
                return;
            }
            self.node.wait_until(end).await;
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.activity.send_replace(Activity::IdleSince(self.0.node.now()));
        self.0.slot.end_request();
    }
}

impl BusyGuard {
    /// Hands the guard over to the body of the answer.
    pub fn hold(self, answer: Answer) -> hyper::Response<GuardedBody> {
        answer.map(|body| GuardedBody { body, _guard: self })
    }
}

impl hyper::body::Body for GuardedBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
