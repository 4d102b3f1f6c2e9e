//! Tells refused callers when to return, and recognizes those that return at that time.
//!
//! It is built for a model whose requests exceed its slots for some seconds, because of a burst or
//! because groups are lost. If all refused callers return after the same time, and in no order, they
//! meet the same shortage and are refused a second time. So each caller gets a time of its own from a
//! schedule that gives away only a part of the places that open. A caller that returns at its time goes
//! before those that come for the first time. One that returns earlier is told the same time again.

use std::collections::{BTreeSet, HashMap};

use cottoncrank::{Millis, id};

use crate::catalog::Model;
use crate::fingerprint::Fingerprint;
use crate::plan::{Group, Plans};
use crate::rate::Rate;
use crate::roster::Roster;
use crate::runner::Epoch;
use crate::snapshot::find_join_time;

/// The fraction of the opening places that the schedule gives away. It is small because callers that
/// come for the first time can still be served in time, and those that return are late already.
const RETURN_SHARE: f64 = 0.1;

/// The time constant of the average rates of arrivals and refusals, in milliseconds. It is short, so
/// that the loss of a model's groups shows soon, and still covers enough requests at 30 a second.
const AVERAGE_TIME: f64 = 1000.0;

/// The lowest rate of the schedule, in callers per millisecond. Even at a model that serves few requests,
/// one caller a second finds a place.
const MIN_RETURN_RATE: f64 = 0.001;

/// The rate of the schedule while a model has no open group, in callers per millisecond. It doesn't
/// depend on the rate served before, because the group that opens has all its slots free.
const OPENING_RATE: f64 = 0.005;

/// Callers return as told only if the time they are told is at most their remaining time divided by
/// this.
const KEPT_DIVISOR: u64 = 3;

/// The remaining time of a caller that does not state one.
pub const DEFAULT_REMAINING: Millis = Millis(30_000);

/// The time between the planning of a return and the caller's own check of it against its remaining
/// time.
const KEPT_MARGIN: Millis = Millis(30);

/// How long before its time a return still counts as on time. Callers are told their time in hundredths
/// of a second.
const EARLY_TOLERANCE: Millis = Millis(10);

/// How long after its time a return still goes first. A caller may have to make a new connection, and
/// may have coarse timers.
const GRACE: Millis = Millis(500);

/// How long after its grace a reservation is remembered, to tell late returns from callers that left.
const LATE_TIME: Millis = Millis(1500);

/// How far the deadlines of two attempts of one caller may differ. Equal requests whose deadlines
/// differ more are of two callers.
const DEADLINE_TOLERANCE: Millis = Millis(100);

/// The most callers with equal requests that may share one time.
const MAX_EQUAL_CALLERS: u8 = 4;

/// The most times told that are remembered for a model. It is enough for a hall that refuses 500 callers
/// a second and tells them to return after 8 s.
pub const MAX_ENTRIES: usize = 4096;

/// The most remembered times without a reserved place, so that there is room for those with one.
const MAX_UNKEPT_ENTRIES: usize = MAX_ENTRIES / 2;

/// A caller that is refused.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// The fingerprint of its request.
    pub fingerprint: Fingerprint,
    /// How long the caller still waits, if known.
    pub remaining: Option<Millis>,
}

/// What is known of a shortage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drain {
    /// How long the work ahead takes until a request could be on time again.
    pub backlog: Millis,
    /// The time until a group opens, if none is open.
    pub opening: Option<Millis>,
}

/// When a caller should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The time until then.
    pub retry: Millis,
    /// Whether a place is reserved. None is if the time is longer than the caller keeps to, or if too many
    /// times are remembered already.
    pub kept: bool,
}

/// How the arrival of a request relates to the time that its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Its caller was told no time.
    First,
    /// It returns as told, to a reserved place.
    Due,
    /// It comes this much before the time that it was told.
    Early(Millis),
    /// It comes this much after the time that it was told.
    Late(Millis),
}

/// What became of reservations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Those whose callers never came.
    pub never: u64,
}

/// The state of a schedule, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The times told that are remembered.
    pub entries: usize,
    /// The rate at which the schedule gives places away.
    pub rate: Rate,
}

/// The rate of an event per millisecond, as an exponential average.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    updated: Millis,
}

