//! Checks that evacuated halls got no requests after the bound, that the other halls served meanwhile, and
//! that the halls got requests again after they were taken back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::check::{Breach, Record, SLACK, Trouble, Witness, excuses};
use crate::fleet::{EVACUATE_MS, HALLS, REVOKE_MS};
use crate::load::{Call, Kind};
use crate::plan::{Fault, StoreFault};

/// The time after the request to evacuate from which no caller's request may reach the hall.
const BOUND: Duration = Duration::from_millis(EVACUATE_MS);

/// How long a node is excused after it was cut off from the store or did not run.
pub(crate) const EXCUSED: Duration = Duration::from_millis(3000);

/// The time within which a node with contact to the store learns of the request to evacuate: the bound
/// less the hold.
const LEARN_TIME: Duration = Duration::from_millis(EVACUATE_MS - 2000);

/// How long a node is excused after its process was stopped. It may have checked a caller's request before
/// it stopped, and send it when it runs again.
const RESUME_TIME: Duration = Duration::from_millis(500);

/// The time after the withdrawal within which a hall gets requests again. Each node knows all changes of
/// the store that are older than this.
const TAKE_BACK_TIME: Duration = Duration::from_millis(REVOKE_MS + 1000);

/// The least number of requests to a node by which it is judged whether it serves.
const MIN_REQUESTS: usize = 10;

/// The number of engines without a fault from which at least one of three groups is whole.
const MIN_ENGINES: usize = 4;

/// Returns how an evacuation was violated.
pub(crate) fn check_evacuation(evacuation: &Trouble, record: &Record) -> Vec<Breach> {
    let Some(Fault::Evacuate(hall)) = evacuation.fault else { return Vec::new() };
    let hall = HALLS[hall];
    let mut breaches = check_hall(hall, evacuation, record);
    breaches.extend(check_elsewhere(hall, evacuation, record));
    breaches.extend(check_back(hall, evacuation, record));
    breaches
}

/// Whether a fault cuts a node off from the changes of the store.
pub(crate) fn is_cut(fault: Option<Fault>, node: usize) -> bool {
    match fault {
        Some(Fault::StoreLink(at, _)) => at == node,
        // The other faults of the store affect writes only.
        Some(Fault::Store(StoreFault::Busy | StoreFault::Silent) | Fault::Older) => true,
        _ => false,
    }
}

/// Whether a node may have learned of an evacuation too late, or have checked the request that arrived
/// `at` before its process was stopped.
fn is_excused(evacuation: &Trouble, record: &Record, node: usize, at: Instant) -> bool {
    record.troubles.iter().any(|trouble| {
        let missed = trouble.from < evacuation.from + LEARN_TIME && trouble.to + EXCUSED > evacuation.from;
        let stopped = matches!(trouble.fault, Some(Fault::Pause(of) | Fault::Starve(of) | Fault::Suspend(of)) if of == node);
        let resumed = trouble.from < at && trouble.to + RESUME_TIME > at;
        (missed && is_cut(trouble.fault, node)) || (stopped && (missed || resumed))
    })
}

/// Checks that no runner of the hall gets a request after the bound.
fn check_hall(hall: &'static str, evacuation: &Trouble, record: &Record) -> Vec<Breach> {
    let nodes: HashMap<&str, usize> = record.calls.iter().map(|call| (call.id.as_str(), call.node)).collect();
    let closed = evacuation.from + BOUND + SLACK..evacuation.to;
    let mut breaches = Vec::new();
    for witness in record.witnesses.iter().filter(|witness| witness.hall == hall) {
        for seen in witness.seen.iter().filter(|seen| closed.contains(&seen.at)) {
            let Some(node) = nodes.get(seen.request.as_str()).copied() else { continue };
            if !is_excused(evacuation, record, node, seen.at) {
                let (request, id, late) =
                    (seen.request.clone(), witness.id.clone(), seen.at - evacuation.from);
                breaches.push(Breach::Evacuated(request, id, hall, node, late));
            }
        }
    }
    breaches
}

