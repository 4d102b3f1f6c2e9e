//! The parts of a prompt, as the caller names them.
//!
//! Requests share parts, such as the instructions of an application or the document that they are about.
//! The last part of each prompt is the request's own, or that of its session.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The maximum length of a part's name, in bytes.
const MAX_NAME_LEN: usize = 64;

/// The maximum number of parts of one prompt that are kept, the first ones. A caller may name any number.
pub const MAX_PARTS: usize = 32;

/// The name of a part, in hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(Box<str>);

/// The error for a text that names no part.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("a part has a name of 1 to {MAX_NAME_LEN} hexadecimal digits")]
pub struct PartError;

impl Part {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Part {
    type Err = PartError;

    fn from_str(text: &str) -> Result<Part, PartError> {
        let is_name = (1..=MAX_NAME_LEN).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit());
        if is_name { Ok(Part(text.to_ascii_lowercase().into())) } else { Err(PartError) }
    }
}

/// Parses `NAME:TOKENS,NAME:TOKENS,...` and returns the parts that other requests may share: all but the last
/// one, each once. Invalid names are left out, because the runner has to judge the prompt anyway.
pub fn parse_shared_parts(text: &str) -> Vec<Part> {
    let Some((shared, _)) = text.rsplit_once(',') else { return Vec::new() };
    let mut parts: Vec<Part> = Vec::new();
    for item in shared.split(',') {
        let name = item.split_once(':').map_or(item, |(name, _)| name).trim();
        if let Ok(part) = name.parse()
            && !parts.contains(&part)
        {
            parts.push(part);
            if parts.len() == MAX_PARTS {
                break;
            }
        }
    }
    parts
}
