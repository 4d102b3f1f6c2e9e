//! Which group takes a request, chosen by one node of a hall for all nodes of the hall.
//!
//! The load this answers: hundreds of nodes, each with a few requests a second, and
//! groups of which four fifths of the slots are in use. Chosen by each node for itself,
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
const READING: f64 = 0.5;

/// The first event comes two passes after the prompt is read: the one under way has to
/// end, and the event's own tokens are written in the next.
const PASSES: f64 = 2.0;

/// How much later a first event from another hall is taken to be, in milliseconds. What
/// is in flight there is known from reports some 0.2 s old, in which a busy group begins
/// three requests; the way there and back takes three.
const AWAY: f64 = 20.0;

/// The same for a hall whose collector has not told for a while: the way there may be cut,
/// and what is in flight there is not known.
const SILENT: f64 = 1000.0;

/// The same for each node that doubts a group: it failed a request of that node, or none
/// of that node's streams gets on there.
const DOUBT: f64 = 200.0;

/// Where an engine does not say how long its answers are, a slot is in use for so long,
/// in milliseconds.
const STREAM_UNSET: f64 = 1000.0;

/// A request that cannot be in time goes to a group of which less than this part of the
/// slots is in use: it delays nobody there, and its caller would come back later still.
const SPARE: f64 = 0.6;

/// How far one first event moves what is taken off the expectation, in milliseconds. An
/// engine that takes a tenth of a second longer than published is known after some
/// twenty requests.
const STEP: f64 = 8.0;

/// This part of the first events is to come within what was expected and what is taken off.
/// Where more requests come than can be in time, those let in are at the very limit: by the
/// median half of them would be late.
const SURE: f64 = 0.75;

/// What first events come later than expected counts for at most this part of the time in
/// which one is wanted: a wrong expectation does not turn everybody away.
const LATER: f64 = 0.5;

/// How soon a request needs its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Urgency {
    /// It is in time within so many milliseconds.
    Within(u64),
    /// It was sent to a runner that failed it: it goes on wherever it can.
    Again,
}

/// A question for a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
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
    pub patience: Option<Millis>,
    /// Groups that were tried.
    pub tried: Vec<Epoch>,
    /// Groups whose heads want no requests from the asking node.
    pub unwilling: Vec<Epoch>,
    /// What the request has in common with others that are the same.
    pub fingerprint: Fingerprint,
    /// First events that came to the asking node since it last asked.
    pub samples: Vec<Sample>,
}

impl Question {
    /// Whether a head has not said that it wants no requests from the asking node. One that
    /// turns all away has nothing in flight, and would look best.
    pub fn is_welcome_at(&self, head: &Runner) -> bool {
        head.membership.as_ref().is_none_or(|place| !self.unwilling.contains(&place.epoch))
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
    /// How much later it came, in milliseconds; negative if it came sooner.
    pub later: i64,
}

/// A group that takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
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
    Take(Promise),
    /// No group can take it in time: the earliest first event is so many milliseconds
    /// away.
    Full(u64),
    /// Nothing can be said: no group of the model is known, or too little of what is in
    /// flight.
    Unknown,
    /// All groups that could take it are at the rate that their heads take: the next place is so
    /// many milliseconds away.
    Throttled(u64),
    /// Runners have ended under it, and it is not let run at present: another run of it is
    /// undecided, or only one group is left.
    Held,
    /// It ends the runners that run it.
    Deadly,
}

/// Prompts sent to a group that it may not have read yet.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    /// How long reading them takes.
    millis: f64,
    since: Millis,
}

impl Backlog {
    fn left(&self, now: Millis) -> f64 {
        (self.millis - now.since(self.since).0 as f64 * READING).max(0.0)
    }
}

