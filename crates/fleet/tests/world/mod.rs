//! A fleet of runners on a set clock that takes as long as real ones: loads share the
//! weight store, entries and answers come late, losses are noticed by questions.

#![allow(dead_code, reason = "tests and benches use a part each")]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::catalog::{Engine, Model, Service, Speed};
use cottoncrank_fleet::decide::{Step, step};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::plan::Plans;
use cottoncrank_fleet::probe::{Answer, Observation, Probes};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Epoch, Incarnation, Membership, Phase, Runner};
use cottoncrank_fleet::settings::Ceiling;
use cottoncrank_fleet::snapshot::Snapshot;
use cottoncrank_fleet::stall::Stalls;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

/// The time between two looks at the world.
pub const TICK: Millis = Millis(50);

const CEILING: Ceiling = Ceiling { window: Millis(5000), overshoot: 1.1 };
const STALL: Millis = Millis(6000);

/// The decider looks this often, asks this often, and hears of changes so much later.
const LOOK: Millis = Millis(250);
const ROUND: Millis = Millis(700);
const LAG: Millis = Millis(100);

/// What opening a head and joining with the model in place take.
const FORM: Millis = Millis(300);
const REJOIN: Millis = Millis(200);

/// How many seconds of load from the weight store are left.
struct Load {
    model: id::Model,
    left: f64,
}

/// A runner as it is, not as it is known.
struct Actor {
    entry: Runner,
    alive: bool,
    /// A model on its way to the host.
    staging: Option<Load>,
    /// A model on its way from the weight store for a join.
    loading: Option<Load>,
    /// When a join or the opening of a head that needs no load is done.
    ready: Option<Millis>,
    members: Vec<id::Runner>,
    /// The model of the group it is in.
    model: Option<id::Model>,
    /// The model of the last group in which it was ready.
    last: Option<id::Model>,
    /// The highest epoch it has seen.
    epoch: Epoch,
    /// Since when its group stands still.
    still: Option<Millis>,
    /// Since when it is gone.
    gone: Option<Millis>,
    /// How often it has joined a group or lost its place.
    places: u64,
    /// As the head of a group: those of all members when it opened. A group stands still
    /// until it breaks once a member has joined anew, too.
    opened: Vec<u64>,
    /// Groups in which it was ready, in any of its lives.
    once_ready: HashSet<(id::Group, Epoch)>,
}

/// A fleet and its decider.
pub struct World {
    pub service: Service,
    pub now: Millis,
    pub serving: bool,
    pub plans: Plans,
    pub memory: Memory,
    /// What the other nodes have read of groups that stand still.
    halts: Stalls,
    roster: Roster,
    probes: Probes,
    actors: BTreeMap<id::Runner, Actor>,
    /// Entries on their way to the decider.
    news: Vec<(Millis, id::Runner, Option<Runner>)>,
    looked: Millis,
    asked: Millis,
    pub deciding: bool,
    rng: SmallRng,
    numbered: usize,
    per_hall: usize,
    turns: u64,
    /// Seconds that members of open groups served, by model, and those of all runners.
    pub served: HashMap<id::Model, f64>,
    pub alive: f64,
    /// Loads begun since callers came.
    pub loads: usize,
    /// The part of all orders that are carried out seconds later, without an answer.
    pub late: f64,
    /// How many slots callers would use, by model.
    pub wanted: HashMap<id::Model, u32>,
    /// Orders on their way.
    slow: Vec<(Millis, id::Runner, Order)>,
    /// Runners that start again under their id, and when.
    ended: Vec<(Millis, id::Runner)>,
    /// How long after its start a runner writes its entry, at the most.
    pub unwritten: Millis,
}

pub fn model(name: &str, size: usize, share: f64, load: u64, warm: u64) -> Model {
    let (load, warm) = (Millis(load), Millis(warm));
    Model { name: name.parse().unwrap(), size, share, load_time: load, warm_load_time: warm, pace: 1.0 }
}

pub fn engine(models: Vec<Model>, loads_per_second: f64, loads_at_once: usize) -> Service {
    let engine = Engine { models, loads_per_second, loads_at_once, speed: Speed::default() };
    Service { id: "llm".parse().unwrap(), engine: Some(engine) }
}

