//! Settings of the stand-ins' binaries, and waiting for their end.

use std::net::{SocketAddr, TcpListener};

use cottoncrank::Millis;
use cottoncrank::config::Fence;
use cottoncrank::program::StartError;
use cottoncrank::settings::{Check, Problem};
use serde::Deserialize;

use crate::engine::Speed;

/// Settings of a stand-in that only listens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Where it listens.
    pub listen: SocketAddr,
}

impl Check for Plain {
    fn check(&self) -> Result<(), Problem> {
        Ok(())
    }
}

/// Settings of the list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long changes take to show, in milliseconds.
    pub lag: Millis,
}

impl Check for List {
    fn check(&self) -> Result<(), Problem> {
        Ok(())
    }
}

/// Settings of the weights store.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long one load takes the store, in milliseconds.
    pub load: Millis,
}

impl Check for Weights {
    fn check(&self) -> Result<(), Problem> {
        Ok(())
    }
}

/// Settings of engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// Where each engine listens.
    pub listen: Vec<SocketAddr>,
    /// Whether they check fences.
    #[serde(default)]
    pub fence: Fence,
    /// Where the weights store listens.
    pub weights: Option<SocketAddr>,
    /// How fast they are.
    #[serde(default)]
    pub speed: Speed,
}

impl Check for Engines {
    fn check(&self) -> Result<(), Problem> {
        match self.listen.is_empty() {
            true => Err(Problem::new("listen", "names no address")),
            false => Ok(()),
        }
    }
}

/// A listener at a set address.
pub fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    Ok(TcpListener::bind(address)?)
}

/// Waits for Ctrl-C or SIGTERM.
pub fn wait_for_end() -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(cottoncrank_net::server::wait_for_stop())?;
    Ok(())
}
