//! Nodes as processes of their own, which signals can be sent to.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::caller;
use cottoncrank_platform_standin::settings::{self, Settings};
use cottoncrank_standin::port::Port;
use rustix::process::{Pid, Signal, kill_process};

/// The time after which a wait for a process fails. It bounds a hanging test and is no limit under test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses that were given to nodes of this test program.
static ADDRESSES: AtomicU8 = AtomicU8::new(0);

/// One node: its settings, its ports, and its process while it runs. Dropping it kills the process.
pub struct NodeProcess {
    /// What its settings file says.
    pub settings: Settings,
    /// Its settings file.
    pub file: PathBuf,
    /// The file that its output is appended to.
    pub log: PathBuf,
    child: Option<Child>,
    /// Kept for it, also between its lives.
    _ports: [Port; 3],
}

impl NodeProcess {
    /// Lays the settings of a node in the hall `hall-a`, without starting it.
    pub fn lay(store: SocketAddr, number: usize) -> NodeProcess {
        let ip = claim_address();
        let ports = [Port::find(ip).unwrap(), Port::find(ip).unwrap(), Port::find(ip).unwrap()];
        let [callers, ready, peers] = ports.each_ref().map(|port| port.address);
        let settings = Settings {
            node: format!("node-{number}"),
            hall: "hall-a".to_owned(),
            callers,
            ready,
            peers,
            store,
            apply_ms: 4000,
            revoke_ms: 5000,
            grace_s: 8.0,
            stall_ms: 2000,
            evacuate_ms: 5000,
            ceiling_window_s: 1.0,
            ceiling_overshoot: 1.0,
        };
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let name = format!("{}-{}", std::process::id(), ip);
        let (file, log) = (folder.join(format!("{name}.toml")), folder.join(format!("{name}.log")));
        std::fs::write(&file, settings::render(&settings)).unwrap();
        NodeProcess { settings, file, log, child: None, _ports: ports }
    }

    /// Starts a node in the hall `hall-a`, and returns once it is ready.
    pub async fn start(store: SocketAddr, number: usize) -> NodeProcess {
        let mut node = NodeProcess::lay(store, number);
        node.spawn();
        node.wait_ready().await;
        node
    }

    /// Adds text to its settings file.
    pub fn append_settings(&self, text: &str) {
        let whole = settings::render(&self.settings) + text;
        std::fs::write(&self.file, whole).unwrap();
    }

    /// Starts its process.
    pub fn spawn(&mut self) {
        self.spawn_command(Command::new(env!("CARGO_BIN_EXE_cottoncrank-node")));
    }

    /// Starts its process where the system gives it so many descriptors.
    pub fn spawn_with_descriptors(&mut self, count: usize) {
        let mut shell = Command::new("/bin/sh");
        let program = env!("CARGO_BIN_EXE_cottoncrank-node");
        shell.args(["-c", &format!("ulimit -Sn {count} && exec {program}")]);
        self.spawn_command(shell);
    }

    fn spawn_command(&mut self, mut command: Command) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = command
            .env("COTTONCRANK_CONFIG", &self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Ends its process at once, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until it reports that it accepts requests.
    pub async fn wait_ready(&mut self) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.is_ready().await {
            assert!(Instant::now() < end, "it did not become ready:\n{}", self.read_log());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it reports that it accepts requests.
    pub async fn is_ready(&self) -> bool {
        matches!(caller::is_ready(self.settings.ready).await, Ok(true))
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("its process was started");
        kill_process(Pid::from_raw(child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().unwrap().is_none())
    }

    /// Waits until its process has ended.
    pub async fn wait_end(&mut self) -> ExitStatus {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            let child = self.child.as_mut().expect("its process was started");
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "its process did not end:\n{}", self.read_log());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns what it has written so far.
    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address that no other node of a test has: nodes serve metrics at the same port.
fn claim_address() -> IpAddr {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, 1, (std::process::id() % 250) as u8, number + 1))
}
