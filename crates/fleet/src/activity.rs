//! When a process ran, by its own looks at the clock.

use cottoncrank::Millis;

/// A longer time between two looks is a pause: the process did not run.
const MIN_PAUSE: Millis = Millis(200);

/// How long after a pause the process may still hear of what happened in it.
const HEARING_TIME: Millis = Millis(200);

/// When a process last ran, and its last pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Activity {
    latest: Option<Millis>,
    pause: Option<Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    begin: Millis,
    end: Millis,
}

impl Activity {
    /// Records that the process runs.
    pub fn record(&mut self, now: Millis) {
        if let Some(begin) = self.latest.filter(|latest| now.since(*latest) >= MIN_PAUSE) {
            self.pause = Some(Pause { begin, end: now });
        }
        self.latest = Some(now);
    }

    /// Returns the earliest time at which something may have happened that the process hears of now.
    pub fn find_earliest(&self, now: Millis) -> Millis {
        let mut seen = *self;
        seen.record(now);
        seen.pause.filter(|pause| now.since(pause.end) <= HEARING_TIME).map_or(now, |pause| pause.begin)
    }
}
