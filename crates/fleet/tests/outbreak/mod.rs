//! Simulates a fleet that receives deadly requests, which crash the runners that execute them.
//!
//! Time is simulated. Nodes send reports to their collector and ask it for a group for each request, and
//! collectors exchange reports, at the intervals of the real program. What collectors write to the store
//! reaches all nodes. Crashed runners restart within seconds.

#![allow(dead_code, reason = "tests and the bench each use a part of this module")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::evidence::{Crash, Level, Row};
use cottoncrank_fleet::fingerprint::{self, Fingerprint};
use cottoncrank_fleet::gossip::{Peers, build_pull};
use cottoncrank_fleet::occupancy::Scope;
use cottoncrank_fleet::runner::{Epoch, Incarnation};
use cottoncrank_fleet::suspects::{MIN_CRASHES, Origin, Table};
use cottoncrank_fleet::trials::{Capacity, Ruling, Trials};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// How nodes treat a request that was in flight when runners crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Like any other request.
    None,
    /// It is rejected after three crashes, whatever else was in flight, and runs without restrictions until
    /// then.
    Count,
    /// The same, but crashes that another request explains do not count.
    Explained,
    /// What the program does: the same, and suspected requests run one at a time and isolated from each
    /// other.
    Trial,
}

impl Policy {
    pub const ALL: [Policy; 4] = [Policy::None, Policy::Count, Policy::Explained, Policy::Trial];
}

/// The fault injected besides the deadly requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The store is unavailable.
    StoreAway,
    /// The first hall is partitioned from the others, but reaches the store.
    HallCut,
    /// The collector of the first hall is lost after two crashes.
    CollectorLost,
    /// The same, but it is only suspended and resumes with its former state.
    CollectorSuspended,
    /// A fifth of the runners crash without a deadly request within one second, one after the other.
    Crashes,
}

impl Fault {
    pub const ALL: [Fault; 6] = [
        Fault::None,
        Fault::StoreAway,
        Fault::HallCut,
        Fault::CollectorLost,
        Fault::CollectorSuspended,
        Fault::Crashes,
    ];
}

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    pub halls: usize,
    pub groups: usize,
    /// The slots of each group.
    pub slots: usize,
}

/// Present and expected sizes of fleets.
pub const SIZES: [Size; 3] = [
    Size { nodes: 12, halls: 3, groups: 12, slots: 16 },
    Size { nodes: 90, halls: 4, groups: 60, slots: 15 },
    Size { nodes: 300, halls: 5, groups: 150, slots: 14 },
];

/// The input of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub size: Size,
    /// The number of different deadly requests.
    pub deadly: usize,
    /// The arrivals of each of them per second.
    pub rate: f64,
    pub policy: Policy,
    pub fault: Fault,
    pub seed: u64,
}

/// What one deadly request did.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// When it crashed runners.
    pub crashes: Vec<Millis>,
    /// When it was sent to a runner.
    pub runs: Vec<Millis>,
    /// When each node first knew that it is deadly.
    pub known_since: BTreeMap<usize, Millis>,
}

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub deadly: Vec<Observations>,
    /// The number of harmless requests, and of those that were served.
    pub harmless: usize,
    pub served: usize,
    /// Harmless requests that were rejected as deadly.
    pub wrongly_rejected: usize,
    /// How often harmless requests were told to come back, because a trial run of the same request was
    /// undecided.
    pub quarantined: usize,
    /// The number of exchanges between nodes, and the bytes that rows add to them.
    pub exchanges: usize,
    pub bytes: usize,
}

/// Deadly requests arrive during this time, after the first second.
pub const ARRIVAL_PERIOD: Millis = Millis(10_000);

/// The results of simulations with several seeds.
#[derive(Debug, Default)]
pub struct Summary {
    /// The crashes caused by one deadly request: the average and the maximum.
    pub crashes: f64,
    pub max_crashes: usize,
    /// The maximum number of runs later than [`PROPAGATION_BOUND`] after the third crash.
    pub max_late_runs: usize,
    /// The longest time from the third crash until a node knew that the request is deadly.
    pub max_propagation: Millis,
    /// The nodes that did not know at the end.
    pub uninformed: usize,
    /// The fraction of harmless requests that is served. The last arrivals do not complete in time.
    pub served: f64,
    pub wrongly_rejected: usize,
    pub quarantined: usize,
    /// The bytes per second and node that rows add to exchanges.
    pub bytes: f64,
}

