//! The course of an outage: what is lost, and what comes back.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cottoncrank::Millis;
use cottoncrank_platform_standin::runner;
use cottoncrank_platform_standin::store::{self, Snapshot};
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::task::JoinSet;

use super::asker::{Asker, draw_path, probe};
use super::foreign::{self, Foreign};
use super::report::{Call, RECOVERED, Report, SPAN};
use super::{Outage, Plain, RATE, Replacement};
use crate::check::Breach;
use crate::fleet::{Fleet, Server};
use crate::groups::{Row, Watch};
use crate::plan::Harm;
use crate::recovery::RECOVERY;
use crate::sheet;

/// How often the fleet is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// The turns of two nodes begin this far apart.
const TURN_SHIFT: Duration = Duration::from_millis(17);

/// The entry of a runner that has ended goes this long after: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3600);

/// The pause between two losses of members before the outage, how many are lost each time, and how often.
const LOSS_PAUSE: Duration = Duration::from_millis(3000);
const LOST_AT_ONCE: usize = 2;
const LOSSES: usize = 8;

/// The age of a copy that the store comes back from.
const COPY_AGE: Duration = Duration::from_secs(4);

/// A fleet has formed its groups once none was added for this long.
const FORMED: Duration = Duration::from_secs(2);

/// How long a fleet may take to form its groups at the start, and the least that it has then.
const FORMS: Duration = Duration::from_secs(60);
const MIN_GROUPS: usize = 18;

/// Events of a stream are this far apart.
const PACE: Millis = Millis(150);

/// A hall that was cut off is reached again this long before the outage.
const CUT_END: Duration = Duration::from_millis(1000);

/// How long after what another writer did something else happens.
const SETTLE: Duration = Duration::from_millis(2000);

/// A play under way.
pub(super) struct Course<'a> {
    outage: &'a Outage,
    fleet: Fleet,
    watch: Watch,
    rng: SmallRng,
    breaches: Vec<Breach>,
    /// Runners that have ended, and when their entries go.
    ended: Vec<(Server, Option<Instant>)>,
    /// Whether each node is stopped, for want of a processor.
    stopped: HashMap<usize, bool>,
    /// Copies of the store, the latest last.
    copies: Vec<(Instant, Snapshot)>,
    /// The hall that is cut off.
    cut: Option<&'static str>,
    /// What listens at the address of another writer's entry.
    foreign: Option<TcpListener>,
    calls: Arc<Mutex<Vec<Call>>>,
    /// The key that callers use.
    key: Arc<Mutex<String>>,
    began: Instant,
    count: usize,
}

