//! A fleet on a set clock, to which requests come that end the runners which run them.
//!
//! Nodes tell their collector what they have in flight, ask it for a group for each request,
//! and collectors tell each other, as often as the program does; the store tells all nodes
//! what the collectors write. Runners that end are back seconds later.

#![allow(dead_code, reason = "tests and the bench use a part of this module each")]

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

/// How nodes treat a request under which runners have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// As any other.
    None,
    /// It is refused after three ends, whatever else was there, and runs freely until then.
    Count,
    /// The same, but ends that another request explains do not count.
    Explained,
    /// As the program does: the same, and suspected ones run one at a time and apart.
    Trial,
}

impl Way {
    pub const ALL: [Way; 4] = [Way::None, Way::Count, Way::Explained, Way::Trial];
}

/// What is wrong meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// The store is away.
    StoreAway,
    /// The first hall reaches no other one, but the store.
    HallCut,
    /// The collector of the first hall ends once two runners have ended.
    CollectorLost,
    /// The same, but it is only suspended, and knows then what it knew.
    CollectorSuspended,
    /// A fifth of the runners end by themselves in the first second, one after the other.
    Crashes,
}

impl Trouble {
    pub const ALL: [Trouble; 6] = [
        Trouble::None,
        Trouble::StoreAway,
        Trouble::HallCut,
        Trouble::CollectorLost,
        Trouble::CollectorSuspended,
        Trouble::Crashes,
    ];
}

/// A fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: usize,
    pub halls: usize,
    pub groups: usize,
    /// Slots of a group.
    pub slots: usize,
}

/// Fleets of the sizes of today and of what is to come.
pub const SIZES: [Size; 3] = [
    Size { nodes: 12, halls: 3, groups: 12, slots: 16 },
    Size { nodes: 90, halls: 4, groups: 60, slots: 15 },
    Size { nodes: 300, halls: 5, groups: 150, slots: 14 },
];

/// A day.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub size: Size,
    /// Different deadly requests.
    pub deadly: usize,
    /// How often each of them comes in a second.
    pub rate: f64,
    pub way: Way,
    pub trouble: Trouble,
    pub seed: u64,
}

/// What was seen of one deadly request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// When runners ended under it.
    pub ends: Vec<Millis>,
    /// When it was sent to runners.
    pub runs: Vec<Millis>,
    /// When each node knew.
    pub known: BTreeMap<usize, Millis>,
}

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub deadly: Vec<Seen>,
    /// Usual requests, and what became of them.
    pub usual: usize,
    pub served: usize,
    /// Refused for good although they end nothing.
    pub wronged: usize,
    /// Told to come back, for a run of the same was undecided.
    pub held: usize,
    /// Exchanges, and what the rows add to them in bytes.
    pub calls: usize,
    pub bytes: usize,
}

/// Deadly requests come within this, after the first second.
pub const COMES: Millis = Millis(10_000);

/// What is looked at, over days of several seeds.
#[derive(Debug, Default)]
pub struct Sum {
    /// Runners that ended under one deadly request: on average, and the most.
    pub ends: f64,
    pub ends_most: usize,
    /// The most runs later than the third end and the time in which all are to know.
    pub late_most: usize,
    /// The longest that a node needed to know after the third end.
    pub known_most: Millis,
    /// Nodes that did not know in the end.
    pub unknowing: usize,
    /// The part of the usual requests that is served. Those that come last have no time.
    pub served: f64,
    pub wronged: usize,
    pub held: usize,
    /// Bytes that rows add to what a node exchanges in a second.
    pub bytes: f64,
}

