//! How many requests a node keeps under way at the runners of one model.
//!
//! An engine that has more requests than places lets them wait, and then all of
//! them are late. No node sees the others' requests, so each watches its own: as
//! long as first events come in time the limit rises, and when they come late it
//! falls, below what is under way (additive increase, multiplicative decrease).

use cottoncrank::Millis;

/// The limit of a node that has seen nothing yet: far above what one node takes
/// in a calm second.
const INITIAL_LIMIT: f64 = 48.0;

/// The limit never falls below this: some requests have to go on to show when
/// there is room again.
const MIN_LIMIT: f64 = 3.0;

/// What is left of the limit when first events come late.
const DECREASE_FACTOR: f64 = 0.85;

/// The limit falls at most once in this time: what was sent before the last fall
/// is late for the same reason.
const DECREASE_INTERVAL: Millis = Millis(350);

/// How much the limit rises with a first event in time, while it is in use.
const INCREASE_STEP: f64 = 0.4;

/// The limit counts as in use from this part of it on.
const IN_USE_FRACTION: f64 = 0.7;

/// The limit of one model.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    level: f64,
    running: u32,
    decreased_at: Millis,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit { level: INITIAL_LIMIT, running: 0, decreased_at: Millis(0) }
    }
}

impl Limit {
    /// Whether one more request may begin.
    pub fn admits(&self) -> bool {
        f64::from(self.running) < self.level
    }

    /// A request begins.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// A request ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// A first event came in time.
    pub fn record_on_time(&mut self) {
        if f64::from(self.running) >= self.level * IN_USE_FRACTION {
            self.level = (self.level + INCREASE_STEP).min(INITIAL_LIMIT);
        }
    }

    /// A first event came late, or an engine had no place left.
    pub fn record_late(&mut self, now: Millis) {
        if now >= self.decreased_at + DECREASE_INTERVAL {
            self.level = (self.level.min(f64::from(self.running)) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = now;
        }
    }

    /// How many requests are under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The limit at present.
    pub fn level(&self) -> f64 {
        self.level
    }
}
