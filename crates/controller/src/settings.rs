//! Settings of a controller.

use std::net::SocketAddr;

use cottoncrank::settings::{Check, Problem};
use cottoncrank::{Size, id};
use serde::Deserialize;

/// How the configuration is distributed to the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Two nodes of each hall watch the store and gossip changes to the others.
    #[default]
    Gossip,
    /// Every node watches the store itself. Exists only as a baseline for comparison.
    Store,
}

/// Settings of one controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this node, unique in the fleet.
    pub node: id::Node,
    /// Its data hall.
    pub hall: id::Hall,
    /// Address for other controllers, the entry of this box and operators.
    pub listen: SocketAddr,
    /// Address on which the entry of this box listens for other entries.
    pub entry: SocketAddr,
    /// Address that serves `/livez`, `/readyz` and `/metrics`; not served if absent.
    pub public: Option<SocketAddr>,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the platform's list of boxes.
    pub list: SocketAddr,
    /// Controllers to contact at startup: a few of this hall and one of each other hall.
    pub seeds: Vec<SocketAddr>,
    /// How the configuration is distributed.
    #[serde(default)]
    pub spread: Spread,
    /// The memory of this process, of which three eighths may be filled by requests.
    #[serde(default = "default_memory")]
    pub memory: Size,
}

fn default_memory() -> Size {
    Size::megabytes(256)
}

impl Check for Settings {
    fn check(&self) -> Result<(), Problem> {
        if self.listen == self.entry {
            return Err(Problem::new("entry", "is the same address as `listen`"));
        }
        if self.seeds.iter().all(|seed| *seed == self.listen) && !self.seeds.is_empty() {
            return Err(Problem::new("seeds", "names only this controller"));
        }
        Ok(())
    }
}
