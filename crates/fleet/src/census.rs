//! Counts what the groups and runners of a service are doing, for the log: it shows how many
//! runners serve no requests, and why.

use std::collections::HashMap;
use std::fmt;

use cottoncrank::id;

use crate::catalog::Engine;
use crate::plan::Group;
use crate::runner::{Phase, Runner};
use crate::snapshot::{Snapshot, find_join_time, find_phase, list_drafts};

/// The groups of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The model.
    pub model: id::Model,
    /// Groups whose head takes requests.
    pub open: usize,
    /// Planned groups that do not take requests yet.
    pub forming: usize,
    /// Retired groups, whose members are still held.
    pub retired: usize,
    /// Free runners that can join a group of the model without a load.
    pub holders: usize,
}

/// The groups and runners of a service by what they are doing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// The groups, by model.
    pub rows: Vec<Row>,
    /// Runners with an entry.
    pub runners: usize,
    /// Members of groups that take requests.
    pub serving: usize,
    /// Members of groups that do not take requests, because they are forming or retired.
    pub held: usize,
    /// Runners in no plan that can join a group.
    pub free: usize,
    /// Runners in no plan that are draining, slow or silent.
    pub unfit: usize,
}

/// Counts what the groups and runners of a service are doing.
pub fn count(snapshot: &Snapshot, engine: &Engine) -> Census {
    let groups: Vec<&Group> = snapshot.plans.values().flat_map(|plan| &plan.groups).collect();
    let free: Vec<&Runner> = list_drafts(snapshot).iter().flat_map(|draft| draft.list_free()).collect();
    let is_open = |group: &Group| {
        let head = group.head().and_then(|id| snapshot.find(id));
        !group.is_retired() && head.is_some_and(|head| find_phase(head, group) == Some(Phase::Open))
    };
    let rows = engine.models.iter().map(|model| {
        let of_model: Vec<&&Group> = groups.iter().filter(|group| group.model == model.name).collect();
        let open = of_model.iter().filter(|group| is_open(group)).count();
        let retired = of_model.iter().filter(|group| group.is_retired()).count();
        Row {
            model: model.name.clone(),
            open,
            forming: of_model.len() - open - retired,
            retired,
            holders: free.iter().filter(|runner| find_join_time(runner, model) < model.load_time).count(),
        }
    });
    let rows = rows.collect();
    let of_service = snapshot.roster.iter().filter(|runner| runner.service == snapshot.service.id);
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
            "{} runners: {} serving, {} in groups that do not serve, {} free, {} unfit",
            self.runners, self.serving, self.held, self.free, self.unfit
        )?;
        for row in &self.rows {
            write!(
                f,
                "; {}: {} open, {} forming, {} retired, {} free runners hold the model",
                row.model, row.open, row.forming, row.retired, row.holders
            )?;
        }
        Ok(())
    }
}
