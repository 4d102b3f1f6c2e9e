//! Divides the rate limit of a runner among the halls, and enforces a hall's share.
//!
//! The load this is built for: a runner that accepts two requests per second from all nodes
//! together, with hundreds of nodes. The collector of a hall permits each request of its hall
//! individually, so only halls have to share. They exchange their demand several times a second,
//! and each computes its own share from that. A hall with little demand leaves the rest to the
//! others. For a hall that sends no reports, the others reserve the share that it would have if
//! every hall had unlimited demand, and a hall that receives none takes no more than that.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::rate::Rate;

/// The time over which demand is averaged, in milliseconds.
const DEMAND_AVERAGE_TIME: f64 = 2000.0;

/// The time for which a share may accumulate in addition to [`MIN_BURST`].
const BURST_TIME: Millis = Millis(100);

/// The number of requests that may accumulate at any rate: one, plus what accrues until there is
/// work for it. Even if five halls all send their burst, the total stays within one and a half
/// times what the runner accepts in four seconds, plus five.
const MIN_BURST: f64 = 1.25;

/// The interval in which even a runner with a lower rate limit gets one request, because only an
/// answer can announce that it accepts more again.
const PROBE_INTERVAL: Millis = Millis(5000);

/// The longest idle time over which a node that sends without a permit accumulates tokens.
const MAX_IDLE: Millis = Millis(1000);

/// Returns the rate to enforce for a runner that announced `rate`.
fn apply_min_rate(rate: Rate) -> Rate {
    rate.max(Rate::per_second(1000.0 / PROBE_INTERVAL.0 as f64))
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated: Millis,
}

impl Bucket {
    /// Adds the tokens that accrued since the last update.
    fn fill(&mut self, rate: Rate, now: Millis) {
        let capacity = MIN_BURST + rate.count(BURST_TIME);
        self.tokens = (self.tokens + rate.count(now.since(self.updated))).min(capacity);
        self.updated = now;
    }

    /// Returns the time until one request may be sent; `None` if that never happens.
    fn wait(&self, rate: Rate) -> Option<Millis> {
        if self.tokens >= 1.0 { Some(Millis(0)) } else { rate.time_to_allow(1.0 - self.tokens) }
    }
}

/// The demand for a runner as an exponential average.
#[derive(Clone, Copy, Debug, Default)]
struct AverageDemand {
    value: f64,
    updated: Millis,
}

impl AverageDemand {
    fn per_milli(&self, now: Millis) -> f64 {
        self.value * (-(now.since(self.updated).0 as f64) / DEMAND_AVERAGE_TIME).exp()
    }

    fn record(&mut self, now: Millis) {
        *self = AverageDemand { value: self.per_milli(now) + 1.0 / DEMAND_AVERAGE_TIME, updated: now };
    }

    fn rate(&self, now: Millis) -> Rate {
        Rate::per_second(self.per_milli(now) * 1000.0)
    }
}

/// A hall's demand for a runner, as its collector reports it to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The runner.
    pub runner: id::Runner,
    /// The demand in requests per second.
    pub rate: Rate,
}

/// Another hall that shares a rate.
#[derive(Clone, Copy, Debug)]
pub struct OtherHall<'a> {
    /// The hall.
    pub hall: &'a id::Hall,
    /// Whether its collector has sent no recent report.
    pub is_silent: bool,
}

/// The halls that share a rate.
#[derive(Clone, Debug)]
pub struct Halls<'a> {
    /// This hall.
    pub own: &'a id::Hall,
    /// All other halls.
    pub others: Vec<OtherHall<'a>>,
}

impl Halls<'_> {
    /// Returns the initial fill of this hall's bucket, from 0 to 1. If all halls began empty, all
    /// would send at the same time and then none for as long.
    fn phase(&self) -> f64 {
        let before = self.others.iter().filter(|other| other.hall < self.own).count();
        before as f64 / (self.others.len() + 1) as f64
    }
}

/// When and how fast a hall may send to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// The time until the next request may be sent.
    pub wait: Millis,
    /// This hall's share of the rate limit.
    pub rate: Rate,
}

/// The allocation of one runner to this hall.
#[derive(Clone, Debug, Default)]
struct Allocation {
    /// `None` until it is first checked.
    bucket: Option<Bucket>,
    demand: AverageDemand,
    /// The demand of the other halls.
    others: HashMap<id::Hall, Rate>,
}

impl Allocation {
    /// Returns this hall's share of a rate.
    fn share(&self, rate: Rate, halls: &Halls, now: Millis) -> Rate {
        let others: Vec<Rate> = halls
            .others
            .iter()
            .map(|other| match other.is_silent {
                true => Rate(u64::MAX),
                false => self.others.get(other.hall).copied().unwrap_or_default(),
            })
            .collect();
        divide(rate, self.demand.rate(now), &others)
    }
}

