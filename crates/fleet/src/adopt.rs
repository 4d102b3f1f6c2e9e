//! Groups that serve and stand in no plan.
//!
//! The load this answers: the store comes back from an older copy, and the node that is elected
//! next knows no more than that. Runners that stand in groups it has never heard of look like
//! remains, and to take them apart stops what serves. Epochs are given out in plans before any
//! order names them: an epoch beyond all plans proves that a plan was lost.

use std::collections::{BTreeMap, BTreeSet};

use cottoncrank::id;

use crate::catalog::Service;
use crate::plan::{Document, Group, Plans, State};
use crate::roster::Roster;
use crate::runner::{Epoch, Runner};
use crate::scene::name_solo;

/// What lost plans were found to have held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Adoption {
    /// The plans, with the groups that serve.
    pub plans: Vec<(id::Domain, Document)>,
    /// Domains in which a group is seen in part only.
    pub unclear: BTreeSet<id::Domain>,
}

/// The members of groups of epochs beyond all plans, by rank.
fn list_strays<'a>(
    roster: &'a Roster,
    plans: &Plans,
) -> BTreeMap<(&'a id::Domain, Epoch, &'a id::Group), Vec<&'a Runner>> {
    let top = plans.values().map(|plan| plan.top).max().unwrap_or_default();
    let mut strays: BTreeMap<_, Vec<&Runner>> = BTreeMap::new();
    for runner in roster.iter() {
        let (Some(domain), Some(place)) = (&runner.domain, &runner.membership) else { continue };
        if place.epoch > top && place.group != name_solo(&runner.id) {
            strays.entry((domain, place.epoch, &place.group)).or_default().push(runner);
        }
    }
    for members in strays.values_mut() {
        members.sort_by_key(|runner| runner.membership.as_ref().map(|place| place.rank));
    }
    strays
}

/// The group, if all its members are seen.
fn complete(services: &[Service], epoch: Epoch, name: &id::Group, members: &[&Runner]) -> Option<Group> {
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

/// Finds the groups that stand in no plan, for plans were lost, and adds them. A former group
/// of their members had been given up before these were formed, and is dropped.
pub fn adopt(services: &[Service], roster: &Roster, plans: &Plans) -> Adoption {
    let mut found = plans.clone();
    let mut changed = BTreeSet::new();
    let mut unclear = BTreeSet::new();
    for ((domain, epoch, name), members) in list_strays(roster, plans) {
        let Some(group) = complete(services, epoch, name, &members) else {
            unclear.insert(domain.clone());
            continue;
        };
        let plan = found.entry(domain.clone()).or_default();
        plan.groups.retain(|former| !former.members.iter().any(|id| group.members.contains(id)));
        plan.groups.push(group);
        plan.top = plan.top.max(epoch);
        changed.insert(domain.clone());
    }
    found.retain(|domain, _| changed.contains(domain));
    Adoption { plans: found.into_iter().collect(), unclear }
}
