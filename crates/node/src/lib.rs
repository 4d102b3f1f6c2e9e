//! A node on the users' platform: one process a box.
//!
//! [`sync`] keeps what the node believes in step with the platform's store, read
//! here or by another node ([`peer`], [`feed`], [`registration`], whose entries `presence` removes), and `apply` takes it in; `era` says
//! what is carried over when the store comes back from an older copy.
//! [`reporting`] tells nodes what the others have in flight, and `dispatch` asks one of
//! them which group takes a request. [`front`] takes callers' requests, [`request`]
//! admits and routes them, [`plain`] and [`stream`] run them at runners (a stream try by
//! try, in `tries`, from a `source`, passed on by `relay`; `retries` pays for further tries), and [`decider`] gives orders
//! to the runners, which `prober` asks how they are, while this node holds the lease for
//! that. `backoff` keeps for how long runners want no requests. `crash` finds out whether a runner
//! ended under a request, `suspects` exchanges that
//! with other nodes and says what becomes of the request, and `record` keeps it in the store. `pulse`
//! notices that the process did not run for a while.
//! `invalid_items` bounds what the log tells of items that cannot be read. All state stands in
//! [`state::Node`].

pub mod answer;
mod apply;
pub mod attempt;
mod backoff;
mod candidates;
pub mod channel;
mod crash;
pub mod decider;
mod denylist;
mod dispatch;
mod era;
pub mod feed;
pub mod feedback;
pub mod figures;
pub mod flight;
pub mod front;
mod invalid_items;
pub mod log;
pub mod peer;
pub mod plain;
pub mod plans;
mod presence;
mod prober;
pub mod program;
mod pulse;
mod record;
pub mod registration;
mod relay;
pub mod reporting;
pub mod request;
mod retries;
mod source;
pub mod start;
pub mod state;
pub mod stream;
mod suspects;
pub mod sync;
mod throttle;
mod tries;
