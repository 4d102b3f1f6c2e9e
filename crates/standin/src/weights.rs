//! The rate-limited weights store: loads are given out one after the other.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use cottoncrank::clock::System;
use cottoncrank::{Clock, Millis};
use cottoncrank_net::server::{
    self, Answer, Head, Incoming, Server, Service, Status, reply, reply_not_found,
};
use parking_lot::Mutex;

struct Shared {
    clock: System,
    load: Millis,
    free: Mutex<Millis>,
}

/// The running stand-in.
pub struct Weights {
    server: Server,
}

impl Weights {
    /// Starts it; each load takes the store for `load`.
    pub fn start(listener: TcpListener, load: Millis) -> io::Result<Weights> {
        let shared = Shared { clock: System::new(), load, free: Mutex::default() };
        Ok(Weights { server: server::serve(listener, 1, Arc::new(shared))? })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Service for Shared {
    async fn answer(&self, head: Head, _: Incoming) -> Answer {
        if head.uri().path() != "/load" {
            return reply_not_found();
        }
        let now = self.clock.now();
        let end = {
            let mut free = self.free.lock();
            *free = (*free).max(now) + self.load;
            *free
        };
        tokio::time::sleep(end.since(now).duration()).await;
        reply(Status::OK, "text/plain", "loaded\n")
    }
}
