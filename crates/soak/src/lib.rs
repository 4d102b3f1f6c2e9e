//! A randomized soak of the real programs.
//!
//! [`fleet`] runs nodes as processes of their own, against stand-ins of the
//! platform's store and of runners in this process, every link through a
//! [`proxy`]. A [`plan`] is a list of faults drawn from a seed: processes are
//! killed, paused, stopped and told to read their settings; links are delayed,
//! reset, cut one way or silenced; the store and runners misbehave. [`load`] sends
//! requests over connections that are kept, [`groups`] watches who is in which, and
//! [`run`] plays a plan.
//! A request that ends runners comes from [`deadly`]. What callers
//! and runners saw is judged by [`check`], [`partition`], `limits`, `evacuation`, `cold`, [`lost`]
//! and [`recovery`], and [`shrink`] looks for the few faults
//! of a failing plan that are needed.
//!
//! The clock of a machine is not changed, which needs rights that a test does not
//! have; a paused process sees its clocks jump by the length of the pause. A box is suspended
//! by a node's program of the soak's own, `suspendable-node`: told to by SIGUSR1, it stops the
//! clock of its timers and then itself. What that leaves out: the kernel's steady clock, and
//! the other processes of the box. The same program cuts a node off from all runners, as a file beside its
//! settings says.

pub mod check;
pub(crate) mod cold;
pub mod deadly;
pub(crate) mod evacuation;
pub mod fleet;
pub mod groups;
pub(crate) mod limits;
pub mod load;
pub mod lost;
pub mod outage;
pub mod outcome;
pub mod partition;
pub mod plan;
pub mod proxy;
pub mod recovery;
pub mod run;
pub mod sheet;
pub mod shrink;
