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

use crate::feed::{self, UnpackError};
use crate::intake::{Learned, Proof, take_in};
use crate::member;
use crate::peer::{self, ChangeQuery, PollError};
use crate::state::Node;
use crate::telemetry;

/// How long one watch waits. An answer without changes proves that the keys
/// held here are not old. A watch on a connection gone silent is noticed after
/// this and the slack, which together stay well under the two seconds in which a
/// configuration has to be in force, also at nodes that ask this one.
const WATCH: Millis = Millis(700);

/// How long another node is asked to wait: longer than a watch, for it answers when its
/// own is over.
const ASK: Millis = Millis(1000);

/// A question that fails within this was refused or broken at once: to ask again costs
/// nothing.
const AT_ONCE: Millis = Millis(100);

/// A question gets this much time also where the store has to be called next: nodes of
/// another hall answer within some 10 ms.
const ASK_LEAST: Millis = Millis(100);

/// The pause after a batch of changes, so that the next watch brings several at
/// once: each costs a call, and the strictest bound is two seconds.
const GATHER: Millis = Millis(150);

/// The same at the node that decides: groups stand still until it knows.
const GATHER_DECIDING: Millis = Millis(50);

/// When the whole system starts for the first time, a node waits for this long, and up
/// to half as long again, until the others have written their entries: they take some
/// 0.2 s. Callers come seconds later.
const FIRST_START: Millis = Millis(400);

/// A node that starts looks this often for a reader that knows what the store holds, with this
/// pause, twice as long each time: readers start at the same time and need a few calls to the
/// store, which take the longer the more it holds.
const STARTS: u32 = 5;
const START_PAUSE: Millis = Millis(40);

/// Of so many readers each time. One that is dead costs 0.4 s.
const START_READERS: usize = 2;

/// How often runners are looked through whose entry lapsed with the store away.
const EXPIRE: Millis = Millis(250);

/// Why nothing was learned.
#[derive(Debug, Error)]
enum SyncError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("node: {0}")]
    Ask(#[from] PollError),
    #[error("node: {0}")]
    Unpack(#[from] UnpackError),
    #[error("node: it may have missed changes of the store for {0}")]
    Old(Millis),
    #[error("node: no answer within {0}, after which the store is called")]
    Overdue(Millis),
    #[error("node: it is at {there}, this one at {here}")]
    Behind { there: Position, here: Position },
}

impl SyncError {
    /// What it says of the node that was asked.
    fn failure(&self, took: Millis) -> Failure {
        match self {
            SyncError::Ask(PollError::Call(CallError::Status { .. }))
            | SyncError::Old(_)
            | SyncError::Behind { .. } => Failure::Stale,
            SyncError::Ask(PollError::Call(CallError::Connect { .. } | CallError::Broken { .. }))
                if took < AT_ONCE =>
            {
                Failure::Disconnected
            }
            _ => Failure::TimedOut,
        }
    }

    /// What the metrics say of it.
    fn reason(&self) -> &'static str {
        match self {
            SyncError::Ask(PollError::Call(CallError::Status { .. })) => "unsure",
            SyncError::Store(StoreError::Busy(_)) => "refused",
            SyncError::Ask(PollError::Call(_))
            | SyncError::Store(StoreError::Call(_))
            | SyncError::Overdue(_) => "no_answer",
            SyncError::Old(_) => "old",
            SyncError::Behind { .. } => "behind",
            SyncError::Ask(PollError::Unpack(_)) | SyncError::Unpack(_) | SyncError::Store(_) => "unreadable",
        }
    }
}

/// Where this node learns.
struct Sync {
    node: Arc<Node>,
    client: Client,
    position: Option<Position>,
    /// Whether the store has forgotten the changes after that: if it is called, all is read. Other
    /// nodes may still tell what changed.
    forgotten: bool,
    /// The latest position that was known here. What another node tells may not be older,
    /// also where all is read anew.
    newest: Position,
    sources: Sources,
    /// Whether the store was reached last, here or by the node asked.
    reached: bool,
}

