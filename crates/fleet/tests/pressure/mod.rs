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
pub const NAMED: u64 = 3000;

/// The rule binds from then on.
pub const BINDS: u64 = NAMED + 3000;

/// When trouble begins, and when it is over.
pub const TROUBLE: std::ops::Range<u64> = 20_000..30_000;

/// How long is played.
pub const END: u64 = 50_000;

/// The rule counts requests over this time.
pub const WINDOW: u64 = 4000;

/// The rate is to be used over this time.
pub const USED_OVER: u64 = 10_000;

/// The part of the requests that go to the runner while it names no rate.
const NATURAL: f64 = 0.15;

/// Collectors tell each other this often.
const EXCHANGE: u64 = 150;

/// What the other ways save up, as the product does.
const SAVED: f64 = 1.25;

/// A lease lasts this long.
const LEASE: u64 = 1500;

/// How the rate is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
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

pub const WAYS: [Way; 5] = [Way::Forgotten, Way::Nodes, Way::Halls, Way::Lent, Way::Wanted];

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
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

pub const TROUBLES: [Trouble; 12] = [
    Trouble::Nothing,
    Trouble::HallCut,
    Trouble::HallApart,
    Trouble::CollectorLost,
    Trouble::CollectorSuspended,
    Trouble::Falls,
    Trouble::Rises,
    Trouble::Flickers,
    Trouble::Reborn,
    Trouble::OneNode,
    Trouble::WorkMoves,
    Trouble::HallJoins,
];

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The most requests in a window beyond what the rate allows in it.
    pub excess: f64,
    /// The most in a window, against what may come at the most.
    pub against: f64,
    /// The least part of the rate that was used over some time.
    pub used: f64,
    /// The same, before trouble.
    pub used_calm: f64,
}

/// The collector of a hall.
#[derive(Default)]
struct Collector {
    table: Table,
    rations: Allocations,
    /// When each other hall last told.
    heard: Vec<Option<u64>>,
    /// What it has lent, or was lent, and until when.
    lease: Option<(Rate, u64)>,
    /// What it wants, and what others want, for lending.
    wants: Vec<Rate>,
    spare: f64,
    at: u64,
}

/// An answer under way, by when it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    at: u64,
    node: usize,
    asked: u64,
    named: Option<Rate>,
    life: u64,
}

pub struct Scene {
    way: Way,
    trouble: Trouble,
    rate: f64,
    nodes: usize,
    halls: Vec<id::Hall>,
    collectors: Vec<Collector>,
    tables: Vec<Table>,
    alone: Vec<LocalBuckets>,
    runner: id::Runner,
    answers: BinaryHeap<Reverse<Answer>>,
    /// Claims on the way from a node to its collector.
    reports: BinaryHeap<Reverse<(u64, usize)>>,
    sent: Vec<u64>,
    rng: SmallRng,
    work: f64,
}

impl Scene {
    pub fn new(way: Way, trouble: Trouble, nodes: usize, rate: f64, seed: u64) -> Scene {
        let halls: Vec<id::Hall> = (0..3).map(|n| format!("hall-{n}").parse().unwrap()).collect();
        let collector =
            || Collector { heard: vec![Some(0); 3], wants: vec![Rate(0); 3], ..Collector::default() };
        Scene {
            way,
            trouble,
            rate,
            nodes,
            collectors: halls.iter().map(|_| collector()).collect(),
            halls,
            tables: vec![Table::default(); nodes],
            alone: vec![LocalBuckets::default(); nodes],
            runner: "r".parse().unwrap(),
            answers: BinaryHeap::new(),
            reports: BinaryHeap::new(),
            sent: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            work: 5.0 * rate,
        }
    }

    fn in_trouble(&self, trouble: Trouble, now: u64) -> bool {
        self.trouble == trouble && TROUBLE.contains(&now)
    }

