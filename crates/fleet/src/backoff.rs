//! The runners that asked this node to send no requests for a while.
//!
//! An overloaded runner rejects a request and names a retry time. It has nothing in flight, so
//! every comparison by load would pick it as the best one and send it more than any other. The
//! requested times are kept apart from what the node observes of runners, because observations are
//! ignored when no other runner is left.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::runner::{Incarnation, is_later};

/// A request of a runner to back off.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The incarnation that asked for it, if known.
    incarnation: Option<Incarnation>,
    until: Millis,
}

/// The runners that are backing off from this node.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, Backoff>);

impl Table {
    /// Records that a runner, in this incarnation if known, wants no requests for `span`.
    ///
    /// The latest end wins: answers overtake each other, and a runner that asks for less has not
    /// taken back what it asked for before. A later incarnation is not bound by an earlier one.
    /// Returns whether the runner was not backing off before.
    pub fn insert(
        &mut self,
        id: &id::Runner,
        incarnation: Option<Incarnation>,
        span: Millis,
        now: Millis,
    ) -> bool {
        self.0.retain(|_, backoff| now < backoff.until);
        let until = now + span;
        let known = self.0.get(id).copied().filter(|known| !is_later(incarnation, known.incarnation));
        if known.is_some_and(|known| is_later(known.incarnation, incarnation)) {
            return false;
        }
        let latest = known.map_or(until, |known| known.until.max(until));
        self.0.insert(id.clone(), Backoff { incarnation, until: latest });
        known.is_none()
    }

    /// Returns when the backoff of a runner ends, if it is backing off. `incarnation` is its latest
    /// known one.
    pub fn find_end(&self, id: &id::Runner, incarnation: Option<Incarnation>, now: Millis) -> Option<Millis> {
        let backoff = self.0.get(id).filter(|backoff| now < backoff.until)?;
        (!is_later(incarnation, backoff.incarnation)).then_some(backoff.until)
    }

    /// Whether no runner is backing off.
    pub fn is_empty(&self, now: Millis) -> bool {
        self.0.values().all(|backoff| now >= backoff.until)
    }

    /// Lists the runners that are backing off.
    pub fn list(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        self.0.iter().filter(move |(_, backoff)| now < backoff.until).map(|(id, _)| id)
    }
}
