//! A process that loses one of its tasks, and goes on without it.
//!
//! The failure: a task that panicked was gone for the life of the process, which stayed ready.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::process::NodeProcess;
use common::{Fleet, KEY};
use cottoncrank::Millis;
use cottoncrank_node::supervise::{Lifetime, Turns, Watch, keep_running};
use cottoncrank_platform_standin::caller::send_request;
use cottoncrank_platform_standin::operator::{STREAM, config};
use parking_lot::Mutex;
use rustix::process::Signal;
use serde_json::json;

/// The time within which service has to come back.
const RECOVERY: Duration = Duration::from_secs(12);

/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(200);

/// How long an invalid configuration is in the store.
const INVALID_TIME: Duration = Duration::from_secs(3);

/// Waits until a stream is served, and returns whether that was so within the bound.
async fn is_served_in_time(node: &NodeProcess) -> bool {
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed() < RECOVERY {
        count += 1;
        let answer = send_request(node.settings.callers, STREAM, &format!("r-{count}"), KEY).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        tokio::time::sleep(INTERVAL).await;
    }
    false
}

/// Guards against a fleet without a decider after a configuration that names a model of no runners.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn groups_are_formed_once_a_model_of_no_runners_is_corrected() {
    let fleet = Fleet::unconfigured(0).await;
    let mut invalid = config(1, &[KEY]);
    invalid["services"][0]["engine"]["models"][0]["size"] = json!(0);
    fleet.store.configure(&invalid);
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    tokio::time::sleep(INVALID_TIME).await;
    fleet.store.configure(&config(2, &[KEY]));
    assert!(is_served_in_time(&node).await, "no stream was served:\n{}", node.read_log());
}

/// Guards against a fleet of which a single model of no runners keeps all others from being planned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_model_of_no_runners_keeps_no_other_from_being_served() {
    let fleet = Fleet::unconfigured(0).await;
    let mut invalid = config(1, &[KEY]);
    let models = &mut invalid["services"][0]["engine"]["models"];
    let mut none = models[0].clone();
    (none["name"], none["size"], none["share"]) = (json!("m0"), json!(0), json!(0.0));
    models.as_array_mut().unwrap().push(none);
    fleet.store.configure(&invalid);
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    assert!(is_served_in_time(&node).await, "no stream was served:\n{}", node.read_log());
}

/// Counts how often a task is begun while it ends in the same way each time.
async fn count_begins(lifetime: Lifetime, end: fn()) -> usize {
    let begins = Arc::new(AtomicUsize::new(0));
    let counted = begins.clone();
    let kept = keep_running("test", lifetime, move || {
        let counted = counted.clone();
        async move {
            counted.fetch_add(1, Ordering::Relaxed);
            end();
        }
    });
    let _ = tokio::time::timeout(RECOVERY, kept).await;
    begins.load(Ordering::Relaxed)
}

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again_and_not_without_pause() {
    let begins = count_begins(Lifetime::Endless, || panic!("as the test wants it")).await;
    assert!((2..100).contains(&begins), "{begins}");
    let begins = count_begins(Lifetime::Bounded, || panic!("as the test wants it")).await;
    assert!((2..100).contains(&begins), "{begins}");
}

#[tokio::test(start_paused = true)]
async fn a_task_that_returns_is_started_again_unless_it_may() {
    let begins = count_begins(Lifetime::Endless, || {}).await;
    assert!((2..100).contains(&begins), "{begins}");
    assert_eq!(count_begins(Lifetime::Bounded, || {}).await, 1);
}

#[tokio::test]
async fn a_task_ends_with_what_keeps_it_running() {
    let alive = Arc::new(());
    let held = alive.clone();
    let kept = keep_running("test", Lifetime::Endless, move || {
        let held = held.clone();
        async move {
            std::future::pending::<()>().await;
            drop(held);
        }
    });
    // It runs until then.
    let _ = tokio::time::timeout(Duration::from_millis(50), kept).await;
    tokio::task::yield_now().await;
    assert_eq!(Arc::strong_count(&alive), 1);
}

/// The lines that this test program logged.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        self.0.lock().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn count_lines(text: &str) -> usize {
    LINES.0.lock().iter().filter(|line| line.contains(text)).count()
}

#[test]
fn a_thread_that_stands_still_is_told_by_another_one() {
    log::set_logger(&LINES).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let turns = Turns::default();
    let watch = Watch::start_with(turns.clone(), Millis(50)).unwrap();
    let pause = || std::thread::park_timeout(Duration::from_millis(10));
    let end = Instant::now() + RECOVERY;
    while count_lines("watch: no task has run") == 0 {
        assert!(Instant::now() < end, "nothing was logged");
        pause();
    }
    while count_lines("watch: tasks run again") == 0 {
        assert!(Instant::now() < end, "nothing was logged");
        turns.record();
        pause();
    }
    drop(watch);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_process_that_was_stopped_as_a_whole_did_not_stand_still() {
    let fleet = Fleet::unconfigured(0).await;
    fleet.store.configure(&config(1, &[KEY]));
    let node = NodeProcess::start(fleet.store.address(), 7).await;
    for _ in 0..3 {
        node.signal(Signal::STOP);
        tokio::time::sleep(INVALID_TIME).await;
        node.signal(Signal::CONT);
        tokio::time::sleep(INTERVAL).await;
    }
    assert!(!node.read_log().contains("watch:"), "{}", node.read_log());
    assert!(node.read_log().contains("held up for"), "{}", node.read_log());
}
