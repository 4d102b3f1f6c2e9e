//! The platform's list of live and leaving boxes. It lags behind.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use cottoncrank::clock::System;
use cottoncrank::wire::{List as Boxes, Listed};
use cottoncrank::{Clock, Millis};
use cottoncrank_net::server::{
    self, Answer, Head, Incoming, Server, Service, Status, read_body, reply, reply_body_error, reply_json,
    reply_message, reply_not_found,
};
use parking_lot::Mutex;

struct Shared {
    clock: System,
    lag: Millis,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    shown: Boxes,
    coming: VecDeque<(Millis, Vec<Listed>)>,
}

/// The running stand-in.
pub struct List {
    shared: Arc<Shared>,
    server: Server,
}

impl List {
    /// Starts it; changes show after `lag`.
    pub fn start(listener: TcpListener, lag: Millis) -> io::Result<List> {
        let shared = Arc::new(Shared { clock: System::new(), lag, state: Mutex::default() });
        let server = server::serve(listener, 1, shared.clone())?;
        Ok(List { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes lines of the list; they show after the lag.
    pub fn set(&self, lines: Vec<Listed>) {
        self.shared.set(lines);
    }
}

impl Shared {
    fn set(&self, lines: Vec<Listed>) {
        let at = self.clock.now() + self.lag;
        self.state.lock().coming.push_back((at, lines));
    }

    fn show(&self) -> Boxes {
        let now = self.clock.now();
        let mut state = self.state.lock();
        while state.coming.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, lines)) = state.coming.pop_front() else { break };
            state.shown.version += 1;
            for line in lines {
                state.shown.boxes.retain(|old| old.runner != line.runner);
                state.shown.boxes.push(line);
            }
        }
        state.shown.clone()
    }
}

impl Service for Shared {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        match head.uri().path() {
            "/list" => reply_message(&self.show()),
            "/admin/list" => reply_json(Status::OK, &self.show()),
            "/admin/set" => {
                match read_body(body, 1 << 20).await.map(|bytes| serde_json::from_slice(&bytes)) {
                    Ok(Ok(lines)) => {
                        self.set(lines);
                        reply(Status::OK, "text/plain", "noted\n")
                    }
                    Ok(Err(error)) => reply(Status::BAD_REQUEST, "text/plain", error.to_string()),
                    Err(error) => reply_body_error(&error),
                }
            }
            _ => reply_not_found(),
        }
    }
}
