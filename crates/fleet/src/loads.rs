//! Limits how many runners may begin to load a model from the shared weight store.

use std::collections::VecDeque;

use cottoncrank::Millis;

use crate::catalog::Engine;
use crate::holdback::Account;
use crate::settings::Ceiling;

/// Loads kept below the ceiling, for orders that are executed later than issued.
const LATE_ORDER_MARGIN: f64 = 1.5;

/// The ceiling allows this many loads in each window beyond its rate.
const BURST_ALLOWANCE: f64 = 3.0;

/// Loads that begin before callers arrive are faster by this factor, by the platform's contract.
const PRE_SERVING_SPEEDUP: u64 = 10;

/// The purpose of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// It helps to form a group that callers need now.
    Repair,
    /// It prepares for a possible loss.
    Reserve,
}

/// Recent loads that this node ordered.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// The start, the expected end and the purpose of each load.
    started: VecDeque<(Millis, Millis, Purpose)>,
}

impl Loads {
    /// Returns how many loads may begin at `now`. While callers are `serving`, no more loads run at
    /// once than the weight store serves at full speed, because more would delay them all.
    pub fn count_allowed(
        &self,
        now: Millis,
        engine: &Engine,
        ceiling: &Ceiling,
        serving: bool,
        purpose: Purpose,
    ) -> usize {
        let seconds = ceiling.window.0 as f64 / 1000.0;
        let max_in_window = (engine.loads_per_second * seconds * ceiling.overshoot + BURST_ALLOWANCE
            - LATE_ORDER_MARGIN) as usize;
        let recent = self.started.iter().filter(|(started, ..)| now < *started + ceiling.window).count();
        let counts = |other: Purpose| purpose == Purpose::Reserve || other == Purpose::Repair;
        let running = self.started.iter().filter(|(_, ends, other)| now < *ends && counts(*other)).count();
        let rate_limited = max_in_window.saturating_sub(recent);
        match serving {
            true => rate_limited.min(engine.loads_at_once.saturating_sub(running)),
            false => rate_limited,
        }
    }

    /// Returns what is known of the loads while some for repairs are held back.
    pub fn account(&self, now: Millis, engine: &Engine, ceiling: &Ceiling, serving: bool) -> Account {
        let recent = self.started.iter().filter(|(started, ..)| now < *started + ceiling.window).count();
        let repairs = self.started.iter().filter(|(.., purpose)| *purpose == Purpose::Repair);
        let running = repairs.filter(|(_, ends, _)| now < *ends).count();
        let changes = self.started.iter().flat_map(|(started, ends, _)| [*started + ceiling.window, *ends]);
        let allows = |at: &Millis| self.count_allowed(*at, engine, ceiling, serving, Purpose::Repair) > 0;
        let next = changes.filter(|at| now < *at).filter(allows).min();
        Account { recent, running, next }
    }

    /// Records loads that begin at `now` and take `time` while callers are `serving`.
    pub fn record_started(
        &mut self,
        now: Millis,
        count: usize,
        time: Millis,
        serving: bool,
        purpose: Purpose,
    ) {
        let time = if serving { time } else { Millis(time.0 / PRE_SERVING_SPEEDUP) };
        self.started.extend(std::iter::repeat_n((now, now + time, purpose), count));
    }

    /// Drops one load that was recorded to begin at `started` and did not begin.
    pub fn withdraw(&mut self, started: Millis, purpose: Purpose) {
        let is_it = |load: &(Millis, Millis, Purpose)| (load.0, load.2) == (started, purpose);
        if let Some(at) = self.started.iter().position(is_it) {
            self.started.remove(at);
        }
    }

    /// Drops loads that have ended and are outside the window.
    pub fn prune(&mut self, now: Millis, ceiling: &Ceiling) {
        self.started.retain(|(started, ends, _)| now < *ends || now < *started + ceiling.window);
    }
}
