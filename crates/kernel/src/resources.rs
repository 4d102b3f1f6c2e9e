//! What callers may fill of a process: one account of its memory and its descriptors.
//!
//! Each connection and all that is held for it are charged here, at every port. Nobody is refused while there is
//! room. Where there is none, somebody has to go, and never one whose request has arrived whole:
//!
//! - A caller that has sent little takes from whoever has sent the most, and before all others from those that
//!   rest, so a few bytes are always served.
//! - A caller with a large body competes with the others that have one. One that has sent nothing for a while
//!   goes first. If none has, the newest goes, so that those who are almost through are not thrown out by
//!   those who come after them.
//! - A new connection takes the place of the one that has done nothing for the longest time. If all are being
//!   served, the oldest that has had an answer closes behind its next one.
//! - Answers wait for room. A caller that takes nothing of its own goes for those that wait.

use rustix::process::{Resource, getrlimit};
use thiserror::Error;

use crate::Millis;
use crate::size::Size;

mod table;

pub use table::Table;

/// What an open connection takes: its task, its first buffers, its socket.
pub const CONNECTION: Size = Size::kilobytes(24);

/// What a request takes beside its body until it is answered: its head, its tasks, its connection to a runner
/// and a small answer.
pub const REQUEST: Size = Size::kilobytes(64);

/// A body of more than this is large.
pub const SMALL_BODY: Size = Size::kilobytes(64);

/// The most that a connection of another box, the balancer or metrics has read and not yet handed over.
pub const READ_BUFFER: Size = Size::kilobytes(64);

/// What the first read buffer of a connection holds, which [`CONNECTION`] contains.
const FIRST_BUFFER: Size = Size::kilobytes(8);

/// A caller with a large body that has sent nothing for this long is stalled.
const STALL_TIME: Millis = Millis(1000);

/// The descriptors that a process keeps for files and the like.
const OWN_DESCRIPTORS: usize = 200;

/// The most descriptors that are divided.
const MAX_DESCRIPTORS: usize = 1 << 20;

/// The fewest connections that a port has.
const MIN_CONNECTIONS: usize = 4;

/// Where a connection arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Port {
    /// The port for callers.
    Callers,
    /// The port for other boxes.
    Peers,
    /// The port of the balancer.
    Readiness,
    /// The port for metrics.
    Metrics,
}

impl Port {
    /// All ports.
    pub const ALL: [Port; 4] = [Port::Callers, Port::Peers, Port::Readiness, Port::Metrics];

    /// Returns the name as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Port::Callers => "callers",
            Port::Peers => "peers",
            Port::Readiness => "readiness",
            Port::Metrics => "metrics",
        }
    }
}

/// What a process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its memory.
    pub memory: Size,
    /// Its descriptors for sockets.
    pub sockets: usize,
}

impl Machine {
    /// Returns what this process has, with so much memory: the descriptors that its system gives it, without those
    /// that it needs itself.
    pub fn of_process(memory: Size) -> Machine {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX).min(MAX_DESCRIPTORS);
        Machine { memory, sockets: descriptors.saturating_sub(OWN_DESCRIPTORS) }
    }

    /// Returns what there is of this in this process, whose system may give it fewer descriptors.
    pub fn within_process(self) -> Machine {
        Machine { sockets: self.sockets.min(Machine::of_process(self.memory).sockets), ..self }
    }
}

/// What callers may fill of it.
///
/// A half of the memory is the process's own, with what its allocator and the buffers of the kernel take. An
/// eighth is for answers, a quarter for large bodies, and an eighth at least is left to all else.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The memory of connections, requests and their bodies.
    pub memory: Size,
    /// As much of it as large bodies may take together.
    pub large_bodies: Size,
    /// The memory of answers that have not been sent.
    pub answers: Size,
    /// The connections to runners for requests, and those carried for other boxes.
    pub outbound: usize,
    sockets: usize,
}

impl Limits {
    /// Divides what a process has.
    pub fn of(machine: &Machine) -> Limits {
        Limits {
            memory: machine.memory.part(3, 8),
            large_bodies: machine.memory.part(1, 4),
            answers: machine.memory.part(1, 8),
            outbound: (5 * machine.sockets / 16).max(MIN_CONNECTIONS),
            sockets: machine.sockets,
        }
    }

    /// Returns the most connections that a port has open.
    pub fn connections(&self, port: Port) -> usize {
        let share = match port {
            Port::Callers => self.sockets / 4,
            Port::Peers => 5 * self.sockets / 16,
            Port::Readiness | Port::Metrics => self.sockets / 32,
        };
        share.max(MIN_CONNECTIONS)
    }
}

/// There is no room, and nobody that has to go in place of the one who asks.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no room for it at present")]
pub struct Short;

/// Distinguishes the connections of a process. Later ones have larger numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

/// What is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A part of a body.
    Body,
    /// Room for an answer that is being read.
    Answer,
    /// An answer, or a part of it, that its caller may take.
    Offered,
    /// Anything else.
    Overhead,
}

/// What a connection has to go for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Shortage {
    /// Its place, once its present request is answered: it has had an answer, and others have had no turn.
    Turns,
    /// The memory that it holds. Its caller may still be told.
    Memory,
    /// Its descriptor, at once.
    Descriptors,
    /// The memory of an answer that its caller does not take, at once.
    Answers,
}

/// A connection that has to go.
pub type Eviction = (Id, Shortage);
