//! Boxes that are suspended: time goes on, and timers do not.
//!
//! A node runs in a thread of its own, which sleeps while the clock of its timers is paused.
//! What it leaves out: the kernel's steady clock runs on, so that the node says it was held
//! up; and the connections of the box stay answered by the kernel.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{Fleet, KEY, count_heads, start_node};
use cottoncrank::Millis;
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{Answer, ask, ask_waiting};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config};
use cottoncrank_platform_standin::runner::Fault;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

/// A node notices within this that it was suspended, and acts.
const WAKES: Duration = Duration::from_millis(400);

/// What the thread of a node is told.
enum Command {
    Suspend(Duration),
    Stop,
}

/// A node whose box can be suspended.
struct Sleeper {
    node: Arc<Node>,
    callers: SocketAddr,
    commands: UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// Lets no task run, and no timer go on, for `span`.
fn sleep_through(span: Duration) {
    tokio::time::pause();
    let (_held, nothing) = sync_channel::<()>(0);
    // Nothing comes: that is the point.
    let _ = nothing.recv_timeout(span);
    tokio::time::resume();
}

impl Sleeper {
    fn start(store: SocketAddr, number: usize, hall: &'static str) -> Sleeper {
        let (commands, mut told) = unbounded_channel();
        let (started, running) = sync_channel(1);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let running = start_node(store, number, hall).await;
                started.send((running.node.clone(), running.callers)).unwrap();
                while let Some(Command::Suspend(span)) = told.recv().await {
                    sleep_through(span);
                }
            });
        });
        let (node, callers) = running.recv().unwrap();
        Sleeper { node, callers, commands, thread: Some(thread) }
    }

    /// It is suspended from now on.
    fn suspend(&self, seconds: f64) {
        assert!(self.commands.send(Command::Suspend(Duration::from_secs_f64(seconds))).is_ok());
    }
}

impl Drop for Sleeper {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A fleet of which all nodes are such boxes, configured and serving.
async fn serving(nodes: usize) -> (Fleet, Vec<Sleeper>) {
    let mut fleet = Fleet::unconfigured(0).await;
    let boxes: Vec<Sleeper> =
        (0..nodes).map(|number| Sleeper::start(fleet.store.address(), number, "hall-a")).collect();
    // One that is never suspended, and tells the test of the time.
    fleet.add_node().await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("two groups serve", |fleet| fleet.all_know(2)).await;
    for sleeper in &boxes {
        let serves = |_: &Fleet| sleeper.node.is_ready() && count_heads(&sleeper.node) == 2;
        fleet.wait("it takes callers and knows where requests go", serves).await;
    }
    (fleet, boxes)
}

async fn pause(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn assert_served(answer: &Answer) {
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
}

#[tokio::test]
async fn a_request_whose_time_is_over_when_the_box_wakes_is_answered_at_once() {
    let (fleet, boxes) = serving(1).await;
    for runner in &fleet.plain {
        runner.set_fault(Fault::Mute);
    }
    let begun = Instant::now();
    let sleep = async {
        fleet.wait("it runs", |fleet| fleet.count_runs("r1") == 1).await;
        boxes[0].suspend(3.0);
    };
    let (answer, ()) = tokio::join!(ask_waiting(boxes[0].callers, ONCE, "r1", KEY, 2500), sleep);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 504, "{answer:?}");
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(3) + 2 * WAKES, "it was answered after {took:?}");
}

#[tokio::test]
async fn a_request_whose_time_is_over_is_not_sent_to_another_runner() {
    let (fleet, boxes) = serving(1).await;
    for runner in &fleet.plain {
        runner.set_fault(Fault::Mute);
    }
    let sleep = async {
        fleet.wait("it runs", |fleet| fleet.count_runs("r1") == 1).await;
        boxes[0].suspend(2.0);
        pause(0.5).await;
        // The runner ends meanwhile: the node finds its try broken off when it wakes.
        for runner in fleet.plain.iter().filter(|runner| !runner.seen().is_empty()) {
            runner.crash();
        }
    };
    let (answer, ()) = tokio::join!(ask_waiting(boxes[0].callers, READ, "r1", KEY, 1500), sleep);
    assert_eq!(answer.unwrap().status, 504);
    pause(0.3).await;
    assert_eq!(fleet.count_runs("r1"), 1);
}

