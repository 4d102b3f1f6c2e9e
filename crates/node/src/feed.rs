//! What the store holds, kept for other nodes that ask here instead.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use cottoncrank_fleet::position::Position;
use cottoncrank_platform::item::Raw;
use cottoncrank_platform::store::Batch;
use parking_lot::Mutex;
use tokio::sync::watch;

/// How many changes are kept one by one. Nodes ask several times a second; one
/// that was away for longer gets everything.
const KEPT: usize = 1000;

#[derive(Default)]
struct Held {
    items: HashMap<String, Raw>,
    recent: VecDeque<Raw>,
    /// Every change after this position is in `recent`.
    from: Position,
}

/// The items of the store, and the latest changes.
pub struct Feed {
    held: Mutex<Held>,
    position: watch::Sender<Option<Position>>,
    /// Whether this node answers others: it reads the store, or asks the deciding
    /// node for its hall, and had an answer last.
    serving: watch::Sender<bool>,
}

/// What is new after a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// The items; all there are if `whole`.
    pub items: Vec<Raw>,
    /// Up to here.
    pub position: Position,
    /// Whether items that are not among these are gone.
    pub whole: bool,
}

impl Default for Feed {
    fn default() -> Feed {
        Feed {
            held: Mutex::default(),
            position: watch::Sender::new(None),
            serving: watch::Sender::new(false),
        }
    }
}

impl Feed {
    /// Replaces everything.
    pub fn replace(&self, batch: &Batch) {
        let mut held = self.held.lock();
        held.items = batch.items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        held.recent.clear();
        held.from = batch.position;
        self.position.send_replace(Some(batch.position));
    }

    /// Adds changes.
    pub fn extend(&self, batch: &Batch) {
        let mut held = self.held.lock();
        for item in &batch.items {
            match &item.value {
                Some(_) => held.items.insert(item.key.clone(), item.clone()),
                None => held.items.remove(&item.key),
            };
            held.recent.push_back(item.clone());
        }
        while held.recent.len() > KEPT {
            let dropped = held.recent.pop_front();
            held.from = dropped.map_or(held.from, |item| item.position.max(held.from));
        }
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
    pub fn list(&self, wanted: impl Fn(&Raw) -> bool) -> Vec<Raw> {
        self.held.lock().items.values().filter(|item| wanted(item)).cloned().collect()
    }

    /// What is new after `after`; everything if that is not known any more.
    pub fn read(&self, after: Option<Position>) -> Option<News> {
        let position = (*self.position.borrow())?;
        let held = self.held.lock();
        let news = match after.filter(|after| *after >= held.from) {
            Some(after) => {
                let fresh = held.recent.iter().filter(|item| item.position > after);
                News { items: fresh.cloned().collect(), position, whole: false }
            }
            None => News { items: held.items.values().cloned().collect(), position, whole: true },
        };
        Some(news)
    }
}

/// Packs items for the way between nodes.
pub fn pack(items: &[Raw]) -> Result<Bytes, rmp_serde::encode::Error> {
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
    Compressed(#[from] lz4_flex::block::DecompressError),
    /// They are not encoded as they should be.
    #[error("items from a node cannot be decoded: {0}")]
    Encoded(#[from] rmp_serde::decode::Error),
}
