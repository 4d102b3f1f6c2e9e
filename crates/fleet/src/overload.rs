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

/// The most connections taken in one turn while the processor is overloaded. Each takes some ten turns until it
/// is answered, and a turn takes the longer, the more of them are under way.
const MAX_PER_TURN: u32 = 4;

/// The measured delay of tasks, and the connections taken since other tasks ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// The mean delay in milliseconds.
    delay: f64,
    /// When the next measurement is due.
    due: Option<Millis>,
    taken_in_turn: u32,
}

impl Overload {
    /// Sets when the next measurement is due.
    pub fn expect_measurement(&mut self, due: Millis) {
        self.due = Some(due);
    }

    /// Records that a task ran this much later than it was due.
    pub fn record_delay(&mut self, delay: Millis) {
        self.delay = self.mean_with(delay);
    }

    /// Returns the mean delay by which connections are judged.
    pub fn delay(&self) -> Millis {
        Millis(self.delay as u64)
    }

    /// Returns the mean delay after one more measurement.
    fn mean_with(&self, delay: Millis) -> f64 {
        self.delay + MEAN_STEP * (delay.min(MAX_MEASUREMENT).0 as f64 - self.delay)
    }

    /// Records that other tasks have run since the last connection was taken.
    pub fn begin_turn(&mut self) {
        self.taken_in_turn = 0;
    }

    /// Whether to take a connection that a caller opened.
    pub fn accepts(&mut self, now: Millis) -> bool {
        let overdue = self.due.map_or(Millis(0), |due| now.since(due));
        let is_overloaded = self.delay.max(self.mean_with(overdue)) >= MAX_DELAY.0 as f64;
        let accepts = !is_overloaded || self.taken_in_turn < MAX_PER_TURN;
        self.taken_in_turn += u32::from(accepts);
        accepts
    }
}
