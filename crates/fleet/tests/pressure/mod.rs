//! Simulates a runner that announces a rate limit, and the nodes of several halls that send to it.
//!
//! Every hall has more requests for the runner than the runner accepts. Rate limits travel as they do
//! between real nodes: in answers, in reports to the collector of the hall, and between collectors. The
//! simulation compares ways to share the rate; [`Policy::Wanted`] is the code of the product.

#![allow(dead_code, reason = "tests and the benchmark each use a part of this module")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::allocation::{Allocations, Demand, Halls, LocalBuckets, OtherHall, divide};
use cottoncrank_fleet::occupancy::REPORT_TTL;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_fleet::throttle::{Message, RateLimit, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// When the runner first announces its rate limit.
pub const ANNOUNCED: u64 = 3000;

/// From when on the limit must be kept.
pub const ENFORCED_FROM: u64 = ANNOUNCED + 3000;

/// When the fault begins and ends.
pub const FAULT_PERIOD: std::ops::Range<u64> = 20_000..30_000;

/// The duration of the simulation.
pub const END: u64 = 50_000;

/// The window over which requests are compared with the limit.
pub const WINDOW: u64 = 4000;

/// The window over which the utilization of the rate is measured.
pub const UTILIZATION_WINDOW: u64 = 10_000;

/// The fraction of requests that go to the runner while it announces no rate.
const UNLIMITED_SHARE: f64 = 0.15;

/// The interval of reports between collectors.
const EXCHANGE_INTERVAL: u64 = 150;

/// The burst of the token buckets of the other policies, as large as the product's.
const BURST: f64 = 1.25;

/// The lifetime of a lease of [`Policy::Lent`].
const LEASE_TTL: u64 = 1500;

/// How the rate is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It is ignored.
    Forgotten,
    /// Each node enforces an equal share of the nodes that it knows.
    Nodes,
    /// Each hall enforces an equal share of the halls that it knows.
    Halls,
    /// The collector of the runner's hall leases shares to the others.
    Lent,
    /// Halls share by their demand, and reserve the shares of those that send no reports.
    Wanted,
}

pub const POLICIES: [Policy; 5] =
    [Policy::Forgotten, Policy::Nodes, Policy::Halls, Policy::Lent, Policy::Wanted];

/// The injected fault or change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// A hall is partitioned from the others and from the runner.
    HallCut,
    /// The same, but it still reaches the runner.
    HallApart,
    /// The collector of the runner's hall is lost; another one begins a second later.
    CollectorLost,
    /// It is suspended for three seconds and resumes with its former state.
    CollectorSuspended,
    /// The rate is a tenth for a while.
    Falls,
    /// The rate is ten times as high for a while.
    Rises,
    /// The rate alternates between its value and half of it ten times a second.
    Flickers,
    /// The runner restarts and announces no rate for the first second.
    Reborn,
    /// Only one node has requests for the runner.
    OneNode,
    /// The demand of one hall moves to another one for a while.
    WorkMoves,
    /// A hall is part of the fleet only for a while.
    HallJoins,
}

pub const FAULTS: [Fault; 12] = [
    Fault::Nothing,
    Fault::HallCut,
    Fault::HallApart,
    Fault::CollectorLost,
    Fault::CollectorSuspended,
    Fault::Falls,
    Fault::Rises,
    Fault::Flickers,
    Fault::Reborn,
    Fault::OneNode,
    Fault::WorkMoves,
    Fault::HallJoins,
];

/// The result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The maximum number of requests in a window beyond what the rate allows.
    pub excess: f64,
    /// The maximum ratio of the requests in a window to the bound of the test.
    pub load_ratio: f64,
    /// The minimum fraction of the rate that was used in a window.
    pub utilization: f64,
    /// The same, before the fault.
    pub calm_utilization: f64,
}

/// The collector of a hall.
#[derive(Default)]
struct Collector {
    table: Table,
    allocations: Allocations,
    /// When each other hall last sent a report.
    last_reports: Vec<Option<u64>>,
    /// The share that it leases, and until when.
    lease: Option<(Rate, u64)>,
    /// The demand of each hall, for [`Policy::Lent`].
    demands: Vec<Rate>,
    tokens: f64,
    refilled: u64,
}

/// An answer in transit, ordered by its time of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    at: u64,
    node: usize,
    requested: u64,
    rate: Option<Rate>,
    incarnation: u64,
}

pub struct Simulation {
    policy: Policy,
    fault: Fault,
    rate: f64,
    nodes: usize,
    halls: Vec<id::Hall>,
    collectors: Vec<Collector>,
    tables: Vec<Table>,
    local_buckets: Vec<LocalBuckets>,
    runner: id::Runner,
    answers: BinaryHeap<Reverse<Answer>>,
    /// Reports from nodes to their collectors, by their time of arrival.
    reports: BinaryHeap<Reverse<(u64, usize)>>,
    sent: Vec<u64>,
    rng: SmallRng,
    base_demand: f64,
}

