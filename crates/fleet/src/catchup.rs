//! Tells whether a node may lack what changed while its own process did not run.
//!
//! A process that was paused, or whose box was suspended, goes on with what it knew before. What other
//! nodes heard in the meantime, such as that a runner has just started, reaches it only with its next
//! answer from the store or from a node that followed the store. Until then the node is behind.

use cottoncrank::Millis;
use cottoncrank::clock::MIN_FROZEN;

/// The longest time for which a node counts as behind. While nothing answers, for example because the
/// store is away, its callers are served by what it knows.
pub const MAX_BEHIND: Millis = Millis(4000);

/// The gaps in the running time of one process, and whether it has caught up since.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    /// When the process was last seen to run.
    last_run: Option<Millis>,
    /// When it ran again after its latest gap.
    resumed: Option<Millis>,
    caught_up: bool,
}

impl Tracker {
    /// Records that the process runs at `now`. Returns the length of the gap if it did not run before
    /// that. It has to be called more often than once in [`MIN_FROZEN`] while the process runs.
    pub fn record_run(&mut self, now: Millis) -> Option<Millis> {
        let gap = now.since(self.last_run.unwrap_or(now));
        self.last_run = self.last_run.max(Some(now));
        if gap < MIN_FROZEN {
            return None;
        }
        self.resumed = Some(now);
        self.caught_up = false;
        Some(gap)
    }

    /// Records an answer with all changes of the store, to a call that began at `asked`. If the process
    /// caught up by it, returns how long after its gap. An answer to a call from before the gap may lack
    /// what came later.
    pub fn record_answer(&mut self, asked: Millis, now: Millis) -> Option<Millis> {
        let resumed = self.resumed.filter(|resumed| !self.caught_up && asked >= *resumed)?;
        self.caught_up = true;
        Some(now.since(resumed))
    }

    /// Returns until when the process counts as behind, unless it catches up earlier; `None` if it is not.
    pub fn find_end(&self) -> Option<Millis> {
        self.resumed.filter(|_| !self.caught_up).map(|resumed| resumed + MAX_BEHIND)
    }

    /// Whether the process may lack what changed during its latest gap.
    pub fn is_behind(&self, now: Millis) -> bool {
        self.find_end().is_some_and(|end| now < end)
    }

    /// Whether the process ran again after a gap later than `at`.
    pub fn has_resumed_since(&self, at: Millis) -> bool {
        self.resumed.is_some_and(|resumed| resumed > at)
    }
}
