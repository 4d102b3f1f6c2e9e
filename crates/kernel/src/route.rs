//! Picks a group for a request.
//!
//! Every node sees the same delayed report of a group's load and knows exactly what
//! it has sent itself since. If all nodes picked the group with the least reported
//! load, they would all pick the same one. The better of two random choices, compared
//! by reported and local load, avoids that.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::registry::{Kind, Plugin};

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// Any group.
    Random,
    /// Each group in turn.
    RoundRobin,
    /// The group with the least reported and local load.
    LeastLoaded,
    /// The less loaded of two random groups.
    TwoChoices,
}

inventory::submit! {
    Plugin { name: "random", about: "any group that is open", kind: Kind::Route(Policy::Random) }
}
inventory::submit! {
    Plugin { name: "round-robin", about: "one open group after the other", kind: Kind::Route(Policy::RoundRobin) }
}
inventory::submit! {
    Plugin { name: "least-loaded", about: "least reported and own work", kind: Kind::Route(Policy::LeastLoaded) }
}
inventory::submit! {
    Plugin { name: "two-choices", about: "the better of two random groups", kind: Kind::Route(Policy::TwoChoices) }
}

/// A group that can be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Tokens still to generate, as last reported.
    pub reported: u64,
    /// Tokens that this node has requested and not received yet.
    pub outstanding: u64,
    /// Whether it is in this hall.
    pub near: bool,
}

/// The tokens by which a group in another hall must be less loaded to be preferred.
pub const REMOTE_HALL_PENALTY: u64 = 2000;

impl Candidate {
    fn cost(&self) -> u64 {
        self.reported.max(self.outstanding) + if self.near { 0 } else { REMOTE_HALL_PENALTY }
    }
}

/// Picks one of `candidates`; `None` only if it is empty. `pick_count` is the number of
/// earlier picks, which round robin uses.
pub fn pick_candidate(
    policy: Policy,
    candidates: &[Candidate],
    pick_count: u64,
    rng: &mut impl Rng,
) -> Option<usize> {
    let any = |rng: &mut _| Rng::random_range(rng, 0..candidates.len());
    match (policy, candidates.len()) {
        (_, 0) => None,
        (_, 1) => Some(0),
        (Policy::Random, _) => Some(any(rng)),
        (Policy::RoundRobin, len) => Some((pick_count % len as u64) as usize),
        (Policy::LeastLoaded, len) => (0..len).min_by_key(|at| candidates[*at].cost()),
        (Policy::TwoChoices, len) => {
            let first = any(rng);
            let second = (first + 1 + rng.random_range(0..len - 1)) % len;
            [first, second].into_iter().min_by_key(|at| candidates[*at].cost())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    fn candidate(reported: u64, near: bool) -> Candidate {
        Candidate { reported, outstanding: 0, near }
    }

    #[test]
    fn two_choices_never_picks_the_worst_of_three() {
        let candidates = [candidate(10, true), candidate(20, true), candidate(90, true)];
        let mut rng = SmallRng::seed_from_u64(1);
        let picks: Vec<_> =
            (0..100).map(|n| pick_candidate(Policy::TwoChoices, &candidates, n, &mut rng)).collect();
        assert!(!picks.contains(&Some(2)));
        assert!(picks.contains(&Some(1)), "it does not always pick the best either");
    }

    #[test]
    fn near_groups_go_first_until_they_are_much_busier() {
        let mut rng = SmallRng::seed_from_u64(1);
        let near = pick_candidate(
            Policy::LeastLoaded,
            &[candidate(0, false), candidate(REMOTE_HALL_PENALTY - 1, true)],
            0,
            &mut rng,
        );
        let far = pick_candidate(
            Policy::LeastLoaded,
            &[candidate(0, false), candidate(REMOTE_HALL_PENALTY + 1, true)],
            0,
            &mut rng,
        );
        assert_eq!((near, far), (Some(1), Some(0)));
    }
}
