//! Which runners turn requests away, as nodes tell each other.
//!
//! The load this answers: the head of a group is in good health and turns all requests away for
//! many seconds, while its other members could be heads as well. Each node sees a few refusals; the
//! deciding node may see none. A report counts for as long as one of requests in flight.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::occupancy::REPORT_TTL;

/// A runner turns requests away for good where it has been said to for this long without a break:
/// several pauses of a node that passes it over.
const MIN_PERSISTENCE: Millis = Millis(1000);

#[derive(Clone, Copy, Debug)]
struct Row {
    since: Millis,
    /// When it was last said by anyone, and by a node of this hall.
    last: Millis,
    last_local: Option<Millis>,
}

/// The runners that are said to turn requests away.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, Row>);

impl Table {
    /// A runner is said to turn requests away, by a node of this hall or from elsewhere.
    pub fn record(&mut self, runner: &id::Runner, is_local: bool, now: Millis) {
        self.0.retain(|_, row| now < row.last + REPORT_TTL);
        let row = self.0.entry(runner.clone()).or_insert(Row { since: now, last: now, last_local: None });
        row.last = now;
        if is_local {
            row.last_local = Some(now);
        }
    }

    /// All that are said to.
    pub fn list(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        self.0.iter().filter(move |(_, row)| now < row.last + REPORT_TTL).map(|(id, _)| id)
    }

    /// Those that nodes of this hall say it of. What others have told is not told them back.
    pub fn list_local(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let fresh = move |row: &Row| row.last_local.is_some_and(|last| now < last + REPORT_TTL);
        self.0.iter().filter(move |(_, row)| fresh(row)).map(|(id, _)| id)
    }

    /// Those that have been said to for long.
    pub fn list_persistent(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let persistent = move |row: &Row| now < row.last + REPORT_TTL && now >= row.since + MIN_PERSISTENCE;
        self.0.iter().filter(move |(_, row)| persistent(row)).map(|(id, _)| id)
    }
}
