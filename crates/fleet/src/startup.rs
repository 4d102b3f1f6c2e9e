//! How a step of a start that fails is repeated, and which of its failures are logged.

use cottoncrank::Millis;

/// The pause after the first failure. It doubles with each further one.
const FIRST_PAUSE: Millis = Millis(20);

/// The maximum pause, which a start is late by at most once the step can succeed.
pub const MAX_PAUSE: Millis = Millis(500);

/// The time between two lines about failures of the same kind, and of different kinds.
pub const REPEATED_LINE_INTERVAL: Millis = Millis(10_000);
pub const CHANGED_LINE_INTERVAL: Millis = Millis(1000);

/// The failures of one step so far.
#[derive(Debug, Default)]
pub struct Failures {
    count: u32,
    logged: Option<(String, Millis)>,
}

/// What to do about a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The pause before the next try.
    pub pause: Millis,
    /// Whether a line is due.
    pub logs: bool,
}

impl Failures {
    /// Records a failure at `now`.
    pub fn record(&mut self, error: &str, now: Millis) -> Response {
        let pause = Millis(FIRST_PAUSE.0.saturating_mul(1 << self.count.min(16))).min(MAX_PAUSE);
        self.count = self.count.saturating_add(1);
        let logs = self.is_line_due(error, now);
        if logs {
            self.logged = Some((error.to_owned(), now));
        }
        Response { pause, logs }
    }

    fn is_line_due(&self, error: &str, now: Millis) -> bool {
        let Some((logged, at)) = &self.logged else { return true };
        let interval = if logged == error { REPEATED_LINE_INTERVAL } else { CHANGED_LINE_INTERVAL };
        now.since(*at) >= interval
    }

    /// Returns the number of failures.
    pub fn count(&self) -> u32 {
        self.count
    }
}
