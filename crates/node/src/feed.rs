//! What the store holds, kept for other nodes that ask here instead.
//!
//! Each key is kept with the position of its last change, also when it is gone. So whoever is
//! behind gets what has changed since, each key once, however long it was away and whether or not
//! the store still knows its own history. All of it goes only to nodes that know nothing yet.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::Raw;
use cottoncrank_platform::store::Batch;
use parking_lot::Mutex;
use tokio::sync::watch;

/// So many keys that are gone are remembered in any case; where more items are held, as many as
/// there are items.
const MIN_TOMBSTONES: usize = 1000;

/// So many gaps are remembered. One comes about when the store has forgotten its history.
const MAX_GAPS: usize = 64;

/// A key and where its last change stands.
type KeyChange = (Position, Arc<str>);

#[derive(Default)]
struct History {
    /// The last change of each key. One without a value is gone.
    items: HashMap<Arc<str>, Raw>,
    /// All keys, by their last change.
    changes_by_position: BTreeSet<KeyChange>,
    /// The keys that are gone.
    tombstones: BTreeSet<KeyChange>,
    /// Every change after this position can be told, but for those after a position in a gap.
    complete_since: Position,
    /// Between which positions nothing was known here when all was read anew: keys that came and
    /// went there were never seen.
    gaps: VecDeque<(Position, Position)>,
}

impl History {
    fn insert(&mut self, raw: Raw) {
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

    /// Takes in all that there is at `position`. What is held here and not there is gone.
    fn replace(&mut self, items: &[Raw], known: Position, position: Position) {
        self.gaps.push_back((known, position));
        let keys: BTreeSet<&str> = items.iter().map(|raw| raw.key.as_str()).collect();
        let gone = self.list_live().filter(|raw| !keys.contains(raw.key.as_str()));
        let gone: Vec<Raw> = gone.map(|raw| Raw { value: None, position, ..raw.clone() }).collect();
        for raw in items.iter().cloned().chain(gone) {
            self.insert(raw);
        }
    }

    /// Forgets the keys that have been gone for longest.
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

    /// `after`, if every change after it can be told.
    fn resolve_start(&self, after: Option<Position>) -> Option<Position> {
        let in_gap = |after: &Position| self.gaps.iter().any(|(begin, end)| begin < after && after < end);
        after.filter(|after| *after >= self.complete_since && !in_gap(after))
    }

    /// What has changed after a position, in order. The range begins with the changes at that
    /// position itself, for no key comes before the empty one.
    fn list_after(&self, after: Position) -> Vec<Raw> {
        let changed = self
            .changes_by_position
            .range((after, Arc::from(""))..)
            .filter(|(position, _)| *position > after);
        changed.filter_map(|(_, key)| self.items.get(key).cloned()).collect()
    }

    fn list_live(&self) -> impl Iterator<Item = &Raw> {
        self.items.values().filter(|raw| raw.value.is_some())
    }
}

/// An answer as it was packed for the last node that asked.
struct CachedChanges {
    after: Option<Position>,
    changes: PackedChanges,
}

/// The items of the store, and the latest change of each.
pub struct Feed {
    history: Mutex<History>,
    /// Nodes that are equally far ask for the same.
    cached: Mutex<Option<CachedChanges>>,
    position: watch::Sender<Option<Position>>,
    /// Whether this node answers others: it reads the store, or asks the deciding
    /// node for its hall, and had an answer last.
    serving: watch::Sender<bool>,
}

/// What is new after a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The items; all there are if `whole`.
    pub items: Vec<Raw>,
    /// Up to here.
    pub position: Position,
    /// Whether items that are not among these are gone.
    pub whole: bool,
}

/// The same, packed for the way between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedChanges {
    /// The items.
    pub items: Bytes,
    /// Up to here.
    pub position: Position,
    /// Whether items that are not among these are gone.
    pub whole: bool,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            history: Mutex::default(),
            cached: Mutex::default(),
            position: watch::Sender::new(None),
            serving: watch::Sender::new(false),
        }
    }
}

impl Feed {
    /// Takes in all that the store holds. In the era that was known, what nodes may be told of is
    /// not forgotten for that; in another one the positions held here say nothing.
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

    /// Adds changes.
    pub fn extend(&self, batch: &Batch) {
        let mut history = self.history.lock();
        for raw in &batch.items {
            history.insert(raw.clone());
        }
        history.evict();
        self.position.send_replace(Some(batch.position));
    }

    /// Says whether this node answers others. Nodes that ask it are sent away as
    /// soon as it does not.
    pub fn set_serving(&self, serving: bool) {
        self.serving.send_if_modified(|current| std::mem::replace(current, serving) != serving);
    }

    /// Whether this node answers others, and a way to wait for a change.
    pub fn subscribe_serving(&self) -> watch::Receiver<bool> {
        self.serving.subscribe()
    }

    /// The position held, and a way to wait for the next.
    pub fn subscribe(&self) -> watch::Receiver<Option<Position>> {
        self.position.subscribe()
    }

    /// The items that `filter` picks.
    pub fn list(&self, filter: impl Fn(&Raw) -> bool) -> Vec<Raw> {
        self.history.lock().list_live().filter(|raw| filter(raw)).cloned().collect()
    }

    /// What is new after `after`; everything if that is not known any more.
    pub fn read(&self, after: Option<Position>) -> Option<Changes> {
        let history = self.history.lock();
        let position = (*self.position.borrow())?;
        let changes = match history.resolve_start(after) {
            Some(after) => Changes { items: history.list_after(after), position, whole: false },
            None => Changes { items: history.list_live().cloned().collect(), position, whole: true },
        };
        Some(changes)
    }

    /// The same, packed. After a change, and when all start, many nodes ask for the same: it is
    /// packed once for them.
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

/// Items that cannot be packed.
pub type PackError = rmp_serde::encode::Error;

/// Packs items for the way between nodes.
pub fn pack(items: &[Raw]) -> Result<Bytes, PackError> {
    Ok(lz4_flex::compress_prepend_size(&rmp_serde::to_vec(items)?).into())
}

/// Unpacks items.
pub fn unpack(packed: &[u8]) -> Result<Vec<Raw>, UnpackError> {
    Ok(rmp_serde::from_slice(&lz4_flex::decompress_size_prepended(packed)?)?)
}

/// Items that cannot be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// They are not compressed as they should be.
    #[error("items from a node cannot be decompressed: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// They are not encoded as they should be.
    #[error("items from a node cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}
