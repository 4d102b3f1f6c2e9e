//! What a node knows, each part under its own lock.

use std::collections::{BTreeSet, HashMap};
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use cottoncrank::clock::System;
use cottoncrank::retry::Budget;
use cottoncrank::{Clock, Millis, id};
use cottoncrank_fleet::apportion::{Alone, Rations, Returns};
use cottoncrank_fleet::balance::Ledger;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::directory::Directory;
use cottoncrank_fleet::dispatch::{Dispatcher, Sample};
use cottoncrank_fleet::freshness::Freshness;
use cottoncrank_fleet::gossip::Peers;
use cottoncrank_fleet::interruptions::Interruptions;
use cottoncrank_fleet::limit::Limit;
use cottoncrank_fleet::occupancy::{self, Counts, Sum, View};
use cottoncrank_fleet::plan::Plans;
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::presence::Presence;
use cottoncrank_fleet::refusals;
use cottoncrank_fleet::retries::Pool;
use cottoncrank_fleet::roster::{Roster, Update};
use cottoncrank_fleet::runner::{Epoch, Incarnation, Runner};
use cottoncrank_fleet::said::Said;
use cottoncrank_fleet::settings::Settings;
use cottoncrank_fleet::stall::Stalls;
use cottoncrank_fleet::suspects::{Origin, Table};
use cottoncrank_fleet::trials::{Baseline, Trials};
use cottoncrank_net::client::{Client, Traffic};
use cottoncrank_platform::store::Store;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, watch};

use crate::crash::Findings;
use crate::denylist::Denylist;
use crate::feed::Feed;
use crate::figures;
use crate::flight::Lane;
use crate::invalid_items::{InvalidItems, ItemKind};
use crate::retries;
use crate::suspects;

/// The node that holds the lease for deciding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Where the lease's key was last written.
    pub position: Position,
    /// Whether the key goes with a lease. One that does not is no deciding node's: each
    /// writes it with the lease that it holds.
    pub leased: bool,
    /// The node; none if its name cannot be read.
    pub node: Option<id::Node>,
}

