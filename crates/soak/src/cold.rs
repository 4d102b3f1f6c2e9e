//! Checks that runners that came back cold got no more requests than they take while cold.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::check::{Breach, Record, Trouble};
use crate::evacuation::{EXCUSED, is_cut};
use crate::fleet::COLD_PER_S;
use crate::plan::Fault;

/// The time over which the requests to a cold runner are counted.
const WINDOW: Duration = Duration::from_millis(1000);

/// The factor by which the requests in a window may exceed the runner's rate.
const RATE_TOLERANCE: f64 = 1.5;

/// The number of requests in a window that are allowed besides.
const EXTRA_REQUESTS: f64 = 5.0;

/// Returns the breach if a runner that came back cold got more requests than it takes, from all nodes
/// together. Requests of nodes that were cut off from the store, and may not have learned that the runner
/// was cold, are not counted.
pub(crate) fn check_cold(cold: &Trouble, record: &Record) -> Option<Breach> {
    let Some(Fault::Cold(runner)) = cold.fault else { return None };
    let witness = record.witnesses.get(runner)?;
    let nodes: HashMap<&str, usize> = record.calls.iter().map(|call| (call.id.as_str(), call.node)).collect();
    let is_excused = |node: usize, at: Instant| {
        let near = |trouble: &&Trouble| trouble.from < at && trouble.to + EXCUSED > cold.from;
        record.troubles.iter().filter(near).any(|trouble| is_cut(trouble.fault, node))
    };
    let came = witness.seen.iter().filter(|seen| (cold.from..cold.to).contains(&seen.at));
    let came = came.filter_map(|seen| Some((seen.at, *nodes.get(seen.request.as_str())?)));
    let counted: Vec<(Instant, usize)> = came.filter(|(at, node)| !is_excused(*node, *at)).collect();
    let in_window = |(from, _): &(Instant, usize)| {
        let inside = counted.iter().filter(|(at, _)| (*from..*from + WINDOW).contains(at));
        inside.map(|(_, node)| *node).collect::<Vec<_>>()
    };
    let mut most = counted.iter().map(in_window).max_by_key(Vec::len).unwrap_or_default();
    let count = most.len();
    most.sort_unstable();
    most.dedup();
    let allowed = COLD_PER_S * WINDOW.as_secs_f64() * RATE_TOLERANCE + EXTRA_REQUESTS;
    (count as f64 > allowed).then(|| Breach::Cold(witness.id.clone(), count, most))
}
