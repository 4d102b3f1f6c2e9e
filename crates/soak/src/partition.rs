//! Whether callers of nodes that reach no runner are served like those of the others.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::check::{Breach, Record, Trouble};
use crate::load::Call;
use crate::plan::Fault;

/// From when after the begin of a cut callers have to be served.
const CONTACT: Duration = Duration::from_millis(3000);

/// Callers at a cut node are served at least this part as often as those at the others ...
const MIN_PART: f64 = 2.0 / 3.0;

/// ... unless no more than these, and this part, fail there.
const FAILED: f64 = 10.0;
const FAILED_PART: f64 = 1.0 / 50.0;

/// How many requests were sent, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Requests.
    pub sent: usize,
    /// Whole successes.
    pub served: usize,
}

impl<'a> FromIterator<&'a Call> for Count {
    fn from_iter<I: IntoIterator<Item = &'a Call>>(calls: I) -> Count {
        let mut count = Count::default();
        calls.into_iter().for_each(|call| count.add(call));
        count
    }
}

impl Count {
    fn add(&mut self, call: &Call) {
        let is_served = call.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.complete);
        self.sent += 1;
        self.served += usize::from(is_served);
    }

    /// The part that was served.
    pub(crate) fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    fn failed(self) -> f64 {
        (self.sent - self.served) as f64
    }
}

/// Compares what a node that was cut off served with what the others did.
pub(crate) fn check_partition(trouble: &Trouble, record: &Record) -> Option<Breach> {
    let Some(Fault::Partition(node, _)) = trouble.fault else { return None };
    let (from, to) = (trouble.from + CONTACT, trouble.to);
    let near = |other: &&Trouble| other.from < to && other.to + CONTACT > trouble.from;
    let near: Vec<&Trouble> = record.troubles.iter().filter(near).collect();
    if near.iter().any(|other| puts_out_of_touch(other.fault, node)) {
        return None;
    }
    let cut: HashSet<usize> = near.iter().filter_map(|other| find_cut(other.fault)).collect();
    let (mut here, mut others) = (Count::default(), Count::default());
    for call in record.calls.iter().filter(|call| is_judged(call, from, to, record)) {
        if call.node == node {
            here.add(call);
        } else if !cut.contains(&call.node)
            && !near.iter().any(|other| puts_out_of_touch(other.fault, call.node))
        {
            others.add(call);
        }
    }
    let is_worse = here.share() < MIN_PART * others.share();
    let is_much = here.failed() > FAILED + FAILED_PART * here.sent as f64;
    (is_worse && is_much).then_some(Breach::Partition(node, here, others))
}

/// Whether a fault excuses a node from being judged.
fn puts_out_of_touch(fault: Option<Fault>, node: usize) -> bool {
    use Fault::*;
    match fault {
        Some(Kill(at) | Pause(at) | Starve(at) | Stop(at) | Suspend(at) | StoreLink(at, _)) => at == node,
        Some(Store(_) | Older) => true,
        _ => false,
    }
}

fn find_cut(fault: Option<Fault>) -> Option<usize> {
    match fault {
        Some(Fault::Partition(node, _)) => Some(node),
        _ => None,
    }
}

/// Whether a call was sent within the time with a key that was not taken away.
fn is_judged(call: &Call, from: Instant, to: Instant, record: &Record) -> bool {
    let taken = record.revoked.get(call.key).copied().flatten();
    (from..to).contains(&call.sent) && taken.is_none_or(|taken| taken > call.done)
}