impl World {
    /// A fleet that starts: `domains` of `size` runners, in halls of `per_hall` domains.
    pub fn new(service: Service, domains: usize, size: usize, per_hall: usize, seed: u64) -> World {
        let mut world = World {
            service,
            now: Millis(1_000_000),
            serving: false,
            plans: Plans::new(),
            memory: Memory::default(),
            halts: Stalls::default(),
            roster: Roster::default(),
            probes: Probes::default(),
            actors: BTreeMap::new(),
            news: Vec::new(),
            looked: Millis(0),
            asked: Millis(0),
            deciding: true,
            rng: SmallRng::seed_from_u64(seed),
            per_hall,
            turns: 0,
            numbered: 0,
            served: HashMap::new(),
            alive: 0.0,
            loads: 0,
            late: 0.0,
            wanted: HashMap::new(),
            slow: Vec::new(),
            ended: Vec::new(),
            unwritten: Millis(0),
        };
        for domain in 0..domains {
            for _ in 0..size {
                world.add(domain);
            }
        }
        world
    }

    /// An empty runner comes.
    pub fn add(&mut self, domain: usize) {
        self.numbered += 1;
        let entry = Runner {
            id: format!("r{}", self.numbered).parse().unwrap(),
            service: self.service.id.clone(),
            address: "127.0.0.1:9".parse().unwrap(),
            hall: format!("hall-{}", domain / self.per_hall).parse().unwrap(),
            domain: Some(format!("d{domain}").parse().unwrap()),
            slots: 14,
            draining: false,
            models: Vec::new(),
            release: None,
            orders: None,
            served: None,
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
            ready: None,
            members: Vec::new(),
            model: None,
            last: None,
            epoch: Epoch(0),
            still: None,
            gone: None,
            places: 0,
            opened: Vec::new(),
            once_ready: HashSet::new(),
        };
        self.actors.insert(id.clone(), actor);
        self.tell(&id);
    }

    /// `count` runners of a hall are gone for good and silent: members of groups first.
    pub fn lose(&mut self, hall: usize, count: usize) {
        let hall: id::Hall = format!("hall-{hall}").parse().unwrap();
        for _ in 0..count {
            let here = self.actors.iter().filter(|(_, actor)| actor.alive && actor.entry.hall == hall);
            let member = here.filter(|(_, actor)| actor.entry.membership.is_some()).map(|(id, _)| id.clone());
            let Some(id) = member.choose(&mut self.rng) else { return };
            self.kill(&id);
        }
    }

