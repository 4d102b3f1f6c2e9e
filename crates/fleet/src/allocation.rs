//! Sharing the rate that a runner takes among the halls, and keeping a hall's part.
//!
//! The load this answers: a runner that takes two requests a second from all nodes together,
//! before hundreds of nodes. The collector of a hall lets each request of its hall go there one
//! by one, so only halls share. They tell each other what they demand there, several times a
//! second, and each works out its own part from that: a hall that demands little leaves the rest
//! to the others, and a hall of which nothing is heard keeps what would be its part if all
//! demand the capacity, which is also what it takes by itself.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::rate::Rate;

/// What is demand of a runner is averaged over this time, in milliseconds.
const DEMAND_AVERAGE_TIME: f64 = 2000.0;

/// A part may be tokens up for this long, beside [`MIN_BURST`].
const BURST_TIME: Millis = Millis(100);

/// So many requests may be tokens up in any case: one, and what comes free until there is work for
/// it. With five halls that all send what they tokens, this stays within half as much again
/// as a runner takes in four seconds, and five.
const MIN_BURST: f64 = 1.25;

/// A runner that names less than one request in this time gets one all the same: only an answer
/// can tell that it takes more again.
const PROBE_INTERVAL: Millis = Millis(5000);

/// A node that lets requests go by itself saves nothing up over a longer pause than this.
const MAX_IDLE: Millis = Millis(1000);

/// The rate that is kept for a runner that names `rate`.
fn apply_min_rate(rate: Rate) -> Rate {
    rate.max(Rate::per_second(1000.0 / PROBE_INTERVAL.0 as f64))
}

/// Requests tokens up at a rate.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated: Millis,
}

impl Bucket {
    /// Takes in what a rate has allowed since the last look.
    fn fill(&mut self, rate: Rate, now: Millis) {
        let capacity = MIN_BURST + rate.count(BURST_TIME);
        self.tokens = (self.tokens + rate.count(now.since(self.updated))).min(capacity);
        self.updated = now;
    }

    /// How long until one request may go; none if that never comes.
    fn wait(&self, rate: Rate) -> Option<Millis> {
        if self.tokens >= 1.0 { Some(Millis(0)) } else { rate.time_to_allow(1.0 - self.tokens) }
    }
}

/// What is demand of a runner, averaged.
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

/// What a hall demands of a runner, as its collector tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The runner.
    pub runner: id::Runner,
    /// So many requests a second.
    pub rate: Rate,
}

/// Another hall, as it is taken into account.
#[derive(Clone, Copy, Debug)]
pub struct OtherHall<'a> {
    /// The hall.
    pub hall: &'a id::Hall,
    /// Whether its collector has not told for a while.
    pub is_silent: bool,
}

/// The halls that share a rate.
#[derive(Clone, Debug)]
pub struct Halls<'a> {
    /// The hall that asks.
    pub own: &'a id::Hall,
    /// All others.
    pub others: Vec<OtherHall<'a>>,
}

impl Halls<'_> {
    /// Where in a request's turn this hall begins, from 0 to 1: if all began with nothing, all
    /// would send at once and then nothing for as long.
    fn phase(&self) -> f64 {
        let before = self.others.iter().filter(|other| other.hall < self.own).count();
        before as f64 / (self.others.len() + 1) as f64
    }
}

/// What a runner takes from this hall at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Until the next request may go there.
    pub wait: Millis,
    /// This hall's part of its rate.
    pub rate: Rate,
}

/// What a hall may send to one runner.
#[derive(Clone, Debug, Default)]
struct Allocation {
    /// None until it is first looked at.
    bucket: Option<Bucket>,
    demand: AverageDemand,
    /// What the other halls demand.
    others: HashMap<id::Hall, Rate>,
}

