//! Taking in for how long runners want no requests from this node.

use cottoncrank::{Millis, id};
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_platform::header;
use hyper::header::HeaderMap;

use crate::state::Node;

/// A runner that names a time which cannot be read wants nothing for this long: it has said
/// that it wants nothing, and callers of a full fleet come back after a second and more.
const UNREAD: Millis = Millis(1000);

/// Reads for how long a runner that turned a request away wants no other one, and keeps it.
pub(crate) fn note(
    node: &Node,
    id: &id::Runner,
    life: Option<Incarnation>,
    status: u16,
    headers: &HeaderMap,
) -> Option<Millis> {
    let span = header::read_backoff(status, headers).unwrap_or_else(|error| {
        log::warn!("backoff: {id}: {error}; taken for {UNREAD}");
        Some(UNREAD)
    })?;
    if node.feedback.lock().backoffs.put(id, life, span, node.now()) {
        log::info!("backoff: {id} wants no requests for {span}");
    }
    Some(span)
}

/// Whether a runner wants no requests from this node at present.
pub(crate) fn is_unwilling(node: &Node, id: &id::Runner, life: Option<Incarnation>) -> bool {
    node.feedback.lock().backoffs.find(id, life, node.now()).is_some()
}
