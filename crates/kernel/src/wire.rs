//! Messages between nodes, and to and from the platform's store.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::config;
use crate::id;
use crate::row::Row;

/// One message of a gossip exchange between two controllers; used for both query and answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: id::Node,
    /// The sender's hall; rows of a single hall are sent only inside it.
    pub hall: id::Hall,
    /// The configuration the sender has in force.
    pub revision: id::Revision,
    /// The configuration changes that, as far as the sender knows, the receiver lacks.
    pub delta: Option<config::Delta>,
    /// Rows, most urgent first.
    pub rows: Vec<Row>,
    /// One checksum over all the sender's rows in scope, to compare.
    pub total: Option<u64>,
    /// The checksums of the sender's table, when the totals differ.
    pub sums: Option<Vec<u64>>,
    /// The short hashes of the sender's rows where the checksums differ, so that it is sent
    /// only rows that it lacks.
    pub marks: Option<Vec<u32>>,
}

/// An exchange as sent over the wire: encoded, and compressed because the same names
/// repeat in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedExchange(#[serde(with = "serde_bytes")] Vec<u8>);

/// An error in a packed exchange.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PackError {
    /// The compressed data is invalid.
    #[error("compressed data of the exchange is invalid: {0}")]
    Compression(String),
    /// The announced size exceeds [`MAX_EXCHANGE_BYTES`].
    #[error("exchange of {0} bytes is too large")]
    TooLarge(usize),
    /// The data does not decode to an exchange.
    #[error("exchange cannot be decoded: {0}")]
    Encoding(String),
}

/// The maximum size of an unpacked exchange, in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 4 << 20;

impl PackedExchange {
    /// Packs an exchange.
    pub fn pack(exchange: &Exchange) -> PackedExchange {
        // Encoding plain data into memory cannot fail.
        PackedExchange(lz4_flex::compress_prepend_size(&rmp_serde::to_vec(exchange).unwrap_or_default()))
    }

    /// Unpacks the exchange.
    pub fn unpack(&self) -> Result<Exchange, PackError> {
        let (size, rest) = lz4_flex::block::uncompressed_size(&self.0)
            .map_err(|error| PackError::Compression(error.to_string()))?;
        if size > MAX_EXCHANGE_BYTES {
            return Err(PackError::TooLarge(size));
        }
        let bytes = lz4_flex::decompress(rest, size).map_err(|e| PackError::Compression(e.to_string()))?;
        rmp_serde::from_slice(&bytes).map_err(|error| PackError::Encoding(error.to_string()))
    }

    /// Returns the packed size, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it has no bytes; no packed exchange is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Write a key if its revision is as expected (compare-and-swap).
    Swap {
        /// The key.
        key: String,
        /// The expected revision; zero if the key must not exist.
        expect: u64,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        /// The lease whose end deletes the key.
        lease: Option<u64>,
    },
    /// Wait until the revision of a key is higher than `above`.
    Watch {
        /// The key.
        key: String,
        /// The revision to exceed.
        above: u64,
        /// The time after which the answer is empty.
        wait: Millis,
    },
    /// Open a lease or renew one.
    Lease {
        /// The lease to renew; none to open one.
        lease: Option<u64>,
        /// How long it lasts without renewal.
        ttl: Millis,
    },
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The key's value; none if it does not exist or nothing came in time.
    Value(Option<Value>),
    /// The write took effect at this revision.
    Swapped(u64),
    /// The key is at another revision.
    Conflict(Option<Value>),
    /// The lease is alive.
    Leased(u64),
    /// The lease does not exist, or no longer.
    NoLease,
    /// The value is larger than the store accepts.
    TooLarge,
    /// The rate limit of the store is reached.
    Busy,
}

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// The store's revision of the key.
    pub revision: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The box.
    pub runner: id::Runner,
    /// Whether the list counts it as live.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's list of boxes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Rises with every change of the list.
    pub version: u64,
    /// The boxes.
    pub boxes: Vec<Listed>,
}

/// A query from an entry to an owner of a request key about whether the request may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Claim {
    /// Asks whether the request with this key may run.
    Open {
        /// The account.
        account: id::Account,
        /// The caller's key.
        key: String,
        /// The request to run.
        request: id::Request,
    },
    /// Reports that the request with this key has ended.
    Close {
        /// The account.
        account: id::Account,
        /// The caller's key.
        key: String,
        /// The request that ran.
        request: id::Request,
        /// Its outcome.
        outcome: KeyedOutcome,
    },
}

/// The outcome of a keyed request as its owners store it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyedOutcome {
    /// It was not run; the key is free again.
    NotRun,
    /// It ran and got this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        kind: String,
        /// The body; none when it was too large to keep.
        body: Option<Vec<u8>>,
    },
    /// It is unknown whether it ran.
    MayHaveRun,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key was free and now belongs to this request.
    First,
    /// Another request with this key is in flight.
    Running,
    /// Another request with this key has ended.
    Done(KeyedOutcome),
    /// The end of the request is recorded.
    Noted,
}

/// An operator's command, sent to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The line as typed.
    pub line: String,
}

/// The result of an operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether it was executed.
    pub ok: bool,
    /// The result as lines of text or a table.
    pub table: Table,
}

/// A table of text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with these columns.
    pub fn new(columns: &[&str]) -> Table {
        Table { columns: columns.iter().map(|c| (*c).to_owned()).collect(), rows: Vec::new() }
    }

    /// Creates a table with one column and one cell.
    pub fn line(text: impl ToString) -> Table {
        Table { columns: vec!["result".to_owned()], rows: vec![vec![text.to_string()]] }
    }

    /// Adds a row.
    pub fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cells = || std::iter::once(&self.columns).chain(&self.rows);
        let width =
            |at: usize| cells().filter_map(|row| row.get(at)).map(|c| c.chars().count()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        for row in cells() {
            let line: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use assert_matches::assert_matches;

    #[test]
    fn a_packed_exchange_is_unpacked_and_invalid_data_is_rejected() {
        let exchange = Exchange {
            from: "n1".parse().unwrap(),
            hall: "h1".parse().unwrap(),
            revision: id::Revision(7),
            delta: None,
            rows: Vec::new(),
            total: Some(3),
            sums: Some(vec![1; 32]),
            marks: None,
        };
        let packed = PackedExchange::pack(&exchange);
        assert_eq!(packed.unpack(), Ok(exchange));
        assert_matches!(PackedExchange(vec![1]).unpack(), Err(PackError::Compression(_)));
        assert_matches!(PackedExchange(vec![255, 255, 255, 255, 0]).unpack(), Err(PackError::TooLarge(_)));
        assert_matches!(
            PackedExchange(lz4_flex::compress_prepend_size(b"x")).unpack(),
            Err(PackError::Encoding(_))
        );
    }
}
