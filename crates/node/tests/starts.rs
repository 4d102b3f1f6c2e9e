//! Nodes whose start meets what passes: a held port, a signal, settings that are not whole yet.
//!
//! The failure: the process ended, and nobody started it again, so its box was gone for good.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{ONCE, config};
use cottoncrank_platform_standin::settings::{self, Settings};
use cottoncrank_standin::port::Port;
use rustix::process::Signal;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The time within which a box that is back serves: the shortest that a deployment asks for.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long something stands in the way of a start.
const HELD: Duration = Duration::from_secs(1);

/// The time within which a process that has nothing to finish ends.
const STOP: Duration = Duration::from_secs(1);

/// How long a process is watched that a signal should not end.
const WATCHED: Duration = Duration::from_millis(300);

/// The starts for each signal, how many processes run at once, and the longest delays of the signals.
const STARTS: u64 = 40;
const AT_ONCE: usize = 4;
const DELAYS_MS: u64 = 6;

/// The time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The port of nodes for metrics.
const METRICS: u16 = 9464;

/// What holds a port.
#[derive(Clone, Copy, Debug)]
enum Holder {
    Listener,
    Outgoing,
}

/// A port that is held until this is dropped.
struct Held {
    socket: Socket,
    _peer: Option<TcpListener>,
}

impl Held {
    /// Takes a port without address reuse; of port 0, any that is free.
    fn take(address: SocketAddr, holder: Holder) -> Held {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&address.into()).unwrap();
        let mut peer = None;
        match holder {
            Holder::Listener => socket.listen(1).unwrap(),
            Holder::Outgoing => {
                let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
                socket.connect(&listener.local_addr().unwrap().into()).unwrap();
                peer = Some(listener);
            }
        }
        Held { socket, _peer: peer }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // Closed with a reset, the connection does not keep the port.
        let _ = self.socket.set_linger(Some(Duration::ZERO));
    }
}

/// Lays a node one of whose ports is held.
///
/// The port is found while it is taken: one that the test lets go of before may still be bound in a child process that
/// another thread has just started.
fn lay_held(
    store: SocketAddr,
    pick: fn(&mut Settings) -> &mut SocketAddr,
    holder: Holder,
) -> (NodeProcess, Held) {
    let mut node = NodeProcess::lay(store, 7);
    let address = pick(&mut node.settings);
    let held = Held::take(SocketAddr::new(address.ip(), 0), holder);
    *address = held.address();
    std::fs::write(&node.file, settings::render(&node.settings)).unwrap();
    (node, held)
}

async fn start_fleet() -> Fleet {
    let fleet = Fleet::unconfigured(1).await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("the node knows two open groups", |fleet| fleet.all_know(2)).await;
    fleet
}

