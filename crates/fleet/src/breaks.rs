//! Tries that broke off at a runner of which nothing could be found out then.
//!
//! A runner that is behind a cut, or whose way leads over a relay, refuses no connection when
//! it has ended. It is known to have ended once it tells of a later life, or another runner
//! stands at its address.

use std::collections::VecDeque;
use std::net::SocketAddr;

use cottoncrank::{Millis, id};

use crate::evidence::Row;
use crate::runner::{Life, is_later};

/// A runner that ended is back within seconds. One that ends later than this did not end
/// under the try that broke off.
pub const KEPT: Millis = Millis(6000);

/// The tries remembered: what some ten runners with all slots in use have in flight.
const MOST: usize = 512;

/// A try that broke off.
#[derive(Clone, Debug)]
pub struct Break {
    /// The request, with the end that is not known yet as its only one.
    pub row: Row,
    /// The runner.
    pub runner: id::Runner,
    /// The life in which it was tried, where that was told.
    pub life: Option<Life>,
    /// Where it listened.
    pub address: SocketAddr,
    /// When it broke off.
    pub at: Millis,
}

/// The tries of the last seconds that broke off.
#[derive(Clone, Debug, Default)]
pub struct Breaks(VecDeque<Break>);

impl Breaks {
    /// A try has broken off.
    pub fn note(&mut self, broken: Break) {
        while self.0.front().is_some_and(|first| broken.at >= first.at + KEPT) || self.0.len() >= MOST {
            self.0.pop_front();
        }
        self.0.push_back(broken);
    }

    /// A runner is in this life now: returns what broke off in former ones.
    pub fn take_former(&mut self, runner: &id::Runner, life: Life, now: Millis) -> Vec<Row> {
        self.take(now, |broken| broken.runner == *runner && is_later(Some(life), broken.life))
    }

    /// A runner stands at an address: returns what broke off there at another one.
    pub fn take_replaced(&mut self, runner: &id::Runner, address: SocketAddr, now: Millis) -> Vec<Row> {
        self.take(now, |broken| broken.runner != *runner && broken.address == address)
    }

    /// A runner has ended since it was in this life: returns what broke off in it.
    pub fn take_ended(&mut self, runner: &id::Runner, life: Option<Life>, now: Millis) -> Vec<Row> {
        self.take(now, |broken| broken.runner == *runner && broken.life == life)
    }

    fn take(&mut self, now: Millis, ended: impl Fn(&Break) -> bool) -> Vec<Row> {
        let mut rows = Vec::new();
        self.0.retain(|broken| {
            let taken = ended(broken);
            if taken && now < broken.at + KEPT {
                rows.push(broken.row.clone());
            }
            !taken
        });
        rows
    }
}
