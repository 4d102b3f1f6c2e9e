//! Decides whether a node takes a new connection while its processor is overloaded.
//!
//! A balancer may hand most new connections to one node. It cannot answer all of them in time, and one that
//! it closes unread costs the caller little: the next try meets another node.
//!
//! A process that waits for its processor is late as well, but has done nothing meanwhile, and may take up all
//! that waits once it runs. So a delay counts as far as the process has worked, and only if others have not held
//! it up.

use cottoncrank::Millis;

/// The mean delay of tasks from which the processor counts as overloaded. A request is delayed some ten times
/// on its way.
const MAX_DELAY: Millis = Millis(60);

/// The fraction of the difference by which a measurement changes the mean.
const MEAN_STEP: f64 = 0.2;

/// The largest delay that a measurement counts as.
const MAX_MEASUREMENT: Millis = Millis(250);

/// The most connections taken in one turn while the processor is overloaded. Each takes some ten turns until it
/// is answered, and a turn takes the longer, the more of them are under way.
const MAX_PER_TURN: u32 = 4;

/// The least part of the time in which a process runs that others do not hold up, as a divisor. Beside other
/// processes it runs in short turns with short pauses.
const MIN_RUNNING_DIVISOR: u64 = 3;

/// The least part of its share, in percent, that a process uses which runs for less time, as only its quota
/// stops it. A measurement may begin and end with a slice, and finds more than the process uses on average.
const MIN_SHARE_PERCENT: u64 = 75;

/// A time, and the work that a process has done by then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The time.
    pub now: Millis,
    /// The processor time used so far.
    pub used: Millis,
    /// The same in times of the process's share of the processor.
    pub work: Millis,
}

impl Moment {
    /// Whether a process with tasks to run got less of the processor than it may use.
    fn is_held_up_since(&self, begun: Moment) -> bool {
        let elapsed = self.now.since(begun.now);
        let (used, work) = (self.used.since(begun.used), self.work.since(begun.work));
        used.0 * MIN_RUNNING_DIVISOR < elapsed.0 && work.0 * 100 < elapsed.0 * MIN_SHARE_PERCENT
    }
}

/// A measurement that is awaited.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    begun: Moment,
    due: Millis,
}

/// The measured delay of tasks, and the connections taken since other tasks ran.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overload {
    /// The mean delay in milliseconds.
    delay: f64,
    awaited: Option<Awaited>,
    taken_in_turn: u32,
}

impl Overload {
    /// Begins a measurement: a task that is due at `due`.
    pub fn begin_measurement(&mut self, begun: Moment, due: Millis) {
        self.awaited = Some(Awaited { begun, due });
    }

    /// Records that the task runs.
    pub fn end_measurement(&mut self, at: Moment) {
        self.delay = self.mean_with(self.measure(at));
        self.awaited = None;
    }

    /// Returns the mean delay by which connections are judged.
    pub fn delay(&self) -> Millis {
        Millis(self.delay as u64)
    }

    /// Returns the delay of the task so far, as far as the process has worked.
    fn measure(&self, at: Moment) -> Millis {
        let Some(Awaited { begun, due }) = self.awaited else { return Millis(0) };
        if at.is_held_up_since(begun) {
            return Millis(0);
        }
        at.now.since(due).min(at.work.since(begun.work))
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
    pub fn accepts(&mut self, at: Moment) -> bool {
        let is_overloaded = self.delay.max(self.mean_with(self.measure(at))) >= MAX_DELAY.0 as f64;
        let accepts = !is_overloaded || self.taken_in_turn < MAX_PER_TURN;
        self.taken_in_turn += u32::from(accepts);
        accepts
    }
}
