//! Writes the log lines about invalid items of the store, within the limits of such lines.

use std::fmt::Display;

use cottoncrank::Clock;
use cottoncrank::clock::System;
use cottoncrank::line::Quoted;
use cottoncrank_platform::flaw::{Flaw, Reason};
use parking_lot::Mutex;

use crate::invalid_items::{InvalidItems, ItemKind};
use crate::telemetry;

/// The lines about invalid items.
pub struct InvalidLines {
    items: Mutex<InvalidItems>,
    clock: System,
}

impl InvalidLines {
    /// Creates the lines of a node.
    pub fn new(clock: System) -> InvalidLines {
        InvalidLines { items: Mutex::default(), clock }
    }

    /// Whether an item may have a line now. If so, it is counted as written, else as left out.
    pub fn should_log(&self, key: &str, kind: ItemKind, reason: &'static str) -> bool {
        self.log_left_out();
        self.items.lock().should_log(key, kind, reason, self.clock.now())
    }

    /// Logs an invalid item.
    pub fn log(&self, key: &str, kind: ItemKind, reason: &'static str, detail: impl Display) {
        if self.should_log(key, kind, reason) {
            log::error!("store: {} ({}) is not used: {detail}", Quoted(key), kind.name());
        }
    }

    /// Logs an item that the adapter could not read.
    pub fn log_flaw(&self, flaw: &Flaw) {
        let (kind, reason) = match flaw.reason {
            Reason::Encoding { .. } => (ItemKind::Unencoded, "encoding"),
            Reason::Size { .. } => (ItemKind::Oversized, "size"),
            Reason::Form { .. } => (ItemKind::Unformed, "form"),
            Reason::Kind(_) => (ItemKind::Foreign, "kind"),
        };
        telemetry::count_invalid_item(kind.name(), reason);
        self.log(&flaw.key, kind, reason, &flaw.reason);
    }

    /// Logs that an item of this system was removed by somebody else.
    pub fn log_removal(&self, key: &str) {
        if self.should_log(key, ItemKind::Removed, "removed") {
            log::warn!("store: {} was removed", Quoted(key));
        }
    }

    /// Logs how many invalid items had no line of their own, once the time for which these are counted is over.
    pub fn log_left_out(&self) {
        let summary = self.items.lock().end_window(self.clock.now());
        if let Some(summary) = summary {
            log::error!("store: {summary}");
        }
    }
}
