//! Whether the fleet serves again once all faults are over.

use std::time::{Duration, Instant};

use crate::check::{Breach, Record};
use crate::load::Call;
use crate::partition::Count;

/// The time after the return of everything within which service is back.
pub const RECOVERY: Duration = Duration::from_millis(12_000);

/// The part of the requests that a fleet serves which is in service.
pub(crate) const MIN_SHARE: f64 = 0.25;

/// Returns the breach if a fleet that served before its last fault does not serve again in time.
///
/// Counted are requests on new connections: they come whatever became of those before. A caller that keeps
/// its connection asks again as soon as it was refused, and one refusal gives many.
pub(crate) fn check_recovery(record: &Record) -> Option<Breach> {
    let (before, after) = count_service(record)?;
    let is_down = after.sent > 0 && after.share() < MIN_SHARE;
    (is_down && before.share() >= MIN_SHARE).then_some(Breach::Recovery(before, after))
}

/// Counts what was served before the last fault, and from when service was to be back.
pub(crate) fn count_service(record: &Record) -> Option<(Count, Count)> {
    let recovered = record.back? + RECOVERY;
    let last = record.troubles.iter().map(|trouble| trouble.from).max()?;
    Some((count(record, |sent| sent < last), count(record, |sent| sent > recovered)))
}

fn count(record: &Record, is_counted: impl Fn(Instant) -> bool) -> Count {
    let has_key = |call: &&Call| {
        let taken = record.revoked.get(call.key).copied().flatten();
        taken.is_none_or(|taken| taken > call.done)
    };
    let calls = record.calls.iter().filter(|call| call.is_new && is_counted(call.sent));
    calls.filter(has_key).collect()
}
