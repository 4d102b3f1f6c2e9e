//! Keeping the node's beliefs in step with the platform's store, which is read
//! here or asked for at another node: the deciding one, or a reader of the hall.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::settings::Settings;
use cottoncrank_fleet::source::{Failure, Source, Sources};
use cottoncrank_net::client::{CallError, Client, Traffic};
use cottoncrank_platform::store::{Batch, StoreError};
use rand::Rng;
use thiserror::Error;

use crate::apply::{Proof, Update, apply_update};
use crate::feed::{self, UnpackError};
use crate::figures;
use crate::peer::{self, Ask, AskError};
use crate::registration;
use crate::state::Node;

/// How long one watch waits. An answer without changes proves that the keys
/// held here are not old. A watch on a connection gone silent is noticed after
/// this and the slack, which together stay well under the two seconds in which a
/// configuration has to be in force, also at nodes that ask this one.
const WATCH_TIMEOUT: Millis = Millis(700);

/// How long another node is asked to wait: longer than a watch, for it answers when its
/// own is over.
const QUERY_WAIT: Millis = Millis(1000);

/// A question that fails within this was refused or broken at once: to ask again costs
/// nothing.
const FAST_FAILURE: Millis = Millis(100);

/// A question gets this much time also where the store has to be called next: nodes of
/// another hall answer within some 10 ms.
const MIN_QUERY_TIMEOUT: Millis = Millis(100);

/// The pause after a batch of changes, so that the next watch brings several at
/// once: each costs a call, and the strictest bound is two seconds.
const BATCH_DELAY: Millis = Millis(150);

/// The same at the node that decides: groups stand still until it knows.
const DECIDER_BATCH_DELAY: Millis = Millis(50);

/// When the whole system starts for the first time, a node waits for this long, and up
/// to half as long again, until the others have written their entries: they take some
/// 0.2 s. Callers come seconds later.
const FIRST_START_DELAY: Millis = Millis(400);

/// A node that starts looks this often for a reader that knows what the store holds, with this
/// pause, twice as long each time: readers start at the same time and need a few calls to the
/// store, which take the longer the more it holds.
const START_ATTEMPTS: u32 = 5;
const START_RETRY_DELAY: Millis = Millis(40);

/// Of so many readers each time. One that is dead costs 0.4 s.
const READERS_PER_ATTEMPT: usize = 2;

/// How often runners are looked through whose entry lapsed with the store away.
const EXPIRY_INTERVAL: Millis = Millis(250);

/// Why no update was obtained.
#[derive(Debug, Error)]
enum SyncError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("node: {0}")]
    Query(#[from] AskError),
    #[error("node: {0}")]
    Unpack(#[from] UnpackError),
    #[error("node: it may have missed changes of the store for {0}")]
    Stale(Millis),
    #[error("node: no answer within {0}, after which the store is called")]
    Timeout(Millis),
    #[error("node: it is at {remote}, this one at {local}")]
    Behind { remote: Position, local: Position },
}

impl SyncError {
    /// What it says of the node that was asked.
    fn failure(&self, took: Millis) -> Failure {
        match self {
            SyncError::Query(AskError::Call(CallError::Status { .. }))
            | SyncError::Stale(_)
            | SyncError::Behind { .. } => Failure::Stale,
            SyncError::Query(AskError::Call(CallError::Connect { .. } | CallError::Broken { .. }))
                if took < FAST_FAILURE =>
            {
                Failure::Disconnected
            }
            _ => Failure::TimedOut,
        }
    }

    /// What the metrics say of it.
    fn reason(&self) -> &'static str {
        match self {
            SyncError::Query(AskError::Call(CallError::Status { .. })) => "unsure",
            SyncError::Store(StoreError::Busy(_)) => "refused",
            SyncError::Query(AskError::Call(_))
            | SyncError::Store(StoreError::Call(_))
            | SyncError::Timeout(_) => "no_answer",
            SyncError::Stale(_) => "old",
            SyncError::Behind { .. } => "behind",
            SyncError::Query(AskError::Unpack(_)) | SyncError::Unpack(_) | SyncError::Store(_) => {
                "unreadable"
            }
        }
    }
}

/// Where this node learns.
struct Syncer {
    node: Arc<Node>,
    client: Client,
    position: Option<Position>,
    /// Whether the store has forgotten the changes after that: if it is called, all is read. Other
    /// nodes may still tell what changed.
    history_compacted: bool,
    /// The latest position that was known here. What another node tells may not be older,
    /// also where all is read anew.
    newest_position: Position,
    sources: Sources,
    /// Whether the store was reached last, here or by the node asked.
    store_reached: bool,
}

