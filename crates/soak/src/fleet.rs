//! Nodes as processes, and all that they talk to.

use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use cottoncrank::Millis;
use cottoncrank_platform_standin::operator::{ENGINES, PLAIN, config, set_cold_start};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::settings::{self, Settings};
use cottoncrank_platform_standin::store::Store;
use cottoncrank_standin::port::Port;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::plan::Partition;
use crate::proxy::Proxy;
use crate::sheet::Sheet;

/// The data halls that nodes and runners stand in by turns.
pub const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// A node whose box can be suspended; it is a node in all else.
const PROGRAM: &str = "suspendable-node";

/// Runners in a fabric domain: three groups of two.
const DOMAIN: usize = 6;

/// Plain runners.
const PLAIN_RUNNERS: usize = 2;

/// How long after its acceptance a configuration must be in force, in milliseconds.
pub const APPLY_MS: u64 = 4000;

/// How long a key that was taken away may be honoured, in milliseconds: the bound
/// of the fleets that the platform runs.
pub const REVOKE_MS: u64 = 5000;

/// How long after its request an evacuated hall may get requests, in milliseconds.
pub const EVACUATE_MS: u64 = 5000;

/// How long a runner that comes back is cold, in milliseconds.
pub const COLD_MS: u64 = 4000;

/// The requests per second that a cold runner takes.
pub const COLD_PER_S: f64 = 4.0;

/// How long a node has to stop, in seconds.
pub const GRACE_S: f64 = 4.0;

/// After how long a group that stands still is broken, in milliseconds.
pub const STALL_MS: u64 = 2000;

/// One node: its addresses, its way to the store, and its process while it runs.
pub struct Node {
    /// Its number.
    pub number: usize,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Its way to the store.
    pub store: Proxy,
    /// How many times it was started.
    pub lives: u32,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Kept for it, also between its lives.
    _ports: [Port; 3],
}

/// A runner behind its proxy.
pub struct Server {
    /// The runner.
    pub runner: Runner,
    /// The way of all nodes to it.
    pub link: Proxy,
    /// The hall it stands in.
    pub hall: &'static str,
}

/// The whole fleet.
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The runners that form groups.
    pub engines: Vec<Server>,
    /// The plain runners.
    pub plain: Vec<Server>,
    /// The keys so far, and when each was taken away.
    pub keys: Vec<(String, Option<Instant>)>,
    program: PathBuf,
    network: Network,
    layout: Layout,
}

/// What stands where in a fleet, and how its runners work.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The hall of each node.
    pub nodes: Vec<&'static str>,
    /// The hall and the fabric domain of each runner that can form groups.
    pub engines: Vec<(&'static str, usize)>,
    /// The hall of each plain runner.
    pub plain: Vec<&'static str>,
    /// Whether its runners start cold.
    pub cold: bool,
    /// How long after its acceptance a configuration must be in force, in milliseconds.
    pub apply_ms: u64,
    /// After how long a group that stands still is broken, in milliseconds.
    pub stall_ms: u64,
    /// The two models that its runners load, if loads take time.
    pub sheet: Option<Sheet>,
}

impl Layout {
    /// Nodes and runners by turns in two halls; groups are formed at once.
    pub fn small(nodes: usize, engines: usize, cold: bool) -> Layout {
        Layout {
            nodes: (0..nodes).map(name_hall).collect(),
            engines: (0..engines).map(|number| (name_hall(number / DOMAIN), number / DOMAIN)).collect(),
            plain: (0..PLAIN_RUNNERS).map(name_hall).collect(),
            cold,
            apply_ms: APPLY_MS,
            stall_ms: STALL_MS,
            sheet: None,
        }
    }
}

/// The fleets that this process has started.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The third part of the addresses that a fleet has to itself: room for 1,000 nodes.
const NETWORKS_PER_FLEET: u32 = 4;

/// The addresses of the nodes of a fleet. Other fleets at the same time, of this process or others, have
/// others: they could take a port between its choice and the start of the node.
#[derive(Clone, Copy, Debug)]
struct Network {
    second: u8,
    third: u32,
}

impl Network {
    fn claim() -> Network {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        // 127.0 and 127.1 are left to others.
        Network { second: (2 + std::process::id() % 250) as u8, third: NETWORKS_PER_FLEET * fleet }
    }

