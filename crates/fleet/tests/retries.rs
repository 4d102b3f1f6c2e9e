//! Guards against more retries than the fleet may make, and against retries that it may make and cannot.
//!
//! A process that started had a full budget, whatever the process before it had spent, and a node whose
//! share grew had the increase at once: beside kills of half of the nodes a fleet of seven made 556 retries
//! where 519 were allowed. Before that, from 833 nodes on, no node retried a request that had arrived at a
//! runner, because a share of less than one retry pays for none.

use std::collections::{BTreeSet, VecDeque};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::occupancy::REPORT_TTL;
use cottoncrank_fleet::retries::{Allowance, Bound, MAX_AGE, Pool, SETTLE_TIME, Share, UPDATE_INTERVAL};

const WINDOW: Millis = Millis(10_000);
const TICK: Millis = Millis(50);
const HALLS: usize = 5;

/// A fleet of thousand nodes, which is large enough for shares of less than one.
const LARGE: Bound = Bound { window: WINDOW, slack: 1040.0, ratio: 0.2 };

/// A fleet of seven nodes.
const SMALL: Bound = Bound { window: WINDOW, slack: 132.0, ratio: 0.2 };

/// When the nodes begin to need retries. All have their shares by then.
const BEGIN: Millis = Millis(45_000);

/// The fault injected while nodes need retries, from two seconds after [`BEGIN`] on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The collector of hall 0 is lost, and another node replaces it.
    CollectorLost,
    /// Half of the nodes of hall 0 report to another collector.
    Split,
    /// Half of the nodes are killed every 2.5 s and start again at once.
    Starts,
    /// All nodes are killed every 4 s and start again at once.
    AllStart,
    /// Half of the nodes hear nothing of the store, are removed from it, and hear of that late.
    Cut,
    /// The same for so long that the others can save what those had, before any needs a retry.
    LongCut,
    /// The store is silent for all nodes.
    StoreAway,
    /// A third of the nodes do not run for 8 s, and others take their requests.
    Paused,
    /// A third of the nodes are removed by mistake, and list themselves again.
    Relisted,
    /// A third as many nodes join.
    Joined,
    /// Half of the nodes are lost for good and removed.
    Left,
}

const FAULTS: [Fault; 12] = [
    Fault::None,
    Fault::CollectorLost,
    Fault::Split,
    Fault::Starts,
    Fault::AllStart,
    Fault::Cut,
    Fault::LongCut,
    Fault::StoreAway,
    Fault::Paused,
    Fault::Relisted,
    Fault::Joined,
    Fault::Left,
];

/// A node and what it knows.
#[derive(Default)]
struct Node {
    allowance: Allowance,
    pools: [Pool; 2],
    /// The time whose content of the store it knows, if any.
    known: Option<Millis>,
    wanted: f64,
}

/// The nodes that the store lists, over time.
struct Store(Vec<(Millis, BTreeSet<usize>)>);

impl Store {
    fn change(&mut self, now: Millis, change: impl Fn(&mut BTreeSet<usize>)) {
        let mut listed = self.0.last().unwrap().1.clone();
        change(&mut listed);
        self.0.push((now, listed));
    }

    fn at(&self, time: Millis) -> &BTreeSet<usize> {
        &self.0.iter().rev().find(|(from, _)| *from <= time).unwrap_or(&self.0[0]).1
    }
}

/// The retries made and wanted.
struct Outcome {
    made: usize,
    wanted: usize,
    /// The most in any window beyond what is allowed.
    max_excess: f64,
    /// The most in any window beyond what its requests pay for.
    max_saved: f64,
}

struct Simulation {
    service: id::Service,
    bound: Bound,
    fault: Fault,
    nodes: Vec<Node>,
    names: Vec<id::Node>,
    original: usize,
    store: Store,
    made: VecDeque<Millis>,
    requests: VecDeque<Millis>,
    outcome: Outcome,
}

