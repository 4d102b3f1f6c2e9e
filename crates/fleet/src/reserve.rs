//! What runners that stand by are worth: how often members are lost, and how long
//! a group is away with and without a runner that can take the lost one's place.

use cottoncrank::Millis;

use crate::catalog::{Engine, Model};

/// Losses per member and second that a decider assumes before it has seen any: one
/// in a hundred seconds, a fleet in trouble. A fleet that turns out calm gives its
/// spare runners back once it has seen that.
const ASSUMED: f64 = 0.01;

/// The assumption weighs as much as this many observed seconds of one member: fifteen
/// losses at the assumed rate, for which the rate is known to a quarter.
const WEIGHT: f64 = 1500.0;

/// Where repairs take up nearly all places of the weight store, a load waits for
/// others. The factor on its time is that of a queue with this part in use at most.
const BUSY_MAX: f64 = 0.8;

/// Losses come many at a time: this many times what repairs take up on average is kept
/// free for them. More loads in reserve than that make those for repairs wait: on 48
/// runners with six loads side by side, groups waited for 21 s instead of 16.
const BURSTS: f64 = 2.0;

/// The losses of members that a decider has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    /// How many groups lost a member.
    lost: usize,
    /// Over how many seconds of one member.
    seconds: f64,
    seen: Millis,
}

impl Losses {
    /// There are `members` of groups at `now`, and `lost` groups have just lost one.
    pub fn note(&mut self, members: usize, lost: usize, now: Millis) {
        if self.seen > Millis(0) {
            self.seconds += members as f64 * now.since(self.seen).0 as f64 / 1000.0;
        }
        self.seen = now;
        self.lost += lost;
    }

    /// Losses per member and second.
    pub fn rate(&self) -> f64 {
        (ASSUMED * WEIGHT + self.lost as f64) / (WEIGHT + self.seconds)
    }
}

/// What losses are expected in one fabric domain.
#[derive(Clone, Copy, Debug)]
pub struct Risk {
    /// Losses per member and second.
    rate: f64,
    /// Runners of a domain, on average.
    domain: f64,
    /// The part of the weight store's places that repairs take up on average.
    busy: f64,
}

impl Risk {
    /// What is to be expected of `runners` runners in `domains` domains.
    pub fn assess(losses: &Losses, engine: &Engine, runners: usize, domains: usize) -> Risk {
        let rate = losses.rate();
        let load = engine.models.iter().map(|model| model.share * seconds(model.load_time)).sum::<f64>();
        let busy = rate * runners as f64 * load / engine.loads_at_once.max(1) as f64;
        Risk { rate, domain: runners as f64 / domains.max(1) as f64, busy }
    }

    /// How many runners would stand idle without one more that stands by for `model`,
    /// where `held` do: those left of a group wait for a load then. Above one, it is
    /// worth more to keep it than to let it serve.
    pub fn weigh(&self, model: &Model, held: usize) -> f64 {
        let away = seconds(model.load_time) / (1.0 - self.busy.min(BUSY_MAX));
        let losses = self.rate * self.domain * model.share;
        let idle = model.size.saturating_sub(1) as f64 * away;
        losses * idle * chance_of_more(losses * seconds(model.load_time), held)
    }

    /// How many loads that run at full speed are left for what is lost next, while members
    /// that serve get another model onto their hosts.
    pub fn count_kept_free(&self, engine: &Engine) -> usize {
        (engine.loads_at_once as f64 * (self.busy * BURSTS).min(1.0)).ceil() as usize
    }

    /// How many spare runners of a model a domain keeps beside its groups.
    pub fn count_spares(&self, model: &Model) -> usize {
        usize::from(self.weigh(model, 0) > 1.0)
    }
}

fn seconds(time: Millis) -> f64 {
    time.0 as f64 / 1000.0
}

/// How likely at least `count` losses are where `mean` are expected (Poisson).
fn chance_of_more(mean: f64, count: usize) -> f64 {
    let mut term = (-mean).exp();
    let mut fewer = 0.0;
    for at in 0..count {
        fewer += term;
        term *= mean / (at + 1) as f64;
    }
    (1.0 - fewer).max(0.0)
}
