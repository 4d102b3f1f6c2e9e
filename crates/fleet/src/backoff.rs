//! For how long runners want no requests from this node.
//!
//! The load this answers: a runner that has too much to do turns a request away and names a
//! time. It has nothing in flight, so all that compares runners by that takes it for the best
//! one, and it gets more than any other. What it asked for is kept apart from what a node thinks
//! of runners: it is no opinion that is given up where nobody else is left.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::runner::{Life, is_later};

/// What a runner asked for.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// In which incarnation, where that is told.
    incarnation: Option<Life>,
    until: Millis,
}

/// The runners that want no requests from this node at present.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, Backoff>);

impl Table {
    /// A runner, in this incarnation as far as that is told, wants no requests for `span`.
    ///
    /// The latest end holds: answers overtake each other, and a runner that has asked for more
    /// has not taken that back by asking for less. A latest incarnation owes nothing to a former one.
    /// Returns whether this was no backoff before.
    pub fn insert(&mut self, id: &id::Runner, incarnation: Option<Life>, span: Millis, now: Millis) -> bool {
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

    /// Until when a runner wants none, if it does; `incarnation` is the one it is known to be in.
    pub fn find_end(&self, id: &id::Runner, incarnation: Option<Life>, now: Millis) -> Option<Millis> {
        let backoff = self.0.get(id).filter(|backoff| now < backoff.until)?;
        (!is_later(incarnation, backoff.incarnation)).then_some(backoff.until)
    }

    /// Whether no runner wants this.
    pub fn is_empty(&self, now: Millis) -> bool {
        self.0.values().all(|backoff| now >= backoff.until)
    }

    /// The runners that want none.
    pub fn list(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        self.0.iter().filter(move |(_, backoff)| now < backoff.until).map(|(id, _)| id)
    }
}
