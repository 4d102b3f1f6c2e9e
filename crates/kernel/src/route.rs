//! Picking a group for a request.
//!
//! Every node sees the same lagged report of a group's load and knows exactly
//! what it sent itself since. Picking the least loaded by report makes all
//! nodes choose alike; two random choices weighed by report and own work do not.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::registry::{Part, Plugin};

/// The ways to pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// Any group.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least loaded by report and own work.
    LeastLoaded,
    /// The less loaded of two random ones.
    TwoChoices,
}

inventory::submit! {
    Plugin { name: "random", about: "any group that is open", part: Part::Route(Policy::Random) }
}
inventory::submit! {
    Plugin { name: "round-robin", about: "one open group after the other", part: Part::Route(Policy::RoundRobin) }
}
inventory::submit! {
    Plugin { name: "least-loaded", about: "least reported and own work", part: Part::Route(Policy::LeastLoaded) }
}
inventory::submit! {
    Plugin { name: "two-choices", about: "the better of two random groups", part: Part::Route(Policy::TwoChoices) }
}

/// A group that may be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Tokens still to generate, as last reported.
    pub reported: u64,
    /// Tokens that this node has sent and not got back.
    pub outstanding: u64,
    /// Whether it lies in this hall.
    pub near: bool,
}

/// A group in another hall has to be better by this many tokens.
pub const REMOTE_HALL_PENALTY: u64 = 2000;

impl Candidate {
    fn cost(&self) -> u64 {
        self.reported.max(self.outstanding) + if self.near { 0 } else { REMOTE_HALL_PENALTY }
    }
}

/// Picks one of `candidates`; none only if there are none. `pick_count` counts the picks.
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
