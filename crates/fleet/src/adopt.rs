//! Adoption of groups that serve but are in no plan.
//!
//! When the store is restored from an older copy, the next decider knows no more than that copy.
//! Runners in groups that it does not know look like strays, and to dissolve those groups would
//! interrupt service. Epochs are issued in plans before any order names them, so an epoch beyond
//! all plans proves that a plan was lost.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;

use crate::catalog::Service;
use crate::places;
use crate::plan::{Document, Group, Plans, State};
use crate::roster::Roster;
use crate::runner::{Epoch, Runner};
use crate::snapshot::name_solo;

/// The reconstructed content of lost plans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Adoption {
    /// The plans, with the groups that serve.
    pub plans: Vec<(id::Domain, Document)>,
    /// Domains in which only some members of a group are seen.
    pub incomplete: BTreeSet<id::Domain>,
}

/// Returns the members, by rank, of groups with epochs beyond all plans.
fn list_strays<'a>(
    roster: &'a Roster,
    plans: &Plans,
) -> BTreeMap<(&'a id::Domain, Epoch, &'a id::Group), Vec<&'a Runner>> {
    let last_epoch = plans.values().map(|plan| plan.top).max().unwrap_or_default();
    let mut strays: BTreeMap<_, Vec<&Runner>> = BTreeMap::new();
    for runner in roster.iter() {
        let (Some(domain), Some(place)) = (&runner.domain, &runner.membership) else { continue };
        if place.epoch > last_epoch && place.group != name_solo(&runner.id) {
            strays.entry((domain, place.epoch, &place.group)).or_default().push(runner);
        }
    }
    for members in strays.values_mut() {
        members.sort_by_key(|runner| runner.membership.as_ref().map(|place| place.rank));
    }
    strays
}

/// Returns the group if all its members are seen.
fn find_complete(services: &[Service], epoch: Epoch, name: &id::Group, members: &[&Runner]) -> Option<Group> {
    let head = members.first()?;
    let model = head.models.first().or(head.served.as_ref())?;
    let service = services.iter().find(|service| service.id == head.service)?;
    let size = service.engine.as_ref()?.models.iter().find(|known| known.name == *model)?.size;
    let ranks = members.iter().filter_map(|runner| Some(runner.membership.as_ref()?.rank));
    (members.len() == size && ranks.eq(0..size)).then(|| Group {
        name: name.clone(),
        epoch,
        service: head.service.clone(),
        model: model.clone(),
        members: members.iter().map(|runner| runner.id.clone()).collect(),
        state: State::Active,
        still: false,
        lives: members.iter().map(|runner| runner.incarnation).collect(),
    })
}

/// Finds the groups that are in no plan because plans were lost, and adds them. A planned group
/// that shares a member with one of these was retired before it was formed, and is dropped.
pub fn adopt(services: &[Service], roster: &Roster, plans: &Plans) -> Adoption {
    let mut found = plans.clone();
    let mut changed = BTreeSet::new();
    let mut incomplete = BTreeSet::new();
    for ((domain, epoch, name), members) in list_strays(roster, plans) {
        let Some(group) = find_complete(services, epoch, name, &members) else {
            incomplete.insert(domain.clone());
            continue;
        };
        let plan = found.entry(domain.clone()).or_default();
        plan.groups.retain(|former| !former.members.iter().any(|id| group.members.contains(id)));
        plan.groups.push(group);
        plan.top = plan.top.max(epoch);
        places::record(plan, roster);
        changed.insert(domain.clone());
    }
    found.retain(|domain, _| changed.contains(domain));
    Adoption { plans: found.into_iter().collect(), incomplete }
}
