//! A simulated fleet of runners with realistic delays, on a simulated clock: loads share the
//! weight store, entries and answers arrive late, and losses are detected by probes.

#![allow(dead_code, reason = "each test and bench uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Engine, Model, Service, Speed};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::plan::{Group, Plans};
use cottoncrank_fleet::position::Era;
use cottoncrank_fleet::pressure::{self, Pressure, Row, Tally};
use cottoncrank_fleet::probe::{Answer, Observation, Probes};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Incarnation, Membership, Phase, Runner};
use cottoncrank_fleet::settings::Ceiling;
use cottoncrank_fleet::snapshot::Snapshot;
use cottoncrank_fleet::stall::Stalls;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// The time step of the simulation.
pub const TICK: Millis = Millis(50);

const CEILING: Ceiling = Ceiling { window: Millis(5000), overshoot: 1.1 };
const STALL: Millis = Millis(6000);

/// The intervals between planning steps and between rounds of probes, and the delay after which the
/// decider sees a changed entry.
const STEP_INTERVAL: Millis = Millis(250);
const PROBE_INTERVAL: Millis = Millis(700);
const STORE_LATENCY: Millis = Millis(100);

/// The times that a head needs to open, and a member to join with the model already loaded.
const OPEN_TIME: Millis = Millis(300);
const REJOIN_TIME: Millis = Millis(200);

/// A load from the weight store, with the seconds that remain at full speed.
struct Load {
    model: id::Model,
    remaining: f64,
}

/// The actual state of a runner, which the decider knows only from entries and probes.
struct Actor {
    entry: Runner,
    alive: bool,
    /// The load of a model onto the host.
    staging: Option<Load>,
    /// The load of a model from the weight store for a join.
    loading: Option<Load>,
    /// When a join without a load, or the opening of a head, is done.
    ready_at: Option<Millis>,
    members: Vec<id::Runner>,
    /// The model of its group.
    model: Option<id::Model>,
    /// The model of the last group in which it was ready.
    served: Option<id::Model>,
    /// The highest epoch it has seen.
    epoch: Epoch,
    /// Since when its group has been stalled.
    stalled_since: Option<Millis>,
    /// When it was lost for good.
    died_at: Option<Millis>,
    /// Whether another process answers at its address.
    replaced: bool,
    /// How often it joined a group or lost its membership by a restart.
    membership_changes: u64,
    /// For a head: the `membership_changes` of all members when it opened. A group is also stalled
    /// until it breaks if a member has joined again since.
    changes_at_open: Vec<u64>,
    /// The groups in which it was ready, in any incarnation.
    ever_ready: HashSet<(id::Group, Epoch)>,
}

/// A fleet and its decider.
pub struct World {
    pub service: Service,
    pub now: Millis,
    pub serving: bool,
    /// Whether the node that decides has seen a caller.
    pub sees_callers: bool,
    pub plans: Plans,
    pub memory: Memory,
    /// The stalled groups as the other nodes have read them from the plans.
    stalls: Stalls,
    roster: Roster,
    probes: Probes,
    actors: BTreeMap<id::Runner, Actor>,
    /// Entries and when the decider will see them; `None` means that the entry is gone.
    entry_updates: Vec<(Millis, id::Runner, Option<Runner>)>,
    stepped_at: Millis,
    probed_at: Millis,
    pub deciding: bool,
    rng: SmallRng,
    runner_count: usize,
    domains_per_hall: usize,
    turns: u64,
    /// The seconds that members of open groups served, by model, and the seconds of all runners.
    pub served_seconds: HashMap<id::Model, f64>,
    pub runner_seconds: f64,
    /// The number of loads begun while callers were present.
    pub loads: usize,
    /// When each of them began.
    pub load_starts: Vec<Millis>,
    /// The ratio of orders that are executed seconds later and never answered.
    pub late_ratio: f64,
    /// The number of slots that callers would use, by model.
    pub demanded_slots: HashMap<id::Model, u32>,
    /// Whether collectors tell the decider whom they refuse, and what they told.
    pub telling: bool,
    table: pressure::Table,
    /// Whether the routes of the service differ in priority.
    pub priorities: bool,
    /// The delay of the orders of a step, as of a slow store that has to take the plans first.
    pub write_delay: Millis,
    /// Orders that are executed late, and when.
    late_orders: Vec<(Millis, id::Runner, Order)>,
    /// Runners that restart under their id, and when.
    restarting: Vec<(Millis, id::Runner)>,
    /// The longest time after its start at which a runner writes its entry.
    pub entry_delay: Millis,
    /// How long the entry of a runner stands after its process has ended, where another one starts at its address.
    pub entry_lapse: Millis,
}

