//! Keeps the node's copy of the platform's store up to date.
//!
//! The node reads the store itself, or polls another node for changes: the decider, or a reader of
//! its hall.

use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_fleet::directory::Peer;
use cottoncrank_fleet::first_copy::{Answer, Asks, Step};
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::progress::Progress;
use cottoncrank_fleet::settings::Settings;
use cottoncrank_fleet::source::{Failure, Source, Sources};
use cottoncrank_net::client::{CallError, Client, Traffic};
use cottoncrank_platform::store::{Batch, Contents, Cut, Reading, StoreError};
use rand::Rng;
use thiserror::Error;

use crate::apply::{Extent, Proof, Update, apply_update};
use crate::catchup;
use crate::era;
use crate::feed::{self, UnpackError};
use crate::peer::{self, ChangeQuery, NO_COPY, PollError};
use crate::registration;
use crate::state::Node;
use crate::telemetry;

/// How long one watch of the store waits for a change. An answer without changes proves that the
/// node's copy is current. A watch on a dead connection is noticed after this time and the store client's
/// slack. Together they stay well below the two seconds in which a configuration has to be in force,
/// also at nodes that poll this one.
const WATCH_TIMEOUT: Millis = Millis(700);

/// How long a change poll asks the other node to wait. This is longer than a watch, because the other
/// node answers when its own watch ends.
const QUERY_WAIT: Millis = Millis(1000);

/// How long a node that is behind waits for the answer of another node before it tries the next one.
/// Queries that wait for no change are answered within about 10 ms.
const CATCH_UP_TIMEOUT: Millis = Millis(100);

/// A query that fails within this time was refused or disconnected immediately, so that a retry costs
/// nothing.
const FAST_FAILURE: Millis = Millis(100);

/// The minimum timeout of a query, even if the store is due to be called. Nodes of another hall answer
/// within about 10 ms.
const MIN_QUERY_TIMEOUT: Millis = Millis(100);

/// The pause after a batch of changes, so that the next watch returns several changes at once. Each
/// watch costs a call, and the strictest bound on staleness is two seconds.
const BATCH_DELAY: Millis = Millis(150);

/// The same pause at the decider. It is shorter because groups are stalled until the decider knows of a
/// change.
const DECIDER_BATCH_DELAY: Millis = Millis(50);

/// How long a node waits when the whole system starts for the first time, plus up to half of that as
/// jitter. The other nodes need about 0.2 s to write their entries, and callers connect seconds later.
const FIRST_START_DELAY: Millis = Millis(400);

/// How many readers a starting node queries in each round. A dead reader costs 0.4 s.
const READERS_PER_ROUND: usize = 2;

/// The pause after a read of the store that could not be finished. No change is learned of meanwhile, and a
/// configuration has to be in force within two seconds.
const PART_PAUSE: Millis = Millis(1000);

/// A pause from which on it is logged, as callers notice it.
const LOGGED_PAUSE: Millis = Millis(1000);

/// How often the node checks for runners whose entries lapsed while the store was unreachable and whose
/// grace period is over.
const EXPIRY_INTERVAL: Millis = Millis(250);

