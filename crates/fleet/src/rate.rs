//! Rates in requests per second.

use std::fmt;
use std::str::FromStr;

use cottoncrank::Millis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The highest rate that is represented, in thousandths of a request per second. Higher ones are
/// clamped to it.
const MAX_RATE: u64 = 1_000_000_000;

/// A rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(pub u64);

/// Why a text is not a valid rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RateError {
    /// Not a decimal number.
    #[error("`{0}` is not a number of requests per second")]
    Number(String),
    /// A number that is negative or not finite.
    #[error("`{0}` requests per second is out of range: it is below 0 or not finite")]
    Range(String),
}

impl Rate {
    /// Returns a rate of this many requests per second, clamped to the valid range.
    pub fn per_second(requests: f64) -> Rate {
        Rate((requests * 1000.0).round().clamp(0.0, MAX_RATE as f64) as u64)
    }

    /// Returns the number of requests allowed in a span.
    pub fn count(self, span: Millis) -> f64 {
        self.0 as f64 * span.0 as f64 / 1_000_000.0
    }

    /// Returns the time that it takes to allow this many requests; `None` at a rate of 0.
    pub fn time_to_allow(self, requests: f64) -> Option<Millis> {
        (self.0 > 0).then(|| Millis((requests * 1_000_000.0 / self.0 as f64).ceil() as u64))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0 as f64 / 1000.0)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Rate, RateError> {
        let trimmed = text.trim();
        let number: f64 = trimmed
            .strip_suffix("/s")
            .unwrap_or(trimmed)
            .parse()
            .map_err(|_| RateError::Number(text.to_owned()))?;
        match number.is_finite() && number >= 0.0 {
            true => Ok(Rate::per_second(number)),
            false => Err(RateError::Range(text.to_owned())),
        }
    }
}
