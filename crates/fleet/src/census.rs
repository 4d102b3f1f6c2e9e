//! What the groups and runners of a service are doing, counted for the log: it
//! tells which runners serve nobody, and why.

use std::collections::HashMap;
use std::fmt;

use cottoncrank::id;

use crate::catalog::Engine;
use crate::plan::Group;
use crate::runner::{Phase, Runner};
use crate::scene::{Scene, find_phase, list_sites, time_join};

/// The groups of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The model.
    pub model: id::Model,
    /// Groups whose head takes requests.
    pub open: usize,
    /// Groups that are planned and do not take requests yet.
    pub forming: usize,
    /// Groups that are given up, and whose members are still held.
    pub retired: usize,
    /// Free runners that can join a group of it without a load.
    pub holders: usize,
}

/// What the groups and runners of a service are doing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// The groups, by model.
    pub rows: Vec<Row>,
    /// Runners with an entry.
    pub runners: usize,
    /// Members of groups that take requests.
    pub serving: usize,
    /// Members of groups that do not: these form, or are given up.
    pub held: usize,
    /// Runners in no plan that can join a group.
    pub free: usize,
    /// Runners in no plan that are about to leave, slow or silent.
    pub unfit: usize,
}

/// Counts what the groups and runners of a service are doing.
pub fn count(scene: &Scene, engine: &Engine) -> Census {
    let groups: Vec<&Group> = scene.plans.values().flat_map(|plan| &plan.groups).collect();
    let free: Vec<&Runner> = list_sites(scene).iter().flat_map(|site| site.list_free()).collect();
    let is_open = |group: &Group| {
        let head = group.head().and_then(|id| scene.find(id));
        !group.is_retired() && head.is_some_and(|head| find_phase(head, group) == Some(Phase::Open))
    };
    let rows = engine.models.iter().map(|model| {
        let mine: Vec<&&Group> = groups.iter().filter(|group| group.model == model.name).collect();
        let open = mine.iter().filter(|group| is_open(group)).count();
        let retired = mine.iter().filter(|group| group.is_retired()).count();
        Row {
            model: model.name.clone(),
            open,
            forming: mine.len() - open - retired,
            retired,
            holders: free.iter().filter(|runner| time_join(runner, model) < model.load_time).count(),
        }
    });
    let rows = rows.collect();
    let of_service = scene.roster.iter().filter(|runner| runner.service == scene.service.id);
    let planned: HashMap<&id::Runner, &Group> =
        groups.iter().flat_map(|group| group.members.iter().map(|member| (member, *group))).collect();
    let mut census = Census { rows, free: free.len(), ..Census::default() };
    for runner in of_service {
        census.runners += 1;
        match planned.get(&runner.id) {
            Some(group) if is_open(group) => census.serving += 1,
            Some(_) => census.held += 1,
            None => census.unfit += 1,
        }
    }
    census.unfit = census.unfit.saturating_sub(census.free);
    census
}

impl fmt::Display for Census {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} runners: {} serve, {} in groups that do not, {} free, {} unfit",
            self.runners, self.serving, self.held, self.free, self.unfit
        )?;
        for row in &self.rows {
            write!(
                f,
                "; {}: {} open, {} forming, {} given up, {} free runners hold it",
                row.model, row.open, row.forming, row.retired, row.holders
            )?;
        }
        Ok(())
    }
}
