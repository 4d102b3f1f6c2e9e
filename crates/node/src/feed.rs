//! A copy of the store that serves the change polls of other nodes, so that they need not read the store.
//!
//! Each key is kept with the store position of its last change, and a removed key as a tombstone. A node
//! that is behind gets every key that has changed since, each once, no matter how long it was away and
//! whether the store still has its own history. The whole content is sent only to nodes without a
//! usable position.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::{Change, RawItem, decode, is_catalog};
use cottoncrank_platform::store::Batch;
use parking_lot::Mutex;
use tokio::sync::watch;

/// The number of tombstones that are always kept. If more items than this are held, as many tombstones
/// are kept as there are items.
const MIN_TOMBSTONES: usize = 1000;

/// The maximum number of gaps kept. A gap arises when the store has compacted changes that this node
/// lacks.
const MAX_GAPS: usize = 64;

/// The store position of a key's last change, and the key.
type KeyChange = (Position, Arc<str>);

/// The items and tombstones, indexed by key and by store position.
#[derive(Default)]
struct History {
    /// The last change of each key. A removed key has no value.
    items: HashMap<Arc<str>, RawItem>,
    /// All keys, in the order of their last changes.
    changes_by_position: BTreeSet<KeyChange>,
    /// The removed keys, in the order of their removal.
    tombstones: BTreeSet<KeyChange>,
    /// The position after which every change is known, except for nodes whose position is in a gap.
    complete_since: Position,
    /// The begin and end of each range of positions that this node skipped by reading the whole store
    /// again. Keys that were created and removed within the range were never seen here.
    gaps: VecDeque<(Position, Position)>,
}

impl History {
    /// Records the latest change of a key.
    fn insert(&mut self, raw: RawItem) {
        let raw = drop_unused_value(raw);
        let key: Arc<str> = raw.key.as_str().into();
        if let Some(before) = self.items.get(&key) {
            let change = (before.position, key.clone());
            self.changes_by_position.remove(&change);
            self.tombstones.remove(&change);
        }
        let change = (raw.position, key.clone());
        if raw.value.is_none() {
            self.tombstones.insert(change.clone());
        }
        self.changes_by_position.insert(change);
        self.items.insert(key, raw);
    }

    /// Replaces the content with all items of the store at `position`. Items held here that are not among
    /// them become tombstones. The changes between `known` and `position` are recorded as a gap.
    fn replace(&mut self, items: &[RawItem], known: Position, position: Position) {
        self.gaps.push_back((known, position));
        let keys: BTreeSet<&str> = items.iter().map(|raw| raw.key.as_str()).collect();
        let gone = self.list_live().filter(|raw| !keys.contains(raw.key.as_str()));
        let gone: Vec<RawItem> = gone.map(|raw| RawItem { value: None, position, ..raw.clone() }).collect();
        for raw in items.iter().cloned().chain(gone) {
            self.insert(raw);
        }
    }

    /// Drops live items for which `filter` returns true, without a tombstone.
    fn forget(&mut self, filter: impl Fn(&RawItem) -> bool) {
        let gone: Vec<RawItem> = self.list_live().filter(|raw| filter(raw)).cloned().collect();
        for raw in gone {
            self.changes_by_position.remove(&(raw.position, raw.key.as_str().into()));
            self.items.remove(raw.key.as_str());
        }
    }

    /// Evicts the oldest tombstones and gaps beyond their limits.
    fn evict(&mut self) {
        let live = self.items.len() - self.tombstones.len();
        while self.tombstones.len() > live.max(MIN_TOMBSTONES) {
            let Some(change) = self.tombstones.pop_first() else { return };
            self.changes_by_position.remove(&change);
            self.items.remove(&change.1);
            self.complete_since = self.complete_since.max(change.0);
        }
        while self.gaps.len() > MAX_GAPS {
            let Some((_, end)) = self.gaps.pop_front() else { return };
            self.complete_since = self.complete_since.max(end);
        }
    }

    /// Returns `after` if every change after it is known, else `None`.
    fn resolve_start(&self, after: Option<Position>) -> Option<Position> {
        let in_gap = |after: &Position| self.gaps.iter().any(|(begin, end)| begin < after && after < end);
        after.filter(|after| *after >= self.complete_since && !in_gap(after))
    }

    /// Lists the changes after a position, in order. The range starts with the changes at that position
    /// itself, because no key sorts before the empty one; these are filtered out.
    fn list_after(&self, after: Position) -> Vec<RawItem> {
        let changed = self
            .changes_by_position
            .range((after, Arc::from(""))..)
            .filter(|(position, _)| *position > after);
        changed.filter_map(|(_, key)| self.items.get(key).cloned()).collect()
    }

    /// Lists the items that are not tombstones.
    fn list_live(&self) -> impl Iterator<Item = &RawItem> {
        self.items.values().filter(|raw| raw.value.is_some())
    }
}

/// Drops the value of an item whose key no node knows, and keeps the key. Another writer may leave any number of
/// large values, which would make a copy larger than an answer may be.
fn drop_unused_value(raw: RawItem) -> RawItem {
    // A key tells the kind of its item also where there is no value, except for that of the configuration.
    let is_foreign =
        !is_catalog(&raw) && matches!(decode(RawItem { value: None, ..raw.clone() }), Ok(Change::Foreign(_)));
    match is_foreign {
        true => RawItem { value: raw.value.map(|_| Bytes::new()), ..raw },
        false => raw,
    }
}

/// The packed answer to the last poll.
struct CachedChanges {
    after: Option<Position>,
    changes: PackedChanges,
}

