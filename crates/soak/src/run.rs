//! Playing a plan.

mod faults;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::runner;
use cottoncrank_platform_standin::store;
use parking_lot::Mutex;
use rustix::process::Signal;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use self::faults::shares_place;
use crate::check::{Breach, Record, Trouble, Witness, check};
use crate::deadly::Deadly;
use crate::fleet::{Fleet, HALLS, Layout, STALL_MS};
use crate::groups::{Row, Watch};
use crate::load::{Call, Caller, Hint, Kind};
use crate::outcome::Outcome;
use crate::partition::Count;
use crate::plan::{Fault, Plan};
use crate::recovery::{RECOVERY, count_service};

/// Callers for each node that keep a connection, and ones that open a new one for each request.
const CALLERS: usize = 6;
const NEW_CALLERS: usize = 1;

/// How often the fleet is looked at.
const LOOK: Millis = Millis(20);

/// How long a fleet may take until it serves, at the start and after all faults:
/// a group that stood still is broken, released and formed anew well within it.
const SERVES: Millis = Millis(20_000);

/// A node that waits for its processor runs for the rest of each turn only.
const STARVE_TURN: Duration = Duration::from_millis(500);
const STARVE_STOPPED: Duration = Duration::from_millis(450);

/// How long requests are sent on after service is to be back.
const RECOVERED: Duration = Duration::from_millis(3000);

/// How long a node that was told to stop may take beyond its grace.
const STOPPING: Duration = Duration::from_secs(6);

/// All nodes know what ends runners within this.
const KNOWN: Millis = Millis(3000);

/// So often each node is asked again then, and the pause between two: the way to a runner
/// leads over a relay here, so that its end shows only by its next life, 1.5 s later.
const AGAIN: usize = 4;
const AGAIN_PAUSE: Millis = Millis(400);

/// Copies of a request that ends runners are numbered in steps of this, so that no id comes twice.
const COPIES: usize = 10_000;

/// A copy of the store is taken this often, and so many are kept: it comes back from one that
/// is two to six seconds old.
const COPY_PAUSE: Duration = Duration::from_secs(2);
const COPIES_KEPT: usize = 3;

/// Events of a stream are this far apart: streams are under way at most moments.
const PACE: Millis = Millis(40);

/// What a run came to.
#[derive(Debug)]
pub struct Report {
    /// How many requests were sent.
    pub calls: usize,
    /// How many got a whole success.
    pub served: usize,
    /// How all of them ended.
    pub outcome: Outcome,
    /// What was served on new connections before the last fault, and long after the return of everything.
    pub service: Option<(Count, Count)>,
    /// The promises that were not kept.
    pub breaches: Vec<Breach>,
}

/// A fault that is in force.
struct Active {
    fault: Fault,
    from: Instant,
    until: Instant,
}

/// One run under way.
struct Run<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    hint: watch::Sender<Hint>,
    active: Vec<Active>,
    troubles: Vec<Trouble>,
    asked: Vec<Trouble>,
    left: HashMap<usize, Instant>,
    noticed: Vec<Breach>,
    groups: Watch,
    /// Requests that end runners, and how many copies of each were sent; aborted once over.
    deadly: HashMap<usize, JoinHandle<()>>,
    copies: usize,
    settled: Option<Instant>,
    back: Option<Instant>,
    /// What the store held every two seconds, the latest last.
    kept: VecDeque<(Instant, store::Snapshot)>,
}

/// Plays a plan. Settings and logs of the nodes go into `folder`.
pub async fn play(plan: &Plan, folder: &Path) -> io::Result<Report> {
    std::fs::create_dir_all(folder)?;
    let fleet = Fleet::start(Layout::small(plan.nodes, plan.engines, plan.is_cold()), folder).await?;
    let mut run = Run {
        plan,
        fleet,
        hint: watch::Sender::new(Hint::default()),
        active: Vec::new(),
        troubles: Vec::new(),
        asked: Vec::new(),
        left: HashMap::new(),
        noticed: Vec::new(),
        groups: Watch::new(Duration::from_millis(STALL_MS)),
        deadly: HashMap::new(),
        copies: 0,
        settled: None,
        back: None,
        kept: VecDeque::new(),
    };
    run.tell();
    run.await_service().await;
    for server in &run.fleet.engines {
        server.runner.set_event_interval(PACE);
    }
    let calls = run.load().await;
    run.heal_all();
    run.await_service().await;
    run.end_deadly().await;
    let record = run.collect(calls);
    let served = record.calls.iter().filter(|call| is_served(call)).count();
    let outcome = Outcome::count(&record.calls);
    let service = count_service(&record);
    Ok(Report { calls: record.calls.len(), served, outcome, service, breaches: check(&record) })
}

fn is_served(call: &Call) -> bool {
    call.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.complete)
}

