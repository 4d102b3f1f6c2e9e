//! A simulated fleet that executes the planner's orders at once, on a simulated clock.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Engine, Model, Service, Speed};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::plan::{Group, Plans};
use cottoncrank_fleet::position::Era;
use cottoncrank_fleet::pressure::Pressure;
use cottoncrank_fleet::probe::{Answer, MIN_MISSES, Observation, Probes};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Incarnation, Membership, Phase, Runner};
use cottoncrank_fleet::settings::Ceiling;
use cottoncrank_fleet::snapshot::Snapshot;
use cottoncrank_fleet::waits::{self, Waits};

/// The time after which a stalled group is broken.
pub const STALL: Millis = Millis(6000);

/// The limit on the rate of loads.
pub const CEILING: Ceiling = Ceiling { window: Millis(5000), overshoot: 1.1 };

/// A simulated fleet, and what its decider knows of it.
pub struct World {
    pub service: Service,
    pub roster: Roster,
    pub plans: Plans,
    pub memory: Memory,
    pub probes: Probes,
    pub dead: HashSet<id::Runner>,
    pub slow: HashSet<id::Runner>,
    /// Runners at whose address another one answers: their processes have ended.
    pub replaced: HashSet<id::Runner>,
    /// The incarnations that runners report when they are probed.
    pub reported_incarnations: HashMap<id::Runner, Incarnation>,
    /// Runners that reject requests.
    pub rejecting: BTreeSet<id::Runner>,
    /// The requests in flight at each group, if known.
    pub in_flight: Option<Counts>,
    pub serving: bool,
    /// Whether loads that begin now do not end before the test does.
    pub hang_loads: bool,
    pub now: Millis,
}

/// The first incarnation of every runner.
pub const FIRST_INCARNATION: Incarnation = Incarnation(1_700_000_000_000);

pub fn model(name: &str, size: usize, load: u64, warm: u64) -> Model {
    let (load, warm) = (Millis(load), Millis(warm));
    Model { name: name.parse().unwrap(), size, share: 0.5, load_time: load, warm_load_time: warm, pace: 1.0 }
}

pub fn service() -> Service {
    let models = vec![model("large", 4, 16_000, 1600), model("small", 2, 12_000, 1100)];
    let engine = Engine { models, loads_per_second: 5.0, loads_at_once: 7, speed: Speed::default() };
    Service { id: "llm".parse().unwrap(), engine: Some(engine), cold_start: None }
}