impl Simulation {
    /// Returns how long the fault has lasted.
    fn elapsed(&self, now: Millis) -> Option<Millis> {
        (now >= BEGIN + Millis(2000)).then(|| now.since(BEGIN + Millis(2000)))
    }

    fn in_fault(&self, now: Millis, fault: Fault) -> bool {
        self.fault == fault && self.elapsed(now).is_some()
    }

    fn is_running(&self, node: usize, now: Millis) -> bool {
        let elapsed = self.elapsed(now);
        match self.fault {
            Fault::Left => elapsed.is_none() || node.is_multiple_of(2),
            Fault::Paused => elapsed.is_none_or(|elapsed| elapsed >= Millis(8000)) || !node.is_multiple_of(3),
            Fault::Joined => elapsed.is_some() || node < self.original,
            _ => true,
        }
    }

    fn hears_store(&self, node: usize, now: Millis) -> bool {
        let until = if self.fault == Fault::LongCut { Millis(60_000) } else { Millis(14_000) };
        let away = self.elapsed(now).is_some_and(|elapsed| elapsed < until);
        match self.fault {
            Fault::Cut | Fault::LongCut => !away || node.is_multiple_of(2),
            Fault::StoreAway => !away,
            _ => true,
        }
    }

    fn change_store(&mut self, now: Millis) {
        let Some(elapsed) = self.elapsed(now) else { return };
        let third = |node: &usize| node.is_multiple_of(3);
        match (self.fault, elapsed.0) {
            (Fault::Cut | Fault::LongCut, 4000) => {
                self.store.change(now, |listed| listed.retain(|node| node % 2 == 0))
            }
            (Fault::Cut, 15_000) => self.store.change(now, |listed| listed.extend(0..1)),
            (Fault::Left, 3000) => self.store.change(now, |listed| listed.retain(|node| node % 2 == 0)),
            (Fault::Relisted, 1000 | 9000) => {
                self.store.change(now, |listed| listed.retain(|node| !third(node)))
            }
            (Fault::Relisted, 2000 | 10_000) => {
                let all = self.original;
                self.store.change(now, |listed| listed.extend((0..all).filter(third)));
            }
            (Fault::Joined, 1000) => {
                let all = self.nodes.len();
                self.store.change(now, |listed| listed.extend(0..all));
            }
            _ => {}
        }
    }

