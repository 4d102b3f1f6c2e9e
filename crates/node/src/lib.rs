//! A node of cottoncrank on the users' platform: one process on each entry box.
//!
//! All state is in [`state::Node`], which the tasks that [`start`] spawns share. Modules without a link
//! are private to the crate.
//!
//! # Following the store
//!
//! - [`sync`] keeps a node in step with the platform's store. It reads the store itself or polls another
//!   node, the decider or a reader of its hall.
//! - [`feed`] keeps the content of the store for the nodes that poll this one, and [`peer`] carries the
//!   change polls.
//! - `apply` applies the content and its changes to the state; [`plans`] reads the domain plans.
//! - `invalid_items` limits the log lines about invalid items, which `invalid_lines` writes.
//! - `era` carries items over when the store is restored from an older copy, and `past` asks whether any node
//!   holds some.
//! - [`registration`] writes the entry of this node to the store, and `presence`, on the collector of a hall,
//!   removes the entries of nodes that are gone.
//!
//! # Reporting in-flight requests
//!
//! - [`reporting`] sends in-flight reports to the collector of the hall, or as the collector to those of the
//!   other halls, and answers those that it receives.
//! - [`feedback`] adds to the reports what runners announced about themselves in answers.
//! - [`in_flight`] counts the requests in flight at this node and limits their concurrency.
//! - `group_load` sums up what this node has in flight at each group, and which groups it doubts.
//! - `denylist` lists nodes that did not answer and are not called for a while.
//!
//! # Deciding
//!
//! - [`decider`] elects the node that holds the decider lease, and its `term` plans groups and sends orders
//!   to runners.
//! - `prober` probes the members of groups for it.
//!
//! # Serving callers
//!
//! - `ports` accepts the connections of other nodes, the balancer and metrics.
//! - [`front`] listens for callers and answers the balancer, [`request`] admits and routes requests, and
//!   [`answer`] builds the answers and refusals. `idle` limits how long a caller's connection may be idle, and
//!   `arrivals` tells what is unread on one that is about to be closed.
//! - [`plain`] serves requests with a whole answer. [`stream`] serves streams: `tries` picks one runner
//!   after another, `race` tries them, also beside those that are late, `runner_stream` reads the events of
//!   one attempt, and `relay` forwards them to the caller. [`trace`] keeps what a request waits for.
//! - [`attempt`] sends a request to a runner over a [`channel`].
//! - `connect` makes the connection, through a [`tunnel`] that another node carries where this node's path
//!   to the runner is cut. `paths` keeps track of that.
//! - `admission` asks the collector to admit a request that competes with others of different priority,
//!   and as the collector holds those that wait for a place.
//! - `returns` recognises callers that return as told, and plans when refused ones should.
//! - `dispatch` asks the collector which group takes a request, and answers as the collector.
//!   `candidates` finds the runners that a request may be sent to.
//! - `pressure` counts, on a collector, the requests refused for want of room, and tells the decider.
//! - `throttle` enforces the rate limits that runners announced, and `backoff` records which runners
//!   are backing off.
//! - `evacuation` keeps requests from the halls that operators evacuate, and takes the halls back.
//! - `retries` takes a retry token for each further attempt, from the retry budget of the node or the
//!   shared retry pool of the hall.
//!
//! # Suspected requests
//!
//! - `crash` finds out whether a runner crashed under a request.
//! - `suspects` exchanges that evidence with other nodes, piggybacked on the queries of [`peer`], and
//!   decides whether a request may run.
//! - `suspect_store` keeps the evidence in the store.
//!
//! # Process
//!
//! - [`program`] runs a node with its settings and `signals`; [`start`] starts and drains it.
//! - `listen` takes its ports, and `repeat` repeats steps of the start until they succeed.
//! - [`supervise`] starts tasks again that end by themselves, logs panics, and tells when the thread stands still.
//! - `suspension` detects that the process did not run for a while, and `catchup` limits what it sends
//!   until it has heard what it missed.
//! - [`log`] writes log lines without blocking, and [`telemetry`] serves the metrics. `cold` logs which
//!   halls have cold runners, and `unread` that new connections are closed unread.

mod admission;
pub mod answer;
mod apply;
mod arrivals;
pub mod attempt;
mod backoff;
mod candidates;
mod catchup;
pub mod channel;
mod cold;
mod connect;
mod crash;
pub mod decider;
mod denylist;
mod dispatch;
mod era;
mod evacuation;
pub mod feed;
pub mod feedback;
pub mod front;
mod group_load;
mod hall_label;
mod idle;
pub mod in_flight;
pub mod invalid_items;
mod invalid_lines;
mod listen;
pub mod log;
mod past;
mod paths;
pub mod peer;
pub mod plain;
pub mod plans;
mod ports;
mod presence;
mod pressure;
mod prober;
pub mod program;
mod race;
mod reading;
pub mod registration;
mod relay;
mod repeat;
pub mod reporting;
pub mod request;
mod retries;
mod returns;
mod runner_stream;
mod runners;
mod signals;
pub mod start;
pub mod state;
pub mod stream;
pub mod supervise;
mod suspect_store;
mod suspects;
mod suspension;
pub mod sync;
pub mod telemetry;
mod throttle;
pub mod trace;
mod tries;
pub mod tunnel;
mod unread;