impl Summary {
    fn add(&mut self, scenario: &Scenario, outcome: &Outcome, scenarios: f64) {
        for observed in &outcome.deadly {
            self.crashes += observed.crashes.len() as f64 / scenario.deadly as f64 / scenarios;
            self.max_crashes = self.max_crashes.max(observed.crashes.len());
            let Some(third) = observed.crashes.get(2).copied() else { continue };
            let late = observed.runs.iter().filter(|run| **run > third + PROPAGATION_BOUND).count();
            self.max_late_runs = self.max_late_runs.max(late);
            let known = observed.known_since.values().map(|known| known.since(third)).max();
            self.max_propagation = self.max_propagation.max(known.unwrap_or_default());
            self.uninformed += scenario.size.nodes - observed.known_since.len();
        }
        self.served += outcome.served as f64 / outcome.harmless as f64 / scenarios;
        self.wrongly_rejected += outcome.wrongly_rejected;
        self.quarantined += outcome.quarantined;
        self.bytes += outcome.bytes as f64 / scenario.size.nodes as f64 / (END.0 as f64 / 1000.0) / scenarios;
    }
}

/// Runs a scenario with the first `seeds` seeds.
pub fn simulate_seeds(seeds: u64, scenario: &impl Fn(u64) -> Scenario) -> Summary {
    let mut summary = Summary::default();
    for seed in 0..seeds {
        let scenario = scenario(seed);
        summary.add(&scenario, &simulate(scenario), seeds as f64);
    }
    summary
}

/// The duration of a simulation.
const END: Millis = Millis(16_000);

/// The time within which all nodes must know that a request is deadly.
pub const PROPAGATION_BOUND: Millis = Millis(3000);

/// The intervals of reports from a node to its collector and between collectors.
const REPORT_INTERVAL: (u64, u64) = (50, 500);
const HALL_REPORT_INTERVAL: Millis = Millis(150);

/// The interval at which nodes settle requests with enough crashes.
const SETTLE_INTERVAL: Millis = Millis(100);

/// The delay of a message between nodes, and of a check of a runner.
const MESSAGE_DELAY: Millis = Millis(3);

/// The time from a write to the store until nodes read it: the watch, and the batching of changes.
const STORE_DELAY: (u64, u64) = (150, 900);

/// How long a harmless request runs, and how long a deadly one runs until its runner crashes.
const HARMLESS_RUN_TIME: (u64, u64) = (500, 2000);
const TIME_TO_CRASH: (u64, u64) = (60, 350);

/// How long the group of a crashed runner is out of service.
const DOWNTIME: (u64, u64) = (2000, 5000);

/// How long the suspended collector does not run.
const SUSPENSION: Millis = Millis(3000);

/// The runners that one request is sent to, and how often its caller retries.
const MAX_ATTEMPTS: u32 = 2;
const CALLER_RETRIES: u32 = 1;

#[derive(Clone, Copy, Debug)]
struct Request {
    /// Identifies the request; numbers below [`Scenario::deadly`] are deadly.
    number: usize,
    node: usize,
    attempts: u32,
    retries: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(Request),
    Complete { group: usize, incarnation: u64, request: Request },
    RunnerCrash { group: usize, incarnation: u64 },
    RunnerRestart { group: usize },
    Report { node: usize },
    HallReport { node: usize },
    Settle,
    Stored { fingerprint: Fingerprint },
    Resume { node: usize },
}

struct Node {
    name: id::Node,
    hall: usize,
    table: Table,
    peers: Peers,
    trials: Trials,
    lost: bool,
}

struct Group {
    incarnation: u64,
    open: bool,
    running: Vec<Request>,
}

pub struct Fleet {
    scenario: Scenario,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    events: Vec<Event>,
    nodes: Vec<Node>,
    groups: Vec<Group>,
    store: BTreeMap<Fingerprint, Row>,
    rng: SmallRng,
    outcome: Outcome,
}

fn fingerprint(number: usize) -> Fingerprint {
    let path = number.to_string();
    Fingerprint::of(&fingerprint::Request { account: None, method: "POST", path: &path, body: b"" })
}

