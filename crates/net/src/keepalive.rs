//! Finds out that the other side of a connection is gone without a word.
//!
//! A process that is paused and a box that has lost its power or its network look the same in a connection:
//! nothing arrives. But the kernel of the first answers keepalive probes, whatever its process does, and nothing
//! answers those of the second. So a connection that fails by them is no sign of silence but of loss.

use std::io;

use cottoncrank::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long nothing arrives before the first probe. The kernel counts whole seconds.
const IDLE_TIME: Millis = Millis(1000);

/// The time between two probes, and after the last one.
const PROBE_INTERVAL: Millis = Millis(1000);

/// The probes that have to go unanswered. A single one may be lost on the way.
const PROBES: u32 = 2;

/// The longest time after the last answer of the other side until a connection fails.
pub const LOSS_TIME: Millis = Millis(IDLE_TIME.0 + PROBES as u64 * PROBE_INTERVAL.0);

/// Lets a connection fail once the other side is gone.
pub fn enable(stream: &TcpStream) -> io::Result<()> {
    let probing = TcpKeepalive::new()
        .with_time(IDLE_TIME.duration())
        .with_interval(PROBE_INTERVAL.duration())
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probing)
}
