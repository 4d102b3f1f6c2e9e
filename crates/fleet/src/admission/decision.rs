//! What a queue is asked and what it answers.

use cottoncrank::Millis;

use crate::admission::class::Class;
use crate::admission::fairness::Flow;

/// The least rate from which the time to empty a queue is predicted, in places per second. A lower rate is
/// what is left of an average over places of seconds ago. It says nothing about the next place, and
/// callers would be told to return in hours.
const MIN_DRAIN_RATE: f64 = 1.0;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks for a place.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// The account that it counts for.
    pub flow: Flow,
    /// The time until the wanted first event.
    pub left: Millis,
    /// The tokens of its prompt and of a usual answer.
    pub tokens: f64,
}

/// Whether a request has a place now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict<A> {
    /// It has a place, and runs there.
    Take(A),
    /// It has no place; the earliest possible first event is this many milliseconds away.
    Full(u64),
    /// It needs no place, because it is answered otherwise.
    Other(A),
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No place is predicted within its time.
    NoPlace,
    /// Too many wait already, or nothing may wait here now.
    NoRoom,
    /// More urgent requests arrived while it waited, and no place is predicted within its time any more.
    Overtaken,
    /// It has waited for its longest time.
    Expired,
}

impl Reason {
    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoPlace => "no_place",
            Reason::NoRoom => "no_room",
            Reason::Overtaken => "overtaken",
            Reason::Expired => "expired",
        }
    }
}

/// A refusal with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How many waited.
    pub length: usize,
    /// How many of them were ahead.
    pub ahead: usize,
    /// The places that its class got per second.
    pub rate: f64,
    /// The time that it could have waited.
    pub left: Millis,
    /// The time until the earliest possible first event, in milliseconds.
    pub wait: u64,
}

impl Refusal {
    /// Returns the time until all requests that waited have a place, and at least the time until the
    /// earliest possible first event.
    pub fn drain_time(&self) -> Millis {
        let is_predictable = self.rate >= MIN_DRAIN_RATE;
        let drain = if is_predictable { (self.length as f64 + 1.0) * 1000.0 / self.rate } else { 0.0 };
        Millis(self.wait.max(drain as u64))
    }
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision<A> {
    /// It is answered now.
    Answer(A),
    /// It is held, until this time at most.
    Wait(Ticket, Millis),
    /// It is refused.
    Refuse(Refusal),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome<A> {
    /// It is answered.
    Answer(A),
    /// It is refused.
    Refuse(Refusal),
}

/// The end of a wait.
#[derive(Clone, Debug)]
pub struct Settled<P, A> {
    /// What was handed in with the request.
    pub payload: P,
    /// The request's class.
    pub class: Class,
    /// How long it waited.
    pub waited: Millis,
    /// What became of it.
    pub outcome: Outcome<A>,
}

/// Requests of a priority since the counts were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub asked: u64,
    /// Those that waited.
    pub waited: u64,
    /// Those that were refused, whether or not they waited.
    pub refused: u64,
}
