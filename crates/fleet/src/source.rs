//! Whom a node asks for what the store holds, and how often the store is called where
//! nobody can say.
//!
//! The deciding node reads the store, for all others wait for what it does. The readers
//! of the halls ask it, and all others ask those. While nobody decides, the first reader
//! of each hall reads the store and the readers after it ask that one. Where the readers of
//! a hall know nothing, those of other halls are asked, and the deciding node: the store
//! may turn single boxes away and serve all others. When the store is away, all nodes
//! would call it at once and as long as that lasts: so a node calls it the less often the
//! more nodes there are, and readers go first.

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::directory::{Directory, Peer};

/// A node that failed to answer is not asked for this long.
const AVOID: Millis = Millis(3000);

/// A node that answers, but has no proof of the store at present, is not asked for this
/// long: the store may be back.
const AVOID_UNSURE: Millis = Millis(600);

/// The pause of a hall's first reader after a failed call: at least this, at most twice.
/// The readers after it pause twice as long each.
const PAUSE: Millis = Millis(200);

/// No reader pauses longer than this factor times the first one.
const PAUSE_GROWTH: u64 = 16;

/// All nodes that are not readers together call the store once in this time at most,
/// where no reader can say what it holds. Simulated, an outage of 8 s costs three hundred
/// nodes 414 calls, and 8,000 where each pauses for 0.2 to 0.4 s.
const OTHERS: Millis = Millis(50);

/// So many other halls' first readers are asked where the readers of the own hall do not
/// know what the store holds. Each costs a call between halls every 0.6 s of an outage.
const HALLS: usize = 2;

/// Where the store itself has answered a node no longer ago than this, it is called
/// without a pause while no other node can say what it holds.
const REACHED: Millis = Millis(2000);

/// Where a node learns next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another node, which this one asks for its hall.
    Senior(Peer),
    /// A reader of the hall.
    Reader(Peer),
    /// Nobody for this long.
    Nobody(Millis),
}

/// Why a node gave no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It says that it has no proof of the store at present.
    Unsure,
    /// It did not answer, or knows less than the node that asks.
    Useless,
}

/// What a node remembers of those it asks.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Nodes that are not asked, and until when.
    avoided: Vec<(id::Node, Millis)>,
    /// When the store may be called, after it gave no answer or while nobody could say
    /// what it holds.
    store: Option<Millis>,
    /// Failed calls to the store in a row.
    failures: u32,
    /// When the store itself last answered this node.
    reached: Option<Millis>,
}

impl Sources {
    /// Where `me` learns next. `decider` is the node that decides, if it is known.
    pub fn pick(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        decider: Option<&id::Node>,
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Source {
        self.avoided.retain(|(_, until)| now < *until);
        let readers = directory.list_readers(hall);
        let rank = readers.iter().position(|peer| peer.node == *me);
        let decider = decider.filter(|decider| *decider != me).and_then(|decider| directory.get(decider));
        let Some(rank) = rank else { return self.pick_reader(me, directory, hall, decider, now, rng) };
        let seniors = decider.into_iter().chain(readers[..rank].iter().copied());
        match seniors.into_iter().find(|peer| self.may_ask(peer)) {
            Some(senior) => Source::Senior(senior.clone()),
            None => self.wait_for_store(now),
        }
    }

    fn pick_reader(
        &mut self,
        me: &id::Node,
        directory: &Directory,
        hall: &id::Hall,
        decider: Option<&Peer>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Source {
        let sources = directory.list_sources(me, hall);
        if sources.is_empty() {
            return self.wait_for_store(now);
        }
        let others = directory.list_distant(me, hall).into_iter().take(HALLS);
        let others = others.chain(decider.cloned());
        if let Some(reader) = sources.into_iter().chain(others).find(|peer| self.may_ask(peer)) {
            return Source::Reader(reader);
        }
        let reached = self.reached.is_some_and(|reached| now < reached + REACHED);
        if self.store.is_none() && self.failures == 0 && !reached {
            self.store = Some(now + Millis(rng.random_range(0..=share_calls(directory).0)));
        }
        self.wait_for_store(now)
    }

    fn may_ask(&self, peer: &Peer) -> bool {
        !self.avoided.iter().any(|(avoided, _)| *avoided == peer.node)
    }

    /// The store, if it may be called; else a pause until then, or until a node may be
    /// asked again.
    pub fn wait_for_store(&self, now: Millis) -> Source {
        match self.store.filter(|at| now < *at) {
            None => Source::Store,
            Some(at) => {
                let asked = self.avoided.iter().map(|(_, until)| *until).min();
                Source::Nobody(asked.map_or(at, |asked| asked.min(at)).since(now))
            }
        }
    }

    /// A node gave no answer that can be used.
    pub fn note_failure(&mut self, node: id::Node, failure: Failure, now: Millis) {
        let span = if failure == Failure::Unsure { AVOID_UNSURE } else { AVOID };
        self.avoided.push((node, now + span));
    }

    /// The store gave no answer to `me`, which decides for the fleet or not.
    pub fn note_store_failure(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        deciding: bool,
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        let grow = |steps: usize| Millis(PAUSE.0 * (1 << steps.min(16)).min(PAUSE_GROWTH));
        let rank = directory.list_readers(hall).iter().position(|peer| peer.node == *me);
        let least = match rank {
            _ if deciding => PAUSE,
            Some(rank) => grow(rank),
            // A node that knows no other cannot know how many call beside it.
            None if directory.count() <= 1 => grow(self.failures as usize),
            None => share_calls(directory).max(PAUSE),
        };
        self.failures += 1;
        self.store = Some(now + least + Millis(rng.random_range(0..=least.0)));
    }

    /// The store itself has answered.
    pub fn note_store_answer(&mut self, now: Millis) {
        self.reached = Some(now);
        self.note_answer();
    }

    /// A node has answered.
    pub fn note_answer(&mut self) {
        self.store = None;
        self.failures = 0;
    }
}

/// The time in which each of the nodes calls the store once.
fn share_calls(directory: &Directory) -> Millis {
    Millis(OTHERS.0 * directory.count() as u64)
}
