//! Decides whether a node takes a new connection while its processor is overloaded.
//!
//! A balancer may hand most new connections to one node. It cannot answer all of them in time, and one that
//! it closes unread costs the caller little: the next try meets another node.
//!
//! A process that waits for its processor is late as well, but takes up all that waits as soon as it runs. It is
//! told from one that is overloaded by the turn of all tasks that follows, which is short.

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

/// How late a task ran, and how long the next turn of all tasks took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Measurement {
    /// The time between the point at which the task was due and its run.
    pub late: Millis,
    /// The time until it ran again behind all others that were ready.
    pub turn: Millis,
}

impl Measurement {
    /// Returns the part of the delay that is due to the tasks of the process.
    fn delay(self) -> Millis {
        self.late.min(self.turn)
    }
}

/// The measured delay of tasks, and the connections taken since other tasks ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// The mean delay in milliseconds.
    delay: f64,
    /// When the next measurement is due.
    due: Option<Millis>,
    /// When it was first seen to be overdue. The process may not have run before.
    overdue_since: Option<Millis>,
    taken_in_turn: u32,
}

impl Overload {
    /// Sets when the next measurement is due.
    pub fn expect_measurement(&mut self, due: Millis) {
        self.due = Some(due);
        self.overdue_since = None;
    }

    /// Records a measurement.
    pub fn record(&mut self, measurement: Measurement) {
        self.delay = self.mean_with(measurement.delay());
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

    /// Returns how long the next measurement has been overdue while the process ran.
    fn measure_overdue(&mut self, now: Millis) -> Millis {
        if self.due.is_none_or(|due| now <= due) {
            return Millis(0);
        }
        now.since(*self.overdue_since.get_or_insert(now))
    }

    /// Whether to take a connection that a caller opened.
    pub fn accepts(&mut self, now: Millis) -> bool {
        let overdue = self.measure_overdue(now);
        let is_overloaded = self.delay.max(self.mean_with(overdue)) >= MAX_DELAY.0 as f64;
        let accepts = !is_overloaded || self.taken_in_turn < MAX_PER_TURN;
        self.taken_in_turn += u32::from(accepts);
        accepts
    }
}
