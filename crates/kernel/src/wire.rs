//! Messages between nodes, and between the system and the platform's store.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::config;
use crate::id;
use crate::row::Row;

/// One half of an exchange between two controllers; request and answer alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: id::Node,
    /// The sender's hall; facts of one hall only are told inside it.
    pub hall: id::Hall,
    /// The configuration the sender has in force.
    pub revision: id::Revision,
    /// What the receiver lacks of the configuration, as far as the sender knows.
    pub delta: Option<config::Delta>,
    /// Facts, most urgent first.
    pub rows: Vec<Row>,
    /// One checksum over all the sender's rows in scope, to compare.
    pub total: Option<u64>,
    /// The checksums of the sender's table, when the totals differ.
    pub sums: Option<Vec<u64>>,
    /// The marks of the sender's rows wherever the checksums differ, so that only
    /// rows that the sender lacks are sent to it.
    pub marks: Option<Vec<u32>>,
}

/// An exchange as it goes over the wire: encoded, and compressed, for names
/// come again and again in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedExchange(#[serde(with = "serde_bytes")] Vec<u8>);

/// A packed message that cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PackError {
    /// It is not compressed as it should be.
    #[error("not compressed as it should be: {0}")]
    Compression(String),
    /// It says that it is larger than any message.
    #[error("{0} bytes are more than any message has")]
    TooLarge(usize),
    /// It is no exchange.
    #[error("no exchange: {0}")]
    Encoding(String),
}

/// The largest exchange, unpacked, in bytes.
pub const MAX_EXCHANGE_BYTES: usize = 4 << 20;

impl PackedExchange {
    /// Packs an exchange.
    pub fn pack(exchange: &Exchange) -> PackedExchange {
        // Encoding plain data into memory has no way to fail.
        PackedExchange(lz4_flex::compress_prepend_size(&rmp_serde::to_vec(exchange).unwrap_or_default()))
    }

    /// Unpacks it.
    pub fn unpack(&self) -> Result<Exchange, PackError> {
        let (size, rest) = lz4_flex::block::uncompressed_size(&self.0)
            .map_err(|error| PackError::Compression(error.to_string()))?;
        if size > MAX_EXCHANGE_BYTES {
            return Err(PackError::TooLarge(size));
        }
        let bytes = lz4_flex::decompress(rest, size).map_err(|e| PackError::Compression(e.to_string()))?;
        rmp_serde::from_slice(&bytes).map_err(|error| PackError::Encoding(error.to_string()))
    }

    /// Its size, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it is empty, which no packed exchange is.
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
    /// Write a key if it still is at a revision; zero if it must not exist.
    Swap {
        /// The key.
        key: String,
        /// The revision it has to be at.
        expect: u64,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        /// A lease that takes the key with it when it ends.
        lease: Option<u64>,
    },
    /// Wait until a key is at a revision above `above`.
    Watch {
        /// The key.
        key: String,
        /// Answer once the key is above this revision.
        above: u64,
        /// Answer with nothing after this long.
        wait: Millis,
    },
    /// Open a lease, or keep one alive.
    Lease {
        /// The lease to keep; none to open one.
        lease: Option<u64>,
        /// How long it lasts without being kept.
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
    /// There is no such lease, or no longer.
    NoLease,
    /// The value is larger than the store takes.
    TooLarge,
    /// The store's rate is spent.
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

/// The largest value the store takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A line of the platform's list.
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

/// An entry asks an owner of a request key whether the request may run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Claim {
    /// May the request with this key run?
    Open {
        /// The account.
        account: id::Account,
        /// The caller's key.
        key: String,
        /// The request that wants to run.
        request: id::Request,
    },
    /// The request with this key has ended.
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

/// The outcome of a keyed request as its owners keep it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyedOutcome {
    /// It was not run; the key is free again.
    NotRun,
    /// It ran and was answered like this.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type.
        kind: String,
        /// The body; none when it was too large to keep.
        body: Option<Vec<u8>>,
    },
    /// It may have run; nobody knows.
    MayHaveRun,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The key was free and is now this request's.
    First,
    /// Another request with this key is in flight.
    Running,
    /// Another request with this key has ended.
    Done(KeyedOutcome),
    /// Taken note of.
    Noted,
}

/// An operator's command, sent to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The line as typed.
    pub line: String,
}

/// What an operator's command gave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether it was carried out.
    pub ok: bool,
    /// The answer as lines of text or a table.
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
    /// An empty table with these columns.
    pub fn new(columns: &[&str]) -> Table {
        Table { columns: columns.iter().map(|c| (*c).to_owned()).collect(), rows: Vec::new() }
    }

    /// A table with one column and one cell.
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
    fn what_was_packed_is_unpacked_and_nothing_else() {
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