fn size(rows: &[Row]) -> usize {
    rmp_serde::to_vec(rows).unwrap().len()
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let node = |number: usize| Node {
            name: format!("n-{number}").parse().unwrap(),
            hall: number % scenario.size.halls,
            table: Table::default(),
            peers: Peers::default(),
            trials: Trials::default(),
            lost: false,
        };
        let group = |_| Group { incarnation: 0, open: true, running: Vec::new() };
        Fleet {
            scenario,
            now: Millis(0),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes: (0..scenario.size.nodes).map(node).collect(),
            groups: (0..scenario.size.groups).map(group).collect(),
            store: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
            outcome: Outcome { deadly: vec![Observations::default(); scenario.deadly], ..Outcome::default() },
        }
    }

    fn schedule(&mut self, after: Millis, event: Event) {
        self.events.push(event);
        let number = self.events.len() - 1;
        self.queue.push(Reverse((self.now + after, number as u64, number)));
    }

    fn draw_delay(&mut self, range: (u64, u64)) -> Millis {
        Millis(self.rng.random_range(range.0..=range.1))
    }

    /// Schedules the arrivals, the intervals and the injected crashes.
    fn schedule_load(&mut self) {
        for node in 0..self.scenario.size.nodes {
            let first = self.draw_delay((0, REPORT_INTERVAL.1));
            self.schedule(first, Event::Report { node });
        }
        self.schedule(SETTLE_INTERVAL, Event::Settle);
        for node in 0..self.scenario.size.halls {
            let first = self.draw_delay((0, HALL_REPORT_INTERVAL.0));
            self.schedule(first, Event::HallReport { node });
        }
        // At this rate, six tenths of the slots are in use.
        let stay = (HARMLESS_RUN_TIME.0 + HARMLESS_RUN_TIME.1) as f64 / 2000.0;
        let rate = 0.6 * (self.scenario.size.groups * self.scenario.size.slots) as f64 / stay;
        let harmless = (rate * END.0 as f64 / 1000.0) as usize;
        for number in 0..harmless {
            let at = self.draw_delay((0, END.0));
            self.schedule_request(at, self.scenario.deadly + number);
        }
        self.outcome.harmless = harmless;
        for number in 0..self.scenario.deadly {
            for _ in 0..(self.scenario.rate * ARRIVAL_PERIOD.0 as f64 / 1000.0) as usize {
                let at = Millis(1000) + self.draw_delay((0, ARRIVAL_PERIOD.0));
                self.schedule_request(at, number);
            }
        }
        if self.scenario.fault == Fault::Crashes {
            for group in 0..self.scenario.size.groups / 5 {
                let at = Millis(1000) + self.draw_delay((0, 1000));
                self.schedule(at, Event::RunnerCrash { group, incarnation: 0 });
            }
        }
    }

    fn schedule_request(&mut self, at: Millis, number: usize) {
        let node = self.rng.random_range(0..self.scenario.size.nodes);
        self.schedule(at, Event::Arrive(Request { number, node, attempts: 0, retries: CALLER_RETRIES }));
    }

    fn is_deadly(&self, number: usize) -> bool {
        number < self.scenario.deadly
    }

    /// Returns the collector of a hall: its first node that is not lost.
    fn collector(&self, hall: usize) -> usize {
        (0..self.scenario.size.nodes)
            .find(|node| self.nodes[*node].hall == hall && !self.nodes[*node].lost)
            .unwrap()
    }

    fn is_cut(&self, hall: usize, other: usize) -> bool {
        self.scenario.fault == Fault::HallCut && hall != other && (hall == 0 || other == 0)
    }

    /// Returns how strongly a node suspects a request.
    fn level(&self, node: usize, number: usize) -> Level {
        let (table, fingerprint) = (&self.nodes[node].table, fingerprint(number));
        let counted = table.get(&fingerprint).map_or(0, Row::count_crashes);
        match self.scenario.policy {
            Policy::None => Level::Clear,
            Policy::Count if counted == 0 => Level::Clear,
            Policy::Count if counted < MIN_CRASHES => Level::Suspected(counted),
            Policy::Count => Level::Deadly(counted),
            Policy::Explained | Policy::Trial => table.level(&fingerprint),
        }
    }

    /// Merges rows at a node.
    fn merge(&mut self, node: usize, rows: &[Row], origin: Origin) {
        for row in rows {
            let (now, node_at) = (self.now, node);
            let known = &mut self.nodes[node_at];
            known.trials.finish(&row.fingerprint);
            known.table.merge(row, origin, now);
        }
        self.record_known(node);
    }

    /// Exchanges the rows of two nodes.
    fn exchange(&mut self, from: usize, to: usize, scope: Scope) {
        let name = self.nodes[to].name.clone();
        let (push, version) = self.nodes[from].peers.build_push(&self.nodes[from].table, &name);
        let origin = if scope == Scope::Node { Origin::Hall } else { Origin::Elsewhere };
        if !push.rows.is_empty() {
            self.merge(to, &push.rows, origin);
        }
        let pull = build_pull(&self.nodes[to].table, to as u64, &push, scope);
        self.nodes[from].peers.record_pull(&name, version, pull.mark);
        if !pull.rows.is_empty() {
            self.merge(from, &pull.rows, Origin::Elsewhere);
        }
        self.outcome.exchanges += 1;
        self.outcome.bytes += size(&push.rows) + size(&pull.rows);
    }

    /// Asks the collector of a node for the group that takes a request.
    fn pick_group(&mut self, node: usize, number: usize) -> Result<usize, Ruling> {
        let collector = self.collector(self.nodes[node].hall);
        if collector != node {
            self.exchange(node, collector, Scope::Node);
        }
        let level = self.level(collector, number);
        let has_room = |group: &Group| group.open && group.running.len() < self.scenario.size.slots;
        let open: Vec<usize> =
            (0..self.groups.len()).filter(|group| has_room(&self.groups[*group])).collect();
        let (now, key) = (self.now, fingerprint(number));
        let capacity = Capacity {
            available: self.groups.iter().filter(|group| group.open).count(),
            usual: self.groups.len(),
        };
        let trials = &self.nodes[collector].trials;
        let ruling = match (self.scenario.policy, level) {
            (Policy::Trial, level) => trials.decide(&key, level, capacity, now),
            (_, Level::Deadly(_)) => Ruling::Reject,
            _ => Ruling::Run,
        };
        let trial_groups = match ruling {
            Ruling::Run => Vec::new(),
            Ruling::Trial => trials.list_trial_groups(&key, now),
            Ruling::Quarantine | Ruling::Reject => return Err(ruling),
        };
        let usable: Vec<usize> =
            open.iter().copied().filter(|group| !trial_groups.contains(&Epoch(*group as u64))).collect();
        let usable = if usable.is_empty() { open } else { usable };
        let lowest_load = usable.iter().map(|group| self.groups[*group].running.len()).min();
        let least_loaded: Vec<usize> = usable
            .into_iter()
            .filter(|group| Some(self.groups[*group].running.len()) == lowest_load)
            .collect();
        let Some(group) = least_loaded.choose(&mut self.rng).copied() else { return Err(Ruling::Quarantine) };
        if ruling == Ruling::Trial {
            self.nodes[collector].trials.start(key, Some(Epoch(group as u64)), now);
        }
        Ok(group)
    }

    fn arrive(&mut self, mut request: Request) {
        if self.nodes[request.node].lost {
            request.node = self.collector(self.nodes[request.node].hall);
        }
        let refused = match self.level(request.node, request.number) {
            Level::Deadly(_) => Err(Ruling::Reject),
            Level::Pending(_) if self.scenario.policy == Policy::Trial => Err(Ruling::Quarantine),
            Level::Clear | Level::Suspected(_) | Level::Pending(_) => {
                self.pick_group(request.node, request.number)
            }
        };
        match refused {
            Ok(group) => self.begin(request, group),
            Err(Ruling::Reject) if !self.is_deadly(request.number) => self.outcome.wrongly_rejected += 1,
            Err(Ruling::Quarantine) => {
                self.outcome.quarantined += usize::from(!self.is_deadly(request.number));
                self.schedule_caller_retry(request, Millis(600));
            }
            Err(_) => {}
        }
    }

    fn begin(&mut self, mut request: Request, group: usize) {
        request.attempts += 1;
        let incarnation = self.groups[group].incarnation;
        self.groups[group].running.push(request);
        if self.is_deadly(request.number) {
            let now = self.now;
            self.outcome.deadly[request.number].runs.push(now);
            let after = self.draw_delay(TIME_TO_CRASH);
            self.schedule(after, Event::RunnerCrash { group, incarnation });
        } else {
            let after = self.draw_delay(HARMLESS_RUN_TIME);
            self.schedule(after, Event::Complete { group, incarnation, request });
        }
    }

    fn schedule_caller_retry(&mut self, request: Request, after: Millis) {
        if request.retries > 0 {
            let node = self.rng.random_range(0..self.scenario.size.nodes);
            let again = Request { node, attempts: 0, retries: request.retries - 1, ..request };
            self.schedule(after, Event::Arrive(again));
        }
    }

    fn complete(&mut self, group: usize, incarnation: u64, request: Request) {
        if self.groups[group].incarnation != incarnation {
            return;
        }
        let running = &mut self.groups[group].running;
        running.retain(|other| other.number != request.number || other.node != request.node);
        self.outcome.served += 1;
        let key = fingerprint(request.number);
        let (now, node) = (self.now, &mut self.nodes[request.node]);
        node.table.record_completed(&key, now);
        node.trials.finish(&key);
    }

    fn crash(&mut self, group: usize, incarnation: u64) {
        if self.groups[group].incarnation != incarnation || !self.groups[group].open {
            return;
        }
        let downtime = self.draw_delay(DOWNTIME);
        let interrupted = std::mem::take(&mut self.groups[group].running);
        self.groups[group].open = false;
        self.groups[group].incarnation += 1;
        self.schedule(downtime, Event::RunnerRestart { group });
        let runner: id::Runner = format!("r-{group}").parse().unwrap();
        let crash = Crash { runner, life: Some(Incarnation(incarnation)), nth: 0, release: None };
        let deadly_running: BTreeSet<usize> = interrupted
            .iter()
            .map(|request| request.number)
            .filter(|number| self.is_deadly(*number))
            .collect();
        for number in deadly_running {
            let now = self.now;
            self.outcome.deadly[number].crashes.push(now);
        }
        for request in interrupted {
            let row = Row {
                fingerprint: fingerprint(request.number),
                account: None,
                route: "write".to_owned(),
                crashes: [crash.clone()].into(),
                void: BTreeSet::new(),
                cleared: false,
            };
            self.merge(request.node, &[row], Origin::Hall);
            match request.attempts < MAX_ATTEMPTS {
                true => self.schedule(MESSAGE_DELAY, Event::Arrive(request)),
                false => self.schedule_caller_retry(request, Millis(50)),
            }
        }
        let crashes = self.outcome.deadly.iter().map(|observed| observed.crashes.len()).sum::<usize>();
        if self.scenario.fault == Fault::CollectorLost && crashes == 2 {
            let collector = self.collector(0);
            self.nodes[collector].lost = true;
        }
        if self.scenario.fault == Fault::CollectorSuspended && crashes == 2 {
            let collector = self.collector(0);
            self.nodes[collector].lost = true;
            self.schedule(SUSPENSION, Event::Resume { node: collector });
        }
    }

    /// Exchanges rows with the other collectors and writes to the store what it lacks.
    fn report_to_halls(&mut self, node: usize) {
        let hall = self.nodes[node].hall;
        let collector = self.collector(hall);
        for other in (0..self.scenario.size.halls).filter(|other| *other != hall) {
            if !self.is_cut(hall, other) {
                self.exchange(collector, self.collector(other), Scope::Hall);
            }
        }
        if self.scenario.fault != Fault::StoreAway {
            let hall_delay = Millis(300 * hall as u64);
            let table = &self.nodes[collector].table;
            let due = table.list_unstored().into_iter().filter(|(_, since)| self.now >= *since + hall_delay);
            let rows: Vec<Row> = due.map(|(row, _)| row.clone()).collect();
            for row in rows {
                self.nodes[collector].table.record_stored(&row);
                self.store.insert(row.fingerprint, row.clone());
                let after = self.draw_delay(STORE_DELAY);
                self.schedule(after, Event::Stored { fingerprint: row.fingerprint });
            }
        }
        self.schedule(HALL_REPORT_INTERVAL, Event::HallReport { node });
    }

    fn settle(&mut self) {
        for node in 0..self.scenario.size.nodes {
            let now = self.now;
            if !self.nodes[node].table.settle(now).is_empty() {
                self.record_known(node);
            }
        }
        self.schedule(SETTLE_INTERVAL, Event::Settle);
    }

    fn record_known(&mut self, node: usize) {
        for number in 0..self.scenario.deadly {
            if matches!(self.level(node, number), Level::Deadly(_)) {
                let now = self.now;
                self.outcome.deadly[number].known_since.entry(node).or_insert(now);
            }
        }
    }

    fn read_store(&mut self, fingerprint: Fingerprint) {
        let row = self.store[&fingerprint].clone();
        for node in 0..self.scenario.size.nodes {
            self.merge(node, std::slice::from_ref(&row), Origin::Elsewhere);
            self.nodes[node].table.record_stored(&row);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Complete { group, incarnation, request } => self.complete(group, incarnation, request),
            Event::RunnerCrash { group, incarnation } => self.crash(group, incarnation),
            Event::RunnerRestart { group } => self.groups[group].open = true,
            Event::HallReport { node } => self.report_to_halls(node),
            Event::Stored { fingerprint } => self.read_store(fingerprint),
            Event::Settle => self.settle(),
            Event::Resume { node } => self.nodes[node].lost = false,
            Event::Report { node } => {
                let collector = self.collector(self.nodes[node].hall);
                if collector != node && !self.nodes[node].lost {
                    self.exchange(node, collector, Scope::Node);
                }
                let after = self.draw_delay(REPORT_INTERVAL);
                self.schedule(after, Event::Report { node });
            }
        }
    }
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.schedule_load();
    while let Some(Reverse((at, _, number))) = fleet.queue.pop() {
        if at > END {
            break;
        }
        fleet.now = at;
        fleet.step(fleet.events[number]);
    }
    fleet.outcome
}
