//! Picks the group for each request, on the collector of a hall for all nodes of that hall.
//!
//! The load this is built for: hundreds of nodes with a few requests per second each, and groups
//! with four fifths of their slots in use. If each node picked by itself from reports half a second
//! old, some groups would get more requests than slots while others have room, and a third of the
//! first events would be late. The collector is informed of each request of its hall when it begins
//! and when it ends, so it knows almost exactly what is in flight at the groups of its own hall. It
//! therefore sends requests there unless a group of another hall is predicted to deliver the first
//! event earlier.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::catalog::{Model, Speed};
use crate::fingerprint::Fingerprint;
use crate::occupancy::{Load, Report};
use crate::runner::{Epoch, Runner};

/// The fraction of its time that a busy engine spends on prefill.
const PREFILL_SHARE: f64 = 0.5;

/// The number of engine passes between the end of prefill and the first event: the current pass has
/// to end, and the event's own tokens are generated in the next one.
const FIRST_EVENT_PASSES: f64 = 2.0;

/// The delay added to the prediction for a group of another hall, in milliseconds. In-flight counts
/// of other halls are about 0.2 s old, and a busy group begins three requests in that time; the
/// round trip takes three milliseconds.
const OTHER_HALL_PENALTY: f64 = 20.0;

/// The delay added for a group of a hall whose collector has sent no report for a while, in
/// milliseconds: the network path may be cut, and the in-flight count there is unknown.
const SILENT_HALL_PENALTY: f64 = 1000.0;

/// The delay added for each node that doubts a group, in milliseconds. A node doubts a group that
/// failed one of its requests or that makes no progress on any of its streams.
const DOUBT_PENALTY: f64 = 200.0;

/// How long a request occupies a slot if the engine does not publish the length of its answers, in
/// milliseconds.
const DEFAULT_STREAM_TIME: f64 = 1000.0;

/// The utilization below which a group accepts a request that cannot be on time: it delays no other
/// request there, and a caller that was rejected would come back even later.
const SPARE_UTILIZATION: f64 = 0.6;

/// The step by which one sample moves the correction of the predicted delay, in milliseconds. With
/// it, an engine that takes a tenth of a second longer than published is corrected after about
/// twenty requests.
const CORRECTION_STEP: f64 = 8.0;

/// The fraction of first events that has to arrive within the corrected prediction. Under overload,
/// admitted requests are right at the limit, so correcting by the median would make half of them
/// late.
const ON_TIME_FRACTION: f64 = 0.75;

/// The largest correction, as a fraction of the time within which the first event is needed, so
/// that a wrong prediction does not reject every request.
const MAX_CORRECTION_FRACTION: f64 = 0.5;

/// How soon a request needs its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// Needs it within this many milliseconds.
    Within(u64),
    /// A retry after a runner failed the request: any available group is accepted.
    Again,
}

/// Asks the collector to pick a group for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The in-flight report of the asking node, without this request.
    pub report: Report,
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// The number of prompt tokens; 0 if unknown.
    pub prompt: u32,
    /// How soon the first event is needed.
    pub urgency: Urgency,
    /// How long the caller still waits, if known.
    pub patience: Option<Millis>,
    /// Groups that were tried already.
    pub tried: Vec<Epoch>,
    /// Groups whose heads are backing off from the asking node.
    pub unwilling: Vec<Epoch>,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// The samples that the asking node took since its last query.
    pub samples: Vec<Sample>,
}

impl Query {
    /// Whether a head is not backing off from the asking node. A head that rejects everything has
    /// nothing in flight and would otherwise look like the best one.
    pub fn allows_head(&self, head: &Runner) -> bool {
        head.membership.as_ref().is_none_or(|place| !self.unwilling.contains(&place.epoch))
    }
}

/// A measured first-event delay compared with the predicted one, for a request that went to its
/// assigned group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// The measured delay minus the predicted one, in milliseconds; negative if the event came
    /// early.
    pub later: i64,
}

/// The group chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The epoch of the group; the request goes to its head.
    pub epoch: Epoch,
    /// The first-event delay predicted from the engine's published speed, in milliseconds.
    pub expected: u64,
}

/// The answer to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request is assigned to a group.
    Take(Assignment),
    /// No group can deliver the first event in time; the earliest would take this many
    /// milliseconds.
    Full(u64),
    /// No answer is possible: no group of the model is known, or too few nodes have sent reports.
    Unknown,
    /// Every group that could run the request has reached the rate limit of its head; the next
    /// request may be sent in this many milliseconds.
    Throttled(u64),
    /// The request is quarantined. Runners have crashed while executing it, and it may not run at
    /// present: the outcome of another run of it is open, or only one group is left.
    Held,
    /// The request crashes the runner that executes it.
    Deadly,
}

/// Prompts sent to a group that it may not have processed yet.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// How long the prefill of these prompts takes, in milliseconds.
    duration: f64,
    since: Millis,
}

