//! Requests that end the runners which run them: sent again and again, to all nodes in turn.

use std::net::SocketAddr;

use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::CallerRequest;
use cottoncrank_platform_standin::operator::{READ, STREAM};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::load::Hint;

/// How often one comes: several are under way before the first runner has ended.
const PACE: Millis = Millis(120);

/// What is left of its caller's time, in milliseconds.
const WAIT_MS: u64 = 4000;

/// One such request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadly(pub usize);

impl Deadly {
    /// What the ids of its copies begin with.
    pub fn prefix(self) -> String {
        format!("deadly-{}-", self.0)
    }

    fn path(self) -> &'static str {
        if self.0.is_multiple_of(2) { STREAM } else { READ }
    }

    /// Asks one node.
    pub async fn ask(self, to: SocketAddr, copy: usize, key: &str) {
        let request = format!("{}{copy}", self.prefix());
        let body = format!("a deadly body, number {}", self.0);
        let question = CallerRequest {
            path: self.path(),
            request: &request,
            key,
            deadline_ms: WAIT_MS,
            body: &body,
            prompt: "",
        };
        // What runners saw is checked; an answer may be anything, or none.
        let _ = tokio::time::timeout(Millis(WAIT_MS).duration(), question.send(to)).await;
    }

    /// Comes to all nodes in turn until it is aborted. `first` numbers the copies.
    pub async fn come(self, nodes: Vec<SocketAddr>, hint: watch::Receiver<Hint>, first: usize) {
        let mut asking = JoinSet::new();
        for copy in first.. {
            let key = hint.borrow().keys.last().cloned().unwrap_or_default();
            let to = nodes[copy % nodes.len()];
            asking.spawn(async move { self.ask(to, copy, &key).await });
            tokio::time::sleep(PACE.duration()).await;
        }
    }
}
