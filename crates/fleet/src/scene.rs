//! What the deciding node looks at: the runners as they are known, and the plans.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use cottoncrank::{Millis, id};

use crate::catalog::{Model, Service};
use crate::occupancy::Counts;
use crate::plan::{Document, Group};
use crate::probe::{Probes, Sign};
use crate::roster::Roster;
use crate::runner::{Phase, Runner, is_later};
use crate::settings::Ceiling;

/// What a step looks at.
pub struct Scene<'a> {
    /// The service whose groups are decided.
    pub service: &'a Service,
    /// The runners.
    pub roster: &'a Roster,
    /// The plan of each domain.
    pub plans: &'a BTreeMap<id::Domain, Document>,
    /// Domains whose plan cannot be read. Nothing is decided there: groups that nobody
    /// knows of may stand in it, written by a later version.
    pub closed: &'a BTreeSet<id::Domain>,
    /// Which runners answer this node.
    pub probes: &'a Probes,
    /// Whether callers have sent requests already. Before that, loads are short.
    pub serving: bool,
    /// How fast runners may load.
    pub ceiling: &'a Ceiling,
    /// After this long a group that stands still is broken.
    pub stall: Millis,
    /// What all nodes have in flight at each group, if enough of them say so.
    pub in_flight: Option<&'a Counts>,
    /// Runners that have turned requests away for a while.
    pub refusing: &'a BTreeSet<id::Runner>,
    /// The time.
    pub now: Millis,
}

impl<'a> Scene<'a> {
    /// Whether a runner can be a member of a group as things are.
    fn is_fit(&self, runner: &Runner) -> bool {
        !runner.draining && !matches!(self.probes.sign(&runner.id), Sign::Silent | Sign::Slow)
    }

    /// Whether a member of a group has started again since the group was planned.
    pub(crate) fn has_restarted(&self, group: &Group, member: &id::Runner) -> bool {
        let planned = group.find_life(member);
        self.roster.get_last_known(member).is_some_and(|runner| is_later(runner.incarnation, planned))
    }

    /// A runner that is there and answers.
    pub(crate) fn find(&self, id: &id::Runner) -> Option<&'a Runner> {
        self.roster.get(id).filter(|_| !self.probes.is_silent(id))
    }
}

/// One fabric domain while it is decided.
pub(crate) struct Site<'a> {
    pub(crate) id: id::Domain,
    pub(crate) plan: Document,
    /// The service's runners there that answer and are not about to leave, by id.
    pub(crate) runners: Vec<&'a Runner>,
    pub(crate) reasons: Vec<String>,
}

impl<'a> Site<'a> {
    /// The runners that may join a new group now.
    pub(crate) fn list_free(&self) -> Vec<&'a Runner> {
        self.list_unplanned().filter(|runner| runner.membership.is_none() || is_solo(runner)).collect()
    }

    /// The runners that may as soon as they have left a group which is planned no more.
    pub(crate) fn list_released(&self) -> impl Iterator<Item = &'a Runner> {
        self.list_unplanned().filter(|runner| runner.membership.is_some() && !is_solo(runner))
    }

    fn list_unplanned(&self) -> impl Iterator<Item = &'a Runner> {
        let planned: HashSet<&id::Runner> =
            self.plan.groups.iter().flat_map(|group| &group.members).collect();
        self.runners.iter().copied().filter(move |runner| !planned.contains(&runner.id))
    }
}

/// The fabric domains of the service, with the runners that can be members there.
pub(crate) fn list_sites<'a>(scene: &Scene<'a>) -> Vec<Site<'a>> {
    let mut runners: BTreeMap<&id::Domain, Vec<&Runner>> = BTreeMap::new();
    for domain in scene.plans.keys() {
        runners.entry(domain).or_default();
    }
    for runner in scene.roster.iter().filter(|runner| runner.service == scene.service.id) {
        if let Some(domain) = runner.domain.as_ref().filter(|domain| !scene.closed.contains(*domain)) {
            runners.entry(domain).or_default().extend(scene.is_fit(runner).then_some(runner));
        }
    }
    let sites = runners.into_iter().map(|(domain, mut runners)| {
        runners.sort_by(|a, b| a.id.cmp(&b.id));
        let plan = scene.plans.get(domain).cloned().unwrap_or_default();
        Site { id: domain.clone(), plan, runners, reasons: Vec::new() }
    });
    sites.collect()
}

/// How far a runner is in a group, if it is in it, and in the place that was planned.
pub(crate) fn find_phase(runner: &Runner, group: &Group) -> Option<Phase> {
    let membership = runner.membership.as_ref()?;
    let placed = group.members.get(membership.rank) == Some(&runner.id);
    let inside = membership.group == group.name && membership.epoch == group.epoch && placed;
    inside.then_some(membership.phase)
}

/// How long a runner needs until it holds `model`.
pub(crate) fn time_join(runner: &Runner, model: &Model) -> Millis {
    if runner.has_served(&model.name) {
        Millis(0)
    } else if runner.staged.contains(&model.name) {
        model.warm_load_time
    } else {
        model.load_time
    }
}

/// Whether a runner is in the group that it joins on its own, and so in none that
/// takes requests.
pub(crate) fn is_solo(runner: &Runner) -> bool {
    runner.membership.as_ref().is_some_and(|place| place.group == name_solo(&runner.id))
}

/// The group that a runner joins on its own has the runner's id as its name: whatever is
/// put before that may be too long for a name.
pub(crate) fn name_solo(runner: &id::Runner) -> id::Group {
    runner.as_str().parse().expect("both kinds of names have the same rules")
}
