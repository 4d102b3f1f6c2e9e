//! Settings of an entry.

use std::net::SocketAddr;

use cottoncrank::settings::{Check, Problem};
use cottoncrank::{Millis, Size, id, registry};
use serde::Deserialize;

/// Settings of one entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this node, the same as its controller's.
    pub node: id::Node,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the other entries of the hall.
    pub peer: SocketAddr,
    /// Address that serves `/livez`, `/readyz` and `/metrics`; not served if absent.
    pub public: Option<SocketAddr>,
    /// Address of the controller of this box.
    pub controller: SocketAddr,
    /// Number of threads for callers' requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Name of the routing policy.
    #[serde(default = "default_route")]
    pub route: String,
    /// The largest request body, in bytes.
    #[serde(default = "default_body_max")]
    pub body_max: usize,
    /// The memory of this process, of which three eighths may be filled by requests.
    #[serde(default = "default_memory")]
    pub memory: Size,
    /// Largest and default deadline of a request, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline: Millis,
    /// Time until the load balancer notices that this entry is not ready, in milliseconds.
    #[serde(default = "default_balancer_lag")]
    pub balancer_lag: Millis,
    /// Longest time after that for requests in flight to finish, in milliseconds.
    #[serde(default = "default_drain_max")]
    pub drain_max: Millis,
}

fn default_threads() -> usize {
    2
}

fn default_route() -> String {
    "two-choices".to_owned()
}

fn default_body_max() -> usize {
    4 << 20
}

fn default_memory() -> Size {
    Size::megabytes(256)
}

fn default_deadline() -> Millis {
    Millis(120_000)
}

fn default_balancer_lag() -> Millis {
    Millis(2000)
}

fn default_drain_max() -> Millis {
    Millis(300_000)
}

impl Check for Settings {
    fn check(&self) -> Result<(), Problem> {
        if self.threads == 0 {
            return Err(Problem::new("threads", "has to be at least 1"));
        }
        if self.listen == self.peer {
            return Err(Problem::new("peer", "is the same address as `listen`"));
        }
        registry::find_route(&self.route).map(|_| ()).map_err(|error| Problem::new("route", error))
    }
}
