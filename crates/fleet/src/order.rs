//! What a runner is told.

use cottoncrank::{Millis, id};

use crate::runner::Epoch;

/// An order that was not answered is given again after this long. Runners
/// answer within milliseconds; an answer that is lost never comes.
pub const REPEAT_INTERVAL: Millis = Millis(1500);

/// An order that was answered, but shows no effect, is given again after this
/// long: well beyond the way from the runner over the store to here.
pub const REPEAT_ACKNOWLEDGED_INTERVAL: Millis = Millis(5000);

/// What a runner is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Become a member of a group.
    Join(id::Group, Epoch, id::Model, Vec<id::Runner>),
    /// The head takes requests.
    Open(id::Group, Epoch),
    /// The head takes no more and finishes what it has.
    Close(id::Group, Epoch),
    /// Leave a group at once.
    Leave(id::Group, Epoch),
    /// Load a model onto the host beside everything else.
    Stage(id::Model),
}

impl Order {
    /// The forming of a group that the order is about, if it is about one.
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
