//! Picks where a node learns of changes of the store, and bounds how often the store is called during
//! an outage.
//!
//! The decider polls the store for everybody. The readers of each hall poll the decider, and all other
//! nodes poll the readers of their hall. Without a decider, the first reader of each hall polls the
//! store, and the readers ranked after it poll that one. If the readers of a hall know nothing, a node
//! asks those of other halls and other nodes, because the store may reject single boxes while it serves
//! all others; readers and the decider can be affected as well.
//!
//! A node that does not answer says nothing about the store, because its process may have ended
//! together with many others. Therefore a node calls the store itself once its last contact is older
//! than a fraction of the time within which configurations must be in force. Only where the store
//! itself failed to answer does the backoff grow with the number of nodes, readers first: otherwise all
//! nodes would call it for as long as the outage lasts.

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::directory::{Directory, Peer};

/// The backoff from a node that did not answer in time, because asking it again would cost the same
/// timeout.
const TIMEOUT_BACKOFF: Millis = Millis(3000);

/// The backoff from a node that failed at once or has no proof of freshness. It is short because the
/// process may have restarted, or the store may have recovered.
const FAILURE_BACKOFF: Millis = Millis(600);

/// The shortest backoff of a hall's first reader after a failed call to the store; with jitter, up to
/// twice as long. It doubles with the rank of the reader.
const STORE_BACKOFF: Millis = Millis(200);

/// The staleness at which a node calls the store itself, in percent of the time within which
/// configurations must be in force. Of two seconds, the remainder allows one call to a store that takes
/// a quarter of a second to answer. Backoffs alone would leave a node without contact for long if most
/// other nodes restarted.
const STALENESS_PERCENT: u64 = 60;

/// The same for readers and the decider. It is lower so that they have an answer for the nodes that
/// poll them before those call the store themselves.
const READER_STALENESS_PERCENT: u64 = 45;

/// The upper bound of a reader's backoff, as a multiple of [`STORE_BACKOFF`].
const MAX_BACKOFF_FACTOR: u64 = 16;

/// The shortest interval between store calls of all non-readers together while no reader knows the
/// store's content. Hundreds of nodes would otherwise exhaust the store's rate limit in an outage.
const SHARED_CALL_INTERVAL: Millis = Millis(50);

/// The number of readers of other halls to ask while those of the own hall know nothing, others in each
/// [`FAILURE_BACKOFF`]. A single one is not enough, because the store may reject two or three boxes at
/// once. Each costs a call between halls every 0.6 s of an outage.
const REMOTE_READERS_ASKED: usize = 2;

/// The number of non-readers to ask after that: in a small fleet the store may serve only those.
const NON_READERS_ASKED: usize = 2;

/// A node that the store answered within this time calls it without a backoff while no other node knows
/// its content.
const STORE_REACHED_TTL: Millis = Millis(2000);

/// Where a node learns of changes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A node that this one polls on behalf of its hall.
    Upstream(Peer),
    /// A node that this one polls for itself alone.
    Reader(Peer),
    /// Nowhere: the node waits for this long.
    Wait(Millis),
}

/// Why a queried node gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It has no proof of freshness, or knows less than the querying node.
    Stale,
    /// It refused or closed the connection at once. Its process has ended and is usually back within
    /// half a second, so asking again costs nothing.
    Disconnected,
    /// It did not answer in time.
    TimedOut,
}

/// The state by which a node picks its sources: its last contact and the current backoffs.
#[derive(Clone, Debug)]
pub struct Sources {
    /// The time within which configurations must be in force.
    bound: Millis,
    /// The latest time up to which this node knows every change of the store.
    last_contact: Option<Millis>,
    /// Nodes that must not be queried, and until when.
    backoffs: Vec<(id::Node, Millis)>,
    /// When the store may be called again, after it gave no answer or while no node knew its content.
    store_retry_at: Option<Millis>,
    /// Consecutive failed calls to the store.
    store_failures: u32,
    /// When the store itself last answered this node.
    store_answered_at: Option<Millis>,
}

impl Sources {
    /// Creates an empty state. Configurations must be in force within `bound`.
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

    /// Picks the next source of `me`. `decider` is the decider, if known.
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

