//! The return of a fleet that lost all its nodes at once.
//!
//! Nodes are processes, runners take as long to load models as real ones, and the nodes can be given a part
//! of a processor. What callers are served is counted from the last start of a node.

mod asker;
mod course;
mod foreign;
mod report;

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ValueEnum;
use cottoncrank_platform_standin::store::Broken;

use self::course::Course;
pub use self::foreign::Foreign;
pub use self::report::Report;
use crate::fleet::{APPLY_MS, Layout};
use crate::sheet;

/// Requests that each node gets in a second.
pub const RATE: u64 = 15;

/// Callers come for this long before the outage, unless said.
pub const CALM: Duration = Duration::from_secs(6);

/// How runners that are lost at the moment of the outage are replaced by empty ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Replacement {
    /// At the same address.
    Same,
    /// At another address, and the former one refuses connections.
    Other,
    /// At another address, and nothing answers at the former one.
    Dark,
}

/// What becomes of plain runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Plain {
    /// They serve.
    Serve,
    /// They answer nothing.
    Silent,
    /// They end, and their entries go.
    Gone,
}

/// What happens to a fleet.
#[derive(Clone, Debug)]
pub struct Outage {
    /// What is drawn at random follows from this.
    pub seed: u64,
    /// How long all nodes are down.
    pub down: Duration,
    /// The part of a processor that each node has, in percent.
    pub processor: u32,
    /// A node that gets a part of a processor runs for that part of each such turn.
    pub turn: Duration,
    /// Whether the settings of the nodes tell what their boxes give them.
    pub limits: bool,
    /// The requests in a second of each hall, shared by its nodes; [`RATE`] to each node if there are none.
    pub hall_rate: u64,
    /// The part of the members of each group that are lost with the nodes and come back empty, in percent.
    pub empty: u32,
    /// Whether the heads of the groups are among them.
    pub heads: bool,
    /// How they come back.
    pub replacement: Replacement,
    /// How long callers come before it, if no members are lost one after the other.
    pub calm: Duration,
    /// Whether members of groups are lost one after the other before.
    pub losses: bool,
    /// How long the store refuses all calls, from the last start of a node on.
    pub store_away: Duration,
    /// Whether it does not answer them at all meanwhile.
    pub silent: bool,
    /// Whether the store comes back from an older copy.
    pub older: bool,
    /// How long after their start all nodes are lost once more, if they are.
    pub again: Option<Duration>,
    /// The hall that was cut off until shortly before, if one was, and for how long.
    pub cut: Option<(String, Duration)>,
    /// Whether callers send a request that was not served again, as long as they wait for an answer.
    pub repeat: bool,
    /// Requests that come in the moment of the return, in addition.
    pub burst: usize,
    /// How long after the return runners take no connection, as they count those of before.
    pub full: Duration,
    /// Whether the account gets new keys, and loses all former ones, right before.
    pub rekey: bool,
    /// How long after each other the nodes start.
    pub apart: Duration,
    /// What another writer puts into the store before.
    pub foreign: Foreign,
    /// What the store does with queries that cannot be decoded.
    pub broken: Broken,
    /// Whether the nodes live, and the store forgets its history in place of the loss.
    pub live: bool,
    /// Whether each node also gets requests for a route that never existed.
    pub probe: bool,
    /// What becomes of plain runners with it.
    pub plain: Plain,
    /// How long callers wait for an answer.
    pub wait: Duration,
    /// How long after its acceptance a configuration must be in force.
    pub apply: Duration,
}

impl Default for Outage {
    fn default() -> Outage {
        Outage {
            seed: 1,
            down: Duration::from_millis(1000),
            processor: 100,
            turn: Duration::from_millis(100),
            limits: false,
            hall_rate: 0,
            empty: 0,
            heads: false,
            replacement: Replacement::Same,
            calm: CALM,
            losses: false,
            store_away: Duration::ZERO,
            silent: false,
            older: false,
            again: None,
            cut: None,
            repeat: false,
            burst: 0,
            full: Duration::ZERO,
            rekey: false,
            apart: Duration::ZERO,
            foreign: Foreign::None,
            broken: Broken::Refused,
            live: false,
            probe: false,
            plain: Plain::Serve,
            wait: Duration::from_secs(6),
            apply: Duration::from_millis(APPLY_MS),
        }
    }
}

impl Outage {
    /// Returns what stands where in the fleet.
    fn lay_out(&self) -> Layout {
        Layout { apply_ms: self.apply.as_millis() as u64, ..sheet::lay_out(self.limits) }
    }
}

/// Plays an outage of a fleet whose nodes run `program`. Settings and logs of the nodes go into `folder`.
pub async fn play(outage: &Outage, program: PathBuf, folder: &Path) -> io::Result<Report> {
    Course::start(outage, program, folder).await?.run().await
}