/// Checks that every node that ran all the time serves requests from the other halls.
fn check_elsewhere(hall: &'static str, evacuation: &Trouble, record: &Record) -> Vec<Breach> {
    let closed = evacuation.from + BOUND..evacuation.to;
    let mut asked: HashMap<(usize, bool), (usize, usize)> = HashMap::new();
    let key_is_good = |call: &&Call| record.revoked.get(call.key).is_none_or(Option::is_none);
    for call in record.calls.iter().filter(key_is_good) {
        if closed.contains(&call.sent) && call.done < evacuation.to {
            let (all, served) = asked.entry((call.node, call.kind == Kind::Stream)).or_default();
            *all += 1;
            *served += usize::from(call.answer.as_ref().is_some_and(|answer| answer.status == 200));
        }
    }
    let elsewhere = |witness: &&Witness| witness.hall != hall;
    let others: Vec<&Witness> = record.witnesses.iter().filter(elsewhere).collect();
    let mut breaches = Vec::new();
    for ((node, streams), (all, served)) in asked {
        let near = |trouble: &&Trouble| trouble.from < evacuation.to && trouble.to + EXCUSED > closed.start;
        let ran = !record.troubles.iter().filter(near).any(|trouble| {
            is_cut(trouble.fault, node) || (excuses(trouble.fault, node) && !is_of_engine(trouble.fault))
        });
        let able = if streams {
            have_group(&others, evacuation, record)
        } else {
            !are_limited(hall, evacuation, record)
        };
        if all >= MIN_REQUESTS && served == 0 && ran && able {
            let kind = if streams { Kind::Stream } else { Kind::Read };
            breaches.push(Breach::Elsewhere(hall, node, all, kind));
        }
    }
    breaches
}

fn is_of_engine(fault: Option<Fault>) -> bool {
    matches!(fault, Some(Fault::RunnerLink(..)))
}

/// Whether enough engines are without faults for one group to be whole.
fn have_group(others: &[&Witness], evacuation: &Trouble, record: &Record) -> bool {
    use Fault::*;
    let is_harmed = |witness: &&&Witness| {
        let harms = |trouble: &Trouble| match trouble.fault {
            Some(
                RunnerLink(at, _)
                | Runner(at, _)
                | Lapse(at)
                | Cold(at)
                | Restart(at)
                | Foreign(at, _)
                | Limit(at, _),
            ) => {
                trouble.from < evacuation.to
                    && trouble.to > evacuation.from
                    && witness.id == format!("e-{at}")
            }
            _ => false,
        };
        witness.left.is_some() || record.troubles.iter().chain(&record.asked).any(harms)
    };
    let engines = others.iter().filter(|witness| witness.id.starts_with("e-"));
    engines.filter(|witness| !is_harmed(witness)).count() >= MIN_ENGINES
}

/// Whether a plain runner of another hall announces a rate limit during the evacuation, or is away or cold.
fn are_limited(hall: &'static str, evacuation: &Trouble, record: &Record) -> bool {
    let is_plain_elsewhere = |at: usize| {
        record.witnesses.get(at).is_some_and(|witness| witness.hall != hall && witness.id.starts_with("p-"))
    };
    let meanwhile = |other: &&Trouble| other.from < evacuation.to && other.to > evacuation.from;
    record.troubles.iter().chain(&record.asked).filter(meanwhile).any(|other| match other.fault {
        Some(Fault::Limit(at, _) | Fault::Cold(at)) => is_plain_elsewhere(at),
        _ => false,
    })
}

/// Checks that the hall gets requests again, unless it is evacuated again or the load ends before that.
fn check_back(hall: &'static str, evacuation: &Trouble, record: &Record) -> Option<Breach> {
    let mut by = evacuation.to + TAKE_BACK_TIME;
    for trouble in
        record.troubles.iter().filter(|trouble| matches!(trouble.fault, Some(Fault::Store(_) | Fault::Older)))
    {
        if trouble.to > evacuation.to && trouble.from < by {
            by = by.max(trouble.to + TAKE_BACK_TIME);
        }
    }
    let anew =
        |other: &Trouble| other.fault == evacuation.fault && other.from >= evacuation.to && other.from < by;
    let last = record.calls.iter().map(|call| call.sent).max()?;
    if last < by || record.asked.iter().any(anew) {
        return None;
    }
    let back = evacuation.to..by;
    let runners = record.witnesses.iter().filter(|witness| witness.hall == hall);
    let came = runners.flat_map(|witness| &witness.seen).any(|seen| back.contains(&seen.at));
    (!came).then(|| Breach::TakenBack(hall, by - evacuation.to))
}