/// The groups of one model, and how fast they are.
pub struct Choice<'a> {
    /// The hall that is chosen for.
    pub hall: &'a id::Hall,
    /// Halls whose nodes do not tell this one what they have in flight.
    pub silent: &'a [id::Hall],
    /// The heads that take requests.
    pub heads: &'a [&'a Runner],
    /// The model.
    pub model: &'a Model,
    /// How fast the engine is.
    pub speed: &'a Speed,
    /// Groups that a suspected request is kept away from: another one has a run there.
    pub trials: &'a [Epoch],
    /// Groups that have had as many requests as their heads take, and for how long they get none.
    pub spent: &'a [(Epoch, Millis)],
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The answer.
    pub reply: Reply,
    /// The group that is best, whether or not it may get a request now.
    pub best: Option<Epoch>,
}

impl Choice<'_> {
    /// For how long a group gets no request, if its head has had as many as it takes.
    fn find_spent(&self, epoch: Epoch) -> Option<Millis> {
        self.spent.iter().find(|(spent, _)| *spent == epoch).map(|(_, wait)| *wait)
    }

    /// Whether nobody tells what is in flight at this head's hall.
    fn is_silent(&self, head: &Runner) -> bool {
        self.silent.contains(&head.hall)
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
    tie: u32,
    epoch: Epoch,
    /// The part of its slots in use; all of them where the way there seems cut: its hall does
    /// not tell, and a request has failed there lately. It would fail there first, and then
    /// meet groups that are full.
    used: f64,
    /// For how long it gets no request, if its head has had as many as it takes.
    spent: Option<Millis>,
}

/// What the node that chooses remembers of prompts and of first events.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    backlogs: HashMap<Epoch, Backlog>,
    /// How much later than expected the first events of a model come, in milliseconds.
    later: HashMap<id::Service, HashMap<id::Model, f64>>,
}

impl Dispatcher {
    /// Takes in how the first event of a request compares with what was expected.
    ///
    /// Engines publish how they step and read, but not what they need besides. Where that
    /// is a tenth of a second, requests were let in until all came a tenth too late.
    pub fn learn(&mut self, sample: &Sample) {
        let models = self.later.entry(sample.service.clone()).or_default();
        let later = models.entry(sample.model.clone()).or_default();
        *later += STEP * if sample.later as f64 > *later { SURE } else { SURE - 1.0 };
    }

    /// How much later than expected the first event of a request comes at present.
    fn find_later(&self, question: &Question) -> f64 {
        let models = self.later.get(&question.service);
        models.and_then(|models| models.get(&question.model)).copied().unwrap_or(0.0)
    }