impl Simulation {
    pub fn new(policy: Policy, fault: Fault, nodes: usize, rate: f64, seed: u64) -> Simulation {
        let halls: Vec<id::Hall> = (0..3).map(|n| format!("hall-{n}").parse().unwrap()).collect();
        let collector = || Collector {
            last_reports: vec![Some(0); 3],
            demands: vec![Rate(0); 3],
            ..Collector::default()
        };
        Simulation {
            policy,
            fault,
            rate,
            nodes,
            collectors: halls.iter().map(|_| collector()).collect(),
            halls,
            tables: vec![Table::default(); nodes],
            local_buckets: vec![LocalBuckets::default(); nodes],
            runner: "r".parse().unwrap(),
            answers: BinaryHeap::new(),
            reports: BinaryHeap::new(),
            sent: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            base_demand: 5.0 * rate,
        }
    }

    fn has_fault(&self, fault: Fault, now: u64) -> bool {
        self.fault == fault && FAULT_PERIOD.contains(&now)
    }

    fn incarnation(&self, now: u64) -> u64 {
        u64::from(self.fault == Fault::Reborn && now >= FAULT_PERIOD.start)
    }

    /// Returns the rate that the runner announces at a time.
    fn announced_rate(&self, now: u64) -> Option<f64> {
        let restarting = self.has_fault(Fault::Reborn, now) && now < FAULT_PERIOD.start + 1000;
        if now < ANNOUNCED || restarting {
            return None;
        }
        Some(match self.fault {
            Fault::Falls if FAULT_PERIOD.contains(&now) => self.rate / 10.0,
            Fault::Rises if FAULT_PERIOD.contains(&now) => self.rate * 10.0,
            Fault::Flickers if FAULT_PERIOD.contains(&now) && (now / 100).is_multiple_of(2) => {
                self.rate / 2.0
            }
            _ => self.rate,
        })
    }

    fn hall_of(&self, node: usize) -> usize {
        node % self.halls.len()
    }

    fn is_cut(&self, hall: usize, now: u64) -> bool {
        hall == 2 && (self.has_fault(Fault::HallCut, now) || self.has_fault(Fault::HallApart, now))
    }

    fn is_present(&self, hall: usize, now: u64) -> bool {
        self.fault != Fault::HallJoins || hall != 2 || FAULT_PERIOD.contains(&now)
    }

    /// Whether the collector of a hall answers its nodes.
    fn is_responding(&self, hall: usize, now: u64) -> bool {
        let gone = match self.fault {
            Fault::CollectorLost => 1000,
            Fault::CollectorSuspended => 3000,
            _ => 0,
        };
        hall != 0 || !(FAULT_PERIOD.start..FAULT_PERIOD.start + gone).contains(&now)
    }

    /// Returns the requests per second that a hall has for the runner.
    fn demand_of(&self, hall: usize, now: u64) -> f64 {
        let factor = if self.fault == Fault::Rises { 10.0 } else { 1.0 };
        match self.fault {
            Fault::WorkMoves if hall == 0 && FAULT_PERIOD.contains(&now) => 0.0,
            Fault::WorkMoves if hall == 1 && !FAULT_PERIOD.contains(&now) => 0.0,
            Fault::OneNode if hall != 1 => 0.0,
            _ if !self.is_present(hall, now) => 0.0,
            _ => self.base_demand * factor,
        }
    }

