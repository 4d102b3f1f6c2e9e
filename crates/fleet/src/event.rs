//! Splitting a stream of server-sent events into whole events with their ids.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The largest event that is held until its end, in bytes. Far above what
/// engines send; it bounds memory against a server that never ends an event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot be passed on any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// Events are missing before this one.
    #[error("event {found} follows event {last}")]
    Gap {
        /// The id of the last event passed on.
        last: u64,
        /// The id found.
        found: u64,
    },
}

/// Takes pieces of a stream as they come and gives whole, new events back.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// A splitter for a stream that goes on after event `last`.
    pub fn resume_after(last: Option<u64>) -> Splitter {
        Splitter { pending: BytesMut::new(), last_id: last }
    }

    /// The id of the last event given back.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a piece. Returns the whole events in it that were not given back
    /// before, as they came.
    pub fn push(&mut self, piece: &[u8]) -> Result<Bytes, EventError> {
        self.pending.extend_from_slice(piece);
        let mut new_events = BytesMut::new();
        while let Some(end) = find_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.is_new(&event)? {
                new_events.extend_from_slice(&event);
            }
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(new_events.freeze()),
        }
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(found) = find_id(event) else { return Ok(true) };
        match self.last_id {
            Some(last) if found <= last => Ok(false),
            Some(last) if found > last + 1 => Err(EventError::Gap { last, found }),
            _ => {
                self.last_id = Some(found);
                Ok(true)
            }
        }
    }
}

/// Where the first event ends, its blank line included.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
