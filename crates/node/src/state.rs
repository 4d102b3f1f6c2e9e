//! The state of a node. Each part has its own lock.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use cottoncrank::clock::{self, System};
use cottoncrank::resources::Machine;
use cottoncrank::{Clock, Millis, id};
use cottoncrank_fleet::activity::Activity;
use cottoncrank_fleet::allocation::{Allocations, LocalBuckets, RetrySchedule};
use cottoncrank_fleet::balance::Ledger;
use cottoncrank_fleet::catalog::Catalog;
use cottoncrank_fleet::catchup::Tracker;
use cottoncrank_fleet::directory::{Directory, Millicores};
use cottoncrank_fleet::dispatch::{Dispatcher, Sample};
use cottoncrank_fleet::feedback::Feedback;
use cottoncrank_fleet::freshness::Freshness;
use cottoncrank_fleet::gossip::Peers;
use cottoncrank_fleet::interruptions::Interruptions;
use cottoncrank_fleet::limit::Limit;
use cottoncrank_fleet::occupancy::{self, FleetLoad};
use cottoncrank_fleet::overload::{Moment, Overload};
use cottoncrank_fleet::past::Past;
use cottoncrank_fleet::path::Paths;
use cottoncrank_fleet::plan::Plans;
use cottoncrank_fleet::position::Position;
use cottoncrank_fleet::presence::Presence;
use cottoncrank_fleet::rejections;
use cottoncrank_fleet::retries::{Allowance, Pool};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::settings::Settings;
use cottoncrank_fleet::stall::Stalls;
use cottoncrank_fleet::suspects::Table;
use cottoncrank_fleet::trials::{Baseline, Trials};
use cottoncrank_net::client::{Client, Traffic};
use cottoncrank_net::reach::Reach;
use cottoncrank_net::resources::Resources;
use cottoncrank_platform::flaw::Receiver;
use cottoncrank_platform::store::Store;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::{Notify, watch};

use crate::admission;
use crate::connect::Opening;
use crate::crash::Findings;
use crate::denylist::Denylist;
use crate::evacuation;
use crate::feed::Feed;
use crate::in_flight::ModelKey;
use crate::invalid_items::ItemKind;
use crate::invalid_lines::InvalidLines;
use crate::pressure;
use crate::reading;
use crate::returns;
use crate::supervise::Turns;
use crate::telemetry;
use crate::tunnel::Carried;
use crate::unread::ClosedUnread;

/// A whole core.
const FULL_CORE: Millicores = Millicores(1000);

/// The decider lease, as the store last had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeciderLease {
    /// The store position at which the lease's key was last written.
    pub position: Position,
    /// Whether the key is bound to a lease of the store. A decider always writes the key with the
    /// lease that it holds, so a key without one belongs to no decider.
    pub leased: bool,
    /// The node that holds the lease, or `None` if its name is invalid.
    pub node: Option<id::Node>,
}

