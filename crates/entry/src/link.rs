//! Long-polls the controller of this box for the routing view.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::view::View;

use crate::state::State;

/// Timeout of a request for a view, including the time that the controller holds it open.
const POLL_TIMEOUT: Millis = Millis(1500);

/// Delay before a failed request for a view is retried.
const RETRY_DELAY: Millis = Millis(100);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    let mut controller_reachable = true;
    loop {
        let known = state.view().version;
        match state.client.call::<u64, View>(state.settings.controller, "/view", &known, POLL_TIMEOUT).await {
            Ok(view) => {
                let revision = view.revision;
                if !state.update_view(view) {
                    log::info!("view: ignoring a view at revision {revision}, older than the one in use");
                    tokio::time::sleep(RETRY_DELAY.duration()).await;
                }
                controller_reachable = true;
            }
            Err(error) => {
                if controller_reachable {
                    log::warn!("view: cannot get a view from the controller: {error}");
                }
                controller_reachable = false;
                tokio::time::sleep(RETRY_DELAY.duration()).await;
            }
        }
    }
}
