//! How a node that starts obtains its first copy of the store: from a reader of its hall, or from the store.
//!
//! If every starting node read the whole store, these reads would be most of the store calls of a calm day, and
//! all nodes that start together would exceed its rate limit. Readers start at the same time and need a few calls,
//! which take longer the more the store holds, so the others wait for one that reads, if not for ever. They do not
//! wait for readers that the store gave nothing. Those that wait no longer read it one after the other.

use cottoncrank::Millis;
use rand::Rng;

use crate::directory::Directory;
use crate::source::compute_call_interval;

/// After how many rounds a node no longer waits for readers that may have a copy soon. They may never get one.
const MAX_PENDING_ROUNDS: usize = 5;

/// The pause after the first round. It doubles in each of these rounds.
const FIRST_PAUSE: Millis = Millis(40);

/// The time over which the reads of a large hall are spread at the most. Its nodes answer no callers meanwhile.
const MAX_SPREAD: Millis = Millis(4000);

/// What a reader answered that sent no copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It may have a copy soon. Nodes of earlier builds always say so.
    Pending,
    /// It has none, and its last attempt to obtain one failed.
    Empty,
    /// It did not answer.
    Silent,
}

/// What a node without a copy does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It asks readers again after this pause.
    Ask(Millis),
    /// It reads the store after this pause.
    Read(Millis),
}

/// The asks of a node that starts.
#[derive(Clone, Debug, Default)]
pub struct Asks {
    rounds: usize,
    /// When this node reads the store if readers have nothing until then.
    read_at: Option<Millis>,
}

impl Asks {
    /// Returns the number of rounds so far.
    pub fn rounds(&self) -> usize {
        self.rounds
    }

    /// Records the answers of one round, none of which was a copy, and returns the next step. `directory` has the
    /// nodes of the hall.
    pub fn record(
        &mut self,
        answers: &[Answer],
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Step {
        let pause = Millis(FIRST_PAUSE.0 << self.rounds.min(MAX_PENDING_ROUNDS - 1));
        self.rounds += 1;
        if answers.contains(&Answer::Pending) && self.rounds <= MAX_PENDING_ROUNDS {
            return Step::Ask(pause);
        }
        if answers.iter().all(|answer| *answer == Answer::Silent) {
            return Step::Read(Millis(0));
        }
        let spread = compute_call_interval(directory).min(MAX_SPREAD);
        let read_at = *self.read_at.get_or_insert_with(|| now + Millis(rng.random_range(0..=spread.0)));
        let remaining = read_at.since(now);
        if remaining <= pause { Step::Read(remaining) } else { Step::Ask(pause) }
    }
}