/// The state that the tasks of a node share.
pub struct Node {
    /// The settings as last read.
    settings: Mutex<Arc<Settings>>,
    /// The client of the platform's store.
    pub store: Store,
    /// The runners that this node cannot reach, for tests of partitions.
    pub reach: Reach,
    /// The clock, which also counts the time that the box was suspended.
    pub clock: System,
    /// What callers fill of this process.
    pub resources: Resources,
    /// The operators' configuration, once it has been received.
    pub catalog: Mutex<Option<Arc<Catalog>>>,
    /// The proof of freshness of the configuration.
    pub freshness: Mutex<Freshness>,
    /// The latest time up to which this node knows every change of the store, by its own estimate.
    pub last_contact: watch::Sender<Option<Millis>>,
    /// The content of the store, kept for the nodes that poll this one.
    pub feed: Feed,
    /// The known nodes and their addresses.
    pub directory: Mutex<Directory>,
    /// Whether any node may hold what the store has lost.
    pub(crate) past: Mutex<Past>,
    /// As the collector of its hall, which nodes send in-flight reports.
    pub(crate) presence: Mutex<Presence>,
    /// Notified when this node's own entry is removed from the store.
    pub(crate) entry_gone: Notify,
    /// The known runners.
    pub roster: Mutex<Roster>,
    /// What this node remembers of evacuations of halls.
    pub(crate) evacuations: evacuation::State,
    /// The domain plans, as the store has them.
    pub plans: Mutex<Plans>,
    /// Since when retired groups are stalled, by the plans that this node has read.
    pub stalls: Mutex<Stalls>,
    /// Counts the changes of plans.
    pub plans_changed: watch::Sender<u64>,
    /// The log lines about invalid items of the store.
    pub(crate) invalid_items: Arc<InvalidLines>,
    /// What this node observed of each runner: requests in flight, failures, rejections.
    pub ledger: Mutex<Ledger>,
    /// The network paths to the runners of each hall.
    pub(crate) paths: Mutex<Paths>,
    /// What runners reported about themselves in answers.
    pub(crate) feedback: Mutex<Feedback>,
    /// Rejecting runners, as the nodes report them to each other.
    pub(crate) rejections: Mutex<rejections::Table>,
    /// As the collector of its hall, the hall's shares of the rates of rate-limited runners.
    pub(crate) allocations: Mutex<Allocations>,
    /// As the collector, when callers that got no permit for such runners are to retry.
    pub(crate) retry_schedule: Mutex<RetrySchedule>,
    /// The requests that this node may send to such runners while no collector answers.
    pub(crate) fallback_limits: Mutex<LocalBuckets>,
    /// The in-flight requests of the other nodes, as last received.
    pub fleet_load: Mutex<FleetLoad>,
    /// As the collector of its hall, picks groups for requests.
    pub dispatcher: Mutex<Dispatcher>,
    /// Admission of requests of different priority.
    pub(crate) admission: admission::State,
    /// As the collector, the returns of refused callers.
    pub(crate) returns: returns::State,
    /// The requests refused for want of room.
    pub(crate) pressure: pressure::State,
    /// First-event delays that have not been sent to the collector yet.
    pub(crate) unsent_samples: Mutex<Vec<Sample>>,
    /// Collectors that did not answer an in-flight report. They are avoided for a while.
    pub(crate) unreachable_for_reports: Mutex<Denylist>,
    /// Collectors that did not answer a query. They are avoided for a while.
    pub(crate) unreachable_for_queries: Mutex<Denylist>,
    /// Nodes that did not carry a tunnel. They are avoided for a while.
    pub(crate) unreachable_for_tunnels: Mutex<Denylist>,
    /// The tunnels that this node is opening through others.
    pub(crate) opening_tunnels: Opening,
    /// The tunnels that this node carries for others.
    pub carried_tunnels: Carried,
    /// The evidence about requests that crash the runners that execute them.
    pub suspects: Mutex<Table>,
    /// How much of that evidence each other node already has.
    pub(crate) gossip_peers: Mutex<Peers>,
    /// The usual number of groups or runners that can take a request.
    pub(crate) trial_baseline: Mutex<Baseline>,
    /// The trial runs of suspected requests that this node has started.
    pub(crate) trials: Mutex<Trials>,
    /// Interrupted attempts at runners that may have crashed; it is not known yet.
    pub(crate) interruptions: Mutex<Interruptions>,
    /// Whether this process has heard what it missed while it did not run.
    pub(crate) catchup: Mutex<Tracker>,
    /// Whether it has not yet, for requests that wait for that.
    pub(crate) behind: watch::Sender<bool>,
    /// Counts the suspensions of this process.
    pub(crate) resumed: watch::Sender<u64>,
    /// When the latest write of this node's entry began that the store took.
    pub(crate) store_taken: watch::Sender<Option<Millis>>,
    /// Counts the requests that were found to be deadly.
    pub(crate) deadly_found: watch::Sender<u64>,
    /// Distinguishes this process from earlier ones of the same node.
    pub(crate) instance: u64,
    /// Whether runners whose connections broke have crashed.
    pub(crate) findings: Mutex<Findings>,
    /// The client for queries to other nodes.
    pub(crate) client: Client,
    /// Notified when a request at a runner ends.
    pub(crate) attempt_ended: Notify,
    /// The in-flight reports of other nodes.
    pub reports: Mutex<occupancy::Table>,
    /// The concurrency limits by model key.
    pub concurrency_limits: Mutex<HashMap<ModelKey, Limit>>,
    /// When this process ran.
    pub(crate) activity: Mutex<Activity>,
    /// Whether this node's processor is overloaded.
    pub(crate) overload: Mutex<Overload>,
    /// The new connections that were closed unread.
    pub(crate) closed_unread: ClosedUnread,
    /// Shows that the tasks of this node run.
    pub turns: Turns,
    /// Notified when a request ends, so that a waiting one may be admitted.
    pub request_ended: Notify,
    /// The retries that this node may spend by itself.
    pub retry_allowance: Mutex<Allowance>,
    /// As the collector, the shared retry pool of the hall.
    pub(crate) retry_pool: Mutex<Pool>,
    /// The decider lease as the store has it, if it is held.
    pub decider: watch::Sender<Option<DeciderLease>>,
    /// Notified when the runners or the configuration change.
    pub fleet_changed: Notify,
    /// Whether the node is draining before it stops.
    pub draining: watch::Sender<bool>,
    /// Whether the node has stopped accepting requests.
    pub closed: watch::Sender<bool>,
    /// Whether the node ends, so that requests without an answer are told so.
    pub(crate) ending: watch::Sender<bool>,
    /// How far this node has read the store.
    pub(crate) reading: reading::State,
    /// Until when this node is the decider, in milliseconds.
    deciding_until: AtomicU64,
    pub(crate) serving: AtomicBool,
    pub(crate) running: AtomicUsize,
    pub(crate) used_connections: AtomicUsize,
    pub(crate) accepting: AtomicBool,
}

