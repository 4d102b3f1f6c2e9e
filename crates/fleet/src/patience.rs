//! Estimates the age of a request from the caller's remaining time.
//!
//! Callers state how long they still wait. A caller whose first attempt failed states less than one
//! that makes its first attempt, so the longest remaining time seen lately on a route tells how old
//! a request is.

use std::collections::HashMap;

use cottoncrank::Millis;

/// The longest remaining time is remembered for one to two of these periods. After that, callers of
/// a route that changed their timeout are measured by the new one.
pub const PERIOD: Millis = Millis(10_000);

/// The longest remaining times of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    /// When the current period began.
    started: Millis,
    /// The longest of the current period.
    current: Millis,
    /// The longest of the previous period.
    previous: Millis,
}

/// The longest remaining times seen lately, by route.
#[derive(Clone, Debug, Default)]
pub struct RequestAges {
    rows: HashMap<String, Row>,
}

impl RequestAges {
    /// Returns the number of remembered routes: those with recent requests.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Records a request of a route with the remaining time `wait` and returns its age.
    pub fn record(&mut self, route: &str, wait: Millis, now: Millis) -> Millis {
        if !self.rows.contains_key(route) {
            self.rows.retain(|_, row| now < row.started + PERIOD + PERIOD);
        }
        let row = self.rows.entry(route.to_owned()).or_insert(Row { started: now, ..Row::default() });
        if now >= row.started + PERIOD {
            *row = Row { started: now, current: Millis(0), previous: row.current };
        }
        row.current = row.current.max(wait);
        row.current.max(row.previous).since(wait)
    }
}