pub fn model(name: &str, size: usize, share: f64, load: u64, warm: u64) -> Model {
    let (load, warm) = (Millis(load), Millis(warm));
    Model { name: name.parse().unwrap(), size, share, load_time: load, warm_load_time: warm, pace: 1.0 }
}

pub fn engine(models: Vec<Model>, loads_per_second: f64, loads_at_once: usize) -> Service {
    let engine = Engine { models, loads_per_second, loads_at_once, speed: Speed::default() };
    Service { id: "llm".parse().unwrap(), engine: Some(engine), cold_start: None }
}

impl World {
    /// Returns a starting fleet: `domains` of `size` runners, in halls of `domains_per_hall` domains.
    pub fn new(service: Service, domains: usize, size: usize, domains_per_hall: usize, seed: u64) -> World {
        let mut world = World {
            service,
            now: Millis(1_000_000),
            serving: false,
            sees_callers: true,
            plans: Plans::new(),
            memory: Memory::default(),
            stalls: Stalls::default(),
            roster: Roster::default(),
            probes: Probes::default(),
            actors: BTreeMap::new(),
            entry_updates: Vec::new(),
            stepped_at: Millis(0),
            probed_at: Millis(0),
            deciding: true,
            rng: SmallRng::seed_from_u64(seed),
            domains_per_hall,
            turns: 0,
            runner_count: 0,
            served_seconds: HashMap::new(),
            runner_seconds: 0.0,
            loads: 0,
            load_starts: Vec::new(),
            late_ratio: 0.0,
            demanded_slots: HashMap::new(),
            telling: true,
            table: pressure::Table::default(),
            priorities: false,
            write_delay: Millis(0),
            late_orders: Vec::new(),
            restarting: Vec::new(),
            entry_delay: Millis(0),
            entry_lapse: STORE_LATENCY,
        };
        for domain in 0..domains {
            for _ in 0..size {
                world.add_runner(domain);
            }
        }
        world
    }

    /// Adds an empty runner to a domain.
    pub fn add_runner(&mut self, domain: usize) {
        self.runner_count += 1;
        let entry = Runner {
            id: format!("r{}", self.runner_count).parse().unwrap(),
            service: self.service.id.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            hall: format!("hall-{}", domain / self.domains_per_hall).parse().unwrap(),
            domain: Some(format!("d{domain}").parse().unwrap()),
            slots: 14,
            draining: false,
            models: Vec::new(),
            release: None,
            orders: None,
            served: None,
            cold_left: None,
            incarnation: Some(Incarnation(self.now.0)),
            staged: Vec::new(),
            membership: None,
        };
        let id = entry.id.clone();
        let actor = Actor {
            entry,
            alive: true,
            staging: None,
            loading: None,
            ready_at: None,
            members: Vec::new(),
            model: None,
            served: None,
            epoch: Epoch(0),
            stalled_since: None,
            died_at: None,
            replaced: false,
            membership_changes: 0,
            changes_at_open: Vec::new(),
            ever_ready: HashSet::new(),
        };
        self.actors.insert(id.clone(), actor);
        self.write_entry(&id);
    }

