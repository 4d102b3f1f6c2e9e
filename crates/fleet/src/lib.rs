//! What a node believes of the fleet that a platform's store describes, and
//! what it decides from that, as pure code: time and randomness are arguments.
//!
//! [`catalog`] is what operators want, [`roster`] which runners there are,
//! [`plan`] which runner is meant for which group. [`decide`] turns the three
//! into orders, [`balance`] picks a runner for a request by what all nodes have in
//! flight ([`occupancy`]), [`freshness`] says how long a node may rely on what it
//! knows, [`event`] splits a stream into the events that can be resumed after.

pub mod balance;
pub mod catalog;
pub mod census;
pub mod decide;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod event;
pub mod form;
pub mod freshness;
pub mod halt;
pub mod limit;
pub mod loads;
pub mod loss;
pub mod occupancy;
pub mod order;
pub mod plan;
pub mod preempt;
mod preload;
pub mod probe;
pub mod reserve;
pub mod roster;
pub mod runner;
pub mod settings;
mod share;
pub mod source;
pub mod staging;
