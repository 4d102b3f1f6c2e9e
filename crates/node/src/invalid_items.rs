//! Limits the log lines about invalid items of the store.
//!
//! Another writer may leave any number of items and write them anew at any rate. In each minute each kind has a few
//! lines, one for each key, so that the items of one kind take no line from another; a summary tells what was left
//! out.

use std::collections::{BTreeMap, HashSet};
use std::fmt;

use cottoncrank::Millis;

/// The time for which lines are counted.
pub const WINDOW: Millis = Millis(60_000);

/// The keys of each kind that are logged in that time.
pub const KEYS_PER_KIND: usize = 10;

/// The kind of an item, by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemKind {
    /// A runner's entry.
    Runner,
    /// The operators' configuration.
    Catalog,
    /// A domain plan.
    Plan,
    /// A node's entry.
    Node,
    /// The record of a request that crashes runners.
    Suspect,
    /// A request to evacuate a hall.
    Evacuation,
    /// An item that this system does not know.
    Foreign,
    /// An item of an answer that has no key or revision.
    Unformed,
    /// An item whose value is not encoded as all are.
    Unencoded,
    /// An item whose value is larger than any that is used.
    Oversized,
    /// An item of this system that somebody else removed.
    Removed,
}

impl ItemKind {
    /// Returns the name used in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ItemKind::Runner => "runner",
            ItemKind::Catalog => "catalog",
            ItemKind::Plan => "plan",
            ItemKind::Node => "node",
            ItemKind::Suspect => "suspect",
            ItemKind::Evacuation => "evacuation",
            ItemKind::Foreign => "foreign",
            ItemKind::Unformed => "unformed",
            ItemKind::Unencoded => "unencoded",
            ItemKind::Oversized => "oversized",
            ItemKind::Removed => "removed",
        }
    }
}

/// The lines about invalid items in the current window.
#[derive(Debug, Default)]
pub struct InvalidItems {
    /// When the window began; `None` until an item is reported in it.
    begun: Option<Millis>,
    logged: BTreeMap<ItemKind, HashSet<String>>,
    left_out: BTreeMap<(ItemKind, &'static str), u64>,
}

impl InvalidItems {
    /// Whether an item may be logged at `now`. If so, its line is counted as written, else as left out.
    pub fn should_log(&mut self, key: &str, kind: ItemKind, reason: &'static str, now: Millis) -> bool {
        self.begun.get_or_insert(now);
        let logged = self.logged.entry(kind).or_default();
        if logged.len() < KEYS_PER_KIND && logged.insert(key.to_owned()) {
            return true;
        }
        *self.left_out.entry((kind, reason)).or_default() += 1;
        false
    }

    /// Ends the window if it is over at `now`, and returns what was left out in it, if anything was.
    pub fn end_window(&mut self, now: Millis) -> Option<Summary> {
        let begun = self.begun.filter(|begun| now >= *begun + WINDOW)?;
        let InvalidItems { left_out, .. } = std::mem::take(self);
        (!left_out.is_empty()).then(|| Summary { lasted: now.since(begun), left_out })
    }
}

/// The reports that made no line of their own.
#[derive(Debug)]
pub struct Summary {
    lasted: Millis,
    left_out: BTreeMap<(ItemKind, &'static str), u64>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count: u64 = self.left_out.values().sum();
        write!(f, "{count} more reports of invalid items were left out in {}", self.lasted)?;
        for (number, ((kind, reason), count)) in self.left_out.iter().enumerate() {
            let start = if number == 0 { ":" } else { "," };
            write!(f, "{start} {} {count} ({reason})", kind.name())?;
        }
        Ok(())
    }
}