    /// Returns the address of a node. Each has one of its own, as on the platform.
    fn address(&self, number: usize) -> IpAddr {
        let third = (self.third as usize + number / 250) % 256;
        IpAddr::V4(Ipv4Addr::new(127, self.second, third as u8, (number % 250 + 1) as u8))
    }
}

fn name_hall(number: usize) -> &'static str {
    HALLS[number % HALLS.len()]
}

/// The hall of a runner, plain ones after the `engines`.
pub(crate) fn find_hall(runner: usize, engines: usize) -> &'static str {
    name_hall(if runner < engines { runner / DOMAIN } else { runner - engines })
}

/// Where the node's program lies: beside this one, or a folder above for tests.
pub fn find_program() -> io::Result<PathBuf> {
    let here = std::env::current_exe()?;
    let folders = here.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(PROGRAM)).find(|path| path.exists());
    found.ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("{PROGRAM} is not built beside this program"))
    })
}

impl Fleet {
    /// Starts everything; settings and logs of the nodes go into `folder`.
    pub async fn start(layout: Layout, folder: &Path) -> io::Result<Fleet> {
        Fleet::start_program(layout, find_program()?, folder).await
    }

    /// Starts everything, with the program of another build as its nodes.
    pub async fn start_program(layout: Layout, program: PathBuf, folder: &Path) -> io::Result<Fleet> {
        let store = Store::start()?;
        let mut fleet = Fleet {
            store,
            nodes: Vec::new(),
            engines: Vec::new(),
            plain: Vec::new(),
            keys: Vec::new(),
            program,
            network: Network::claim(),
            layout,
        };
        for number in 0..fleet.layout.engines.len() {
            let server = fleet.start_engine(&format!("e-{number}"), number).await?;
            fleet.engines.push(server);
        }
        for (number, hall) in fleet.layout.plain.clone().into_iter().enumerate() {
            let server = fleet.start_server(&format!("p-{number}"), PLAIN, hall, None).await?;
            fleet.plain.push(server);
        }
        fleet.rekey();
        for number in 0..fleet.layout.nodes.len() {
            let node = fleet.lay_node(number, folder).await?;
            fleet.nodes.push(node);
            fleet.start_node(number)?;
        }
        Ok(fleet)
    }

    /// Starts an empty runner in the place of the engine with this number.
    pub async fn start_engine(&self, id: &str, number: usize) -> io::Result<Server> {
        let (hall, domain) = self.layout.engines[number];
        let server = self.start_server(id, ENGINES, hall, Some(&format!("d{domain}"))).await?;
        if let Some(sheet) = &self.layout.sheet {
            server.runner.set_loading(sheet.loading.clone());
            server.runner.set_slots(sheet.slots);
        }
        Ok(server)
    }

    async fn start_server(
        &self,
        id: &str,
        service: &str,
        hall: &'static str,
        domain: Option<&str>,
    ) -> io::Result<Server> {
        let runner = Runner::start(&self.store, id, service, hall, domain)?;
        let link = Proxy::start(runner.address()).await?;
        runner.advertise(link.address());
        Ok(Server { runner, link, hall })
    }

    async fn lay_node(&self, number: usize, folder: &Path) -> io::Result<Node> {
        let ip = self.network.address(number);
        let ports = [Port::find(ip)?, Port::find(ip)?, Port::find(ip)?];
        let [callers, ready, peers] = ports.each_ref().map(|port| port.address);
        let store = Proxy::start(self.store.address()).await?;
        let settings = Settings {
            node: format!("node-{number}"),
            hall: self.layout.nodes[number].to_owned(),
            callers,
            ready,
            peers,
            store: store.address(),
            apply_ms: self.layout.apply_ms,
            revoke_ms: REVOKE_MS,
            grace_s: GRACE_S,
            stall_ms: self.layout.stall_ms,
            evacuate_ms: EVACUATE_MS,
            ceiling_window_s: self.layout.sheet.as_ref().map_or(1.0, |sheet| sheet.ceiling_window_s),
            ceiling_overshoot: self.layout.sheet.as_ref().map_or(1.0, |sheet| sheet.ceiling_overshoot),
        };
        let file = folder.join(format!("node-{number}.toml"));
        let limits = self.layout.sheet.as_ref().and_then(|sheet| sheet.limits.as_ref());
        let limits = limits.map(settings::render_limits).unwrap_or_default();
        std::fs::write(&file, settings::render(&settings) + &limits)?;
        let log = folder.join(format!("node-{number}.log"));
        Ok(Node { number, callers, store, lives: 0, file, log, child: None, _ports: ports })
    }