/// A node.
pub struct Node {
    /// Its settings, as last read.
    settings: Mutex<Arc<Settings>>,
    /// The platform's store.
    pub store: Store,
    /// Its clock.
    pub clock: System,
    /// The operators' configuration, once it is known.
    pub catalog: Mutex<Option<Arc<Catalog>>>,
    /// What is proven of the configuration's age.
    pub freshness: Mutex<Freshness>,
    /// Up to when this node surely knows all that the store held, as far as it can tell.
    pub contact: watch::Sender<Option<Millis>>,
    /// What the store holds, for other nodes.
    pub feed: Feed,
    /// The nodes.
    pub directory: Mutex<Directory>,
    /// As the collector of its hall, which of them it hears of.
    pub(crate) presence: Mutex<Presence>,
    /// Told when this node's own entry is gone from the store.
    pub(crate) entry_gone: Notify,
    /// The runners.
    pub roster: Mutex<Roster>,
    /// The plans of the groups, as the store tells.
    pub plans: Mutex<Plans>,
    /// Since when groups stand still, as far as this node has read it.
    pub halts: Mutex<Stalls>,
    /// Rises whenever a plan changes.
    pub plans_changed: watch::Sender<u64>,
    /// Items that could not be read, as far as the log tells of them.
    pub(crate) unreadable: Mutex<InvalidItems>,
    /// What was seen of the runners.
    pub ledger: Mutex<Ledger>,
    /// What runners have said of themselves.
    pub(crate) said: Mutex<Said>,
    /// Runners that turn requests away, as nodes tell each other.
    pub(crate) refusals: Mutex<refusals::Table>,
    /// As the collector of its hall, what the hall may send to runners that name a rate.
    pub(crate) rations: Mutex<Rations>,
    /// As the collector, when callers that found no place with them come back.
    pub(crate) returns: Mutex<Returns>,
    /// What this node may send them while no collector answers.
    pub(crate) alone: Mutex<Alone>,
    /// What the others have in flight, as this node was last told.
    pub view: Mutex<View>,
    /// As the collector of its hall, chooses groups for requests.
    pub dispatcher: Mutex<Dispatcher>,
    /// First events that the collector was not told of yet.
    pub(crate) samples: Mutex<Vec<Sample>>,
    /// Collectors that did not answer when told what is in flight.
    pub(crate) untold: Mutex<Denylist>,
    /// Collectors that did not answer a question for a group.
    pub(crate) unanswering: Mutex<Denylist>,
    /// Requests that end runners, as far as this node knows.
    pub suspects: Mutex<Table>,
    /// Up to where other nodes were told of them.
    pub(crate) book: Mutex<Peers>,
    /// How many groups or runners there usually are for requests.
    pub(crate) usual: Mutex<Baseline>,
    /// Runs of suspected requests that this node has let begin.
    pub(crate) trials: Mutex<Trials>,
    /// Tries that broke off at runners of which nothing could be found out.
    pub(crate) breaks: Mutex<Interruptions>,
    /// Rises whenever the process did not run for a while.
    pub(crate) woken: watch::Sender<u64>,
    /// Rises whenever a request is found to end runners.
    pub(crate) deadly_found: watch::Sender<u64>,
    /// Tells this process from others of the same node.
    pub(crate) instance: u64,
    /// What became of runners whose connections broke.
    pub(crate) findings: Mutex<Findings>,
    /// Asks other nodes for groups.
    pub(crate) client: Client,
    /// Told when a request at a runner ended.
    pub(crate) flight_ended: Notify,
    /// What nodes have told this one that they have in flight.
    pub reports: Mutex<occupancy::Table>,
    /// How many requests may be under way, by service and model.
    pub limits: Mutex<HashMap<Lane, Limit>>,
    /// Told when a request ended, and another one may begin.
    pub ended: Notify,
    /// Pays for requests that are sent again.
    pub retries: Mutex<Budget>,
    /// As the collector, the retries that it lends.
    pub(crate) pool: Mutex<Pool>,
    /// Who decides, as the store tells, if anyone does.
    pub decider: watch::Sender<Option<Holder>>,
    /// Told when runners or configuration have changed.
    pub changed: Notify,
    /// Whether the node is about to stop.
    pub draining: watch::Sender<bool>,
    /// Whether the node takes no requests any more.
    pub closed: watch::Sender<bool>,
    synced: watch::Sender<bool>,
    deciding: AtomicBool,
    pub(crate) serving: AtomicBool,
    pub(crate) running: AtomicUsize,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(settings: Settings) -> Arc<Node> {
        Arc::new(Node {
            store: Store::new(settings.store),
            settings: Mutex::new(Arc::new(settings)),
            feed: Feed::default(),
            directory: Mutex::default(),
            presence: Mutex::default(),
            entry_gone: Notify::new(),
            clock: System::new(),
            catalog: Mutex::default(),
            contact: watch::Sender::new(None),
            freshness: Mutex::default(),
            roster: Mutex::default(),
            plans: Mutex::default(),
            halts: Mutex::default(),
            plans_changed: watch::Sender::new(0),
            unreadable: Mutex::default(),
            ledger: Mutex::default(),
            said: Mutex::default(),
            refusals: Mutex::default(),
            rations: Mutex::default(),
            returns: Mutex::default(),
            alone: Mutex::default(),
            view: Mutex::default(),
            reports: Mutex::default(),
            dispatcher: Mutex::default(),
            samples: Mutex::default(),
            untold: Mutex::default(),
            unanswering: Mutex::default(),
            suspects: Mutex::default(),
            book: Mutex::default(),
            usual: Mutex::default(),
            trials: Mutex::default(),
            breaks: Mutex::default(),
            woken: watch::Sender::new(0),
            deadly_found: watch::Sender::new(0),
            instance: rand::rng().random(),
            findings: Mutex::default(),
            client: Client::new(Traffic::default()),
            flight_ended: Notify::new(),
            limits: Mutex::default(),
            ended: Notify::new(),
            retries: Mutex::new(Budget::new(0.0, 0.0)),
            pool: Mutex::default(),
            decider: watch::Sender::new(None),
            changed: Notify::new(),
            draining: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            synced: watch::Sender::new(false),
            deciding: AtomicBool::new(false),
            serving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        })
    }