impl Allocation {
    /// This hall's part of a rate.
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

/// The part of `rate` for who demands `own`, beside others: nobody gets more than he demands as long
/// as another one demands more than he gets, and what nobody demands is dealt out evenly.
pub fn divide(rate: Rate, own: Rate, others: &[Rate]) -> Rate {
    let mut demands: Vec<u64> = others.iter().chain([&own]).map(|demand| demand.0.min(rate.0)).collect();
    demands.sort_unstable();
    let own = own.0.min(rate.0);
    let (mut rest, mut remaining_halls) = (rate.0, demands.len() as u64);
    let mut share = None;
    for demand in demands {
        let granted = demand.min(rest / remaining_halls);
        // Of those that demand as much as others the first gets the least: each takes itself for it.
        if demand == own {
            share.get_or_insert(granted);
        }
        rest -= granted;
        remaining_halls -= 1;
    }
    Rate(share.unwrap_or(0) + rest / (others.len() as u64 + 1))
}

/// What a hall may send to the runners that name a rate. Its collector keeps it.
#[derive(Clone, Debug, Default)]
pub struct Allocations(HashMap<id::Runner, Allocation>);

impl Allocations {
    /// A request would go to a runner but for its rate, or granted there.
    pub fn record_demand(&mut self, runner: &id::Runner, now: Millis) {
        let allocation = self.0.entry(runner.clone()).or_default();
        allocation.demand.record(now);
    }

    /// Another hall tells all that it demands.
    pub fn receive_demands(&mut self, hall: &id::Hall, demands: &[Demand]) {
        for allocation in self.0.values_mut() {
            allocation.others.remove(hall);
        }
        for demand in demands {
            let row = self.0.entry(demand.runner.clone()).or_default();
            row.others.insert(hall.clone(), demand.rate);
        }
    }

    /// All that this hall demands.
    pub fn list_demands(&self, now: Millis) -> Vec<Demand> {
        let demands =
            self.0.iter().map(|(id, row)| Demand { runner: id.clone(), rate: row.demand.rate(now) });
        demands.filter(|demand| demand.rate > Rate(0)).collect()
    }

    /// What a runner that names `rate` takes from this hall.
    pub fn check(&mut self, runner: &id::Runner, rate: Rate, halls: &Halls, now: Millis) -> Availability {
        let allocation = self.0.entry(runner.clone()).or_default();
        let share = allocation.share(apply_min_rate(rate), halls, now);
        let bucket = allocation.bucket.get_or_insert(Bucket { tokens: halls.phase(), updated: now });
        bucket.fill(share, now);
        Availability { wait: bucket.wait(share).unwrap_or(PROBE_INTERVAL), rate: share }
    }

    /// A request granted to a runner.
    pub fn spend(&mut self, runner: &id::Runner) {
        if let Some(bucket) = self.0.get_mut(runner).and_then(|allocation| allocation.bucket.as_mut()) {
            bucket.tokens -= 1.0;
        }
    }

    /// Forgets runners that name no rate any more.
    pub fn retain(&mut self, is_limited: impl Fn(&id::Runner) -> bool) {
        self.0.retain(|id, _| is_limited(id));
    }
}

/// Callers come back after this part of the time that they still wait at the latest.
const RETRY_TIME_DIVISOR: u64 = 3;

/// A caller that found no place.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The service that it asked for.
    pub service: &'a id::Service,
    /// The model.
    pub model: Option<&'a id::Model>,
    /// How long it still waits; none if that is not said.
    pub remaining_time: Option<Millis>,
}

/// When callers that found no place come back: each meets a place then, and not all the others.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule(HashMap<(id::Service, Option<id::Model>), Millis>);

impl RetrySchedule {
    /// How long until there is a place for a caller, where the first one is `wait` away and
    /// `part` comes free from then on. Who does not wait that long takes none.
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

/// What a node may send to runners that name a rate while no collector answers it.
///
/// Each node has the same part of the rate then. Where a pause begins it has tokens up nothing, but
/// begins anywhere between two requests: the nodes of a hall would else all send at once.
#[derive(Clone, Debug, Default)]
pub struct LocalBuckets(HashMap<id::Runner, Bucket>);

impl LocalBuckets {
    /// Whether a node, one of `nodes`, sends a request to a runner that takes `rate`.
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
