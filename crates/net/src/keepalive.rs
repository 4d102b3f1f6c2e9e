//! Lets the kernel end connections whose other side is gone without a word, or takes nothing any more.
//!
//! A process that is paused and a box that has lost its power or its network look the same in a connection:
//! nothing arrives. But the kernel of the first answers keepalive probes, whatever its process does, and nothing
//! answers those of the second. So a connection that fails by them is no sign of silence but of loss.

use std::io;
use std::os::fd::AsFd;

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

/// Lets a connection, or all that a listener accepts, fail once the other side has taken nothing of what was written for `timeout`, be it
/// gone or only not reading.
pub fn limit_unread(socket: &impl AsFd, timeout: Millis) -> io::Result<()> {
    SockRef::from(socket).set_tcp_user_timeout(Some(timeout.duration()))
}

/// Lets a connection fail once the other side is gone.
pub fn enable(stream: &TcpStream) -> io::Result<()> {
    let probing = TcpKeepalive::new()
        .with_time(IDLE_TIME.duration())
        .with_interval(PROBE_INTERVAL.duration())
        .with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probing)
}
