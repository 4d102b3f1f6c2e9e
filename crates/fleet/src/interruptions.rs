//! Tries that broke off at a runner of which nothing could be found out then.
//!
//! A runner that is behind a cut, or whose way leads over a relay, refuses no connection when
//! it has ended. It is known to have ended once it tells of a later incarnation, or another runner
//! stands at its address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cottoncrank::{Millis, id};

use crate::evidence::Row;
use crate::runner::{Incarnation, is_later};

/// A runner that ended is back within seconds. One that ends later than this did not end
/// under the try that broke off.
pub const INTERRUPTION_TTL: Millis = Millis(6000);

/// The tries remembered: what some ten runners with all slots in use have in flight.
const MAX_INTERRUPTIONS: usize = 512;

/// A try that broke off.
#[derive(Clone, Debug)]
pub struct Interruption {
    /// The request, with the end that is not known yet as its only one.
    pub row: Row,
    /// The runner.
    pub runner: id::Runner,
    /// The incarnation in which it was tried, where that was told.
    pub incarnation: Option<Incarnation>,
    /// Where it listened.
    pub address: SocketAddr,
    /// When it broke off.
    pub at: Millis,
}

/// The tries of the last seconds that broke off.
#[derive(Clone, Debug, Default)]
pub struct Interruptions(VecDeque<Interruption>);

impl Interruptions {
    /// A try has interruption off.
    pub fn record(&mut self, interruption: Interruption) {
        while self.0.front().is_some_and(|oldest| interruption.at >= oldest.at + INTERRUPTION_TTL)
            || self.0.len() >= MAX_INTERRUPTIONS
        {
            self.0.pop_front();
        }
        self.0.push_back(interruption);
    }

    /// A runner is in this incarnation now: returns what broke off in former ones.
    pub fn take_earlier(&mut self, runner: &id::Runner, incarnation: Incarnation, now: Millis) -> Vec<Row> {
        self.take_matching(now, |interruption| {
            interruption.runner == *runner && is_later(Some(incarnation), interruption.incarnation)
        })
    }

    /// A runner stands at an address: returns what broke off there at another one.
    pub fn take_replaced(&mut self, runner: &id::Runner, address: SocketAddr, now: Millis) -> Vec<Row> {
        self.take_matching(now, |interruption| {
            interruption.runner != *runner && interruption.address == address
        })
    }

    /// A runner has ended since it was in this incarnation: returns what broke off in it.
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
                rows.push(interruption.row.clone());
            }
            !taken
        });
        rows
    }
}
