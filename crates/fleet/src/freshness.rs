//! Decides how long a node may rely on the API keys that it knows.
//!
//! A key that operators revoke must not be honoured later than a bound after the store took the change.
//! A node that receives nothing from the store cannot tell the lack of changes from a partition, so the
//! bound counts from the latest proof of freshness: the latest time at which the store is known to have
//! held nothing newer.

use cottoncrank::Millis;

/// What the store's answers prove about the configuration held here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven: Option<Millis>,
}

/// The longest time for which a watch may miss existing changes. The platform guarantees a second.
pub const MAX_WATCH_DELAY: Millis = Millis(1000);

/// Subtracted from the bound: a request's way from its caller to here counts against it, and the clock
/// of this process ticks in milliseconds.
pub const SAFETY_MARGIN: Millis = Millis(250);

impl Freshness {
    /// Records that the store answered a read, sent at `asked`, with what is held here.
    pub fn prove_read(&mut self, asked: Millis) {
        self.prove(asked);
    }

    /// Records that a watch that began at `asked` waited for `waited` and returned no change beyond
    /// what is held here.
    pub fn prove_watch(&mut self, asked: Millis, waited: Millis) {
        self.prove((asked + waited) - MAX_WATCH_DELAY);
    }

    /// Whether keys may be honoured at `now` if a revoked one must not be honoured `bound` later.
    /// Without a bound, a proof of any age suffices: rejecting everyone while the store is away costs
    /// callers more than a revoked key that works for as long.
    pub fn allows(&self, now: Millis, bound: Option<Millis>) -> bool {
        let fresh = |proven| bound.is_none_or(|bound: Millis| now < proven + (bound - SAFETY_MARGIN));
        self.proven.is_some_and(fresh)
    }

    /// Returns the age of the latest proof.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proven.map(|proven| now.since(proven))
    }

    fn prove(&mut self, at: Millis) {
        self.proven = self.proven.max(Some(at));
    }
}
