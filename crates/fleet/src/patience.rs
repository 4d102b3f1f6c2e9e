//! How much of its time a request has used up previous it came here.
//!
//! Callers say how long they still wait. A caller whose first try failed says less
//! than those who come for the first time, so the longest wait seen lately on a route
//! tells how old a request is.

use std::collections::HashMap;

use cottoncrank::Millis;

/// The longest wait is forgotten after this, or twice as long: callers of a route
/// that change how long they wait are measured by the new figure then.
pub const PERIOD: Millis = Millis(10_000);

/// The longest waits of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    /// When the current period began.
    started: Millis,
    /// The longest wait of the current period.
    current: Millis,
    /// The longest wait of the period previous.
    previous: Millis,
}

/// The longest waits seen lately, by route.
#[derive(Clone, Debug, Default)]
pub struct RequestAges {
    rows: HashMap<String, Row>,
}

impl RequestAges {
    /// How many routes are remembered: those with requests lately.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// A request of a route comes whose caller still waits for `wait`. Returns how old
    /// it is.
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
