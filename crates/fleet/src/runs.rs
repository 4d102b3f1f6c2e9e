//! The runs of one request at several runners, some of which may be in flight at a time.
//!
//! A runner that is silent may be paused or lost. Its run is not given up; another one may begin beside it.
//! Each run counts from its begin, so that the number of runners that may have run the request never
//! exceeds what the route allows, however the runs end.

use cottoncrank::id;

/// The most runners that one request is sent to, those that reject it included.
const MAX_TRIES: usize = 4;

/// The runs of one request.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// The runners that the request was sent to, in order.
    tried: Vec<id::Runner>,
    /// Those of them that are known not to have run it.
    not_run: Vec<id::Runner>,
    /// Whether the request has reached a runner that failed it or is late.
    reached_runner: bool,
}

impl Runs {
    /// Whether another run may begin beside or after those so far. A request that is not `repeatable` runs
    /// at one runner at most, any other at `attempts` at most.
    pub fn may_begin(&self, attempts: u32, repeatable: bool) -> bool {
        let possible = self.count_possible();
        self.tried.len() < MAX_TRIES && possible < attempts && (possible == 0 || repeatable)
    }

    /// Counts a run at a runner.
    pub fn begin(&mut self, runner: id::Runner) {
        self.tried.push(runner);
    }

    /// Records that a runner did not answer in time, although it may yet.
    pub fn record_late(&mut self) {
        self.reached_runner = true;
    }

    /// Records how a run failed.
    pub fn record_failure(&mut self, runner: &id::Runner, may_have_run: bool, has_reached_runner: bool) {
        self.reached_runner |= has_reached_runner;
        if !may_have_run && !self.not_run.contains(runner) {
            self.not_run.push(runner.clone());
        }
    }

    /// Returns the runners that the request was sent to, in order.
    pub fn tried(&self) -> &[id::Runner] {
        &self.tried
    }

    /// Returns the number of runners that run the request or may have run it.
    pub fn count_possible(&self) -> u32 {
        (self.tried.len() - self.not_run.len()) as u32
    }

    /// Whether sending the request to one more runner counts as a retry.
    pub fn needs_retry(&self) -> bool {
        self.reached_runner
    }

    /// Returns the number of the try at a runner, from 1 on.
    pub fn number(&self, runner: &id::Runner) -> usize {
        self.tried.iter().position(|tried| tried == runner).map_or(self.tried.len(), |at| at + 1)
    }
}
