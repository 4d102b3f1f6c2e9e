//! Requests a second.

use std::fmt;
use std::str::FromStr;

use cottoncrank::Millis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The highest rate that is told apart from none at all, in thousandths of a request a second.
const MAX_RATE: u64 = 1_000_000_000;

/// How many requests a second, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(pub u64);

/// A rate that cannot be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RateError {
    /// It is no decimal number.
    #[error("`{0}` is no number of requests a second")]
    Number(String),
    /// It is a number, but no runner takes that many.
    #[error("`{0}` requests a second cannot be kept: it is below 0 or not finite")]
    Range(String),
}

impl Rate {
    /// So many requests a second; those below 0 and beyond what is told apart are cut off.
    pub fn per_second(requests: f64) -> Rate {
        Rate((requests * 1000.0).round().clamp(0.0, MAX_RATE as f64) as u64)
    }

    /// The requests that it allows in a span.
    pub fn count(self, span: Millis) -> f64 {
        self.0 as f64 * span.0 as f64 / 1_000_000.0
    }

    /// How long it takes to allow so many requests; none if it never does.
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
