//! Picking the runner for a request.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::runner::Runner;

/// A runner that failed a request is passed over for this long, if others can
/// take it. Long enough to cover the time in which a crash becomes known.
pub const AVOID: Millis = Millis(2500);

/// What a node has seen of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Requests of this node under way there.
    pub running: u32,
    /// Until when it is passed over.
    avoid: Millis,
    /// When a request of this node last got something from there.
    progress: Millis,
}

/// What a node has seen of all runners.
#[derive(Clone, Debug, Default)]
pub struct Ledger(HashMap<id::Runner, Record>);

impl Ledger {
    /// A request is sent to a runner.
    pub fn begin(&mut self, id: &id::Runner) {
        self.0.entry(id.clone()).or_default().running += 1;
    }

    /// A request ended there.
    pub fn end(&mut self, id: &id::Runner) {
        if let Some(record) = self.0.get_mut(id) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// A runner sent something of an answer.
    pub fn progress(&mut self, id: &id::Runner, now: Millis) {
        let record = self.0.entry(id.clone()).or_default();
        record.progress = now;
        record.avoid = Millis(0);
    }

    /// Whether a runner has sent nothing of any answer since `start`.
    pub fn is_silent(&self, id: &id::Runner, start: Millis) -> bool {
        self.get(id).progress < start
    }

    /// A runner gave no answer, or none that can be used.
    pub fn blame(&mut self, id: &id::Runner, now: Millis) {
        let record = self.0.entry(id.clone()).or_default();
        record.avoid = now + AVOID;
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, id: &id::Runner) {
        self.0.remove(id);
    }

    /// What was seen of a runner.
    pub fn get(&self, id: &id::Runner) -> Record {
        self.0.get(id).copied().unwrap_or_default()
    }
}

/// Picks among `candidates` that are not in `tried`: one that is not passed
/// over, with the fewest requests of this node, else at random.
///
/// The hall does not count. A node has one request or none at most runners, so a
/// preference for its own hall would decide nearly always, and a hall with few
/// groups of a model would get more than its groups can take.
pub fn pick<'a>(
    candidates: &[&'a Runner],
    tried: &[id::Runner],
    ledger: &Ledger,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let fresh = candidates.iter().filter(|runner| !tried.contains(&runner.id));
    let keyed = fresh.map(|runner| {
        let record = ledger.get(&runner.id);
        let key = (record.avoid > now, record.running, rng.random::<u32>());
        (key, *runner)
    });
    keyed.min_by_key(|(key, _)| *key).map(|(_, runner)| runner)
}
