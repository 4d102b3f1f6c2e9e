//! Suspended boxes: wall-clock time passes while timers stand still.
//!
//! Each node runs in a thread of its own, which blocks while the clock of its timers is paused.
//! Unlike on a suspended box, the kernel's monotonic clock runs on, so the node logs `held up`
//! instead of `suspended`, and the kernel keeps answering the connections of the box.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{COLD_RATE, Fleet, KEY, count_heads, start_node};
use cottoncrank::Millis;
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{Answer, send_request, send_request_within};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config, set_cold_start};
use cottoncrank_platform_standin::runner::{Fault, Runner};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

/// Bound on the time until a resumed node detects its suspension and acts on it.
const RESUME_BOUND: Duration = Duration::from_millis(400);

/// How long runners are cold.
const COLD_TIME: Millis = Millis(30_000);

/// A command to the thread of a node.
enum Command {
    Suspend(Duration),
    Stop,
}

/// A node whose box can be suspended.
struct SuspendableNode {
    node: Arc<Node>,
    callers: SocketAddr,
    commands: UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// Blocks the thread for `span`, so that no task runs and no timer advances.
fn block_thread(span: Duration) {
    tokio::time::pause();
    let (_sender, receiver) = sync_channel::<()>(0);
    // Nothing is ever sent, so this always times out.
    let _ = receiver.recv_timeout(span);
    tokio::time::resume();
}

impl SuspendableNode {
    fn start(store: SocketAddr, number: usize, hall: &'static str) -> SuspendableNode {
        let (commands, mut received) = unbounded_channel();
        let (started, running) = sync_channel(1);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let running = start_node(store, number, hall).await;
                started.send((running.node.clone(), running.callers)).unwrap();
                while let Some(Command::Suspend(span)) = received.recv().await {
                    block_thread(span);
                }
            });
        });
        let (node, callers) = running.recv().unwrap();
        SuspendableNode { node, callers, commands, thread: Some(thread) }
    }

    /// Suspends the box for `seconds`, starting now.
    fn suspend(&self, seconds: f64) {
        assert!(self.commands.send(Command::Suspend(Duration::from_secs_f64(seconds))).is_ok());
    }
}

impl Drop for SuspendableNode {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a configured, serving fleet with this number of suspendable nodes.
async fn start_serving(nodes: usize) -> (Fleet, Vec<SuspendableNode>) {
    let mut fleet = Fleet::unconfigured(0).await;
    let boxes: Vec<SuspendableNode> =
        (0..nodes).map(|number| SuspendableNode::start(fleet.store.address(), number, "hall-a")).collect();
    // This node is never suspended; the test reads the time from it.
    fleet.add_node().await;
    fleet.store.configure(&config(1, &[KEY]));
    fleet.wait("two groups serve", |fleet| fleet.all_know(2)).await;
    for suspendable in &boxes {
        let serves = |_: &Fleet| suspendable.node.is_ready() && count_heads(&suspendable.node) == 2;
        fleet.wait("the node is ready and knows both groups", serves).await;
    }
    (fleet, boxes)
}

/// Starts a serving fleet whose nodes can all be suspended, and whose services have cold starts. No runner
/// is cold.
async fn start_serving_cold(nodes: usize) -> (Fleet, Vec<SuspendableNode>) {
    let fleet = Fleet::unconfigured(0).await;
    let boxes: Vec<SuspendableNode> =
        (0..nodes).map(|number| SuspendableNode::start(fleet.store.address(), number, "hall-a")).collect();
    fleet.store.configure(&config(1, &[KEY]));
    let serves =
        |suspendable: &SuspendableNode| suspendable.node.is_ready() && count_heads(&suspendable.node) == 2;
    wait_for("the fleet serves", || boxes.iter().all(serves)).await;
    wait_for("a node decides", || boxes.iter().any(|suspendable| suspendable.node.is_deciding())).await;
    let mut with_cold_starts = config(2, &[KEY]);
    set_cold_start(&mut with_cold_starts, COLD_TIME.duration().as_secs_f64(), COLD_RATE);
    fleet.store.configure(&with_cold_starts);
    let knows = |suspendable: &SuspendableNode| {
        suspendable.node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == 2)
    };
    wait_for("all know the cold starts", || boxes.iter().all(knows)).await;
    (fleet, boxes)
}

/// Waits until `holds` returns true, and panics with `what` after ten seconds.
async fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        sleep_seconds(0.02).await;
    }
}

