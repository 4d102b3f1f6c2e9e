//! Divides the retries that the fleet may make among the nodes.
//!
//! The bound: in any window, over all nodes, at most a fixed number of retries, the slack, and a ratio of
//! the requests, for each service by itself. It must hold however often nodes start, pause, are cut off, or are removed and listed
//! again.
//!
//! - Each node keeps a [`Budget`] for each service. Requests add to it, retries are taken from it. The retries of a window
//!   are at most what all nodes had saved when it began, and what the requests in it add. A node that made
//!   no retry for a window has its share saved, as if the window began now.
//! - A process starts with nothing saved. It may save its [`Share`] of the slack. Without one it may save
//!   little: a retry or two of a small part of the slack, or a part of what its requests of the last window
//!   added.
//! - A node has a share only while it knows all changes of the store up to [`MAX_AGE`] ago, and has been
//!   listed there for a window and [`SETTLE_TIME`]. Its share is the slack divided by the largest number of
//!   nodes that it knew of in that time. Take the nodes that have a share at some time in one window. All of
//!   them knew the store's content of one common time before it, were listed there, and divided by no less
//!   than the nodes listed. So the shares add up to the slack at most, whatever each knows of the others.
//!
//! A share of less than [`MIN_SHARE`] pays for hardly any retry: with a thousand nodes before a slack of a
//! thousand, no node would have a whole one. So fractions form a [`Pool`] at the collector of each hall,
//! which grants single retries to nodes that ask.

use std::collections::{HashMap, VecDeque};

use cottoncrank::{Millis, id};

use crate::occupancy::REPORT_TTL;

/// The longest time for which a node may have missed changes of the store and still use its share.
pub const MAX_AGE: Millis = Millis(5000);

/// The longest time between two updates of a budget. A node whose process does not run makes none, and
/// its knowledge is too old when it resumes.
pub const UPDATE_INTERVAL: Millis = Millis(1000);

/// How long a node must have been listed, besides a window, before it has a share: until all others that have
/// one know of it.
pub const SETTLE_TIME: Millis = Millis(MAX_AGE.0 + UPDATE_INTERVAL.0);

/// The same for reporting to a collector, before the node's fraction counts there: it may have reported to
/// another one, which counts it until its last report expires.
const POOL_SETTLE_TIME: Millis = Millis(SETTLE_TIME.0 + REPORT_TTL.0 + UPDATE_INTERVAL.0);

/// The smallest share that a node keeps itself. With room for a single retry, it would lose what its
/// requests add while it saves that one.
const MIN_SHARE: f64 = 2.0;

/// The fraction of the allowed ratio that requests add.
const ADDED_FRACTION: f64 = 0.8;

/// The fraction of the allowed ratio that may be saved without a share, for the requests of the last window:
/// what requests do not add.
const SAVED_FRACTION: f64 = 1.0 - ADDED_FRACTION;

/// The fraction of the slack that is divided. The rest covers requests that arrive twice in other ways.
const DIVIDED_FRACTION: f64 = 0.8;

/// The fraction of the slack that all nodes together may save without a share, if that is a whole retry each.
const UNSETTLED_FRACTION: f64 = 0.1;

/// Requests are counted for this part of a window at a time.
const BUCKETS_PER_WINDOW: u64 = 50;

/// The retries of requests for one service that the whole fleet may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The length of the window.
    pub window: Millis,
    /// The retries allowed whatever the number of requests.
    pub slack: f64,
    /// The further retries allowed for each request.
    pub ratio: f64,
}

/// What a budget may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Terms {
    window: Millis,
    /// The retries that may be saved whatever the number of requests.
    share: f64,
    /// The retries that a request adds.
    added: f64,
    /// The retries that may be saved instead without a share.
    unsettled: f64,
    /// The retries that may be saved instead for each request of the last window.
    saved: f64,
}

/// Saved retries, and the requests of the last window.
#[derive(Clone, Debug, Default)]
struct Budget {
    balance: f64,
    /// When a retry was last taken.
    last_spent: Option<Millis>,
    /// The requests by the time from which they are counted together.
    requests: VecDeque<(Millis, u32)>,
    /// The sum of these.
    request_count: u32,
}

impl Budget {
    /// Adds what a request earns.
    fn record_request(&mut self, terms: &Terms, now: Millis) {
        match self.requests.back_mut() {
            Some((from, count)) if now < *from + Millis(terms.window.0 / BUCKETS_PER_WINDOW) => *count += 1,
            _ => self.requests.push_back((now, 1)),
        }
        self.request_count += 1;
        self.balance += terms.added;
        self.update(terms, now);
    }

