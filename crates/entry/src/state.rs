//! State shared by the threads of one entry. Contended parts are sharded, with a lock
//! per shard.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use cottoncrank::claim::Claims;
use cottoncrank::clock::System;
use cottoncrank::hash::hash;
use cottoncrank::resources::{Kind, Machine, Short};
use cottoncrank::retry::Budget;
use cottoncrank::view::{VIEW_TTL, View};
use cottoncrank::{Clock, Millis, Size, id, route};
use cottoncrank_net::client::Client;
use cottoncrank_net::resources::{Charge, Resources, Slot};
use parking_lot::{Mutex, RwLock};

use crate::failure::{Cause, Failure};
use crate::settings::Settings;

/// Number of shards of the claims and of the account usage.
const SHARDS: usize = 16;

/// Usage of this entry by one account.
#[derive(Debug, Default)]
struct Usage {
    running: usize,
    retries: Budget,
}

/// The state of one entry.
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: System,
    /// The client for backend servers, other entries and the controller.
    pub client: Client,
    /// The routing policy.
    pub policy: route::Policy,
    /// What callers and other entries fill of this process.
    pub resources: Resources,
    view: RwLock<Arc<View>>,
    view_received: AtomicU64,
    claims: Vec<Mutex<Claims>>,
    usages: Vec<Mutex<HashMap<id::Account, Usage>>>,
    outstanding: Mutex<HashMap<id::Group, u64>>,
    retries: Mutex<Budget>,
    running: AtomicUsize,
    draining: AtomicBool,
    requests: AtomicU64,
    decisions: AtomicU64,
}

impl State {
    /// Creates the state of an entry that starts now.
    pub fn new(settings: Settings, client: Client, policy: route::Policy) -> State {
        let clock = System::new();
        let seed = hash(format!("{} {}", settings.node, clock.now()).as_bytes());
        let machine = Machine::of_process(settings.memory);
        State {
            resources: Resources::new(&machine, clock.clone()),
            clock,
            client,
            policy,
            view: RwLock::default(),
            view_received: AtomicU64::new(0),
            claims: (0..SHARDS).map(|_| Mutex::default()).collect(),
            usages: (0..SHARDS).map(|_| Mutex::default()).collect(),
            outstanding: Mutex::default(),
            retries: Mutex::default(),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            requests: AtomicU64::new(seed),
            decisions: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the id for a new request.
    pub fn next_request(&self) -> id::Request {
        id::Request(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the number of the next routing decision.
    pub fn next_decision(&self) -> u64 {
        self.decisions.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the view in use.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Installs a view from the controller and returns whether it was accepted. A view with
    /// an older configuration comes from a controller that has just started. It is ignored,
    /// and the current view keeps aging.
    pub fn update_view(&self, next: View) -> bool {
        let mut view = self.view.write();
        if next.revision < view.revision {
            return false;
        }
        self.view_received.store(self.now().0, Ordering::Relaxed);
        if next != **view {
            *view = Arc::new(next);
        }
        true
    }

    /// Whether the view is too old to route model requests.
    pub fn is_stale(&self) -> bool {
        self.now().since(Millis(self.view_received.load(Ordering::Relaxed))) > VIEW_TTL
    }

    /// Returns the shard of the claims for a key.
    pub fn claims_shard(&self, key: &str) -> &Mutex<Claims> {
        &self.claims[hash(key.as_bytes()) as usize % SHARDS]
    }

    fn usage(&self, account: &id::Account) -> &Mutex<HashMap<id::Account, Usage>> {
        &self.usages[hash(account.as_str().as_bytes()) as usize % SHARDS]
    }

    /// Admits a request unless the account has `limit` requests in flight on this entry.
    pub fn admit(
        self: &Arc<Self>,
        account: &id::Account,
        limit: usize,
        slot: &Arc<Slot>,
    ) -> Result<Admission, Failure> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Failure::not_run(Cause::Draining));
        }
        let mut shard = self.usage(account).lock();
        let usage = shard.entry(account.clone()).or_default();
        if usage.running >= limit {
            return Err(Failure::not_run(Cause::Limit(limit)));
        }
        usage.running += 1;
        drop(shard);
        self.running.fetch_add(1, Ordering::Relaxed);
        Ok(Admission { state: self.clone(), account: account.clone(), slot: slot.clone() })
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Starts refusing new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Withdraws a retry from the budgets of the account and of the entry. Returns whether
    /// both allow it.
    pub fn spend_retry(&self, account: &id::Account) -> bool {
        let mut shard = self.usage(account).lock();
        let own = shard.entry(account.clone()).or_default().retries.withdraw();
        own && self.retries.lock().withdraw()
    }

    /// Deposits into the retry budgets after a successful request.
    pub fn deposit_retry(&self, account: &id::Account) {
        self.usage(account).lock().entry(account.clone()).or_default().retries.deposit();
        self.retries.lock().deposit();
    }

    /// Returns the tokens requested from a group and not yet generated.
    pub fn outstanding_tokens(&self, group: &id::Group) -> u64 {
        self.outstanding.lock().get(group).copied().unwrap_or(0)
    }

    /// Adds tokens requested from a group.
    pub fn add_outstanding(&self, group: &id::Group, tokens: u64) {
        *self.outstanding.lock().entry(group.clone()).or_default() += tokens;
    }

    /// Subtracts tokens that a group has generated or that are no longer expected.
    pub fn sub_outstanding(&self, group: &id::Group, tokens: u64) {
        let mut outstanding = self.outstanding.lock();
        let Some(left) = outstanding.get_mut(group) else { return };
        *left = left.saturating_sub(tokens);
        if *left == 0 {
            outstanding.remove(group);
        }
    }
}

/// A slot among the requests in flight, released on drop.
pub struct Admission {
    state: Arc<State>,
    account: id::Account,
    slot: Arc<Slot>,
}

/// The copies that are made of a body: its text, and the message to an engine.
const BODY_COPIES: usize = 2;

impl Admission {
    /// Charges the copies that are made of the body, which has arrived whole.
    pub fn serve(self, body: usize) -> Result<Served, Failure> {
        let charged = self.slot.charge(Size(BODY_COPIES * body), Kind::Overhead);
        let room = charged.map_err(|Short| Failure::not_run(Cause::NoRoom))?;
        Ok(Served { room, _admission: self })
    }
}

/// An admitted request whose body has arrived whole.
pub struct Served {
    /// The room for the copies of its body, to which its answer is charged as well.
    pub room: Charge,
    _admission: Admission,
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(usage) = self.state.usage(&self.account).lock().get_mut(&self.account) {
            usage.running -= 1;
        }
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}
