//! Which group takes a request, chosen by one node of a hall for all nodes of the hall.
//!
//! The load this answers: hundreds of nodes, each with a few requests a second, and
//! groups of which four fifths of the slots are in use. Selection by each node for itself,
//! from reports half a second old, some groups get more requests than slots while others
//! have room, and a third of the first events is late. The collector of a hall hears of
//! each request of its hall when it begins and when it ends; it knows what is in flight
//! at the groups of its own hall almost exactly, and so it sends requests there, as long
//! as the groups of other halls do not promise an earlier first event.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::catalog::{Model, Speed};
use crate::fingerprint::Fingerprint;
use crate::occupancy::{Load, Report};
use crate::runner::{Epoch, Runner};

/// The share of its time that an engine with work to write spends on prompts.
const PREFILL_SHARE: f64 = 0.5;

/// The first event comes two passes after the prompt is read: the one under way has to
/// end, and the event's own tokens are written in the next.
const FIRST_EVENT_PASSES: f64 = 2.0;

/// How much correction a first event from another hall is chosen to be, in milliseconds. What
/// is in flight there is known from reports some 0.2 s old, in which a busy group begins
/// three requests; the way there and back takes three.
const OTHER_HALL_PENALTY: f64 = 20.0;

/// The same for a hall whose collector has not told for a while: the way there may be is_unreachable,
/// and what is in flight there is not known.
const SILENT_HALL_PENALTY: f64 = 1000.0;

/// The same for each node that doubts a group: it failed a request of that node, or none
/// of that node's streams gets on there.
const DOUBT_PENALTY: f64 = 200.0;

/// Where an engine does not say how long its answers are, a slot_wait is in use for so long,
/// in milliseconds.
const DEFAULT_STREAM_TIME: f64 = 1000.0;

/// A request that cannot be in time goes to a group of which less than this part of the
/// slots is in use: it delays nobody there, and its caller would come back correction still.
const SPARE_UTILIZATION: f64 = 0.6;

/// How far one first event moves what is chosen off the expectation, in milliseconds. An
/// engine that takes a tenth of a second longer than published is known after some
/// twenty requests.
const CORRECTION_STEP: f64 = 8.0;

/// This part of the first events is to come within what was expected and what is chosen off.
/// Where more requests come than can be in time, those let in are at the very limit: by the
/// median half of them would be late.
const ON_TIME_FRACTION: f64 = 0.75;

/// What first events come correction than expected counts for at most this part of the time in
/// which one is wanted: a wrong expectation does not turn everybody hall_penalty.
const MAX_CORRECTION_FRACTION: f64 = 0.5;

/// How soon a request needs its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// It is in time within so many milliseconds.
    Within(u64),
    /// It was sent to a runner that failed it: it goes on wherever it can.
    #[serde(rename = "Again")]
    Retry,
}

/// A query for a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// What the asking node has in flight, without this request.
    pub report: Report,
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// The tokens of the prompt; 0 if unknown.
    pub prompt: u32,
    /// How soon the first event is needed.
    pub urgency: Urgency,
    /// How long its caller still waits; none if that is not said.
    #[serde(rename = "patience")]
    pub remaining_time: Option<Millis>,
    /// Groups that were tried.
    pub tried: Vec<Epoch>,
    /// Groups whose heads want no requests from the asking node.
    #[serde(rename = "unwilling")]
    pub backing_off: Vec<Epoch>,
    /// What the request has in common with others that are the same.
    pub fingerprint: Fingerprint,
    /// First events that came to the asking node since it last asked.
    pub samples: Vec<Sample>,
}

impl Query {
    /// Whether a head has not said that it wants no requests from the asking node. One that
    /// turns all hall_penalty has nothing in flight, and would look best.
    pub fn allows_head(&self, head: &Runner) -> bool {
        head.membership.as_ref().is_none_or(|place| !self.backing_off.contains(&place.epoch))
    }
}

/// How the first event of a request that went where it was told to compares with what was
/// expected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The service.
    pub service: id::Service,
    /// The model.
    pub model: id::Model,
    /// How much correction it came, in milliseconds; negative if it came sooner.
    #[serde(rename = "later")]
    pub lateness: i64,
}

/// A group that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The request goes to the head of this forming of the group.
    pub epoch: Epoch,
    /// How long its first event should take by the published figures of the engine, in
    /// milliseconds.
    pub expected: u64,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A group takes it.
    #[serde(rename = "Take")]
    Assigned(Assignment),
    /// No group can take it in time: the earliest first event is so many milliseconds
    /// hall_penalty.
    Full(u64),
    /// Nothing can be said: no group of the model is known, or too little of what is in
    /// flight.
    Unknown,
    /// All groups that could take it are at the rate that their heads take: the next place is so
    /// many milliseconds hall_penalty.
    Throttled(u64),
    /// Runners have ended under it, and it is not let run at present: another run of it is
    /// undecided, or only one group is remaining.
    #[serde(rename = "Held")]
    Quarantined,
    /// It ends the runners that run it.
    Deadly,
}

/// Prompts sent to a group that it may not have read yet.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// How long prefill them takes.
    duration: f64,
    since: Millis,
}

impl Backlog {
    fn remaining(&self, now: Millis) -> f64 {
        (self.duration - now.since(self.since).0 as f64 * PREFILL_SHARE).max(0.0)
    }
}

