//! Retry budgets: the number of retries is limited to a fraction of the successful requests.
//! A fixed number of retries per request would multiply the load during an outage.

/// The deposit of one success, in thousandths of a retry.
const DEPOSIT: u64 = 100;

/// The cost of a retry in the same unit.
const RETRY_COST: u64 = 1000;

/// The default capacity, which is also the initial balance.
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
    /// Returns a budget that earns `ratio` retries for each request and can hold `retries`
    /// retries. It starts full.
    pub fn new(ratio: f64, retries: f64) -> Budget {
        let capacity = (retries * RETRY_COST as f64) as u64;
        Budget { deposit: (ratio * RETRY_COST as f64) as u64, capacity, balance: capacity }
    }

    /// Sets the capacity to `retries` retries. An increase is added to the balance at once.
    pub fn set_capacity(&mut self, retries: f64) {
        let capacity = (retries * RETRY_COST as f64) as u64;
        self.balance = (self.balance + capacity.saturating_sub(self.capacity)).min(capacity);
        self.capacity = capacity;
    }

    /// Sets the deposit of one request to `ratio` retries.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.deposit = (ratio * RETRY_COST as f64) as u64;
    }

    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.deposit).min(self.capacity);
    }

    /// Withdraws the cost of one retry. Returns false if the balance is too low.
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