    fn other_halls(&self, hall: usize, now: u64) -> Vec<OtherHall<'_>> {
        let others = (0..self.halls.len()).filter(|other| *other != hall && self.is_present(*other, now));
        let silent = |other: usize| {
            self.collectors[hall].last_reports[other]
                .is_none_or(|last_report| now >= last_report + REPORT_TTL.0)
        };
        others.map(|other| OtherHall { hall: &self.halls[other], is_silent: silent(other) }).collect()
    }

    /// Whether a request of a node is sent to the runner. Spends a token if so.
    fn try_admit(&mut self, node: usize, now: u64) -> bool {
        let hall = self.hall_of(node);
        if self.has_fault(Fault::HallCut, now) && hall == 2 {
            return false;
        }
        let unlimited = self.rng.random::<f64>() < UNLIMITED_SHARE;
        let (time, incarnation) = (Millis(now), Some(Incarnation(self.incarnation(now))));
        let announced = self.tables[node].find(&self.runner, incarnation);
        if self.policy == Policy::Forgotten {
            return unlimited;
        }
        if self.policy == Policy::Nodes || !self.is_responding(hall, now) {
            let Some(rate) = announced else { return unlimited };
            let runner = self.runner.clone();
            return self.local_buckets[node].try_spend(&runner, rate, self.nodes, time, &mut self.rng);
        }
        let Some(rate) = self.collectors[hall].table.find(&self.runner, incarnation) else {
            return unlimited;
        };
        let other_halls = self.other_halls(hall, now);
        let count = other_halls.len() as u64 + 1;
        let share = match self.policy {
            Policy::Wanted => {
                let other_halls: Vec<(id::Hall, bool)> =
                    other_halls.iter().map(|other| (other.hall.clone(), other.is_silent)).collect();
                let other_halls: Vec<OtherHall> =
                    other_halls.iter().map(|(hall, silent)| OtherHall { hall, is_silent: *silent }).collect();
                let hall_id = self.halls[hall].clone();
                let halls = Halls { own: &hall_id, others: other_halls };
                let allocations = &mut self.collectors[hall].allocations;
                allocations.record_demand(&self.runner, time);
                let admitted = allocations.check(&self.runner, rate, &halls, time).wait == Millis(0);
                if admitted {
                    allocations.spend(&self.runner);
                }
                return admitted;
            }
            Policy::Lent => {
                let collector = &mut self.collectors[hall];
                collector.demands[hall] = rate;
                collector.lease.filter(|(_, until)| now < *until).map_or(Rate(0), |(share, _)| share)
            }
            _ => Rate(rate.0 / count),
        };
        let collector = &mut self.collectors[hall];
        collector.tokens = (collector.tokens + share.count(Millis(now - collector.refilled))).min(BURST);
        collector.refilled = now;
        let admitted = collector.tokens >= 1.0;
        if admitted {
            collector.tokens -= 1.0;
        }
        admitted
    }

    fn send(&mut self, node: usize, now: u64) {
        self.sent.push(now);
        let at = now + self.rng.random_range(50..400);
        let rate = self.announced_rate(at - 2).map(Rate::per_second);
        self.answers.push(Reverse(Answer {
            at,
            node,
            requested: now,
            rate,
            incarnation: self.incarnation(at - 2),
        }));
    }

    /// Receives answers at nodes, and schedules their reports to the collectors.
    fn receive_answers(&mut self, now: u64) {
        while let Some(Reverse(Answer { at, node, requested, rate, incarnation })) =
            self.answers.peek().copied()
        {
            if at > now {
                return;
            }
            self.answers.pop();
            let rate_limit = RateLimit {
                runner: self.runner.clone(),
                incarnation: Some(Incarnation(incarnation)),
                rate,
                sent: Millis(requested),
                received: Millis(at),
            };
            self.tables[node].apply(rate_limit);
            self.reports.push(Reverse((now + self.rng.random_range(1..500), node)));
        }
    }

    fn report_to_collectors(&mut self, now: u64) {
        while let Some(Reverse((at, node))) = self.reports.peek().copied() {
            if at > now {
                return;
            }
            self.reports.pop();
            let hall = self.hall_of(node);
            let messages: Vec<Message> =
                self.tables[node].iter().map(|rate_limit| rate_limit.to_message(Millis(now))).collect();
            if self.is_responding(hall, now) {
                for message in messages {
                    self.collectors[hall].table.apply(message.to_rate_limit(Millis(now)));
                }
            }
        }
    }

    /// Exchanges rate limits and demand between collectors.
    fn exchange(&mut self, now: u64) {
        for from in 0..self.halls.len() {
            if !self.is_responding(from, now) || !self.is_present(from, now) {
                continue;
            }
            let messages: Vec<Message> = self.collectors[from]
                .table
                .iter()
                .map(|rate_limit| rate_limit.to_message(Millis(now)))
                .collect();
            let hall_demands: Vec<Demand> = self.collectors[from].allocations.list_demands(Millis(now));
            let demand = self.collectors[from].demands[from];
            for to in 0..self.halls.len() {
                let reaches = !self.is_cut(from, now) && !self.is_cut(to, now);
                if to == from || !reaches || !self.is_responding(to, now) {
                    continue;
                }
                let hall = self.halls[from].clone();
                let collector = &mut self.collectors[to];
                collector.last_reports[from] = Some(now);
                collector.demands[from] = demand;
                for message in &messages {
                    collector.table.apply(message.to_rate_limit(Millis(now)));
                }
                collector.allocations.receive_demands(&hall, &hall_demands);
            }
        }
        self.renew_leases(now);
    }

    /// Leases shares from the collector of the runner's hall to the halls that it reaches.
    fn renew_leases(&mut self, now: u64) {
        if !self.is_responding(0, now) {
            return;
        }
        let Some(rate) =
            self.collectors[0].table.find(&self.runner, Some(Incarnation(self.incarnation(now))))
        else {
            return;
        };
        let demands = self.collectors[0].demands.clone();
        for to in 0..self.halls.len() {
            let others: Vec<Rate> =
                (0..demands.len()).filter(|other| *other != to).map(|other| demands[other]).collect();
            if !self.is_cut(to, now) && self.is_present(to, now) {
                self.collectors[to].lease = Some((divide(rate, demands[to], &others), now + LEASE_TTL));
            }
        }
    }

    fn step(&mut self, now: u64) {
        if now == FAULT_PERIOD.start && self.fault == Fault::CollectorLost {
            self.collectors[0] =
                Collector { last_reports: vec![None; 3], demands: vec![Rate(0); 3], ..Collector::default() };
        }
        self.receive_answers(now);
        self.report_to_collectors(now);
        if now.is_multiple_of(EXCHANGE_INTERVAL) {
            self.exchange(now);
        }
        for hall in 0..self.halls.len() {
            if self.rng.random::<f64>() >= self.demand_of(hall, now) / 1000.0 {
                continue;
            }
            let of_hall = self.nodes / self.halls.len();
            let number = if self.fault == Fault::OneNode { 0 } else { self.rng.random_range(0..of_hall) };
            let node = number * self.halls.len() + hall;
            if self.try_admit(node, now) {
                self.send(node, now);
            }
        }
    }

    /// Returns the number of requests allowed up to each millisecond by the announced rate.
    fn sum_allowed(&self) -> Vec<f64> {
        let each = (0..END).map(|now| self.announced_rate(now).unwrap_or(self.rate) / 1000.0);
        let sums = each.scan(0.0, |sum, allowed| {
            *sum += allowed;
            Some(*sum)
        });
        std::iter::once(0.0).chain(sums).collect()
    }

    fn count(&self, from: u64, to: u64) -> f64 {
        let count_before = |at: u64| self.sent.partition_point(|sent| *sent < at);
        (count_before(to) - count_before(from)) as f64
    }

    /// Whether the limit must be kept in a window that begins at `from`. A restarted runner announces its
    /// rate again, and nodes get as much time to learn of it as at first.
    fn is_enforced(&self, from: u64) -> bool {
        let announced = FAULT_PERIOD.start + 1000;
        self.fault != Fault::Reborn
            || !(FAULT_PERIOD.start - WINDOW..announced + ENFORCED_FROM - ANNOUNCED).contains(&from)
    }

    /// Runs the simulation and returns when requests were sent.
    pub fn trace(mut self) -> Vec<u64> {
        for now in 0..END {
            self.step(now);
        }
        self.sent
    }

    /// Runs the simulation.
    pub fn simulate(mut self) -> Outcome {
        for now in 0..END {
            self.step(now);
        }
        let sums = self.sum_allowed();
        let allow = |from: u64, to: u64| sums[to as usize] - sums[from as usize];
        let mut outcome = Outcome {
            excess: f64::MIN,
            utilization: f64::MAX,
            calm_utilization: f64::MAX,
            ..Outcome::default()
        };
        for from in (ENFORCED_FROM..END - WINDOW).step_by(50).filter(|from| self.is_enforced(*from)) {
            let (sent, allowed) = (self.count(from, from + WINDOW), allow(from, from + WINDOW));
            outcome.excess = outcome.excess.max(sent - allowed);
            outcome.load_ratio = outcome.load_ratio.max(sent / (allowed * 1.5 + 5.0));
        }
        for from in (ENFORCED_FROM..END - UTILIZATION_WINDOW).step_by(100) {
            let utilization =
                self.count(from, from + UTILIZATION_WINDOW) / allow(from, from + UTILIZATION_WINDOW);
            outcome.utilization = outcome.utilization.min(utilization);
            if from + UTILIZATION_WINDOW <= FAULT_PERIOD.start {
                outcome.calm_utilization = outcome.calm_utilization.min(utilization);
            }
        }
        outcome
    }
}

/// Returns the maximum of a metric over seeds.
pub fn find_max(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(metric).fold(f64::MIN, f64::max)
}

/// Returns the minimum of a metric over seeds.
pub fn find_min(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(metric).fold(f64::MAX, f64::min)
}

/// Runs the simulation with each seed.
pub fn simulate(
    policy: Policy,
    fault: Fault,
    nodes: usize,
    rate: f64,
    seeds: std::ops::Range<u64>,
) -> Vec<Outcome> {
    seeds.map(|seed| Simulation::new(policy, fault, nodes, rate, seed).simulate()).collect()
}