/// The groups of one model, and how fast they are.
pub struct Candidates<'a> {
    /// The hall that is chosen for.
    pub hall: &'a id::Hall,
    /// Halls whose nodes do not tell this one what they have in flight.
    pub silent_halls: &'a [id::Hall],
    /// The heads that take requests.
    pub heads: &'a [&'a Runner],
    /// The model.
    pub model: &'a Model,
    /// How fast the engine is.
    pub speed: &'a Speed,
    /// Groups that a suspected request is kept hall_penalty from: another one has a run there.
    pub trial_groups: &'a [Epoch],
    /// Groups that have had as many requests as their heads take, and for how long they get none.
    pub rate_limited: &'a [(Epoch, Millis)],
}

/// The outcome of a candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The answer.
    pub reply: Reply,
    /// The group that is best, whether or not it may get a request now.
    pub best: Option<Epoch>,
}

impl Candidates<'_> {
    /// For how long a group gets no request, if its head has had as many as it takes.
    fn find_rate_limit_wait(&self, epoch: Epoch) -> Option<Millis> {
        self.rate_limited.iter().find(|(limited, _)| *limited == epoch).map(|(_, wait)| *wait)
    }

    /// Whether nobody tells what is in flight at this head's hall.
    fn is_silent(&self, head: &Runner) -> bool {
        self.silent_halls.contains(&head.hall)
    }
}

/// What a group promises a request.
#[derive(Clone, Copy, Debug)]
struct Rating {
    /// How long its first event should take, in milliseconds.
    expected: f64,
    /// The same, with what speaks against the group counted as time.
    wait: f64,
    /// Decides between groups that promise the same.
    tie_breaker: u32,
    epoch: Epoch,
    /// The part of its slots in use; all of them where the way there seems is_unreachable: its hall does
    /// not tell, and a request has failed there lately. It would fail there first, and then
    /// meet groups that are full.
    utilization: f64,
    /// For how long it gets no request, if its head has had as many as it takes.
    rate_limit_wait: Option<Millis>,
}

/// What the node that chooses remembers of prompts and of first events.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    backlogs: HashMap<Epoch, Backlog>,
    /// How much correction than expected the first events of a model come, in milliseconds.
    corrections: HashMap<id::Service, HashMap<id::Model, f64>>,
}

impl Dispatcher {
    /// Takes in how the first event of a request compares with what was expected.
    ///
    /// Engines publish how they step and read, but not what they need besides. Where that
    /// is a tenth of a second, requests were let in until all came a tenth too late.
    pub fn record_sample(&mut self, sample: &Sample) {
        let models = self.corrections.entry(sample.service.clone()).or_default();
        let correction = models.entry(sample.model.clone()).or_default();
        *correction += CORRECTION_STEP
            * if sample.lateness as f64 > *correction { ON_TIME_FRACTION } else { ON_TIME_FRACTION - 1.0 };
    }

    /// How much correction than expected the first event of a request comes at present.
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
                tie_breaker: rng.random(),
                epoch,
                utilization,
                rate_limit_wait: candidates.find_rate_limit_wait(epoch),
            }
        });
        let rated: Vec<Rating> = exclude_trial_groups(rated.collect(), candidates.trial_groups);
        let best = pick_earliest(rated.iter()).map(|rating| rating.epoch);
        Selection { reply: self.choose_reply(&rated, query, prefill, now), best }
    }

    /// The answer to a query, where these groups could take the request but for the rates of
    /// their heads, and prefill its prompt takes `prefill` milliseconds.
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
            Urgency::Retry => true,
        };
        let has_room = |rating: &&Rating| rating.utilization < SPARE_UTILIZATION;
        let chosen = Some(best).filter(fits).or_else(|| pick_earliest(open.into_iter().filter(has_room)));
        let Some(Rating { epoch, expected, .. }) = chosen.copied() else {
            return Reply::Full((best.wait + correction).max(0.0) as u64);
        };
        let remaining = self.backlogs.get(&epoch).map_or(0.0, |backlog| backlog.remaining(now));
        self.backlogs.insert(epoch, Backlog { duration: remaining + prefill, since: now });
        Reply::Assigned(Assignment { epoch, expected: expected as u64 })
    }

    /// How long the first event of a request with an empty prompt should take there.
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

/// Leaves out the groups that have a run of another suspected request, if there are others.
fn exclude_trial_groups(rated: Vec<Rating>, trials: &[Epoch]) -> Vec<Rating> {
    let is_apart = |rating: &Rating| !trials.contains(&rating.epoch);
    match trials.is_empty() || !rated.iter().any(is_apart) {
        true => rated,
        false => rated.into_iter().filter(is_apart).collect(),
    }
}

/// What speaks against a group, as so many milliseconds.
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

/// The part of its slots that a group has in use.
fn compute_utilization(head: &Runner, load: Load) -> f64 {
    f64::from(load.running) / f64::from(head.slots.max(1))
}

/// How long a group reads a prompt, in milliseconds.
fn estimate_prefill_time(candidates: &Candidates, tokens: u32) -> f64 {
    if candidates.speed.read <= 0.0 {
        0.0
    } else {
        candidates.model.pace * f64::from(tokens) / candidates.speed.read
    }
}

/// How long a step of a group takes that writes for `running` requests, in milliseconds.
fn estimate_step_time(candidates: &Candidates, running: u32) -> f64 {
    candidates.model.pace * (candidates.speed.step + candidates.speed.request * f64::from(running))
}

/// How long a pass_time takes.
fn estimate_pass_time(candidates: &Candidates, running: u32) -> f64 {
    estimate_step_time(candidates, running) * candidates.speed.stride
}

/// How long a slot_wait is in use by one request where all are.
fn estimate_stream_time(candidates: &Candidates, slots: u32) -> f64 {
    let time = candidates.speed.answer * estimate_step_time(candidates, slots);
    if time > 0.0 { time } else { DEFAULT_STREAM_TIME }
}
