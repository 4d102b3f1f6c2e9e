//! Watches the tasks that run as long as a node's process, and the thread that runs them.
//!
//! A task that panics takes a part of the node with it, and the rest would go on as if nothing had happened. So it
//! is started again, for the other tasks hold requests that a stop of the process would cost. Panics are logged
//! like all else: written by the thread that serves, they could block it.

use std::io;
use std::panic::{Location, PanicHookInfo};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};

use cottoncrank::Millis;
use tokio::task::{JoinError, JoinSet};

use crate::telemetry;

/// The pause before a task that ended is started again, at first. It doubles with each end.
const MIN_RESTART_DELAY: Millis = Millis(100);

/// The longest pause before a task is started again.
const MAX_RESTART_DELAY: Millis = Millis(2000);

/// A task that has run for this long is started again after the first pause.
const SOUND_TIME: Millis = Millis(10_000);

/// How often the thread that runs the tasks is looked at.
const WATCH_INTERVAL: Millis = Millis(1000);

/// The looks in a row between which no task ran, from which on the thread stands still. After a stop of the whole
/// process, the first look may come before the first task.
const STILL_LOOKS: u64 = 2;

/// Logs panics through the log, in place of writing them to standard error at once.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        telemetry::count_panic();
        log::error!("panic: {} at {}", read_message(info), format_place(info.location()));
    }));
}

fn read_message<'a>(info: &'a PanicHookInfo) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or("without a message")
}

fn format_place(location: Option<&Location>) -> String {
    location.map_or("an unknown place".to_owned(), ToString::to_string)
}

/// How a task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifetime {
    /// It runs until the process ends.
    Endless,
    /// It may return once it has done what it is for.
    Bounded,
}

/// Runs a task, and starts it again with `begin` whenever it ends and should not have. It ends when the returned
/// future is dropped.
pub async fn keep_running<F>(name: &'static str, lifetime: Lifetime, begin: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut delay = MIN_RESTART_DELAY;
    loop {
        let began = tokio::time::Instant::now();
        // The set ends its task when it is dropped.
        let mut running = JoinSet::new();
        running.spawn(begin());
        let end = running.join_next().await.unwrap_or(Ok(()));
        if lifetime == Lifetime::Bounded && end.is_ok() || end.as_ref().is_err_and(JoinError::is_cancelled) {
            return;
        }
        if began.elapsed() >= SOUND_TIME.duration() {
            delay = MIN_RESTART_DELAY;
        }
        let cause = if end.is_ok() { "returned" } else { "panicked" };
        telemetry::count_task_end(name, cause);
        log::error!("task: {name} {cause}; it is started again in {delay}");
        tokio::time::sleep(delay.duration()).await;
        delay = (delay + delay).min(MAX_RESTART_DELAY);
    }
}

/// Shows that the thread that runs the tasks goes on.
#[derive(Clone, Debug, Default)]
pub struct Turns(Arc<AtomicU64>);

impl Turns {
    /// Records that a task ran.
    pub fn record(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Logs when the thread that runs the tasks stands still, from a thread of its own. It ends when this is dropped.
pub struct Watch(#[allow(dead_code, reason = "held until it is dropped")] Sender<()>);

impl Watch {
    /// Begins to watch.
    pub fn start(turns: Turns) -> io::Result<Watch> {
        Watch::start_with(turns, WATCH_INTERVAL)
    }

    /// Begins to watch, with another interval.
    pub fn start_with(turns: Turns, interval: Millis) -> io::Result<Watch> {
        let (watch, ended) = channel();
        let builder = std::thread::Builder::new().name("watch".into()).stack_size(64 * 1024);
        builder.spawn(move || watch_turns(&turns, interval, &ended))?;
        Ok(Watch(watch))
    }
}

fn watch_turns(turns: &Turns, interval: Millis, ended: &Receiver<()>) {
    let (mut seen, mut looks) = (turns.count(), 0);
    while let Err(RecvTimeoutError::Timeout) = ended.recv_timeout(interval.duration()) {
        let before = std::mem::replace(&mut seen, turns.count());
        // Looks are counted, not time: a process that was stopped as a whole did not stand still.
        let still = Millis(interval.0 * looks);
        if seen != before {
            if looks >= STILL_LOOKS {
                log::warn!("watch: tasks run again, they stood still for {still} at least");
            }
            looks = 0;
            continue;
        }
        looks += 1;
        if looks >= STILL_LOOKS {
            log::error!("watch: no task has run for {}, callers get no answers", still + interval);
        }
    }
}
