//! Whom a node asks for what the store holds, and how often the store is called where
//! nobody can say.
//!
//! The deciding node reads the store, for all others wait for what it does. The readers
//! of the halls ask it, and all others ask those. While nobody decides, the first reader
//! of each hall reads the store and the readers after it ask that one. Where the readers of
//! a hall know nothing, those of other halls are asked, and the deciding node: the store
//! may turn single boxes away and serve all others, readers and the deciding node too.
//!
//! Nodes that give no answer say nothing of the store: their processes may all have ended
//! at once. So a part of the time in which configurations must be in force bounds how long
//! a node goes without last_contact before it calls the store itself. Only where the store gave
//! this node no answer is it called the less often the more nodes there are, readers first:
//! all would call it as long as an outage lasts.

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::directory::{Directory, Peer};

/// A node that failed to answer in time is not asked for this long: to ask it again would
/// cost as much time as before.
const TIMEOUT_BACKOFF: Millis = Millis(3000);

/// A node that fails at once, or has no proof of the store at present, is not asked for
/// this long: its process starts again, or the store is back.
const FAILURE_BACKOFF: Millis = Millis(600);

/// The pause of a hall's first reader after a failed call: at min_pause this, at most twice.
/// The readers after it pause twice as long each.
const STORE_BACKOFF: Millis = Millis(200);

/// The part of the time in which configurations must be in force, in hundredths, that a
/// node may be without last_contact before it calls the store. What is left of two seconds is
/// enough for one call to a store that answers slowly, in a quarter of a second. By
/// its pauses alone, a node that lives through a restart of most others would go without for long.
const STALENESS_PERCENT: u64 = 60;

/// The same for the readers and the deciding node: those that ask them then have their
/// answer before they call the store themselves.
const READER_STALENESS_PERCENT: u64 = 45;

/// No reader pauses longer than this factor times the first one.
const MAX_BACKOFF_FACTOR: u64 = 16;

/// All nodes that are not readers together call the store once in this time at most,
/// where no reader can say what it holds: hundreds of them would use up its rate in an outage.
const SHARED_CALL_INTERVAL: Millis = Millis(50);

/// So many readers of other halls are asked where those of the own hall do not know what
/// the store holds, others each [`FAILURE_BACKOFF`]: all of two or three may be turned away
/// as well. Each costs a call between halls every 0.6 s of an outage.
const REMOTE_READERS_ASKED: usize = 2;

/// And so many nodes that are no readers: in a small fleet the store may serve only those.
const NON_READERS_ASKED: usize = 2;

/// Where the store itself has answered a node no longer ago than this, it is called
/// without a pause while no other node can say what it holds.
const STORE_REACHED_TTL: Millis = Millis(2000);

/// Where a node learns next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another node, which this one asks for its hall.
    Upstream(Peer),
    /// Another node, which this one asks for itself alone.
    Reader(Peer),
    /// Wait for this long.
    Wait(Millis),
}

/// Why a node gave no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It says that it has no proof of the store at present, or knows less than the node
    /// that asks.
    Stale,
    /// It refused or broke the connection at once: its process has ended, and is back
    /// within half a second as a rule. To ask again costs nothing.
    Disconnected,
    /// It did not answer in time.
    TimedOut,
}

/// What a node remembers of those it asks.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The time in which configurations must be in force.
    bound: Millis,
    /// Up to when this node surely knows all that the store held.
    last_contact: Option<Millis>,
    /// Nodes that are not asked, and until when.
    backoffs: Vec<(id::Node, Millis)>,
    /// When the store may be called, after it gave no answer or while nobody could say
    /// what it holds.
    store_retry_at: Option<Millis>,
    /// Failed calls to the store in a row.
    store_failures: u32,
    /// When the store itself last answered this node.
    store_answered_at: Option<Millis>,
}

impl Sources {
    /// Nothing is remembered yet. Configurations must be in force within `bound`.
    pub fn new(bound: Millis) -> Sources {
        Sources {
            bound,
            last_contact: None,
            backoffs: Vec::new(),
            store_retry_at: None,
            store_failures: 0,
            store_answered_at: None,
        }
    }

