//! What a node believes of the fleet that a platform's store describes, and
//! what it decides from that, as pure code: time and randomness are arguments.
//!
//! No file needs one that needs it in turn. From the bottom:
//!
//! - What is known: [`position`] (where in the store's history), [`catalog`] (what operators want), [`runner`] and [`roster`] (the
//!   runners and their lives), [`plan`] (which runner is meant for which group),
//!   [`probe`], [`stall`], [`directory`], [`presence`] (which nodes are gone), [`occupancy`] (what all nodes have in flight),
//!   [`freshness`] (how long a node may rely on what it knows).
//! - Decisions for groups: [`snapshot`] is what the deciding node looks at, [`memory`] what it
//!   remembers, [`order`] what a runner is told; [`loss`], [`form`], [`preempt`], [`staging`],
//!   [`orders`] and, for how many of each, [`demand`], [`reserve`], [`loads`] answer one
//!   question each, and [`decide`] calls them; [`adopt`] finds groups whose plan was lost. [`census`] is what the log says of it.
//! - Choices for requests: [`dispatch`] and [`balance`] pick the runner, [`limit`] admits,
//!   [`retries`] shares how many requests are sent again, [`event`] splits a stream into the events that can be resumed after.
//! - What runners say of themselves in answers ([`feedback`]): for how long they want nothing from a node
//!   ([`backoff`]), and how many requests a second ([`rate`]) they take from all nodes together
//!   ([`throttle`]), which [`allocation`] shares among the halls. [`rejections`] keeps which turn
//!   requests away without a word.
//! - Requests that end runners: [`fingerprint`] and [`evidence`] of one, [`interruptions`] that are undecided,
//!   [`suspects`] (what all nodes know), [`gossip`] (how they tell it), [`trials`] (what is run).
//! - [`source`] says whom a node asks for what the store holds.

pub mod adopt;
pub mod allocation;
pub mod backoff;
pub mod balance;
pub mod catalog;
pub mod census;
pub mod decide;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod event;
pub mod evidence;
pub mod feedback;
pub mod fingerprint;
pub mod form;
pub mod freshness;
pub mod gossip;
pub mod interruptions;
mod issuer;
pub mod limit;
pub mod loads;
pub mod loss;
pub mod memory;
pub mod occupancy;
pub mod order;
pub mod orders;
pub mod plan;
pub mod position;
pub mod preempt;
mod preload;
pub mod presence;
pub mod probe;
pub mod rate;
pub mod rejections;
pub mod reserve;
pub mod retries;
pub mod roster;
pub mod runner;
pub mod settings;
pub mod snapshot;
pub mod source;
pub mod staging;
pub mod stall;
pub mod suspects;
mod targets;
pub mod throttle;
pub mod trials;
