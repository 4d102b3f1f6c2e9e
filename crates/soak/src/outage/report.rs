//! What came of an outage, counted from when requests were sent.

use std::fmt;
use std::time::{Duration, Instant};

use crate::check::Breach;
use crate::partition::Count;
use crate::recovery::{MIN_SHARE, RECOVERY};

/// How long requests are sent on after service is to be back.
pub(super) const RECOVERED: Duration = Duration::from_secs(6);

/// Requests are answered within this, so that those sent before were not cut by the outage.
const ANSWERED: Duration = Duration::from_secs(2);

/// Service is counted for spans of this length.
pub(super) const SPAN: Duration = Duration::from_millis(500);

/// A request, by when it was sent, and whether it was served.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) sent: Instant,
    pub(super) served: bool,
}

/// What came of an outage.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was served before it.
    pub before: Count,
    /// What was served of what was sent later than [`RECOVERY`] after the return.
    pub after: Count,
    /// What was served of what was sent in each [`SPAN`] after the return.
    pub spans: Vec<Count>,
    /// How long after its acceptance each node served by a new configuration, if one was written.
    pub applied: Vec<Option<Duration>>,
    /// Promises to runners that were broken.
    pub breaches: Vec<Breach>,
}

impl Report {
    /// Counts the requests of a fleet that was lost and has returned at these moments.
    pub(super) fn new(calls: &[Call], lost: Instant, returned: Instant, breaches: Vec<Breach>) -> Report {
        Report {
            applied: Vec::new(),
            before: count(calls, |sent| sent + ANSWERED < lost),
            after: count(calls, |sent| sent > returned + RECOVERY),
            spans: count_spans(calls, returned),
            breaches,
        }
    }

    /// Returns how long after the return the fleet served a quarter for the first time.
    pub fn find_first(&self) -> Option<Duration> {
        self.spans.iter().position(is_service).map(|at| SPAN * at as u32)
    }

    /// Returns from when after the return on the fleet served a quarter in each span.
    pub fn find_for_good(&self) -> Option<Duration> {
        let down = self.spans.iter().rposition(|span| !is_service(span));
        let from = down.map_or(0, |at| at + 1);
        (from < self.spans.len()).then(|| SPAN * from as u32)
    }

    /// Whether a fleet that served before serves in time after its return.
    pub fn recovers(&self) -> bool {
        !is_service(&self.before) || is_service(&self.after)
    }
}

fn is_service(count: &Count) -> bool {
    count.sent == 0 || count.share() >= MIN_SHARE
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let share = |count: &Count| if count.sent == 0 { 1.0 } else { count.share() };
        let at = |found: Option<Duration>| {
            found.map_or("never".to_owned(), |at| format!("{:.1}s", at.as_secs_f64()))
        };
        let margin =
            self.find_for_good().map_or(f64::NEG_INFINITY, |at| RECOVERY.as_secs_f64() - at.as_secs_f64());
        write!(
            f,
            "{}: served {:.2} before, {:.2} of {} sent later than {}s; a quarter first after {}, for good after {} (margin {margin:.1}s); spans",
            if self.recovers() { "RECOVERS" } else { "DOES NOT RECOVER" },
            share(&self.before),
            share(&self.after),
            self.after.sent,
            RECOVERY.as_secs(),
            at(self.find_first()),
            at(self.find_for_good()),
        )?;
        self.spans.iter().try_for_each(|span| write!(f, " {:.2}", share(span)))?;
        if self.applied.is_empty() {
            return Ok(());
        }
        write!(f, "; a new configuration in force after")?;
        self.applied.iter().try_for_each(|found| write!(f, " {}", at(*found)))
    }
}

fn count(calls: &[Call], is_counted: impl Fn(Instant) -> bool) -> Count {
    let counted = calls.iter().filter(|call| is_counted(call.sent));
    counted.fold(Count::default(), |count, call| Count {
        sent: count.sent + 1,
        served: count.served + usize::from(call.served),
    })
}

fn count_spans(calls: &[Call], returned: Instant) -> Vec<Count> {
    let spans = (RECOVERY + RECOVERED).as_millis() / SPAN.as_millis();
    let span = |at: u32| returned + SPAN * at..returned + SPAN * (at + 1);
    (0..spans as u32).map(|at| count(calls, |sent| span(at).contains(&sent))).collect()
}
