//! The promises, and whether what was seen keeps them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::runner::{EVENTS_PER_STREAM, Join, ReceivedRequest};
use thiserror::Error;

use crate::cold::check_cold;
use crate::evacuation::check_evacuation;
use crate::fleet::REVOKE_MS;
use crate::limits::check_limits;
use crate::load::{Call, Kind};
use crate::lost::{Work, check_lost};
use crate::partition::{Count, check_partition};
use crate::plan::Fault;
use crate::recovery::check_recovery;

/// A runner that leaves gets nothing new after this.
const DRAIN: Duration = Duration::from_millis(2000);

/// Kept on top of each span: this process and the nodes share one busy machine.
pub(crate) const SLACK: Duration = Duration::from_millis(300);

/// Around a fault nodes may know less than the spans above ask for.
const UNSETTLED: Duration = Duration::from_millis(3000);

/// A promise that was not kept.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum Breach {
    /// A success is not the runner's whole answer to this request.
    #[error("{0}: a success that is not the whole answer to it: {1}")]
    Mixed(String, String),
    /// A stream lacks, repeats or reorders events.
    #[error("{0}: the events are {1:?}")]
    Order(String, Vec<u64>),
    /// A request that must not be repeated ran more than once.
    #[error("{0}: it ran {1} times")]
    Twice(String, usize),
    /// A request that was said not to have run has.
    #[error("{0}: it was answered {1}, and ran {2} times")]
    Refused(String, u16, usize),
    /// A request ran with a key that was taken away long before.
    #[error("{0}: it ran with key {1}, taken away {2:?} before")]
    Revoked(String, usize, Duration),
    /// A node took a key again that it had refused as taken away.
    #[error("{0}: node {1} took key {2} again")]
    Reverted(String, usize, usize),
    /// A runner got a request long after it had said that it leaves.
    #[error("{0}: {1} got it {2:?} after it had said that it leaves")]
    Drain(String, String, Duration),
    /// A planned stop broke a request off.
    #[error("{0}: node {1} was told to stop and gave no whole answer")]
    Cut(String, usize),
    /// A request ran in a group that lacked a member.
    #[error("{0}: it ran at {1} in {2} of epoch {3}, which {4} never joined")]
    Partial(String, String, String, u64, String),
    /// A runner joined a group while the head of its former one was open.
    #[error("{0} joined {1} while {2} of its former group {3} was open")]
    Two(String, String, String, String),
    /// A request that ends runners reached them too often in a fleet without faults.
    #[error("{0}: {1} runs, and {2} more after all faults")]
    Deadly(String, usize, usize),
    /// A runner that wanted no requests for a while got some from a node that it had told.
    #[error("{0} wanted no requests and got {1} from node {2}")]
    BackOff(String, usize, usize),
    /// A runner got more requests than the rate it named allows, from nodes that it had told.
    #[error("{0} named a limit of {1} a second and got {2} in 4 s")]
    Limit(String, f64, usize),
    /// A runner of an evacuated hall got a request from a node in touch with the store.
    #[error("{0}: {1} of evacuated {2} got it from node {3}, {4:?} after the request to evacuate")]
    Evacuated(String, String, &'static str, usize, Duration),
    /// During an evacuation a node served nothing of a kind that the other halls serve.
    #[error("while {0} was evacuated node {1} served none of {2} {3:?}")]
    Elsewhere(&'static str, usize, usize, Kind),
    /// A hall got no requests after its evacuation was withdrawn.
    #[error("{0} was taken back and got no request within {1:?}")]
    TakenBack(&'static str, Duration),
    /// A cold runner got more requests in a second than it bears.
    #[error("{0} was cold and got {1} requests in a second, from nodes {2:?}")]
    Cold(String, usize, Vec<usize>),
    /// Callers of a node that reached no runner were served far worse than those of the others.
    #[error("node {0} reached no runner and served {1:?}, the others {2:?}")]
    Partition(usize, Count, Count),
    /// A request that ends nothing was refused as one that does.
    #[error("{0}: it was answered 400")]
    Wronged(String),
    /// A fleet without faults does not serve.
    #[error("after all faults node {0} does not serve {1:?}: status {2}")]
    Recover(usize, Kind, u16),
    /// A node ended the connections of requests without an answer to them.
    #[error("node {0} lost {1} requests, around {2:?} for one: {3} ended {4:?} after its last byte")]
    Lost(usize, usize, Work, String, Duration),
    /// Connections that are kept ended with requests that runners had.
    #[error("{0} requests of kept connections had reached a runner, and got no answer")]
    Dropped(usize),
    /// A fleet that served before its last fault does not serve after it.
    #[error("the fleet served {0:?} before its last fault, and {1:?} long after it")]
    Recovery(Count, Count),
    /// A node ended by itself.
    #[error("node {0} ended by itself")]
    Ended(usize),
}

/// A span of time in which something was wrong.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
    /// The node that was told to stop, if that is all it is.
    pub stop: Option<usize>,
    /// What it was, where that matters.
    pub fault: Option<Fault>,
}

/// What a runner saw.
#[derive(Clone, Debug)]
pub struct Witness {
    /// Its id.
    pub id: String,
    /// The requests it got.
    pub seen: Vec<ReceivedRequest>,
    /// The hall it stands in.
    pub hall: &'static str,
    /// The groups it joined.
    pub joins: Vec<Join>,
    /// When it said that it leaves.
    pub left: Option<Instant>,
}

/// All that was seen in one run.
#[derive(Debug, Default)]
pub struct Record {
    /// What callers saw.
    pub calls: Vec<Call>,
    /// What runners saw.
    pub witnesses: Vec<Witness>,
    /// When each key was taken away.
    pub revoked: Vec<Option<Instant>>,
    /// What was asked of the fleet and excuses little: evacuations, rates that runners
    /// named, runners that were cold, reloads and new keys.
    pub asked: Vec<Trouble>,
    /// When something was wrong.
    pub troubles: Vec<Trouble>,
    /// When all that was wrong had ended, with callers still asking.
    pub back: Option<Instant>,
    /// When all faults were over, and all nodes could know what had happened.
    pub settled: Option<Instant>,
    /// What was noticed while it ran.
    pub noticed: Vec<Breach>,
}

/// Lists the promises that were not kept.
pub fn check(record: &Record) -> Vec<Breach> {
    let mut breaches = record.noticed.clone();
    let runs = count_runs(record);
    for call in &record.calls {
        let runs = runs.get(call.id.as_str()).copied().unwrap_or(0);
        breaches.extend(check_answer(call));
        breaches.extend(check_runs(call, runs));
        breaches.extend(check_key(call, runs, record));
        breaches.extend(check_stop(call, runs, record));
        breaches.extend(check_wronged(call));
    }
    breaches.extend(check_reverts(record));
    breaches.extend(check_deadly(record));
    breaches.extend(check_lost(record));
    breaches.extend(check_recovery(record));
    for asked in &record.asked {
        breaches.extend(check_evacuation(asked, record));
        breaches.extend(check_cold(asked, record));
    }
    for trouble in &record.troubles {
        breaches.extend(check_partition(trouble, record));
    }
    for witness in &record.witnesses {
        breaches.extend(check_drain(witness, record));
        breaches.extend(check_groups(witness, record));
        breaches.extend(check_backoff(witness, record));
        breaches.extend(check_limits(witness, record));
    }
    breaches
}

/// What is under way may come for this long after a runner has said that it wants none, and so
/// many more after that.
const UNDER_WAY: Duration = Duration::from_millis(500);
const BACKOFF_MORE: usize = 2;

/// A runner that wants no requests for a while gets none from a node that it has told, unless
/// that node's process did not run, or the way there was harmed.
fn check_backoff(witness: &Witness, record: &Record) -> Vec<Breach> {
    let nodes: HashMap<&str, usize> = record.calls.iter().map(|call| (call.id.as_str(), call.node)).collect();
    let seen: Vec<(&ReceivedRequest, usize)> =
        witness.seen.iter().filter_map(|seen| Some((seen, *nodes.get(seen.request.as_str())?))).collect();
    let mut breaches = Vec::new();
    for (told, node) in &seen {
        let Some(span) = told.backoff else { continue };
        let binds = told.at + UNDER_WAY..told.at + span.duration();
        let came = seen.iter().filter(|(other, from)| {
            from == node && other.incarnation == told.incarnation && binds.contains(&other.at)
        });
        let came = came.count();
        let excused = record
            .troubles
            .iter()
            .any(|trouble| trouble.from < binds.end && trouble.to > told.at && excuses(trouble.fault, *node));
        if came > BACKOFF_MORE && !excused {
            breaches.push(Breach::BackOff(witness.id.clone(), came, *node));
        }
    }
    breaches
}

/// Whether a fault excuses a node that a runner has told something of itself.
pub(crate) fn excuses(fault: Option<Fault>, node: usize) -> bool {
    use Fault::*;
    match fault {
        Some(Kill(at) | Pause(at) | Starve(at) | Stop(at) | Suspend(at)) => at == node,
        Some(RunnerLink(..)) => true,
        _ => false,
    }
}

fn count_runs(record: &Record) -> HashMap<&str, usize> {
    let mut runs = HashMap::new();
    let seen = record.witnesses.iter().flat_map(|witness| &witness.seen);
    for seen in seen.filter(|seen| seen.executed) {
        *runs.entry(seen.request.as_str()).or_default() += 1;
    }
    runs
}

fn check_answer(call: &Call) -> Option<Breach> {
    let answer = call.answer.as_ref()?;
    if !(200..300).contains(&answer.status) {
        return None;
    }
    let mixed = |why: &str| Some(Breach::Mixed(call.id.clone(), why.to_owned()));
    if !answer.is_signed(&call.id) {
        return mixed("it is not signed for it");
    }
    if call.kind != Kind::Stream {
        return match !answer.complete || answer.body == format!("done {}", call.id) {
            true => None,
            false => mixed(&answer.body),
        };
    }
    let events = answer.events();
    let in_order = events.iter().enumerate().all(|(at, id)| *id == at as u64);
    if !in_order || (answer.complete && events.len() as u64 != EVENTS_PER_STREAM) {
        return Some(Breach::Order(call.id.clone(), events));
    }
    None
}

fn check_runs(call: &Call, runs: usize) -> Option<Breach> {
    if call.kind == Kind::Once && runs > 1 {
        return Some(Breach::Twice(call.id.clone(), runs));
    }
    let status = call.answer.as_ref().map_or(0, |answer| answer.status);
    let promised = matches!(status, 408 | 421 | 429 | 503);
    (promised && runs > 0).then(|| Breach::Refused(call.id.clone(), status, runs))
}

fn check_key(call: &Call, runs: usize, record: &Record) -> Option<Breach> {
    let taken = record.revoked.get(call.key).copied().flatten()?;
    let late = call.sent.checked_duration_since(taken)?;
    let bound = Duration::from_millis(REVOKE_MS);
    (runs > 0 && late > bound).then(|| Breach::Revoked(call.id.clone(), call.key, late))
}

fn check_wronged(call: &Call) -> Option<Breach> {
    let status = call.answer.as_ref().map_or(0, |answer| answer.status);
    (status == 400).then(|| Breach::Wronged(call.id.clone()))
}

/// So many runners have to end under a request before it can be held back, and so many more
/// runs are allowed then. Nodes that saw former ends may have been killed before they told.
const DEADLY_ENDS: usize = 3;
const DEADLY_MORE: usize = 3;

fn check_deadly(record: &Record) -> Vec<Breach> {
    let Some(settled) = record.settled else { return Vec::new() };
    let mut runs: HashMap<&str, (usize, usize)> = HashMap::new();
    let seen = record.witnesses.iter().flat_map(|witness| &witness.seen);
    for seen in seen.filter(|seen| seen.executed && seen.deadly) {
        let name = seen.request.rsplit_once('-').map_or(seen.request.as_str(), |(name, _)| name);
        let (before, after) = runs.entry(name).or_default();
        *(if seen.at < settled { before } else { after }) += 1;
    }
    let late = runs.into_iter().filter(|(_, (_, after))| *after > DEADLY_ENDS + DEADLY_MORE);
    late.map(|(name, (before, after))| Breach::Deadly(name.to_owned(), before, after)).collect()
}

/// A request that a node which was told to stop has passed on is answered whole,
/// unless something else was wrong.
pub(crate) fn check_stop(call: &Call, runs: usize, record: &Record) -> Option<Breach> {
    let near = |trouble: &&Trouble| call.done > trouble.from && call.sent < trouble.to + UNSETTLED;
    let troubles: Vec<&Trouble> = record.troubles.iter().filter(near).collect();
    let stopped = troubles.iter().any(|trouble| trouble.stop == Some(call.node));
    let alone = troubles.iter().all(|trouble| trouble.stop.is_some());
    let whole = call.answer.as_ref().is_some_and(|answer| answer.status != 0 && answer.complete);
    (stopped && alone && runs > 0 && !whole).then(|| Breach::Cut(call.id.clone(), call.node))
}

/// Within one life, a node that refused a key as taken away never takes it again.
fn check_reverts(record: &Record) -> Vec<Breach> {
    let mut refused: HashMap<(usize, u32, usize), Instant> = HashMap::new();
    for call in &record.calls {
        let taken = record.revoked.get(call.key).copied().flatten();
        let status = call.answer.as_ref().map_or(0, |answer| answer.status);
        if status == 401 && taken.is_some_and(|taken| call.sent > taken) {
            let place = refused.entry((call.node, call.life, call.key)).or_insert(call.done);
            *place = (*place).min(call.done);
        }
    }
    let took = |call: &&Call| {
        let since = refused.get(&(call.node, call.life, call.key));
        let answered = call.answer.as_ref().is_some_and(|answer| answer.status == 200);
        answered && since.is_some_and(|since| call.sent > *since)
    };
    let reverted = record.calls.iter().filter(took);
    reverted.map(|call| Breach::Reverted(call.id.clone(), call.node, call.key)).collect()
}

fn check_drain(witness: &Witness, record: &Record) -> Vec<Breach> {
    let Some(left) = witness.left else { return Vec::new() };
    let calm = |at: Instant| {
        let over = |trouble: &Trouble| trouble.to + UNSETTLED < left || trouble.from > at;
        record.troubles.iter().all(over)
    };
    let late = witness.seen.iter().filter(|seen| seen.leaving && seen.at > left + DRAIN + SLACK);
    let late = late.filter(|seen| calm(seen.at));
    late.map(|seen| Breach::Drain(seen.request.clone(), witness.id.clone(), seen.at - left)).collect()
}

/// Every member of a group had joined it before it ran anything, and none joined
/// another one while the head was open.
fn check_groups(witness: &Witness, record: &Record) -> Vec<Breach> {
    let joined: HashSet<(&str, &str, u64)> = record
        .witnesses
        .iter()
        .flat_map(|other| other.joins.iter().map(|join| (other.id.as_str(), join.group.as_str(), join.epoch)))
        .collect();
    let mut breaches = Vec::new();
    for seen in witness.seen.iter().filter(|seen| seen.executed) {
        let Some((group, epoch)) = &seen.group else { continue };
        let join = witness.joins.iter().rfind(|join| join.group == *group && join.epoch == *epoch);
        let members = join.map(|join| join.members.as_slice()).unwrap_or_default();
        let missing = members.iter().find(|id| !joined.contains(&(id.as_str(), group.as_str(), *epoch)));
        if let Some(missing) = missing {
            let (request, id) = (seen.request.clone(), witness.id.clone());
            breaches.push(Breach::Partial(request, id, group.clone(), *epoch, missing.clone()));
        }
    }
    breaches
}