    /// Where `me` learns next. `decider` is the node that decides, if it is readers.
    pub fn pick(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        decider: Option<&id::Node>,
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Source {
        self.backoffs.retain(|(_, until)| now < *until);
        let readers = directory.list_readers(hall);
        let rank = readers.iter().position(|peer| peer.node == *me);
        if self.is_overdue(rank.is_some(), now) && self.can_call_store(now) {
            return Source::Store;
        }
        let decider = decider.filter(|decider| *decider != me).and_then(|decider| directory.get(decider));
        let Some(rank) = rank else { return self.pick_reader(me, directory, hall, decider, now, rng) };
        let upstreams = decider.into_iter().chain(readers[..rank].iter().copied());
        match upstreams.into_iter().find(|peer| self.can_query(peer)) {
            Some(upstream) => Source::Upstream(upstream.clone()),
            None => self.pick_store(me, hall, directory, now),
        }
    }

    /// Where `me` learns next that decides for the fleet, or reads the store for its hall:
    /// from the store, unless that gave it no answer lately.
    pub fn pick_store(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        directory: &Directory,
        now: Millis,
    ) -> Source {
        if self.can_call_store(now) {
            return Source::Store;
        }
        self.backoffs.retain(|(_, until)| now < *until);
        let mut local = directory.list_readers(hall).into_iter().filter(|peer| peer.node != *me);
        let local = local.find(|peer| self.can_query(peer));
        match local.or_else(|| self.pick_fallback(me, hall, directory, now)) {
            Some(other) => Source::Reader(other.clone()),
            None => self.call_or_wait(now),
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
        let sources = directory.list_local_readers(me, hall);
        if sources.is_empty() {
            return self.call_or_wait(now);
        }
        let mut readers = sources.into_iter().chain(decider);
        let readers = readers.find(|peer| self.can_query(peer));
        if let Some(peer) = readers.or_else(|| self.pick_fallback(me, hall, directory, now)) {
            return Source::Reader(peer.clone());
        }
        let store_answered_at = self
            .store_answered_at
            .is_some_and(|store_answered_at| now < store_answered_at + STORE_REACHED_TTL);
        if self.store_retry_at.is_none() && self.store_failures == 0 && !store_answered_at {
            let remaining = self.overdue_at(false).map_or(Millis(0), |overdue_at| overdue_at.since(now));
            let max_wait = compute_call_interval(directory).min(remaining);
            self.store_retry_at = Some(now + Millis(rng.random_range(0..=max_wait.0)));
        }
        self.call_or_wait(now)
    }

    /// A node to ask where the readers of the own hall do not know what the store holds.
    fn pick_fallback<'a>(
        &self,
        me: &id::Node,
        hall: &id::Hall,
        directory: &'a Directory,
        now: Millis,
    ) -> Option<&'a Peer> {
        let remote = pick_rotating(directory.list_remote_readers(me, hall), REMOTE_READERS_ASKED, now);
        let remote = remote.into_iter().find(|peer| self.can_query(peer));
        remote.or_else(|| {
            let non_readers = pick_rotating(directory.list_non_readers(me), NON_READERS_ASKED, now);
            non_readers.into_iter().find(|peer| self.can_query(peer))
        })
    }

    fn can_query(&self, peer: &Peer) -> bool {
        !self.backoffs.iter().any(|(backoffs, _)| *backoffs == peer.node)
    }

    fn can_call_store(&self, now: Millis) -> bool {
        self.store_retry_at.is_none_or(|at| now >= at)
    }

    /// When this node has been without last_contact for too long.
    fn overdue_at(&self, reader: bool) -> Option<Millis> {
        let percent = if reader { READER_STALENESS_PERCENT } else { STALENESS_PERCENT };
        self.last_contact.map(|last_contact| last_contact + Millis(self.bound.0 * percent / 100))
    }

    fn is_overdue(&self, reader: bool, now: Millis) -> bool {
        self.overdue_at(reader).is_some_and(|overdue_at| now >= overdue_at)
    }

    /// How long a question to another node may take: until the store has to be called.
    pub fn query_timeout(&self, reader: bool, now: Millis) -> Option<Millis> {
        if !self.can_call_store(now) {
            return None;
        }
        self.overdue_at(reader).map(|overdue_at| overdue_at.since(now))
    }

    /// Whether an answer is of use that comes from a node which was without last_contact for
    /// so long.
    pub fn accepts(&self, staleness: Millis) -> bool {
        staleness < Millis(self.bound.0 * STALENESS_PERCENT / 100)
    }