/// Follows the store until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    let sources = Sources::new(node.settings().bounds.apply);
    let mut syncer = Syncer {
        node,
        client,
        position: None,
        history_compacted: false,
        newest_position: Position::default(),
        sources,
        store_reached: true,
    };
    syncer.bootstrap().await;
    loop {
        syncer.sync_once().await;
    }
}

impl Syncer {
    /// Learns all from a reader of the hall, if there is one that knows: whole reads of
    /// the store by each node that starts are most of the calls of a calm day.
    async fn bootstrap(&mut self) {
        let settings = self.node.settings();
        if settings.first_start {
            let pause = FIRST_START_DELAY.0 + rand::rng().random_range(0..FIRST_START_DELAY.0 / 2);
            tokio::time::sleep(Millis(pause).duration()).await;
        }
        for attempt in 0..START_ATTEMPTS {
            if self.list_start_readers(&settings).is_empty() && !self.read_peers(&settings).await {
                return;
            }
            if !self.query_start_readers(&settings).await {
                return;
            }
            tokio::time::sleep(Millis(START_RETRY_DELAY.0 << attempt).duration()).await;
        }
    }

    /// Reads which nodes there are in this hall. Returns whether that succeeded.
    async fn read_peers(&self, settings: &Settings) -> bool {
        match self.node.store.read_own_stale(&registration::format_prefix(&settings.hall)).await {
            Ok(items) => registration::apply_entries(&self.node, &items),
            Err(error) => {
                log::info!("sync: other nodes are not known: {error}");
                return false;
            }
        }
        true
    }

    /// Asks the readers of the hall for all that the store holds. Returns whether one of them may
    /// know it soon, and none has returned it.
    async fn query_start_readers(&mut self, settings: &Settings) -> bool {
        let mut may_know_soon = false;
        for reader in self.list_start_readers(settings) {
            let asked = self.node.now();
            match self.query(&reader, Millis(0)).await {
                Ok(update) => {
                    self.sources.record_answer(update.last_contact, self.node.now());
                    self.advance(update, false).await;
                    return false;
                }
                Err(error) => {
                    log::info!("sync: {} does not say what the store holds: {error}", reader.node);
                    let took = self.node.now().since(asked);
                    may_know_soon |= error.failure(took) == Failure::Stale;
                }
            }
        }
        may_know_soon
    }

    /// The readers that a node asks when it starts.
    fn list_start_readers(&self, settings: &Settings) -> Vec<Peer> {
        let directory = self.node.directory.lock();
        let readers = directory.list_local_readers(&settings.node, &settings.hall);
        readers.into_iter().take(READERS_PER_ATTEMPT).cloned().collect()
    }

    async fn sync_once(&mut self) {
        let source = self.pick_source();
        let began = self.node.now();
        if matches!(source, Source::Reader(_)) {
            self.node.feed.set_serving(false);
        }
        let outcome = match &source {
            Source::Reader(peer) => self.query_within_timeout(peer, false).await,
            Source::Upstream(peer) => self.query_within_timeout(peer, true).await,
            Source::Store => self.read_store().await,
            Source::Wait(pause) => {
                self.record_unreachable();
                return tokio::time::sleep(pause.duration()).await;
            }
        };
        let now = self.node.now();
        match (outcome, source) {
            (Ok(update), source) => {
                match source {
                    Source::Store => self.sources.record_store_answer(now),
                    _ => self.sources.record_answer(update.last_contact, now),
                }
                let serving = !matches!(source, Source::Reader(_));
                self.advance(update, serving).await;
            }
            (Err(SyncError::Store(StoreError::Forgotten)), _) => self.record_compaction(now),
            (Err(SyncError::Store(error @ StoreError::CameBack(_))), _) => {
                log::warn!("sync: {error}; reading all anew, at {} now", self.format_position());
                self.position = None;
            }
            (Err(error), Source::Reader(peer) | Source::Upstream(peer)) => {
                figures::count_source_failure("node", error.reason());
                log::info!("sync: {} is passed over: {error}", peer.node);
                self.sources.record_failure(peer.node, error.failure(now.since(began)), now);
            }
            (Err(error), Source::Store | Source::Wait(_)) => {
                figures::count_source_failure("store", error.reason());
                if self.store_reached {
                    log::warn!("sync: {error}; going on with what is known at {}", self.format_position());
                }
                self.record_unreachable();
                let settings = self.node.settings();
                let directory = self.node.directory.lock();
                let rng = &mut rand::rng();
                let deciding = self.node.is_deciding();
                self.sources.record_store_failure(
                    &settings.node,
                    &settings.hall,
                    deciding,
                    &directory,
                    now,
                    rng,
                );
            }
        }
    }

    fn format_position(&self) -> String {
        self.position.map_or("-".to_owned(), |position| position.to_string())
    }

