//! The effect of a shortage on callers: requests refused or kept waiting, by model and priority.
//!
//! The utilization of groups follows a shortage late and does not tell whose requests suffer. The
//! collector of a hall knows at once which requests it refuses or holds. It counts them and, while there
//! are any, sends the counts to the decider several times a second ([`crate::shift`]).

use std::collections::{BTreeMap, VecDeque};

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

/// How often a collector sends its counts.
pub const REPORT_INTERVAL: Millis = Millis(250);

/// How long a collector continues to send counts after it last refused or held a request, so that the
/// decider learns the refused fraction and not only the refusals.
const REPORT_TIME: Millis = Millis(1000);

/// How long the decider takes a report into account.
const WINDOW: Millis = Millis(1000);

/// The weight of a request that had to wait, relative to a refused one.
const WAIT_WEIGHT: f64 = 0.25;

/// The weight of a request, relative to one of the next more urgent priority.
const PRIORITY_WEIGHT: f64 = 0.5;

/// The refused fraction from which a model is short.
const SHORT_FRACTION: f64 = 0.05;

/// The least weighted number of requests refused in the window from which a model is short.
const MIN_REFUSED: f64 = 4.0;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It got a place without waiting.
    Taken,
    /// It got a place after it had waited.
    Waited,
    /// It was refused for want of room.
    Refused,
}

/// Requests counted by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// All of them.
    pub asked: u32,
    /// Those that had to wait.
    pub waited: u32,
    /// Those refused.
    pub refused: u32,
}

/// The requests for one model of one priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// The priority, 0 first.
    pub priority: u8,
    /// The counts.
    pub tally: Tally,
}

/// What a collector counted since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The collector's hall.
    pub hall: id::Hall,
    /// The counts.
    pub rows: Vec<Row>,
}

/// Counts requests on a collector.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    tallies: BTreeMap<(id::Service, id::Model, u8), Tally>,
    /// When a request was last refused or kept waiting.
    last_shortage: Option<Millis>,
}

impl Recorder {
    /// Counts a request.
    pub fn record(
        &mut self,
        service: &id::Service,
        model: &id::Model,
        priority: u8,
        outcome: Outcome,
        now: Millis,
    ) {
        let tally = self.tallies.entry((service.clone(), model.clone(), priority)).or_default();
        tally.asked += 1;
        match outcome {
            Outcome::Taken => {}
            Outcome::Waited => tally.waited += 1,
            Outcome::Refused => tally.refused += 1,
        }
        if outcome != Outcome::Taken {
            self.last_shortage = Some(now);
        }
    }

    /// Returns the counts since the last call, or nothing if no request has been refused or kept waiting
    /// for a while.
    pub fn take(&mut self, now: Millis) -> Vec<Row> {
        let tallies = std::mem::take(&mut self.tallies);
        if self.last_shortage.is_none_or(|at| now >= at + REPORT_TIME) {
            return Vec::new();
        }
        let rows = tallies.into_iter();
        rows.map(|((service, model, priority), tally)| Row { service, model, priority, tally }).collect()
    }
}

/// The requests for one model, weighted by their priority.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Strain {
    /// All of them.
    pub asked: f64,
    /// Those refused, and a part of those that had to wait.
    pub refused: f64,
}

impl Strain {
    /// Returns the refused fraction.
    pub fn fraction(&self) -> f64 {
        if self.asked > 0.0 { (self.refused / self.asked).min(1.0) } else { 0.0 }
    }

    /// Whether so many requests are refused that the model needs more groups.
    pub fn is_short(&self) -> bool {
        self.refused >= MIN_REFUSED && self.fraction() >= SHORT_FRACTION
    }
}

/// The requests for one service, over all halls, by how they fare.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pressure {
    /// By model. A model without requests in the reports has no entry.
    pub strains: BTreeMap<id::Model, Strain>,
    /// Whether the routes of the service differ in priority.
    pub priorities: bool,
}

/// The reports of the last second. Only the decider receives any.
#[derive(Clone, Debug, Default)]
pub struct Table(VecDeque<(Millis, Report)>);

impl Table {
    /// Inserts a report and removes expired ones.
    pub fn insert(&mut self, report: Report, now: Millis) {
        self.prune(now);
        self.0.push_back((now, report));
    }

    fn prune(&mut self, now: Millis) {
        self.0.retain(|(received, _)| now < *received + WINDOW);
    }

    /// Returns the weighted requests for the models of a service.
    pub fn sum(&mut self, service: &id::Service, now: Millis) -> BTreeMap<id::Model, Strain> {
        self.prune(now);
        let mut strains: BTreeMap<id::Model, Strain> = BTreeMap::new();
        let rows = self.0.iter().flat_map(|(_, report)| &report.rows);
        for row in rows.filter(|row| row.service == *service) {
            let weight = PRIORITY_WEIGHT.powi(i32::from(row.priority));
            let strain = strains.entry(row.model.clone()).or_default();
            strain.asked += weight * f64::from(row.tally.asked);
            strain.refused +=
                weight * (f64::from(row.tally.refused) + WAIT_WEIGHT * f64::from(row.tally.waited));
        }
        strains
    }
}
