//! Retry budgets: the number of retries is limited to a fraction of the successful requests.
//! A fixed number of retries per request would multiply the load during an outage.

/// The deposit of one success, in thousandths of a retry.
const DEPOSIT: u64 = 100;

/// The cost of a retry in the same unit.
const RETRY_COST: u64 = 1000;

/// The capacity, which is also the initial balance.
const MAX_BALANCE: u64 = 20 * RETRY_COST;

/// The retry budget of one account, or of a whole node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { balance: MAX_BALANCE }
    }
}

impl Budget {
    /// Adds the deposit of one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
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
