//! What the threads of one entry share, in shards with a lock each.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use cottoncrank::claim::Claims;
use cottoncrank::clock::System;
use cottoncrank::hash::hash;
use cottoncrank::retry::Budget;
use cottoncrank::view::{VIEW_TTL, View};
use cottoncrank::{Clock, Millis, id, route};
use cottoncrank_net::client::Client;
use parking_lot::{Mutex, RwLock};

use crate::failure::{Cause, Failure};
use crate::settings::Settings;

/// Shards of the ledger and of the accounts.
const SHARDS: usize = 16;

/// What one account is doing on this entry.
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
    view: RwLock<Arc<View>>,
    heard: AtomicU64,
    ledgers: Vec<Mutex<Claims>>,
    usages: Vec<Mutex<HashMap<id::Account, Usage>>>,
    sent: Mutex<HashMap<id::Group, u64>>,
    retries: Mutex<Budget>,
    running: AtomicUsize,
    draining: AtomicBool,
    requests: AtomicU64,
    turns: AtomicU64,
}

impl State {
    /// The state of an entry that begins now.
    pub fn new(settings: Settings, client: Client, policy: route::Policy) -> State {
        let clock = System::new();
        let seed = hash(format!("{} {}", settings.node, clock.now()).as_bytes());
        State {
            clock,
            client,
            policy,
            view: RwLock::default(),
            heard: AtomicU64::new(0),
            ledgers: (0..SHARDS).map(|_| Mutex::default()).collect(),
            usages: (0..SHARDS).map(|_| Mutex::default()).collect(),
            sent: Mutex::default(),
            retries: Mutex::default(),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            requests: AtomicU64::new(seed),
            turns: AtomicU64::new(0),
            settings,
        }
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A new request's id.
    pub fn next_request(&self) -> id::Request {
        id::Request(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// The number of this routing decision.
    pub fn next_turn(&self) -> u64 {
        self.turns.fetch_add(1, Ordering::Relaxed)
    }

    /// The view in use.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Takes a view from the controller. One with an older configuration is of
    /// a controller that has just started; the present view stays, and ages.
    pub fn take_view(&self, next: View) -> bool {
        let mut view = self.view.write();
        if next.revision < view.revision {
            return false;
        }
        self.heard.store(self.now().0, Ordering::Relaxed);
        if next != **view {
            *view = Arc::new(next);
        }
        true
    }

    /// Whether the view is too old to send model work by.
    pub fn is_stale(&self) -> bool {
        self.now().since(Millis(self.heard.load(Ordering::Relaxed))) > VIEW_TTL
    }

    /// The shard of the ledger for a key.
    pub fn ledger(&self, key: &str) -> &Mutex<Claims> {
        &self.ledgers[hash(key.as_bytes()) as usize % SHARDS]
    }

    fn usage(&self, account: &id::Account) -> &Mutex<HashMap<id::Account, Usage>> {
        &self.usages[hash(account.as_str().as_bytes()) as usize % SHARDS]
    }

    /// Admits a request of an account that may have `limit` in flight here.
    pub fn admit(self: &Arc<Self>, account: &id::Account, limit: usize) -> Result<Admission, Failure> {
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
        Ok(Admission { state: self.clone(), account: account.clone() })
    }

    /// Requests in flight.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// From now on new requests are refused.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Pays for a retry out of the account's and the entry's budget.
    pub fn spend_retry(&self, account: &id::Account) -> bool {
        let mut shard = self.usage(account).lock();
        let own = shard.entry(account.clone()).or_default().retries.withdraw();
        own && self.retries.lock().withdraw()
    }

    /// Notes a success, which pays for later retries.
    pub fn earn_retry(&self, account: &id::Account) {
        self.usage(account).lock().entry(account.clone()).or_default().retries.deposit();
        self.retries.lock().deposit();
    }

    /// Tokens sent to a group and not yet answered.
    pub fn sent_to(&self, group: &id::Group) -> u64 {
        self.sent.lock().get(group).copied().unwrap_or(0)
    }

    /// Notes tokens sent to a group.
    pub fn add_sent(&self, group: &id::Group, tokens: u64) {
        *self.sent.lock().entry(group.clone()).or_default() += tokens;
    }

    /// Notes tokens answered by a group, or given up.
    pub fn sub_sent(&self, group: &id::Group, tokens: u64) {
        let mut sent = self.sent.lock();
        let Some(left) = sent.get_mut(group) else { return };
        *left = left.saturating_sub(tokens);
        if *left == 0 {
            sent.remove(group);
        }
    }
}

/// A place among the requests in flight; dropping it gives the place back.
pub struct Admission {
    state: Arc<State>,
    account: id::Account,
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(usage) = self.state.usage(&self.account).lock().get_mut(&self.account) {
            usage.running -= 1;
        }
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}
