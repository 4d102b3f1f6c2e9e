//! What the tasks of one controller share. Each part has a lock of its own,
//! and none is held while waiting.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use cottoncrank::clock::System;
use cottoncrank::config;
use cottoncrank::decide::Hold;
use cottoncrank::domain;
use cottoncrank::member::{Member, list_members};
use cottoncrank::row::{self, Body, Key};
use cottoncrank::table::Table;
use cottoncrank::view::View;
use cottoncrank::{Clock, Millis, id};
use cottoncrank_net::client::Client;
use cottoncrank_net::store::Store;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::settings::Settings;

/// The least time between two rows of this node about itself in a burst.
const SELF_EVERY: Millis = Millis(1000);

/// How long a new node listens before it takes its share, when it meets peers.
const SETTLED: Millis = Millis(1000);

/// Answered exchanges that it has to have made by then.
const SETTLED_EXCHANGES: u64 = 5;

/// How long it listens when it meets nobody.
const ALONE: Millis = Millis(4000);

/// A domain's document as this node last read or wrote it.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// The store's revision.
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
    /// When this life began.
    pub incarnation: id::Incarnation,
    /// The client for other controllers.
    pub peers: Client,
    /// The client for runners and the list.
    pub client: Client,
    /// The client of the store.
    pub store: Store,
    /// The facts.
    pub table: Mutex<Table>,
    /// The configuration in force here.
    pub config: Mutex<config::Document>,
    /// The documents of the domains this node decides for.
    pub documents: Mutex<BTreeMap<id::Domain, Held>>,
    /// Why groups are not as configured, by domain.
    pub holds: Mutex<HashMap<id::Domain, Vec<Hold>>>,
    /// What the entry of this box is told.
    pub view: watch::Sender<View>,
    /// Wakes the gossip when something is urgent.
    pub urgent: Notify,
    /// Wakes the view when a fact has changed.
    pub fresh: Notify,
    /// Bytes that gossip may still send; see [`crate::gossip`].
    pub allowance: Mutex<crate::gossip::Allowance>,
    leaving: AtomicBool,
    met: AtomicU64,
    proposals: AtomicU64,
}

impl State {
    /// The state of a controller that begins now.
    pub fn new(settings: Settings, peers: Client, client: Client, store: Store, clock: System) -> State {
        let now = clock.now();
        // Nodes that start in the same millisecond differ by their name.
        let seed = cottoncrank::hash::hash(settings.node.as_str().as_bytes()) << 32;
        State {
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
            fresh: Notify::new(),
            allowance: Mutex::new(crate::gossip::Allowance::new(now)),
            leaving: AtomicBool::new(false),
            met: AtomicU64::new(0),
            proposals: AtomicU64::new(seed ^ now.0),
            settings,
        }
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A mark for a write that no other write has.
    pub fn next_proposal(&self) -> id::Proposal {
        id::Proposal(self.proposals.fetch_add(1, Ordering::Relaxed))
    }

    /// Every node known.
    pub fn members(&self) -> Vec<Member> {
        list_members(&self.table.lock(), self.now())
    }

    /// Notes an exchange that this node began and a peer answered.
    pub fn note_met(&self) {
        self.met.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether this node knows enough of the others to take its share of the
    /// work. One that has just started takes itself for the only one, and a
    /// whole fleet of them would ask the store and the runners for everything.
    pub fn is_settled(&self) -> bool {
        let up = self.now().since(Millis(self.incarnation.0));
        let met = self.met.load(Ordering::Relaxed) >= SETTLED_EXCHANGES;
        up >= ALONE || (met && up >= SETTLED)
    }

    /// Says that this node is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.write_self();
        self.urgent.notify_one();
    }

    /// Brings this node's own row up to date.
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

    /// Like [`State::write_self`], at most once in [`SELF_EVERY`]: in a burst of
    /// configuration changes only some revisions are worth telling.
    pub fn write_self_now_and_then(&self) {
        let key = Key::Node(self.settings.node.clone());
        let last = self.table.lock().get(&key).map_or(Millis(0), |held| held.since);
        if self.now().since(last) >= SELF_EVERY {
            self.write_self();
        }
    }

    /// Writes a row of this node's and wakes whoever has to know.
    pub fn write(&self, key: Key, body: Body) {
        let mut table = self.table.lock();
        if !table.write(key.clone(), body, self.now()) {
            return;
        }
        let urgent = table.get(&key).is_some_and(|held| held.row.urgency() <= row::Urgency::Start);
        drop(table);
        self.fresh.notify_one();
        if urgent {
            self.urgent.notify_one();
        }
    }

    /// Takes a configuration in if it is newer; returns whether it was.
    pub fn adopt(&self, delta: config::Delta, from: &str) -> bool {
        let revision = delta.revision;
        if !self.config.lock().apply(delta) {
            return false;
        }
        log::info!("config: revision {revision} is in force here, learned from {from}");
        metrics::gauge!("cottoncrank_config_revision").set(revision.0 as f64);
        self.fresh.notify_one();
        self.urgent.notify_one();
        true
    }
}
