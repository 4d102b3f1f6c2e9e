//! Exchanges: the groups to close in a domain for groups of another model.

use cottoncrank::id;

use crate::catalog::Model;
use crate::plan::{Group, State as Desired};
use crate::preempt::count_holders;
use crate::shift::bounds::is_borrowed;
use crate::shift::lender::Lender;
use crate::snapshot::{Draft, Snapshot, find_join_time};

/// Groups of a domain to close, and how many groups of the other model their members can form.
pub(super) struct Exchange {
    /// The index of the domain's draft.
    pub(super) draft: usize,
    pub(super) victims: Vec<id::Group>,
    pub(super) gained: usize,
    /// The number of runners that stop serving, divided by the number that serve the other model instead.
    cost: f64,
    /// The requests in flight at the victims.
    running: u32,
}

/// Returns the number of domains in which a group of a model is closing. A group counts until its runners
/// have left it.
pub(super) fn count_closing_domains(lender: &Model, drafts: &[Draft]) -> usize {
    let is_closing = |group: &Group| group.model == lender.name && group.state == Desired::Closing;
    drafts.iter().filter(|draft| draft.plan.groups.iter().any(is_closing)).count()
}

/// Returns for each domain the least used groups of `lender` whose members, with the free runners, form
/// groups of `wanted`. Domains without such groups are left out.
pub(super) fn list_exchanges(
    snapshot: &Snapshot,
    lender: &Lender,
    wanted: &Model,
    drafts: &[Draft],
) -> Vec<Exchange> {
    let domains = drafts.iter().enumerate();
    domains.filter_map(|(index, draft)| find_exchange(snapshot, lender, wanted, index, draft)).collect()
}

fn find_exchange(
    snapshot: &Snapshot,
    lender: &Lender,
    wanted: &Model,
    index: usize,
    draft: &Draft,
) -> Option<Exchange> {
    let groups = &draft.plan.groups;
    // The remaining members of a retired group may need the domain's free runners to form a group again.
    if groups.iter().any(|group| group.is_retired() && group.model == lender.model.name) {
        return None;
    }
    let holds = |runner: &&crate::runner::Runner| find_join_time(runner, wanted) < wanted.load_time;
    let free = draft.list_free().into_iter().filter(|runner| holds(runner)).count();
    if free >= wanted.size {
        return None;
    }
    let (mut holders, mut closed, mut running, mut victims) = (free, 0, 0, Vec::new());
    for (in_flight, group) in list_candidates(lender, groups) {
        if holders >= wanted.size {
            break;
        }
        holders += count_holders(snapshot, group, wanted);
        closed += group.members.len();
        running += in_flight;
        victims.push(group.name.clone());
    }
    let gained = holders / wanted.size;
    let cost = closed as f64 / (gained * wanted.size).max(1) as f64;
    (gained > 0 && cost <= 1.0).then_some(Exchange { draft: index, victims, gained, cost, running })
}

/// Returns the open groups of `lender` in a domain with their requests in flight. Those that a shift formed
/// come first, then the least used.
fn list_candidates<'a>(lender: &Lender, groups: &'a [Group]) -> Vec<(u32, &'a Group)> {
    let candidates = groups.iter().filter(|group| group.model == lender.model.name);
    let mut rows: Vec<(u32, &Group)> =
        candidates.filter_map(|group| Some((lender.find_running(group)?, group))).collect();
    rows.sort_by_key(|(running, group)| (!is_borrowed(&group.name), *running, group.epoch));
    rows
}

/// Returns the exchange with the lowest cost, at equal cost the one with the fewest requests in flight.
pub(super) fn pick_cheapest(exchanges: impl Iterator<Item = Exchange>) -> Option<Exchange> {
    exchanges.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.running.cmp(&b.running)))
}

/// Starts to close groups.
pub(super) fn close(draft: &mut Draft, victims: &[id::Group], reason: &str) {
    for group in draft.plan.groups.iter_mut().filter(|group| victims.contains(&group.name)) {
        group.state = Desired::Closing;
        draft.reasons.push(format!("retire {} of {}: {reason}", group.name, group.model));
    }
}
