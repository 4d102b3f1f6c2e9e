//! Maintains the routing view for the entry of this box.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::view::{View, derive_view};

use crate::state::State;

/// Longest time between two refreshes. The view also changes without new rows, because
/// a node that is reported unreachable counts as lost only after some time.
const REFRESH_INTERVAL: Millis = Millis(500);

/// Shortest time between two refreshes.
const MIN_REFRESH_GAP: Millis = Millis(20);

/// Runs until the task is dropped.
pub async fn run(state: Arc<State>) {
    loop {
        // The view is refreshed on a notification and on a timeout alike.
        let _ = tokio::time::timeout(REFRESH_INTERVAL.duration(), state.table_changed.notified()).await;
        refresh(&state);
        tokio::time::sleep(MIN_REFRESH_GAP.duration()).await;
    }
}

/// Recomputes the view and publishes a new version if it changed.
pub fn refresh(state: &State) {
    let members = state.members();
    let config = state.config.lock().clone();
    let next = derive_view(&config, &state.table.lock(), &members, &state.settings.hall, state.now());
    state.view.send_if_modified(|view| {
        let changed = View { version: view.version, ..next.clone() } != *view;
        if changed {
            *view = View { version: view.version + 1, ..next };
        }
        changed
    });
}

/// Waits for a view whose version differs from `known`. Returns the current one after `wait`.
pub async fn wait_for_view(state: &State, known: u64, wait: Millis) -> View {
    let mut views = state.view.subscribe();
    // A timeout is not an error: the current view is returned.
    let _ = tokio::time::timeout(wait.duration(), views.wait_for(|view| view.version != known)).await;
    state.view.borrow().clone()
}
