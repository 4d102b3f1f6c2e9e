//! The rate of log lines is bounded, warnings keep a quota of their own during a flood of info lines, the
//! last lines before an exit are written, and a blocked output blocks no caller.

use std::io::Write;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_node::log::{Queue, Quota};
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::{Level, Record};
use parking_lot::Mutex;

#[test]
fn info_lines_are_limited_per_second_and_do_not_use_up_the_quota_of_warnings() {
    let mut quota = Quota::default();
    let now = Millis(5000);
    let infos = (0..10_000).filter(|_| quota.allows(Level::Info, now)).count();
    assert!((100..1000).contains(&infos), "{infos}");
    let warnings = (0..10_000).filter(|_| quota.allows(Level::Warn, now)).count();
    assert!((100..1000).contains(&warnings), "{warnings}");
    assert!(!quota.allows(Level::Info, now + Millis(999)));
    assert!(quota.allows(Level::Info, now + Millis(1000)));
}

fn write(queue: &Queue, line: &str) {
    let written = queue.write(
        &mut DeferredNow::new(),
        &Record::builder().level(Level::Info).args(format_args!("{line}")).build(),
    );
    written.unwrap();
}

/// An output that takes 50 ms for each write.
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (sender, never) = std::sync::mpsc::channel::<()>();
        let _ = never.recv_timeout(Millis(50).duration());
        drop(sender);
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_written_before_the_process_ends() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let queue = Queue::start(Slow(written.clone())).unwrap();
    for line in ["first", "second", "node: stops"] {
        write(&queue, line);
    }
    queue.flush().unwrap();
    assert!(String::from_utf8_lossy(&written.lock()).ends_with("node: stops\n"));
}

/// An output whose writes never return.
struct Blocked;

impl Write for Blocked {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_callers() {
    let queue = Queue::start(Blocked).unwrap();
    for number in 0..2000 {
        write(&queue, &format!("line {number}"));
    }
    assert!(queue.flush().is_err(), "flush of a blocked output times out");
}