    fn start_again(&mut self, now: Millis) {
        let Some(elapsed) = self.elapsed(now) else { return };
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let is_killed = match self.fault {
                Fault::Starts => {
                    elapsed.0 % 2500 == 0 && (number as u64 + elapsed.0 / 2500).is_multiple_of(2)
                }
                Fault::AllStart => elapsed.0 % 4000 == 0,
                _ => false,
            };
            if is_killed {
                *node = Node::default();
            }
        }
    }

    /// Returns when the nodes begin to need retries.
    fn first_need(&self) -> Millis {
        if self.fault == Fault::LongCut { BEGIN + Millis(50_000) } else { BEGIN }
    }

    /// Returns the collector of a node.
    fn collector_of(&self, node: usize, now: Millis) -> (usize, usize) {
        let hall = node % HALLS;
        match self.fault {
            Fault::CollectorLost if self.in_fault(now, self.fault) && hall == 0 => (HALLS, 0),
            Fault::Split
                if self.in_fault(now, self.fault) && hall == 0 && (node / HALLS).is_multiple_of(2) =>
            {
                (HALLS, 1)
            }
            _ => (hall, 0),
        }
    }

    /// Lets nodes hear of the store twice a second and update what they may save, and collectors their pools.
    fn update(&mut self, now: Millis) {
        let tick = now.0 / TICK.0;
        for number in (0..self.nodes.len()).filter(|number| (tick + *number as u64).is_multiple_of(10)) {
            if !self.is_running(number, now) {
                continue;
            }
            if self.hears_store(number, now) {
                let known = now - Millis((number as u64 * 37) % 900);
                let listed = self.store.at(known);
                let (count, is_listed) = (listed.len(), listed.contains(&number));
                let node = &mut self.nodes[number];
                node.known = Some(known);
                node.allowance.record_members(count, is_listed, &self.bound, now);
            }
            let node = &mut self.nodes[number];
            let age = node.known.map(|known| now.since(known));
            node.allowance.update(&self.bound, age, now);
        }
        if !tick.is_multiple_of(3) {
            return;
        }
        for collector in 0..=HALLS.min(self.nodes.len() - 1) {
            (0..2).for_each(|pool| self.update_pool(collector, pool, now));
        }
    }

    fn update_pool(&mut self, collector: usize, pool: usize, now: Millis) {
        let reporting: Vec<id::Node> = (0..self.nodes.len())
            .filter(|node| self.is_running(*node, now) && self.collector_of(*node, now) == (collector, pool))
            .map(|node| self.names[node].clone())
            .collect();
        let Node { allowance, pools, known, .. } = &mut self.nodes[collector];
        let age = known.map(|known| now.since(known));
        match reporting.is_empty() {
            true => pools[pool].reset(),
            false => pools[pool].update(reporting.into_iter(), allowance, &self.bound, age, now),
        }
    }

    fn record_request(&mut self, number: usize, now: Millis) {
        let node = &mut self.nodes[number];
        let age = node.known.map(|known| now.since(known));
        node.allowance.record_request(&self.service, &self.bound, age, now);
        let (collector, pool) = self.collector_of(number, now);
        let Node { allowance, pools, known, .. } = &mut self.nodes[collector];
        let age = known.map(|known| now.since(known));
        pools[pool].record_request(&self.service, allowance, &self.bound, age, now);
        self.requests.push_back(now);
    }

    fn spend(&mut self, number: usize, now: Millis) -> bool {
        let node = &mut self.nodes[number];
        let age = node.known.map(|known| now.since(known));
        if node.allowance.spend(&self.service, &self.bound, age, now) {
            return true;
        }
        let (collector, pool) = self.collector_of(number, now);
        let Node { allowance, pools, known, .. } = &mut self.nodes[collector];
        let age = known.map(|known| now.since(known));
        pools[pool].grant(&self.service, allowance, &self.bound, age, now)
    }

    /// Compares the retries of the window that ends now with what the bound allows.
    fn check(&mut self, now: Millis) {
        self.made.retain(|at| now < *at + WINDOW);
        self.requests.retain(|at| now < *at + WINDOW + WINDOW);
        let current = self.requests.iter().filter(|at| now < **at + WINDOW).count();
        let requests = current.max(self.requests.len() - current);
        let allowed = self.bound.slack + self.bound.ratio * requests as f64;
        let made = self.made.len() as f64;
        self.outcome.max_excess = self.outcome.max_excess.max(made - allowed);
        let paid = 0.8 * self.bound.ratio * current as f64;
        self.outcome.max_saved = self.outcome.max_saved.max(made - paid);
    }
}

/// Simulates nodes that each need `per_second` retries per second for `duration`, and each have `requests`
/// per second.
fn simulate(
    bound: Bound,
    nodes: usize,
    requests: f64,
    per_second: f64,
    duration: Millis,
    fault: Fault,
) -> Outcome {
    let joined = if fault == Fault::Joined { nodes / 3 } else { 0 };
    let mut simulation = Simulation {
        service: "s".parse().unwrap(),
        bound,
        fault,
        nodes: (0..nodes + joined).map(|_| Node::default()).collect(),
        names: (0..nodes + joined).map(|node| format!("node-{node}").parse().unwrap()).collect(),
        original: nodes,
        store: Store(vec![(Millis(0), (0..nodes).collect())]),
        made: VecDeque::new(),
        requests: VecDeque::new(),
        outcome: Outcome { made: 0, wanted: 0, max_excess: f64::MIN, max_saved: f64::MIN },
    };
    let mut earned = vec![0.0; nodes + joined];
    let mut now = Millis(1000);
    let end = simulation.first_need() + duration;
    while now < end {
        simulation.change_store(now);
        simulation.start_again(now);
        simulation.update(now);
        let running: Vec<usize> =
            (0..simulation.nodes.len()).filter(|node| simulation.is_running(*node, now)).collect();
        // Those that run have the requests of the others as well.
        let load = nodes as f64 / running.len() as f64 * TICK.0 as f64 / 1000.0;
        for number in running {
            // The first requests of the nodes are spread over time.
            earned[number] += requests * load;
            while earned[number] >= 1.0 + (number % 40) as f64 / 40.0 {
                earned[number] -= 1.0;
                simulation.record_request(number, now);
            }
            if now < simulation.first_need() {
                continue;
            }
            simulation.nodes[number].wanted += per_second * load;
            while simulation.nodes[number].wanted >= 1.0 {
                simulation.nodes[number].wanted -= 1.0;
                simulation.outcome.wanted += 1;
                if simulation.spend(number, now) {
                    simulation.outcome.made += 1;
                    simulation.made.push_back(now);
                }
            }
        }
        simulation.check(now);
        now = now + TICK;
    }
    simulation.outcome
}

