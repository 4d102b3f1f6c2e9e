//! Attempts that broke off at a runner while it was unknown whether the runner had crashed.
//!
//! A crashed runner that is partitioned, or reached through a relay, does not refuse connections. Its
//! crash becomes known once it reports a later incarnation, or another runner listens at its address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cottoncrank::{Millis, id};

use crate::evidence::Row;
use crate::fingerprint::Fingerprint;
use crate::runner::{Incarnation, is_later};

/// How long an interruption is kept. A crashed runner is back within seconds, so a crash found later
/// did not interrupt the attempt.
pub const INTERRUPTION_TTL: Millis = Millis(6000);

/// The maximum number kept: what some ten fully used runners have in flight.
const MAX_INTERRUPTIONS: usize = 512;

/// An attempt that broke off.
#[derive(Clone, Debug)]
pub struct Interruption {
    /// The request and the parts of its prompt, with the unconfirmed crash as their only one.
    pub rows: Vec<Row>,
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation at the attempt, if known.
    pub incarnation: Option<Incarnation>,
    /// Where the runner listened.
    pub address: SocketAddr,
    /// When the attempt broke off.
    pub at: Millis,
}

/// The interruptions of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct Interruptions(VecDeque<Interruption>);

impl Interruptions {
    /// Records an interruption.
    pub fn record(&mut self, interruption: Interruption) {
        while self.0.front().is_some_and(|oldest| interruption.at >= oldest.at + INTERRUPTION_TTL)
            || self.0.len() >= MAX_INTERRUPTIONS
        {
            self.0.pop_front();
        }
        self.0.push_back(interruption);
    }

    /// Removes the interruption of a request at a runner that has gone on with it.
    pub fn withdraw(&mut self, runner: &id::Runner, request: &Fingerprint) {
        let is_of = |row: &Row| row.fingerprint == *request;
        self.0.retain(|interruption| interruption.runner != *runner || !interruption.rows.iter().any(is_of));
    }

    /// Removes and returns what broke off in earlier incarnations of a runner, which is now in this
    /// one.
    pub fn take_earlier(&mut self, runner: &id::Runner, incarnation: Incarnation, now: Millis) -> Vec<Row> {
        self.take_matching(now, |interruption| {
            interruption.runner == *runner && is_later(Some(incarnation), interruption.incarnation)
        })
    }

    /// Removes and returns what broke off at another runner at this address, where this runner now
    /// listens.
    pub fn take_replaced(&mut self, runner: &id::Runner, address: SocketAddr, now: Millis) -> Vec<Row> {
        self.take_matching(now, |interruption| {
            interruption.runner != *runner && interruption.address == address
        })
    }

    /// Removes and returns what broke off in this incarnation of a runner, which has crashed since.
    pub fn take_crashed(
        &mut self,
        runner: &id::Runner,
        incarnation: Option<Incarnation>,
        now: Millis,
    ) -> Vec<Row> {
        self.take_matching(now, |interruption| {
            interruption.runner == *runner && interruption.incarnation == incarnation
        })
    }

    fn take_matching(&mut self, now: Millis, is_match: impl Fn(&Interruption) -> bool) -> Vec<Row> {
        let mut rows = Vec::new();
        self.0.retain(|interruption| {
            let taken = is_match(interruption);
            if taken && now < interruption.at + INTERRUPTION_TTL {
                rows.extend(interruption.rows.iter().cloned());
            }
            !taken
        });
        rows
    }
}