impl Sum {
    fn add(&mut self, day: &Day, outcome: &Outcome, days: f64) {
        for seen in &outcome.deadly {
            self.ends += seen.ends.len() as f64 / day.deadly as f64 / days;
            self.ends_most = self.ends_most.max(seen.ends.len());
            let Some(third) = seen.ends.get(2).copied() else { continue };
            let late = seen.runs.iter().filter(|run| **run > third + CONTACT).count();
            self.late_most = self.late_most.max(late);
            let known = seen.known.values().map(|known| known.since(third)).max();
            self.known_most = self.known_most.max(known.unwrap_or_default());
            self.unknowing += day.size.nodes - seen.known.len();
        }
        self.served += outcome.served as f64 / outcome.usual as f64 / days;
        self.wronged += outcome.wronged;
        self.held += outcome.held;
        self.bytes += outcome.bytes as f64 / day.size.nodes as f64 / (END.0 as f64 / 1000.0) / days;
    }
}

/// Plays a day with so many seeds.
pub fn play_seeds(seeds: u64, day: &impl Fn(u64) -> Day) -> Sum {
    let mut sum = Sum::default();
    for seed in 0..seeds {
        let day = day(seed);
        sum.add(&day, &play(day), seeds as f64);
    }
    sum
}

/// The end of a day.
const END: Millis = Millis(16_000);

/// What is known is to be known everywhere within this.
pub const CONTACT: Millis = Millis(3000);

/// A node reports this often, and a collector to others.
const REPORT: (u64, u64) = (50, 500);
const HALLS: Millis = Millis(150);

/// Nodes look this often what nothing more is heard of.
const LOOK: Millis = Millis(100);

/// How long a message takes between nodes, and an examination of a runner.
const MESSAGE: Millis = Millis(3);

/// How long the store's entries take to nodes: its watch, and their gathering.
const STORE: (u64, u64) = (150, 900);

/// How long a usual request runs, and a deadly one until its runner ends.
const USUAL: (u64, u64) = (500, 2000);
const DYING: (u64, u64) = (60, 350);

/// How long the group of a runner that ended is away.
const AWAY: (u64, u64) = (2000, 5000);

/// How long a suspended node sleeps.
const ASLEEP: Millis = Millis(3000);

/// Runners one request is sent to, and how often its caller comes again.
const TRIES: u32 = 2;
const RETRIES: u32 = 1;

#[derive(Clone, Copy, Debug)]
struct Request {
    /// Which one it is; below `Day::deadly` it ends runners.
    number: usize,
    node: usize,
    tries: u32,
    retries: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(Request),
    Done { group: usize, life: u64, request: Request },
    Ends { group: usize, life: u64 },
    Back { group: usize },
    Report { node: usize },
    Halls { node: usize },
    Settle,
    Stored { fingerprint: Fingerprint },
    Wakes { node: usize },
}

struct Node {
    name: id::Node,
    hall: usize,
    table: Table,
    book: Peers,
    trials: Trials,
    lost: bool,
}

struct Group {
    life: u64,
    open: bool,
    running: Vec<Request>,
}

pub struct Fleet {
    day: Day,
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
    fn new(day: Day) -> Fleet {
        let node = |number: usize| Node {
            name: format!("n-{number}").parse().unwrap(),
            hall: number % day.size.halls,
            table: Table::default(),
            book: Peers::default(),
            trials: Trials::default(),
            lost: false,
        };
        let group = |_| Group { life: 0, open: true, running: Vec::new() };
        Fleet {
            day,
            now: Millis(0),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes: (0..day.size.nodes).map(node).collect(),
            groups: (0..day.size.groups).map(group).collect(),
            store: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(day.seed),
            outcome: Outcome { deadly: vec![Seen::default(); day.deadly], ..Outcome::default() },
        }
    }

    fn plan(&mut self, after: Millis, event: Event) {
        self.events.push(event);
        let number = self.events.len() - 1;
        self.queue.push(Reverse((self.now + after, number as u64, number)));
    }

    fn between(&mut self, range: (u64, u64)) -> Millis {
        Millis(self.rng.random_range(range.0..=range.1))
    }