impl<'a> Course<'a> {
    /// Starts the fleet.
    pub(super) async fn start(outage: &'a Outage, program: PathBuf, folder: &Path) -> io::Result<Course<'a>> {
        std::fs::create_dir_all(folder)?;
        Ok(Course {
            outage,
            fleet: Fleet::start_program(outage.lay_out(), program, folder).await?,
            watch: Watch::new(Duration::from_millis(sheet::STALL_MS)),
            rng: SmallRng::seed_from_u64(outage.seed),
            breaches: Vec::new(),
            ended: Vec::new(),
            stopped: HashMap::new(),
            copies: Vec::new(),
            cut: None,
            foreign: None,
            calls: Arc::default(),
            key: Arc::default(),
            began: Instant::now(),
            count: 0,
        })
    }

    /// Plays it to its end.
    pub(super) async fn run(mut self) -> io::Result<Report> {
        self.await_groups().await;
        self.hand_out_key();
        let mut callers = self.start_callers();
        self.play_before().await?;
        self.play_cut().await;
        if self.outage.rekey {
            self.rekey();
        }
        if self.outage.foreign != Foreign::None {
            self.foreign = foreign::write(&self.fleet.store, self.outage.foreign)?;
            self.watch_until(Instant::now() + SETTLE).await;
        }
        self.fleet.store.set_broken_queries(self.outage.broken);
        let lost = Instant::now();
        let mut applying = JoinSet::new();
        let returned = match self.outage.live {
            true => self.forget_history(&mut applying),
            false => {
                self.lose_nodes();
                self.lose_runners().await?;
                self.bring_back(&mut callers).await?
            }
        };
        self.change_plain();
        self.watch_until(returned + RECOVERY + RECOVERED).await;
        drop(callers);
        let applied = applying.join_all().await;
        // What was sent last is still awaited.
        let calls = self.calls.lock();
        Ok(Report { applied, ..Report::new(&calls, lost, returned, self.breaches) })
    }

    fn change_plain(&self) {
        for server in &self.fleet.plain {
            match self.outage.plain {
                Plain::Serve => {}
                Plain::Silent => server.link.set_harm(Some(Harm::Silence)),
                Plain::Gone => {
                    server.link.close();
                    server.runner.expire_entry();
                }
            }
        }
    }

    /// The account gets a new key, and the store forgets its history before a node hears of it. Each node is
    /// asked from then on until it serves this key.
    fn forget_history(&mut self, applying: &mut JoinSet<Option<Duration>>) -> Instant {
        self.fleet.rekey_unheard();
        let written = Instant::now();
        let Some((key, _)) = self.fleet.keys.last() else { return written };
        for number in 0..self.fleet.nodes.len() {
            applying.spawn(self.find_asker(number).find_service(key.clone(), written, RECOVERY));
        }
        written
    }

    fn is_open(server: &Server) -> bool {
        server.runner.is_open()
    }

    /// Waits until the fleet has formed its groups.
    async fn await_groups(&mut self) {
        let end = Instant::now() + FORMS;
        let (mut groups, mut since) = (0, Instant::now());
        while Instant::now() < end && (groups < MIN_GROUPS || since.elapsed() < FORMED) {
            let open = self.fleet.engines.iter().filter(|server| Self::is_open(server)).count();
            if open != groups {
                (groups, since) = (open, Instant::now());
            }
            self.look().await;
        }
        for server in &self.fleet.engines {
            server.runner.set_event_interval(PACE);
        }
        if let Some(sheet) = self.fleet.sheet() {
            sheet.loading.weights.serve();
        }
        println!("{groups} groups are open after {:.1?}", self.began.elapsed());
    }

    /// Starts callers, each request on a connection of its own. They end when what is returned is dropped.
    fn start_callers(&self) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        if self.outage.probe {
            let nodes = self.fleet.nodes.iter().map(|node| node.callers).collect();
            callers.spawn(probe(nodes, self.key.clone()));
        }
        for number in 0..self.fleet.nodes.len() {
            let asker = self.find_asker(number);
            let mut rng = SmallRng::seed_from_u64(self.outage.seed ^ number as u64);
            let pause = 2_000_000 / self.find_rate(number);
            callers.spawn(async move {
                let mut asking = JoinSet::new();
                for request in 0.. {
                    tokio::time::sleep(Duration::from_micros(rng.random_range(0..pause))).await;
                    let path = draw_path(&mut rng);
                    asking.spawn(asker.clone().ask(path, format!("n{number}-{request}")));
                    while asking.try_join_next().is_some() {}
                }
            });
        }
        callers
    }

    /// Returns how many requests a node gets in a second.
    fn find_rate(&self, node: usize) -> u64 {
        let hall = self.fleet.hall_of(node);
        let shared = (0..self.fleet.nodes.len()).filter(|other| self.fleet.hall_of(*other) == hall).count();
        match self.outage.hall_rate {
            0 => RATE,
            rate => rate / shared as u64,
        }
    }

    /// Sends many requests at once, by turns to all nodes.
    fn send_burst(&mut self, callers: &mut JoinSet<()>) {
        for number in 0..self.outage.burst {
            let path = draw_path(&mut self.rng);
            let asker = self.find_asker(number % self.fleet.nodes.len());
            callers.spawn(asker.ask(path, format!("burst-{number}")));
        }
    }

    fn find_asker(&self, node: usize) -> Asker {
        Asker {
            to: self.fleet.nodes[node].callers,
            key: self.key.clone(),
            calls: self.calls.clone(),
            repeats: self.outage.repeat,
            wait: self.outage.wait,
        }
    }

    /// Gives the account new keys until none of the former ones holds.
    fn rekey(&mut self) {
        self.fleet.rekey();
        self.fleet.rekey();
        self.hand_out_key();
    }

    /// Callers use the latest key from now on.
    fn hand_out_key(&self) {
        if let Some((key, _)) = self.fleet.keys.last() {
            key.clone_into(&mut self.key.lock());
        }
    }

