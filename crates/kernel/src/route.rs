//! Picking a group for a request.
//!
//! Every node sees the same lagged report of a group's load and knows exactly
//! what it sent itself since. Picking the least loaded by report makes all
//! nodes choose alike; two random choices weighed by report and own work do not.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::registry::{Kind, Plugin};

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

/// A group that may be picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Tokens still to generate, as last reported.
    pub reported: u64,
    /// Tokens that this node has sent and not got back.
    pub own: u64,
    /// Whether it lies in this hall.
    pub near: bool,
}

/// A group in another hall has to be better by this many tokens.
pub const FAR_TOKENS: u64 = 2000;

impl Choice {
    fn cost(&self) -> u64 {
        self.reported.max(self.own) + if self.near { 0 } else { FAR_TOKENS }
    }
}

/// Picks one of `choices`; none only if there are none. `turn` counts the picks.
pub fn pick(policy: Policy, choices: &[Choice], turn: u64, rng: &mut impl Rng) -> Option<usize> {
    let any = |rng: &mut _| Rng::random_range(rng, 0..choices.len());
    match (policy, choices.len()) {
        (_, 0) => None,
        (_, 1) => Some(0),
        (Policy::Random, _) => Some(any(rng)),
        (Policy::RoundRobin, len) => Some((turn % len as u64) as usize),
        (Policy::LeastLoaded, len) => (0..len).min_by_key(|at| choices[*at].cost()),
        (Policy::TwoChoices, len) => {
            let first = any(rng);
            let second = (first + 1 + rng.random_range(0..len - 1)) % len;
            [first, second].into_iter().min_by_key(|at| choices[*at].cost())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand::rngs::SmallRng;

    fn choice(reported: u64, near: bool) -> Choice {
        Choice { reported, own: 0, near }
    }

    #[test]
    fn two_choices_never_picks_the_worst_of_three() {
        let choices = [choice(10, true), choice(20, true), choice(90, true)];
        let mut rng = SmallRng::seed_from_u64(1);
        let picks: Vec<_> = (0..100).map(|n| pick(Policy::TwoChoices, &choices, n, &mut rng)).collect();
        assert!(!picks.contains(&Some(2)));
        assert!(picks.contains(&Some(1)), "it does not always pick the best either");
    }

    #[test]
    fn near_groups_go_first_until_they_are_much_busier() {
        let mut rng = SmallRng::seed_from_u64(1);
        let near = pick(Policy::LeastLoaded, &[choice(0, false), choice(FAR_TOKENS - 1, true)], 0, &mut rng);
        let far = pick(Policy::LeastLoaded, &[choice(0, false), choice(FAR_TOKENS + 1, true)], 0, &mut rng);
        assert_eq!((near, far), (Some(1), Some(0)));
    }
}
