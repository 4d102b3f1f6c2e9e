//! Requests that ended without an answer.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::check::{Breach, Record, SLACK, Trouble, Witness, check_stop};
use crate::fleet::GRACE_S;
use crate::load::{Call, DEADLINE_MS, Kind};
use crate::plan::{Fault, Harm};

/// A connection that ends within this after the last byte of a request may have crossed it.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A fault excuses requests that are sent within this after it.
const CONTACT: Duration = Duration::from_millis(3000);

/// The time within which nodes apply a configuration.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);

/// Work counts for so long beyond its time.
const BEYOND: Duration = Duration::from_millis(1000);

/// The part of its time that a request may have used for a configuration to count as the cause.
const USED_PART: f64 = 0.7;

/// A configuration counts if requests are cut so many times as often as otherwise.
const MORE_OFTEN: f64 = 3.0;

/// A request sent this long after a stop is excused if it still ran in the last part of the grace period.
const LATE_SENT: Duration = Duration::from_millis(3000);
const LAST_PART: f64 = 1.0 / 6.0;

/// Requests that a runner had, from kept connections that ended, at most.
const MOST_DROPPED: usize = 3;

/// What a request was cut around.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A stop of the node.
    Stop,
    /// A reload of the node.
    Reload,
    /// A configuration.
    Configuration,
    /// The node waited for its processor, which is no fault of the request's.
    Starve,
}

/// Returns the requests that a node lost around planned work, and those that were dropped at any time.
pub(crate) fn check_lost(record: &Record) -> Vec<Breach> {
    let lookup = Lookup::new(record);
    let judged: Vec<&Call> = record.calls.iter().filter(|call| !lookup.is_excused(call)).collect();
    let cut: Vec<&Call> = judged.iter().copied().filter(|call| lookup.is_cut(call)).collect();
    let mut breaches = lookup.list_lost(&judged, &cut);
    let is_dropped = |call: &&&Call| !call.is_new && lookup.count_runs(call) > 0 && is_silent(call);
    let dropped = cut.iter().filter(is_dropped).count();
    if dropped > MOST_DROPPED {
        breaches.push(Breach::Dropped(dropped));
    }
    breaches
}

/// Whether not even a status came.
fn is_silent(call: &Call) -> bool {
    call.answer.as_ref().is_some_and(|answer| answer.status == 0)
}

/// What is looked up for each request.
struct Lookup<'a> {
    record: &'a Record,
    handed: HashMap<&'a str, Vec<&'a Witness>>,
}

