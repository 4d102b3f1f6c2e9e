//! How many requests a second runners take from all nodes together, as they say themselves.
//!
//! The load this answers: a runner in need names a rate in its answers. It is a number for all
//! nodes, so what one of them was told concerns the others; and answers overtake each other, on
//! one node and between nodes, so that the last one read is not always the last one said.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::rate::Rate;
use crate::runner::{Incarnation, is_later};

/// What a runner said of its rate in one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The runner.
    pub runner: id::Runner,
    /// In which life, where that is told.
    pub life: Option<Incarnation>,
    /// The rate it takes; none if it named none.
    pub rate: Option<Rate>,
    /// When the request was sent that it answered. It said so no sooner.
    pub asked: Millis,
    /// When the answer came. It said so no later.
    pub heard: Millis,
}

/// A claim as nodes tell it each other, with ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The runner.
    pub runner: id::Runner,
    /// In which life, where that is told.
    pub life: Option<Incarnation>,
    /// The rate it takes; none if it named none.
    pub rate: Option<Rate>,
    /// How long ago the request was sent.
    pub asked: Millis,
    /// How long ago the answer came.
    pub heard: Millis,
}

impl Claim {
    /// The claim as it is told at `now`.
    pub fn tell(&self, now: Millis) -> Told {
        let Claim { runner, life, rate, asked, heard } = self.clone();
        Told { runner, life, rate, asked: now.since(asked), heard: now.since(heard) }
    }

    /// Whether it surely was said after `other`, of the same runner.
    fn is_after(&self, other: &Claim) -> bool {
        is_later(self.life, other.life) || self.asked >= other.heard
    }
}

impl Told {
    /// The claim, told at `now`.
    pub fn read(&self, now: Millis) -> Claim {
        let Told { runner, life, rate, asked, heard } = self.clone();
        Claim { runner, life, rate, asked: now.since(asked), heard: now.since(heard) }
    }
}

/// What a claim changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// The runner takes so many now.
    Named(Rate),
    /// The runner names no rate any more.
    Withdrawn,
}

/// The rate for a comparison: without one, all are taken.
fn order(rate: Option<Rate>) -> Rate {
    rate.unwrap_or(Rate(u64::MAX))
}

/// The newest claims of runners that name a rate, or did a while ago.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, Claim>);

/// A runner that has withdrawn its rate is remembered for this long: so much older may be what
/// another node tells of it.
const WITHDRAWN: Millis = Millis(10_000);

impl Table {
    /// Takes a claim in.
    ///
    /// One that surely was said later holds. Where the order of two is not known the lower rate
    /// does, until a request sent after that has been answered: too few for a moment harms less
    /// than too many.
    pub fn put(&mut self, claim: Claim) -> Change {
        let now = claim.heard;
        self.0.retain(|_, known| known.rate.is_some() || now < known.heard + WITHDRAWN);
        let before = self.0.get(&claim.runner);
        let kept = before.is_some_and(|known| {
            known.is_after(&claim) || (!claim.is_after(known) && order(claim.rate) >= order(known.rate))
        });
        // A runner that never named a rate has none to withdraw.
        if kept || (before.is_none() && claim.rate.is_none()) {
            return Change::None;
        }
        let named = before.and_then(|known| known.rate);
        let rate = claim.rate;
        self.0.insert(claim.runner.clone(), claim);
        match rate {
            _ if rate == named => Change::None,
            Some(rate) => Change::Named(rate),
            None => Change::Withdrawn,
        }
    }

    /// The rate that a runner takes, if it has named one; `life` is the one it is known to be in.
    pub fn find(&self, id: &id::Runner, life: Option<Incarnation>) -> Option<Rate> {
        let claim = self.0.get(id).filter(|claim| !is_later(life, claim.life))?;
        claim.rate
    }

    /// All that is known.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.0.values()
    }

    /// Forgets runners that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&id::Runner) -> bool) {
        self.0.retain(|id, _| is_there(id));
    }
}
