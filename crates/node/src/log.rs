//! The log of a node: rate-limited, non-blocking lines on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, or the quota of
//! the current second is used up, lines are dropped and counted. Warnings and errors have a quota of their
//! own, so notices cannot displace them. A message makes one line of bounded length, whatever it holds.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use cottoncrank::clock::System;
use cottoncrank::line::Line;
use cottoncrank::{Clock, Millis};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::{Level, Record};
use parking_lot::Mutex;

/// The capacity of the queue: the lines of one second at the allowed rate.
const QUEUE_LINES: usize = 512;

/// How long the end of the process waits for the last lines. A working output takes them at once, and a
/// blocked one must not use up the grace period.
const FLUSH_TIMEOUT: Millis = Millis(200);

/// The notices allowed in a second: several times what a node writes while many requests fail.
const MAX_NOTICES: u32 = 300;

/// The warnings and errors allowed in a second, in addition to the notices.
const MAX_WARNINGS: u32 = 200;

/// The lines counted in one second.
#[derive(Default)]
struct Window {
    start: Millis,
    notices: u32,
    warnings: u32,
}

/// A limit on the lines of each second.
#[derive(Default)]
pub struct Quota(Window);

impl Quota {
    /// Counts a line of this level, and returns whether it may be written at `now`.
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

/// A message to the writing thread.
enum Entry {
    /// A line.
    Line(Vec<u8>),
    /// Write all lines before this one, then signal completion.
    Flush(SyncSender<()>),
}

/// A log writer that leaves the writing to a thread.
pub struct Queue {
    lines: SyncSender<Entry>,
    quota: Mutex<Quota>,
    clock: System,
    dropped: AtomicU64,
}

/// Starts the log on standard output. `RUST_LOG` takes precedence over `level`.
pub fn start(level: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    let queue = Queue::start(std::io::stdout())?;
    Logger::try_with_env_or_str(level)?.log_to_writer(Box::new(queue)).start()
}

/// Writes lines until the process ends. A line that cannot be written is lost, because there is nowhere
/// else to report it.
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
            // The receiver may have timed out.
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
            self.push(format!("{time} WARN  log: {dropped} lines were dropped\n").into_bytes());
        }
        self.push(format!("{time} {:5} {}\n", record.level(), Line::of(record.args())).into_bytes());
        Ok(())
    }

    /// Waits until all lines so far are written, for at most `FLUSH_TIMEOUT`. It is called before the
    /// process ends, because the writing thread ends with it.
    fn flush(&self) -> std::io::Result<()> {
        let (done, done_receiver) = sync_channel(1);
        let sent = self.lines.try_send(Entry::Flush(done));
        match sent.is_ok() && done_receiver.recv_timeout(FLUSH_TIMEOUT.duration()).is_ok() {
            true => Ok(()),
            false => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}
