//! Fenced commands to runners.

use cottoncrank::{Millis, id};

use crate::runner::Epoch;

/// An order without an answer is repeated after this long. Runners answer within milliseconds; a
/// lost answer never arrives.
pub const REPEAT_INTERVAL: Millis = Millis(1500);

/// An order that was acknowledged but shows no effect is repeated after this long, well above the
/// latency of the runner's change through the store to here.
pub const REPEAT_ACKNOWLEDGED_INTERVAL: Millis = Millis(5000);

/// A command to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Become a member of a group.
    Join(id::Group, Epoch, id::Model, Vec<id::Runner>),
    /// The head starts to take requests.
    Open(id::Group, Epoch),
    /// The head takes no more requests and finishes those that it has.
    Close(id::Group, Epoch),
    /// Leave a group at once.
    Leave(id::Group, Epoch),
    /// Load a model onto the host, beside everything else.
    Stage(id::Model),
}

impl Order {
    /// Returns the name and epoch of the group that the order concerns, if there is one.
    pub fn group(&self) -> Option<(&id::Group, Epoch)> {
        match self {
            Order::Join(group, epoch, ..)
            | Order::Open(group, epoch)
            | Order::Close(group, epoch)
            | Order::Leave(group, epoch) => Some((group, *epoch)),
            Order::Stage(_) => None,
        }
    }
}
