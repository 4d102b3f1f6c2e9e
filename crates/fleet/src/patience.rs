//! How long a runner that took a request may send nothing until it counts as silent.

use cottoncrank::Millis;

/// A runner is given at least this long for the begin of an answer. Sound ones that are busy need it too.
pub const MIN_PATIENCE: Millis = Millis(400);

/// Returns how long a runner may be silent under a request that has this much time left: half of it, so that another
/// runner can still answer, and `longest` at the most. Returns `None` if that is too short to say anything.
pub fn find_patience(left: Millis, longest: Millis) -> Option<Millis> {
    let half = Millis(left.0 / 2).min(longest);
    (half >= MIN_PATIENCE).then_some(half)
}
