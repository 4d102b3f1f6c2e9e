//! A runner that names a rate, before the nodes of several halls, on a set clock.
//!
//! The load: every hall has more requests that would go to the runner than it takes. What runners
//! say travels as it does between nodes: in answers, in reports to the collector of the hall, and
//! between collectors. Compared are ways to share the rate; the kept one is the product's own code.

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

/// When the runner first names its rate.
pub const ANNOUNCED: u64 = 3000;

/// The rule binds from then on.
pub const ENFORCED_FROM: u64 = ANNOUNCED + 3000;

/// When trouble begins, and when it is over.
pub const FAULT_PERIOD: std::ops::Range<u64> = 20_000..30_000;

/// How long is played.
pub const END: u64 = 50_000;

/// The rule counts requests over this time.
pub const WINDOW: u64 = 4000;

/// The rate is to be used over this time.
pub const UTILIZATION_WINDOW: u64 = 10_000;

/// The part of the requests that go to the runner while it names no rate.
const UNLIMITED_SHARE: f64 = 0.15;

/// Collectors tell each other this often.
const EXCHANGE_INTERVAL: u64 = 150;

/// What the other ways save up, as the product does.
const BURST: f64 = 1.25;

/// A lease lasts this long.
const LEASE_TTL: u64 = 1500;

/// How the rate is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// It is not kept.
    Forgotten,
    /// Each node keeps its part of the nodes it knows.
    Nodes,
    /// Each hall keeps its part of the halls it knows.
    Halls,
    /// The collector of the runner's hall lends parts to the others for a while.
    Lent,
    /// Halls share by what they want, those that are silent keep their part.
    Wanted,
}

pub const POLICIES: [Policy; 5] =
    [Policy::Forgotten, Policy::Nodes, Policy::Halls, Policy::Lent, Policy::Wanted];

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// A hall is cut off from the others and from the runner.
    HallCut,
    /// The same, but it still reaches the runner.
    HallApart,
    /// The collector of the runner's hall is lost; another one begins a second later.
    CollectorLost,
    /// It stands still for three seconds and goes on with what it had.
    CollectorSuspended,
    /// The rate falls to a tenth for a while.
    Falls,
    /// It is ten times as high for a while.
    Rises,
    /// It changes between its value and half of it ten times a second.
    Flickers,
    /// The runner starts again, and names no rate for the first second.
    Reborn,
    /// One node alone has work for it.
    OneNode,
    /// A hall has no work for it but for a while.
    WorkMoves,
    /// A hall comes and goes.
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

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The most requests in a window beyond what the rate allows in it.
    pub excess: f64,
    /// The most in a window, against what may come at the most.
    pub load_ratio: f64,
    /// The least part of the rate that was used over some time.
    pub utilization: f64,
    /// The same, before trouble.
    pub calm_utilization: f64,
}

/// The collector of a hall.
#[derive(Default)]
struct Collector {
    table: Table,
    allocations: Allocations,
    /// When each other hall last told.
    last_reports: Vec<Option<u64>>,
    /// What it has lent, or was lent, and until when.
    lease: Option<(Rate, u64)>,
    /// What it wants, and what others want, for lending.
    demands: Vec<Rate>,
    tokens: f64,
    refilled: u64,
}

/// An answer under way, by when it comes.
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
    /// Claims on the way from a node to its collector.
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

    /// The rate that the runner names at a time.
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

    /// How many requests a second a hall has for the runner.
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

    /// Whether a request of a node goes to the runner.
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

    /// A node reads an answer, and tells its collector before long.
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

    /// Collectors tell each other what they know and want.
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

    /// The collector of the runner's hall lends parts to those it reaches.
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

    /// What the runner takes up to each moment, as it names it.
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

    /// Whether a window that begins then counts: a runner that has started again names its rate
    /// anew, and has to have done so for as long as at first.
    fn is_enforced(&self, from: u64) -> bool {
        let announced = FAULT_PERIOD.start + 1000;
        self.fault != Fault::Reborn
            || !(FAULT_PERIOD.start - WINDOW..announced + ENFORCED_FROM - ANNOUNCED).contains(&from)
    }

    /// Plays it all, and says when requests were sent.
    pub fn trace(mut self) -> Vec<u64> {
        for now in 0..END {
            self.step(now);
        }
        self.sent
    }

    /// Plays it all.
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

/// The mean, or the worst, of a figure over seeds.
pub fn find_max(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(metric).fold(f64::MIN, f64::max)
}

pub fn find_min(outcomes: &[Outcome], metric: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(metric).fold(f64::MAX, f64::min)
}

/// Plays some seeds.
pub fn simulate(
    policy: Policy,
    fault: Fault,
    nodes: usize,
    rate: f64,
    seeds: std::ops::Range<u64>,
) -> Vec<Outcome> {
    seeds.map(|seed| Simulation::new(policy, fault, nodes, rate, seed).simulate()).collect()
}
