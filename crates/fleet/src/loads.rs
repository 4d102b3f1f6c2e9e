//! How many runners may begin to load a model from the shared weight store.

use std::collections::VecDeque;

use cottoncrank::Millis;

use crate::catalog::Engine;
use crate::settings::Ceiling;

/// Kept below the ceiling for orders that are carried out later than given.
const LATE_ORDER_MARGIN: f64 = 1.5;

/// The ceiling allows this many loads beyond its rate in each window.
const BURST_ALLOWANCE: f64 = 3.0;

/// Loads begun before callers come take this many times less, as the platform says.
const PRE_SERVING_SPEEDUP: u64 = 10;

/// What a load is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// It brings a group nearer that callers need now.
    Repair,
    /// It is for a loss that may come.
    Reserve,
}

/// Loads begun lately, as far as this node ordered them.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// When each was begun, and when it should be over.
    started: VecDeque<(Millis, Millis, Purpose)>,
}

impl Loads {
    /// How many loads may begin at `now`. While callers are `serving`, no more
    /// than run at full speed side by side: more would delay them all.
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

    /// Loads begin at `now` that take `time` while callers are `serving`.
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

    /// Forgets loads that are over and outside the window.
    pub fn prune(&mut self, now: Millis, ceiling: &Ceiling) {
        self.started.retain(|(started, ends, _)| now < *ends || now < *started + ceiling.window);
    }
}
