//! How long a node may rely on the keys it knows of.
//!
//! A key that operators took away must not be honoured later than a bound after
//! the store took the change. A node that hears nothing from the store cannot
//! tell silence from a cut, so it counts from the latest moment at which the
//! store is known to have held nothing newer.

use cottoncrank::Millis;

/// What the store's answers prove about the configuration held here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven: Option<Millis>,
}

/// A watch may hear nothing for this long although there are changes. The
/// platform names a second.
pub const MAX_WATCH_DELAY: Millis = Millis(1000);

/// Kept back from the bound: the time a request needs from its caller to here
/// counts against it, and the clock of this process ticks in milliseconds.
pub const SAFETY_MARGIN: Millis = Millis(250);

impl Freshness {
    /// The store answered a read, asked for at `asked`, with what is held here.
    pub fn prove_read(&mut self, asked: Millis) {
        self.prove(asked);
    }

    /// A watch begun at `asked` waited for `waited` and told of no change beyond
    /// what is held here.
    pub fn prove_watch(&mut self, asked: Millis, waited: Millis) {
        self.prove((asked + waited) - MAX_WATCH_DELAY);
    }

    /// Whether keys may be honoured at `now`, when one that is taken away must
    /// not be honoured `bound` later. Without a bound, any proof suffices, however old:
    /// refusing everyone while the store is away costs callers more than a key that
    /// works on for as long.
    pub fn allows(&self, now: Millis, bound: Option<Millis>) -> bool {
        let fresh = |proven| bound.is_none_or(|bound: Millis| now < proven + (bound - SAFETY_MARGIN));
        self.proven.is_some_and(fresh)
    }

    /// How old the latest proof is.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proven.map(|proven| now.since(proven))
    }

    fn prove(&mut self, at: Millis) {
        self.proven = self.proven.max(Some(at));
    }
}
