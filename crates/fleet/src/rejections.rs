//! The runners that reject requests, as nodes report them to each other.
//!
//! The failure this covers: the head of a group looks healthy but rejects all requests for many
//! seconds, while other members of the group could be the head. Each node sees a few rejections,
//! and the decider may see none. A report of a rejection expires like an in-flight report.

use std::collections::HashMap;

use cottoncrank::{Millis, id};

use crate::occupancy::REPORT_TTL;

/// How long a runner has to be reported without a break until it counts as persistently rejecting:
/// several times as long as a node avoids it.
const MIN_PERSISTENCE: Millis = Millis(1000);

#[derive(Clone, Copy, Debug)]
struct Row {
    since: Millis,
    /// When it was last reported by any node; `last_local` is the same for nodes of this hall.
    last: Millis,
    last_local: Option<Millis>,
}

/// The runners that are reported to reject requests.
#[derive(Clone, Debug, Default)]
pub struct Table(HashMap<id::Runner, Row>);

impl Table {
    /// Records a report by a node of this hall, or from elsewhere.
    pub fn record(&mut self, runner: &id::Runner, is_local: bool, now: Millis) {
        self.0.retain(|_, row| now < row.last + REPORT_TTL);
        let row = self.0.entry(runner.clone()).or_insert(Row { since: now, last: now, last_local: None });
        row.last = now;
        if is_local {
            row.last_local = Some(now);
        }
    }

    /// Lists all that are reported.
    pub fn list(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        self.0.iter().filter(move |(_, row)| now < row.last + REPORT_TTL).map(|(id, _)| id)
    }

    /// Lists those that nodes of this hall report. Reports from other halls are not sent back to
    /// them.
    pub fn list_local(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let fresh = move |row: &Row| row.last_local.is_some_and(|last| now < last + REPORT_TTL);
        self.0.iter().filter(move |(_, row)| fresh(row)).map(|(id, _)| id)
    }

    /// Lists those that have been reported for long enough.
    pub fn list_persistent(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let persistent = move |row: &Row| now < row.last + REPORT_TTL && now >= row.since + MIN_PERSISTENCE;
        self.0.iter().filter(move |(_, row)| persistent(row)).map(|(id, _)| id)
    }
}