impl Backlog {
    fn remaining(&self, now: Millis) -> f64 {
        (self.duration - now.since(self.since).0 as f64 * PREFILL_SHARE).max(0.0)
    }
}

/// The groups that serve a model, and the speed of their engine.
pub struct Candidates<'a> {
    /// The hall of the nodes that send the requests.
    pub hall: &'a id::Hall,
    /// Halls whose collectors have sent no recent report to this node.
    pub silent_halls: &'a [id::Hall],
    /// The heads that accept requests.
    pub heads: &'a [&'a Runner],
    /// The model.
    pub model: &'a Model,
    /// The speed of the engine.
    pub speed: &'a Speed,
    /// Groups with a trial run of another suspected request; a suspected request is kept away from
    /// them.
    pub trial_groups: &'a [Epoch],
    /// Groups whose heads have reached their rate limit, each with the time until the next request.
    pub rate_limited: &'a [(Epoch, Millis)],
    /// Groups whose heads are cold.
    pub cold: &'a [Epoch],
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The answer.
    pub reply: Reply,
    /// The best group, whether or not its rate limit permits a request now.
    pub best: Option<Epoch>,
}

impl Candidates<'_> {
    /// Returns the time until a group may get a request, if its head has reached its rate limit.
    fn find_rate_limit_wait(&self, epoch: Epoch) -> Option<Millis> {
        self.rate_limited.iter().find(|(limited, _)| *limited == epoch).map(|(_, wait)| *wait)
    }

    /// Whether the in-flight counts of this head's hall are unknown.
    fn is_silent(&self, head: &Runner) -> bool {
        self.silent_halls.contains(&head.hall)
    }
}

/// The predicted performance of a group for a request.
#[derive(Clone, Copy, Debug)]
struct Rating {
    /// The predicted first-event delay, in milliseconds.
    expected: f64,
    /// The predicted delay plus penalties, in milliseconds.
    wait: f64,
    /// Decides between groups with equal waits: a warm head goes before a cold one, then at random.
    tie_breaker: (bool, u32),
    epoch: Epoch,
    /// The fraction of its slots in use. It is 1.0 if the hall sends no reports and a request
    /// failed there lately: the path is probably cut, so the request would fail there first and
    /// then find other groups full.
    utilization: f64,
    /// The time until the group may get a request, if its head has reached its rate limit.
    rate_limit_wait: Option<Millis>,
}

/// Predicts first-event delays from prompt backlogs and measured samples.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    backlogs: HashMap<Epoch, Backlog>,
    /// How much later than predicted first events come, by service and model, in milliseconds.
    corrections: HashMap<id::Service, HashMap<id::Model, f64>>,
}

impl Dispatcher {
    /// Updates the correction of a model with a sample.
    ///
    /// Engines publish their step and prefill times but no other overhead. Without the correction,
    /// an overhead of a tenth of a second let in requests until every first event was that late.
    pub fn record_sample(&mut self, sample: &Sample) {
        let models = self.corrections.entry(sample.service.clone()).or_default();
        let correction = models.entry(sample.model.clone()).or_default();
        *correction += CORRECTION_STEP
            * if sample.later as f64 > *correction { ON_TIME_FRACTION } else { ON_TIME_FRACTION - 1.0 };
    }

    /// Returns how much later than predicted first events of this model come at present.
    fn find_correction(&self, query: &Query) -> f64 {
        let models = self.corrections.get(&query.service);
        models.and_then(|models| models.get(&query.model)).copied().unwrap_or(0.0)
    }