/// The change feed: the items of the store with the latest change of each.
pub struct Feed {
    history: Mutex<History>,
    /// The last packed answer. Nodes at the same position poll for the same changes.
    cached: Mutex<Option<CachedChanges>>,
    position: watch::Sender<Option<Position>>,
    /// Whether this node answers change polls: it reads the store, or polls the decider for its hall, and
    /// its last attempt succeeded.
    serving: watch::Sender<bool>,
    /// Whether no source could be reached when this node last tried, as long as it has no content.
    unreachable: AtomicBool,
}

/// The changes after a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changed items, or all items if `whole` is set.
    pub items: Vec<RawItem>,
    /// The store position up to which the changes are complete.
    pub position: Position,
    /// Whether these are all items of the store, so that any other item is gone.
    pub whole: bool,
}

/// The changes after a position, packed for sending to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedChanges {
    /// The packed items.
    pub items: Bytes,
    /// The store position up to which the changes are complete.
    pub position: Position,
    /// Whether these are all items of the store, so that any other item is gone.
    pub whole: bool,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            history: Mutex::default(),
            cached: Mutex::default(),
            position: watch::Sender::new(None),
            serving: watch::Sender::new(false),
            unreachable: AtomicBool::new(false),
        }
    }
}

impl Feed {
    /// Replaces the content with everything that the store holds. Within the same store era the history is
    /// kept, so that other nodes still get only the changes. In a new era the positions held here are
    /// meaningless, and the history starts again.
    pub fn replace(&self, batch: &Batch) {
        let mut history = self.history.lock();
        let known = (*self.position.borrow()).filter(|known| known.era() == batch.position.era());
        if known.is_none() {
            *history = History { complete_since: batch.position, ..History::default() };
        }
        history.replace(&batch.items, known.unwrap_or(batch.position), batch.position);
        history.evict();
        self.position.send_replace(Some(batch.position));
    }

    /// Adds changes up to the batch's position.
    pub fn extend(&self, batch: &Batch) {
        let mut history = self.history.lock();
        for raw in &batch.items {
            history.insert(raw.clone());
        }
        history.evict();
        self.position.send_replace(Some(batch.position));
    }

    /// Sets whether this node answers change polls. When it stops, pending polls are rejected at once.
    pub fn set_serving(&self, serving: bool) {
        self.serving.send_if_modified(|current| std::mem::replace(current, serving) != serving);
    }

    /// Records that no source of this node could be reached, so that it answers no change polls.
    pub fn record_unreachable(&self) {
        self.unreachable.store(true, Ordering::Relaxed);
        self.set_serving(false);
    }

    /// Whether this node has no content, and failed to obtain any when it last tried.
    pub fn is_empty(&self) -> bool {
        self.position.borrow().is_none() && self.unreachable.load(Ordering::Relaxed)
    }

    /// Returns a receiver for whether this node answers change polls.
    pub fn subscribe_serving(&self) -> watch::Receiver<bool> {
        self.serving.subscribe()
    }

    /// Returns a receiver for the store position of the content.
    pub fn subscribe(&self) -> watch::Receiver<Option<Position>> {
        self.position.subscribe()
    }

    /// Lists the items for which `filter` returns true.
    pub fn list(&self, filter: impl Fn(&RawItem) -> bool) -> Vec<RawItem> {
        self.history.lock().list_live().filter(|raw| filter(raw)).cloned().collect()
    }

    /// Returns the item with this key, if there is one.
    pub fn find(&self, key: &str) -> Option<RawItem> {
        self.history.lock().items.get(key).filter(|raw| raw.value.is_some()).cloned()
    }

    /// Drops items for which `filter` returns true, and which the store does not have. The nodes that polled
    /// them here are not told, because they drop them by themselves.
    pub fn forget(&self, filter: impl Fn(&RawItem) -> bool) {
        self.history.lock().forget(filter);
        *self.cached.lock() = None;
    }

    /// Returns the changes after `after`, or all items if some of these changes are not known.
    pub fn read(&self, after: Option<Position>) -> Option<Changes> {
        let history = self.history.lock();
        let position = (*self.position.borrow())?;
        let changes = match history.resolve_start(after) {
            Some(after) => Changes { items: history.list_after(after), position, whole: false },
            None => Changes { items: history.list_live().cloned().collect(), position, whole: true },
        };
        Some(changes)
    }

    /// Returns the same as [`Feed::read`], packed. After a change, and when all nodes start, many nodes
    /// poll for the same changes, which are packed once for all of them.
    pub fn read_packed(&self, after: Option<Position>) -> Result<Option<PackedChanges>, PackError> {
        let (after, position) = (self.history.lock().resolve_start(after), *self.position.borrow());
        let mut last = self.cached.lock();
        let same =
            last.as_ref().filter(|last| last.after == after && Some(last.changes.position) == position);
        if let Some(same) = same {
            return Ok(Some(same.changes.clone()));
        }
        let Some(Changes { items, position, whole }) = self.read(after) else { return Ok(None) };
        let changes = PackedChanges { items: pack(&items)?, position, whole };
        *last = Some(CachedChanges { after, changes: changes.clone() });
        Ok(Some(changes))
    }
}

/// The error for items that cannot be packed.
pub type PackError = rmp_serde::encode::Error;

/// Packs items for sending to another node.
pub fn pack(items: &[RawItem]) -> Result<Bytes, PackError> {
    Ok(lz4_flex::compress_prepend_size(&rmp_serde::to_vec(items)?).into())
}

/// Unpacks items from another node.
pub fn unpack(packed: &[u8]) -> Result<Vec<RawItem>, UnpackError> {
    Ok(rmp_serde::from_slice(&lz4_flex::decompress_size_prepended(packed)?)?)
}

/// The error for items that cannot be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// The items cannot be decompressed.
    #[error("items from a node cannot be decompressed: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// The items cannot be decoded.
    #[error("items from a node cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}
