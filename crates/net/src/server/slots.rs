//! The slot that each connection of a server has in the account of its process.
//!
//! A connection takes its slot before anything of it is read, and is closed when the account tells it to go. As one
//! task serves a connection and all its requests, these find its slot in that task.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cottoncrank::Size;
use cottoncrank::clock::System;
use cottoncrank::resources::{Kind, Machine, Port};
use xitca_io::net::Stream;
use xitca_service::Service;
use xitca_service::ready::ReadyService;
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::http::header::{CONNECTION, HeaderValue};

use super::{Answer, MAX_HEAD_BYTES};
use crate::resources::{Resources, Slot};

tokio::task_local! {
    static SLOT: Arc<Slot>;
}

/// What the read buffer of a connection takes at the most, beyond its first. The server doubles it as bytes come, and
/// tells nobody before a head is whole.
const READ_BUFFER: Size = Size(2 * MAX_HEAD_BYTES);

/// Gives each connection of a port its slot in an account.
#[derive(Clone, Debug)]
pub struct Slots {
    resources: Resources,
    port: Port,
}

impl Slots {
    /// Connections take their slots at `port` of `resources`.
    pub fn new(resources: Resources, port: Port) -> Slots {
        Slots { resources, port }
    }

    /// There are slots for all connections.
    pub(super) fn unlimited() -> Slots {
        let machine = Machine { memory: Size(usize::MAX / 8), sockets: usize::MAX / 8 };
        Slots::new(Resources::new(&machine, System::new()), Port::Callers)
    }
}

impl<S, E> Service<Result<S, E>> for Slots {
    type Response = Counted<S>;
    type Error = E;

    async fn call(&self, server: Result<S, E>) -> Result<Counted<S>, E> {
        Ok(Counted { server: server?, slots: self.clone() })
    }
}

/// A server whose connections have slots.
pub struct Counted<S> {
    server: S,
    slots: Slots,
}

impl<S> Service<Stream> for Counted<S>
where
    S: Service<Stream, Response = ()>,
{
    type Response = ();
    type Error = S::Error;

    async fn call(&self, stream: Stream) -> Result<(), S::Error> {
        let opened = self.slots.resources.open(self.slots.port);
        let charged = opened.and_then(|slot| Ok((slot.charge(READ_BUFFER, Kind::Overhead)?, slot)));
        let (_buffer, slot) = match charged {
            Ok(charged) => charged,
            Err(short) => {
                log::debug!("{}: closed a new connection: {short}", self.slots.port.name());
                return Ok(());
            }
        };
        // It is charged already.
        slot.set_max_buffer(Size(0));
        tokio::select! {
            served = SLOT.scope(slot.clone(), self.server.call(stream)) => served,
            () = wait_closed(&slot) => Ok(()),
        }
    }
}

impl<S: ReadyService> ReadyService for Counted<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        // Those that have to go for a new connection close before the next one is accepted.
        tokio::task::yield_now().await;
        self.server.ready().await
    }
}

/// Waits until the connection has to be closed, whatever happens on it.
async fn wait_closed(slot: &Slot) {
    let mut told = None;
    loop {
        told = slot.wait_evicted(told).await;
        if told.is_some_and(|shortage| slot.closes_for(shortage)) {
            return;
        }
    }
}

/// A request that is being handled, until its answer has been taken.
pub(super) struct Handling(Arc<Slot>);

impl Handling {
    /// Begins to handle a request of the connection that this task serves.
    pub(super) fn begin() -> Handling {
        let slot = SLOT.with(Arc::clone);
        slot.begin_request();
        slot.receive(Size(0));
        Handling(slot)
    }

    /// Returns the slot of the connection.
    pub(super) fn slot(&self) -> &Arc<Slot> {
        &self.0
    }

    /// Goes on until the answer has been taken. A connection that has to go closes behind it.
    pub(super) fn hold(self, answer: Answer) -> Answer {
        let mut answer = answer;
        // From here on it is not told to go for others.
        self.0.serve();
        if self.0.find_eviction().is_some() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer.map(|body| ResponseBody::boxed(Held { body, handling: self }))
    }
}

impl Drop for Handling {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// The body of an answer, whose parts are asked for as the caller takes those before.
struct Held {
    body: ResponseBody,
    handling: Handling,
}

impl Body for Held {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() {
            self.handling.0.record_written();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
