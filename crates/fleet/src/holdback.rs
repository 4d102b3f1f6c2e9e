//! Tells when loads that callers need may not begin, and when that ends.

use cottoncrank::Millis;

/// The minimum time between two accounts that loads are held back.
const ACCOUNT_INTERVAL: Millis = Millis(1000);

/// Since when loads that callers need are held back, and what was told of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Holdback {
    since: Option<Millis>,
    told_at: Option<Millis>,
    /// Whether the beginning was told.
    told: bool,
}

/// What is known of the loads while some are held back.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// The loads that began within the window of the ceiling.
    pub recent: usize,
    /// The loads for repairs that are taken to run.
    pub running: usize,
    /// When the next one may begin.
    pub next: Option<Millis>,
}

impl Holdback {
    /// Records whether loads are held back at `now`, and returns what to log, if anything.
    pub fn record(&mut self, account: Option<Account>, now: Millis) -> Option<String> {
        let Some(account) = account else { return self.end(now) };
        self.since.get_or_insert(now);
        if self.told || self.told_at.is_some_and(|at| now < at + ACCOUNT_INTERVAL) {
            return None;
        }
        (self.told, self.told_at) = (true, Some(now));
        let next = account.next.map_or("unknown".to_owned(), |next| format!("in {}", next.since(now)));
        Some(format!(
            "loads that callers need are held back: {} began lately, {} run, the next may begin {next}",
            account.recent, account.running
        ))
    }

    fn end(&mut self, now: Millis) -> Option<String> {
        let since = self.since.take()?;
        let told = std::mem::take(&mut self.told);
        told.then(|| format!("loads are no longer held back, after {}", now.since(since)))
    }
}