async fn sleep_seconds(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

fn assert_served(answer: &Answer) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

#[tokio::test]
async fn a_request_past_its_deadline_is_answered_as_soon_as_the_box_resumes() {
    let (fleet, boxes) = start_serving(1).await;
    for runner in &fleet.plain {
        runner.set_fault(Fault::NoAnswer);
    }
    let started = Instant::now();
    let suspension = async {
        fleet.wait("the request runs", |fleet| fleet.count_runs("r1") == 1).await;
        boxes[0].suspend(3.0);
    };
    let (answer, ()) = tokio::join!(send_request_within(boxes[0].callers, ONCE, "r1", KEY, 2500), suspension);
    let answer = answer.unwrap();
    assert_eq!(answer.status, 504, "{answer:?}");
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(3) + 2 * RESUME_BOUND, "answered after {elapsed:?}");
}

#[tokio::test]
async fn a_request_past_its_deadline_is_not_retried_on_another_runner() {
    let (fleet, boxes) = start_serving(1).await;
    for runner in &fleet.plain {
        runner.set_fault(Fault::NoAnswer);
    }
    let suspension = async {
        fleet.wait("the request runs", |fleet| fleet.count_runs("r1") == 1).await;
        boxes[0].suspend(2.0);
        sleep_seconds(0.5).await;
        // The runner crashes during the suspension, so the node finds its attempt failed on resuming.
        for runner in fleet.plain.iter().filter(|runner| !runner.requests().is_empty()) {
            runner.crash();
        }
    };
    let (answer, ()) = tokio::join!(send_request_within(boxes[0].callers, READ, "r1", KEY, 1500), suspension);
    assert_eq!(answer.unwrap().status, 504);
    sleep_seconds(0.3).await;
    assert_eq!(fleet.count_runs("r1"), 1);
}

#[tokio::test]
async fn a_key_revoked_during_a_suspension_is_refused_after_it() {
    let (fleet, boxes) = start_serving(1).await;
    assert_served(&send_request(boxes[0].callers, READ, "r0", KEY).await.unwrap());
    boxes[0].suspend(6.5);
    sleep_seconds(0.3).await;
    fleet.store.configure(&config(2, &["key-2"]));
    // This exceeds the bound on revoked keys. The node finds the request on resuming.
    sleep_seconds(5.7).await;
    let answer = send_request(boxes[0].callers, READ, "r1", KEY).await.unwrap();
    assert!([401, 503].contains(&answer.status), "{answer:?}");
    assert_eq!(fleet.count_runs("r1"), 0);
    fleet.wait("the node knows the new key", |_| boxes[0].node.is_ready()).await;
    assert_served(&send_request(boxes[0].callers, READ, "r2", "key-2").await.unwrap());
}

#[tokio::test]
async fn a_resumed_node_does_not_deny_keys_and_routes_it_may_have_missed() {
    let (fleet, boxes) = start_serving(1).await;
    boxes[0].suspend(5.0);
    sleep_seconds(0.3).await;
    fleet.store.configure(&config(2, &[KEY, "key-2"]));
    sleep_seconds(4.5).await;
    let (key, route) = tokio::join!(
        send_request(boxes[0].callers, READ, "r1", "key-2"),
        send_request(boxes[0].callers, "/not-known-yet/", "r2", KEY)
    );
    for answer in [key.unwrap(), route.unwrap()] {
        assert!(answer.status == 503 || answer.status == 200, "{answer:?}");
    }
}

#[tokio::test]
async fn at_most_one_node_decides_whichever_node_is_suspended_and_for_how_long() {
    let (fleet, boxes) = start_serving(3).await;
    for seconds in [0.3, 0.3, 2.5] {
        let Some(decider) = boxes.iter().position(|suspendable| suspendable.node.is_deciding()) else {
            // The decider is the node that is never suspended, so there is nothing to test.
            break;
        };
        boxes[decider].suspend(seconds);
        sleep_seconds(seconds).await;
        tokio::time::sleep(RESUME_BOUND).await;
        let is_deciding = |suspendable: &&SuspendableNode| suspendable.node.is_deciding();
        let count = boxes.iter().filter(is_deciding).count() + usize::from(fleet.nodes[0].node.is_deciding());
        assert!(count <= 1, "{count} nodes decide after {seconds} s");
    }
    fleet
        .wait("a node decides", |fleet| {
            fleet.nodes[0].node.is_deciding()
                || boxes.iter().any(|suspendable| suspendable.node.is_deciding())
        })
        .await;
    fleet.wait("two groups serve", |fleet| fleet.all_know(2) && fleet.heads().len() == 2).await;
    // Joins of one member are left out: each new decider orders an idle runner to load again.
    let list_joins = |fleet: &Fleet| -> Vec<(String, u64)> {
        let all = fleet.engines.iter().flat_map(|engine| engine.joins());
        let all = all.filter(|join| join.members.len() > 1);
        all.map(|join| (join.group, join.epoch)).collect()
    };
    let before = list_joins(&fleet);
    sleep_seconds(1.0).await;
    assert_eq!(list_joins(&fleet), before, "a late order has broken up a group");
}

