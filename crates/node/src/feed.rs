//! What the store holds, kept for other nodes that ask here instead.
//!
//! Each key is kept with the position of its last change, also when it is gone. So whoever is
//! behind gets what has changed since, each key once, however long it was away and whether or not
//! the store still knows its own history. All of it goes only to nodes that know nothing yet.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::RawItem;
use cottoncrank_platform::store::Batch;
use parking_lot::Mutex;
use tokio::sync::watch;

/// So many keys that are gone are remembered in any case; where more items are held, as many as
/// there are items.
const GONE_LEAST: usize = 1000;

/// So many gaps are remembered. One comes about when the store has forgotten its history.
const GAPS_MAX: usize = 64;

/// A key and where its last change stands.
type Place = (Position, Arc<str>);

#[derive(Default)]
struct Held {
    /// The last change of each key. One without a value is gone.
    items: HashMap<Arc<str>, RawItem>,
    /// All keys, by their last change.
    changes: BTreeSet<Place>,
    /// The keys that are gone.
    gone: BTreeSet<Place>,
    /// Every change after this position can be told, but for those after a position in a gap.
    from: Position,
    /// Between which positions nothing was known here when all was read anew: keys that came and
    /// went there were never seen.
    gaps: VecDeque<(Position, Position)>,
}

impl Held {
    fn put(&mut self, raw: RawItem) {
        let key: Arc<str> = raw.key.as_str().into();
        if let Some(before) = self.items.get(&key) {
            let place = (before.position, key.clone());
            self.changes.remove(&place);
            self.gone.remove(&place);
        }
        let place = (raw.position, key.clone());
        if raw.value.is_none() {
            self.gone.insert(place.clone());
        }
        self.changes.insert(place);
        self.items.insert(key, raw);
    }

    /// Takes in all that there is at `position`. What is held here and not there is gone.
    fn replace(&mut self, items: &[RawItem], known: Position, position: Position) {
        self.gaps.push_back((known, position));
        let there: BTreeSet<&str> = items.iter().map(|raw| raw.key.as_str()).collect();
        let gone = self.list_living().filter(|raw| !there.contains(raw.key.as_str()));
        let gone: Vec<RawItem> = gone.map(|raw| RawItem { value: None, position, ..raw.clone() }).collect();
        for raw in items.iter().cloned().chain(gone) {
            self.put(raw);
        }
    }

    /// Forgets the keys that have been gone for longest.
    fn forget(&mut self) {
        let living = self.items.len() - self.gone.len();
        while self.gone.len() > living.max(GONE_LEAST) {
            let Some(place) = self.gone.pop_first() else { return };
            self.changes.remove(&place);
            self.items.remove(&place.1);
            self.from = self.from.max(place.0);
        }
        while self.gaps.len() > GAPS_MAX {
            let Some((_, end)) = self.gaps.pop_front() else { return };
            self.from = self.from.max(end);
        }
    }

    /// `after`, if every change after it can be told.
    fn find_start(&self, after: Option<Position>) -> Option<Position> {
        let in_gap = |after: &Position| self.gaps.iter().any(|(begin, end)| begin < after && after < end);
        after.filter(|after| *after >= self.from && !in_gap(after))
    }

    /// What has changed after a position, in order. The range begins with the changes at that
    /// position itself, for no key comes before the empty one.
    fn list_after(&self, after: Position) -> Vec<RawItem> {
        let changed = self.changes.range((after, Arc::from(""))..).filter(|(position, _)| *position > after);
        changed.filter_map(|(_, key)| self.items.get(key).cloned()).collect()
    }

    fn list_living(&self) -> impl Iterator<Item = &RawItem> {
        self.items.values().filter(|raw| raw.value.is_some())
    }
}

/// An answer as it was packed for the last node that asked.
struct Packed {
    after: Option<Position>,
    news: PackedNews,
}

/// The items of the store, and the latest change of each.
pub struct Feed {
    held: Mutex<Held>,
    /// Nodes that are equally far ask for the same.
    packed: Mutex<Option<Packed>>,
    position: watch::Sender<Option<Position>>,
    /// Whether this node answers others: it reads the store, or asks the deciding
    /// node for its hall, and had an answer last.
    serving: watch::Sender<bool>,
}

