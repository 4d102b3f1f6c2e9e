//! Fingerprints, which identify equal requests, and equal parts of prompts, at whichever node they arrive.

use std::fmt::{self, Write};
use std::str::FromStr;

use bytes::Bytes;
use cottoncrank::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prompt::Part;

/// The length of a fingerprint in bytes. Finding another request with a given fingerprint takes some
/// 2^128 tries.
const LENGTH: usize = 16;

/// How the fingerprints of prompt parts begin, and those of requests do not.
const PART_TAG: [u8; 4] = [0xff; 4];

/// The fingerprint of a request: equal if caller, method, path and body are equal.
///
/// The hash is collision resistant, because otherwise a caller could choose a body that gets another
/// caller's request rejected.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; LENGTH]);

/// The error for a text that is not a fingerprint.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{0}` is not a fingerprint of {digits} hexadecimal digits", digits = 2 * LENGTH)]
pub struct FingerprintError(String);

/// The parts of a request that identify it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The account of the caller, if callers need one.
    pub account: Option<&'a id::Account>,
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(request: &Request) -> Fingerprint {
        Fingerprint::of_segments(request, &[])
    }

    /// Returns the fingerprint of a request whose body goes on with `rest`.
    pub fn of_segments(request: &Request, rest: &[Bytes]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        let account = request.account.map_or("", id::Account::as_str);
        let more = rest.iter().map(Bytes::len).sum::<usize>();
        let parts = [account.as_bytes(), request.method.as_bytes(), request.path.as_bytes(), request.body];
        for (part, more) in parts.into_iter().zip([0, 0, 0, more]) {
            // Lengths separate the parts, so that no part can pass for the end of another.
            hasher.update(&((part.len() + more) as u64).to_le_bytes());
            hasher.update(part);
        }
        for segment in rest {
            hasher.update(segment);
        }
        let mut bytes = [0; LENGTH];
        hasher.finalize_xof().fill(&mut bytes);
        if bytes.starts_with(&PART_TAG) {
            bytes[0] = 0;
        }
        Fingerprint(bytes)
    }

    /// Returns the fingerprint of a part of the prompts for a service, whoever sends it.
    pub fn of_part(service: &id::Service, part: &Part) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(service.as_str().len() as u64).to_le_bytes());
        hasher.update(service.as_str().as_bytes());
        hasher.update(part.as_str().as_bytes());
        let mut bytes = [0; LENGTH];
        hasher.finalize_xof().fill(&mut bytes);
        bytes[..PART_TAG.len()].copy_from_slice(&PART_TAG);
        Fingerprint(bytes)
    }

    /// Whether this is the fingerprint of a part of prompts.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_TAG)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Fingerprint(")?;
        fmt::Display::fmt(self, f)?;
        f.write_char(')')
    }
}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Fingerprint, FingerprintError> {
        let invalid = || FingerprintError(text.to_owned());
        if text.len() != 2 * LENGTH || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; LENGTH];
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Fingerprint(bytes))
    }
}
