//! A fleet on a set clock that carries out at once what is decided.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Engine, Model, Service, Speed};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::plan::{Group, Plans};
use cottoncrank_fleet::probe::{Answer, Observation, Probes};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Incarnation, Membership, Phase, Runner};
use cottoncrank_fleet::settings::Ceiling;
use cottoncrank_fleet::snapshot::Snapshot;

/// After this long a group that stands still is broken.
pub const STALL: Millis = Millis(6000);

/// How fast runners may load.
pub const CEILING: Ceiling = Ceiling { window: Millis(5000), overshoot: 1.1 };

/// A fleet that carries out what is decided, and the decider's memory of it.
pub struct World {
    pub service: Service,
    pub roster: Roster,
    pub plans: Plans,
    pub memory: Memory,
    pub probes: Probes,
    pub dead: HashSet<id::Runner>,
    pub slow: HashSet<id::Runner>,
    /// Runners at whose address another one answers.
    pub reborn: HashSet<id::Runner>,
    /// The lives that runners tell when they are asked.
    pub told: HashMap<id::Runner, Incarnation>,
    /// Runners that turn requests away, and what is in flight at each group, if that is known.
    pub refusing: BTreeSet<id::Runner>,
    pub in_flight: Option<Counts>,
    pub serving: bool,
    /// Whether loads begun now take longer than the test.
    pub loading: bool,
    pub now: Millis,
}

/// The first life of every runner.
pub const FIRST: Incarnation = Incarnation(1_700_000_000_000);

pub fn model(name: &str, size: usize, load: u64, warm: u64) -> Model {
    let (load, warm) = (Millis(load), Millis(warm));
    Model { name: name.parse().unwrap(), size, share: 0.5, load_time: load, warm_load_time: warm, pace: 1.0 }
}

pub fn service() -> Service {
    let models = vec![model("large", 4, 16_000, 1600), model("small", 2, 12_000, 1100)];
    let engine = Engine { models, loads_per_second: 5.0, loads_at_once: 7, speed: Speed::default() };
    Service { id: "llm".parse().unwrap(), engine: Some(engine) }
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
        incarnation: Some(FIRST),
        staged: Vec::new(),
        membership: None,
    }
}

impl World {
    /// A fleet of `domains` of ten runners.
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
            reborn: HashSet::new(),
            told: HashMap::new(),
            refusing: BTreeSet::new(),
            in_flight: None,
            serving: false,
            loading: false,
            now: Millis(1_000_000),
        }
    }

    /// Rounds of questions in which these runners do not answer.
    pub fn probe(&mut self, silent: &[id::Runner]) {
        let members: Vec<id::Runner> = self.groups().flat_map(|group| group.members.clone()).collect();
        let answer = |runner: &id::Runner| Answer {
            runner: runner.clone(),
            hall: "hall-a".parse().unwrap(),
            reported: match (
                silent.contains(runner) || self.dead.contains(runner),
                self.slow.contains(runner),
            ) {
                _ if self.reborn.contains(runner) => Observation::Gone,
                (true, _) => Observation::Silent,
                (false, true) => Observation::Pace(12.0),
                (false, false) => Observation::Pace(1.0),
            },
            incarnation: self.told.get(runner).copied(),
            asked: 1,
        };
        let round: Vec<Answer> = members.iter().map(answer).collect();
        for answer in &round {
            if let Some(life) = answer.incarnation {
                self.roster.record_incarnation(&answer.runner, life);
            }
        }
        self.probes.record_round(&round);
        self.probes.record_round(&round);
    }

    pub fn step(&mut self) -> Step {
        let scene = Snapshot {
            service: &self.service,
            roster: &self.roster,
            plans: &self.plans,
            closed: &BTreeSet::new(),
            probes: &self.probes,
            serving: self.serving,
            ceiling: &CEILING,
            stall: STALL,
            in_flight: self.in_flight.as_ref(),
            rejecting: &self.refusing,
            now: self.now,
        };
        let step = step(&scene, &mut self.memory);
        for (domain, document, _) in &step.writes {
            self.plans.insert(domain.clone(), document.clone());
        }
        step
    }

    /// Carries orders out at once, as runners do that have nothing to load.
    pub fn obey(&mut self, step: &Step) {
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
                Order::Stage(_) if self.loading => {}
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
            self.obey(&step);
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

    /// The entry of a runner lapses.
    pub fn lapse(&mut self, id: &id::Runner) {
        self.roster.remove(id, self.now);
    }

    /// A runner starts again under its id, and its entry tells of it.
    pub fn restart(&mut self, id: &id::Runner) -> Incarnation {
        let mut runner = self.roster.get_last_known(id).unwrap().clone();
        let life = Incarnation(runner.incarnation.unwrap().0 + 300);
        runner.restart(life);
        self.told.insert(id.clone(), life);
        self.roster.insert(runner);
        life
    }

    /// A runner starts again under its id, and says so when it is asked.
    pub fn restart_unwritten(&mut self, id: &id::Runner) -> Incarnation {
        let life = Incarnation(self.roster.get_last_known(id).unwrap().incarnation.unwrap().0 + 300);
        self.told.insert(id.clone(), life);
        self.probe(&[]);
        life
    }

    /// A runner is gone for good.
    pub fn crash(&mut self, id: &id::Runner) {
        self.lapse(id);
        self.dead.insert(id.clone());
        self.probe(&[]);
    }

    /// The free runners of a domain are gone for good.
    pub fn lose_spares(&mut self, domain: &id::Domain) {
        let here = self.list_free().into_iter().filter(|runner| runner.domain.as_ref() == Some(domain));
        let spare: Vec<id::Runner> = here.map(|runner| runner.id.clone()).collect();
        for id in &spare {
            self.crash(id);
        }
    }

    /// The runners that no group is planned with.
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

/// A fleet at rest: groups open, spare runners staged, callers there.
pub fn at_rest(domains: usize) -> World {
    let mut world = World::new(domains);
    world.run(60);
    world.serving = true;
    world.run(60);
    world.probe(&[]);
    world
}