#[test]
fn a_fleet_of_any_size_can_spend_its_retry_budget() {
    for nodes in [10, 300, 410, 830, 985, 1970] {
        let outcome = simulate(LARGE, nodes, 0.5, 600.0 / nodes as f64, Millis(40_000), Fault::None);
        let allowed = 0.8 * (LARGE.slack + LARGE.ratio * (nodes as f64 / 2.0) * 40.0);
        let used = outcome.made as f64 / allowed.min(outcome.wanted as f64);
        assert!(
            used >= 0.8,
            "{nodes} nodes: {} of {allowed} allowed, {} wanted",
            outcome.made,
            outcome.wanted
        );
    }
}

/// Simulates a fleet with half a request per node and second, and fails if it makes more retries than
/// allowed.
fn check_large(nodes: usize, per_second: f64, fault: Fault) -> Outcome {
    let outcome = simulate(LARGE, nodes, 0.5, per_second / nodes as f64, Millis(15_000), fault);
    let excess = outcome.max_excess;
    assert!(excess <= 0.0, "{nodes} nodes, {fault:?}, {per_second}/s: {excess:.0} more than allowed");
    outcome
}

#[test]
fn a_fleet_never_exceeds_its_retry_budget_under_faults() {
    for fault in [Fault::None, Fault::CollectorLost, Fault::Split] {
        for nodes in [90, 830, 985, 1970] {
            for per_second in [600.0, 20_000.0] {
                let saved = check_large(nodes, per_second, fault).max_saved;
                assert!(
                    saved <= LARGE.slack,
                    "{nodes} nodes, {fault:?}: {saved:.0} beyond what requests pay for"
                );
            }
        }
    }
}

#[test]
fn a_large_fleet_never_exceeds_its_retry_budget_while_nodes_start_or_are_cut_off() {
    for fault in FAULTS {
        for nodes in [90, 985] {
            check_large(nodes, 20_000.0, fault);
        }
    }
}

#[test]
fn a_small_fleet_never_exceeds_its_retry_budget_under_faults() {
    for fault in FAULTS {
        for nodes in [6, 7, 9] {
            for (requests, per_second) in [(190.0, 30.0), (190.0, 150.0), (190.0, 2000.0), (20.0, 200.0)] {
                let (requests, needed) = (requests / nodes as f64, per_second / nodes as f64);
                let outcome = simulate(SMALL, nodes, requests, needed, Millis(30_000), fault);
                let excess = outcome.max_excess;
                assert!(
                    excess <= 0.0,
                    "{nodes} nodes, {fault:?}, {per_second}/s: {excess:.0} more than allowed"
                );
            }
        }
    }
}

