//! What a node knows of a platform's fleet, and what it decides from that, as pure code: time and
//! randomness are arguments, and nothing here reads from or writes to the network.
//!
//! The modules do not depend on each other in cycles.
//!
//! # What is known
//!
//! - [`position`]: positions in the history of the store.
//! - [`settings`]: the settings of a node at its start.
//! - [`catalog`]: the configuration that operators publish.
//! - [`runner`] and [`roster`]: one runner as its entry describes it, and all known runners.
//! - [`plan`]: the placement of groups on the runners of a domain, and [`places`]: where members are reached.
//! - [`probe`]: the health of runners.
//! - [`path`]: the network paths to the runners of each hall.
//! - [`stall`]: since when retired groups are stalled.
//! - [`directory`]: the nodes and their roles.
//! - [`presence`]: the nodes that are gone for good.
//! - [`past`]: whether any node may hold what the store has lost.
//! - [`occupancy`]: the in-flight requests of all nodes.
//! - [`source`]: where a node learns of changes of the store, and how often it may call the store.
//! - [`first_copy`]: how a node that starts obtains a copy of the store.
//! - [`startup`]: how a step of a start that fails is repeated.
//! - [`freshness`]: how long a node may rely on the API keys that it knows.
//!
//! # Decisions about groups
//!
//! [`decide`] is the entry point. It calls the others, on the node that holds the decider lease.
//!
//! - [`snapshot`]: the planner's input, and [`memory`]: what the planner remembers besides it.
//! - [`callers`]: whether callers have sent requests to the fleet yet.
//! - [`demand`], [`loads`] and [`reserve`]: the share of the runners that each model needs, how many
//!   runners may load a model at once, and the value of spare runners.
//! - [`loss`]: retires groups that lost a member.
//! - [`form`] and [`preempt`]: form groups from free runners, or from the members of smaller groups.
//! - [`pressure`] and [`shift`]: what callers feel of a shortage, and the groups that models lend
//!   each other for it.
//! - [`adopt`]: finds groups whose plan was lost.
//! - [`staging`]: the models to hold on the hosts of runners.
//! - [`orders`] and [`order`]: the commands that bring runners to the planned state.
//! - [`census`] and [`waits`]: count groups and runners, and what retired groups wait for, for the log.
//!
//! # Decisions about requests
//!
//! - [`admission`]: admits requests of different priority, on the collector for all nodes of its hall:
//!   at once, after a short wait in the queue of their model, or not at all.
//! - [`dispatch`]: picks the group for a request, on the collector for all nodes of its hall.
//! - [`returns`]: when refused callers should return, and which of them do as told.
//! - [`balance`]: picks the runner for a request on a node by itself.
//! - [`evacuation`]: the halls that operators evacuate, whose runners are sent nothing more.
//! - [`activity`]: when a process ran, and how long ago what it hears of may have happened.
//! - [`overload`]: whether a node takes new connections while its processor is overloaded.
//! - [`limit`]: limits the requests that a node has in flight.
//! - [`retries`]: divides the fleet's retry budget among the nodes.
//! - [`runs`]: counts the runs of one request, so that no more begin than its route allows.
//! - [`event`]: splits a stream into the events after which it can be resumed.
//!
//! # Feedback of runners
//!
//! - [`feedback`]: what runners report about themselves in answers.
//! - [`backoff`]: the runners that asked this node to send no requests for a while.
//! - [`throttle`] and [`rate`]: the rate limits that runners announce for all nodes together.
//! - `cold`: the runners in a cold start, kept by the [`roster`].
//! - [`allocation`]: divides a rate limit among the halls.
//! - [`rejections`]: the runners that reject requests while they look healthy.
//!
//! # Requests that crash runners
//!
//! - [`fingerprint`]: identifies equal requests.
//! - [`prompt`]: the parts of a prompt, which other requests may share.
//! - [`evidence`]: the crashes known of a request, and how strongly it is suspected.
//! - [`interruptions`]: attempts that broke off before a crash of the runner was known.
//! - [`suspects`]: tells requests that crash their runners from those in flight by chance.
//! - [`gossip`]: exchanges suspected requests between nodes.
//! - [`trials`]: decides when a suspected request may run.

pub mod activity;
pub mod admission;
pub mod adopt;
pub mod allocation;
mod awaited;
pub mod backoff;
pub mod balance;
pub mod callers;
pub mod catalog;
pub mod catchup;
pub mod census;
mod cold;
pub mod decide;
mod decided;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod evacuation;
pub mod event;
pub mod evidence;
pub mod feedback;
pub mod fingerprint;
pub mod first_copy;
pub mod form;
pub mod freshness;
pub mod gossip;
pub mod holdback;
pub mod interruptions;
mod issuer;
pub mod limit;
pub mod loads;
pub mod loss;
pub mod memory;
pub mod occupancy;
pub mod order;
pub mod orders;
pub mod overload;
pub mod past;
pub mod path;
pub mod places;
pub mod plan;
pub mod position;
pub mod preempt;
mod preload;
pub mod presence;
pub mod pressure;
pub mod probe;
pub mod progress;
pub mod prompt;
pub mod rate;
pub mod rejections;
pub mod reserve;
pub mod retries;
pub mod returns;
pub mod roster;
pub mod runner;
pub mod runs;
pub mod settings;
pub mod shift;
pub mod snapshot;
pub mod source;
pub mod staging;
pub mod stall;
pub mod startup;
pub mod suspects;
mod targets;
pub mod throttle;
pub mod trials;
pub mod waits;