/// Returns what this process has, which may be less than its settings say.
fn find_machine(settings: &Settings) -> Machine {
    let machine = settings.machine.within_process();
    if machine.sockets < settings.machine.sockets {
        log::warn!(
            "resources: the system gives this process descriptors for {} sockets, its settings for {}; it takes fewer callers",
            machine.sockets,
            settings.machine.sockets
        );
    }
    machine
}

impl Node {
    /// Returns a node that has not read the store yet.
    pub fn new(settings: Settings) -> Arc<Node> {
        let clock = System::new();
        let invalid_items = Arc::new(InvalidLines::new(clock.clone()));
        let lines = invalid_items.clone();
        Arc::new(Node {
            store: Store::new(settings.store).reporting_to(Receiver::new(move |flaw| lines.log_flaw(flaw))),
            resources: Resources::new(&find_machine(&settings), clock.clone()),
            reading: reading::State::new(clock.now()),
            settings: Mutex::new(Arc::new(settings)),
            feed: Feed::default(),
            directory: Mutex::default(),
            past: Mutex::default(),
            presence: Mutex::default(),
            entry_gone: Notify::new(),
            reach: Reach::default(),
            clock,
            catalog: Mutex::default(),
            last_contact: watch::Sender::new(None),
            freshness: Mutex::default(),
            roster: Mutex::default(),
            evacuations: evacuation::State::default(),
            plans: Mutex::default(),
            stalls: Mutex::default(),
            plans_changed: watch::Sender::new(0),
            invalid_items,
            ledger: Mutex::default(),
            paths: Mutex::default(),
            feedback: Mutex::default(),
            rejections: Mutex::default(),
            allocations: Mutex::default(),
            retry_schedule: Mutex::default(),
            fallback_limits: Mutex::default(),
            fleet_load: Mutex::default(),
            reports: Mutex::default(),
            dispatcher: Mutex::default(),
            admission: admission::State::default(),
            returns: returns::State::default(),
            pressure: pressure::State::default(),
            unsent_samples: Mutex::default(),
            unreachable_for_reports: Mutex::default(),
            unreachable_for_queries: Mutex::default(),
            unreachable_for_tunnels: Mutex::default(),
            opening_tunnels: Opening::default(),
            carried_tunnels: Carried::default(),
            suspects: Mutex::default(),
            gossip_peers: Mutex::default(),
            trial_baseline: Mutex::default(),
            trials: Mutex::default(),
            interruptions: Mutex::default(),
            catchup: Mutex::default(),
            behind: watch::Sender::new(false),
            resumed: watch::Sender::new(0),
            store_taken: watch::Sender::new(None),
            deadly_found: watch::Sender::new(0),
            instance: rand::rng().random(),
            findings: Mutex::default(),
            client: Client::new(Traffic::default()),
            attempt_ended: Notify::new(),
            concurrency_limits: Mutex::default(),
            activity: Mutex::default(),
            overload: Mutex::default(),
            closed_unread: ClosedUnread::default(),
            turns: Turns::default(),
            request_ended: Notify::new(),
            retry_allowance: Mutex::default(),
            retry_pool: Mutex::default(),
            decider: watch::Sender::new(None),
            fleet_changed: Notify::new(),
            draining: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            deciding_until: AtomicU64::new(0),
            serving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            used_connections: AtomicUsize::new(0),
            accepting: AtomicBool::new(false),
        })
    }

