//! What another writer puts into the store.

use std::io;
use std::net::TcpListener;

use clap::ValueEnum;
use cottoncrank_platform_standin::store::Store;
use serde_json::Value;

/// Entries of another writer in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Foreign {
    /// None.
    None,
    /// Names as any other beside runners, as many as the others have.
    Plain,
    /// Names that cannot stand in a query as they are beside runners; a page ends on the first one.
    Runners,
    /// The same under each prefix that is read.
    Everywhere,
    /// Values that nobody can use beside runners, under names as any other.
    Values,
    /// The same, and names that cannot stand in a query as they are.
    Record,
    /// An entry as good as that of a plain runner, at an address where nothing answers.
    Silent,
}

/// The names that cannot stand in a query as they are.
const STRANGE: [&str; 5] = ["a00%#", "a01%#", "a02&b=", "a03+", "a04é"];

/// What begins the names before them. They follow the first one where it is cut off at `#`.
const FILLER: &str = "a00%!";

/// Names as any other, and what begins those before them.
const PLAIN: [&str; 5] = ["a00", "a01", "a02", "a03", "a04"];
const PLAIN_FILLER: &str = "a-";

/// A runner whose entry is copied.
const COPIED: &str = "p-0";

/// The prefixes that are read.
const PREFIXES: [&str; 3] = ["op/", "servers/", "cottoncrank/"];
const RUNNERS: &str = PREFIXES[1];

/// The items of a page of a list.
const PAGE: usize = 500;

/// A value that is no entry.
const NO_ENTRY: &[u8] = b"[1]";

/// The sizes of two values that are too large.
const SIZES: [(&str, usize); 2] = [("h2-e644de", 200_269), ("h3-d00cd2", 262_000)];

/// Writes these entries. Returns the sockets at their addresses.
pub(super) fn write(store: &Store, foreign: Foreign) -> io::Result<Option<TcpListener>> {
    match foreign {
        Foreign::None => {}
        Foreign::Plain => write_names(store, RUNNERS, &PLAIN, PLAIN_FILLER),
        Foreign::Runners => write_names(store, RUNNERS, &STRANGE, FILLER),
        Foreign::Everywhere => {
            PREFIXES.iter().for_each(|prefix| write_names(store, prefix, &STRANGE, FILLER))
        }
        Foreign::Values => write_values(store),
        Foreign::Record => {
            write_values(store);
            write_names(store, RUNNERS, &STRANGE, FILLER);
        }
        Foreign::Silent => return write_silent(store).map(Some),
    }
    Ok(None)
}

/// Writes these names, and as many before them that a page of the list ends on the first one.
fn write_names(store: &Store, prefix: &str, names: &[&str], filler: &str) {
    names.iter().for_each(|name| store.put_bytes(&format!("{prefix}{name}"), NO_ENTRY));
    let first = format!("{prefix}{}", names[0]);
    let rank = store.list(prefix).iter().filter(|key| **key <= first).count();
    for number in 0..(PAGE - rank % PAGE) % PAGE {
        store.put_bytes(&format!("{prefix}{filler}{number:03}"), NO_ENTRY);
    }
}

fn write_values(store: &Store) {
    store.put_entry("h4-4fb4fc", br#"{"service":["engines"]}"#);
    store.put_entry("h5-2d3a29", br#"{"service":"engines","address":{"ip":"10.1.0.1"}}"#);
    for (name, size) in SIZES {
        store.put_entry(name, &vec![b'x'; size]);
    }
}

fn write_silent(store: &Store) -> io::Result<TcpListener> {
    let socket = TcpListener::bind("127.0.0.1:0")?;
    let copied = store.text(&format!("{RUNNERS}{COPIED}")).unwrap_or_default();
    let mut entry: Value = serde_json::from_str(&copied)?;
    entry["address"] = socket.local_addr()?.to_string().into();
    store.put(&format!("{RUNNERS}h0-silent"), &entry);
    Ok(socket)
}