    fn life(&self, now: u64) -> u64 {
        u64::from(self.trouble == Trouble::Reborn && now >= TROUBLE.start)
    }

    /// The rate that the runner names at a time.
    fn named(&self, now: u64) -> Option<f64> {
        let reborn = self.in_trouble(Trouble::Reborn, now) && now < TROUBLE.start + 1000;
        if now < NAMED || reborn {
            return None;
        }
        Some(match self.trouble {
            Trouble::Falls if TROUBLE.contains(&now) => self.rate / 10.0,
            Trouble::Rises if TROUBLE.contains(&now) => self.rate * 10.0,
            Trouble::Flickers if TROUBLE.contains(&now) && (now / 100).is_multiple_of(2) => self.rate / 2.0,
            _ => self.rate,
        })
    }

    fn hall_of(&self, node: usize) -> usize {
        node % self.halls.len()
    }

    fn is_cut(&self, hall: usize, now: u64) -> bool {
        hall == 2 && (self.in_trouble(Trouble::HallCut, now) || self.in_trouble(Trouble::HallApart, now))
    }

    fn is_there(&self, hall: usize, now: u64) -> bool {
        self.trouble != Trouble::HallJoins || hall != 2 || TROUBLE.contains(&now)
    }

    /// Whether the collector of a hall answers its nodes.
    fn answers(&self, hall: usize, now: u64) -> bool {
        let gone = match self.trouble {
            Trouble::CollectorLost => 1000,
            Trouble::CollectorSuspended => 3000,
            _ => 0,
        };
        hall != 0 || !(TROUBLE.start..TROUBLE.start + gone).contains(&now)
    }

    /// How many requests a second a hall has for the runner.
    fn work_of(&self, hall: usize, now: u64) -> f64 {
        let high = if self.trouble == Trouble::Rises { 10.0 } else { 1.0 };
        match self.trouble {
            Trouble::WorkMoves if hall == 0 && TROUBLE.contains(&now) => 0.0,
            Trouble::WorkMoves if hall == 1 && !TROUBLE.contains(&now) => 0.0,
            Trouble::OneNode if hall != 1 => 0.0,
            _ if !self.is_there(hall, now) => 0.0,
            _ => self.work * high,
        }
    }