    /// Starts a node that does not run.
    pub fn start_node(&mut self, number: usize) -> io::Result<()> {
        let node = &mut self.nodes[number];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(&self.program)
            .env("COTTONCRANK_CONFIG", &node.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        node.child = Some(child);
        node.lives += 1;
        Ok(())
    }

    /// How its runners load models, if that takes time.
    pub fn sheet(&self) -> Option<&Sheet> {
        self.layout.sheet.as_ref()
    }

    /// Gives the account a new key, and takes away the one before the last.
    pub fn rekey(&mut self) {
        self.add_key();
        self.configure();
        self.take_keys();
    }

    /// The same, while the store forgets the history up to it in one step, so that no watch tells of it.
    pub fn rekey_unheard(&mut self) {
        self.add_key();
        self.store.configure_and_compact(&self.build_config());
        self.take_keys();
    }

    fn add_key(&mut self) {
        let version = self.keys.len() as u64 + 1;
        self.keys.push((format!("key-{version}"), None));
    }

    /// Notes that all keys but the last two are taken away.
    fn take_keys(&mut self) {
        let last = self.keys.len().saturating_sub(2);
        let now = Instant::now();
        for (_, taken) in &mut self.keys[..last] {
            taken.get_or_insert(now);
        }
    }

    /// Writes the configuration with the last two keys.
    pub fn configure(&self) {
        self.store.configure(&self.build_config());
    }

    fn build_config(&self) -> Value {
        let last = self.keys.len().saturating_sub(2);
        let held: Vec<&str> = self.keys[last..].iter().map(|(key, _)| key.as_str()).collect();
        let mut config = config(self.keys.len() as u64, &held);
        if let Some(sheet) = &self.layout.sheet {
            sheet.configure(&mut config);
        }
        if self.layout.cold {
            set_cold_start(&mut config, COLD_MS as f64 / 1000.0, COLD_PER_S);
        }
        config
    }

    /// A runner, plain ones after those that form groups, names a rate from now on, or none.
    pub fn set_limit(&self, number: usize, limit: Option<&str>) {
        if let Some(server) = self.servers().nth(number) {
            server.runner.set_limit(limit);
        }
    }

    /// A runner's process ends.
    pub fn crash(&self, number: usize) {
        if let Some(server) = self.servers().nth(number) {
            server.runner.crash();
        }
    }

    /// A runner starts again, cold.
    pub fn return_cold(&self, number: usize) {
        if let Some(server) = self.servers().nth(number) {
            server.runner.set_cold(Millis(COLD_MS));
            server.runner.relaunch();
            server.runner.write_entry();
        }
    }

    /// The hall of a node.
    pub fn hall_of(&self, number: usize) -> &'static str {
        self.layout.nodes[number]
    }

    /// All runners.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.engines.iter().chain(&self.plain)
    }
}

impl Node {
    /// Cuts it off from all runners, or not any more. The node's program looks for the file.
    pub fn set_partition(&self, partition: Option<Partition>) {
        let text = partition.map_or("", |partition| match partition {
            Partition::Refuse => "refuse",
            Partition::Hang => "hang",
            Partition::Reset => "reset",
        });
        if let Err(error) = std::fs::write(self.file.with_extension("partition"), text) {
            eprintln!("soak: node-{}: it was not cut off: {error}", self.number);
        }
    }

    /// Sends a signal to its process, if that runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        let Some(pid) = pid else { return };
        if let Err(error) = kill_process(pid, signal) {
            eprintln!("soak: node-{}: {signal:?} was not sent: {error}", self.number);
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            end(&mut child);
        }
    }

    /// Whether its process has ended; it is forgotten then.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            self.child = None;
        }
        ended
    }

    /// Whether it has a process.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

fn end(child: &mut Child) {
    if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
        eprintln!("soak: process {} was not ended: {error}", child.id());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
