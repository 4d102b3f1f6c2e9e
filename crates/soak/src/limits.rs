//! Runners that name how many requests a second they take, and whether they got more.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cottoncrank_platform_standin::runner::ReceivedRequest;

use crate::check::{Breach, Record, Trouble, Witness, excuses};

/// A rate binds from this long after it was first named.
const BINDS: Duration = Duration::from_millis(3000);

/// It is judged over this time.
const WINDOW: Duration = Duration::from_millis(4000);

/// So much more than a rate allows may come, and so many requests besides.
const MORE: f64 = 1.5;
const BESIDES: f64 = 5.0;

/// A node keeps it from this long after it has passed on an answer that names it.
const TOLD: Duration = Duration::from_millis(500);

/// A node whose process did not run, or that was cut off, is excused for so long afterwards.
const EXCUSED: Duration = Duration::from_millis(3000);

/// A request that came to a runner.
struct Came<'a> {
    seen: &'a ReceivedRequest,
    node: usize,
}

/// Runners that got more than the rate they named, from the nodes that they had told.
pub(crate) fn check_limits(witness: &Witness, record: &Record) -> Vec<Breach> {
    let nodes: HashMap<&str, usize> = record.calls.iter().map(|call| (call.id.as_str(), call.node)).collect();
    let came = witness.seen.iter();
    let came: Vec<Came> =
        came.filter_map(|seen| Some(Came { seen, node: *nodes.get(seen.request.as_str())? })).collect();
    let spans =
        came.chunk_by(|a, b| a.seen.limit == b.seen.limit && a.seen.incarnation == b.seen.incarnation);
    spans.filter_map(|span| check_span(witness, record, span)).collect()
}

/// The same for requests to which one life of a runner named one rate.
fn check_span(witness: &Witness, record: &Record, span: &[Came]) -> Option<Breach> {
    let first = span.first()?.seen.at;
    let rate = span.first()?.seen.limit.as_ref()?.parse::<f64>().ok()?;
    let mut told: HashMap<usize, Instant> = HashMap::new();
    for came in span {
        told.entry(came.node).or_insert(came.seen.at);
    }
    let counts = |came: &&Came| {
        let at = came.seen.at;
        at >= first + BINDS
            && at >= told[&came.node] + TOLD
            && !is_excused(record, came.node, told[&came.node], at)
    };
    let times: Vec<Instant> = span.iter().filter(counts).map(|came| came.seen.at).collect();
    let in_window = |from: &Instant| times.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
    let most = times.iter().map(in_window).max().unwrap_or(0);
    let allowed = rate * WINDOW.as_secs_f64() * MORE + BESIDES;
    (most as f64 > allowed).then(|| Breach::Limit(witness.id.clone(), rate, most))
}

/// Whether something happened to a node, or to a way of all nodes, since the node was told.
fn is_excused(record: &Record, node: usize, told: Instant, at: Instant) -> bool {
    let near = |trouble: &&Trouble| trouble.from < at && trouble.to + EXCUSED > told;
    record
        .troubles
        .iter()
        .filter(near)
        .any(|trouble| trouble.to + EXCUSED > at && excuses(trouble.fault, node))
}