/// Returns the max-min fair share of `rate` for a hall with demand `own`: no hall gets more than
/// its demand while another one gets less than its own, and the rest is divided evenly.
pub fn divide(rate: Rate, own: Rate, others: &[Rate]) -> Rate {
    let mut demands: Vec<u64> = others.iter().chain([&own]).map(|demand| demand.0.min(rate.0)).collect();
    demands.sort_unstable();
    let own = own.0.min(rate.0);
    let (mut rest, mut remaining_halls) = (rate.0, demands.len() as u64);
    let mut share = None;
    for demand in demands {
        let granted = demand.min(rest / remaining_halls);
        // Rounding gives the least to the first of those with equal demand; each hall counts itself
        // as the first.
        if demand == own {
            share.get_or_insert(granted);
        }
        rest -= granted;
        remaining_halls -= 1;
    }
    Rate(share.unwrap_or(0) + rest / (others.len() as u64 + 1))
}

/// What a hall may send to rate-limited runners, kept by its collector.
#[derive(Clone, Debug, Default)]
pub struct Allocations(HashMap<id::Runner, Allocation>);

impl Allocations {
    /// Records a request that is sent to a runner, or would be if its rate limit permitted it.
    pub fn record_demand(&mut self, runner: &id::Runner, now: Millis) {
        let allocation = self.0.entry(runner.clone()).or_default();
        allocation.demand.record(now);
    }

    /// Replaces the demands of another hall.
    pub fn receive_demands(&mut self, hall: &id::Hall, demands: &[Demand]) {
        for allocation in self.0.values_mut() {
            allocation.others.remove(hall);
        }
        for demand in demands {
            let row = self.0.entry(demand.runner.clone()).or_default();
            row.others.insert(hall.clone(), demand.rate);
        }
    }

    /// Lists the demands of this hall.
    pub fn list_demands(&self, now: Millis) -> Vec<Demand> {
        let demands =
            self.0.iter().map(|(id, row)| Demand { runner: id.clone(), rate: row.demand.rate(now) });
        demands.filter(|demand| demand.rate > Rate(0)).collect()
    }

    /// Returns when and how fast this hall may send to a runner with the rate limit `rate`.
    pub fn check(&mut self, runner: &id::Runner, rate: Rate, halls: &Halls, now: Millis) -> Availability {
        let allocation = self.0.entry(runner.clone()).or_default();
        let share = allocation.share(apply_min_rate(rate), halls, now);
        let bucket = allocation.bucket.get_or_insert(Bucket { tokens: halls.phase(), updated: now });
        bucket.fill(share, now);
        Availability { wait: bucket.wait(share).unwrap_or(PROBE_INTERVAL), rate: share }
    }

    /// Spends a token for a request that is sent to a runner.
    pub fn spend(&mut self, runner: &id::Runner) {
        if let Some(bucket) = self.0.get_mut(runner).and_then(|allocation| allocation.bucket.as_mut()) {
            bucket.tokens -= 1.0;
        }
    }

    /// Removes runners without a rate limit.
    pub fn retain(&mut self, is_limited: impl Fn(&id::Runner) -> bool) {
        self.0.retain(|id, _| is_limited(id));
    }
}

/// Callers retry after this fraction of their remaining time at the latest: one divided by this
/// number.
const RETRY_TIME_DIVISOR: u64 = 3;

/// A caller whose request got no permit.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The requested service.
    pub service: &'a id::Service,
    /// The model.
    pub model: Option<&'a id::Model>,
    /// How long the caller still waits, if known.
    pub remaining_time: Option<Millis>,
}

/// When callers without a permit should retry. Each gets a time of its own, so that they do not all
/// return at once.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule(HashMap<(id::Service, Option<id::Model>), Millis>);

impl RetrySchedule {
    /// Returns the time until a permit is expected for a caller. Callers that leave before that
    /// time reserve none.
    pub fn schedule(&mut self, caller: &Caller, available: Availability, now: Millis) -> Millis {
        self.0.retain(|_, next| now < *next);
        let earliest = now + available.wait;
        let key = (caller.service.clone(), caller.model.cloned());
        let next = self.0.entry(key).or_insert(earliest);
        let at = earliest.max(*next);
        let wait = at.since(now);
        if caller.remaining_time.is_none_or(|remaining_time| wait.0 <= remaining_time.0 / RETRY_TIME_DIVISOR)
        {
            *next = at + available.rate.time_to_allow(1.0).unwrap_or(PROBE_INTERVAL);
        }
        wait
    }
}

/// Token buckets for sending to rate-limited runners while no collector answers.
///
/// Every node then has the same share of the rate. A bucket begins with a random fraction of a
/// token, because otherwise all nodes of a hall would send at the same time.
#[derive(Clone, Debug, Default)]
pub struct LocalBuckets(HashMap<id::Runner, Bucket>);

impl LocalBuckets {
    /// Spends a token for a request to a runner with the rate limit `rate`, as one of `nodes`
    /// nodes. Returns whether the request may be sent.
    pub fn try_spend(
        &mut self,
        runner: &id::Runner,
        rate: Rate,
        nodes: usize,
        now: Millis,
        rng: &mut impl Rng,
    ) -> bool {
        self.0.retain(|_, bucket| now <= bucket.updated + MAX_IDLE);
        let share = Rate(apply_min_rate(rate).0 / nodes.max(1) as u64);
        let initial = Bucket { tokens: rng.random(), updated: now };
        let bucket = self.0.entry(runner.clone()).or_insert(initial);
        bucket.fill(share, now);
        let granted = bucket.tokens >= 1.0;
        if granted {
            bucket.tokens -= 1.0;
        }
        granted
    }
}