    /// The settings, as last read.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.lock().clone()
    }

    /// Takes settings that were read anew.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.lock() = Arc::new(settings);
        retries::take_share(self);
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Waits for a point in time. A timer alone would be late by as long as the box was
    /// suspended.
    pub async fn wait_until(&self, end: Millis) {
        let mut woken = self.woken.subscribe();
        loop {
            let left = end.since(self.now());
            if left == Millis(0) {
                return;
            }
            // Either way the clock is looked at again.
            let _ = tokio::time::timeout(left.duration(), woken.changed()).await;
        }
    }

    /// Whether the store has been read whole once.
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow()
    }

    /// The store has been read whole.
    pub fn set_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Waits until the store has been read whole once, for `most` at the most.
    pub async fn wait_synced(&self, most: Millis) {
        if self.is_synced() {
            return;
        }
        let mut synced = self.synced.subscribe();
        // Either way what is known then decides.
        let _ = tokio::time::timeout(most.duration(), synced.wait_for(|synced| *synced)).await;
    }

    /// Whether this node decides for the fleet.
    pub fn is_deciding(&self) -> bool {
        self.deciding.load(Ordering::Relaxed)
    }

    /// Says whether this node decides for the fleet.
    pub fn set_deciding(&self, deciding: bool) {
        self.deciding.store(deciding, Ordering::Relaxed);
    }

    /// Whether a caller has sent a request yet.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// Whether keys of accounts may be honoured now.
    pub fn trusts_keys(&self) -> bool {
        self.freshness.lock().allows(self.now(), self.settings().bounds.revoke)
    }

    /// Takes a runner's entry in, and notices a new life of it.
    pub fn put_runner(&self, runner: Runner) {
        let (id, life) = (runner.id.clone(), runner.incarnation);
        let ended = self.breaks.lock().take_replaced(&id, runner.address, self.now());
        suspects::take(self, &ended, Origin::Hall);
        let notice = self.roster.lock().insert(runner);
        match (notice, life) {
            (Update::Restarted, Some(life)) => self.notice_restart(&id, life),
            (Update::Outdated, Some(life)) => {
                log::info!(
                    "roster: an entry of {id} in life {life} is older than what is known and is passed over"
                )
            }
            _ => {}
        }
    }

    /// A runner's entry cannot be read: it is not used any more. Requests that run there
    /// are not touched.
    pub fn discard_runner(&self, id: &id::Runner) {
        self.roster.lock().discard(id, self.now());
        self.ledger.lock().forget(id);
    }

    /// An item of the store cannot be read.
    pub(crate) fn note_unreadable(&self, key: &str, part: ItemKind, reason: &'static str, why: impl Display) {
        figures::count_unreadable(part.name(), reason);
        if self.unreadable.lock().should_log(key, self.now()) {
            log::error!("store: `{key}` ({}) is not used: {why}", part.name());
        }
    }

    /// A runner has said in which life it is.
    pub fn record_incarnation(&self, id: &id::Runner, life: Incarnation) {
        if self.roster.lock().record_incarnation(id, life) {
            self.notice_restart(id, life);
            self.changed.notify_one();
        }
    }

    /// A runner has said in an answer that it is about to leave.
    pub(crate) fn record_leaving(&self, id: &id::Runner, life: Option<Incarnation>) {
        if self.roster.lock().record_leaving(id, life) {
            log::info!("roster: {id} says that it is about to leave");
            metrics::counter!("cottoncrank_runners_leaving_total").increment(1);
            self.changed.notify_one();
        }
    }

    /// Forgets what was seen of a runner's former life.
    fn notice_restart(&self, id: &id::Runner, life: Incarnation) {
        log::info!("roster: {id} has started again, its life is now {life}");
        metrics::counter!("cottoncrank_runners_restarted_total").increment(1);
        self.ledger.lock().restart(id);
        let ended = self.breaks.lock().take_earlier(id, life, self.now());
        suspects::take(self, &ended, Origin::Hall);
    }

    /// This node knew all that the store held at `at`.
    pub fn note_contact(&self, at: Millis) {
        self.contact.send_if_modified(|contact| {
            let renewed = Some(at) > *contact;
            *contact = (*contact).max(Some(at));
            renewed
        });
    }

    /// For how long this node may have missed changes of the store.
    pub fn silence(&self) -> Option<Millis> {
        self.contact.borrow().map(|contact| self.now().since(contact))
    }

    /// Whether the configuration held here is surely one that may be in force. A node that
    /// may have missed changes for longer cannot say that there is no such route or key: it
    /// refused routes with 404 that had been accepted 3.7 s before. Contact does not tell:
    /// what arrives may have been under way for a second, and a watch deaf for another.
    pub fn knows_catalog(&self) -> bool {
        let bound = self.settings().bounds.apply;
        self.freshness.lock().allows(self.now(), Some(bound))
    }

    /// Whether the node takes callers.
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.is_synced() && self.catalog.lock().is_some() && self.trusts_keys()
    }

    /// The requests of this node in flight at each group.
    pub fn sum_in_flight(&self) -> Sum {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let busy = ledger.list_busy();
        Sum::of_node(busy.filter_map(|(id, count)| Some((find_epoch(&roster, id)?, count))).collect())
    }

    /// The requests of all nodes in flight at each group, if enough of them tell.
    pub fn sum_all_in_flight(&self) -> Option<Counts> {
        let mut own = self.sum_in_flight().counts;
        let view = self.view.lock();
        if !view.is_usable(self.now()) {
            return None;
        }
        for (epoch, count) in view.list() {
            *own.entry(*epoch).or_default() += count;
        }
        Some(own)
    }

    /// The groups that failed a request of this node lately, that do not get on, or whose heads
    /// want no requests from it: each node of a hall would else have to be turned away once.
    pub fn list_doubted(&self) -> Vec<Epoch> {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let said = self.said.lock();
        let doubted = ledger.list_doubted(self.now()).chain(said.backoffs.list(self.now()));
        let epochs: BTreeSet<Epoch> = doubted.filter_map(|id| find_epoch(&roster, id)).collect();
        epochs.into_iter().collect()
    }

    /// The groups whose heads want no requests from this node.
    pub(crate) fn list_unwilling(&self) -> Vec<Epoch> {
        let (roster, ledger) = (self.roster.lock(), self.ledger.lock());
        let said = self.said.lock();
        let unwilling = said.backoffs.list(self.now()).chain(ledger.list_refusing(self.now()));
        unwilling.filter_map(|id| find_epoch(&roster, id)).collect()
    }
}

/// The forming of the group that a runner is in.
fn find_epoch(roster: &Roster, id: &id::Runner) -> Option<Epoch> {
    Some(roster.get_last_known(id)?.membership.as_ref()?.epoch)
}
