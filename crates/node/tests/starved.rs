//! A node whose process gets the processor now and then only, as on a machine with too many processes.
//!
//! The failure: it took its own pauses for a lack of processor time, and closed nearly all new connections, many
//! long after their requests had been sent.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank_platform_standin::caller::send_request_within;
use cottoncrank_platform_standin::operator::{ONCE, READ, config};
use rustix::process::Signal;
use tokio::task::JoinSet;

/// How long the process does not run, and how long it runs in between.
const STOPPED: Duration = Duration::from_millis(450);
const RUNNING: Duration = Duration::from_millis(50);

/// How long requests are sent, and how many a second.
const DURATION: Duration = Duration::from_secs(5);
const PER_SECOND: u64 = 100;

/// How long callers wait, in milliseconds.
const DEADLINE_MS: u64 = 6000;

/// A request whose connection ends without an answer later than this after it was sent counts as lost.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// The least part of the requests that a node serves which is back in service.
const LEAST_SERVED: f64 = 0.25;

/// Stops a process again and again until this is dropped.
struct Pauses {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<NodeProcess>>,
}

impl Pauses {
    fn begin(node: NodeProcess) -> Pauses {
        let over = Arc::new(AtomicBool::new(false));
        let seen = over.clone();
        let thread = std::thread::spawn(move || {
            while !seen.load(Ordering::Relaxed) {
                node.signal(Signal::STOP);
                std::thread::park_timeout(STOPPED);
                node.signal(Signal::CONT);
                std::thread::park_timeout(RUNNING);
            }
            node
        });
        Pauses { over, thread: Some(thread) }
    }

    fn end(mut self) -> NodeProcess {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().expect("it is taken once").join().unwrap()
    }
}

/// How requests on new connections ended.
#[derive(Debug, Default)]
struct Outcome {
    sent: usize,
    served: usize,
    refused: usize,
    closed_soon: usize,
    lost: usize,
}

async fn send_at_rate(to: SocketAddr) -> Outcome {
    let (mut asking, mut outcome) = (JoinSet::new(), Outcome::default());
    let mut turns = tokio::time::interval(Duration::from_micros(1_000_000 / PER_SECOND));
    let begin = Instant::now();
    while begin.elapsed() < DURATION {
        turns.tick().await;
        outcome.sent += 1;
        let path = if outcome.sent.is_multiple_of(2) { READ } else { ONCE };
        let request = format!("r-{}", outcome.sent);
        asking.spawn(async move {
            let sent = Instant::now();
            let answer = send_request_within(to, path, &request, KEY, DEADLINE_MS).await;
            (answer.map_or(0, |answer| answer.status), sent.elapsed())
        });
    }
    for (status, lasted) in asking.join_all().await {
        match status {
            200 => outcome.served += 1,
            0 if lasted > LOSS_SLACK => outcome.lost += 1,
            0 => outcome.closed_soon += 1,
            _ => outcome.refused += 1,
        }
    }
    outcome
}

/// Plays a node with these settings that is paused again and again.
async fn play(settings: &str) {
    let fleet = Fleet::unconfigured(1).await;
    fleet.store.configure(&config(1, &[KEY]));
    let mut node = NodeProcess::lay(fleet.store.address(), 7);
    node.append_settings(settings);
    node.spawn();
    node.wait_ready().await;
    let callers = node.settings.callers;
    let pauses = Pauses::begin(node);
    let outcome = send_at_rate(callers).await;
    let node = pauses.end();
    println!("{outcome:?}");
    assert_eq!(outcome.lost, 0, "{outcome:?}\n{}", node.read_log());
    assert!(outcome.served as f64 >= LEAST_SERVED * outcome.sent as f64, "{outcome:?}\n{}", node.read_log());
}

/// Guards against requests that are lost, and service that does not come back, where a node only waits for its
/// processor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_paused_again_and_again_loses_no_request_on_a_new_connection() {
    play("").await;
}

/// Guards against the same at a node that has a part of a core by its settings.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_with_a_quarter_of_a_core_loses_no_request_on_a_new_connection_either() {
    play("[limits]\ncpuShare = 0.25\n").await;
}