    /// The store, if it may be called; else a pause until then, or until a node may be
    /// asked again.
    pub fn call_or_wait(&self, now: Millis) -> Source {
        match self.store_retry_at.filter(|at| now < *at) {
            None => Source::Store,
            Some(at) => {
                let asked = self.backoffs.iter().map(|(_, until)| *until).min();
                Source::Wait(asked.map_or(at, |asked| asked.min(at)).since(now))
            }
        }
    }

    /// A node gave no answer that can be used.
    pub fn record_failure(&mut self, node: id::Node, failure: Failure, now: Millis) {
        let span = if failure == Failure::TimedOut { TIMEOUT_BACKOFF } else { FAILURE_BACKOFF };
        self.backoffs.push((node, now + span));
    }

    /// The store gave no answer to `me`, which decides for the fleet or not.
    pub fn record_store_failure(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        deciding: bool,
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        let rank = find_rank(me, hall, directory);
        let store_failures = self.store_failures as usize;
        let min_pause = match rank {
            _ if deciding => STORE_BACKOFF,
            // Others know what the store holds: it turns this box away.
            Some(rank) if !self.is_overdue(true, now) => compute_backoff(rank.max(store_failures)),
            Some(rank) => compute_backoff(rank),
            // A node that knows no other cannot know how many call beside it.
            None if directory.count() <= 1 => compute_backoff(store_failures),
            None => compute_call_interval(directory).max(STORE_BACKOFF),
        };
        self.store_failures += 1;
        self.store_retry_at = Some(now + add_jitter(min_pause, rng));
    }

    /// The store answered `me` that it has forgotten the changes asked for. All that it holds is
    /// read by the deciding node and the first reader of each hall, at once, and by others only
    /// where those do not tell what has changed: all nodes lack the same, and all that the store
    /// holds, read by each, takes its link for longer than a configuration may take.
    pub fn record_compaction(
        &mut self,
        me: &id::Node,
        hall: &id::Hall,
        deciding: bool,
        directory: &Directory,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        let min_pause = match find_rank(me, hall, directory) {
            _ if deciding || directory.count() <= 1 => return,
            Some(0) => return,
            // Those that had nothing to tell are asked again before that.
            Some(rank) => compute_backoff(rank).max(FAILURE_BACKOFF),
            None => compute_call_interval(directory).max(FAILURE_BACKOFF),
        };
        // Another node that knows no more either does not end the pause.
        self.store_failures += 1;
        self.store_retry_at = Some(now + add_jitter(min_pause, rng));
    }

    /// The store itself has answered.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.store_answered_at = Some(now);
        self.last_contact = Some(now);
        self.store_retry_at = None;
        self.store_failures = 0;
    }

    /// A node has answered that knows all that the store held up to `last_contact`. A store that
    /// gave this node no answer is left alone for as long as before.
    pub fn record_answer(&mut self, last_contact: Millis, now: Millis) {
        self.last_contact = self.last_contact.max(Some(last_contact));
        if self.store_failures == 0 || self.can_call_store(now) {
            self.store_retry_at = None;
            self.store_failures = 0;
        }
    }
}

/// The place of `me` among the readers of its hall.
fn find_rank(me: &id::Node, hall: &id::Hall, directory: &Directory) -> Option<usize> {
    directory.list_readers(hall).iter().position(|peer| peer.node == *me)
}

/// The min_pause pause after so many steps.
fn compute_backoff(steps: usize) -> Millis {
    Millis(STORE_BACKOFF.0 * (1 << steps.min(16)).min(MAX_BACKOFF_FACTOR))
}

/// A pause of at min_pause `min_pause`, at most twice.
fn add_jitter(min_pause: Millis, rng: &mut impl Rng) -> Millis {
    min_pause + Millis(rng.random_range(0..=min_pause.0))
}

/// So many of these nodes, others each [`FAILURE_BACKOFF`].
fn pick_rotating(peers: Vec<&Peer>, width: usize, now: Millis) -> Vec<&Peer> {
    let turn = (now.0 / FAILURE_BACKOFF.0) as usize;
    let width = width.min(peers.len());
    let first = (turn * width).checked_rem(peers.len()).unwrap_or(0);
    peers.into_iter().cycle().skip(first).take(width).collect()
}

/// The time in which each of the nodes calls the store once.
fn compute_call_interval(directory: &Directory) -> Millis {
    Millis(SHARED_CALL_INTERVAL.0 * directory.count() as u64)
}
