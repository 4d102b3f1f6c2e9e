//! Rates over a short window.

use cottoncrank::Millis;

/// The time constant of a rate, in milliseconds: long enough to cover tens of places, and short against
/// a burst, which lasts at least three times as long.
const WINDOW: f64 = 1000.0;

/// The rate of an event, as an exponentially weighted count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    count: f64,
    updated: Millis,
}

impl Meter {
    /// Counts one event.
    pub fn record(&mut self, now: Millis) {
        self.count = self.decay(now) + 1.0;
        self.updated = now;
    }

    /// Returns the events per millisecond.
    pub fn rate(&self, now: Millis) -> f64 {
        self.decay(now) / WINDOW
    }

    fn decay(&self, now: Millis) -> f64 {
        self.count * (-(now.since(self.updated).0 as f64) / WINDOW).exp()
    }
}
