//! What operators want served: routes, services, accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;

use cottoncrank::{Millis, id};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream,
}

impl Kind {
    /// The name in figures and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Idempotent => "idempotent",
            Kind::Once => "once",
            Kind::Stream => "stream",
        }
    }
}

/// A service a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name operators gave it.
    pub name: String,
    /// The value of `Host` it answers to.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest a request may be held.
    pub timeout: Millis,
    /// The time in which an answer, or the first event of a stream, is wanted.
    pub target_latency: Millis,
    /// The longest pause between events that still counts as in time.
    pub target_gap: Option<Millis>,
    /// The rank among routes, 0 first.
    pub priority: u8,
    /// The services that run its requests.
    pub targets: Vec<Target>,
    /// The most runners one request may be sent to.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub allow_anonymous: bool,
    /// Whether a stream may go on at another runner after its last event.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The target at `point`, a number from 0 up to the sum of all weights.
    pub fn pick_target(&self, point: u32) -> Option<&Target> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = point.checked_rem(total)?;
        self.targets.iter().find(|target| match remaining.checked_sub(target.weight) {
            Some(rest) => {
                remaining = rest;
                false
            }
            None => true,
        })
    }
}

/// A model of a service, served by groups of runners.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name in requests.
    pub name: id::Model,
    /// How many runners one replica spans.
    pub size: usize,
    /// Its part of the service's runners, 0 to 1.
    pub share: f64,
    /// How long a runner loads it from the shared weight store.
    pub load_time: Millis,
    /// How long a runner loads it from its own host.
    pub warm_load_time: Millis,
    /// A factor on all times of its groups.
    pub pace: f64,
}

/// How fast the groups of an engine work; zero where that is not published.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// How long a step takes in which each request gets a token, in milliseconds.
    pub step_ms: f64,
    /// How much longer it takes for each request that writes, in milliseconds.
    pub per_request_ms: f64,
    /// Steps in a pass, between which prompts are read.
    pub stride: f64,
    /// Tokens of prompts that are read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Tokens of a usual answer.
    pub usual_answer_tokens: f64,
}

/// How the runners of a service work, where they are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The models.
    pub models: Vec<Model>,
    /// Loads from the shared weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed side by side.
    pub loads_at_once: usize,
    /// How fast groups work.
    pub speed: Speed,
}

/// A service: a set of runners that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: id::Service,
    /// The engine, where its runners form groups.
    pub engine: Option<Engine>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub id: id::Account,
    /// The keys its requests carry.
    pub keys: Vec<String>,
    /// Its rank among accounts, 0 first.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may rest between requests.
    pub idle_timeout: Millis,
}

/// Everything operators want, at one version.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The version operators gave it; it rises.
    pub version: u64,
    /// The services.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
    accounts: Vec<Account>,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, usize>,
}

impl Catalog {
    /// A catalog with its look-up tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Vec<Account>,
        limits: Limits,
    ) -> Catalog {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = accounts.iter().enumerate();
        let by_key = keys
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Catalog { version, services, limits, accounts, by_host, by_key }
    }

    /// The route of a host with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The account that holds `key`.
    pub fn find_account(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|index| &self.accounts[*index])
    }

    /// Whether requests need a key at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The service of that name.
    pub fn find_service(&self, id: &id::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// How many routes there are.
    pub fn count_routes(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}
