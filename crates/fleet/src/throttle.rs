//! How many requests a second runners take from all nodes together, as they say themselves.
//!
//! The load this answers: a runner in need names a rate in its answers. It is a number for all
//! nodes, so what one of them was told concerns the others; and answers overtake each other, on
//! one node and between nodes, so that the last one read is not always the last one said.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::rate::Rate;
use crate::runner::{Life, is_later};

/// What a runner said of its rate in one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The runner.
    pub runner: id::Runner,
    /// In which incarnation, where that is told.
    pub incarnation: Option<Life>,
    /// The rate it takes; none if it previous_rate none.
    pub rate: Option<Rate>,
    /// When the request was sent that it answered. It said so no sooner.
    pub sent: Millis,
    /// When the answer came. It said so no later.
    pub received: Millis,
}

/// A limit as nodes tell it each other, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The runner.
    pub runner: id::Runner,
    /// In which incarnation, where that is told.
    #[serde(rename = "life")]
    pub incarnation: Option<Life>,
    /// The rate it takes; none if it previous_rate none.
    pub rate: Option<Rate>,
    /// How long ago the request was sent.
    #[serde(rename = "asked")]
    pub sent: Millis,
    /// How long ago the answer came.
    #[serde(rename = "heard")]
    pub received: Millis,
}

impl RateLimit {
    /// The limit as it is told at `now`.
    pub fn to_message(&self, now: Millis) -> Message {
        let RateLimit { runner, incarnation, rate, sent, received } = self.clone();
        Message { runner, incarnation, rate, sent: now.since(sent), received: now.since(received) }
    }

    /// Whether it surely was said after `other`, of the same runner.
    fn is_after(&self, other: &RateLimit) -> bool {
        is_later(self.incarnation, other.incarnation) || self.sent >= other.received
    }
}

impl Message {
    /// The limit, told at `now`.
    pub fn to_rate_limit(&self, now: Millis) -> RateLimit {
        let Message { runner, incarnation, rate, sent, received } = self.clone();
        RateLimit { runner, incarnation, rate, sent: now.since(sent), received: now.since(received) }
    }
}

/// What a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// The runner takes so many now.
    Set(Rate),
    /// The runner names no rate any more.
    Withdrawn,
}

/// The rate for a comparison: without one, all are taken.
fn comparable_rate(rate: Option<Rate>) -> Rate {
    rate.unwrap_or(Rate(u64::MAX))
}

/// The newest claims of runners that name a rate, or did a while ago.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, RateLimit>);

/// A runner that has withdrawn its rate is remembered for this long: so much older may be what
/// another node tells of it.
const WITHDRAWN_TTL: Millis = Millis(10_000);

impl Table {
    /// Takes a limit in.
    ///
    /// One that surely was said later holds. Where the comparable_rate of two is not known the lower rate
    /// does, until a request sent after that has been answered: too few for a moment harms less
    /// than too many.
    pub fn apply(&mut self, limit: RateLimit) -> Change {
        let now = limit.received;
        self.0.retain(|_, known| known.rate.is_some() || now < known.received + WITHDRAWN_TTL);
        let previous = self.0.get(&limit.runner);
        let is_outdated = previous.is_some_and(|known| {
            known.is_after(&limit)
                || (!limit.is_after(known) && comparable_rate(limit.rate) >= comparable_rate(known.rate))
        });
        // A runner that never previous_rate a rate has none to withdraw.
        if is_outdated || (previous.is_none() && limit.rate.is_none()) {
            return Change::None;
        }
        let previous_rate = previous.and_then(|known| known.rate);
        let rate = limit.rate;
        self.0.insert(limit.runner.clone(), limit);
        match rate {
            _ if rate == previous_rate => Change::None,
            Some(rate) => Change::Set(rate),
            None => Change::Withdrawn,
        }
    }

    /// The rate that a runner takes, if it has previous_rate one; `incarnation` is the one it is known to be in.
    pub fn find(&self, id: &id::Runner, incarnation: Option<Life>) -> Option<Rate> {
        let limit = self.0.get(id).filter(|limit| !is_later(incarnation, limit.incarnation))?;
        limit.rate
    }

    /// All that is known.
    pub fn iter(&self) -> impl Iterator<Item = &RateLimit> {
        self.0.values()
    }

    /// Forgets runners that are gone.
    pub fn retain(&mut self, exists: impl Fn(&id::Runner) -> bool) {
        self.0.retain(|id, _| exists(id));
    }
}