    /// Kills `count` members of groups in a hall for good; they do not answer any more.
    pub fn lose(&mut self, hall: usize, count: usize) {
        let hall: id::Hall = format!("hall-{hall}").parse().unwrap();
        for _ in 0..count {
            let candidates = self.actors.iter().filter(|(_, actor)| actor.alive && actor.entry.hall == hall);
            let member =
                candidates.filter(|(_, actor)| actor.entry.membership.is_some()).map(|(id, _)| id.clone());
            let Some(id) = member.choose(&mut self.rng) else { return };
            self.kill(&id);
        }
    }

    /// Kills all runners of a domain for good.
    pub fn lose_domain(&mut self, domain: &str) {
        let domain: id::Domain = domain.parse().unwrap();
        let candidates = self.actors.iter().filter(|(_, actor)| actor.entry.domain.as_ref() == Some(&domain));
        let ids: Vec<id::Runner> = candidates.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.kill(&id);
        }
    }

    /// Ends a runner for good and starts an empty one at its address, under another id.
    pub fn exchange(&mut self, id: &id::Runner) {
        let actor = self.actors.get_mut(id).unwrap();
        actor.alive = false;
        actor.replaced = true;
        actor.died_at = Some(self.now);
        let domain = actor.entry.domain.as_ref().unwrap().as_str()[1..].parse().unwrap();
        self.entry_updates.push((self.now + self.entry_lapse, id.clone(), None));
        self.add_runner(domain);
    }

    /// Returns the number of loads that run.
    pub fn count_running_loads(&self) -> usize {
        let living = self.actors.values().filter(|actor| actor.alive);
        living.map(|actor| [&actor.staging, &actor.loading].into_iter().flatten().count()).sum()
    }

    /// Returns the living runners, with their domains.
    pub fn list_living(&self) -> Vec<(id::Runner, id::Domain)> {
        let living = self.actors.iter().filter(|(_, actor)| actor.alive);
        living.map(|(id, actor)| (id.clone(), actor.entry.domain.clone().unwrap())).collect()
    }

    /// Returns the models that a living runner can join without a load: of its last group, and on its host.
    pub fn list_held(&self, id: &id::Runner) -> Vec<id::Model> {
        let Some(actor) = self.actors.get(id).filter(|actor| actor.alive) else { return Vec::new() };
        actor.served.iter().chain(&actor.entry.staged).cloned().collect()
    }

    /// Returns the actual phases of the members of a planned group that have joined it.
    pub fn list_phases(&self, group: &Group) -> Vec<Phase> {
        let places = group.members.iter().filter_map(|id| self.actors.get(id)?.entry.membership.as_ref());
        let inside = places.filter(|place| place.group == group.name && place.epoch == group.epoch);
        inside.map(|place| place.phase).collect()
    }

    fn kill(&mut self, id: &id::Runner) {
        let actor = self.actors.get_mut(id).unwrap();
        actor.alive = false;
        actor.died_at = Some(self.now);
        self.entry_updates.push((self.now + Millis(3600), id.clone(), None));
    }

    /// Ends the process of a random runner, a member of a group if `member`, and restarts it under
    /// its id after `down`. All its state is lost except the models kept by its host.
    pub fn restart_one(&mut self, member: bool, down: Millis) {
        let living = self.actors.iter().filter(|(_, actor)| actor.alive);
        let eligible = living.filter(|(_, actor)| !member || actor.entry.membership.is_some());
        let Some(id) = eligible.map(|(id, _)| id.clone()).choose(&mut self.rng) else { return };
        self.restart(id, down);
    }

    /// Does that to all runners of a hall.
    pub fn restart_hall(&mut self, hall: usize, down: Millis) {
        let hall: id::Hall = format!("hall-{hall}").parse().unwrap();
        let there = self.actors.iter().filter(|(_, actor)| actor.alive && actor.entry.hall == hall);
        for id in there.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.restart(id, down);
        }
    }

    fn restart(&mut self, id: id::Runner, down: Millis) {
        let now = self.now;
        let actor = self.actors.get_mut(&id).unwrap();
        actor.alive = false;
        actor.entry.restart(Incarnation(now.0 + down.0));
        (actor.staging, actor.loading, actor.ready_at) = (None, None, None);
        (actor.model, actor.served, actor.stalled_since) = (None, None, None);
        actor.members.clear();
        actor.epoch = Epoch(0);
        actor.membership_changes += 1;
        self.restarting.push((now + down, id));
    }

    fn start_restarted(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.restarting).into_iter().partition(|(at, _)| *at <= self.now);
        self.restarting = later;
        let due: Vec<(Millis, id::Runner)> = due;
        for (_, id) in due {
            let actor = self.actors.get_mut(&id).unwrap();
            actor.alive = true;
            let entry = actor.entry.clone();
            let wait = Millis(self.rng.random_range(0..=self.entry_delay.0));
            self.entry_updates.push((self.now + STORE_LATENCY + wait, id, Some(entry)));
        }
    }

    /// Evacuates a hall without a hold.
    pub fn evacuate(&mut self, hall: usize) {
        let hall: id::Hall = format!("hall-{hall}").parse().unwrap();
        let known = self.roster.list_halls();
        self.roster.evacuations.start(&hall, self.now, self.now, &known);
    }

    /// Returns the formations planned in a hall.
    pub fn list_active(&self, hall: usize) -> Vec<(id::Group, Epoch)> {
        let hall: id::Hall = format!("hall-{hall}").parse().unwrap();
        let groups = self.plans.values().flat_map(|plan| &plan.groups);
        let is_there = |id: &id::Runner| self.actors[id].entry.hall == hall;
        let active = groups.filter(|group| !group.is_retired() && group.members.iter().any(is_there));
        active.map(|group| (group.name.clone(), group.epoch)).collect()
    }

    /// Replaces the decider by one that knows only the plans and the entries.
    pub fn replace_decider(&mut self) {
        self.memory = Memory::resume(&self.stalls);
        self.table = pressure::Table::default();
        self.probes = Probes::default();
    }

    fn write_entry(&mut self, id: &id::Runner) {
        let entry = self.actors[id].entry.clone();
        self.entry_updates.push((self.now + STORE_LATENCY, id.clone(), Some(entry)));
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.start_restarted();
        self.execute_late_orders();
        self.advance_loads();
        self.advance_groups();
        self.deliver();
        if self.deciding && self.now >= self.probed_at + PROBE_INTERVAL {
            self.probed_at = self.now;
            self.probe();
        }
        if self.deciding && self.now >= self.stepped_at + STEP_INTERVAL {
            self.stepped_at = self.now;
            self.decide();
        }
        self.measure_service();
    }

    fn engine(&self) -> Engine {
        self.service.engine.clone().unwrap()
    }

    fn advance_loads(&mut self) {
        let at_once = self.engine().loads_at_once as f64;
        let loads =
            |actor: &Actor| usize::from(actor.staging.is_some()) + usize::from(actor.loading.is_some());
        let running: usize = self.actors.values().filter(|actor| actor.alive).map(loads).sum();
        let pace = (at_once / running.max(1) as f64).min(1.0) * TICK.0 as f64 / 1000.0;
        let mut changed = Vec::new();
        for (id, actor) in self.actors.iter_mut().filter(|(_, actor)| actor.alive) {
            for load in [&mut actor.staging, &mut actor.loading] {
                let Some(active) = load else { continue };
                active.remaining -= pace;
                if active.remaining <= 0.0 {
                    actor.entry.staged = vec![active.model.clone()];
                    *load = None;
                    changed.push(id.clone());
                }
            }
        }
        for id in changed {
            self.write_entry(&id);
        }
    }

    fn advance_groups(&mut self) {
        let mut changed = Vec::new();
        for (id, actor) in self.actors.iter_mut().filter(|(_, actor)| actor.alive) {
            let Some(membership) = &mut actor.entry.membership else { continue };
            let is_loading = actor.loading.is_some()
                || (actor.staging.is_some()
                    && actor.served != actor.model
                    && membership.phase == Phase::Joining);
            if is_loading || actor.ready_at.is_none_or(|ready_at| self.now < ready_at) {
                continue;
            }
            actor.ready_at = None;
            match membership.phase {
                Phase::Joining => {
                    membership.phase = Phase::Ready;
                    actor.ever_ready.insert((membership.group.clone(), membership.epoch));
                    actor.entry.models = actor.model.clone().into_iter().collect();
                    actor.served = actor.model.clone();
                }
                Phase::Ready => membership.phase = Phase::Open,
                Phase::Open | Phase::Closing | Phase::Broken => {}
            }
            changed.push(id.clone());
        }
        changed.extend(self.break_stalled_groups());
        for id in changed {
            self.write_entry(&id);
        }
    }

    /// Breaks the groups that have lacked a member for the stall time, and returns their heads.
    fn break_stalled_groups(&mut self) -> Vec<id::Runner> {
        let heads: Vec<id::Runner> = self.list_heads();
        let complete: HashSet<id::Runner> =
            heads.iter().filter(|head| self.is_complete(head)).cloned().collect();
        let mut broken = Vec::new();
        for head in heads {
            let now = self.now;
            let actor = self.actors.get_mut(&head).unwrap();
            if complete.contains(&head) {
                actor.stalled_since = None;
                continue;
            }
            let since = *actor.stalled_since.get_or_insert(now);
            if now >= since + STALL {
                actor.entry.membership.as_mut().unwrap().phase = Phase::Broken;
                broken.push(head);
            }
        }
        broken
    }

    fn list_heads(&self) -> Vec<id::Runner> {
        let open = |actor: &Actor| {
            let membership = actor.entry.membership.as_ref();
            actor.alive
                && membership
                    .is_some_and(|membership| matches!(membership.phase, Phase::Open | Phase::Closing))
        };
        self.actors.iter().filter(|(_, actor)| open(actor)).map(|(id, _)| id.clone()).collect()
    }

    fn is_complete(&self, head: &id::Runner) -> bool {
        let actor = &self.actors[head];
        let membership = actor.entry.membership.as_ref().unwrap();
        actor.members.iter().enumerate().all(|(rank, member)| {
            let other = &self.actors[member];
            let actual = other.entry.membership.as_ref();
            let same = actor.changes_at_open.get(rank) == Some(&other.membership_changes);
            same && other.alive
                && actual.is_some_and(|actual| {
                    actual.group == membership.group && actual.epoch == membership.epoch
                })
        })
    }

    fn deliver(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.entry_updates).into_iter().partition(|(at, ..)| *at <= self.now);
        self.entry_updates = later;
        let due: Vec<(Millis, id::Runner, Option<Runner>)> = due;
        for (_, id, entry) in due {
            match entry {
                Some(entry) if self.actors[&id].alive => {
                    self.roster.insert(entry);
                }
                Some(_) => {}
                None => self.roster.remove(&id, self.now),
            }
        }
    }

    fn probe(&mut self) {
        let groups = self.plans.values().flat_map(|plan| &plan.groups);
        let mut asked: BTreeSet<id::Runner> = groups.flat_map(|group| group.members.clone()).collect();
        if self.probes.is_first_look() {
            asked.extend(self.roster.iter().map(|runner| runner.id.clone()));
        }
        let round: Vec<Answer> = asked
            .iter()
            .map(|id| Answer {
                runner: id.clone(),
                hall: self.actors[id].entry.hall.clone(),
                reported: match &self.actors[id] {
                    actor if actor.alive => Observation::Pace(1.0),
                    actor if actor.replaced => Observation::Gone,
                    _ => Observation::Silent,
                },
                incarnation: self.actors[id].entry.incarnation.filter(|_| self.actors[id].alive),
                asked: if self.actors[id].alive { 1 } else { 2 },
            })
            .collect();
        for answer in &round {
            if let Some(incarnation) = answer.incarnation {
                self.roster.record_incarnation(&answer.runner, incarnation);
            }
        }
        self.probes.record_round(&round);
    }

    fn decide(&mut self) {
        let step = self.step();
        for (domain, document, _) in step.writes {
            self.plans.insert(domain, document);
        }
        self.stalls.update(&self.plans, self.now);
        for (id, order) in step.orders {
            if self.write_delay > Millis(0) {
                self.late_orders.push((self.now + self.write_delay, id, order));
            } else if self.rng.random::<f64>() < self.late_ratio {
                let at = self.now + Millis(self.rng.random_range(2000..12_000));
                self.late_orders.push((at, id, order));
            } else if self.actors[&id].alive {
                let incarnation = self.roster.get_last_known(&id).and_then(|runner| runner.incarnation);
                let accepted = self.execute(&id, &order);
                match accepted {
                    true => self.memory.record_acknowledged(&id, incarnation, &order, self.now),
                    false => self.memory.record_refused(&id, &order),
                }
            }
        }
    }

    /// Returns the requests in flight at each open group if callers use the demanded slots of each
    /// model, or none if no demand is set.
    fn spread_requests(&self) -> Option<Counts> {
        let mut counts = Counts::new();
        for (name, demanded) in &self.demanded_slots {
            let heads = self.roster.list_heads(&self.service.id, name, &self.plans);
            let epochs = heads.iter().filter_map(|head| Some(head.membership.as_ref()?.epoch));
            let each = demanded / heads.len().max(1) as u32;
            counts.extend(epochs.map(|epoch| (epoch, each)));
        }
        (!self.demanded_slots.is_empty()).then_some(counts)
    }

    /// Tells the decider of the slots that callers want and do not get, as one report.
    fn tell(&mut self) {
        let rows: Vec<Row> = self
            .demanded_slots
            .iter()
            .map(|(name, asked)| Row {
                service: self.service.id.clone(),
                model: name.clone(),
                priority: 0,
                tally: Tally {
                    asked: *asked,
                    waited: 0,
                    refused: asked.saturating_sub(self.count_slots(name)),
                },
            })
            .collect();
        if self.telling && rows.iter().any(|row| row.tally.refused > 0) {
            self.table.insert(pressure::Report { hall: "hall-0".parse().unwrap(), rows }, self.now);
        }
    }

    /// Returns the slots of a model's complete open groups.
    pub fn count_slots(&self, name: &id::Model) -> u32 {
        let heads = self.list_heads().into_iter().filter(|head| self.is_complete(head));
        let heads = heads.map(|head| &self.actors[&head]);
        heads.filter(|head| head.model.as_ref() == Some(name)).map(|head| head.entry.slots).sum()
    }

    /// Runs one planning step of the decider on the current state, and takes its plans for written.
    pub fn step(&mut self) -> Step {
        self.tell();
        let in_flight = self.spread_requests();
        let pressure =
            Pressure { strains: self.table.sum(&self.service.id, self.now), priorities: self.priorities };
        let snapshot = Snapshot {
            service: &self.service,
            roster: &self.roster,
            plans: &self.plans,
            era: Era::default(),
            closed: &BTreeSet::new(),
            probes: &self.probes,
            serving: self.serving && self.sees_callers,
            ceiling: &CEILING,
            stall: STALL,
            in_flight: in_flight.as_ref(),
            rejecting: &BTreeSet::new(),
            pressure: &pressure,
            now: self.now,
        };
        let step = step(&snapshot, &mut self.memory);
        self.memory.record_written();
        step
    }

    /// Executes the late orders that are due. The decider does not learn their results.
    fn execute_late_orders(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.late_orders).into_iter().partition(|(at, ..)| *at <= self.now);
        self.late_orders = later;
        let due: Vec<(Millis, id::Runner, Order)> = due;
        for (_, id, order) in due {
            if self.actors[&id].alive {
                self.execute(&id, &order);
            }
        }
    }

    /// Checks that a runner does not join another group while the head of its own may run requests:
    /// while that group is open, or stalled and not yet broken.
    fn check_join(&self, id: &id::Runner, group: &id::Group) {
        let actor = &self.actors[id];
        let Some(membership) =
            actor.entry.membership.as_ref().filter(|membership| membership.group != *group)
        else {
            return;
        };
        let Some(head) = actor.members.first().map(|head| &self.actors[head]) else { return };
        let actual = head.entry.membership.as_ref();
        let is_led = actual.is_some_and(|actual| {
            actual.group == membership.group
                && actual.epoch == membership.epoch
                && matches!(actual.phase, Phase::Open | Phase::Closing)
        });
        assert!(!is_led || !head.alive, "{id} leaves {membership:?} for {group} while its head is open");
        let died_at = head.died_at.filter(|_| is_led);
        assert!(
            died_at.is_none_or(|died_at| self.now >= died_at + STALL),
            "{id} leaves {membership:?} for {group} too early"
        );
    }

    /// Checks that a head opens only after all members were ready in the same group and epoch.
    fn check_open(&self, id: &id::Runner, group: &id::Group, epoch: Epoch) {
        let actor = &self.actors[id];
        let model = actor.model.as_ref().unwrap();
        let size = self.engine().models.iter().find(|known| known.name == *model).unwrap().size;
        assert_eq!(actor.members.len(), size, "{group} opens with too few members");
        for member in &actor.members {
            let other = &self.actors[member];
            let ready = other.entry.membership.as_ref().is_some_and(|actual| {
                actual.group == *group && actual.epoch == epoch && actual.phase != Phase::Joining
            });
            let was_ready = other.ever_ready.contains(&(group.clone(), epoch));
            assert!(ready || was_ready || !other.alive, "{group} opens while {member} was never ready");
        }
    }

    /// Executes an order. Returns false if the runner refuses it because of its epoch or phase.
    fn execute(&mut self, id: &id::Runner, order: &Order) -> bool {
        if let Order::Join(group, epoch, ..) = order
            && *epoch >= self.actors[id].epoch
        {
            self.check_join(id, group);
        }
        let engine = self.engine();
        let find = |name: &id::Model| engine.models.iter().find(|model| model.name == *name).unwrap().clone();
        let time_factor = if self.serving { 1.0 } else { 0.1 };
        let seconds = |time: Millis| time.0 as f64 / 1000.0 * time_factor;
        let now = self.now;
        let actor = self.actors.get_mut(id).unwrap();
        let accepted = match order {
            Order::Join(group, epoch, name, members) => {
                let is_current = *epoch >= actor.epoch;
                let membership = actor.entry.membership.as_ref();
                // The order is a repetition.
                let holds = membership
                    .is_some_and(|membership| membership.group == *group && membership.epoch == *epoch);
                if is_current && !holds {
                    actor.epoch = *epoch;
                    actor.membership_changes += 1;
                    let model = find(name);
                    let rank = members.iter().position(|member| member == id).unwrap();
                    let membership =
                        Membership { group: group.clone(), epoch: *epoch, rank, phase: Phase::Joining };
                    actor.entry.membership = Some(membership);
                    actor.members = members.clone();
                    actor.model = Some(name.clone());
                    actor.stalled_since = None;
                    let loaded = actor.served.as_ref() == Some(name);
                    actor.entry.models.clear();
                    let staged = actor.entry.staged.contains(name);
                    actor.ready_at = Some(
                        now + if loaded {
                            REJOIN_TIME
                        } else if staged {
                            model.warm_load_time
                        } else {
                            Millis(0)
                        },
                    );
                    if !loaded && !staged && actor.staging.as_ref().is_none_or(|load| load.model != *name) {
                        actor.loading =
                            Some(Load { model: name.clone(), remaining: seconds(model.load_time) });
                        self.loads += usize::from(self.serving);
                        self.load_starts.extend(self.serving.then_some(now));
                    }
                }
                is_current
            }
            Order::Open(group, epoch) => {
                let membership = actor.entry.membership.as_ref();
                let is_ready = membership.is_some_and(|membership| {
                    membership.group == *group
                        && membership.epoch == *epoch
                        && membership.phase == Phase::Ready
                });
                if is_ready {
                    actor.ready_at = Some(now + OPEN_TIME);
                }
                is_ready
            }
            Order::Close(group, epoch) | Order::Leave(group, epoch) => {
                let membership = actor.entry.membership.as_ref();
                if membership
                    .is_some_and(|membership| membership.group == *group && membership.epoch == *epoch)
                {
                    match order {
                        Order::Leave(..) => {
                            actor.entry.membership = None;
                            actor.entry.models.clear();
                        }
                        _ => actor.entry.membership.as_mut().unwrap().phase = Phase::Ready,
                    }
                    actor.ready_at = None;
                    actor.loading = None;
                }
                true
            }
            // The load is under way.
            Order::Stage(name) if actor.staging.as_ref().is_some_and(|load| load.model == *name) => true,
            Order::Stage(name) => {
                actor.staging = Some(Load { model: name.clone(), remaining: seconds(find(name).load_time) });
                self.loads += usize::from(self.serving);
                self.load_starts.extend(self.serving.then_some(now));
                true
            }
        };
        self.write_entry(id);
        if let Order::Open(group, epoch) = order
            && accepted
        {
            self.check_open(id, group, *epoch);
            let changes = self.actors[id].members.iter().map(|member| self.actors[member].membership_changes);
            let changes_at_open = changes.collect();
            self.actors.get_mut(id).unwrap().changes_at_open = changes_at_open;
        }
        accepted
    }

    fn measure_service(&mut self) {
        let seconds = TICK.0 as f64 / 1000.0;
        self.runner_seconds += self.actors.values().filter(|actor| actor.alive).count() as f64 * seconds;
        for head in self.list_heads() {
            if self.is_complete(&head) {
                let actor = &self.actors[&head];
                let name = actor.model.clone().unwrap();
                *self.served_seconds.entry(name).or_default() += actor.members.len() as f64 * seconds;
            }
        }
    }

    /// Resets the counts of served time and loads.
    pub fn reset_counts(&mut self) {
        self.served_seconds.clear();
        self.runner_seconds = 0.0;
        self.loads = 0;
    }

    /// Returns the ratio of the time of all runners that members of open groups of a model served.
    pub fn served_ratio(&self, name: &str) -> f64 {
        let name: id::Model = name.parse().unwrap();
        self.served_seconds.get(&name).copied().unwrap_or(0.0) / self.runner_seconds
    }

    /// Returns the number of complete open groups of a model.
    pub fn count_open(&self, name: &str) -> usize {
        let heads = self.list_heads();
        let serves = |head: &&id::Runner| self.actors[*head].model.as_ref().unwrap().as_str() == name;
        heads.iter().filter(serves).filter(|head| self.is_complete(head)).count()
    }

    /// Runs the fleet for `span`. Every `pause` the next hall loses `count` runners; from the fifth
    /// loss on, as many empty runners are added to random domains each time: they replace runners that
    /// were lost about eleven seconds before.
    pub fn lose_in_turn(&mut self, halls: usize, count: usize, pause: Millis, span: Millis) {
        let domains =
            self.actors.values().filter_map(|actor| actor.entry.domain.clone()).collect::<HashSet<_>>();
        let domains = domains.len();
        let turns = span.0 / pause.0;
        for _ in 0..turns {
            let turn = self.turns;
            self.turns += 1;
            self.lose(turn as usize % halls, count);
            if turn >= 4 {
                for _ in 0..count {
                    let domain = self.rng.random_range(0..domains);
                    self.add_runner(domain);
                }
            }
            self.run(pause);
        }
    }
}