#[test]
fn a_small_fleet_retries_while_its_nodes_start_or_the_store_is_away() {
    for fault in [Fault::Starts, Fault::AllStart, Fault::StoreAway, Fault::Cut] {
        let outcome = simulate(SMALL, 7, 27.0, 20.0 / 7.0, Millis(30_000), fault);
        let used = outcome.made as f64 / outcome.wanted as f64;
        assert!(used >= 0.8, "{fault:?}: {} of {} retries", outcome.made, outcome.wanted);
    }
}

#[test]
fn few_nodes_can_use_the_shared_pool_of_their_hall() {
    // One node in fifty meets a failing runner.
    let (mut allowance, mut pool, service) = (Allowance::default(), Pool::default(), "s".parse().unwrap());
    let names = || (0..197).map(|number| format!("node-{number}").parse().unwrap());
    let settled = Millis(2 * (WINDOW + SETTLE_TIME + REPORT_TTL).0);
    for now in [Millis(1), Millis(1) + settled] {
        allowance.record_members(985, true, &LARGE, now);
        pool.update(names(), &allowance, &LARGE, Some(Millis(0)), now);
    }
    let now = Millis(1) + settled;
    let granted = (0..160).filter(|_| pool.grant(&service, &allowance, &LARGE, Some(Millis(0)), now)).count();
    assert_eq!(granted, 160, "the pool of 197 nodes has 166, and each of four nodes needs forty");
}

#[test]
fn a_new_collector_grants_only_what_requests_earn() {
    let (mut allowance, mut pool, service) = (Allowance::default(), Pool::default(), "s".parse().unwrap());
    let names = || (0..197).map(|number| format!("node-{number}").parse().unwrap());
    let (begin, age) = (Millis(60_000), Some(Millis(0)));
    allowance.record_members(985, true, &LARGE, Millis(1));
    pool.update(names(), &allowance, &LARGE, age, begin);
    assert!(
        !pool.grant(&service, &allowance, &LARGE, age, begin),
        "the former collector may have granted as much until now"
    );
    (0..40).for_each(|_| pool.record_request(&service, &allowance, &LARGE, age, begin));
    assert!(
        pool.grant(&service, &allowance, &LARGE, age, begin)
            && !pool.grant(&service, &allowance, &LARGE, age, begin)
    );
    let later = begin + WINDOW + SETTLE_TIME + REPORT_TTL + UPDATE_INTERVAL;
    pool.update(names(), &allowance, &LARGE, age, later);
    let granted = (0..200).filter(|_| pool.grant(&service, &allowance, &LARGE, age, later)).count();
    assert_eq!(granted, 166);
}

#[test]
fn a_node_that_knows_too_little_of_the_store_has_no_share() {
    let mut allowance = Allowance::default();
    allowance.record_members(7, true, &SMALL, Millis(0));
    let settled = WINDOW + SETTLE_TIME;
    let own = |allowance: &Allowance, age, now| allowance.share(&SMALL, age, now).own;
    let all = Share::of(0.8 * SMALL.slack, 7).own;
    assert_eq!(own(&allowance, Some(Millis(0)), settled - Millis(1)), 0.0, "it was listed just now");
    assert_eq!(own(&allowance, Some(MAX_AGE), settled), all);
    assert_eq!(own(&allowance, Some(MAX_AGE + Millis(1)), settled), 0.0);
    assert_eq!(own(&allowance, None, settled), 0.0);
    allowance.record_members(6, false, &SMALL, settled);
    assert_eq!(own(&allowance, Some(Millis(0)), settled), 0.0, "it was removed");
}

#[test]
fn a_node_gets_no_larger_share_while_the_lost_ones_may_have_spent_theirs() {
    let mut allowance = Allowance::default();
    allowance.record_members(8, true, &SMALL, Millis(0));
    let lost = Millis(60_000);
    allowance.record_members(4, true, &SMALL, lost);
    let own = |now| allowance.share(&SMALL, Some(Millis(0)), now).own;
    assert_eq!(own(lost + WINDOW), Share::of(0.8 * SMALL.slack, 8).own);
    assert_eq!(own(lost + WINDOW + SETTLE_TIME), Share::of(0.8 * SMALL.slack, 4).own);
}
