//! Records for how long runners want no requests from this node.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_platform::header;
use hyper::header::HeaderMap;

use crate::state::Node;

/// The backoff of a runner that names an invalid time. It asked for no requests all the same, and
/// callers of a full fleet retry after a second or more.
const DEFAULT_BACKOFF: Millis = Millis(1000);

/// Records the backoff that a runner announced with an answer, and returns it.
pub(crate) fn record(
    node: &Node,
    id: &id::Runner,
    incarnation: Option<Incarnation>,
    status: u16,
    headers: &HeaderMap,
) -> Option<Millis> {
    let span = header::read_backoff(status, headers).unwrap_or_else(|error| {
        log::warn!("backoff: {id}: {error}; using {DEFAULT_BACKOFF}");
        Some(DEFAULT_BACKOFF)
    })?;
    if node.feedback.lock().backoffs.insert(id, incarnation, span, node.now()) {
        log::info!("backoff: {id} wants no requests for {span}");
    }
    Some(span)
}

/// Whether a runner is backing off from this node now.
pub(crate) fn is_backing_off(node: &Node, id: &id::Runner, incarnation: Option<Incarnation>) -> bool {
    node.feedback.lock().backoffs.find_end(id, incarnation, node.now()).is_some()
}