    /// Takes one retry. Returns false if less than one is saved.
    fn spend(&mut self, terms: &Terms, now: Millis) -> bool {
        self.update(terms, now);
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
            self.last_spent = Some(now);
        }
        allowed
    }

    /// Drops what exceeds the terms, and saves the share if no retry was made for a window.
    fn update(&mut self, terms: &Terms, now: Millis) {
        while let Some((from, count)) = self.requests.front()
            && now >= *from + terms.window
        {
            self.request_count -= count;
            self.requests.pop_front();
        }
        if self.last_spent.is_none_or(|last| now >= last + terms.window) {
            self.balance = self.balance.max(terms.share);
        }
        let without_share = terms.unsettled.max(terms.saved * f64::from(self.request_count));
        self.balance = self.balance.min(terms.share.max(without_share));
    }
}

/// The number of nodes that this node knew of, over time, and whether it was one of them.
#[derive(Clone, Debug, Default)]
struct Membership {
    /// The number of nodes from each time on.
    counts: VecDeque<(Millis, usize)>,
    /// Since when this node is listed.
    listed_since: Option<Millis>,
}

impl Membership {
    /// Records how many nodes the store lists now, and whether this node is one of them.
    fn record(&mut self, count: usize, is_listed: bool, window: Millis, now: Millis) {
        self.listed_since = is_listed.then(|| self.listed_since.unwrap_or(now));
        if self.counts.back().is_none_or(|(_, latest)| *latest != count) {
            self.counts.push_back((now, count));
        }
        // The count before the oldest time that matters still holds at that time.
        while self.counts.get(1).is_some_and(|(from, _)| now >= *from + compute_pool_span(window)) {
            self.counts.pop_front();
        }
    }

    /// Returns the share of a settled node in what is divided of the slack.
    fn share(&self, bound: &Bound, now: Millis) -> Share {
        let counts = self.list_counts(bound.window + SETTLE_TIME, now);
        Share::of(bound.slack * DIVIDED_FRACTION, counts.max().unwrap_or(1))
    }

    /// Returns what a node without a share may save of the slack.
    fn unsettled_share(&self, bound: &Bound, now: Millis) -> f64 {
        let counts = self.list_counts(bound.window + SETTLE_TIME, now);
        let even = bound.slack * UNSETTLED_FRACTION / counts.max().unwrap_or(1) as f64;
        if even >= 1.0 { even } else { 0.0 }
    }

    /// Returns what each node adds to the pool at this node, and whether nodes have a share of their own.
    /// Counts of a longer time are used than by any node for its share, so that no fraction is counted twice
    /// while they change.
    fn pooled_share(&self, bound: &Bound, now: Millis) -> (f64, bool) {
        let counts = || self.list_counts(compute_pool_span(bound.window), now);
        let divided = bound.slack * DIVIDED_FRACTION;
        let largest_own = Share::of(divided, counts().min().unwrap_or(1)).own;
        let smallest = divided / counts().max().unwrap_or(1) as f64;
        ((smallest - largest_own).max(0.0), largest_own > 0.0)
    }

    /// Whether this node has been listed for long enough.
    fn is_settled(&self, window: Millis, now: Millis) -> bool {
        self.listed_since.is_some_and(|since| now >= since + window + SETTLE_TIME)
    }

    /// Returns the numbers of nodes known in the last `span`.
    fn list_counts(&self, span: Millis, now: Millis) -> impl Iterator<Item = usize> {
        let ends = self.counts.iter().skip(1).map(|(from, _)| *from).chain([now + Millis(1)]);
        let in_span = self.counts.iter().zip(ends).filter(move |(_, end)| now < *end + span);
        in_span.map(|((_, count), _)| (*count).max(1))
    }
}

/// Returns for how long a collector looks back at the number of nodes: twice as long as a node does.
fn compute_pool_span(window: Millis) -> Millis {
    Millis(2 * (window + SETTLE_TIME).0)
}

/// The share of one node in the slack.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// The retries that the node may save itself.
    pub own: f64,
    /// The fraction that it leaves to the pool of its hall.
    pub pooled: f64,
}

impl Share {
    /// Returns the share of one of `nodes` in `slack`.
    pub fn of(slack: f64, nodes: usize) -> Share {
        let even = slack / nodes.max(1) as f64;
        let own = if even >= MIN_SHARE { even.floor() } else { 0.0 };
        Share { own, pooled: even - own }
    }

    /// Whether the pool has all of it, and what requests add as well.
    fn is_all_pooled(&self) -> bool {
        self.own == 0.0 && self.pooled > 0.0
    }
}

/// The retries of one node.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    membership: Membership,
    budgets: HashMap<id::Service, Budget>,
}

impl Allowance {
    /// Records how many nodes the store lists now, and whether this node is one of them.
    pub fn record_members(&mut self, count: usize, is_listed: bool, bound: &Bound, now: Millis) {
        self.membership.record(count, is_listed, bound.window, now);
    }