    /// Chooses a group for a request.
    pub fn choose(
        &mut self,
        candidates: &Candidates,
        query: &Query,
        load: impl Fn(Epoch) -> Load,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Selection {
        self.backlogs.retain(|_, backlog| backlog.remaining(now) > 0.0);
        let prefill = estimate_prefill_time(candidates, query.prompt);
        let allowed = candidates.heads.iter().copied().filter(|head| query.allows_head(head));
        let epochs = allowed.filter_map(|head| Some((head, head.membership.as_ref()?.epoch)));
        let untried = epochs.filter(|(_, epoch)| !query.tried.contains(epoch));
        let rated = untried.map(|(head, epoch)| {
            let load = load(epoch);
            let expected = self.predict_delay(candidates, head, epoch, load, now) + prefill;
            let wait = expected + compute_penalty(candidates, head, load);
            let is_unreachable = candidates.is_silent(head) && load.doubts > 0;
            let utilization = if is_unreachable { 1.0 } else { compute_utilization(head, load) };
            Rating {
                expected,
                wait,
                tie_breaker: (candidates.cold.contains(&epoch), rng.random()),
                epoch,
                utilization,
                rate_limit_wait: candidates.find_rate_limit_wait(epoch),
            }
        });
        let rated: Vec<Rating> = exclude_trial_groups(rated.collect(), candidates.trial_groups);
        let best = pick_earliest(rated.iter()).map(|rating| rating.epoch);
        Selection { reply: self.choose_reply(&rated, query, prefill, now), best }
    }

    /// Returns the answer to a query, given the groups that could run the request apart from their
    /// rate limits, and the prefill time of its prompt in milliseconds.
    fn choose_reply(&mut self, rated: &[Rating], query: &Query, prefill: f64, now: Millis) -> Reply {
        let open: Vec<&Rating> = rated.iter().filter(|rating| rating.rate_limit_wait.is_none()).collect();
        let Some(best) = pick_earliest(open.iter().copied()) else {
            let soonest = rated.iter().filter_map(|rating| rating.rate_limit_wait).min();
            return soonest.map_or(Reply::Unknown, |wait| Reply::Throttled(wait.0));
        };
        let correction = self.find_correction(query);
        let fits = |rating: &&Rating| match query.urgency {
            Urgency::Within(millis) => {
                rating.wait + correction.min(millis as f64 * MAX_CORRECTION_FRACTION) <= millis as f64
            }
            Urgency::Again => true,
        };
        let has_room = |rating: &&Rating| rating.utilization < SPARE_UTILIZATION;
        let chosen = Some(best).filter(fits).or_else(|| pick_earliest(open.into_iter().filter(has_room)));
        let Some(Rating { epoch, expected, .. }) = chosen.copied() else {
            return Reply::Full((best.wait + correction).max(0.0) as u64);
        };
        let remaining = self.backlogs.get(&epoch).map_or(0.0, |backlog| backlog.remaining(now));
        self.backlogs.insert(epoch, Backlog { duration: remaining + prefill, since: now });
        Reply::Take(Assignment { epoch, expected: expected as u64 })
    }

    /// Predicts the first-event delay of a request with an empty prompt, in milliseconds.
    fn predict_delay(
        &self,
        candidates: &Candidates,
        head: &Runner,
        epoch: Epoch,
        load: Load,
        now: Millis,
    ) -> f64 {
        let backlog = self.backlogs.get(&epoch).map_or(0.0, |backlog| backlog.remaining(now));
        let pass_time = estimate_pass_time(candidates, load.running.min(head.slots));
        let waiting = (load.running + 1).saturating_sub(head.slots);
        let slot_wait =
            f64::from(waiting) * estimate_stream_time(candidates, head.slots) / f64::from(head.slots.max(1));
        backlog + FIRST_EVENT_PASSES * pass_time + slot_wait
    }
}

/// Removes groups that have a trial run of another suspected request, unless none would be left.
fn exclude_trial_groups(rated: Vec<Rating>, trials: &[Epoch]) -> Vec<Rating> {
    let is_apart = |rating: &Rating| !trials.contains(&rating.epoch);
    match trials.is_empty() || !rated.iter().any(is_apart) {
        true => rated,
        false => rated.into_iter().filter(is_apart).collect(),
    }
}

/// Returns the delay by which a group is penalized, in milliseconds.
fn compute_penalty(candidates: &Candidates, head: &Runner, load: Load) -> f64 {
    let hall_penalty = match head.hall == *candidates.hall {
        true => 0.0,
        false if candidates.is_silent(head) => SILENT_HALL_PENALTY,
        false => OTHER_HALL_PENALTY,
    };
    hall_penalty + DOUBT_PENALTY * f64::from(load.doubts)
}

fn pick_earliest<'a>(ratings: impl Iterator<Item = &'a Rating>) -> Option<&'a Rating> {
    ratings.min_by(|a, b| a.wait.total_cmp(&b.wait).then(a.tie_breaker.cmp(&b.tie_breaker)))
}

/// Returns the fraction of a group's slots that is in use; above 1 if requests wait.
fn compute_utilization(head: &Runner, load: Load) -> f64 {
    f64::from(load.running) / f64::from(head.slots.max(1))
}

/// Returns the time that a group takes to prefill a prompt, in milliseconds.
fn estimate_prefill_time(candidates: &Candidates, tokens: u32) -> f64 {
    if candidates.speed.prompt_tokens_per_ms <= 0.0 {
        0.0
    } else {
        candidates.model.pace * f64::from(tokens) / candidates.speed.prompt_tokens_per_ms
    }
}

/// Returns the time of one step of a group that generates tokens for `running` requests, in
/// milliseconds.
fn estimate_step_time(candidates: &Candidates, running: u32) -> f64 {
    candidates.model.pace * (candidates.speed.step_ms + candidates.speed.per_request_ms * f64::from(running))
}

/// Returns the time of one pass, in milliseconds.
fn estimate_pass_time(candidates: &Candidates, running: u32) -> f64 {
    estimate_step_time(candidates, running) * candidates.speed.stride
}

/// Returns how long one request occupies a slot while all slots are in use, in milliseconds.
fn estimate_stream_time(candidates: &Candidates, slots: u32) -> f64 {
    let time = candidates.speed.usual_answer_tokens * estimate_step_time(candidates, slots);
    if time > 0.0 { time } else { DEFAULT_STREAM_TIME }
}