#[tokio::test]
async fn a_key_that_was_taken_away_during_a_sleep_opens_nothing_after_it() {
    let (fleet, boxes) = serving(1).await;
    assert_served(&ask(boxes[0].callers, READ, "r0", KEY).await.unwrap());
    boxes[0].suspend(6.5);
    pause(0.3).await;
    fleet.store.configure(&config(2, &["key-2"]));
    // More than the bound on taken keys later; the node finds the request when it wakes.
    pause(5.7).await;
    let answer = ask(boxes[0].callers, READ, "r1", KEY).await.unwrap();
    assert!([401, 503].contains(&answer.status), "{answer:?}");
    assert_eq!(fleet.count_runs("r1"), 0);
    fleet.wait("it knows the new key", |_| boxes[0].node.is_ready()).await;
    assert_served(&ask(boxes[0].callers, READ, "r2", "key-2").await.unwrap());
}

#[tokio::test]
async fn a_node_that_wakes_does_not_deny_what_it_may_have_missed() {
    let (fleet, boxes) = serving(1).await;
    boxes[0].suspend(5.0);
    pause(0.3).await;
    fleet.store.configure(&config(2, &[KEY, "key-2"]));
    pause(4.5).await;
    let (key, route) = tokio::join!(
        ask(boxes[0].callers, READ, "r1", "key-2"),
        ask(boxes[0].callers, "/not-known-yet/", "r2", KEY)
    );
    for answer in [key.unwrap(), route.unwrap()] {
        assert!(answer.status == 503 || answer.status == 200, "{answer:?}");
    }
}

#[tokio::test]
async fn one_node_decides_whoever_is_suspended_and_for_however_long() {
    let (fleet, boxes) = serving(3).await;
    for seconds in [0.3, 0.3, 2.5] {
        let Some(decider) = boxes.iter().position(|sleeper| sleeper.node.is_deciding()) else {
            // The node that is never suspended decides: nothing is to be seen.
            break;
        };
        boxes[decider].suspend(seconds);
        pause(seconds).await;
        tokio::time::sleep(WAKES).await;
        let deciding = |sleeper: &&Sleeper| sleeper.node.is_deciding();
        let count = boxes.iter().filter(deciding).count() + usize::from(fleet.nodes[0].node.is_deciding());
        assert!(count <= 1, "{count} nodes decide after {seconds} s");
    }
    fleet
        .wait("somebody decides", |fleet| {
            fleet.nodes[0].node.is_deciding() || boxes.iter().any(|sleeper| sleeper.node.is_deciding())
        })
        .await;
    fleet.wait("two groups serve", |fleet| fleet.all_know(2) && fleet.heads().len() == 2).await;
    // A runner that stands by is told to load again by each node that begins to decide.
    let joins = |fleet: &Fleet| -> Vec<(String, u64)> {
        let all = fleet.engines.iter().flat_map(|engine| engine.history());
        let all = all.filter(|join| join.members.len() > 1);
        all.map(|join| (join.group, join.epoch)).collect()
    };
    let before = joins(&fleet);
    pause(1.0).await;
    assert_eq!(joins(&fleet), before, "no late order takes a group apart");
}

#[tokio::test]
async fn a_stream_goes_on_where_the_box_wakes_in_its_middle() {
    let (fleet, boxes) = serving(1).await;
    for engine in &fleet.engines {
        engine.set_pace(Millis(150));
    }
    for seconds in [0.3, 2.0] {
        let request = format!("r-{seconds}");
        let sleep = async {
            fleet.wait("it runs", |fleet| fleet.count_runs(&request) == 1).await;
            pause(0.2).await;
            boxes[0].suspend(seconds);
        };
        let (answer, ()) = tokio::join!(ask(boxes[0].callers, STREAM, &request, KEY), sleep);
        assert_served(&answer.unwrap());
        assert_eq!(fleet.count_runs(&request), 1, "it did not run a second time");
    }
}

#[tokio::test]
async fn half_of_a_hall_asleep_again_and_again_holds_nobody_up_elsewhere() {
    let (fleet, boxes) = serving(3).await;
    for turn in 0..4 {
        boxes[turn % 3].suspend(0.8);
        boxes[(turn + 1) % 3].suspend(0.8);
        let awake = boxes[(turn + 2) % 3].callers;
        for number in 0..3 {
            let begun = Instant::now();
            assert_served(&ask(awake, STREAM, &format!("s-{turn}-{number}"), KEY).await.unwrap());
            assert_served(&ask(awake, READ, &format!("p-{turn}-{number}"), KEY).await.unwrap());
            assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
        }
        pause(0.3).await;
    }
    for (number, sleeper) in boxes.iter().enumerate() {
        assert_served(&ask(sleeper.callers, STREAM, &format!("end-{number}"), KEY).await.unwrap());
    }
    assert_served(&fleet.ask(STREAM, "end").await);
}
