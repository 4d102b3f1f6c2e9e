//! What a node is told of itself and of its surroundings when it starts.

use std::net::SocketAddr;

use cottoncrank::{Millis, id};

use crate::directory::Millicores;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub node: id::Node,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it takes callers.
    pub ready: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// How much processor time the node may use.
    pub processor: Millicores,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The shortest lease the store gives.
    pub lease_min: Millis,
    /// The bounds it has to keep.
    pub bounds: Bounds,
}

/// What the operators hold a node to.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// A key that was taken away is honoured no longer than this, also by a node cut
    /// off from the store. None where such a node may go on with the keys it knows.
    pub revoke: Option<Millis>,
    /// A process that is told to stop is killed after this.
    pub grace: Millis,
    /// A group that lacks a member stands still for this long and is broken then.
    pub stall: Millis,
    /// A configuration that was accepted is in force everywhere within this.
    pub apply: Millis,
    /// How fast runners may load from the shared weight store.
    pub ceiling: Ceiling,
    /// How many requests may be sent again, as a ratio of all.
    pub retry_ratio: f64,
    /// How many more the whole fleet may send again in a window.
    pub retry_slack: f64,
    /// The length of the window.
    pub retry_window: Millis,
}

/// How many loads may begin in any window, against the rate of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// The length of the window.
    pub window: Millis,
    /// The factor on the rate.
    pub overshoot: f64,
}
