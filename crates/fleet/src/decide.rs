//! The planner's next step for the groups of one service.
//!
//! [`step`] compares the plan of every fabric domain with the state that the runners report. It
//! retires groups that lost a member and releases their members ([`crate::loss`]), forms new groups
//! from free runners ([`crate::form`]), and lists the orders that bring the runners to the planned
//! state ([`crate::orders`], [`crate::staging`]). It only returns changes; the caller writes them
//! to the store with a compare-and-swap and sends the orders after that.

use cottoncrank::id;

use crate::callers;
use crate::catalog::{Engine, Model};
use crate::form::{Conditions, find_last_epoch, form_groups, record_unordered_loads};
use crate::issuer::Issuer;
use crate::loads::Purpose;
use crate::loss::{mark_stalled, record_stalled, release_groups, retire_groups};
use crate::memory::Memory;
use crate::occupancy::Counts;
use crate::order::Order;
use crate::orders::list_orders;
use crate::places;
use crate::plan::Document;
use crate::preempt::preempt_groups;
use crate::preload::order_preloads;
use crate::reserve::Risk;
use crate::runner::Runner;
use crate::shift::bounds::Bounds;
use crate::shift::shift_groups;
use crate::snapshot::{Snapshot, list_drafts};
use crate::staging::order_staging;
use crate::targets::list_shortages;

/// The changes that the planner wants now.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Plans to write, each with the reasons for its changes.
    pub writes: Vec<(id::Domain, Document, Vec<String>)>,
    /// Orders to send after the plans are written.
    pub orders: Vec<(id::Runner, Order)>,
    /// What else to log: the ends of shifts, and loads that are held back.
    pub notes: Vec<String>,
}

/// Returns the plans to write and the orders to send next. The memory takes the step for done only after
/// [`Memory::record_written`].
pub fn step(snapshot: &Snapshot, memory: &mut Memory) -> Step {
    let Some(published) = &snapshot.service.engine else { return Step::default() };
    let snapshot = &Snapshot { serving: callers::find(snapshot).is_some(), ..*snapshot };
    let mut decided = memory.begin_step(snapshot);
    let demand = memory.demands.entry(snapshot.service.id.clone()).or_default();
    if let Some(in_flight) = snapshot.in_flight.filter(|_| snapshot.serving) {
        demand.record(list_utilization(snapshot, &published.models, in_flight), snapshot.now);
    }
    let engine = &Engine { models: demand.adjust(&published.models), ..published.clone() };
    let mut drafts = list_drafts(snapshot);
    for draft in &mut drafts {
        draft.runners.retain(|runner| !memory.is_lost(&runner.id));
    }
    let mut lost = 0;
    for draft in &mut drafts {
        lost += retire_groups(snapshot, draft, memory);
        record_stalled(snapshot, draft, memory);
        mark_stalled(draft, memory);
        release_groups(snapshot, draft, memory);
    }
    let members = drafts.iter().flat_map(|draft| &draft.plan.groups).map(|group| group.members.len()).sum();
    decided.losses.record(members, lost, snapshot.now);
    let runners = drafts.iter().map(|draft| draft.runners.len()).sum();
    let domains = drafts.iter().filter(|draft| !draft.is_evacuated()).count();
    let risk = Risk::assess(&decided.losses, engine, runners, domains);
    let mut step = Step::default();
    let mut bounds = Bounds::default();
    if snapshot.serving {
        let state = decided.shifts.entry(snapshot.service.id.clone()).or_default();
        bounds = shift_groups(snapshot, engine, &risk, &mut drafts, state, &mut step.notes);
        preempt_groups(snapshot, &engine.models, &risk, &bounds, &mut drafts);
    }
    let settled = memory.is_settled(runners, snapshot.now);
    let has_looked = memory.has_looked(snapshot.now);
    record_unordered_loads(snapshot, &engine.models, &drafts, &mut decided);
    let conditions = Conditions { risk: &risk, bounds: &bounds, settled };
    let waiting = form_groups(snapshot, engine, &mut drafts, conditions, memory, &mut decided);
    let shortages = list_shortages(&engine.models, &drafts, &risk, &bounds.without_floor());
    let count_allowed = |purpose| {
        decided.loads.count_allowed(snapshot.now, engine, snapshot.ceiling, snapshot.serving, purpose)
    };
    let (repair_loads, reserve_loads) = (count_allowed(Purpose::Repair), count_allowed(Purpose::Reserve));
    let mut issuer = Issuer {
        now: snapshot.now,
        memory,
        decided: &mut decided,
        orders: &mut step.orders,
        repair_loads,
        reserve_loads,
        held_back: waiting,
        holds_reserves: snapshot.serving && !has_looked,
        serving: snapshot.serving,
    };
    for draft in &drafts {
        list_orders(snapshot, draft, &mut issuer);
    }
    // Before callers arrive, loads are fast, and forming groups takes precedence over staging.
    if snapshot.serving || (!waiting && settled) {
        order_staging(snapshot, engine, &risk, &shortages, &drafts, &mut issuer);
        order_preloads(&engine.models, &drafts, find_last_epoch(snapshot, &drafts), &mut issuer);
    }
    let held_back = issuer.held_back;
    let account =
        held_back.then(|| decided.loads.account(snapshot.now, engine, snapshot.ceiling, snapshot.serving));
    step.notes.extend(decided.holdback.record(account, snapshot.now));
    if snapshot.serving {
        callers::record(snapshot, &mut drafts);
    }
    let changed = drafts.into_iter().filter(|draft| match snapshot.plans.get(&draft.id) {
        Some(plan) => *plan != draft.plan,
        None => !draft.plan.groups.is_empty(),
    });
    step.writes = changed
        .map(|mut draft| {
            places::record(&mut draft.plan, snapshot.roster);
            (draft.id, draft.plan, draft.reasons)
        })
        .collect();
    memory.propose(decided);
    step
}

/// Returns the utilization of slots for each model that has open groups.
fn list_utilization(snapshot: &Snapshot, models: &[Model], in_flight: &Counts) -> Vec<(id::Model, f64)> {
    let find_utilization = |model: &Model| {
        let heads = snapshot.roster.list_heads(&snapshot.service.id, &model.name, snapshot.plans);
        let count_running = |head: &Runner| {
            let epoch = head.membership.as_ref().map(|place| place.epoch)?;
            Some(in_flight.get(&epoch).copied().unwrap_or(0).min(head.slots))
        };
        let slots: u32 = heads.iter().map(|head| head.slots).sum();
        let running: u32 = heads.iter().filter_map(|head| count_running(head)).sum();
        (slots > 0).then(|| (model.name.clone(), f64::from(running) / f64::from(slots)))
    };
    models.iter().filter_map(find_utilization).collect()
}