impl<'a> Lookup<'a> {
    fn new(record: &'a Record) -> Lookup<'a> {
        let mut handed: HashMap<&str, Vec<&Witness>> = HashMap::new();
        for witness in &record.witnesses {
            let requests: HashSet<&str> = witness.seen.iter().map(|seen| seen.request.as_str()).collect();
            for request in requests {
                handed.entry(request).or_default().push(witness);
            }
        }
        Lookup { record, handed }
    }

    fn was_handed_on(&self, call: &Call) -> bool {
        self.handed.contains_key(call.id.as_str())
    }

    /// Returns how often runners began to work on it; they may have declined it.
    fn count_runs(&self, call: &Call) -> usize {
        let seen = self.handed.get(call.id.as_str()).into_iter().flatten().flat_map(|witness| &witness.seen);
        seen.filter(|seen| seen.executed && seen.request == call.id).count()
    }

    /// Whether another check reports it already.
    fn is_reported(&self, call: &Call) -> bool {
        check_stop(call, self.count_runs(call), self.record).is_some()
    }

    /// Whether a node ended the connection of a whole request without a whole answer, before the request's time
    /// was over.
    fn is_cut(&self, call: &Call) -> bool {
        let (Some(answer), Some(whole)) = (&call.answer, call.whole) else { return false };
        let late = call.done - whole > LOSS_SLACK;
        let in_time = call.done - call.sent + SLACK < Duration::from_millis(DEADLINE_MS);
        let has_whole = answer.status != 0 && answer.complete;
        !has_whole && in_time && (late || self.was_handed_on(call))
    }

    /// Whether something unplanned from a while before the request to its end may have cut it.
    fn is_excused(&self, call: &Call) -> bool {
        let near = |trouble: &&Trouble| trouble.from < call.done && trouble.to + CONTACT > call.sent;
        self.record.troubles.iter().filter(near).any(|trouble| self.excuses(trouble.fault, call))
    }

    fn excuses(&self, fault: Option<Fault>, call: &Call) -> bool {
        use Fault::*;
        let was_handed_on = self.was_handed_on(call);
        let streams = call.kind == Kind::Stream;
        match fault {
            Some(Stop(_) | Starve(_) | Forget) => false,
            // What no runner had was in the hands of this node alone.
            Some(Kill(node) | Pause(node) | Suspend(node)) => node == call.node || was_handed_on,
            // It may have been passed on, and lost on the way.
            Some(Partition(node, _)) if node == call.node => true,
            Some(RunnerLink(_, Harm::Silence)) => streams,
            Some(RunnerLink(..) | Runner(..) | Lapse(_) | Restart(_) | Foreign(..)) => {
                was_handed_on && streams
            }
            Some(Deadly(number)) => was_handed_on && number.is_multiple_of(2) == streams,
            Some(Cold(runner)) => was_handed_on && self.is_of(runner, call),
            _ => was_handed_on,
        }
    }

    /// Whether this runner is of the kind that the request goes to.
    fn is_of(&self, runner: usize, call: &Call) -> bool {
        let witness = self.record.witnesses.get(runner);
        witness.is_none_or(|witness| witness.id.starts_with("e-") == (call.kind == Kind::Stream))
    }

    fn list_lost(&self, judged: &[&Call], cut: &[&Call]) -> Vec<Breach> {
        let mut lost: BTreeMap<usize, Vec<(&Call, Work)>> = BTreeMap::new();
        for call in cut.iter().filter(|call| !self.is_reported(call)) {
            if let Some(work) = self.find_work(call, judged, cut) {
                lost.entry(call.node).or_default().push((call, work));
            }
        }
        let list = lost.into_iter().filter_map(|(node, calls)| {
            let (first, work) = calls.iter().min_by_key(|(call, _)| call.sent)?;
            let after = first.done - first.whole?;
            Some(Breach::Lost(node, calls.len(), *work, first.id.clone(), after))
        });
        list.collect()
    }

    /// Returns the planned work around which the request was cut.
    fn find_work(&self, call: &Call, judged: &[&Call], cut: &[&Call]) -> Option<Work> {
        let all = || self.record.troubles.iter().chain(&self.record.asked);
        if all().any(|work| is_around_stop(work, call) && !self.ran_to_the_end(work, call)) {
            return Some(Work::Stop);
        }
        if all().any(|work| is_around_reload(work, call)) {
            return Some(Work::Reload);
        }
        if all().any(|work| is_around_starve(work, call)) {
            return Some(Work::Starve);
        }
        let used = (call.done - call.sent).as_secs_f64();
        let fresh = used < USED_PART * Duration::from_millis(DEADLINE_MS).as_secs_f64();
        let counts =
            fresh && self.is_around_configuration(call) && self.cuts_more_often(call.node, judged, cut);
        counts.then_some(Work::Configuration)
    }

    /// Whether a runner was still at work on it as the grace period ended.
    fn ran_to_the_end(&self, stop: &Trouble, call: &Call) -> bool {
        let last = stop.from + Duration::from_secs_f64(GRACE_S * (1.0 - LAST_PART));
        self.was_handed_on(call) && call.done > last && call.sent < stop.from + LATE_SENT
    }

    fn is_around_configuration(&self, call: &Call) -> bool {
        let around = |work: &Trouble| is_within(call, work.from, work.from + CONFIG_APPLY + BEYOND);
        self.record.asked.iter().any(|work| work.fault == Some(Fault::Rekey) && around(work))
    }

    fn cuts_more_often(&self, node: usize, judged: &[&Call], cut: &[&Call]) -> bool {
        let share = |around: bool| {
            let counts = |call: &&&Call| call.node == node && self.is_around_configuration(call) == around;
            let sent = judged.iter().filter(counts).count();
            cut.iter().filter(counts).count() as f64 / sent.max(1) as f64
        };
        share(true) > MORE_OFTEN * share(false)
    }
}

fn is_within(call: &Call, from: Instant, to: Instant) -> bool {
    call.done > from && call.sent < to
}

fn is_around_stop(work: &Trouble, call: &Call) -> bool {
    let to = work.from + Duration::from_secs_f64(GRACE_S) + BEYOND;
    work.stop == Some(call.node) && is_within(call, work.from, to)
}

fn is_around_reload(work: &Trouble, call: &Call) -> bool {
    work.fault == Some(Fault::Reload(call.node)) && is_within(call, work.from, work.from + CONFIG_APPLY)
}

fn is_around_starve(work: &Trouble, call: &Call) -> bool {
    work.fault == Some(Fault::Starve(call.node)) && is_within(call, work.from, work.to)
}
