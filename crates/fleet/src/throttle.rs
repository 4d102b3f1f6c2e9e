//! The rate limits that runners announce for all nodes together.
//!
//! An overloaded runner announces a rate in its answers. The rate applies to all nodes, so what one
//! node receives concerns the others. Answers overtake each other on one node and between nodes, so
//! the last one received is not always the last one sent.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::rate::Rate;
use crate::runner::{Incarnation, is_later};

/// A rate limit as announced in one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation that announced it, if known.
    pub incarnation: Option<Incarnation>,
    /// The accepted rate; `None` if the answer announced none.
    pub rate: Option<Rate>,
    /// When the answered request was sent: the earliest time of the announcement.
    pub sent: Millis,
    /// When the answer was received: the latest time of the announcement.
    pub received: Millis,
}

/// A rate limit as nodes exchange it, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation that announced it, if known.
    pub life: Option<Incarnation>,
    /// The accepted rate; `None` if the answer announced none.
    pub rate: Option<Rate>,
    /// The time since the answered request was sent.
    pub asked: Millis,
    /// The time since the answer was received.
    pub heard: Millis,
}

impl RateLimit {
    /// Converts the times to ages at `now`.
    pub fn to_message(&self, now: Millis) -> Message {
        let RateLimit { runner, incarnation, rate, sent, received } = self.clone();
        Message { runner, life: incarnation, rate, asked: now.since(sent), heard: now.since(received) }
    }

    /// Whether it was certainly announced after `other`, by the same runner.
    fn is_after(&self, other: &RateLimit) -> bool {
        is_later(self.incarnation, other.incarnation) || self.sent >= other.received
    }
}

impl Message {
    /// Creates a message about a runner that has announced no rate limit. It is older than any announcement,
    /// so that it replaces none at its receiver.
    pub fn without_rate(runner: &id::Runner, incarnation: Option<Incarnation>) -> Message {
        let oldest = Millis(u64::MAX);
        Message { runner: runner.clone(), life: incarnation, rate: None, asked: oldest, heard: oldest }
    }

    /// Converts the ages at `now` to times.
    pub fn to_rate_limit(&self, now: Millis) -> RateLimit {
        let Message { runner, life: incarnation, rate, asked: sent, heard: received } = self.clone();
        RateLimit { runner, incarnation, rate, sent: now.since(sent), received: now.since(received) }
    }
}

/// The effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The rate is unchanged.
    None,
    /// The runner has this rate limit now.
    Set(Rate),
    /// The runner has no rate limit any more.
    Withdrawn,
}

/// Returns the rate for comparisons: no limit is higher than every limit.
fn comparable_rate(rate: Option<Rate>) -> Rate {
    rate.unwrap_or(Rate(u64::MAX))
}

/// The latest announcements of runners that have a rate limit, or had one a while ago.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, RateLimit>);

/// How long a withdrawn limit is remembered, because messages of other nodes may be older than the
/// withdrawal by this much.
const WITHDRAWN_TTL: Millis = Millis(10_000);

impl Table {
    /// Applies an announcement and returns its effect.
    ///
    /// The one that was certainly made later wins. If the order of two is unknown, the lower rate
    /// applies until a request sent after that has been answered, because too few requests for a
    /// moment do less harm than too many.
    pub fn apply(&mut self, limit: RateLimit) -> Change {
        let now = limit.received;
        self.0.retain(|_, known| known.rate.is_some() || now < known.received + WITHDRAWN_TTL);
        let previous = self.0.get(&limit.runner);
        let is_outdated = previous.is_some_and(|known| {
            known.is_after(&limit)
                || (!limit.is_after(known) && comparable_rate(limit.rate) >= comparable_rate(known.rate))
        });
        // A runner that never announced a limit has none to withdraw.
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

    /// Returns the rate limit of a runner, if it has one. `incarnation` is the latest known one; a
    /// limit of an earlier incarnation does not apply to it.
    pub fn find(&self, id: &id::Runner, incarnation: Option<Incarnation>) -> Option<Rate> {
        self.find_announcement(id, incarnation)?.rate
    }

    /// Lists the messages about these runners for a permit query: of each its last announcement, or that it
    /// has made none. The runners are given with their latest known incarnations.
    pub fn list_claims(&self, runners: &[(id::Runner, Option<Incarnation>)], now: Millis) -> Vec<Message> {
        let claims = runners.iter().map(|(id, incarnation)| match self.find_announcement(id, *incarnation) {
            Some(limit) => limit.to_message(now),
            None => Message::without_rate(id, *incarnation),
        });
        claims.collect()
    }

    /// Returns the last announcement of a runner, unless an incarnation before `incarnation` made it.
    fn find_announcement(&self, id: &id::Runner, incarnation: Option<Incarnation>) -> Option<&RateLimit> {
        self.0.get(id).filter(|limit| !is_later(incarnation, limit.incarnation))
    }

    /// Lists all announcements.
    pub fn iter(&self) -> impl Iterator<Item = &RateLimit> {
        self.0.values()
    }

    /// Removes runners that are gone.
    pub fn retain(&mut self, exists: impl Fn(&id::Runner) -> bool) {
        self.0.retain(|id, _| exists(id));
    }
}
