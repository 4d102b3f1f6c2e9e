//! The store budget of one node: a token bucket with priorities.
//!
//! The store's rates are for everyone. Each node takes an even part of the
//! share that the system allows itself, and keeps a reserve in its bucket for
//! what may not wait.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Store calls a second that the whole fleet allows itself, waiting watches
/// counted. A fifth of the platform's 2,000 reads a second.
pub const FLEET_RATE: u32 = 400;

/// Store calls a second for operators' commands, on each node that takes any.
/// Operators talk to a few nodes, so this does not grow with the fleet.
pub const OPERATOR_RATE: u32 = 20;

/// What a call is for. The first may empty the bucket, the last leaves most of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Keeping a lease.
    Lease,
    /// Changing or reading a domain's document.
    Group,
    /// The configuration.
    Config,
    /// All else.
    Other,
    /// An operator's command; it has a bucket of its own.
    Operator,
}

impl Purpose {
    /// The part of the bucket, in tenths, that must be there before the call.
    fn reserve_tenths(self) -> u64 {
        match self {
            Purpose::Lease | Purpose::Operator => 0,
            Purpose::Group => 1,
            Purpose::Config => 3,
            Purpose::Other => 6,
        }
    }
}

/// A token bucket. Its level counts millionths of a call, so that a call every
/// few hundred milliseconds adds up without rounding.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Millionths of a call gained each millisecond.
    rate: u64,
    /// The most it holds.
    capacity: u64,
    level: u64,
    updated: Millis,
}

/// One call in the bucket's unit.
const UNITS_PER_CALL: u64 = 1_000_000;

/// Calls a node may save up.
pub const BURST: u64 = 20;

impl Bucket {
    /// The bucket of one node among `nodes`.
    pub fn new(nodes: usize, now: Millis) -> Bucket {
        Bucket::with_rate(compute_rate(nodes), now)
    }

    /// The bucket for operators' commands.
    pub fn for_operators(now: Millis) -> Bucket {
        Bucket::with_rate(u64::from(OPERATOR_RATE) * 1000, now)
    }

    fn with_rate(rate: u64, now: Millis) -> Bucket {
        let capacity = BURST * UNITS_PER_CALL;
        Bucket { rate, capacity, level: capacity, updated: now }
    }

    /// Follows the fleet's capacity.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.rate = compute_rate(nodes);
    }

    /// Takes one call for `purpose`; false when it has to wait.
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
    fn the_fleet_stays_inside_its_rate() {
        let nodes = 350;
        let mut bucket = Bucket::new(nodes, Millis(0));
        let acquired = (0..100_000).filter(|ms| bucket.acquire(Purpose::Lease, Millis(*ms))).count();
        let fleet = (acquired as u64 - BURST) * nodes as u64 / 100;
        assert!(fleet <= u64::from(FLEET_RATE), "{fleet} calls a second");
        assert!(fleet >= u64::from(FLEET_RATE) * 9 / 10, "{fleet} calls a second");
    }

    #[test]
    fn the_rest_leaves_room_for_leases() {
        let mut bucket = Bucket::new(350, Millis(0));
        let others = (0..100).filter(|_| bucket.acquire(Purpose::Other, Millis(0))).count();
        let leases = (0..100).filter(|_| bucket.acquire(Purpose::Lease, Millis(0))).count();
        assert_eq!((others, leases), (8, 12));
    }
}
