//! What runners that stand by are worth: how often members are lost, and how long
//! a group is away with and without a runner that can take the lost one's place.

use cottoncrank::Millis;

use crate::catalog::{Engine, Model};

/// Losses per member and second that a decider assumes before it has seen any: one
/// in a hundred seconds, a fleet in trouble. A fleet that turns out calm gives its
/// spare runners back once it has seen that.
const ASSUMED_LOSS_RATE: f64 = 0.01;

/// The assumption weighs as much as this many observed seconds of one member: fifteen
/// losses at the assumed rate, for which the rate is known to a quarter.
const ASSUMED_MEMBER_SECONDS: f64 = 1500.0;

/// Where repairs take up nearly all places of the weight store, a load waits for
/// others. The factor on its time is that of a queue with this part in use at most.
const MAX_QUEUE_UTILIZATION: f64 = 0.8;

/// Losses come many at a time: this many times what repairs take up on average is kept
/// free for them. More loads in reserve than that make those for repairs wait: on 48
/// runners with six loads side by side, groups waited for 21 s instead of 16.
const BURST_FACTOR: f64 = 2.0;

/// The losses of members that a decider has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    /// How many groups lost a member.
    lost_groups: usize,
    /// Over how many seconds of one member.
    member_seconds: f64,
    updated_at: Millis,
}

impl Losses {
    /// There are `members` of groups at `now`, and `lost` groups have just lost one.
    pub fn record(&mut self, members: usize, lost: usize, now: Millis) {
        if self.updated_at > Millis(0) {
            self.member_seconds += members as f64 * now.since(self.updated_at).0 as f64 / 1000.0;
        }
        self.updated_at = now;
        self.lost_groups += lost;
    }

    /// Losses per member and second.
    pub fn rate(&self) -> f64 {
        (ASSUMED_LOSS_RATE * ASSUMED_MEMBER_SECONDS + self.lost_groups as f64)
            / (ASSUMED_MEMBER_SECONDS + self.member_seconds)
    }
}

/// What losses are expected in one fabric domain.
#[derive(Clone, Copy, Debug)]
pub struct Risk {
    /// Losses per member and second.
    rate: f64,
    /// Runners of a domain, on average.
    runners_per_domain: f64,
    /// The part of the weight store's places that repairs take up on average.
    repair_utilization: f64,
}

impl Risk {
    /// What is to be expected of `runners` runners in `domains` domains.
    pub fn assess(losses: &Losses, engine: &Engine, runners: usize, domains: usize) -> Risk {
        let rate = losses.rate();
        let load = engine.models.iter().map(|model| model.share * to_seconds(model.load)).sum::<f64>();
        let repair_utilization = rate * runners as f64 * load / engine.loads_at_once.max(1) as f64;
        Risk { rate, runners_per_domain: runners as f64 / domains.max(1) as f64, repair_utilization }
    }

    /// How many runners would stand idle without one more that stands by for `model`,
    /// where `held` do: those left of a group wait for a load then. Above one, it is
    /// worth more to keep it than to let it serve.
    pub fn count_spared_runners(&self, model: &Model, held: usize) -> f64 {
        let load_time = to_seconds(model.load) / (1.0 - self.repair_utilization.min(MAX_QUEUE_UTILIZATION));
        let losses = self.rate * self.runners_per_domain * model.share;
        let idle = model.size.saturating_sub(1) as f64 * load_time;
        losses * idle * find_tail_probability(losses * to_seconds(model.load), held)
    }

    /// How many loads that run at full speed are left for what is lost next, while members
    /// that serve get another model onto their hosts.
    pub fn count_repair_headroom(&self, engine: &Engine) -> usize {
        (engine.loads_at_once as f64 * (self.repair_utilization * BURST_FACTOR).min(1.0)).ceil() as usize
    }

    /// How many spare runners of a model a domain keeps beside its groups.
    pub fn count_spares(&self, model: &Model) -> usize {
        usize::from(self.count_spared_runners(model, 0) > 1.0)
    }
}

fn to_seconds(time: Millis) -> f64 {
    time.0 as f64 / 1000.0
}

/// How likely at least `count` losses are where `mean` are expected (Poisson).
fn find_tail_probability(mean: f64, count: usize) -> f64 {
    let mut probability = (-mean).exp();
    let mut below = 0.0;
    for at in 0..count {
        below += probability;
        probability *= mean / (at + 1) as f64;
    }
    (1.0 - below).max(0.0)
}