    /// Picks the next source of a node that is the decider or reads the store on behalf of its hall:
    /// the store, unless it is backing off from it.
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
        let answered_lately =
            self.store_answered_at.is_some_and(|answered| now < answered + STORE_REACHED_TTL);
        if self.store_retry_at.is_none() && self.store_failures == 0 && !answered_lately {
            let remaining = self.overdue_at(false).map_or(Millis(0), |overdue_at| overdue_at.since(now));
            let max_wait = compute_call_interval(directory).min(remaining);
            self.store_retry_at = Some(now + Millis(rng.random_range(0..=max_wait.0)));
        }
        self.call_or_wait(now)
    }

    /// Picks a node to query while the readers of the own hall do not know the store's content.
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
        !self.backoffs.iter().any(|(node, _)| *node == peer.node)
    }

    fn can_call_store(&self, now: Millis) -> bool {
        self.store_retry_at.is_none_or(|at| now >= at)
    }

    /// Returns when the last contact of this node becomes too old.
    fn overdue_at(&self, reader: bool) -> Option<Millis> {
        let percent = if reader { READER_STALENESS_PERCENT } else { STALENESS_PERCENT };
        self.last_contact.map(|last_contact| last_contact + Millis(self.bound.0 * percent / 100))
    }

    fn is_overdue(&self, reader: bool, now: Millis) -> bool {
        self.overdue_at(reader).is_some_and(|overdue_at| now >= overdue_at)
    }

    /// Returns how long a query to another node may take: until the store has to be called. None if the
    /// store may not be called or there was no contact yet.
    pub fn query_timeout(&self, reader: bool, now: Millis) -> Option<Millis> {
        if !self.can_call_store(now) {
            return None;
        }
        self.overdue_at(reader).map(|overdue_at| overdue_at.since(now))
    }

    /// Whether an answer is usable that comes from a node whose contact with the store has this
    /// staleness.
    pub fn accepts(&self, staleness: Millis) -> bool {
        staleness < Millis(self.bound.0 * STALENESS_PERCENT / 100)
    }

    /// Returns the store if it may be called; else a wait until then, or until another node may be
    /// queried.
    pub fn call_or_wait(&self, now: Millis) -> Source {
        match self.store_retry_at.filter(|at| now < *at) {
            None => Source::Store,
            Some(at) => {
                let next_query = self.backoffs.iter().map(|(_, until)| *until).min();
                Source::Wait(next_query.map_or(at, |next_query| next_query.min(at)).since(now))
            }
        }
    }

    /// Records that a node gave no usable answer.
    pub fn record_failure(&mut self, node: id::Node, failure: Failure, now: Millis) {
        let span = if failure == Failure::TimedOut { TIMEOUT_BACKOFF } else { FAILURE_BACKOFF };
        self.backoffs.push((node, now + span));
    }

    /// Records that the store gave `me` no answer, and sets the backoff. `deciding` says whether `me`
    /// is the decider.
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
            // Other nodes know the store's content: the store rejects only this box.
            Some(rank) if !self.is_overdue(true, now) => compute_backoff(rank.max(store_failures)),
            Some(rank) => compute_backoff(rank),
            // A node that knows no other cannot tell how many call the store beside it.
            None if directory.count() <= 1 => compute_backoff(store_failures),
            None => compute_call_interval(directory).max(STORE_BACKOFF),
        };
        self.store_failures += 1;
        self.store_retry_at = Some(now + add_jitter(min_pause, rng));
    }

    /// Records that the store gave pages of a read before it failed: the failures before count no more.
    pub fn record_store_progress(&mut self) {
        self.store_failures = 0;
    }

    /// Records that the store answers this node again, which ends the backoff.
    pub fn record_store_return(&mut self) {
        self.store_retry_at = None;
    }

    /// Records that the store no longer has the changes that `me` asked for. Only the decider and the
    /// first reader of each hall then read the full content at once. All others wait for those to pass
    /// on the changes, because every node lacks the same ones, and full reads by all of them would
    /// occupy the store's link for longer than a configuration may take to be in force.
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
            // Nodes that had no changes to send are queried again before the backoff ends.
            Some(rank) => compute_backoff(rank).max(FAILURE_BACKOFF),
            None => compute_call_interval(directory).max(FAILURE_BACKOFF),
        };
        // Counts as a failure so that the answer of a node that knows no more does not end the backoff.
        self.store_failures += 1;
        self.store_retry_at = Some(now + add_jitter(min_pause, rng));
    }

    /// Records that the store itself answered. `last_contact` is the time up to which its answer has every change,
    /// as a read of everything may have begun long ago.
    pub fn record_store_answer(&mut self, last_contact: Millis, now: Millis) {
        self.store_answered_at = Some(now);
        self.last_contact = self.last_contact.max(Some(last_contact));
        self.store_retry_at = None;
        self.store_failures = 0;
    }

    /// Records the answer of a node that knows every change of the store up to `last_contact`. It does
    /// not shorten the backoff from a store that gave this node no answer.
    pub fn record_answer(&mut self, last_contact: Millis, now: Millis) {
        self.last_contact = self.last_contact.max(Some(last_contact));
        if self.store_failures == 0 || self.can_call_store(now) {
            self.store_retry_at = None;
            self.store_failures = 0;
        }
    }
}

/// Returns the rank of `me` among the readers of its hall.
fn find_rank(me: &id::Node, hall: &id::Hall, directory: &Directory) -> Option<usize> {
    directory.list_readers(hall).iter().position(|peer| peer.node == *me)
}

/// Returns the shortest backoff after `steps` doublings.
fn compute_backoff(steps: usize) -> Millis {
    Millis(STORE_BACKOFF.0 * (1 << steps.min(16)).min(MAX_BACKOFF_FACTOR))
}

/// Returns a random backoff between `min_pause` and twice that.
fn add_jitter(min_pause: Millis, rng: &mut impl Rng) -> Millis {
    min_pause + Millis(rng.random_range(0..=min_pause.0))
}

/// Returns `width` of the nodes, others in each [`FAILURE_BACKOFF`].
fn pick_rotating(peers: Vec<&Peer>, width: usize, now: Millis) -> Vec<&Peer> {
    let turn = (now.0 / FAILURE_BACKOFF.0) as usize;
    let width = width.min(peers.len());
    let first = (turn * width).checked_rem(peers.len()).unwrap_or(0);
    peers.into_iter().cycle().skip(first).take(width).collect()
}

/// Returns the interval in which each node of the fleet calls the store once.
pub(crate) fn compute_call_interval(directory: &Directory) -> Millis {
    Millis(SHARED_CALL_INTERVAL.0 * directory.count() as u64)
}
