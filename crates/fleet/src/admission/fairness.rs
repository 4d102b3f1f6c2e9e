//! The work that each account has taken, which decides between requests of equal urgency.
//!
//! Work is counted in tokens, because requests differ in size by a factor of hundreds. A new account
//! starts with the least work of the known ones, so that it gains no precedence by having sent nothing.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

/// The time constant with which work decays, in milliseconds: about the length of a burst.
const DECAY_TIME: f64 = 10_000.0;

/// An account with less work than this many tokens is forgotten, like one that has taken none.
const NEGLIGIBLE: f64 = 1.0;

/// The account that a request counts for. All requests without an account count as one.
pub type Flow = Option<id::Account>;

#[derive(Clone, Copy, Debug)]
struct Work {
    tokens: f64,
    updated: Millis,
}

impl Work {
    fn tokens(self, now: Millis) -> f64 {
        self.tokens * (-(now.since(self.updated).0 as f64) / DECAY_TIME).exp()
    }
}

/// The work taken by account.
#[derive(Clone, Debug, Default)]
pub struct Ledger(HashMap<Flow, Work>);

impl Ledger {
    /// Returns the tokens that an account has taken.
    pub fn tokens(&self, flow: &Flow, now: Millis) -> f64 {
        self.0.get(flow).map_or(0.0, |work| work.tokens(now))
    }

    /// Records that an account asks. One that is new starts at the least of the others.
    pub fn begin(&mut self, flow: &Flow, now: Millis) {
        if self.0.contains_key(flow) {
            return;
        }
        let least = self.0.values().map(|work| work.tokens(now)).min_by(f64::total_cmp);
        self.0.insert(flow.clone(), Work { tokens: least.unwrap_or(0.0), updated: now });
    }

    /// Adds the work of a request that runs.
    pub fn add(&mut self, flow: &Flow, tokens: f64, now: Millis) {
        self.0.retain(|_, work| work.tokens(now) >= NEGLIGIBLE);
        let before = self.tokens(flow, now);
        self.0.insert(flow.clone(), Work { tokens: before + tokens, updated: now });
    }
}
