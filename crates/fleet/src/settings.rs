//! The settings of a node at its start.

use std::net::SocketAddr;

use cottoncrank::resources::Machine;
use cottoncrank::{Millis, id};

use crate::directory::Millicores;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the node.
    pub node: id::Node,
    /// The data hall of the node.
    pub hall: id::Hall,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address at which the balancer asks whether the node takes callers.
    pub ready: SocketAddr,
    /// The address for other nodes.
    pub peers: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The processor time that the node may use.
    pub processor: Millicores,
    /// What the process has of the box's memory and descriptors. Its change takes effect at the next start.
    pub machine: Machine,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The shortest lease that the store grants.
    pub lease_min: Millis,
    /// The bounds that the node must keep.
    pub bounds: Bounds,
}

/// The bounds that operators set for a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time after which a revoked key is no longer accepted, also by a node that is cut off
    /// from the store. None if such a node may continue with the keys that it knows.
    pub revoke: Option<Millis>,
    /// The time after which a process that was told to stop is killed.
    pub grace: Millis,
    /// The time after which a stalled group, which lacks a member, is broken.
    pub stall: Millis,
    /// The time within which an accepted configuration applies everywhere.
    pub apply: Millis,
    /// The time within which the request to evacuate a hall applies everywhere. None if the operators
    /// set none; it then applies at once.
    pub evacuate: Option<Millis>,
    /// The limit on the rate of loads from the shared weight store.
    pub ceiling: Ceiling,
    /// The retries allowed, as a ratio of all requests.
    pub retry_ratio: f64,
    /// The further retries that the whole fleet may make in a window.
    pub retry_slack: f64,
    /// The length of the window.
    pub retry_window: Millis,
}

/// How many loads may begin in any window, relative to the rate of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// The length of the window.
    pub window: Millis,
    /// The factor on the rate.
    pub overshoot: f64,
}