    /// Plans what comes from outside.
    fn fill(&mut self) {
        for node in 0..self.day.size.nodes {
            let first = self.between((0, REPORT.1));
            self.plan(first, Event::Report { node });
        }
        self.plan(LOOK, Event::Settle);
        for node in 0..self.day.size.halls {
            let first = self.between((0, HALLS.0));
            self.plan(first, Event::Halls { node });
        }
        // Six tenths of the slots are in use.
        let stay = (USUAL.0 + USUAL.1) as f64 / 2000.0;
        let rate = 0.6 * (self.day.size.groups * self.day.size.slots) as f64 / stay;
        let usual = (rate * END.0 as f64 / 1000.0) as usize;
        for number in 0..usual {
            let at = self.between((0, END.0));
            self.plan_request(at, self.day.deadly + number);
        }
        self.outcome.usual = usual;
        for number in 0..self.day.deadly {
            for _ in 0..(self.day.rate * COMES.0 as f64 / 1000.0) as usize {
                let at = Millis(1000) + self.between((0, COMES.0));
                self.plan_request(at, number);
            }
        }
        if self.day.trouble == Trouble::Crashes {
            for group in 0..self.day.size.groups / 5 {
                let at = Millis(1000) + self.between((0, 1000));
                self.plan(at, Event::Ends { group, life: 0 });
            }
        }
    }

    fn plan_request(&mut self, at: Millis, number: usize) {
        let node = self.rng.random_range(0..self.day.size.nodes);
        self.plan(at, Event::Arrive(Request { number, node, tries: 0, retries: RETRIES }));
    }

    fn is_deadly(&self, number: usize) -> bool {
        number < self.day.deadly
    }

    /// The collector of a hall: its first node that runs.
    fn collector(&self, hall: usize) -> usize {
        (0..self.day.size.nodes)
            .find(|node| self.nodes[*node].hall == hall && !self.nodes[*node].lost)
            .unwrap()
    }

    fn is_cut(&self, hall: usize, other: usize) -> bool {
        self.day.trouble == Trouble::HallCut && hall != other && (hall == 0 || other == 0)
    }

    /// What a node holds a request for.
    fn level(&self, node: usize, number: usize) -> Level {
        let (table, fingerprint) = (&self.nodes[node].table, fingerprint(number));
        let counted = table.get(&fingerprint).map_or(0, Row::count_crashes);
        match self.day.way {
            Way::None => Level::Clear,
            Way::Count if counted == 0 => Level::Clear,
            Way::Count if counted < MIN_CRASHES => Level::Suspected(counted),
            Way::Count => Level::Deadly(counted),
            Way::Explained | Way::Trial => table.level(&fingerprint),
        }
    }

    /// Takes rows in at a node.
    fn take(&mut self, node: usize, rows: &[Row], origin: Origin) {
        for row in rows {
            let (now, node_at) = (self.now, node);
            let known = &mut self.nodes[node_at];
            known.trials.finish(&row.fingerprint);
            known.table.merge(row, origin, now);
        }
        self.note_known(node);
    }

    /// A node exchanges with another one what both know.
    fn exchange(&mut self, from: usize, to: usize, scope: Scope) {
        let name = self.nodes[to].name.clone();
        let (push, upto) = self.nodes[from].book.build_push(&self.nodes[from].table, &name);
        let origin = if scope == Scope::Node { Origin::Hall } else { Origin::Elsewhere };
        if !push.rows.is_empty() {
            self.take(to, &push.rows, origin);
        }
        let pull = build_pull(&self.nodes[to].table, to as u64, &push, scope);
        self.nodes[from].book.record_pull(&name, upto, pull.mark);
        if !pull.rows.is_empty() {
            self.take(from, &pull.rows, Origin::Elsewhere);
        }
        self.outcome.calls += 1;
        self.outcome.bytes += size(&push.rows) + size(&pull.rows);
    }

