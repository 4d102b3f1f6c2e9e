//! Callers, each request on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::operator::{LARGE_STREAM, ONCE, READ, STREAM};
use parking_lot::Mutex;
use rand::Rng;
use rand::rngs::SmallRng;

use super::report::Call;
use crate::load::send_new;

/// The time of a request, at its caller.
const WAIT: Duration = Duration::from_secs(6);

/// Callers that repeat wait this long before each new try.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// What sends requests to a node.
#[derive(Clone)]
pub(super) struct Asker {
    pub(super) to: SocketAddr,
    pub(super) key: Arc<Mutex<String>>,
    pub(super) calls: Arc<Mutex<Vec<Call>>>,
    pub(super) repeats: bool,
}

impl Asker {
    /// Sends a request, and again if callers repeat. Each try is a request of its own.
    pub(super) async fn ask(self, path: &'static str, id: String) {
        let first = Instant::now();
        for attempt in 0.. {
            let (sent, key) = (Instant::now(), self.key.lock().clone());
            let served = send_new(self.to, path, &format!("{id}-{attempt}"), &key, WAIT).await;
            self.calls.lock().push(Call { sent, served });
            if served || !self.repeats || first.elapsed() >= WAIT {
                return;
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
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
