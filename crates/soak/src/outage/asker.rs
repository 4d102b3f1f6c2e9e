//! Callers, each request on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::operator::{LARGE_STREAM, ONCE, READ, STREAM};
use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;
use tokio::task::JoinSet;

use super::report::Call;
use crate::load::send_new;

/// Callers that repeat wait this long before each new try.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// What sends requests to a node.
#[derive(Clone)]
pub(super) struct Asker {
    pub(super) to: SocketAddr,
    pub(super) key: Arc<Mutex<String>>,
    pub(super) calls: Arc<Mutex<Vec<Call>>>,
    pub(super) repeats: bool,
    /// The time of a request, at its caller.
    pub(super) wait: Duration,
}

impl Asker {
    /// Sends a request, and again if callers repeat. Each try is a request of its own.
    pub(super) async fn ask(self, path: &'static str, id: String) {
        let first = Instant::now();
        for attempt in 0.. {
            let (sent, key) = (Instant::now(), self.key.lock().clone());
            let served = send_new(self.to, path, &format!("{id}-{attempt}"), &key, self.wait).await;
            self.calls.lock().push(Call { sent, served });
            if served || !self.repeats || first.elapsed() >= self.wait {
                return;
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }
}

/// The path of a route that never existed.
const NO_ROUTE: &str = "/never/";

/// The pause between two requests for it.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Asks nodes for a route that never existed, each node in the same moment, until this is dropped.
pub(super) async fn probe(nodes: Vec<SocketAddr>, key: Arc<Mutex<String>>) {
    for round in 0.. {
        let mut asking = JoinSet::new();
        for (number, node) in nodes.iter().copied().enumerate() {
            let (key, id) = (key.lock().clone(), format!("probe-{number}-{round}"));
            asking.spawn(async move { send_new(node, NO_ROUTE, &id, &key, PROBE_PAUSE).await });
        }
        asking.join_all().await;
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

impl Asker {
    /// Returns how long after `since` the node first serves a plain request with this key, within `limit`.
    pub(super) async fn find_service(self, key: String, since: Instant, limit: Duration) -> Option<Duration> {
        for round in 0.. {
            let id = format!("applied-{}-{round}", self.to);
            if send_new(self.to, READ, &id, &key, self.wait).await {
                break;
            }
            if since.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
        Some(since.elapsed())
    }
}

/// Returns the path of the next request: two of three ask the small model, one of nine is plain.
pub(super) fn draw_path(rng: &mut SmallRng) -> &'static str {
    match rng.random_range(0..18) {
        0 => READ,
        1 => ONCE,
        2..6 => LARGE_STREAM,
        _ => STREAM,
    }
}
