//! The store budget of one node: a token bucket with priorities.
//!
//! All clients of the store share its rate limits. This system uses a fixed part of them,
//! divided evenly among its nodes. Each bucket keeps a reserve for urgent calls.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The store calls per second of the whole fleet, including waiting watches: a fifth of the
/// platform's 2,000 reads a second.
pub const FLEET_RATE: u32 = 400;

/// The store calls per second for operators' commands, on each node that receives any.
/// Operators use only a few nodes, so this rate does not depend on the size of the fleet.
pub const OPERATOR_RATE: u32 = 20;

/// The purpose of a store call, which sets its priority: calls for a lease may empty the
/// bucket, and those for other purposes leave most of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Renewing a lease.
    Lease,
    /// Changing or reading a domain's document.
    Group,
    /// The configuration.
    Config,
    /// All other calls.
    Other,
    /// An operator's command, which has a separate bucket.
    Operator,
}

impl Purpose {
    /// Returns the reserve, in tenths of the bucket, that must be left after the call.
    fn reserve_tenths(self) -> u64 {
        match self {
            Purpose::Lease | Purpose::Operator => 0,
            Purpose::Group => 1,
            Purpose::Config => 3,
            Purpose::Other => 6,
        }
    }
}

/// A token bucket. Its level is in millionths of a call, because the tokens that a node gains
/// in a millisecond would otherwise round to zero.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Millionths of a call gained each millisecond.
    rate: u64,
    /// The maximum level.
    capacity: u64,
    level: u64,
    updated: Millis,
}

/// One call in the unit of the bucket's level.
const UNITS_PER_CALL: u64 = 1_000_000;

/// The number of calls that a full bucket allows at once.
pub const BURST: u64 = 20;

impl Bucket {
    /// Returns the bucket of one node among `nodes`.
    pub fn new(nodes: usize, now: Millis) -> Bucket {
        Bucket::with_rate(compute_rate(nodes), now)
    }

    /// Returns the bucket for operators' commands.
    pub fn for_operators(now: Millis) -> Bucket {
        Bucket::with_rate(u64::from(OPERATOR_RATE) * 1000, now)
    }

    fn with_rate(rate: u64, now: Millis) -> Bucket {
        let capacity = BURST * UNITS_PER_CALL;
        Bucket { rate, capacity, level: capacity, updated: now }
    }

    /// Sets the number of nodes that share the fleet's rate.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.rate = compute_rate(nodes);
    }

    /// Withdraws one call for `purpose`. Returns false if the call has to wait.
    pub fn acquire(&mut self, purpose: Purpose, now: Millis) -> bool {
        let gained = now.since(self.updated).0 * self.rate;
        self.level = (self.level + gained).min(self.capacity);
        self.updated = self.updated.max(now);
        if self.level < UNITS_PER_CALL + self.capacity * purpose.reserve_tenths() / 10 {
            return false;
        }
        self.level -= UNITS_PER_CALL;
        true
    }
}

fn compute_rate(nodes: usize) -> u64 {
    u64::from(FLEET_RATE) * 1000 / nodes.max(1) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fleet_stays_within_its_rate() {
        let nodes = 350;
        let mut bucket = Bucket::new(nodes, Millis(0));
        let acquired = (0..100_000).filter(|ms| bucket.acquire(Purpose::Lease, Millis(*ms))).count();
        let fleet = (acquired as u64 - BURST) * nodes as u64 / 100;
        assert!(fleet <= u64::from(FLEET_RATE), "{fleet} calls a second");
        assert!(fleet >= u64::from(FLEET_RATE) * 9 / 10, "{fleet} calls a second");
    }

    #[test]
    fn other_calls_leave_a_reserve_for_leases() {
        let mut bucket = Bucket::new(350, Millis(0));
        let others = (0..100).filter(|_| bucket.acquire(Purpose::Other, Millis(0))).count();
        let leases = (0..100).filter(|_| bucket.acquire(Purpose::Lease, Millis(0))).count();
        assert_eq!((others, leases), (8, 12));
    }
}
