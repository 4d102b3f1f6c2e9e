//! A randomized soak of the real programs.
//!
//! [`fleet`] runs nodes as processes of their own, against stand-ins of the
//! platform's store and of runners in this process, every link through a
//! [`proxy`]. A [`plan`] is a list of faults drawn from a seed: processes are
//! killed, paused, stopped and told to read their settings; links are delayed,
//! reset, cut one way or silenced; the store and runners misbehave. [`load`] sends
//! requests over connections that are kept, [`groups`] watches who is in which, and
//! [`run`] plays a plan. What callers
//! and runners saw is judged by [`check`], and [`shrink`] looks for the few faults
//! of a failing plan that are needed.
//!
//! The clock of a machine is not changed, which needs rights that a test does not
//! have; a paused process sees its clocks jump by the length of the pause.

pub mod check;
pub mod fleet;
pub mod groups;
pub mod load;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod shrink;
