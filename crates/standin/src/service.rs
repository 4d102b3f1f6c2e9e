//! A plain service that counts how often each request ran. Its count is the
//! judge of every promise about repeats.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_net::server::{
    self, Answer, Head, Incoming, Server, Service as Serve, Status, read_body, reply, reply_body_error,
    reply_feed, reply_json,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The header that names the caller's request.
pub const KEY: &str = "x-cottoncrank-key";

/// The header by which a backend server says that it did not run a request.
pub const NOT_RUN: &str = "x-cottoncrank-not-run";

/// What goes wrong at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// This many requests run and are not answered.
    pub lose: u32,
    /// This many requests are refused without being run.
    pub refuse: u32,
    /// Every request takes this long.
    pub slow: Millis,
}

#[derive(Default)]
struct State {
    fault: Fault,
    runs: BTreeMap<String, u32>,
}

struct Shared(Mutex<State>);

/// The running stand-in.
pub struct Service {
    shared: Arc<Shared>,
    server: Server,
}

impl Service {
    /// Starts it.
    pub fn start(listener: TcpListener) -> io::Result<Service> {
        let shared = Arc::new(Shared(Mutex::default()));
        let server = server::serve(listener, 1, shared.clone())?;
        Ok(Service { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shows this failure from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.0.lock().fault = fault;
    }

    /// How often each request ran, by key and path.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.0.lock().runs.clone()
    }
}

enum Fate {
    Refuse,
    Lose,
    Answer(u32),
}

impl Shared {
    fn run(&self, name: &str) -> Fate {
        let mut state = self.0.lock();
        if state.fault.refuse > 0 {
            state.fault.refuse -= 1;
            return Fate::Refuse;
        }
        let runs = state.runs.entry(name.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if state.fault.lose > 0 {
            state.fault.lose -= 1;
            return Fate::Lose;
        }
        Fate::Answer(runs)
    }
}

impl Serve for Shared {
    async fn answer(&self, head: Head, body: Incoming) -> Answer {
        let path = head.uri().path().to_owned();
        let bytes = match read_body(body, 1 << 20).await {
            Ok(bytes) => bytes,
            Err(error) => return reply_body_error(&error),
        };
        match path.as_str() {
            "/admin/runs" => return reply_json(Status::OK, &self.0.lock().runs),
            "/admin/fault" => {
                return match serde_json::from_slice(&bytes) {
                    Ok(fault) => {
                        self.0.lock().fault = fault;
                        reply_json(Status::OK, &fault)
                    }
                    Err(error) => reply(Status::BAD_REQUEST, "text/plain", error.to_string()),
                };
            }
            _ => {}
        }
        let key = head.headers().get(KEY).and_then(|value| value.to_str().ok()).unwrap_or("-").to_owned();
        let slow = self.0.lock().fault.slow;
        tokio::time::sleep(slow.duration()).await;
        match self.run(&format!("{key} {path}")) {
            Fate::Refuse => {
                let mut answer = reply(Status::SERVICE_UNAVAILABLE, "text/plain", "busy\n");
                answer.headers_mut().insert(NOT_RUN, server::header::HeaderValue::from_static("1"));
                answer
            }
            // Its sender is dropped, which cuts it.
            Fate::Lose => reply_feed(Status::OK, "text/plain", 1).1,
            Fate::Answer(runs) => {
                let text = String::from_utf8_lossy(&bytes);
                reply(Status::OK, "text/plain", format!("{path} ran {runs} time(s) with `{text}`\n"))
            }
        }
    }
}
