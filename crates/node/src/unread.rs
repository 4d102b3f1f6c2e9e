//! Counts and logs the new connections of callers that are closed unread.

use std::sync::atomic::{AtomicU64, Ordering};

use cottoncrank_fleet::overload::Moment;

use crate::state::Node;
use crate::telemetry;

/// Why a new connection is closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The processor is overloaded.
    Overload,
    /// All other connections of callers are being served.
    Room,
}

impl Reason {
    /// Returns the name as a metric label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Room => "room",
        }
    }
}

/// The connections closed so far, by reason.
#[derive(Debug, Default)]
pub(crate) struct ClosedUnread {
    overload: AtomicU64,
    room: AtomicU64,
}

/// The connections closed, as last logged.
#[derive(Default)]
pub(crate) struct UnreadLog {
    logged: Counts,
    at: Moment,
    is_closing: bool,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Counts {
    overload: u64,
    room: u64,
}

impl ClosedUnread {
    /// Counts one more.
    pub(crate) fn count(&self, reason: Reason) {
        telemetry::count_closed_unread(reason);
        let count = match reason {
            Reason::Overload => &self.overload,
            Reason::Room => &self.room,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    fn counts(&self) -> Counts {
        Counts { overload: self.overload.load(Ordering::Relaxed), room: self.room.load(Ordering::Relaxed) }
    }
}

impl UnreadLog {
    /// Logs how many connections were closed since the last call, and that no more are.
    pub(crate) fn update(&mut self, node: &Node) {
        let counts = node.closed_unread.counts();
        let before = std::mem::replace(&mut self.logged, counts);
        let at = node.read_moment();
        let last = std::mem::replace(&mut self.at, at);
        let delay = node.overload.lock().delay();
        if counts != before {
            let (overload, room) = (counts.overload - before.overload, counts.room - before.room);
            let (elapsed, used) = (at.now.since(last.now), at.used.since(last.used));
            let work = at.work.since(last.work);
            log::warn!(
                "front: closed unread {overload} new connections for overload and {room} for lack of room, the mean delay of tasks is {delay}, the process ran for {used} of {elapsed}, {work} of work at its share"
            );
        } else if self.is_closing {
            log::info!(
                "front: no new connections are closed unread any more, the mean delay of tasks is {delay}"
            );
        }
        self.is_closing = counts != before;
    }
}