pub fn runner(domain: usize, number: usize) -> Runner {
    Runner {
        id: format!("r{domain}-{number}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "hall-a".parse().unwrap(),
        domain: Some(format!("d{domain}").parse().unwrap()),
        slots: 10,
        draining: false,
        models: Vec::new(),
        release: None,
        orders: None,
        served: None,
        cold_left: None,
        incarnation: Some(FIRST_INCARNATION),
        staged: Vec::new(),
        membership: None,
    }
}

impl World {
    /// Returns a fleet of `domains` domains of ten runners each.
    pub fn new(domains: usize) -> World {
        let mut roster = Roster::default();
        for domain in 0..domains {
            for number in 0..10 {
                roster.insert(runner(domain, number));
            }
        }
        World {
            service: service(),
            roster,
            plans: Plans::new(),
            memory: Memory::default(),
            probes: Probes::default(),
            dead: HashSet::new(),
            slow: HashSet::new(),
            replaced: HashSet::new(),
            reported_incarnations: HashMap::new(),
            rejecting: BTreeSet::new(),
            in_flight: None,
            serving: false,
            hang_loads: false,
            now: Millis(1_000_000),
        }
    }

    /// Records rounds of probes that the `silent` runners do not answer, until they count as silent.
    pub fn probe(&mut self, silent: &[id::Runner]) {
        let members: Vec<id::Runner> = self.groups().flat_map(|group| group.members.clone()).collect();
        let answer = |runner: &id::Runner| Answer {
            runner: runner.clone(),
            hall: "hall-a".parse().unwrap(),
            reported: match (
                silent.contains(runner) || self.dead.contains(runner),
                self.slow.contains(runner),
            ) {
                _ if self.replaced.contains(runner) => Observation::Gone,
                (true, _) => Observation::Silent,
                (false, true) => Observation::Pace(12.0),
                (false, false) => Observation::Pace(1.0),
            },
            incarnation: self.reported_incarnations.get(runner).copied(),
            asked: 1,
        };
        let round: Vec<Answer> = members.iter().map(answer).collect();
        for answer in &round {
            if let Some(incarnation) = answer.incarnation {
                self.roster.record_incarnation(&answer.runner, incarnation);
            }
        }
        for _ in 0..MIN_MISSES {
            self.probes.record_round(&round);
        }
    }

    /// Calls `look` with what the decider knows, and with its memory.
    fn observe<T>(&mut self, look: impl FnOnce(&Snapshot, &mut Memory) -> T) -> T {
        let snapshot = Snapshot {
            service: &self.service,
            roster: &self.roster,
            plans: &self.plans,
            era: Era::default(),
            closed: &BTreeSet::new(),
            probes: &self.probes,
            serving: self.serving,
            ceiling: &CEILING,
            stall: STALL,
            in_flight: self.in_flight.as_ref(),
            rejecting: &self.rejecting,
            pressure: &Pressure::default(),
            now: self.now,
        };
        look(&snapshot, &mut self.memory)
    }

    /// Counts what retired groups wait for.
    pub fn count_waits(&mut self) -> Waits {
        self.observe(|snapshot, memory| waits::count(snapshot, memory))
    }

    /// Runs one planning step whose plans are written.
    pub fn step(&mut self) -> Step {
        let step = self.propose();
        for (domain, document, _) in &step.writes {
            self.plans.insert(domain.clone(), document.clone());
        }
        self.memory.record_written();
        step
    }

    /// Runs one planning step whose plans are not written.
    pub fn propose(&mut self) -> Step {
        self.observe(step)
    }

    /// Executes the orders of a step at once, as runners do that have nothing to load.
    pub fn execute(&mut self, step: &Step) {
        for (id, order) in &step.orders {
            let Some(mut runner) = self.roster.get(id).cloned() else { continue };
            match order {
                Order::Join(group, epoch, model, members) => {
                    let rank = members.iter().position(|member| member == id).unwrap();
                    let phase = Phase::Ready;
                    runner.membership = Some(Membership { group: group.clone(), epoch: *epoch, rank, phase });
                    if !runner.has_served(model) {
                        runner.staged = vec![model.clone()];
                    }
                    runner.models = vec![model.clone()];
                }
                Order::Open(..) => runner.membership.as_mut().unwrap().phase = Phase::Open,
                Order::Close(..) => runner.membership.as_mut().unwrap().phase = Phase::Ready,
                Order::Leave(..) => {
                    runner.membership = None;
                    runner.models.clear();
                }
                Order::Stage(_) if self.hang_loads => {}
                Order::Stage(model) => runner.staged = vec![model.clone()],
            }
            self.roster.insert(runner);
            self.memory.record_acknowledged(
                id,
                self.roster.get(id).and_then(|runner| runner.incarnation),
                order,
                self.now,
            );
        }
    }

    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            let step = self.step();
            self.execute(&step);
            self.now = self.now + Millis(200);
        }
    }

    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.plans.values().flat_map(|plan| &plan.groups)
    }

    pub fn count(&self, model: &str) -> usize {
        self.groups().filter(|group| !group.is_retired() && group.model.as_str() == model).count()
    }

    pub fn find(&self, model: &str) -> Group {
        self.groups().find(|group| !group.is_retired() && group.model.as_str() == model).unwrap().clone()
    }

    /// Removes the entry of a runner.
    pub fn remove_entry(&mut self, id: &id::Runner) {
        self.roster.remove(id, self.now);
    }

    /// Restarts a runner under its id, with an entry that shows the new incarnation.
    pub fn restart(&mut self, id: &id::Runner) -> Incarnation {
        let mut runner = self.roster.get_last_known(id).unwrap().clone();
        let incarnation = Incarnation(runner.incarnation.unwrap().0 + 300);
        runner.restart(incarnation);
        self.reported_incarnations.insert(id.clone(), incarnation);
        self.roster.insert(runner);
        incarnation
    }

    /// Restarts a runner under its id; only its answers to probes show the new incarnation.
    pub fn restart_without_entry(&mut self, id: &id::Runner) -> Incarnation {
        let incarnation = Incarnation(self.roster.get_last_known(id).unwrap().incarnation.unwrap().0 + 300);
        self.reported_incarnations.insert(id.clone(), incarnation);
        self.probe(&[]);
        incarnation
    }

    /// Ends a runner for good: its entry is removed and it does not answer.
    pub fn crash(&mut self, id: &id::Runner) {
        self.remove_entry(id);
        self.dead.insert(id.clone());
        self.probe(&[]);
    }

    /// Ends the free runners of a domain for good.
    pub fn crash_spares(&mut self, domain: &id::Domain) {
        let free = self.list_free().into_iter().filter(|runner| runner.domain.as_ref() == Some(domain));
        let spares: Vec<id::Runner> = free.map(|runner| runner.id.clone()).collect();
        for id in &spares {
            self.crash(id);
        }
    }

    /// Returns the runners that are in no planned group, sorted by id.
    pub fn list_free(&self) -> Vec<&Runner> {
        let planned: HashSet<&id::Runner> = self.groups().flat_map(|group| &group.members).collect();
        let mut free: Vec<&Runner> =
            self.roster.iter().filter(|runner| !planned.contains(&runner.id)).collect();
        free.sort_by(|a, b| a.id.cmp(&b.id));
        free
    }

    pub fn phase(&self, id: &id::Runner) -> Option<Phase> {
        self.roster.get(id)?.membership.as_ref().map(|membership| membership.phase)
    }
}

/// Returns a fleet in its steady state: groups are open, models are staged on spare runners, and callers
/// are present.
pub fn at_rest(domains: usize) -> World {
    let mut world = World::new(domains);
    world.run(60);
    world.serving = true;
    world.run(60);
    world.probe(&[]);
    world
}
