//! The rate of log lines is bounded, warnings keep a quota of their own during a flood of info lines, the
//! last lines before an exit are written, and a blocked output blocks no caller. A message makes one line of bounded
//! length, whatever text of another writer it holds.

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_node::log::{Queue, Quota};
use cottoncrank_platform_standin::foreign::STRANGE_NAMES;
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

/// An output that keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the lines that these messages make, without their time and level.
fn write_all(messages: &[String]) -> Vec<String> {
    let kept = Kept::default();
    let queue = Queue::start(kept.clone()).unwrap();
    for message in messages {
        write(&queue, message);
    }
    queue.flush().unwrap();
    let written = kept.0.lock();
    let lines = std::str::from_utf8(&written).unwrap().split_terminator('\n');
    lines.map(|line| line.get(30..).unwrap_or(line).to_owned()).collect()
}

/// The texts of other writers that a message may hold: keys, and parts of values.
fn list_strange_messages() -> Vec<String> {
    let forged = "a\n2026-12-08T02:21:24.900 INFO  node: ready for the first time, 0 ms after its start";
    let names = STRANGE_NAMES.into_iter().chain([
        forged,
        "a\rstore: read whole",
        "\u{1b}[2K\u{1b}[1Gnode: stops",
        "\0",
        "\u{7f}\u{85}\u{9b}2K",
        "a\u{2028}b\u{2029}c",
        "\u{202e}detouor si gnihtyreve",
        "\u{2066}a\u{2069}\u{200f}\u{feff}",
    ]);
    names.map(|name| format!("store: `{name}` (foreign) is not used")).collect()
}

#[test]
fn a_message_makes_one_line_whatever_it_holds() {
    let messages = list_strange_messages();
    let lines = write_all(&messages);
    assert_eq!(lines.len(), messages.len(), "lines for as many messages: {lines:#?}");
    for line in &lines {
        assert!(line.starts_with("store: `") && line.ends_with("is not used"), "{line:?}");
        let moves = |c: char| c.is_control() || ('\u{200b}'..='\u{206f}').contains(&c) || c == '\u{feff}';
        assert!(!line.contains(moves), "moves on a screen: {line:?}");
    }
    let distinct: BTreeSet<&String> = lines.iter().collect();
    assert_eq!(distinct.len(), lines.len(), "two messages make the same line");
}

#[test]
fn a_long_message_is_cut_and_says_how_long_it_was() {
    let long = "\n".repeat(64 << 10);
    let lines = write_all(&[format!("store: unknown variant `{long}`"), "node: stops".to_owned()]);
    assert_eq!(lines.len(), 2);
    assert!(lines[0].len() < 4200, "{} bytes", lines[0].len());
    assert!(
        lines[0].starts_with("store: unknown variant `\\n") && lines[0].contains("65561"),
        "{}",
        &lines[0][4000..]
    );
    assert_eq!(lines[1], "node: stops");
}
