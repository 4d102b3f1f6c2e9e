//! Splits a stream of server-sent events into whole events with their ids.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// The largest event that is buffered, in bytes. It is far above what engines send and bounds
/// memory if a server never ends an event.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream cannot be forwarded any further.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// Events are missing before this one.
    #[error("event {found} follows event {last}")]
    Gap {
        /// The id of the last event that was forwarded.
        last: u64,
        /// The id of the event that followed.
        found: u64,
    },
}

/// Receives a stream in chunks and returns whole, new events.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Where the last line of `pending` begins. No event ends before it.
    line_start: usize,
    last_id: Option<u64>,
}

impl Splitter {
    /// Returns a splitter for a stream that is resumed after event `last`.
    pub fn resume_after(last: Option<u64>) -> Splitter {
        Splitter { last_id: last, ..Splitter::default() }
    }

    /// Returns the id of the last event returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes received so far end with a whole event.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Adds a chunk and returns the whole events in it, unchanged, without those that were returned
    /// before.
    pub fn push(&mut self, piece: &[u8]) -> Result<Bytes, EventError> {
        let mut searched = self.pending.len();
        self.pending.extend_from_slice(piece);
        let mut new_events = BytesMut::new();
        while let Some(end) = self.find_end(searched) {
            let event = self.pending.split_to(end);
            (self.line_start, searched) = (0, 0);
            if self.is_new(&event)? {
                new_events.extend_from_slice(&event);
            }
        }
        match self.pending.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(new_events.freeze()),
        }
    }

    /// Returns the end of the first event, including its blank line. The last line was searched for its end as
    /// far as `searched`.
    fn find_end(&mut self, searched: usize) -> Option<usize> {
        let rest = self.pending[searched..].iter().enumerate();
        for (offset, _) in rest.filter(|(_, byte)| **byte == b'\n') {
            let position = searched + offset;
            let line = &self.pending[self.line_start..position];
            if line.is_empty() || line == b"\r" {
                return Some(position + 1);
            }
            self.line_start = position + 1;
        }
        None
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

fn find_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
