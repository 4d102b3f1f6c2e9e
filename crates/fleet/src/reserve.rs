//! The value of spare runners: how often members are lost, and how long a group is out of service
//! with and without a runner that can replace the lost one.

use cottoncrank::Millis;

use crate::catalog::{Engine, Model};

/// Losses per member and second that a decider assumes before it has seen any: one in a hundred
/// seconds, as in a fleet with many faults. If the fleet turns out to have few, its spare runners
/// serve again once enough time has been observed.
const ASSUMED_LOSS_RATE: f64 = 0.01;

/// The weight of the assumption, as observed seconds of one member: fifteen losses at the assumed
/// rate, which determine the rate to a quarter.
const ASSUMED_MEMBER_SECONDS: f64 = 1500.0;

/// If repairs use nearly all capacity of the weight store, a load waits for others. The factor on
/// its duration is that of a queue with at most this utilization.
const MAX_QUEUE_UTILIZATION: f64 = 0.8;

/// Losses come in bursts: this multiple of the average use by repairs is kept free for them. More
/// loads in reserve delay those for repairs: on 48 runners with six loads at once, groups waited
/// for 21 s instead of 16 s.
const BURST_FACTOR: f64 = 2.0;

/// The losses of members that a decider has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    /// The number of groups that lost a member.
    lost_groups: usize,
    /// The observed time, summed over all members, in seconds.
    member_seconds: f64,
    updated_at: Millis,
}

impl Losses {
    /// Records that groups have `members` members in total at `now`, and that `lost` groups have
    /// just lost one.
    pub fn record(&mut self, members: usize, lost: usize, now: Millis) {
        if self.updated_at > Millis(0) {
            self.member_seconds += members as f64 * now.since(self.updated_at).0 as f64 / 1000.0;
        }
        self.updated_at = now;
        self.lost_groups += lost;
    }

    /// Returns the losses per member and second.
    pub fn rate(&self) -> f64 {
        (ASSUMED_LOSS_RATE * ASSUMED_MEMBER_SECONDS + self.lost_groups as f64)
            / (ASSUMED_MEMBER_SECONDS + self.member_seconds)
    }
}

/// The losses to expect in one fabric domain.
#[derive(Clone, Copy, Debug)]
pub struct Risk {
    /// Losses per member and second.
    rate: f64,
    /// The average number of runners in a domain.
    runners_per_domain: f64,
    /// The average fraction of the weight store's capacity that repairs use.
    repair_utilization: f64,
}

impl Risk {
    /// Returns the risk for `runners` runners in `domains` domains.
    pub fn assess(losses: &Losses, engine: &Engine, runners: usize, domains: usize) -> Risk {
        let rate = losses.rate();
        let load = engine.models.iter().map(|model| model.share * to_seconds(model.load_time)).sum::<f64>();
        let repair_utilization = rate * runners as f64 * load / engine.loads_at_once.max(1) as f64;
        Risk { rate, runners_per_domain: runners as f64 / domains.max(1) as f64, repair_utilization }
    }

    /// Returns how many runners one more spare holder of `model` would save from being idle, if
    /// `held` exist already: without it the remaining members of a group wait for a load. Above
    /// one, the runner is worth more as a spare than in service.
    pub fn count_spared_runners(&self, model: &Model, held: usize) -> f64 {
        let load_time =
            to_seconds(model.load_time) / (1.0 - self.repair_utilization.min(MAX_QUEUE_UTILIZATION));
        let losses = self.rate * self.runners_per_domain * model.share;
        let idle = model.size.saturating_sub(1) as f64 * load_time;
        losses * idle * find_tail_probability(losses * to_seconds(model.load_time), held)
    }

    /// Returns how many loads at full speed are left for the next losses while members that serve
    /// stage a second model onto their hosts.
    pub fn count_repair_headroom(&self, engine: &Engine) -> usize {
        (engine.loads_at_once as f64 * (self.repair_utilization * BURST_FACTOR).min(1.0)).ceil() as usize
    }

    /// Returns how many spare runners of a model a domain keeps beside its groups.
    pub fn count_spares(&self, model: &Model) -> usize {
        usize::from(self.count_spared_runners(model, 0) > 1.0)
    }
}

fn to_seconds(time: Millis) -> f64 {
    time.0 as f64 / 1000.0
}

/// Returns the probability of at least `count` losses where `mean` are expected (Poisson).
fn find_tail_probability(mean: f64, count: usize) -> f64 {
    let mut probability = (-mean).exp();
    let mut below = 0.0;
    for at in 0..count {
        below += probability;
        probability *= mean / (at + 1) as f64;
    }
    (1.0 - below).max(0.0)
}