#[tokio::test]
async fn a_stream_continues_when_the_box_is_suspended_in_the_middle_of_it() {
    let (fleet, boxes) = start_serving(1).await;
    for engine in &fleet.engines {
        engine.set_event_interval(Millis(150));
    }
    for seconds in [0.3, 2.0] {
        let request = format!("r-{seconds}");
        let suspension = async {
            fleet.wait("the request runs", |fleet| fleet.count_runs(&request) == 1).await;
            sleep_seconds(0.2).await;
            boxes[0].suspend(seconds);
        };
        let (answer, ()) = tokio::join!(send_request(boxes[0].callers, STREAM, &request, KEY), suspension);
        assert_served(&answer.unwrap());
        assert_eq!(fleet.count_runs(&request), 1, "the request ran a second time");
    }
}

/// Sends 60 requests to a node that is suspended beside the one that it polls, once `meanwhile` has
/// happened. Returns the answers, and how long they took from just before the box resumes.
async fn ask_while_resuming(boxes: &[SuspendableNode], meanwhile: impl FnOnce()) -> (Vec<Answer>, Duration) {
    let decider = boxes.iter().position(|suspendable| suspendable.node.is_deciding()).unwrap();
    let other = &boxes[1 - decider];
    boxes[decider].suspend(4.5);
    other.suspend(2.0);
    sleep_seconds(0.3).await;
    meanwhile();
    sleep_seconds(1.6).await;
    let (callers, started) = (other.callers, Instant::now());
    let mut asking = JoinSet::new();
    for number in 0..60 {
        asking.spawn(async move { send_request(callers, READ, &format!("r-{number}"), KEY).await.unwrap() });
    }
    (asking.join_all().await, started.elapsed())
}

/// A resumed node polled one that was suspended too, and sent without the rate of runners that had become
/// cold meanwhile until it heard of that.
#[tokio::test]
async fn a_resumed_node_keeps_to_the_rate_of_runners_that_became_cold_meanwhile() {
    let (fleet, boxes) = start_serving_cold(2).await;
    let restart = |runner: &Runner| {
        runner.set_cold(COLD_TIME);
        runner.restart();
    };
    let (_, took) = ask_while_resuming(&boxes, || fleet.plain.iter().for_each(restart)).await;
    let bound = 1.5 * COLD_RATE * took.as_secs_f64().max(1.0) + 5.0;
    let received: Vec<usize> = fleet.plain.iter().map(|runner| runner.requests().len()).collect();
    assert!(received.iter().all(|count| *count as f64 <= bound), "{received:?}, at most {bound:.1} each");
}

/// Keeping to that rate before it has heard would cost the callers of a node where nobody became cold.
#[tokio::test]
async fn a_resumed_node_serves_all_callers_where_no_runner_became_cold() {
    let (_fleet, boxes) = start_serving_cold(2).await;
    let (answers, took) = ask_while_resuming(&boxes, || ()).await;
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(served, answers.len(), "{answers:?}");
    assert!(took < Duration::from_millis(100) + 2 * RESUME_BOUND, "{took:?}");
}

#[tokio::test]
async fn repeated_suspension_of_half_a_hall_does_not_delay_the_other_nodes() {
    let (fleet, boxes) = start_serving(3).await;
    for turn in 0..4 {
        boxes[turn % 3].suspend(0.8);
        boxes[(turn + 1) % 3].suspend(0.8);
        let active = boxes[(turn + 2) % 3].callers;
        for number in 0..3 {
            let started = Instant::now();
            assert_served(&send_request(active, STREAM, &format!("s-{turn}-{number}"), KEY).await.unwrap());
            assert_served(&send_request(active, READ, &format!("p-{turn}-{number}"), KEY).await.unwrap());
            assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        }
        sleep_seconds(0.3).await;
    }
    for (number, suspendable) in boxes.iter().enumerate() {
        assert_served(
            &send_request(suspendable.callers, STREAM, &format!("end-{number}"), KEY).await.unwrap(),
        );
    }
    assert_served(&fleet.ask(STREAM, "end").await);
}
