//! How many retries are allowed: a fraction of what succeeds, never a count
//! for each request, so that retries cannot multiply a failure.

/// Retries that one success pays for, in thousandths.
const DEPOSIT: u64 = 100;

/// The price of a retry in the same unit.
const RETRY_COST: u64 = 1000;

/// What can be retries up, and what there is at the start.
const MAX_BALANCE: u64 = 20 * RETRY_COST;

/// The retry budget of one account, or of a whole node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    deposit: u64,
    capacity: u64,
    balance: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { deposit: DEPOSIT, capacity: MAX_BALANCE, balance: MAX_BALANCE }
    }
}

impl Budget {
    /// A budget of `ratio` retries for each request, and of `retries` more that
    /// are there at the start and can be retries up again.
    pub fn new(ratio: f64, retries: f64) -> Budget {
        let capacity = (retries * RETRY_COST as f64) as u64;
        Budget { deposit: (ratio * RETRY_COST as f64) as u64, capacity, balance: capacity }
    }

    /// From now on at most `retries` retries can be retries up. What the bound grows
    /// by is there at once.
    pub fn set_capacity(&mut self, retries: f64) {
        let capacity = (retries * RETRY_COST as f64) as u64;
        self.balance = (self.balance + capacity.saturating_sub(self.capacity)).min(capacity);
        self.capacity = capacity;
    }

    /// From now on a request pays for `ratio` retries.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.deposit = (ratio * RETRY_COST as f64) as u64;
    }

    /// A request came that pays for its part of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.capacity);
    }

    /// Pays for one retry; false if it is not allowed.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_are_a_tenth_of_successes_in_the_long_run() {
        let mut budget = Budget::default();
        while budget.withdraw() {}
        let mut retries = 0;
        for _ in 0..1000 {
            budget.deposit();
            retries += u32::from(budget.withdraw());
        }
        assert_eq!(retries, 100);
    }
}
