//! Where the members of planned groups are reached, also by a node that has seen no entry of theirs.

use cottoncrank::id;

use crate::plan::Document;
use crate::roster::Roster;
use crate::runner::{Place, Runner};

/// Returns where a runner was last known to be: by its entry, also one that is gone, or else by the plans.
pub fn find<'a>(
    mut plans: impl Iterator<Item = &'a Document>,
    roster: &Roster,
    id: &id::Runner,
) -> Option<Place> {
    let seen = roster.get_last_known(id).map(Runner::place);
    seen.or_else(|| plans.find_map(|plan| plan.places.get(id)).cloned())
}

/// Notes in a plan where the members of its groups are, as far as that is known.
pub(crate) fn record(plan: &mut Document, roster: &Roster) {
    let members = plan.groups.iter().flat_map(|group| &group.members);
    let places = members.filter_map(|id| Some((id.clone(), find(std::iter::once(&*plan), roster, id)?)));
    plan.places = places.collect();
}
