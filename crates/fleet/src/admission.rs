//! Admits requests on the collector of a hall, where requests of different priority compete for the
//! slots of a model.
//!
//! - [`queue`]: the bounded queue of a model, which runs, holds or refuses requests.
//! - [`decision`]: what it is asked and what it answers.
//! - [`class`]: the priorities that compete, how much room each leaves for more urgent ones, and the
//!   least that it gets.
//! - [`fairness`]: the work that each account has taken.
//! - [`meter`]: rates over a short window.

pub mod class;
pub mod decision;
pub mod fairness;
pub mod meter;
pub mod queue;

use cottoncrank::{Millis, id};
use serde::{Deserialize, Serialize};

use crate::dispatch;

/// Asks the collector to admit a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The query for the group that takes the request.
    pub choice: dispatch::Query,
    /// The priority of the request, 0 first: that of its account or, if that has none, of its route.
    pub priority: u8,
    /// The priority of its route, 0 first. It decides between requests of equal `priority`.
    pub route_priority: u8,
    /// The account that the request belongs to.
    pub account: Option<id::Account>,
}

/// The answer to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The answer to the query for a group.
    Chosen(dispatch::Reply),
    /// The request cannot be served in time.
    Return {
        /// The time until the earliest possible first event, in milliseconds.
        wait: u64,
        /// The time after which the caller should retry.
        retry: Millis,
    },
}