    /// Chooses a group for a request.
    pub fn choose(
        &mut self,
        choice: &Choice,
        question: &Question,
        load: impl Fn(Epoch) -> Load,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Chosen {
        self.backlogs.retain(|_, backlog| backlog.left(now) > 0.0);
        let reading = time_reading(choice, question.prompt);
        let willing = choice.heads.iter().copied().filter(|head| question.is_welcome_at(head));
        let places = willing.filter_map(|head| Some((head, head.membership.as_ref()?.epoch)));
        let fresh = places.filter(|(_, epoch)| !question.tried.contains(epoch));
        let rated = fresh.map(|(head, epoch)| {
            let load = load(epoch);
            let expected = self.expect(choice, head, epoch, load, now) + reading;
            let wait = expected + penalize(choice, head, load);
            let cut = choice.is_silent(head) && load.doubts > 0;
            let used = if cut { 1.0 } else { part_used(head, load) };
            Rating { expected, wait, tie: rng.random(), epoch, used, spent: choice.find_spent(epoch) }
        });
        let rated: Vec<Rating> = keep_apart(rated.collect(), choice.trials);
        let best = pick_earliest(rated.iter()).map(|rating| rating.epoch);
        Chosen { reply: self.reply(&rated, question, reading, now), best }
    }

    /// The answer to a question, where these groups could take the request but for the rates of
    /// their heads, and reading its prompt takes `reading` milliseconds.
    fn reply(&mut self, rated: &[Rating], question: &Question, reading: f64, now: Millis) -> Reply {
        let open: Vec<&Rating> = rated.iter().filter(|rating| rating.spent.is_none()).collect();
        let Some(best) = pick_earliest(open.iter().copied()) else {
            let soonest = rated.iter().filter_map(|rating| rating.spent).min();
            return soonest.map_or(Reply::Unknown, |wait| Reply::Throttled(wait.0));
        };
        let later = self.find_later(question);
        let fits = |rating: &&Rating| match question.urgency {
            Urgency::Within(millis) => rating.wait + later.min(millis as f64 * LATER) <= millis as f64,
            Urgency::Again => true,
        };
        let has_room = |rating: &&Rating| rating.used < SPARE;
        let taken = Some(best).filter(fits).or_else(|| pick_earliest(open.into_iter().filter(has_room)));
        let Some(Rating { epoch, expected, .. }) = taken.copied() else {
            return Reply::Full((best.wait + later).max(0.0) as u64);
        };
        let left = self.backlogs.get(&epoch).map_or(0.0, |backlog| backlog.left(now));
        self.backlogs.insert(epoch, Backlog { millis: left + reading, since: now });
        Reply::Take(Promise { epoch, expected: expected as u64 })
    }

    /// How long the first event of a request with an empty prompt should take there.
    fn expect(&self, choice: &Choice, head: &Runner, epoch: Epoch, load: Load, now: Millis) -> f64 {
        let backlog = self.backlogs.get(&epoch).map_or(0.0, |backlog| backlog.left(now));
        let pass = time_pass(choice, load.running.min(head.slots));
        let over = (load.running + 1).saturating_sub(head.slots);
        let slot = f64::from(over) * time_stream(choice, head.slots) / f64::from(head.slots.max(1));
        backlog + PASSES * pass + slot
    }
}

/// Leaves out the groups that have a run of another suspected request, if there are others.
fn keep_apart(rated: Vec<Rating>, trials: &[Epoch]) -> Vec<Rating> {
    let is_apart = |rating: &Rating| !trials.contains(&rating.epoch);
    match trials.is_empty() || !rated.iter().any(is_apart) {
        true => rated,
        false => rated.into_iter().filter(is_apart).collect(),
    }
}

/// What speaks against a group, as so many milliseconds.
fn penalize(choice: &Choice, head: &Runner, load: Load) -> f64 {
    let away = match head.hall == *choice.hall {
        true => 0.0,
        false if choice.is_silent(head) => SILENT,
        false => AWAY,
    };
    away + DOUBT * f64::from(load.doubts)
}

fn pick_earliest<'a>(ratings: impl Iterator<Item = &'a Rating>) -> Option<&'a Rating> {
    ratings.min_by(|a, b| a.wait.total_cmp(&b.wait).then(a.tie.cmp(&b.tie)))
}

/// The part of its slots that a group has in use.
fn part_used(head: &Runner, load: Load) -> f64 {
    f64::from(load.running) / f64::from(head.slots.max(1))
}

/// How long a group reads a prompt, in milliseconds.
fn time_reading(choice: &Choice, tokens: u32) -> f64 {
    if choice.speed.prompt_tokens_per_ms <= 0.0 {
        0.0
    } else {
        choice.model.pace * f64::from(tokens) / choice.speed.prompt_tokens_per_ms
    }
}

/// How long a step of a group takes that writes for `running` requests, in milliseconds.
fn time_step(choice: &Choice, running: u32) -> f64 {
    choice.model.pace * (choice.speed.step_ms + choice.speed.per_request_ms * f64::from(running))
}

/// How long a pass takes.
fn time_pass(choice: &Choice, running: u32) -> f64 {
    time_step(choice, running) * choice.speed.stride
}

/// How long a slot is in use by one request where all are.
fn time_stream(choice: &Choice, slots: u32) -> f64 {
    let time = choice.speed.usual_answer_tokens * time_step(choice, slots);
    if time > 0.0 { time } else { STREAM_UNSET }
}