    /// All runners of a domain are gone for good.
    pub fn lose_domain(&mut self, domain: &str) {
        let domain: id::Domain = domain.parse().unwrap();
        let here = self.actors.iter().filter(|(_, actor)| actor.entry.domain.as_ref() == Some(&domain));
        let ids: Vec<id::Runner> = here.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.kill(&id);
        }
    }

    fn kill(&mut self, id: &id::Runner) {
        let actor = self.actors.get_mut(id).unwrap();
        actor.alive = false;
        actor.gone = Some(self.now);
        self.news.push((self.now + Millis(3600), id.clone(), None));
    }

    /// The process of any runner ends, of a member of a group if `member`, and starts again
    /// under its id after `down`. It holds and knows nothing but what its host keeps.
    pub fn restart_one(&mut self, member: bool, down: Millis) {
        let living = self.actors.iter().filter(|(_, actor)| actor.alive);
        let fits = living.filter(|(_, actor)| !member || actor.entry.membership.is_some());
        let Some(id) = fits.map(|(id, _)| id.clone()).choose(&mut self.rng) else { return };
        let now = self.now;
        let actor = self.actors.get_mut(&id).unwrap();
        actor.alive = false;
        actor.entry.restart(Incarnation(now.0 + down.0));
        (actor.staging, actor.loading, actor.ready) = (None, None, None);
        (actor.model, actor.last, actor.still) = (None, None, None);
        actor.members.clear();
        actor.epoch = Epoch(0);
        actor.places += 1;
        self.ended.push((now + down, id));
    }

    fn start_again(&mut self) {
        let (due, later) = std::mem::take(&mut self.ended).into_iter().partition(|(at, _)| *at <= self.now);
        self.ended = later;
        let due: Vec<(Millis, id::Runner)> = due;
        for (_, id) in due {
            let actor = self.actors.get_mut(&id).unwrap();
            actor.alive = true;
            let entry = actor.entry.clone();
            let wait = Millis(self.rng.random_range(0..=self.unwritten.0));
            self.news.push((self.now + LAG + wait, id, Some(entry)));
        }
    }

    /// The decider is lost, and another one knows nothing but the plans and the entries.
    pub fn replace_decider(&mut self) {
        self.memory = Memory::resume(&self.halts);
        self.probes = Probes::default();
    }

    fn tell(&mut self, id: &id::Runner) {
        let entry = self.actors[id].entry.clone();
        self.news.push((self.now + LAG, id.clone(), Some(entry)));
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.start_again();
        self.obey_late();
        self.advance_loads();
        self.advance_groups();
        self.deliver();
        if self.deciding && self.now >= self.asked + ROUND {
            self.asked = self.now;
            self.ask();
        }
        if self.deciding && self.now >= self.looked + LOOK {
            self.looked = self.now;
            self.decide();
        }
        self.account();
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
                let Some(held) = load else { continue };
                held.left -= pace;
                if held.left <= 0.0 {
                    actor.entry.staged = vec![held.model.clone()];
                    *load = None;
                    changed.push(id.clone());
                }
            }
        }
        for id in changed {
            self.tell(&id);
        }
    }

    fn advance_groups(&mut self) {
        let mut changed = Vec::new();
        for (id, actor) in self.actors.iter_mut().filter(|(_, actor)| actor.alive) {
            let Some(place) = &mut actor.entry.membership else { continue };
            let waits = actor.loading.is_some()
                || (actor.staging.is_some() && actor.last != actor.model && place.phase == Phase::Joining);
            if waits || actor.ready.is_none_or(|ready| self.now < ready) {
                continue;
            }
            actor.ready = None;
            match place.phase {
                Phase::Joining => {
                    place.phase = Phase::Ready;
                    actor.once_ready.insert((place.group.clone(), place.epoch));
                    actor.entry.models = actor.model.clone().into_iter().collect();
                    actor.last = actor.model.clone();
                }
                Phase::Ready => place.phase = Phase::Open,
                Phase::Open | Phase::Closing | Phase::Broken => {}
            }
            changed.push(id.clone());
        }
        changed.extend(self.break_groups());
        for id in changed {
            self.tell(&id);
        }
    }

    /// Heads whose group lacks a member for the time of a stall.
    fn break_groups(&mut self) -> Vec<id::Runner> {
        let heads: Vec<id::Runner> = self.list_heads();
        let whole: HashSet<id::Runner> = heads.iter().filter(|head| self.is_whole(head)).cloned().collect();
        let mut broken = Vec::new();
        for head in heads {
            let now = self.now;
            let actor = self.actors.get_mut(&head).unwrap();
            if whole.contains(&head) {
                actor.still = None;
                continue;
            }
            let since = *actor.still.get_or_insert(now);
            if now >= since + STALL {
                actor.entry.membership.as_mut().unwrap().phase = Phase::Broken;
                broken.push(head);
            }
        }
        broken
    }

    fn list_heads(&self) -> Vec<id::Runner> {
        let open = |actor: &Actor| {
            let place = actor.entry.membership.as_ref();
            actor.alive && place.is_some_and(|place| matches!(place.phase, Phase::Open | Phase::Closing))
        };
        self.actors.iter().filter(|(_, actor)| open(actor)).map(|(id, _)| id.clone()).collect()
    }

    fn is_whole(&self, head: &id::Runner) -> bool {
        let actor = &self.actors[head];
        let place = actor.entry.membership.as_ref().unwrap();
        actor.members.iter().enumerate().all(|(rank, member)| {
            let other = &self.actors[member];
            let there = other.entry.membership.as_ref();
            let same = actor.opened.get(rank) == Some(&other.places);
            same && other.alive
                && there.is_some_and(|there| there.group == place.group && there.epoch == place.epoch)
        })
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.news).into_iter().partition(|(at, ..)| *at <= self.now);
        self.news = later;
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

    fn ask(&mut self) {
        let members = self.plans.values().flat_map(|plan| &plan.groups).flat_map(|group| &group.members);
        let round: Vec<Answer> = members
            .map(|id| Answer {
                runner: id.clone(),
                hall: self.actors[id].entry.hall.clone(),
                reported: if self.actors[id].alive { Observation::Pace(1.0) } else { Observation::Silent },
                incarnation: self.actors[id].entry.incarnation.filter(|_| self.actors[id].alive),
                asked: if self.actors[id].alive { 1 } else { 2 },
            })
            .collect();
        for answer in &round {
            if let Some(life) = answer.incarnation {
                self.roster.record_incarnation(&answer.runner, life);
            }
        }
        self.probes.record_round(&round);
    }

    fn decide(&mut self) {
        let step = self.look();
        for (domain, document, _) in step.writes {
            self.plans.insert(domain, document);
        }
        self.halts.update(&self.plans, self.now);
        for (id, order) in step.orders {
            if self.rng.random::<f64>() < self.late {
                let at = self.now + Millis(self.rng.random_range(2000..12_000));
                self.slow.push((at, id, order));
            } else if self.actors[&id].alive {
                let life = self.roster.get_last_known(&id).and_then(|runner| runner.incarnation);
                let taken = self.obey(&id, &order);
                match taken {
                    true => self.memory.record_acknowledged(&id, life, &order, self.now),
                    false => self.memory.record_refused(&id, &order),
                }
            }
        }
    }

    /// What is in flight at each group where callers keep so many slots of each model in
    /// use, as far as there are any. None if nobody says what callers want.
    fn spread_requests(&self) -> Option<Counts> {
        let mut counts = Counts::new();
        for (name, wanted) in &self.wanted {
            let heads = self.roster.list_heads(&self.service.id, name, &self.plans);
            let epochs = heads.iter().filter_map(|head| Some(head.membership.as_ref()?.epoch));
            let each = wanted / heads.len().max(1) as u32;
            counts.extend(epochs.map(|epoch| (epoch, each)));
        }
        (!self.wanted.is_empty()).then_some(counts)
    }

    /// What the decider would do now.
    pub fn look(&mut self) -> Step {
        let in_flight = self.spread_requests();
        let scene = Snapshot {
            service: &self.service,
            roster: &self.roster,
            plans: &self.plans,
            closed: &BTreeSet::new(),
            probes: &self.probes,
            serving: self.serving,
            ceiling: &CEILING,
            stall: STALL,
            in_flight: in_flight.as_ref(),
            rejecting: &BTreeSet::new(),
            now: self.now,
        };
        step(&scene, &mut self.memory)
    }

    /// Carries out orders that were long under way. Nobody learns what became of them.
    fn obey_late(&mut self) {
        let (due, later) = std::mem::take(&mut self.slow).into_iter().partition(|(at, ..)| *at <= self.now);
        self.slow = later;
        let due: Vec<(Millis, id::Runner, Order)> = due;
        for (_, id, order) in due {
            if self.actors[&id].alive {
                self.obey(&id, &order);
            }
        }
    }

    /// A runner must not go to another group while the head of its own may run requests:
    /// it is open, or stands still and has not broken yet.
    fn check_join(&self, id: &id::Runner, group: &id::Group) {
        let actor = &self.actors[id];
        let Some(place) = actor.entry.membership.as_ref().filter(|place| place.group != *group) else {
            return;
        };
        let Some(head) = actor.members.first().map(|head| &self.actors[head]) else { return };
        let there = head.entry.membership.as_ref();
        let led = there.is_some_and(|there| {
            there.group == place.group
                && there.epoch == place.epoch
                && matches!(there.phase, Phase::Open | Phase::Closing)
        });
        assert!(!led || !head.alive, "{id} leaves {place:?} for {group} while its head is open");
        let gone = head.gone.filter(|_| led);
        assert!(
            gone.is_none_or(|gone| self.now >= gone + STALL),
            "{id} leaves {place:?} for {group} too early"
        );
    }

    /// A head opens only with all members ready, under the same name and epoch.
    fn check_open(&self, id: &id::Runner, group: &id::Group, epoch: Epoch) {
        let actor = &self.actors[id];
        let model = actor.model.as_ref().unwrap();
        let size = self.engine().models.iter().find(|known| known.name == *model).unwrap().size;
        assert_eq!(actor.members.len(), size, "{group} opens short");
        for member in &actor.members {
            let there = &self.actors[member];
            let ready = there.entry.membership.as_ref().is_some_and(|there| {
                there.group == *group && there.epoch == epoch && there.phase != Phase::Joining
            });
            let once = there.once_ready.contains(&(group.clone(), epoch));
            assert!(ready || once || !there.alive, "{group} opens while {member} was never ready");
        }
    }

    /// Carries an order out. Returns false if it is refused for an older epoch.
    fn obey(&mut self, id: &id::Runner, order: &Order) -> bool {
        if let Order::Join(group, epoch, ..) = order
            && *epoch >= self.actors[id].epoch
        {
            self.check_join(id, group);
        }
        let engine = self.engine();
        let find = |name: &id::Model| engine.models.iter().find(|model| model.name == *name).unwrap().clone();
        let early = if self.serving { 1.0 } else { 0.1 };
        let seconds = |time: Millis| time.0 as f64 / 1000.0 * early;
        let now = self.now;
        let actor = self.actors.get_mut(id).unwrap();
        let taken = match order {
            Order::Join(group, epoch, name, members) => {
                let fits = *epoch >= actor.epoch;
                let place = actor.entry.membership.as_ref();
                // A repeated order already holds.
                let holds = place.is_some_and(|place| place.group == *group && place.epoch == *epoch);
                if fits && !holds {
                    actor.epoch = *epoch;
                    actor.places += 1;
                    let model = find(name);
                    let rank = members.iter().position(|member| member == id).unwrap();
                    let place =
                        Membership { group: group.clone(), epoch: *epoch, rank, phase: Phase::Joining };
                    actor.entry.membership = Some(place);
                    actor.members = members.clone();
                    actor.model = Some(name.clone());
                    actor.still = None;
                    let loaded = actor.last.as_ref() == Some(name);
                    actor.entry.models.clear();
                    let staged = actor.entry.staged.contains(name);
                    actor.ready = Some(
                        now + if loaded {
                            REJOIN
                        } else if staged {
                            model.warm_load_time
                        } else {
                            Millis(0)
                        },
                    );
                    if !loaded && !staged && actor.staging.as_ref().is_none_or(|load| load.model != *name) {
                        actor.loading = Some(Load { model: name.clone(), left: seconds(model.load_time) });
                        self.loads += usize::from(self.serving);
                    }
                }
                fits
            }
            Order::Open(group, epoch) => {
                let place = actor.entry.membership.as_ref();
                let fits = place.is_some_and(|place| {
                    place.group == *group && place.epoch == *epoch && place.phase == Phase::Ready
                });
                if fits {
                    actor.ready = Some(now + FORM);
                }
                fits
            }
            Order::Close(group, epoch) | Order::Leave(group, epoch) => {
                let place = actor.entry.membership.as_ref();
                if place.is_some_and(|place| place.group == *group && place.epoch == *epoch) {
                    match order {
                        Order::Leave(..) => {
                            actor.entry.membership = None;
                            actor.entry.models.clear();
                        }
                        _ => actor.entry.membership.as_mut().unwrap().phase = Phase::Ready,
                    }
                    actor.ready = None;
                    actor.loading = None;
                }
                true
            }
            Order::Stage(name) => {
                actor.staging = Some(Load { model: name.clone(), left: seconds(find(name).load_time) });
                self.loads += usize::from(self.serving);
                true
            }
        };
        self.tell(id);
        if let Order::Open(group, epoch) = order
            && taken
        {
            self.check_open(id, group, *epoch);
            let members = self.actors[id].members.iter().map(|member| self.actors[member].places);
            let opened = members.collect();
            self.actors.get_mut(id).unwrap().opened = opened;
        }
        taken
    }

    fn account(&mut self) {
        let seconds = TICK.0 as f64 / 1000.0;
        self.alive += self.actors.values().filter(|actor| actor.alive).count() as f64 * seconds;
        for head in self.list_heads() {
            if self.is_whole(&head) {
                let actor = &self.actors[&head];
                let name = actor.model.clone().unwrap();
                *self.served.entry(name).or_default() += actor.members.len() as f64 * seconds;
            }
        }
    }

    /// Begins to count anew.
    pub fn reset(&mut self) {
        self.served.clear();
        self.alive = 0.0;
        self.loads = 0;
    }

    /// The part of all runners' time that members of open groups of a model served.
    pub fn part(&self, name: &str) -> f64 {
        let name: id::Model = name.parse().unwrap();
        self.served.get(&name).copied().unwrap_or(0.0) / self.alive
    }

    /// Open groups of a model.
    pub fn count_open(&self, name: &str) -> usize {
        let heads = self.list_heads();
        let here = |head: &&id::Runner| self.actors[*head].model.as_ref().unwrap().as_str() == name;
        heads.iter().filter(here).filter(|head| self.is_whole(head)).count()
    }

    /// Runs a fleet through `span` in which a hall loses `count` runners every `pause`,
    /// and as many empty ones come, as the domains need them, eleven seconds later.
    pub fn lose_by_turns(&mut self, halls: usize, count: usize, pause: Millis, span: Millis) {
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
                    self.add(domain);
                }
            }
            self.run(pause);
        }
    }
}
