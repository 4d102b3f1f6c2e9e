//! Where something stands in the history of the platform's store.
//!
//! The store may come back from a copy some seconds old. What was written since is gone then,
//! and the revisions are given out once more: a revision says something within its era only.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How often the store has come back from an older copy. It only rises.
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

/// A revision of the store, in its era. Any position of a later era is later, whatever its
/// revision; there is no way to compare revisions without their eras.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    era: Era,
    revision: u64,
}

impl Position {
    /// The position of a revision.
    pub fn new(era: Era, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Its era.
    pub fn era(self) -> Era {
        self.era
    }

    /// The revision, as the store counts in this era. None if it is one of another era.
    pub fn revision_in(self, era: Era) -> Option<u64> {
        (self.era == era).then_some(self.revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// A position that cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is no position such as `2:500`")]
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
