//! The input of the planner: the known runners, the plans, and drafts of the plans while they are
//! edited.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Model, Service};
use crate::occupancy::Counts;
use crate::plan::{Document, Group};
use crate::position::Era;
use crate::pressure::Pressure;
use crate::probe::{Health, Probes};
use crate::roster::Roster;
use crate::runner::{Epoch, Phase, Runner, is_later};
use crate::settings::Ceiling;

/// The input of one planning step.
pub struct Snapshot<'a> {
    /// The service whose groups are planned.
    pub service: &'a Service,
    /// The known runners.
    pub roster: &'a Roster,
    /// The plan of each domain.
    pub plans: &'a BTreeMap<id::Domain, Document>,
    /// The era of the store that this term of the decider is in.
    pub era: Era,
    /// Domains whose plan cannot be decoded. Nothing is planned there, because the plan may hold
    /// groups that a later version wrote and that are unknown here.
    pub closed: &'a BTreeSet<id::Domain>,
    /// The results of the health checks of runners.
    pub probes: &'a Probes,
    /// Whether callers have sent requests yet, as far as this node has had some. Before that, loads are
    /// fast. What else shows it, [`crate::callers`] finds.
    pub serving: bool,
    /// The limit on the rate of loads.
    pub ceiling: &'a Ceiling,
    /// The time after which a stalled group is broken.
    pub stall: Millis,
    /// The requests that all nodes have in flight at each group, if enough nodes report theirs.
    pub in_flight: Option<&'a Counts>,
    /// Runners that have been rejecting requests for a while.
    pub rejecting: &'a BTreeSet<id::Runner>,
    /// The requests refused or kept waiting, by model.
    pub pressure: &'a Pressure,
    /// The current time.
    pub now: Millis,
}

impl<'a> Snapshot<'a> {
    /// Whether a runner can be a member of a group at present.
    fn is_fit(&self, runner: &Runner) -> bool {
        !runner.draining
            && !self.roster.evacuations.contains(&runner.hall)
            && !matches!(self.probes.health(&runner.id), Health::Silent | Health::Slow)
    }

    /// Whether a member of a group has restarted since the group was planned.
    pub(crate) fn has_restarted(&self, group: &Group, member: &id::Runner) -> bool {
        let planned = group.find_incarnation(member);
        let seen = self.roster.get_last_known(member).and_then(|runner| runner.incarnation);
        is_later(seen, planned) || is_later(self.probes.find_incarnation(member), planned)
    }

    /// Whether the process with which a group was planned has ended.
    pub(crate) fn has_ended(&self, group: &Group, member: &id::Runner) -> bool {
        self.probes.is_gone(member) || self.has_restarted(group, member)
    }

    /// Returns a runner that has an entry and is not silent.
    pub(crate) fn find(&self, id: &id::Runner) -> Option<&'a Runner> {
        self.roster.get(id).filter(|_| !self.probes.is_silent(id))
    }
}

/// The plan of one fabric domain while the planner edits it.
pub(crate) struct Draft<'a> {
    pub(crate) id: id::Domain,
    pub(crate) plan: Document,
    /// The service's runners in the domain that respond and are not draining, by id.
    pub(crate) runners: Vec<&'a Runner>,
    pub(crate) reasons: Vec<String>,
    /// The groups with a member in a hall under evacuation. They stay planned, so that they are warm
    /// when the hall is taken back, but count for nothing meanwhile.
    pub(crate) evacuated: BTreeSet<Epoch>,
}

impl<'a> Draft<'a> {
    /// Returns the runners that may join a new group now.
    pub(crate) fn list_free(&self) -> Vec<&'a Runner> {
        self.list_unplanned().filter(|runner| runner.membership.is_none() || is_solo(runner)).collect()
    }

    /// Returns the runners that may join a new group once they have left one that is no longer
    /// planned.
    pub(crate) fn list_released(&self) -> impl Iterator<Item = &'a Runner> {
        self.list_unplanned().filter(|runner| runner.membership.is_some() && !is_solo(runner))
    }

    /// Returns the groups outside the halls under evacuation.
    pub(crate) fn list_available(&self) -> impl Iterator<Item = &Group> {
        self.plan.groups.iter().filter(|group| !self.evacuated.contains(&group.epoch))
    }

    /// Whether all groups and runners that could serve here are under evacuation.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.runners.is_empty() && !self.evacuated.is_empty()
    }

    fn list_unplanned(&self) -> impl Iterator<Item = &'a Runner> {
        let planned: HashSet<&id::Runner> =
            self.plan.groups.iter().flat_map(|group| &group.members).collect();
        self.runners.iter().copied().filter(move |runner| !planned.contains(&runner.id))
    }
}

/// Returns a draft for each fabric domain of the service, with the runners that can be members
/// there.
pub(crate) fn list_drafts<'a>(snapshot: &Snapshot<'a>) -> Vec<Draft<'a>> {
    let mut runners: BTreeMap<&id::Domain, Vec<&Runner>> = BTreeMap::new();
    for domain in snapshot.plans.keys() {
        runners.entry(domain).or_default();
    }
    for runner in snapshot.roster.iter().filter(|runner| runner.service == snapshot.service.id) {
        if let Some(domain) = runner.domain.as_ref().filter(|domain| !snapshot.closed.contains(*domain)) {
            runners.entry(domain).or_default().extend(snapshot.is_fit(runner).then_some(runner));
        }
    }
    let drafts = runners.into_iter().map(|(domain, mut runners)| {
        runners.sort_by(|a, b| a.id.cmp(&b.id));
        let plan = snapshot.plans.get(domain).cloned().unwrap_or_default();
        let groups = plan.groups.iter().filter(|group| snapshot.roster.is_evacuated_group(group));
        let evacuated = groups.map(|group| group.epoch).collect();
        Draft { id: domain.clone(), plan, runners, reasons: Vec::new(), evacuated }
    });
    drafts.collect()
}

/// Returns the phase of a runner in a group, if it is a member with the planned rank.
pub(crate) fn find_phase(runner: &Runner, group: &Group) -> Option<Phase> {
    let membership = runner.membership.as_ref()?;
    let placed = group.members.get(membership.rank) == Some(&runner.id);
    let inside = membership.group == group.name && membership.epoch == group.epoch && placed;
    inside.then_some(membership.phase)
}

/// Returns the time that a runner needs until it can serve `model`.
pub(crate) fn find_join_time(runner: &Runner, model: &Model) -> Millis {
    if runner.has_served(&model.name) {
        Millis(0)
    } else if runner.staged.contains(&model.name) {
        model.warm_load_time
    } else {
        model.load_time
    }
}

/// Whether a runner is in its solo group, which takes no requests.
pub(crate) fn is_solo(runner: &Runner) -> bool {
    runner.membership.as_ref().is_some_and(|place| place.group == name_solo(&runner.id))
}

/// Returns the name of a runner's solo group, which is the runner's id: with a prefix it could be
/// too long for a name.
pub(crate) fn name_solo(runner: &id::Runner) -> id::Group {
    runner.as_str().parse().expect("both kinds of names have the same rules")
}