/// Why a source returned no usable update.
#[derive(Debug, Error)]
enum SyncError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("node: {0}")]
    Query(#[from] PollError),
    #[error("node: {0}")]
    Unpack(#[from] UnpackError),
    #[error("node: it may have missed changes of the store for the last {0}")]
    Stale(Millis),
    #[error("node: no answer within {0}; the store is called next")]
    Timeout(Millis),
    #[error("node: its store position {remote} is older than {local} here")]
    Behind { remote: Position, local: Position },
}

impl SyncError {
    /// Returns how the queried node failed, for the choice of the next source.
    fn failure(&self, took: Millis) -> Failure {
        match self {
            SyncError::Query(PollError::Call(CallError::Status { .. }))
            | SyncError::Stale(_)
            | SyncError::Behind { .. } => Failure::Stale,
            SyncError::Query(PollError::Call(CallError::Connect { .. } | CallError::Broken { .. }))
                if took < FAST_FAILURE =>
            {
                Failure::Disconnected
            }
            _ => Failure::TimedOut,
        }
    }

    /// Returns what the queried node answered a node that starts.
    fn classify(&self, took: Millis) -> Answer {
        match self {
            SyncError::Query(PollError::Call(CallError::Status { status, .. })) if *status == NO_COPY => {
                Answer::Empty
            }
            _ if self.failure(took) == Failure::Stale => Answer::Pending,
            _ => Answer::Silent,
        }
    }

    /// Returns the metric label of this error.
    fn reason(&self) -> &'static str {
        match self {
            SyncError::Query(PollError::Call(CallError::Status { .. })) => "unsure",
            SyncError::Store(StoreError::Busy(_)) => "refused",
            SyncError::Query(PollError::Call(_))
            | SyncError::Store(StoreError::Call(_))
            | SyncError::Timeout(_) => "no_answer",
            SyncError::Stale(_) => "old",
            SyncError::Behind { .. } => "behind",
            SyncError::Query(PollError::Unpack(_)) | SyncError::Unpack(_) | SyncError::Store(_) => {
                "unreadable"
            }
        }
    }
}

/// A read of everything that has not come to its end.
struct Unfinished {
    reading: Reading,
    progress: Progress,
}

impl Unfinished {
    fn new(now: Millis) -> Unfinished {
        Unfinished { reading: Reading::default(), progress: Progress::new(now) }
    }
}

/// Follows the store for this node.
struct Syncer {
    node: Arc<Node>,
    client: Client,
    position: Option<Position>,
    /// Whether the store has compacted the changes after `position`, or they are too large for one answer. A
    /// call to the store then reads everything, but other nodes may still have these changes.
    history_compacted: bool,
    /// The read that stopped at a page, or runs.
    unfinished: Option<Unfinished>,
    /// The latest position that was known here. An answer of another node must not be older, even if
    /// everything is read again.
    newest_position: Position,
    sources: Sources,
    /// Whether the last attempt reached the store, directly or through another node.
    store_reached: bool,
    /// When the latest call to the store began that failed.
    store_failed_at: Millis,
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
        unfinished: None,
        newest_position: Position::default(),
        sources,
        store_reached: true,
        store_failed_at: Millis(0),
    };
    syncer.bootstrap().await;
    loop {
        syncer.sync_once().await;
    }
}

impl Syncer {
    /// Copies the store from a reader of the hall, if one has a copy or may have one soon.
    async fn bootstrap(&mut self) {
        let settings = self.node.settings();
        if settings.first_start {
            let pause = FIRST_START_DELAY.0 + rand::rng().random_range(0..FIRST_START_DELAY.0 / 2);
            tokio::time::sleep(Millis(pause).duration()).await;
        }
        let (mut asks, began) = (Asks::default(), self.node.now());
        loop {
            if self.list_start_readers(&settings, 0).is_empty() && !self.read_peers(&settings).await {
                return;
            }
            let Some(answers) = self.query_start_readers(&settings, asks.rounds()).await else { return };
            let step = {
                let directory = self.node.directory.lock();
                asks.record(&answers, &directory, self.node.now(), &mut rand::rng())
            };
            match step {
                Step::Ask(pause) => tokio::time::sleep(pause.duration()).await,
                Step::Read(pause) => {
                    let asked = self.node.now().since(began);
                    if !answers.is_empty() {
                        log::info!(
                            "sync: asked readers for {asked}, none has a copy; reads the store in {pause}"
                        );
                    }
                    return tokio::time::sleep(pause.duration()).await;
                }
            }
        }
    }

    /// Reads the entries of this hall's nodes from the store. Returns whether that succeeded.
    async fn read_peers(&self, settings: &Settings) -> bool {
        match self.node.store.read_stale_own_items(&registration::format_prefix(&settings.hall)).await {
            Ok(items) => registration::apply_entries(&self.node, &items),
            Err(error) => {
                log::info!("sync: the entries of other nodes cannot be read: {error}");
                return false;
            }
        }
        true
    }

