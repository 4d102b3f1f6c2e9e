//! How strongly the parts of a prompt are suspected that others may share.

use cottoncrank::id;

use super::{Entry, MIN_CRASHES, Table};
use crate::evidence::{Crash, Level, MAX_CRASHES};
use crate::fingerprint::Fingerprint;

/// The number of crashes from which on another part may explain those of a part. Sound parts are in flight at
/// a single one all the time.
const MIN_EXPLAINING_CRASHES: usize = 2;

impl Table {
    /// Returns how strongly the shared parts of a prompt are suspected, the strongest of them.
    ///
    /// Parts that were in flight at the same crashes cannot be told apart, and only one of them may be
    /// deadly. So a part counts only if the prompt has those others as well. Other prompts run, and what
    /// becomes of them tells the parts apart.
    ///
    /// The requests of several deadly parts may share a sound one, which then explains the most crashes. It
    /// would never be cleared if no prompt with it ran. So prompts without those others are only held back for
    /// [`RECHECK_DELAY`].
    pub fn level_of_parts(&self, parts: &[Fingerprint], account: Option<&id::Account>) -> Level {
        let mut level = Level::Clear;
        let entries = parts.iter().filter_map(|part| self.entries.get(part));
        for entry in entries.filter(|entry| entry.counts_against(account)) {
            let part_level = self.level(&entry.row.fingerprint);
            let crashes: Vec<&Crash> = entry.row.list_valid_crashes().collect();
            let has_all = || {
                let mut others = self.list_indistinguishable(&entry.row, &crashes);
                others.all(|other| parts.contains(&other.row.fingerprint))
            };
            match part_level {
                Level::Deadly(_) if has_all() => {
                    if !self.may_be_explained_without(parts, entry, &crashes) {
                        return part_level;
                    }
                    if !entry.rested {
                        level = Level::Pending(crashes.len());
                    }
                }
                Level::Pending(_) if has_all() => level = part_level,
                Level::Clear | Level::Suspected(_) | Level::Pending(_) | Level::Deadly(_) => {}
            }
        }
        level
    }

    /// Whether other parts than those of a prompt may be the cause of so many crashes of a part that too few
    /// are left. Of a part at [`MAX_CRASHES`] no further one would be recorded, so none can tell more.
    fn may_be_explained_without(&self, parts: &[Fingerprint], entry: &Entry, crashes: &[&Crash]) -> bool {
        let may_explain = |other: &Entry| {
            other.row.fingerprint != entry.row.fingerprint
                && other.row.fingerprint.is_part()
                && !parts.contains(&other.row.fingerprint)
                && other.count >= MIN_EXPLAINING_CRASHES
        };
        let is_explained = |crash: &Crash| {
            let mut others = self.list_in_flight(crash).filter(|other| may_explain(other));
            others.any(|other| other.row.list_valid_crashes().any(|known| known == crash))
        };
        let unexplained = crashes.iter().filter(|crash| !is_explained(crash)).count();
        unexplained < MIN_CRASHES && entry.row.crashes.len() < MAX_CRASHES
    }
}