    /// Cuts a hall off for a while: its nodes do nothing, nothing reaches its runners, and their entries go.
    /// Of the nodes nothing outlasts the outage, so that they stand still is as good as that they are alone.
    async fn play_cut(&mut self) {
        let Some((hall, lasts)) = self.outage.cut.clone() else { return };
        let began = Instant::now();
        self.cut = self.fleet.engines.iter().map(|server| server.hall).find(|name| *name == hall);
        self.harm_hall(Some(Harm::Silence));
        if lasts > LAPSE {
            self.watch_until(began + LAPSE).await;
            self.list_cut().for_each(|server| server.runner.expire_entry());
        }
        self.watch_until(began + lasts).await;
        self.harm_hall(None);
        self.list_cut().for_each(|server| server.runner.write_entry());
        self.cut = None;
        self.watch_until(Instant::now() + CUT_END).await;
    }

    fn harm_hall(&self, harm: Option<Harm>) {
        self.list_cut().for_each(|server| server.link.set_harm(harm));
    }

    /// Lists the runners of the hall that is cut off.
    fn list_cut(&self) -> impl Iterator<Item = &Server> {
        self.fleet.servers().filter(|server| Some(server.hall) == self.cut)
    }

    /// Plays what comes before all nodes are lost.
    async fn play_before(&mut self) -> io::Result<()> {
        if !self.outage.losses {
            self.watch_until(Instant::now() + self.outage.calm).await;
            return Ok(());
        }
        for round in 0..LOSSES {
            self.watch_until(Instant::now() + LOSS_PAUSE).await;
            let halls: Vec<&str> = self.fleet.plain.iter().map(|server| server.hall).collect();
            let hall = halls[round % halls.len()];
            let engines = self.fleet.engines.iter().enumerate();
            let members =
                engines.filter(|(_, server)| server.hall == hall && server.runner.membership().is_some());
            let mut members: Vec<usize> = members.map(|(number, _)| number).collect();
            members.shuffle(&mut self.rng);
            for number in members.into_iter().take(LOST_AT_ONCE) {
                self.replace(number, Replacement::Dark).await?;
            }
        }
        Ok(())
    }

    /// Ends a runner, and starts an empty one in its place.
    async fn replace(&mut self, number: usize, replacement: Replacement) -> io::Result<()> {
        self.count += 1;
        let id = format!("e-{number}-{}", self.count);
        self.fleet.crash(number);
        let started = self.fleet.start_engine(&id, number).await?;
        started.runner.set_event_interval(PACE);
        let mut former = std::mem::replace(&mut self.fleet.engines[number], started);
        match replacement {
            Replacement::Same => {
                let current = &mut self.fleet.engines[number];
                std::mem::swap(&mut former.link, &mut current.link);
                current.link.set_target(current.runner.address());
                current.runner.advertise(current.link.address());
            }
            Replacement::Other => former.link.close(),
            Replacement::Dark => former.link.set_harm(Some(Harm::Silence)),
        }
        self.ended.push((former, Some(Instant::now() + LAPSE)));
        Ok(())
    }

    /// All nodes end at once.
    fn lose_nodes(&mut self) {
        self.fleet.nodes.iter_mut().for_each(|node| node.kill());
        self.stopped.clear();
    }

    /// Runners end with the nodes, and empty ones come in their places. Each group loses a part of its members.
    async fn lose_runners(&mut self) -> io::Result<()> {
        for mut members in self.list_groups() {
            members.shuffle(&mut self.rng);
            let is_head = |number: &usize| self.fleet.engines[*number].runner.is_open();
            if self.outage.heads {
                members.sort_by_key(|number| !is_head(number));
            }
            members.truncate((members.len() * self.outage.empty as usize).div_ceil(100));
            for number in members {
                self.replace(number, self.outage.replacement).await?;
            }
        }
        Ok(())
    }

    /// Returns the numbers of the runners of each group, and those of each that is in none.
    fn list_groups(&self) -> Vec<Vec<usize>> {
        let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (number, server) in self.fleet.engines.iter().enumerate() {
            let place = server.runner.membership();
            let name = place.map_or_else(|| server.runner.id().to_owned(), |place| place.group);
            groups.entry(name).or_default().push(number);
        }
        groups.into_values().collect()
    }