    /// The store has forgotten what this node lacks. What is known here stays the base of what
    /// other nodes are asked for: were all read anew everywhere, nothing else would get through.
    fn record_compaction(&mut self, now: Millis) {
        log::warn!("sync: the store has forgotten the changes after {}", self.format_position());
        self.history_compacted = true;
        let settings = self.node.settings();
        let directory = self.node.directory.lock();
        let (deciding, rng) = (self.node.is_deciding(), &mut rand::rng());
        self.sources.record_compaction(&settings.node, &settings.hall, deciding, &directory, now, rng);
    }

    /// Nobody says what the store holds: runners' entries may lapse meanwhile, and those
    /// that ask here are sent away.
    fn record_unreachable(&mut self) {
        self.store_reached = false;
        self.node.feed.set_serving(false);
    }

    /// Where to learn from. The deciding node and one that knows nothing ask the store, and
    /// others only where it turns them away.
    fn pick_source(&mut self) -> Source {
        let settings = self.node.settings();
        let directory = self.node.directory.lock();
        let holder = self.node.decider.borrow().clone().filter(|holder| holder.leased);
        let holder = holder.and_then(|holder| holder.node);
        let (now, rng) = (self.node.now(), &mut rand::rng());
        if self.node.is_deciding() || self.position.is_none() {
            return self.sources.pick_store(&settings.node, &settings.hall, &directory, now);
        }
        self.sources.pick(&settings.node, &settings.hall, holder.as_ref(), &directory, now, rng)
    }

    async fn read_store(&self) -> Result<Update, SyncError> {
        let asked = self.node.now();
        let Some(after) = self.position.filter(|_| !self.history_compacted) else {
            let batch = self.node.store.read_all().await?;
            return Ok(Update { batch, whole: true, proof: Proof::Read(asked), last_contact: asked });
        };
        let batch = self.node.store.watch(after, WATCH_TIMEOUT).await?;
        let waited = if batch.items.is_empty() { WATCH_TIMEOUT } else { Millis(0) };
        let last_contact = self.node.now();
        Ok(Update { batch, whole: false, proof: Proof::Watch(asked, waited), last_contact })
    }

    /// Asks another node, for no longer than until the store has to be called.
    async fn query_within_timeout(&self, peer: &Peer, reader: bool) -> Result<Update, SyncError> {
        let Some(timeout) = self.sources.query_timeout(reader, self.node.now()) else {
            return self.query(peer, QUERY_WAIT).await;
        };
        let timeout = timeout.max(MIN_QUERY_TIMEOUT);
        tokio::time::timeout(timeout.duration(), self.query(peer, QUERY_WAIT))
            .await
            .unwrap_or(Err(SyncError::Timeout(timeout)))
    }

    async fn query(&self, peer: &Peer, wait: Millis) -> Result<Update, SyncError> {
        let asked = self.node.now();
        let query = Ask { after: self.position, wait_ms: wait.0 };
        let reply = peer::ask(&self.client, peer.address, query).await?;
        let staleness = Millis(reply.silence_ms);
        if !self.sources.accepts(staleness) {
            return Err(SyncError::Stale(staleness));
        }
        if reply.position < self.newest_position {
            return Err(SyncError::Behind { remote: reply.position, local: self.newest_position });
        }
        let batch = Batch { items: feed::unpack(&reply.items)?, position: reply.position };
        // The answer was given after it was asked for and had waited.
        let answered = asked + Millis(reply.waited_ms);
        let proof = Proof::Read(answered - Millis(reply.age_ms));
        Ok(Update { batch, whole: reply.whole, proof, last_contact: answered - staleness })
    }

    async fn advance(&mut self, update: Update, serving: bool) {
        if !self.store_reached {
            log::info!("sync: the store is reached again, at {}", update.batch.position);
            self.node.roster.lock().start_grace_period(self.node.now());
        }
        self.store_reached = true;
        self.history_compacted = false;
        let before = self.newest_position;
        self.position = Some(update.batch.position);
        self.newest_position = before.max(update.batch.position);
        let changes = update.batch.items.len();
        let started = before != Position::default();
        apply_update(&self.node, update, started.then_some(before));
        self.node.feed.set_serving(serving);
        if changes > 0 {
            let pause = if self.node.is_deciding() { DECIDER_BATCH_DELAY } else { BATCH_DELAY };
            tokio::time::sleep(pause.duration()).await;
        }
    }
}

/// Takes runners as gone whose time to come back is over, until the process ends.
pub async fn run_expiry(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL.duration()).await;
        let gone = node.roster.lock().expire(node.now());
        for id in &gone {
            log::info!("roster: {id} did not come back with the store and is taken as gone");
            node.ledger.lock().forget(id);
        }
        if !gone.is_empty() {
            node.changed.notify_one();
        }
    }
}