    /// A node asks its collector; returns the group that takes a request.
    fn choose(&mut self, node: usize, number: usize) -> Result<usize, Ruling> {
        let collector = self.collector(self.nodes[node].hall);
        if collector != node {
            self.exchange(node, collector, Scope::Node);
        }
        let level = self.level(collector, number);
        let has_room = |group: &Group| group.open && group.running.len() < self.day.size.slots;
        let open: Vec<usize> =
            (0..self.groups.len()).filter(|group| has_room(&self.groups[*group])).collect();
        let (now, print) = (self.now, fingerprint(number));
        let takers = Capacity {
            available: self.groups.iter().filter(|group| group.open).count(),
            usual: self.groups.len(),
        };
        let trials = &self.nodes[collector].trials;
        let ruling = match (self.day.way, level) {
            (Way::Trial, level) => trials.decide(&print, level, takers, now),
            (_, Level::Deadly(_)) => Ruling::Reject,
            _ => Ruling::Run,
        };
        let apart = match ruling {
            Ruling::Run => Vec::new(),
            Ruling::Trial => trials.list_trial_groups(&print, now),
            Ruling::Quarantine | Ruling::Reject => return Err(ruling),
        };
        let usable: Vec<usize> =
            open.iter().copied().filter(|group| !apart.contains(&Epoch(*group as u64))).collect();
        let usable = if usable.is_empty() { open } else { usable };
        let least = usable.iter().map(|group| self.groups[*group].running.len()).min();
        let best: Vec<usize> =
            usable.into_iter().filter(|group| Some(self.groups[*group].running.len()) == least).collect();
        let Some(group) = best.choose(&mut self.rng).copied() else { return Err(Ruling::Quarantine) };
        if ruling == Ruling::Trial {
            self.nodes[collector].trials.start(print, Some(Epoch(group as u64)), now);
        }
        Ok(group)
    }

    fn arrive(&mut self, mut request: Request) {
        if self.nodes[request.node].lost {
            request.node = self.collector(self.nodes[request.node].hall);
        }
        let refused = match self.level(request.node, request.number) {
            Level::Deadly(_) => Err(Ruling::Reject),
            Level::Pending(_) if self.day.way == Way::Trial => Err(Ruling::Quarantine),
            Level::Clear | Level::Suspected(_) | Level::Pending(_) => {
                self.choose(request.node, request.number)
            }
        };
        match refused {
            Ok(group) => self.begin(request, group),
            Err(Ruling::Reject) if !self.is_deadly(request.number) => self.outcome.wronged += 1,
            Err(Ruling::Quarantine) => {
                self.outcome.held += usize::from(!self.is_deadly(request.number));
                self.come_again(request, Millis(600));
            }
            Err(_) => {}
        }
    }

    fn begin(&mut self, mut request: Request, group: usize) {
        request.tries += 1;
        let life = self.groups[group].life;
        self.groups[group].running.push(request);
        if self.is_deadly(request.number) {
            let now = self.now;
            self.outcome.deadly[request.number].runs.push(now);
            let after = self.between(DYING);
            self.plan(after, Event::Ends { group, life });
        } else {
            let after = self.between(USUAL);
            self.plan(after, Event::Done { group, life, request });
        }
    }

    fn come_again(&mut self, request: Request, after: Millis) {
        if request.retries > 0 {
            let node = self.rng.random_range(0..self.day.size.nodes);
            let again = Request { node, tries: 0, retries: request.retries - 1, ..request };
            self.plan(after, Event::Arrive(again));
        }
    }

    fn done(&mut self, group: usize, life: u64, request: Request) {
        if self.groups[group].life != life {
            return;
        }
        let running = &mut self.groups[group].running;
        running.retain(|other| other.number != request.number || other.node != request.node);
        self.outcome.served += 1;
        let print = fingerprint(request.number);
        let (now, node) = (self.now, &mut self.nodes[request.node]);
        node.table.record_completed(&print, now);
        node.trials.finish(&print);
    }