    /// Returns this node's share if its copy of the store is of this age.
    pub fn share(&self, bound: &Bound, age: Option<Millis>, now: Millis) -> Share {
        let share = self.membership.share(bound, now);
        match is_recent(age) && self.membership.is_settled(bound.window, now) {
            true => share,
            false => Share { own: 0.0, ..share },
        }
    }

    /// Drops what may not be saved any more. Must be called every [`UPDATE_INTERVAL`].
    pub fn update(&mut self, bound: &Bound, age: Option<Millis>, now: Millis) {
        let terms = self.terms(bound, age, now);
        self.budgets.values_mut().for_each(|budget| budget.update(&terms, now));
    }

    /// Adds what a request earns, unless the pool gets it.
    pub fn record_request(&mut self, service: &id::Service, bound: &Bound, age: Option<Millis>, now: Millis) {
        let terms = self.terms(bound, age, now);
        find_budget(&mut self.budgets, service).record_request(&terms, now);
    }

    /// Takes one retry. Returns false if there is none.
    pub fn spend(&mut self, service: &id::Service, bound: &Bound, age: Option<Millis>, now: Millis) -> bool {
        let terms = self.terms(bound, age, now);
        find_budget(&mut self.budgets, service).spend(&terms, now)
    }

    fn terms(&self, bound: &Bound, age: Option<Millis>, now: Millis) -> Terms {
        let ratio = if self.membership.share(bound, now).is_all_pooled() { 0.0 } else { bound.ratio };
        Terms {
            window: bound.window,
            share: self.share(bound, age, now).own,
            unsettled: if age.is_some() { self.membership.unsettled_share(bound, now) } else { 0.0 },
            added: ratio * ADDED_FRACTION,
            saved: ratio * SAVED_FRACTION,
        }
    }
}

/// Returns the budget of a service.
fn find_budget<'a>(budgets: &'a mut HashMap<id::Service, Budget>, service: &id::Service) -> &'a mut Budget {
    budgets.entry(service.clone()).or_default()
}

/// Whether a copy of the store of this age is recent enough for a share.
fn is_recent(age: Option<Millis>) -> bool {
    age.is_some_and(|age| age <= MAX_AGE)
}

/// The shared retry pool of a hall, at its collector.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Since when each listed node reports to this collector.
    reporting_since: HashMap<id::Node, Millis>,
    budgets: HashMap<id::Service, Budget>,
}

impl Pool {
    /// Records which listed nodes report to this collector, itself included, and drops what may not be saved
    /// any more. Must be called before each grant, and every [`UPDATE_INTERVAL`].
    pub fn update(
        &mut self,
        nodes: impl Iterator<Item = id::Node>,
        allowance: &Allowance,
        bound: &Bound,
        age: Option<Millis>,
        now: Millis,
    ) {
        let known = std::mem::take(&mut self.reporting_since);
        let add_since = |node: id::Node| {
            let since = known.get(&node).copied().unwrap_or(now);
            (node, since)
        };
        self.reporting_since = nodes.map(add_since).collect();
        let terms = self.terms(allowance, bound, age, now);
        self.budgets.values_mut().for_each(|budget| budget.update(&terms, now));
    }

    /// Empties the pool, because another node is the collector.
    pub fn reset(&mut self) {
        *self = Pool::default();
    }

    /// Adds what a request of a node of the hall earns, unless the nodes have a share of their own.
    pub fn record_request(
        &mut self,
        service: &id::Service,
        allowance: &Allowance,
        bound: &Bound,
        age: Option<Millis>,
        now: Millis,
    ) {
        let terms = self.terms(allowance, bound, age, now);
        find_budget(&mut self.budgets, service).record_request(&terms, now);
    }

    /// Grants one retry; returns false if there is none.
    pub fn grant(
        &mut self,
        service: &id::Service,
        allowance: &Allowance,
        bound: &Bound,
        age: Option<Millis>,
        now: Millis,
    ) -> bool {
        let terms = self.terms(allowance, bound, age, now);
        find_budget(&mut self.budgets, service).spend(&terms, now)
    }

    fn terms(&self, allowance: &Allowance, bound: &Bound, age: Option<Millis>, now: Millis) -> Terms {
        let (each, has_own) = allowance.membership.pooled_share(bound, now);
        let settle_time = bound.window + POOL_SETTLE_TIME;
        let settled = self.reporting_since.values().filter(|since| now >= **since + settle_time).count();
        let ratio = if has_own { 0.0 } else { bound.ratio };
        Terms {
            window: bound.window,
            share: if is_recent(age) { each * settled as f64 } else { 0.0 },
            unsettled: 0.0,
            added: ratio * ADDED_FRACTION,
            saved: ratio * SAVED_FRACTION,
        }
    }
}
