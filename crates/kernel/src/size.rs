//! Amounts of memory.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::Deserialize;
use thiserror::Error;

/// An amount of memory, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(try_from = "String")]
pub struct Size(pub usize);

/// An error in parsing an amount of memory.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not an amount of memory such as `65536` or `64KB` or `260MB`")]
pub struct SizeError(String);

/// The units of an amount, the largest first, with their bytes.
const UNITS: [(&str, usize); 2] = [("MB", 1 << 20), ("KB", 1 << 10)];

impl Size {
    /// Returns this many units of 1,024 bytes.
    pub const fn kilobytes(count: usize) -> Size {
        Size(count << 10)
    }

    /// Returns this many units of 1,048,576 bytes.
    pub const fn megabytes(count: usize) -> Size {
        Size(count << 20)
    }

    /// Returns a part of this amount, rounded down.
    pub const fn part(self, parts: usize, of: usize) -> Size {
        Size(self.0 / of * parts)
    }
}

impl Add for Size {
    type Output = Size;
    fn add(self, other: Size) -> Size {
        Size(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Size) {
        *self = *self + other;
    }
}

impl Sub for Size {
    type Output = Size;
    /// The difference, or nothing if `other` is larger.
    fn sub(self, other: Size) -> Size {
        Size(self.0.saturating_sub(other.0))
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Size) {
        *self = *self - other;
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match UNITS.iter().find(|(_, bytes)| self.0 >= *bytes && self.0.is_multiple_of(*bytes)) {
            Some((unit, bytes)) => write!(f, "{}{unit}", self.0 / bytes),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for Size {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Size, SizeError> {
        let unit = UNITS.iter().find_map(|(unit, bytes)| Some((text.strip_suffix(unit)?, *bytes)));
        let (digits, bytes) = unit.unwrap_or((text, 1));
        let count: usize = digits.parse().map_err(|_| SizeError(text.to_owned()))?;
        count.checked_mul(bytes).map(Size).ok_or_else(|| SizeError(text.to_owned()))
    }
}

impl TryFrom<String> for Size {
    type Error = SizeError;

    fn try_from(text: String) -> Result<Size, SizeError> {
        text.parse()
    }
}
