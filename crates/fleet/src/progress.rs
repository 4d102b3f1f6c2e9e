//! Decides whether a read of the store that stopped at a page is gone on with.
//!
//! It is built for long lists at a store that refuses a page now and then: if each refusal threw away the pages
//! before it, a list would be whole by chance only. The pages are kept while the store still gives some.

use cottoncrank::Millis;

/// How long the pages are kept after the latest one was given. Later the history that leads on from them may be
/// gone.
const KEPT_TIME: Millis = Millis(10_000);

/// How far a read has come.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    began: Millis,
    pages: u32,
    /// When the read stopped last with more pages than before.
    advanced: Millis,
}

impl Progress {
    /// Begins a read.
    pub fn new(now: Millis) -> Progress {
        Progress { began: now, pages: 0, advanced: now }
    }

    /// Returns when the read began. What it finds proves nothing of later.
    pub fn began(&self) -> Millis {
        self.began
    }

    /// Records that the read stopped after so many pages. Returns whether the store has given some of them since it
    /// stopped before.
    pub fn record_stop(&mut self, pages: u32, now: Millis) -> bool {
        let is_further = pages > self.pages;
        if is_further {
            self.pages = pages;
            self.advanced = now;
        }
        is_further
    }

    /// Whether the read is gone on with at `now`, and not begun anew.
    pub fn is_kept(&self, now: Millis) -> bool {
        self.pages > 0 && now < self.advanced + KEPT_TIME
    }
}