impl Average {
    fn get(&self, now: Millis) -> f64 {
        self.value * (-(now.since(self.updated).0 as f64) / AVERAGE_TIME).exp()
    }

    fn record(&mut self, now: Millis) {
        let value = self.get(now) + 1.0 / AVERAGE_TIME;
        *self = Average { value, updated: now.max(self.updated) };
    }
}

/// A time that callers with equal requests were told.
#[derive(Clone, Copy, Debug)]
struct Entry {
    due: Millis,
    /// Whether a place is reserved.
    kept: bool,
    /// The deadline of the caller that was told last.
    deadline: Option<Millis>,
    /// The callers that may return to this time.
    callers: u8,
    /// The early attempts that have not been refused. While there are any, a caller that does not come
    /// at its time may have been served.
    open_attempts: u8,
}

impl Entry {
    /// Returns when the entry is removed.
    fn expiry(&self) -> Millis {
        if self.kept { self.due + GRACE + LATE_TIME } else { self.due }
    }

    /// Whether an attempt with this deadline is of another caller than the last one.
    fn is_other_caller(&self, deadline: Option<Millis>) -> bool {
        let deadlines = self.deadline.zip(deadline);
        deadlines.is_some_and(|(known, new)| known.max(new).since(known.min(new)) > DEADLINE_TOLERANCE)
    }
}

/// The returns to one model.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    arrivals: Average,
    refusals: Average,
    /// The first free time of the schedule, in fractional milliseconds.
    next: f64,
    entries: HashMap<Fingerprint, Entry>,
    by_expiry: BTreeSet<(Millis, Fingerprint)>,
    expired: Expired,
}

impl Returns {
    /// Records the arrival of a request, and tells whether its caller returns as told. A reserved place
    /// is for one arrival.
    pub fn classify(&mut self, fingerprint: &Fingerprint, now: Millis) -> Arrival {
        self.expire(now);
        self.arrivals.record(now);
        let Some(entry) = self.entries.get_mut(fingerprint) else { return Arrival::First };
        if now + EARLY_TOLERANCE < entry.due {
            entry.open_attempts = entry.open_attempts.saturating_add(1);
            return Arrival::Early(entry.due.since(now));
        }
        if !entry.kept {
            return Arrival::First;
        }
        entry.callers -= 1;
        let lateness = now.since(entry.due);
        if entry.callers == 0 {
            self.remove(fingerprint);
        }
        if lateness <= GRACE { Arrival::Due } else { Arrival::Late(lateness) }
    }

    /// Plans the return of a caller whose request is refused.
    pub fn plan(&mut self, caller: &Caller, drain: &Drain, now: Millis) -> Plan {
        self.expire(now);
        let rate = if drain.opening.is_some() { OPENING_RATE } else { self.return_rate(now) };
        self.refusals.record(now);
        let deadline = caller.remaining.map(|remaining| now + remaining);
        if let Some(entry) = self.entries.get_mut(&caller.fingerprint)
            && now < entry.due
        {
            return repeat(entry, deadline, now);
        }
        let max_retry = find_max_retry(caller.remaining.unwrap_or(DEFAULT_REMAINING));
        let earliest = now + drain.opening.unwrap_or_default().max(drain.backlog);
        let slot = self.next.max(earliest.0 as f64);
        let due = Millis(slot.ceil() as u64);
        let retry = due.since(now);
        let kept = self.entries.len() < MAX_ENTRIES && retry <= max_retry;
        if kept {
            self.next = slot + 1.0 / rate;
        }
        self.insert(caller.fingerprint, Entry { due, kept, deadline, callers: 1, open_attempts: 0 });
        Plan { retry, kept }
    }

    /// Returns and resets what became of reservations.
    pub fn take_expired(&mut self) -> Expired {
        std::mem::take(&mut self.expired)
    }

    /// Returns the state of the schedule.
    pub fn summarize(&self, now: Millis) -> Summary {
        Summary { entries: self.entries.len(), rate: Rate::per_second(self.return_rate(now) * 1000.0) }
    }

    /// Returns the places that opened per millisecond lately: the arrivals that were not refused.
    fn served_rate(&self, now: Millis) -> f64 {
        (self.arrivals.get(now) - self.refusals.get(now)).max(0.0)
    }