/// Waits until a node is ready and serves a request.
async fn wait_served(node: &NodeProcess, since: Instant) {
    loop {
        if node.is_ready().await {
            let answer = send_request(node.settings.callers, ONCE, "r-1", KEY).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
        }
        assert!(since.elapsed() < RECOVERY, "it did not serve within {RECOVERY:?}:\n{}", node.read_log());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Asks one question over HTTP and returns the begin of the answer.
async fn ask(to: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = tokio::net::TcpStream::connect(to).await?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Whether the fleet has the node in its directory.
fn is_listed(fleet: &Fleet, node: &NodeProcess) -> bool {
    let name = node.settings.node.parse().unwrap();
    fleet.nodes[0].node.directory.lock().get(&name).is_some()
}

async fn hold_a_port(pick: fn(&mut Settings) -> &mut SocketAddr, holder: Holder) {
    let fleet = start_fleet().await;
    let (mut node, held) = lay_held(fleet.store.address(), pick, holder);
    node.spawn();
    tokio::time::sleep(HELD).await;
    assert!(node.is_running(), "it ended:\n{}", node.read_log());
    if held.address() != node.settings.ready {
        let answer = ask(node.settings.ready, "/-/readyz").await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(!is_listed(&fleet, &node), "it is listed without its port");
    }
    drop(held);
    wait_served(&node, Instant::now()).await;
}

/// Guards against boxes that are gone for good because a port was held when their node started.
#[tokio::test]
async fn a_node_whose_port_for_callers_is_held_serves_once_it_is_free() {
    hold_a_port(|settings| &mut settings.callers, Holder::Listener).await;
}

/// Guards against the same at the port for other nodes.
#[tokio::test]
async fn a_node_whose_port_for_other_nodes_is_held_serves_once_it_is_free() {
    hold_a_port(|settings| &mut settings.peers, Holder::Listener).await;
}

/// Guards against the same at the port for the balancer.
#[tokio::test]
async fn a_node_whose_port_for_the_balancer_is_held_serves_once_it_is_free() {
    hold_a_port(|settings| &mut settings.ready, Holder::Listener).await;
}

/// Guards against the same where an outgoing connection has the port.
#[tokio::test]
async fn a_node_whose_port_an_outgoing_connection_has_serves_once_it_is_free() {
    hold_a_port(|settings| &mut settings.callers, Holder::Outgoing).await;
    hold_a_port(|settings| &mut settings.peers, Holder::Outgoing).await;
}

/// Guards against callers that are kept out because nobody can ask whether the node is ready.
#[tokio::test]
async fn a_node_whose_port_for_the_balancer_is_held_takes_callers() {
    let fleet = start_fleet().await;
    let (mut node, _held) = lay_held(fleet.store.address(), |settings| &mut settings.ready, Holder::Listener);
    node.spawn();
    let began = Instant::now();
    loop {
        let answer = send_request(node.settings.callers, ONCE, "r-1", KEY).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            break;
        }
        assert!(began.elapsed() < RECOVERY, "it does not serve:\n{}", node.read_log());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against nodes that wait for a port which is held for good, though their settings name another one by now.
#[tokio::test]
async fn a_node_whose_port_is_held_takes_the_one_that_its_settings_name_by_now() {
    let fleet = start_fleet().await;
    let (mut node, _held) =
        lay_held(fleet.store.address(), |settings| &mut settings.callers, Holder::Listener);
    node.spawn();
    tokio::time::sleep(HELD).await;
    let other = Port::find(node.settings.callers.ip()).unwrap();
    node.settings.callers = other.address;
    std::fs::write(&node.file, settings::render(&node.settings)).unwrap();
    node.signal(Signal::HUP);
    wait_served(&node, Instant::now()).await;
}

/// Guards against nodes without metrics for as long as they run.
#[tokio::test]
async fn a_node_whose_port_for_metrics_is_held_serves_them_once_it_is_free() {
    let fleet = start_fleet().await;
    let mut node = NodeProcess::lay(fleet.store.address(), 7);
    let address = SocketAddr::new(node.settings.peers.ip(), METRICS);
    let held = Held::take(address, Holder::Listener);
    node.spawn();
    tokio::time::sleep(HELD).await;
    drop(held);
    let began = Instant::now();
    while !ask(address, "/metrics").await.is_ok_and(|text| text.contains("cottoncrank_")) {
        assert!(began.elapsed() < RECOVERY, "no metrics:\n{}", node.read_log());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against nodes that cannot be stopped, or end as if they had failed, while they wait for a port.
#[tokio::test]
async fn a_node_that_waits_for_its_port_ends_at_once_when_it_is_stopped() {
    let (mut node, _held) = lay_held(nowhere(), |settings| &mut settings.callers, Holder::Listener);
    node.spawn();
    tokio::time::sleep(HELD).await;
    node.signal(Signal::HUP);
    node.signal(Signal::TERM);
    let began = Instant::now();
    let status = node.wait_end().await;
    assert!(status.success(), "{status}:\n{}", node.read_log());
    assert!(began.elapsed() < STOP, "it took {:?}", began.elapsed());
}

/// Returns the address of a store that is not there.
fn nowhere() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9)
}

/// A node whose program waits for the content of its settings: it has begun, and has gone no further.
async fn spawn_held_at_settings(store: SocketAddr) -> (NodeProcess, std::fs::File) {
    let mut node = NodeProcess::lay(store, 7);
    std::fs::remove_file(&node.file).unwrap();
    assert!(Command::new("mkfifo").arg(&node.file).status().unwrap().success());
    node.spawn();
    let pipe = node.file.clone();
    // Opening it waits for the reader.
    let open = tokio::task::spawn_blocking(move || std::fs::File::options().write(true).open(pipe));
    let pipe = tokio::time::timeout(RECOVERY, open).await.expect("it reads its settings").unwrap().unwrap();
    (node, pipe)
}

/// Lets it read the settings, and puts a file in the place of the pipe.
fn send_settings(node: &NodeProcess, mut pipe: std::fs::File) {
    let (text, whole) = (settings::render(&node.settings), node.file.with_extension("whole"));
    std::fs::write(&whole, &text).unwrap();
    std::fs::rename(&whole, &node.file).unwrap();
    // It fails if the process has ended.
    let _ = std::io::Write::write_all(&mut pipe, text.as_bytes());
}

/// Guards against nodes that are ended by a reload while they read their settings.
#[tokio::test]
async fn a_node_that_is_told_to_reload_while_it_reads_its_settings_serves() {
    let fleet = start_fleet().await;
    let (mut node, pipe) = spawn_held_at_settings(fleet.store.address()).await;
    node.signal(Signal::HUP);
    node.signal(Signal::HUP);
    send_settings(&node, pipe);
    tokio::time::sleep(WATCHED).await;
    assert!(node.is_running(), "{}:\n{}", node.wait_end().await, node.read_log());
    wait_served(&node, Instant::now()).await;
}

/// Guards against nodes that end as if they had failed when they are stopped while they read their settings.
#[tokio::test]
async fn a_node_that_is_stopped_while_it_reads_its_settings_ends_well() {
    let (mut node, pipe) = spawn_held_at_settings(nowhere()).await;
    node.signal(Signal::HUP);
    node.signal(Signal::TERM);
    send_settings(&node, pipe);
    let status = node.wait_end().await;
    assert!(status.success(), "{status}:\n{}", node.read_log());
}

/// Starts a node, sends it a signal so long after its program began, and says whether it ended badly.
async fn is_ended_by(signal: Signal, delay: Duration) -> bool {
    let (mut node, pipe) = spawn_held_at_settings(nowhere()).await;
    send_settings(&node, pipe);
    tokio::time::sleep(delay).await;
    node.signal(signal);
    if signal == Signal::TERM {
        return !node.wait_end().await.success();
    }
    tokio::time::sleep(WATCHED).await;
    !node.is_running()
}

async fn count_ended_by(signal: Signal) -> usize {
    let (mut starts, room) = (JoinSet::new(), Arc::new(Semaphore::new(AT_ONCE)));
    for number in 0..STARTS {
        let room = room.clone();
        starts.spawn(async move {
            let _place = room.acquire_owned().await.unwrap();
            is_ended_by(signal, Duration::from_millis(number % DELAYS_MS)).await
        });
    }
    starts.join_all().await.into_iter().filter(|ended| *ended).count()
}

/// Guards against nodes that are ended by a reload right after their start.
#[tokio::test]
async fn nodes_that_are_told_to_reload_while_they_start_go_on() {
    assert_eq!(count_ended_by(Signal::HUP).await, 0, "of {STARTS}");
}

/// Guards against nodes that end as if they had failed when they are stopped right after their start.
#[tokio::test]
async fn nodes_that_are_stopped_while_they_start_end_well() {
    assert_eq!(count_ended_by(Signal::TERM).await, 0, "of {STARTS}");
}

/// Guards against boxes that are gone for good because their settings were read while they were written.
#[tokio::test]
async fn a_node_whose_settings_are_empty_or_missing_serves_once_they_are_whole() {
    let fleet = start_fleet().await;
    for number in [7, 8] {
        let mut node = NodeProcess::lay(fleet.store.address(), number);
        let text = std::fs::read_to_string(&node.file).unwrap();
        match number {
            7 => std::fs::write(&node.file, "").unwrap(),
            _ => std::fs::remove_file(&node.file).unwrap(),
        }
        node.spawn();
        tokio::time::sleep(HELD).await;
        assert!(node.is_running(), "it ended:\n{}", node.read_log());
        std::fs::write(&node.file, text).unwrap();
        wait_served(&node, Instant::now()).await;
    }
}

/// Guards against nodes that cannot be stopped while they wait for their settings.
#[tokio::test]
async fn a_node_that_waits_for_its_settings_ends_at_once_when_it_is_stopped() {
    let mut node = NodeProcess::lay(nowhere(), 7);
    std::fs::write(&node.file, "").unwrap();
    node.spawn();
    tokio::time::sleep(HELD).await;
    assert!(node.is_running(), "it ended:\n{}", node.read_log());
    node.signal(Signal::TERM);
    let began = Instant::now();
    let status = node.wait_end().await;
    assert!(status.success(), "{status}:\n{}", node.read_log());
    assert!(began.elapsed() < STOP, "it took {:?}", began.elapsed());
}

/// Guards against nodes that end, or never serve, because the store is away or refuses when they start.
#[tokio::test]
async fn a_node_that_starts_without_its_store_serves_once_it_is_there() {
    use cottoncrank_platform_standin::store::{Blocked, Endpoint};

    let fleet = start_fleet().await;
    let door = Endpoint::open(&fleet.store).unwrap();
    door.set_blocked(Blocked::All);
    let mut node = NodeProcess::lay(door.address(), 7);
    node.spawn();
    tokio::time::sleep(HELD).await;
    assert!(node.is_running(), "it ended:\n{}", node.read_log());
    door.set_blocked(Blocked::Nothing);
    wait_served(&node, Instant::now()).await;
}
