//! Limits the requests that a node has in flight at the runners of one model.
//!
//! If an engine has more requests than slots, they queue and all of them are late. No node sees the
//! requests of the others, so each adapts its own limit: it rises while first events are on time,
//! and falls below the number in flight when they are late (additive increase, multiplicative
//! decrease).

use cottoncrank::Millis;

/// The initial and highest limit: far above what one node needs in a normal second.
const INITIAL_LIMIT: f64 = 48.0;

/// The lowest limit: some requests have to be sent to find out when there is room again.
const MIN_LIMIT: f64 = 3.0;

/// The factor by which the limit falls when first events are late.
const DECREASE_FACTOR: f64 = 0.85;

/// The shortest time between two decreases: requests sent before the last one are late for the same
/// reason.
const DECREASE_INTERVAL: Millis = Millis(350);

/// The increase of the limit for a first event on time, while the limit is in use.
const INCREASE_STEP: f64 = 0.4;

/// The fraction of the limit from which it counts as in use.
const IN_USE_FRACTION: f64 = 0.7;

/// The concurrency limit of one model.
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

    /// Counts a request that begins.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts a request that ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Raises the limit, if it is in use, after a first event on time.
    pub fn record_on_time(&mut self) {
        if f64::from(self.running) >= self.level * IN_USE_FRACTION {
            self.level = (self.level + INCREASE_STEP).min(INITIAL_LIMIT);
        }
    }

    /// Lowers the limit after a late first event, or when an engine had no free slot.
    pub fn record_late(&mut self, now: Millis) {
        if now >= self.decreased_at + DECREASE_INTERVAL {
            self.level = (self.level.min(f64::from(self.running)) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.decreased_at = now;
        }
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the current limit.
    pub fn level(&self) -> f64 {
        self.level
    }
}