    /// Returns the callers per millisecond to whom the schedule gives a place.
    fn return_rate(&self, now: Millis) -> f64 {
        (self.served_rate(now) * RETURN_SHARE).max(MIN_RETURN_RATE)
    }

    fn insert(&mut self, fingerprint: Fingerprint, entry: Entry) {
        self.remove(&fingerprint);
        let limit = if entry.kept { MAX_ENTRIES } else { MAX_UNKEPT_ENTRIES };
        if self.entries.len() < limit {
            self.by_expiry.insert((entry.expiry(), fingerprint));
            self.entries.insert(fingerprint, entry);
        }
    }

    fn remove(&mut self, fingerprint: &Fingerprint) -> Option<Entry> {
        let entry = self.entries.remove(fingerprint)?;
        self.by_expiry.remove(&(entry.expiry(), *fingerprint));
        Some(entry)
    }

    fn expire(&mut self, now: Millis) {
        while let Some((expiry, fingerprint)) = self.by_expiry.first().copied()
            && expiry < now
        {
            let Some(entry) = self.remove(&fingerprint) else { return };
            if entry.kept && entry.open_attempts == 0 {
                self.expired.never += u64::from(entry.callers);
            }
        }
    }
}

/// Tells an early caller the time that it was told before. Another caller with an equal request is told
/// it as well.
fn repeat(entry: &mut Entry, deadline: Option<Millis>, now: Millis) -> Plan {
    entry.open_attempts = entry.open_attempts.saturating_sub(1);
    if entry.is_other_caller(deadline) {
        entry.callers = (entry.callers + 1).min(MAX_EQUAL_CALLERS);
        entry.deadline = deadline;
    }
    Plan { retry: entry.due.since(now), kept: entry.kept }
}

/// Returns the longest time after which a caller returns as told.
fn find_max_retry(remaining: Millis) -> Millis {
    Millis(remaining.0 / KEPT_DIVISOR).since(KEPT_MARGIN)
}

/// The time that a group needs besides its loads until it is open and the nodes know it.
const OPENING_TIME: Millis = Millis(500);

/// The groups that are forming and since when, to estimate when they open.
#[derive(Clone, Debug, Default)]
pub struct Openings(HashMap<Epoch, Millis>);

impl Openings {
    /// Returns the time until a group of a model opens; `None` if one is open. If none is forming, it is
    /// the time to form one.
    pub fn estimate(
        &mut self,
        service: &id::Service,
        model: &Model,
        roster: &Roster,
        plans: &Plans,
        now: Millis,
    ) -> Option<Millis> {
        if !roster.list_heads(service, &model.name, plans).is_empty() {
            return None;
        }
        let planned = || plans.values().flat_map(|plan| &plan.groups);
        self.0.retain(|epoch, _| planned().any(|group| group.epoch == *epoch));
        let is_wanted = |group: &&Group| group.service == *service && group.model == model.name;
        let forming = planned().filter(is_wanted).filter(|group| !group.is_retired());
        // A group that already takes longer than its members need is left out: when it opens is unknown.
        let waits = forming.filter_map(|group| {
            let since = *self.0.entry(group.epoch).or_insert(now);
            let members = group.members.iter().map(|id| Some(find_join_time(roster.get(id)?, model)));
            let time = members.collect::<Option<Vec<Millis>>>()?.into_iter().max()?;
            (since + time + OPENING_TIME).0.checked_sub(now.0).map(Millis)
        });
        Some(waits.min().unwrap_or_else(|| estimate_form_time(service, model, roster)))
    }
}

/// Returns how long it takes to form a group that is not planned yet. It is shorter if enough hosts hold
/// a copy of the model.
fn estimate_form_time(service: &id::Service, model: &Model, roster: &Roster) -> Millis {
    let usable = roster.iter().filter(|runner| runner.service == *service && !runner.draining);
    let mut times: Vec<Millis> = usable.map(|runner| find_join_time(runner, model)).collect();
    times.sort_unstable();
    let slowest = times.get(model.size.saturating_sub(1)).copied();
    slowest.unwrap_or(model.load_time).max(model.warm_load_time) + OPENING_TIME
}