/// What is new after a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The items; all there are if `whole`.
    pub items: Vec<RawItem>,
    /// Up to here.
    pub position: Position,
    /// Whether items that are not among these are gone.
    pub whole: bool,
}

/// The same, packed for the way between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedNews {
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
            held: Mutex::default(),
            packed: Mutex::default(),
            position: watch::Sender::new(None),
            serving: watch::Sender::new(false),
        }
    }
}

impl Feed {
    /// Takes in all that the store holds. In the era that was known, what nodes may be told of is
    /// not forgotten for that; in another one the positions held here say nothing.
    pub fn replace(&self, batch: &Batch) {
        let mut held = self.held.lock();
        let known = (*self.position.borrow()).filter(|known| known.era() == batch.position.era());
        if known.is_none() {
            *held = Held { from: batch.position, ..Held::default() };
        }
        held.replace(&batch.items, known.unwrap_or(batch.position), batch.position);
        held.forget();
        self.position.send_replace(Some(batch.position));
    }

    /// Adds changes.
    pub fn extend(&self, batch: &Batch) {
        let mut held = self.held.lock();
        for raw in &batch.items {
            held.put(raw.clone());
        }
        held.forget();
        self.position.send_replace(Some(batch.position));
    }

    /// Says whether this node answers others. Nodes that ask it are sent away as
    /// soon as it does not.
    pub fn set_serving(&self, serving: bool) {
        self.serving.send_if_modified(|held| std::mem::replace(held, serving) != serving);
    }

    /// Whether this node answers others, and a way to wait for a change.
    pub fn subscribe_serving(&self) -> watch::Receiver<bool> {
        self.serving.subscribe()
    }

    /// The position held, and a way to wait for the next.
    pub fn subscribe(&self) -> watch::Receiver<Option<Position>> {
        self.position.subscribe()
    }

    /// The items that `wanted` picks.
    pub fn list(&self, wanted: impl Fn(&RawItem) -> bool) -> Vec<RawItem> {
        self.held.lock().list_living().filter(|raw| wanted(raw)).cloned().collect()
    }

    /// What is new after `after`; everything if that is not known any more.
    pub fn read(&self, after: Option<Position>) -> Option<News> {
        let held = self.held.lock();
        let position = (*self.position.borrow())?;
        let news = match held.find_start(after) {
            Some(after) => News { items: held.list_after(after), position, whole: false },
            None => News { items: held.list_living().cloned().collect(), position, whole: true },
        };
        Some(news)
    }

    /// The same, packed. After a change, and when all start, many nodes ask for the same: it is
    /// packed once for them.
    pub fn read_packed(&self, after: Option<Position>) -> Result<Option<PackedNews>, PackError> {
        let (after, position) = (self.held.lock().find_start(after), *self.position.borrow());
        let mut last = self.packed.lock();
        let same = last.as_ref().filter(|last| last.after == after && Some(last.news.position) == position);
        if let Some(same) = same {
            return Ok(Some(same.news.clone()));
        }
        let Some(News { items, position, whole }) = self.read(after) else { return Ok(None) };
        let news = PackedNews { items: pack(&items)?, position, whole };
        *last = Some(Packed { after, news: news.clone() });
        Ok(Some(news))
    }
}

/// Items that cannot be packed.
pub type PackError = rmp_serde::encode::Error;

/// Packs items for the way between nodes.
pub fn pack(items: &[RawItem]) -> Result<Bytes, PackError> {
    Ok(lz4_flex::compress_prepend_size(&rmp_serde::to_vec(items)?).into())
}

/// Unpacks items.
pub fn unpack(packed: &[u8]) -> Result<Vec<RawItem>, UnpackError> {
    Ok(rmp_serde::from_slice(&lz4_flex::decompress_size_prepended(packed)?)?)
}

/// Items that cannot be unpacked.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// They are not compressed as they should be.
    #[error("items from a node cannot be decompressed: {0}")]
    Compressed(#[from] lz4_flex::block::DecompressError),
    /// They are not encoded as they should be.
    #[error("items from a node cannot be decoded: {0}")]
    Encoded(#[from] rmp_serde::decode::Error),
}