    /// Starts all nodes again, and brings back the store. Returns when the last node was started.
    async fn bring_back(&mut self, callers: &mut JoinSet<()>) -> io::Result<Instant> {
        let outage = self.outage;
        if outage.store_away > Duration::ZERO {
            self.take_store_away();
        }
        let is_full = outage.full > Duration::ZERO;
        if is_full {
            self.fleet.servers().for_each(|server| server.link.set_harm(Some(Harm::Reset)));
        }
        self.watch_until(Instant::now() + outage.down).await;
        let mut returned = self.start_nodes().await?;
        if let Some(again) = outage.again {
            self.watch_until(returned + again).await;
            self.lose_nodes();
            self.watch_until(Instant::now() + outage.down).await;
            returned = self.start_nodes().await?;
        }
        self.send_burst(callers);
        if is_full {
            self.watch_until(returned + outage.full).await;
            self.fleet.servers().for_each(|server| server.link.set_harm(None));
        }
        self.watch_until(returned + outage.store_away).await;
        if outage.older {
            self.restore();
        }
        self.fleet.store.set_fault(store::Fault::None);
        self.fleet.nodes.iter().for_each(|node| node.store.set_harm(None));
        Ok(returned)
    }

    fn take_store_away(&self) {
        if self.outage.silent {
            self.fleet.nodes.iter().for_each(|node| node.store.set_harm(Some(Harm::Silence)));
        } else {
            self.fleet.store.set_fault(store::Fault::Busy);
        }
    }

    async fn start_nodes(&mut self) -> io::Result<Instant> {
        let mut started = Instant::now();
        for number in 0..self.fleet.nodes.len() {
            if number > 0 && self.outage.apart > Duration::ZERO {
                self.watch_until(started + self.outage.apart).await;
            }
            self.fleet.start_node(number)?;
            started = Instant::now();
        }
        Ok(started)
    }

    /// The store has what it had some time ago, and all but the nodes write again.
    fn restore(&mut self) {
        let Some((_, copy)) = self.copies.first() else { return };
        self.fleet.store.restore(copy);
        self.fleet.configure();
        self.fleet.servers().for_each(|server| server.runner.write_entry());
        // Entries of those that have ended go once more.
        for (_, lapses) in &mut self.ended {
            *lapses = Some(Instant::now() + LAPSE);
        }
    }

    async fn watch_until(&mut self, end: Instant) {
        while Instant::now() < end {
            self.look().await;
        }
    }

    async fn look(&mut self) {
        let now = Instant::now();
        self.share_processor(now);
        self.lapse_entries(now);
        self.look_at_groups(now);
        self.keep_copy(now);
        tokio::time::sleep(LOOK).await;
    }

    /// Lets each node run for its part of the turn only.
    fn share_processor(&mut self, now: Instant) {
        let turn = self.outage.turn.as_millis();
        for (number, node) in self.fleet.nodes.iter().enumerate().filter(|(_, node)| node.is_running()) {
            let at = (now - self.began + TURN_SHIFT * number as u32).as_millis() % turn;
            let is_cut = Some(self.fleet.hall_of(number)) == self.cut;
            let stops = is_cut || at >= turn * u128::from(self.outage.processor) / 100;
            if self.stopped.insert(number, stops).unwrap_or(false) != stops {
                node.signal(if stops { Signal::STOP } else { Signal::CONT });
            }
        }
    }

    fn lapse_entries(&mut self, now: Instant) {
        for (server, lapses) in &mut self.ended {
            if lapses.is_some_and(|at| at <= now) {
                *lapses = None;
                server.runner.expire_entry();
            }
        }
    }

    /// Groups that lack a member answer nothing, and are broken after a while.
    fn look_at_groups(&mut self, now: Instant) {
        let engines = &self.fleet.engines;
        let rows: Vec<Row> = engines.iter().map(|server| Row::read(&server.runner)).collect();
        let found = self.watch.look(&rows, now);
        for (at, server) in engines.iter().enumerate() {
            let fault = if found.still.contains(&at) { runner::Fault::NoAnswer } else { runner::Fault::None };
            server.runner.set_fault(fault);
        }
        for at in found.broken {
            engines[at].runner.break_group();
        }
        self.breaches.extend(found.breaches);
    }

    /// Keeps a copy of the store as old as it may come back.
    fn keep_copy(&mut self, now: Instant) {
        if !self.outage.older {
            return;
        }
        if self.copies.last().is_none_or(|(at, _)| now >= *at + SPAN)
            && !self.fleet.nodes.iter().any(|node| !node.is_running())
        {
            self.copies.push((now, self.fleet.store.snapshot()));
        }
        let last = self.copies.last().map(|(at, _)| *at);
        self.copies.retain(|(at, _)| last.is_some_and(|last| *at + COPY_AGE >= last));
    }
}
