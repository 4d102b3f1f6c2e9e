//! Decides whether a node takes a new connection while its processor is overloaded.
//!
//! A balancer may hand most new connections to one node. It cannot answer all of them in time, and one that
//! it closes unread costs the caller little: the next try meets another node.

use cottoncrank::Millis;

/// The mean delay of tasks from which the processor counts as overloaded. A request is delayed some ten times
/// on its way.
const MAX_DELAY: Millis = Millis(60);

/// The fraction of the difference by which a measurement changes the mean.
const MEAN_STEP: f64 = 0.2;

/// The largest delay that a measurement counts as. A process that did not run at all for a while is not
/// overloaded.
const MAX_MEASUREMENT: Millis = Millis(250);

/// The longest time without a new connection. A node that calls itself ready has to take some.
const MAX_REFUSAL_TIME: Millis = Millis(100);

/// The measured delay of tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// The mean delay in milliseconds.
    delay: f64,
    last_accepted: Option<Millis>,
}

impl Overload {
    /// Records that a task ran this much later than it was due.
    pub fn record_delay(&mut self, delay: Millis) {
        self.delay += MEAN_STEP * (delay.min(MAX_MEASUREMENT).0 as f64 - self.delay);
    }

    /// Whether to take a connection that a caller opened.
    pub fn accepts(&mut self, now: Millis) -> bool {
        let accepts = self.delay < MAX_DELAY.0 as f64
            || self.last_accepted.is_none_or(|last| now >= last + MAX_REFUSAL_TIME);
        if accepts {
            self.last_accepted = Some(now);
        }
        accepts
    }
}
