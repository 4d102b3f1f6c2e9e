//! The log of a node: lines on standard output, bounded and never waited for.
//!
//! A line is put into a queue and written by a thread of its own. When the queue
//! is full, or more lines come in a second than allowed, lines are left out and
//! counted; notices go first, warnings and errors last.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use cottoncrank::clock::System;
use cottoncrank::{Clock, Millis};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::{Level, Record};
use parking_lot::Mutex;

/// Lines that wait to be written: a second's worth at the allowed rate.
const QUEUE_LINES: usize = 512;

/// How long the end of the process waits for the last lines: an output that takes
/// them does so at once, and one that is blocked must not use up the grace.
const FLUSH_TIMEOUT: Millis = Millis(200);

/// Notices allowed in a second: several times what a node writes while much fails.
const MAX_NOTICES: u32 = 300;

/// Warnings and errors allowed in a second, beside the notices.
const MAX_WARNINGS: u32 = 200;

/// What is counted over a second.
#[derive(Default)]
struct Window {
    start: Millis,
    notices: u32,
    warnings: u32,
}

/// Lines allowed in each second.
#[derive(Default)]
pub struct Quota(Window);

impl Quota {
    /// Whether a line of this level may be written at `now`.
    pub fn allows(&mut self, level: Level, now: Millis) -> bool {
        if now >= self.0.start + Millis(1000) {
            self.0 = Window { start: now, ..Window::default() };
        }
        let (count, max) = match level {
            Level::Error | Level::Warn => (&mut self.0.warnings, MAX_WARNINGS),
            Level::Info | Level::Debug | Level::Trace => (&mut self.0.notices, MAX_NOTICES),
        };
        *count += 1;
        *count <= max
    }
}

/// What the writing thread gets.
enum Entry {
    /// A line.
    Line(Vec<u8>),
    /// All lines before are to be written, and this told.
    Flush(SyncSender<()>),
}

/// Takes lines, and leaves the writing to a thread.
pub struct Queue {
    lines: SyncSender<Entry>,
    quota: Mutex<Quota>,
    clock: System,
    dropped: AtomicU64,
}

/// Starts the log on standard output. `RUST_LOG` goes before the level given.
pub fn start(level: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    let queue = Queue::start(std::io::stdout())?;
    Logger::try_with_env_or_str(level)?.log_to_writer(Box::new(queue)).start()
}

/// Writes lines until the process ends. A line that cannot be written is lost:
/// there is nowhere else to say so.
fn write_lines(entries: &Receiver<Entry>, mut out: impl Write) {
    while let Ok(first) = entries.recv() {
        let mut bytes = Vec::new();
        let mut flushes = Vec::new();
        for entry in std::iter::once(first).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => bytes.extend_from_slice(&line),
                Entry::Flush(done) => flushes.push(done),
            }
        }
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        for done in flushes {
            // Whoever waited may have given up.
            let _ = done.try_send(());
        }
    }
}

impl Queue {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Queue> {
        let (lines, entries) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&entries, out))?;
        Ok(Queue { lines, quota: Mutex::default(), clock: System::new(), dropped: AtomicU64::new(0) })
    }

    fn push(&self, line: Vec<u8>) {
        match self.lines.try_send(Entry::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.count_dropped(),
        }
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("cottoncrank_log_lines_left_out").increment(1);
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        if !self.quota.lock().allows(record.level(), self.clock.now()) {
            self.count_dropped();
            return Ok(());
        }
        let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.push(format!("{time} WARN  log: {dropped} lines were left out\n").into_bytes());
        }
        self.push(format!("{time} {:5} {}\n", record.level(), record.args()).into_bytes());
        Ok(())
    }

    /// Waits until what was logged so far is written, for [`FLUSH_TIMEOUT`] at most: the
    /// process is about to end, and the thread ends with it.
    fn flush(&self) -> std::io::Result<()> {
        let (done, done_receiver) = sync_channel(1);
        let sent = self.lines.try_send(Entry::Flush(done));
        match sent.is_ok() && done_receiver.recv_timeout(FLUSH_TIMEOUT.duration()).is_ok() {
            true => Ok(()),
            false => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