    /// Queries readers of the hall for everything that the store holds. Returns their answers if none of them
    /// had it.
    async fn query_start_readers(&mut self, settings: &Settings, round: usize) -> Option<Vec<Answer>> {
        let mut answers = Vec::new();
        for reader in self.list_start_readers(settings, round) {
            let asked = self.node.now();
            match self.query(&reader, Millis(0)).await {
                Ok(update) => {
                    self.sources.record_answer(update.last_contact, self.node.now());
                    self.advance(update, false, asked).await;
                    return None;
                }
                Err(error) => {
                    log::info!("sync: {} returned no copy of the store: {error}", reader.node);
                    answers.push(error.classify(self.node.now().since(asked)));
                }
            }
        }
        Some(answers)
    }

    /// Lists the readers that a starting node queries in a round: in each the next ones.
    fn list_start_readers(&self, settings: &Settings, round: usize) -> Vec<Peer> {
        let directory = self.node.directory.lock();
        let readers = directory.list_local_readers(&settings.node, &settings.hall);
        let count = readers.len().min(READERS_PER_ROUND);
        readers.into_iter().cycle().skip(round * count).take(count).cloned().collect()
    }

    /// Obtains one update from the current source and applies it, or records why there was none.
    async fn sync_once(&mut self) {
        let mut resumed = self.node.resumed.subscribe();
        let behind = catchup::check(&self.node);
        let source = self.pick_source();
        let began = self.node.now();
        if matches!(source, Source::Reader(_)) {
            self.node.feed.set_serving(false);
        }
        if let Source::Wait(pause) = source {
            self.record_unreachable();
            if pause >= LOGGED_PAUSE {
                log::info!("sync: asks again in {pause}, now at {}", self.format_position());
            }
            return self.rest(pause).await;
        }
        let outcome = tokio::select! {
            biased;
            outcome = self.fetch(&source, behind) => Some(outcome),
            _ = resumed.changed() => None,
        };
        catchup::check(&self.node);
        let now = self.node.now();
        // A call that lasted while the process did not run says nothing about its source.
        let was_interrupted = self.node.catchup.lock().has_resumed_since(began);
        let Some(outcome) = outcome.filter(|outcome| outcome.is_ok() || !was_interrupted) else {
            self.unfinished = None;
            return;
        };
        match (outcome, source) {
            (Ok(update), Source::Store) => {
                self.sources.record_store_answer(update.last_contact, now);
                // A read of everything may have begun before this call.
                let asked = began.min(update.last_contact);
                self.advance(update, true, asked).await;
            }
            (Ok(update), source) => {
                self.sources.record_answer(update.last_contact, now);
                let serving = !matches!(source, Source::Reader(_));
                self.advance(update, serving, began).await;
            }
            (Err(SyncError::Store(error @ (StoreError::Compacted | StoreError::TooManyChanges))), _) => {
                log::warn!("sync: {error}, now at {}", self.format_position());
                self.unfinished = None;
                self.record_compaction(now);
            }
            (Err(SyncError::Store(error @ StoreError::Restored(_))), _) => {
                log::warn!("sync: {error}; reading the whole store again, now at {}", self.format_position());
                self.position = None;
                self.unfinished = None;
            }
            (Err(error), Source::Reader(peer) | Source::Upstream(peer)) => {
                telemetry::count_source_failure("node", error.reason());
                log::info!("sync: no update from {}: {error}", peer.node);
                self.sources.record_failure(peer.node, error.failure(now.since(began)), now);
            }
            (Err(error), Source::Store | Source::Wait(_)) => {
                telemetry::count_source_failure("store", error.reason());
                if self.store_reached {
                    log::warn!("sync: {error}; continuing with the copy at {}", self.format_position());
                }
                self.record_unreachable();
                self.record_stop(&error, now);
                self.store_failed_at = began;
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

    /// Waits for `pause`. A node without a copy of the store knows no other node that could send one, and rests
    /// for long; it ends the rest once the store takes what it writes.
    async fn rest(&mut self, pause: Millis) {
        let mut taken = self.node.store_taken.subscribe();
        let failed_at = self.store_failed_at;
        let is_back = taken.wait_for(|taken| taken.is_some_and(|began| began >= failed_at));
        tokio::select! {
            () = self.node.pause(pause) => {}
            _ = is_back, if self.position.is_none() => self.sources.record_store_return(),
        }
    }

    /// Records that the store failed. A read that has pages goes on with the next call, unless the error is no
    /// passing one.
    fn record_stop(&mut self, error: &SyncError, now: Millis) {
        if !matches!(error, SyncError::Store(error) if error.is_passing()) {
            self.unfinished = None;
        }
        let Some(unfinished) = &mut self.unfinished else { return };
        if unfinished.progress.record_stop(unfinished.reading.count_pages(), now) {
            self.sources.record_store_progress();
        }
    }

    fn format_position(&self) -> String {
        self.position.map_or("-".to_owned(), |position| position.to_string())
    }

    /// Records that the store no longer tells the changes that this node lacks. The node still polls other
    /// nodes from its own position. If all nodes read the whole store again at once, no other calls would
    /// get through.
    fn record_compaction(&mut self, now: Millis) {
        self.history_compacted = true;
        let settings = self.node.settings();
        let directory = self.node.directory.lock();
        let (deciding, rng) = (self.node.is_deciding(), &mut rand::rng());
        self.sources.record_compaction(&settings.node, &settings.hall, deciding, &directory, now, rng);
    }

    /// Records that no source can be reached. Runners' entries may lapse meanwhile, and this node stops
    /// answering change polls of other nodes.
    fn record_unreachable(&mut self) {
        self.store_reached = false;
        self.node.feed.record_unreachable();
    }

    /// Picks the next source. The decider and a node without a copy read the store, and use other nodes
    /// only if the store rejects them.
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

    /// Obtains an update from a source. A node that is `behind` does not wait for changes.
    async fn fetch(&mut self, source: &Source, behind: bool) -> Result<Update, SyncError> {
        match source {
            Source::Reader(peer) | Source::Upstream(peer) if behind => {
                let query = self.query(peer, Millis(0));
                let answer = tokio::time::timeout(CATCH_UP_TIMEOUT.duration(), query).await;
                answer.unwrap_or(Err(SyncError::Timeout(CATCH_UP_TIMEOUT)))
            }
            Source::Reader(peer) => self.query_within_timeout(peer, false).await,
            Source::Upstream(peer) => self.query_within_timeout(peer, true).await,
            Source::Store | Source::Wait(_) => self.read_store(behind).await,
        }
    }

    async fn read_store(&mut self, behind: bool) -> Result<Update, SyncError> {
        let asked = self.node.now();
        let Some(after) = self.position.filter(|_| !self.history_compacted) else {
            return self.read_all().await;
        };
        let wait = if behind { Millis(0) } else { WATCH_TIMEOUT };
        let batch = self.node.store.watch(after, wait).await?;
        let waited = if batch.items.is_empty() { wait } else { Millis(0) };
        let last_contact = self.node.now();
        Ok(Update { batch, extent: Extent::Changes, proof: Proof::Watch(asked, waited), last_contact })
    }

    /// Reads everything, or what a read lacks that stopped at a page.
    async fn read_all(&mut self) -> Result<Update, SyncError> {
        let now = self.node.now();
        let kept = self.unfinished.take().filter(|unfinished| unfinished.progress.is_kept(now));
        let unfinished = self.unfinished.insert(kept.unwrap_or_else(|| Unfinished::new(now)));
        let asked = unfinished.progress.began();
        let Contents { mut batch, cuts } = self.node.store.read_on(&mut unfinished.reading).await?;
        self.unfinished = None;
        if self.newest_position == Position::default() {
            era::ask_others(&self.node, &self.client, &mut batch).await;
        }
        cuts.iter().for_each(report_cut);
        let extent = if cuts.is_empty() { Extent::Whole } else { Extent::Part };
        let proof = match cuts.iter().any(Cut::is_of_operators) {
            true => Proof::None,
            false => Proof::Read(asked),
        };
        Ok(Update { batch, extent, proof, last_contact: asked })
    }

    /// Polls another node, at most until the store has to be called.
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
        let query = ChangeQuery { after: self.position, wait_ms: wait.0 };
        let reply = peer::poll_changes(&self.client, peer.address, query).await?;
        let staleness = Millis(reply.silence_ms);
        if !self.sources.accepts(staleness) {
            return Err(SyncError::Stale(staleness));
        }
        if reply.position < self.newest_position {
            return Err(SyncError::Behind { remote: reply.position, local: self.newest_position });
        }
        let batch = Batch { items: feed::unpack(&reply.items)?, position: reply.position };
        // The other node answered no earlier than the query was sent, plus the time that it held the
        // answer back.
        let answered = asked + Millis(reply.waited_ms);
        let proof = Proof::Read(answered - Millis(reply.age_ms));
        let extent = Extent::from_whole(reply.whole);
        Ok(Update { batch, extent, proof, last_contact: answered - staleness })
    }

    /// Applies an update, the answer to a call that began at `asked`. `serving` says whether this node
    /// answers change polls from now on.
    async fn advance(&mut self, update: Update, serving: bool, asked: Millis) {
        if !self.store_reached {
            log::info!("sync: the store is reachable again, at {}", update.batch.position);
            self.node.roster.lock().start_grace_period(self.node.now());
        }
        self.store_reached = true;
        self.unfinished = None;
        if update.extent == Extent::Part {
            return self.apply_part(update, asked).await;
        }
        self.history_compacted = false;
        let before = self.newest_position;
        self.position = Some(update.batch.position);
        self.newest_position = before.max(update.batch.position);
        // Whoever has read everything has waited long enough for it, and hears at once what follows.
        let batches = update.extent == Extent::Changes && !update.batch.items.is_empty();
        let started = before != Position::default();
        apply_update(&self.node, update, started.then_some(before));
        self.node.feed.set_serving(serving);
        catchup::record_answer(&self.node, asked);
        if batches {
            let pause = if self.node.is_deciding() { DECIDER_BATCH_DELAY } else { BATCH_DELAY };
            self.node.pause(pause).await;
        }
    }

    /// Applies a part of what the store holds, and pauses. This node stays at its position, and reads everything
    /// again, unless another one has it.
    async fn apply_part(&mut self, update: Update, asked: Millis) {
        let before = Some(self.newest_position).filter(|before| *before != Position::default());
        self.newest_position = self.newest_position.max(update.batch.position);
        apply_update(&self.node, update, before);
        self.node.feed.set_serving(false);
        catchup::record_answer(&self.node, asked);
        let jitter = rand::rng().random_range(0..PART_PAUSE.0 / 2);
        self.node.pause(PART_PAUSE + Millis(jitter)).await;
        if self.position.is_none() {
            let settings = self.node.settings();
            Box::pin(self.query_start_readers(&settings, 0)).await;
        }
    }
}

/// Logs and counts a list of the store that was not read to its end.
fn report_cut(cut: &Cut) {
    telemetry::count_cut_list(cut.reason());
    log::error!("store: {cut}");
}

/// Removes runners whose grace period is over, until the process ends.
pub async fn run_expiry(node: Arc<Node>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL.duration()).await;
        let gone = node.roster.lock().expire(node.now());
        for id in &gone {
            log::info!("roster: {id} did not write its entry again after the store came back; removed");
            node.ledger.lock().forget(id);
        }
        if !gone.is_empty() {
            node.fleet_changed.notify_one();
        }
    }
}
