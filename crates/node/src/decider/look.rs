//! Looking at the members of groups: by the decider, and by a node that waits to campaign in a later era.

use std::sync::Arc;

use cottoncrank_fleet::probe::Probes;
use cottoncrank_net::client::{Client, Traffic};
use parking_lot::Mutex;
use tokio::task::AbortHandle;

use crate::prober;
use crate::state::Node;

/// The most that a runner may send in answer to an order or a probe, in bytes. All runners are probed at
/// once.
const RUNNER_ANSWER_BYTES: usize = 64 * 1024;

/// Rounds of probes. They end when this is dropped.
pub(super) struct Look {
    client: Client,
    probes: Arc<Mutex<Probes>>,
    prober: AbortHandle,
}

impl Look {
    pub(super) fn begin(node: &Arc<Node>) -> Look {
        let client = Client::with_small_answers(Traffic::default(), node.reach.clone(), RUNNER_ANSWER_BYTES);
        let probes: Arc<Mutex<Probes>> = Arc::default();
        let prober = tokio::spawn(prober::run(node.clone(), client.clone(), probes.clone())).abort_handle();
        Look { client, probes, prober }
    }

    /// Returns the client for orders and probes.
    pub(super) fn client(&self) -> Client {
        self.client.clone()
    }

    /// Returns the health of the runners, which the rounds update.
    pub(super) fn probes(&self) -> Arc<Mutex<Probes>> {
        self.probes.clone()
    }
}

impl Drop for Look {
    fn drop(&mut self) {
        self.prober.abort();
    }
}