impl Run<'_> {
    /// Sends requests while the faults of the plan come and go.
    async fn load(&mut self) -> Vec<Call> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let mut callers = tokio::task::JoinSet::new();
        let kept = self.plan.nodes * CALLERS;
        for number in 0..kept + self.plan.nodes * NEW_CALLERS {
            let node = number % self.plan.nodes;
            let caller = Caller {
                number,
                node: (node, self.fleet.nodes[node].callers),
                seed: self.plan.seed,
                hint: self.hint.subscribe(),
                calls: calls.clone(),
            };
            match number < kept {
                true => callers.spawn(caller.run()),
                false => callers.spawn(caller.run_new()),
            };
        }
        self.play_events().await;
        self.await_recovery().await;
        self.hint.send_modify(|hint| hint.over = true);
        while callers.join_next().await.is_some() {
            self.look();
        }
        std::mem::take(&mut *calls.lock())
    }

    async fn play_events(&mut self) {
        let start = Instant::now();
        let mut coming = self.plan.events.iter().peekable();
        while start.elapsed() < Duration::from_millis(self.plan.length) {
            while let Some(event) = coming.next_if(|event| start.elapsed() >= Duration::from_millis(event.at))
            {
                self.begin(event.fault, Duration::from_millis(event.span));
            }
            self.look();
            tokio::time::sleep(LOOK.duration()).await;
        }
    }

    /// Ends all faults, and waits until service was to be back for a while. Nodes that were told to stop end by
    /// themselves.
    async fn await_recovery(&mut self) {
        let ends_itself = |active: &Active| matches!(active.fault, Fault::Stop(_));
        let (stopping, over) = std::mem::take(&mut self.active).into_iter().partition(ends_itself);
        self.active = stopping;
        over.into_iter().for_each(|ended| self.end(ended));
        while !self.active.is_empty() {
            self.look();
            tokio::time::sleep(LOOK.duration()).await;
        }
        let back = Instant::now();
        self.back = Some(back);
        while back.elapsed() < RECOVERY + RECOVERED {
            self.look();
            tokio::time::sleep(LOOK.duration()).await;
        }
    }

    fn look(&mut self) {
        let now = Instant::now();
        let (over, active) = std::mem::take(&mut self.active).into_iter().partition(|a| a.until <= now);
        self.active = active;
        for ended in over {
            self.end(ended);
        }
        self.starve_nodes(now);
        self.look_at_nodes();
        self.look_at_groups(now);
        self.keep_copy(now);
    }

    /// Pauses nodes that wait for their processor, or lets them run.
    fn starve_nodes(&self, now: Instant) {
        for active in &self.active {
            let Fault::Starve(node) = active.fault else { continue };
            let turn = (now - active.from).as_millis() % STARVE_TURN.as_millis();
            let stopped = turn < STARVE_STOPPED.as_millis();
            self.fleet.nodes[node].signal(if stopped { Signal::STOP } else { Signal::CONT });
        }
    }

    fn begin(&mut self, fault: Fault, span: Duration) {
        let now = Instant::now();
        // One thing at a time happens to one node's process, and to one runner.
        if self.active.iter().any(|active| shares_place(&active.fault, &fault)) {
            return;
        }
        self.apply(fault);
        let until = if matches!(fault, Fault::Stop(_)) { now + STOPPING } else { now + span };
        self.active.push(Active { fault, from: now, until });
        self.tell();
    }

    /// Keeps a copy of the store now and then.
    fn keep_copy(&mut self, now: Instant) {
        if self.kept.back().is_none_or(|(at, _)| now >= *at + COPY_PAUSE) {
            self.kept.push_back((now, self.fleet.store.snapshot()));
        }
        if self.kept.len() > COPIES_KEPT {
            self.kept.pop_front();
        }
    }

    /// The store is back from the oldest copy that is kept, and all but the nodes write again.
    fn come_back(&mut self) {
        if let Some((_, copy)) = self.kept.pop_front() {
            self.fleet.store.restore(&copy);
            // Later copies are of what is gone.
            self.kept.clear();
        }
        self.fleet.store.set_fault(store::Fault::None);
        self.fleet.configure();
        self.renew_evacuations();
        for (number, server) in self.fleet.servers().enumerate() {
            let ended = |active: &Active| matches!(active.fault, Fault::Cold(r) | Fault::Restart(r) | Fault::Lapse(r) | Fault::Foreign(r, _) if r == number);
            if !self.active.iter().any(ended) {
                server.runner.write_entry();
            }
        }
    }

    /// The operator says anew what the copy may lack: which hall is under evacuation, and which no more.
    fn renew_evacuations(&self) {
        let is_active = |hall| self.active.iter().any(|active| active.fault == Fault::Evacuate(hall));
        for (number, hall) in HALLS.into_iter().enumerate() {
            if is_active(number) {
                self.fleet.store.evacuate(hall, b"{}");
            } else if self.asked.iter().any(|over| over.fault == Some(Fault::Evacuate(number))) {
                // Nodes keep one that a copy lost until they see it withdrawn.
                self.fleet.store.evacuate(hall, b"{}");
                self.fleet.store.withdraw_evacuation(hall);
            }
        }
    }

    /// A request that ends runners comes from now on.
    fn send_deadly(&mut self, number: usize) {
        let nodes = self.fleet.nodes.iter().map(|node| node.callers).collect();
        self.copies += COPIES;
        let coming = Deadly(number).come(nodes, self.hint.subscribe(), self.copies);
        self.deadly.insert(number, tokio::spawn(coming));
    }

    /// In a fleet without faults, each request that ends runners comes to all nodes some more
    /// times, one after the other.
    async fn end_deadly(&mut self) {
        if self.deadly.is_empty() {
            return;
        }
        tokio::time::sleep(KNOWN.duration()).await;
        self.settled = Some(Instant::now());
        let numbers: Vec<usize> = self.deadly.keys().copied().collect();
        let key = self.fleet.keys.last().map_or(String::new(), |(key, _)| key.clone());
        for copy in 0..AGAIN * self.fleet.nodes.len() {
            let to = self.fleet.nodes[copy % self.fleet.nodes.len()].callers;
            let mut asking = JoinSet::new();
            for number in &numbers {
                let (deadly, key) = (Deadly(*number), key.clone());
                asking.spawn(async move { deadly.ask(to, copy, &key).await });
            }
            tokio::time::sleep(AGAIN_PAUSE.duration()).await;
            asking.join_all().await;
            self.look();
        }
    }

    fn restart(&mut self, node: usize) {
        if let Err(error) = self.fleet.start_node(node) {
            eprintln!("soak: node-{node} was not started: {error}");
        }
    }

    /// Starts nodes again that have stopped as told, and notices those that ended
    /// by themselves.
    fn look_at_nodes(&mut self) {
        for node in 0..self.fleet.nodes.len() {
            if !self.fleet.nodes[node].is_running() || !self.fleet.nodes[node].has_ended() {
                continue;
            }
            let at = self.active.iter().position(|active| active.fault == Fault::Stop(node));
            match at {
                Some(at) => {
                    let stopped = self.active.swap_remove(at);
                    self.end(stopped);
                }
                None => {
                    self.noticed.push(Breach::Ended(node));
                    self.restart(node);
                    self.tell();
                }
            }
        }
    }

    /// Breaks groups that stood still for too long, as engines do, and notices
    /// runners that are in two groups at once.
    fn look_at_groups(&mut self, now: Instant) {
        let engines = &self.fleet.engines;
        let rows: Vec<Row> = engines.iter().map(|server| Row::read(&server.runner)).collect();
        let found = self.groups.look(&rows, now);
        for at in found.broken {
            engines[at].runner.break_group();
        }
        self.noticed.extend(found.breaches);
    }

    /// Tells callers the keys and the lives of the nodes.
    fn tell(&self) {
        let keys: Vec<String> = self.fleet.keys.iter().map(|(key, _)| key.clone()).collect();
        let lives: Vec<u32> = self.fleet.nodes.iter().map(|node| node.lives).collect();
        self.hint.send_modify(|hint| (hint.keys, hint.lives) = (keys, lives));
    }

    fn heal_all(&mut self) {
        for ended in std::mem::take(&mut self.active) {
            self.end(ended);
        }
    }

    /// Waits until every node serves every kind; notices those that never do.
    async fn await_service(&mut self) {
        let end = Instant::now() + SERVES.duration();
        let mut count = 0;
        for node in 0..self.fleet.nodes.len() {
            for kind in [Kind::Stream, Kind::Read, Kind::Once] {
                loop {
                    let (to, key) = (self.fleet.nodes[node].callers, self.fleet.keys.last());
                    let key = key.map_or("", |(key, _)| key);
                    count += 1;
                    let id = format!("probe-{node}-{count}-{}", self.left.len());
                    let asked =
                        tokio::time::timeout(LOOK.duration() * 50, send_request(to, kind.path(), &id, key))
                            .await;
                    let status = asked.ok().and_then(Result::ok).map_or(0, |answer| answer.status);
                    if status == 200 {
                        break;
                    }
                    if Instant::now() > end {
                        self.noticed.push(Breach::Recover(node, kind, status));
                        break;
                    }
                    self.look();
                    tokio::time::sleep(LOOK.duration()).await;
                }
            }
        }
    }

    fn collect(&mut self, calls: Vec<Call>) -> Record {
        let left = |id: &str| {
            let runner = self.left.iter().find(|(at, _)| self.fleet.engines[**at].runner.id() == id);
            runner.map(|(_, since)| *since)
        };
        let witness = |runner: &runner::Runner, hall| Witness {
            id: runner.id().to_owned(),
            seen: runner.requests(),
            hall,
            joins: runner.joins(),
            left: left(runner.id()),
        };
        Record {
            calls,
            witnesses: self.fleet.servers().map(|server| witness(&server.runner, server.hall)).collect(),
            revoked: self.fleet.keys.iter().map(|(_, taken)| *taken).collect(),
            asked: std::mem::take(&mut self.asked),
            troubles: std::mem::take(&mut self.troubles),
            noticed: std::mem::take(&mut self.noticed),
            settled: self.settled,
            back: self.back,
        }
    }
}