    /// Returns the settings as last read.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.lock().clone()
    }

    /// Replaces the settings after a reload.
    pub fn set_settings(&self, settings: Settings) {
        *self.settings.lock() = Arc::new(settings);
    }

    /// Returns the current time of the node's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the time, and the work that the thread of this node has done. In times of its share of the
    /// processor, a millisecond of a quarter of a core is four. Where the system does not tell, it counts as
    /// working all the time.
    pub(crate) fn read_moment(&self) -> Moment {
        let now = self.now();
        let Some(used) = clock::read_processor_time() else { return Moment { now, used: now, work: now } };
        let work = match self.settings().processor.0 {
            0 => used,
            share => Millis(used.0 * u64::from(FULL_CORE.0) / u64::from(share)),
        };
        Moment { now, used, work }
    }

    /// Waits for a point in time. Timers do not count a suspension of the box, so a timer alone would
    /// be late by the length of the suspension. What has arrived by then is read first.
    pub async fn wait_until(&self, end: Millis) {
        let mut resumed = self.resumed.subscribe();
        loop {
            let remaining = end.since(self.now());
            if remaining == Millis(0) {
                // After a pause of the process, timers fire before the sockets are looked at.
                return tokio::task::yield_now().await;
            }
            // The loop checks the clock again in either case.
            let _ = tokio::time::timeout(remaining.duration(), resumed.changed()).await;
        }
    }

    /// Waits until the node ends. What has arrived by then is read first, and handed on.
    pub(crate) async fn wait_ending(&self) {
        // The sender exists as long as the node, so this cannot fail.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
        tokio::task::yield_now().await;
        tokio::task::yield_now().await;
    }

    /// Waits for `span`, or until the process resumes after it did not run for a while.
    pub(crate) async fn pause(&self, span: Millis) {
        let mut resumed = self.resumed.subscribe();
        // The caller goes on in either case.
        let _ = tokio::time::timeout(span.duration(), resumed.changed()).await;
    }

    /// Whether this node is the decider. It is none once its lease may be over, whatever it still waits for.
    pub fn is_deciding(&self) -> bool {
        self.now() < Millis(self.deciding_until.load(Ordering::Relaxed))
    }

    /// Records until when this node is the decider.
    pub fn set_deciding_until(&self, end: Millis) {
        self.deciding_until.store(end.0, Ordering::Relaxed);
    }

    /// Whether a caller has sent a request since the start.
    pub fn is_serving(&self) -> bool {
        self.serving.load(Ordering::Relaxed)
    }

    /// Whether the configuration is fresh enough to accept keys of accounts: a revoked key must be
    /// rejected within the bound of the settings.
    pub fn trusts_keys(&self) -> bool {
        self.freshness.lock().allows(self.now(), self.settings().bounds.revoke)
    }

    /// Counts an invalid item of the store, and logs it within the limits of such lines.
    pub(crate) fn report_invalid_item(
        &self,
        key: &str,
        kind: ItemKind,
        reason: &'static str,
        detail: impl Display,
    ) {
        telemetry::count_invalid_item(kind.name(), reason);
        self.log_invalid_item(key, kind, reason, detail);
    }

    /// Logs an invalid item of the store within the limits of such lines.
    pub(crate) fn log_invalid_item(
        &self,
        key: &str,
        kind: ItemKind,
        reason: &'static str,
        detail: impl Display,
    ) {
        self.invalid_items.log(key, kind, reason, detail);
    }

    /// Records that this node knows every change of the store up to `at`.
    pub fn record_contact(&self, at: Millis) {
        self.last_contact.send_if_modified(|contact| {
            let is_later = Some(at) > *contact;
            *contact = (*contact).max(Some(at));
            is_later
        });
    }

    /// Returns how long this node may have missed changes of the store.
    pub fn staleness(&self) -> Option<Millis> {
        self.last_contact.borrow().map(|contact| self.now().since(contact))
    }

    /// Whether the configuration is proven to be recent enough to still be in force.
    ///
    /// A node that may have missed changes for longer must not answer that a route or key does not
    /// exist: such a node rejected routes with 404 that had been accepted 3.7 s before. The last
    /// contact is not enough, because what arrives may have been in transit for a second, and a
    /// watch may have delivered nothing for another second.
    pub fn has_current_catalog(&self) -> bool {
        let bound = self.settings().bounds.apply;
        self.freshness.lock().allows(self.now(), Some(bound))
    }

    /// Whether the node is ready for callers.
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.is_synced() && self.catalog.lock().is_some() && self.trusts_keys()
    }

    /// Whether this node reaches the runners of some hall through other nodes only.
    pub fn has_cut_path(&self) -> bool {
        self.paths.lock().list_cut().next().is_some()
    }

    /// Whether this node reaches no runner itself, while other nodes do.
    pub(crate) fn is_cut_off(&self) -> bool {
        let roster = self.roster.lock();
        self.paths.lock().is_cut_off(roster.iter().map(|runner| &runner.hall))
    }
}