/// Follows the store until the process ends.
pub async fn run(node: Arc<Node>) {
    let client = Client::new(Traffic::default());
    let sources = Sources::new(node.settings().bounds.apply);
    let mut sync = Sync {
        node,
        client,
        position: None,
        forgotten: false,
        newest: Position::default(),
        sources,
        reached: true,
    };
    sync.start().await;
    loop {
        sync.follow().await;
    }
}

impl Sync {
    /// Learns all from a reader of the hall, if there is one that knows: whole reads of
    /// the store by each node that starts are most of the calls of a calm day.
    async fn start(&mut self) {
        let settings = self.node.settings();
        if settings.first_start {
            let pause = FIRST_START.0 + rand::rng().random_range(0..FIRST_START.0 / 2);
            tokio::time::sleep(Millis(pause).duration()).await;
        }
        for look in 0..STARTS {
            if self.list_starters(&settings).is_empty() && !self.read_entries(&settings).await {
                return;
            }
            if !self.ask_starters(&settings).await {
                return;
            }
            tokio::time::sleep(Millis(START_PAUSE.0 << look).duration()).await;
        }
    }

    /// Reads which nodes there are in this hall. Returns whether that succeeded.
    async fn read_entries(&self, settings: &Settings) -> bool {
        match self.node.store.read_stale_own_items(&member::write_prefix(&settings.hall)).await {
            Ok(items) => member::take_entries(&self.node, &items),
            Err(error) => {
                log::info!("sync: other nodes are not known: {error}");
                return false;
            }
        }
        true
    }

    /// Asks the readers of the hall for all that the store holds. Returns whether one of them may
    /// know it soon, and none has told it.
    async fn ask_starters(&mut self, settings: &Settings) -> bool {
        let mut unsure = false;
        for reader in self.list_starters(settings) {
            let asked = self.node.now();
            match self.ask(&reader, Millis(0)).await {
                Ok(learned) => {
                    self.sources.record_answer(learned.contact, self.node.now());
                    self.take(learned, false).await;
                    return false;
                }
                Err(error) => {
                    log::info!("sync: {} does not say what the store holds: {error}", reader.node);
                    let took = self.node.now().since(asked);
                    unsure |= error.failure(took) == Failure::Stale;
                }
            }
        }
        unsure
    }

    /// The readers that a node asks when it starts.
    fn list_starters(&self, settings: &Settings) -> Vec<Peer> {
        let directory = self.node.directory.lock();
        let readers = directory.list_local_readers(&settings.node, &settings.hall);
        readers.into_iter().take(START_READERS).cloned().collect()
    }

