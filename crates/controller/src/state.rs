//! State shared by the tasks of one controller. Each part has its own lock, and no
//! lock is held across an await.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cottoncrank::clock::System;
use cottoncrank::config;
use cottoncrank::decide::Hold;
use cottoncrank::domain;
use cottoncrank::member::{Member, list_members};
use cottoncrank::resources::Machine;
use cottoncrank::row::{self, Body, Key};
use cottoncrank::table::Table;
use cottoncrank::view::View;
use cottoncrank::{Clock, Millis, id};
use cottoncrank_net::client::Client;
use cottoncrank_net::resources::Resources;
use cottoncrank_net::store::Store;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::settings::Settings;

/// Shortest time between two updates of this node's own row in a burst of changes.
const SELF_ROW_INTERVAL: Millis = Millis(1000);

/// Shortest time that a new node gossips before it takes a share of the work.
const JOIN_MIN_WAIT: Millis = Millis(1000);

/// Successful exchanges that a new node needs before it takes a share of the work.
const JOIN_MIN_EXCHANGES: u64 = 5;

/// Time after which a new node takes a share of the work even without peers.
const JOIN_TIMEOUT: Millis = Millis(4000);

/// A domain's document as this node last read it from the store or wrote it.
#[derive(Clone, Debug, Default)]
pub struct StoredDocument {
    /// The store's revision of the document.
    pub revision: u64,
    /// The document.
    pub document: domain::Document,
}

/// The state of one controller.
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: System,
    /// What others fill of this process.
    pub resources: Resources,
    /// The incarnation of this process, its start time.
    pub incarnation: id::Incarnation,
    /// The client for other controllers.
    pub peers: Client,
    /// The client for runners and the list.
    pub client: Client,
    /// The client of the store.
    pub store: Store,
    /// The rows replicated by gossip.
    pub table: Mutex<Table>,
    /// The configuration in force on this node.
    pub config: Mutex<config::Document>,
    /// The documents of the domains this node decides for.
    pub documents: Mutex<BTreeMap<id::Domain, StoredDocument>>,
    /// Why groups differ from their configuration, by domain.
    pub holds: Mutex<HashMap<id::Domain, Vec<Hold>>>,
    /// The routing view of the entry of this box.
    pub view: watch::Sender<View>,
    /// Notifies the gossip task of an urgent row.
    pub urgent: Notify,
    /// Notifies the view task of a changed row or configuration.
    pub table_changed: Notify,
    /// Limits the bytes that gossip sends; see [`crate::gossip`].
    pub send_budget: Mutex<crate::gossip::SendBudget>,
    leaving: AtomicBool,
    exchanges: AtomicU64,
    proposals: AtomicU64,
}

impl State {
    /// Creates the state of a controller that starts now.
    pub fn new(settings: Settings, peers: Client, client: Client, store: Store, clock: System) -> State {
        let now = clock.now();
        // The hash of the name keeps ids distinct between nodes that start in the same millisecond.
        let seed = cottoncrank::hash::hash(settings.node.as_str().as_bytes()) << 32;
        let machine = Machine::of_process(settings.memory);
        State {
            resources: Resources::new(&machine, clock.clone()),
            incarnation: id::Incarnation(now.0),
            clock,
            peers,
            client,
            store,
            table: Mutex::default(),
            config: Mutex::default(),
            documents: Mutex::default(),
            holds: Mutex::default(),
            view: watch::channel(View::default()).0,
            urgent: Notify::new(),
            table_changed: Notify::new(),
            send_budget: Mutex::new(crate::gossip::SendBudget::new(now)),
            leaving: AtomicBool::new(false),
            exchanges: AtomicU64::new(0),
            proposals: AtomicU64::new(seed ^ now.0),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns a unique id for a write.
    pub fn next_proposal(&self) -> id::Proposal {
        id::Proposal(self.proposals.fetch_add(1, Ordering::Relaxed))
    }

    /// Lists all known nodes.
    pub fn members(&self) -> Vec<Member> {
        list_members(&self.table.lock(), self.now())
    }

    /// Counts an exchange that this node initiated and a peer answered.
    pub fn count_exchange(&self) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether this node knows enough peers to take its share of the work. Right after
    /// its start a node knows only itself, so without this delay every node of a fleet
    /// that starts at once would query the store and all runners.
    pub fn has_joined(&self) -> bool {
        let up = self.now().since(Millis(self.incarnation.0));
        let enough_exchanges = self.exchanges.load(Ordering::Relaxed) >= JOIN_MIN_EXCHANGES;
        up >= JOIN_TIMEOUT || (enough_exchanges && up >= JOIN_MIN_WAIT)
    }

    /// Announces that this node is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.write_self();
        self.urgent.notify_one();
    }

    /// Updates this node's own row.
    pub fn write_self(&self) {
        let node = row::Node {
            hall: self.settings.hall.clone(),
            peer: self.settings.listen,
            entry: self.settings.entry,
            incarnation: self.incarnation,
            revision: self.config.lock().revision,
            leaving: self.leaving.load(Ordering::Relaxed),
        };
        let key = Key::Node(self.settings.node.clone());
        self.table.lock().write(key, Body::Node(node), self.now());
    }

    /// Like [`State::write_self`], but at most once per [`SELF_ROW_INTERVAL`], because in
    /// a burst of configuration changes not every revision needs to be announced.
    pub fn write_self_throttled(&self) {
        let key = Key::Node(self.settings.node.clone());
        let last = self.table.lock().get(&key).map_or(Millis(0), |held| held.since);
        if self.now().since(last) >= SELF_ROW_INTERVAL {
            self.write_self();
        }
    }

    /// Writes a row owned by this node and notifies the view and gossip tasks.
    pub fn write(&self, key: Key, body: Body) {
        let mut table = self.table.lock();
        if !table.write(key.clone(), body, self.now()) {
            return;
        }
        let urgent = table.get(&key).is_some_and(|held| held.row.urgency() <= row::Urgency::Start);
        drop(table);
        self.table_changed.notify_one();
        if urgent {
            self.urgent.notify_one();
        }
    }

    /// Applies a configuration if it is newer than the one in force. Returns whether it was.
    pub fn adopt(&self, delta: config::Delta, from: &str) -> bool {
        let revision = delta.revision;
        if !self.config.lock().apply(delta) {
            return false;
        }
        log::info!("config: revision {revision} is in force here, learned from {from}");
        metrics::gauge!("cottoncrank_config_revision").set(revision.0 as f64);
        self.table_changed.notify_one();
        self.urgent.notify_one();
        true
    }
}
