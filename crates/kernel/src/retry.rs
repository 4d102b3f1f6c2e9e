//! How many retries are allowed: a fraction of what succeeds, never a count
//! for each request, so that retries cannot multiply a failure.

/// Retries that one success pays for, in thousandths.
const GAIN: u64 = 100;

/// The price of a retry in the same unit.
const PRICE: u64 = 1000;

/// What can be saved up, and what there is at the start.
const FULL: u64 = 20 * PRICE;

/// The retry budget of one account, or of a whole node.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    gain: u64,
    full: u64,
    level: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { gain: GAIN, full: FULL, level: FULL }
    }
}

impl Budget {
    /// A budget of `ratio` retries for each request, and of `saved` more that
    /// are there at the start and can be saved up again.
    pub fn new(ratio: f64, saved: f64) -> Budget {
        let full = (saved * PRICE as f64) as u64;
        Budget { gain: (ratio * PRICE as f64) as u64, full, level: full }
    }

    /// From now on at most `saved` retries can be saved up. What the bound grows
    /// by is there at once.
    pub fn set_full(&mut self, saved: f64) {
        let full = (saved * PRICE as f64) as u64;
        self.level = (self.level + full.saturating_sub(self.full)).min(full);
        self.full = full;
    }

    /// From now on a request pays for `ratio` retries.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.gain = (ratio * PRICE as f64) as u64;
    }

    /// A request came that pays for its part of a retry.
    pub fn earn(&mut self) {
        self.level = (self.level + self.gain).min(self.full);
    }

    /// Pays for one retry; false if it is not allowed.
    pub fn spend(&mut self) -> bool {
        let allowed = self.level >= PRICE;
        if allowed {
            self.level -= PRICE;
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
        while budget.spend() {}
        let mut retries = 0;
        for _ in 0..1000 {
            budget.earn();
            retries += u32::from(budget.spend());
        }
        assert_eq!(retries, 100);
    }
}