    async fn follow(&mut self) {
        let source = self.pick_source();
        let began = self.node.now();
        if matches!(source, Source::Reader(_)) {
            self.node.feed.set_serving(false);
        }
        let outcome = match &source {
            Source::Reader(peer) => self.ask_patiently(peer, false).await,
            Source::Upstream(peer) => self.ask_patiently(peer, true).await,
            Source::Store => self.read_store().await,
            Source::Wait(pause) => {
                self.note_away();
                return tokio::time::sleep(pause.duration()).await;
            }
        };
        let now = self.node.now();
        match (outcome, source) {
            (Ok(learned), source) => {
                match source {
                    Source::Store => self.sources.record_store_answer(now),
                    _ => self.sources.record_answer(learned.contact, now),
                }
                let serving = !matches!(source, Source::Reader(_));
                self.take(learned, serving).await;
            }
            (Err(SyncError::Store(StoreError::Compacted)), _) => self.record_compaction(now),
            (Err(SyncError::Store(error @ StoreError::Restored(_))), _) => {
                log::warn!("sync: {error}; reading all anew, at {} now", self.show_position());
                self.position = None;
            }
            (Err(error), Source::Reader(peer) | Source::Upstream(peer)) => {
                telemetry::count_source_failure("node", error.reason());
                log::info!("sync: {} is passed over: {error}", peer.node);
                self.sources.record_failure(peer.node, error.failure(now.since(began)), now);
            }
            (Err(error), Source::Store | Source::Wait(_)) => {
                telemetry::count_source_failure("store", error.reason());
                if self.reached {
                    log::warn!("sync: {error}; going on with what is known at {}", self.show_position());
                }
                self.note_away();
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

    fn show_position(&self) -> String {
        self.position.map_or("-".to_owned(), |position| position.to_string())
    }

    /// The store has forgotten what this node lacks. What is known here stays the base of what
    /// other nodes are asked for: were all read anew everywhere, nothing else would get through.
    fn record_compaction(&mut self, now: Millis) {
        log::warn!("sync: the store has forgotten the changes after {}", self.show_position());
        self.forgotten = true;
        let settings = self.node.settings();
        let directory = self.node.directory.lock();
        let (deciding, rng) = (self.node.is_deciding(), &mut rand::rng());
        self.sources.record_compaction(&settings.node, &settings.hall, deciding, &directory, now, rng);
    }

    /// Nobody says what the store holds: runners' entries may lapse meanwhile, and those
    /// that ask here are sent away.
    fn note_away(&mut self) {
        self.reached = false;
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

    async fn read_store(&self) -> Result<Learned, SyncError> {
        let asked = self.node.now();
        let Some(after) = self.position.filter(|_| !self.forgotten) else {
            let batch = self.node.store.read_all().await?;
            return Ok(Learned { batch, whole: true, proven: Proof::Read(asked), contact: asked });
        };
        let batch = self.node.store.watch(after, WATCH).await?;
        let waited = if batch.items.is_empty() { WATCH } else { Millis(0) };
        let contact = self.node.now();
        Ok(Learned { batch, whole: false, proven: Proof::Watch(asked, waited), contact })
    }

    /// Asks another node, for no longer than until the store has to be called.
    async fn ask_patiently(&self, peer: &Peer, reader: bool) -> Result<Learned, SyncError> {
        let Some(left) = self.sources.query_timeout(reader, self.node.now()) else {
            return self.ask(peer, ASK).await;
        };
        let left = left.max(ASK_LEAST);
        tokio::time::timeout(left.duration(), self.ask(peer, ASK))
            .await
            .unwrap_or(Err(SyncError::Overdue(left)))
    }

    async fn ask(&self, peer: &Peer, wait: Millis) -> Result<Learned, SyncError> {
        let asked = self.node.now();
        let question = ChangeQuery { after: self.position, wait_ms: wait.0 };
        let told = peer::poll_changes(&self.client, peer.address, question).await?;
        let silence = Millis(told.silence_ms);
        if !self.sources.accepts(silence) {
            return Err(SyncError::Old(silence));
        }
        if told.position < self.newest {
            return Err(SyncError::Behind { there: told.position, here: self.newest });
        }
        let batch = Batch { items: feed::unpack(&told.items)?, position: told.position };
        // The answer was given after it was asked for and had waited.
        let answered = asked + Millis(told.waited_ms);
        let proven = Proof::Read(answered - Millis(told.age_ms));
        Ok(Learned { batch, whole: told.whole, proven, contact: answered - silence })
    }

    async fn take(&mut self, learned: Learned, serving: bool) {
        if !self.reached {
            log::info!("sync: the store is reached again, at {}", learned.batch.position);
            self.node.roster.lock().start_grace_period(self.node.now());
        }
        self.reached = true;
        self.forgotten = false;
        let before = self.newest;
        self.position = Some(learned.batch.position);
        self.newest = before.max(learned.batch.position);
        let changes = learned.batch.items.len();
        let started = before != Position::default();
        take_in(&self.node, learned, started.then_some(before));
        self.node.feed.set_serving(serving);
        if changes > 0 {
            let pause = if self.node.is_deciding() { GATHER_DECIDING } else { GATHER };
            tokio::time::sleep(pause.duration()).await;
        }
    }
}

/// Takes runners as gone whose time to come back is over, until the process ends.
pub async fn run_expiry(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EXPIRE.duration()).await;
        let gone = node.roster.lock().expire(node.now());
        for id in &gone {
            log::info!("roster: {id} did not come back with the store and is taken as gone");
            node.ledger.lock().forget(id);
        }
        if !gone.is_empty() {
            node.fleet_changed.notify_one();
        }
    }
}
