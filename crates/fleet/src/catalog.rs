//! The configuration that operators publish: routes, services, accounts and limits.

use std::collections::HashMap;
use std::sync::Arc;

use cottoncrank::{Millis, id};

use crate::rate::Rate;

/// How often a route's requests may run.
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
    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Idempotent => "idempotent",
            Kind::Once => "once",
            Kind::Stream => "stream",
        }
    }
}

/// A service that a route leads to, and its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::Service,
    /// Its weight among the targets of the route.
    pub weight: u32,
}

/// The rules for requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name given by operators.
    pub name: String,
    /// The value of the `Host` header that it matches.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run.
    pub kind: Kind,
    /// The longest time to hold a request.
    pub timeout: Millis,
    /// The time within which an answer, or the first event of a stream, is wanted.
    pub target_latency: Millis,
    /// The longest pause between events that still counts as in time.
    pub target_gap: Option<Millis>,
    /// The priority among routes, 0 first.
    pub priority: u8,
    /// The services that run its requests.
    pub targets: Vec<Target>,
    /// The maximum number of runners that a request is sent to.
    pub attempts: u32,
    /// Whether a request needs no key.
    pub allow_anonymous: bool,
    /// Whether a stream may resume at another runner after its last event.
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may have run may run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the target at `point`, a number from 0 up to the sum of all weights.
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
    /// The number of runners that one replica spans.
    pub size: usize,
    /// Its share of the service's runners, 0 to 1.
    pub share: f64,
    /// The time to load it from the shared weight store.
    pub load_time: Millis,
    /// The time to load it from the runner's own host.
    pub warm_load_time: Millis,
    /// A factor on all times of its groups.
    pub pace: f64,
}

/// The speed of an engine's groups; zero where it is not published.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// The time of a decoding step, in which each running request gets a token.
    pub step_ms: f64,
    /// How much longer a step takes for each request that generates.
    pub per_request_ms: f64,
    /// Steps in a pass; prompts are read between passes.
    pub stride: f64,
    /// Prompt tokens read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Tokens of a usual answer.
    pub usual_answer_tokens: f64,
}

/// The properties of a service whose runners are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The models.
    pub models: Vec<Model>,
    /// Loads from the shared weight store that may begin in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed concurrently.
    pub loads_at_once: usize,
    /// The speed of groups.
    pub speed: Speed,
}

/// The cold start of a service's runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long a runner is cold after its start.
    pub duration: Millis,
    /// The requests that a cold runner takes from all nodes together.
    pub rate: Rate,
}

/// A service: a set of runners that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub id: id::Service,
    /// The engine, where its runners form groups.
    pub engine: Option<Engine>,
    /// The cold start of its runners, if they have one.
    pub cold_start: Option<ColdStart>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub id: id::Account,
    /// The keys of its requests.
    pub keys: Vec<String>,
    /// Its priority among accounts, 0 first.
    pub priority: Option<u8>,
}

/// Limits on requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub max_head_bytes: usize,
    /// The maximum size of a request's body.
    pub max_body_bytes: usize,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The version given by operators; it rises.
    pub version: u64,
    /// The services.
    pub services: Vec<Service>,
    /// The models that are left out, as their groups have no runners.
    pub unusable_models: Vec<id::Model>,
    /// The limits on requests and connections.
    pub limits: Limits,
    accounts: Vec<Account>,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, usize>,
}

/// Removes the models whose groups have no runners: nothing can serve them, and no number of such groups is enough.
fn remove_unusable_models(services: &mut [Service]) -> Vec<id::Model> {
    let engines = services.iter_mut().filter_map(|service| service.engine.as_mut());
    let removed = engines.flat_map(|engine| engine.models.extract_if(.., |model| model.size == 0));
    removed.map(|model| model.name).collect()
}

impl Catalog {
    /// Creates a catalog and its lookup tables.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        mut services: Vec<Service>,
        accounts: Vec<Account>,
        limits: Limits,
    ) -> Catalog {
        let unusable_models = remove_unusable_models(&mut services);
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
        Catalog { version, services, unusable_models, limits, accounts, by_host, by_key }
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account that has `key`.
    pub fn find_account(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|index| &self.accounts[*index])
    }

    /// Whether requests need a key at all.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the service with an id.
    pub fn find_service(&self, id: &id::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Whether requests for a service differ in priority.
    pub fn has_priorities(&self, service: &id::Service) -> bool {
        let leads_there = |route: &&Arc<Route>| route.targets.iter().any(|target| target.service == *service);
        let mut routes = self.by_host.values().flatten().filter(leads_there);
        let first = routes.next().map(|route| route.priority);
        routes.any(|route| Some(route.priority) != first)
    }

    /// Returns the number of routes.
    pub fn count_routes(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}
