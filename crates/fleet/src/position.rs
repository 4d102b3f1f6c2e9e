//! Positions in the history of the platform's store.
//!
//! The store may be restored from a copy some seconds old. Writes since that copy are lost and their
//! revisions are used again, so a revision is meaningful only within its store era.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How often the store has been restored from an older copy. It only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Era, ParseIntError> {
        text.parse().map(Era)
    }
}

/// A revision of the store in its era. Any position of a later era is later, whatever its revision;
/// revisions can't be compared without their eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    era: Era,
    revision: u64,
}

impl Position {
    /// Returns the position of a revision.
    pub fn new(era: Era, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns its store era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the revision if it is of this era.
    pub fn revision_in(self, era: Era) -> Option<u64> {
        (self.era == era).then_some(self.revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// The error for a text that is not a position.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a store position such as `2:500`")]
pub struct PositionError(String);

impl FromStr for Position {
    type Err = PositionError;
    fn from_str(text: &str) -> Result<Position, PositionError> {
        let read = || {
            let (era, revision) = text.split_once(':')?;
            Some(Position { era: era.parse().ok()?, revision: revision.parse().ok()? })
        };
        read().ok_or_else(|| PositionError(text.to_owned()))
    }
}