    fn neighbors(&self, hall: usize, now: u64) -> Vec<OtherHall<'_>> {
        let others = (0..self.halls.len()).filter(|other| *other != hall && self.is_there(*other, now));
        let silent =
            |other: usize| self.collectors[hall].heard[other].is_none_or(|heard| now >= heard + REPORT_TTL.0);
        others.map(|other| OtherHall { hall: &self.halls[other], is_silent: silent(other) }).collect()
    }

    /// Whether a request of a node goes to the runner.
    fn goes(&mut self, node: usize, now: u64) -> bool {
        let hall = self.hall_of(node);
        if self.in_trouble(Trouble::HallCut, now) && hall == 2 {
            return false;
        }
        let natural = self.rng.random::<f64>() < NATURAL;
        let (time, life) = (Millis(now), Some(Incarnation(self.life(now))));
        let own = self.tables[node].find(&self.runner, life);
        if self.way == Way::Forgotten {
            return natural;
        }
        if self.way == Way::Nodes || !self.answers(hall, now) {
            let Some(rate) = own else { return natural };
            let runner = self.runner.clone();
            return self.alone[node].try_spend(&runner, rate, self.nodes, time, &mut self.rng);
        }
        let Some(rate) = self.collectors[hall].table.find(&self.runner, life) else { return natural };
        let neighbors = self.neighbors(hall, now);
        let count = neighbors.len() as u64 + 1;
        let part = match self.way {
            Way::Wanted => {
                let neighbors: Vec<(id::Hall, bool)> =
                    neighbors.iter().map(|other| (other.hall.clone(), other.is_silent)).collect();
                let neighbors: Vec<OtherHall> =
                    neighbors.iter().map(|(hall, silent)| OtherHall { hall, is_silent: *silent }).collect();
                let own = self.halls[hall].clone();
                let halls = Halls { own: &own, others: neighbors };
                let rations = &mut self.collectors[hall].rations;
                rations.record_demand(&self.runner, time);
                let goes = rations.check(&self.runner, rate, &halls, time).wait == Millis(0);
                if goes {
                    rations.spend(&self.runner);
                }
                return goes;
            }
            Way::Lent => {
                let collector = &mut self.collectors[hall];
                collector.wants[hall] = rate;
                collector.lease.filter(|(_, until)| now < *until).map_or(Rate(0), |(part, _)| part)
            }
            _ => Rate(rate.0 / count),
        };
        let collector = &mut self.collectors[hall];
        collector.spare = (collector.spare + part.count(Millis(now - collector.at))).min(SAVED);
        collector.at = now;
        let goes = collector.spare >= 1.0;
        if goes {
            collector.spare -= 1.0;
        }
        goes
    }

    fn send(&mut self, node: usize, now: u64) {
        self.sent.push(now);
        let at = now + self.rng.random_range(50..400);
        let named = self.named(at - 2).map(Rate::per_second);
        self.answers.push(Reverse(Answer { at, node, asked: now, named, life: self.life(at - 2) }));
    }

    /// A node reads an answer, and tells its collector before long.
    fn read(&mut self, now: u64) {
        while let Some(Reverse(Answer { at, node, asked, named, life })) = self.answers.peek().copied() {
            if at > now {
                return;
            }
            self.answers.pop();
            let claim = RateLimit {
                runner: self.runner.clone(),
                incarnation: Some(Incarnation(life)),
                rate: named,
                sent: Millis(asked),
                received: Millis(at),
            };
            self.tables[node].apply(claim);
            self.reports.push(Reverse((now + self.rng.random_range(1..500), node)));
        }
    }

    fn tell_collectors(&mut self, now: u64) {
        while let Some(Reverse((at, node))) = self.reports.peek().copied() {
            if at > now {
                return;
            }
            self.reports.pop();
            let hall = self.hall_of(node);
            let told: Vec<Message> =
                self.tables[node].iter().map(|claim| claim.to_message(Millis(now))).collect();
            if self.answers(hall, now) {
                for told in told {
                    self.collectors[hall].table.apply(told.to_rate_limit(Millis(now)));
                }
            }
        }
    }

    /// Collectors tell each other what they know and want.
    fn exchange(&mut self, now: u64) {
        for from in 0..self.halls.len() {
            if !self.answers(from, now) || !self.is_there(from, now) {
                continue;
            }
            let claims: Vec<Message> =
                self.collectors[from].table.iter().map(|claim| claim.to_message(Millis(now))).collect();
            let wants: Vec<Demand> = self.collectors[from].rations.list_demands(Millis(now));
            let own = self.collectors[from].wants[from];
            for to in 0..self.halls.len() {
                let reaches = !self.is_cut(from, now) && !self.is_cut(to, now);
                if to == from || !reaches || !self.answers(to, now) {
                    continue;
                }
                let hall = self.halls[from].clone();
                let collector = &mut self.collectors[to];
                collector.heard[from] = Some(now);
                collector.wants[from] = own;
                for told in &claims {
                    collector.table.apply(told.to_rate_limit(Millis(now)));
                }
                collector.rations.receive_demands(&hall, &wants);
            }
        }
        self.lend(now);
    }

    /// The collector of the runner's hall lends parts to those it reaches.
    fn lend(&mut self, now: u64) {
        if !self.answers(0, now) {
            return;
        }
        let Some(rate) = self.collectors[0].table.find(&self.runner, Some(Incarnation(self.life(now))))
        else {
            return;
        };
        let wants = self.collectors[0].wants.clone();
        for to in 0..self.halls.len() {
            let others: Vec<Rate> =
                (0..wants.len()).filter(|other| *other != to).map(|other| wants[other]).collect();
            if !self.is_cut(to, now) && self.is_there(to, now) {
                self.collectors[to].lease = Some((divide(rate, wants[to], &others), now + LEASE));
            }
        }
    }

    fn step(&mut self, now: u64) {
        if now == TROUBLE.start && self.trouble == Trouble::CollectorLost {
            self.collectors[0] =
                Collector { heard: vec![None; 3], wants: vec![Rate(0); 3], ..Collector::default() };
        }
        self.read(now);
        self.tell_collectors(now);
        if now.is_multiple_of(EXCHANGE) {
            self.exchange(now);
        }
        for hall in 0..self.halls.len() {
            if self.rng.random::<f64>() >= self.work_of(hall, now) / 1000.0 {
                continue;
            }
            let of_hall = self.nodes / self.halls.len();
            let number = if self.trouble == Trouble::OneNode { 0 } else { self.rng.random_range(0..of_hall) };
            let node = number * self.halls.len() + hall;
            if self.goes(node, now) {
                self.send(node, now);
            }
        }
    }

    /// What the runner takes up to each moment, as it names it.
    fn sum_allowed(&self) -> Vec<f64> {
        let each = (0..END).map(|now| self.named(now).unwrap_or(self.rate) / 1000.0);
        let sums = each.scan(0.0, |sum, allowed| {
            *sum += allowed;
            Some(*sum)
        });
        std::iter::once(0.0).chain(sums).collect()
    }

    fn count(&self, from: u64, to: u64) -> f64 {
        let upto = |at: u64| self.sent.partition_point(|sent| *sent < at);
        (upto(to) - upto(from)) as f64
    }

    /// Whether a window that begins then counts: a runner that has started again names its rate
    /// anew, and has to have done so for as long as at first.
    fn binds(&self, from: u64) -> bool {
        let named = TROUBLE.start + 1000;
        self.trouble != Trouble::Reborn || !(TROUBLE.start - WINDOW..named + BINDS - NAMED).contains(&from)
    }

    /// Plays it all, and says when requests were sent.
    pub fn trace(mut self) -> Vec<u64> {
        for now in 0..END {
            self.step(now);
        }
        self.sent
    }

    /// Plays it all.
    pub fn play(mut self) -> Outcome {
        for now in 0..END {
            self.step(now);
        }
        let sums = self.sum_allowed();
        let allow = |from: u64, to: u64| sums[to as usize] - sums[from as usize];
        let mut outcome =
            Outcome { excess: f64::MIN, used: f64::MAX, used_calm: f64::MAX, ..Outcome::default() };
        for from in (BINDS..END - WINDOW).step_by(50).filter(|from| self.binds(*from)) {
            let (sent, allowed) = (self.count(from, from + WINDOW), allow(from, from + WINDOW));
            outcome.excess = outcome.excess.max(sent - allowed);
            outcome.against = outcome.against.max(sent / (allowed * 1.5 + 5.0));
        }
        for from in (BINDS..END - USED_OVER).step_by(100) {
            let used = self.count(from, from + USED_OVER) / allow(from, from + USED_OVER);
            outcome.used = outcome.used.min(used);
            if from + USED_OVER <= TROUBLE.start {
                outcome.used_calm = outcome.used_calm.min(used);
            }
        }
        outcome
    }
}

/// The mean, or the worst, of a figure over seeds.
pub fn worst(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).fold(f64::MIN, f64::max)
}

pub fn least(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).fold(f64::MAX, f64::min)
}

/// Plays some seeds.
pub fn play(
    way: Way,
    trouble: Trouble,
    nodes: usize,
    rate: f64,
    seeds: std::ops::Range<u64>,
) -> Vec<Outcome> {
    seeds.map(|seed| Scene::new(way, trouble, nodes, rate, seed).play()).collect()
}