    fn end(&mut self, group: usize, life: u64) {
        if self.groups[group].life != life || !self.groups[group].open {
            return;
        }
        let away = self.between(AWAY);
        let ended = std::mem::take(&mut self.groups[group].running);
        self.groups[group].open = false;
        self.groups[group].life += 1;
        self.plan(away, Event::Back { group });
        let runner: id::Runner = format!("r-{group}").parse().unwrap();
        let crash = Crash { runner, life: Some(Incarnation(life)), nth: 0, release: None };
        let killers: BTreeSet<usize> =
            ended.iter().map(|request| request.number).filter(|number| self.is_deadly(*number)).collect();
        for number in killers {
            let now = self.now;
            self.outcome.deadly[number].ends.push(now);
        }
        for request in ended {
            let row = Row {
                fingerprint: fingerprint(request.number),
                account: None,
                route: "write".to_owned(),
                crashes: [crash.clone()].into(),
                void: BTreeSet::new(),
                cleared: false,
            };
            self.take(request.node, &[row], Origin::Hall);
            match request.tries < TRIES {
                true => self.plan(MESSAGE, Event::Arrive(request)),
                false => self.come_again(request, Millis(50)),
            }
        }
        let ends = self.outcome.deadly.iter().map(|seen| seen.ends.len()).sum::<usize>();
        if self.day.trouble == Trouble::CollectorLost && ends == 2 {
            let collector = self.collector(0);
            self.nodes[collector].lost = true;
        }
        if self.day.trouble == Trouble::CollectorSuspended && ends == 2 {
            let collector = self.collector(0);
            self.nodes[collector].lost = true;
            self.plan(ASLEEP, Event::Wakes { node: collector });
        }
    }

    /// A collector tells the others, and the store what it lacks.
    fn tell_halls(&mut self, node: usize) {
        let hall = self.nodes[node].hall;
        let collector = self.collector(hall);
        for other in (0..self.day.size.halls).filter(|other| *other != hall) {
            if !self.is_cut(hall, other) {
                self.exchange(collector, self.collector(other), Scope::Hall);
            }
        }
        if self.day.trouble != Trouble::StoreAway {
            let turn = Millis(300 * hall as u64);
            let table = &self.nodes[collector].table;
            let due = table.list_unstored().into_iter().filter(|(_, since)| self.now >= *since + turn);
            let rows: Vec<Row> = due.map(|(row, _)| row.clone()).collect();
            for row in rows {
                self.nodes[collector].table.record_stored(&row);
                self.store.insert(row.fingerprint, row.clone());
                let after = self.between(STORE);
                self.plan(after, Event::Stored { fingerprint: row.fingerprint });
            }
        }
        self.plan(HALLS, Event::Halls { node });
    }

    fn settle(&mut self) {
        for node in 0..self.day.size.nodes {
            let now = self.now;
            if !self.nodes[node].table.settle(now).is_empty() {
                self.note_known(node);
            }
        }
        self.plan(LOOK, Event::Settle);
    }

    fn note_known(&mut self, node: usize) {
        for number in 0..self.day.deadly {
            if matches!(self.level(node, number), Level::Deadly(_)) {
                let now = self.now;
                self.outcome.deadly[number].known.entry(node).or_insert(now);
            }
        }
    }

    fn read_store(&mut self, fingerprint: Fingerprint) {
        let row = self.store[&fingerprint].clone();
        for node in 0..self.day.size.nodes {
            self.take(node, std::slice::from_ref(&row), Origin::Elsewhere);
            self.nodes[node].table.record_stored(&row);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Done { group, life, request } => self.done(group, life, request),
            Event::Ends { group, life } => self.end(group, life),
            Event::Back { group } => self.groups[group].open = true,
            Event::Halls { node } => self.tell_halls(node),
            Event::Stored { fingerprint } => self.read_store(fingerprint),
            Event::Settle => self.settle(),
            Event::Wakes { node } => self.nodes[node].lost = false,
            Event::Report { node } => {
                let collector = self.collector(self.nodes[node].hall);
                if collector != node && !self.nodes[node].lost {
                    self.exchange(node, collector, Scope::Node);
                }
                let after = self.between(REPORT);
                self.plan(after, Event::Report { node });
            }
        }
    }
}

/// Plays a day.
pub fn play(day: Day) -> Outcome {
    let mut fleet = Fleet::new(day);
    fleet.fill();
    while let Some(Reverse((at, _, number))) = fleet.queue.pop() {
        if at > END {
            break;
        }
        fleet.now = at;
        fleet.step(fleet.events[number]);
    }
    fleet.outcome
}
