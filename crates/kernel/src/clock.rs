//! Time in whole milliseconds, clocks, and the detection of suspensions.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, DynamicClockId, clock_gettime, clock_gettime_dynamic};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A point in time or a duration, in milliseconds. Points count from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

/// An error in parsing a duration.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a number of milliseconds such as `250` or `250ms` or `3s`")]
pub struct SpanError(String);

impl Millis {
    /// Returns the time since `earlier`, or zero if `earlier` is in the future.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Converts to the standard library's duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, span: Millis) -> Millis {
        self.since(span)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = SpanError;

    fn from_str(text: &str) -> Result<Millis, SpanError> {
        let (digits, scale) = match text.strip_suffix("ms") {
            Some(digits) => (digits, 1),
            None => match text.strip_suffix('s') {
                Some(digits) => (digits, 1000),
                None => (text, 1),
            },
        };
        let number: u64 = digits.parse().map_err(|_| SpanError(text.to_owned()))?;
        number.checked_mul(scale).map(Millis).ok_or_else(|| SpanError(text.to_owned()))
    }
}

/// A source of the current time. Decision functions take the time as an argument instead.
pub trait Clock {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Millis;
}

/// The machine's clock: the wall time at its creation plus the boot time that has passed since.
///
/// Boot time includes suspensions of the machine, which [`std::time::Instant`] and the timers of
/// tokio do not count. Without them, a lease or a proof of freshness from before a suspension
/// would look younger than it is.
#[derive(Clone, Debug)]
pub struct System {
    wall: Millis,
    start: Millis,
}

/// Reads a clock of the system.
fn read_clock(clock: ClockId) -> Millis {
    let time = clock_gettime(clock);
    Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// Returns the processor time that this thread has used, if the system tells it.
pub fn read_processor_time() -> Option<Millis> {
    let time = clock_gettime_dynamic(DynamicClockId::Known(ClockId::ThreadCPUTime)).ok()?;
    Some(Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000))
}

impl System {
    /// Reads the wall clock once.
    pub fn new() -> System {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        System { wall: Millis(wall.as_millis() as u64), start: read_clock(ClockId::Boottime) }
    }
}

impl Default for System {
    fn default() -> System {
        System::new()
    }
}

impl Clock for System {
    fn now(&self) -> Millis {
        self.wall + read_clock(ClockId::Boottime).since(self.start)
    }
}

/// A period in which this process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspension {
    /// The machine was suspended, so its timers were stopped too.
    Suspended(Millis),
    /// Only the process was stopped or delayed; its timers kept running.
    Frozen(Millis),
}

impl fmt::Display for Suspension {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspension::Suspended(span) => write!(f, "suspended for {span}"),
            Suspension::Frozen(span) => write!(f, "held up for {span}"),
        }
    }
}

/// The minimum difference between boot time and monotonic time that counts as a suspension.
/// The clocks are read one after the other, and on a busy machine 0.1 s can pass in between.
const MIN_SUSPENDED: Millis = Millis(200);

/// The minimum delay of a timer that shows that the process did not run. On a busy machine,
/// timers are late by 0.1 to 0.3 s because the process waits for the processor.
pub const MIN_FROZEN: Millis = Millis(500);

impl Suspension {
    /// Returns the suspension, if any, in a period in which a timer of `timeout` expired.
    ///
    /// `boottime` is the length of the period with suspensions of the machine, `monotonic` the
    /// length that timers count.
    pub fn detect(timeout: Millis, monotonic: Millis, boottime: Millis) -> Option<Suspension> {
        let suspended = boottime.since(monotonic);
        let late = monotonic.since(timeout);
        if suspended >= MIN_SUSPENDED {
            Some(Suspension::Suspended(suspended))
        } else if late >= MIN_FROZEN {
            Some(Suspension::Frozen(late))
        } else {
            None
        }
    }
}

/// Detects periods in which this process did not run.
#[derive(Debug)]
pub struct SuspensionDetector {
    clock: System,
    /// The time of the last check, by `clock` and by the clock that timers use.
    boottime: Millis,
    monotonic: Millis,
}

impl SuspensionDetector {
    /// Returns a detector whose first period starts now.
    pub fn new(clock: System) -> SuspensionDetector {
        SuspensionDetector { boottime: clock.now(), clock, monotonic: read_clock(ClockId::Monotonic) }
    }

    /// Returns the suspension, if any, since the last check. Called when a timer of `timeout` expires.
    pub fn check(&mut self, timeout: Millis) -> Option<Suspension> {
        let (boottime, monotonic) = (self.clock.now(), read_clock(ClockId::Monotonic));
        let suspension =
            Suspension::detect(timeout, monotonic.since(self.monotonic), boottime.since(self.boottime));
        (self.boottime, self.monotonic) = (boottime, monotonic);
        suspension
    }
}

/// A clock that advances only through [`Manual::advance`].
#[derive(Clone, Debug, Default)]
pub struct Manual(Arc<AtomicU64>);

impl Manual {
    /// Returns a clock that is set to `start`.
    pub fn new(start: Millis) -> Manual {
        Manual(Arc::new(AtomicU64::new(start.0)))
    }

    /// Advances the clock by `span`.
    pub fn advance(&self, span: Millis) {
        self.0.fetch_add(span.0, Ordering::SeqCst);
    }
}

impl Clock for Manual {
    fn now(&self) -> Millis {
        Millis(self.0.load(Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_are_parsed_with_their_unit() {
        assert_eq!("250".parse(), Ok(Millis(250)));
        assert_eq!("250ms".parse(), Ok(Millis(250)));
        assert_eq!("3s".parse(), Ok(Millis(3000)));
        assert!("3 minutes".parse::<Millis>().is_err());
        assert!("99999999999999999999s".parse::<Millis>().is_err());
    }

    #[test]
    fn a_suspended_machine_differs_from_a_delayed_process() {
        let detect =
            |monotonic, boottime| Suspension::detect(Millis(100), Millis(monotonic), Millis(boottime));
        assert_eq!(detect(101, 101), None);
        assert_eq!(detect(101, 290), None, "the clocks are not read at once");
        assert_eq!(detect(101, 401), Some(Suspension::Suspended(Millis(300))));
        assert_eq!(detect(3100, 13_100), Some(Suspension::Suspended(Millis(10_000))));
        assert_eq!(detect(400, 400), None, "a busy machine");
        assert_eq!(detect(3100, 3100), Some(Suspension::Frozen(Millis(3000))));
    }

    #[test]
    fn the_system_clock_follows_the_boot_time() {
        let clock = System::new();
        let (start, now) = (read_clock(ClockId::Boottime), clock.now());
        std::thread::park_timeout(Duration::from_millis(30));
        let passed = read_clock(ClockId::Boottime).since(start);
        assert!(clock.now().since(now) <= passed + Millis(2));
        assert!(clock.now().since(now) + Millis(2) >= passed);
    }

    #[test]
    fn a_manual_clock_advances_only_on_request() {
        let clock = Manual::new(Millis(5));
        assert_eq!(clock.now(), Millis(5));
        clock.advance(Millis(10));
        assert_eq!(clock.now(), Millis(15));
    }
}
