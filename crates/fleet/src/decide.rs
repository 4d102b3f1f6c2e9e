//! What the deciding node does next for the groups of one service.
//!
//! [`step`] compares the plan of every fabric domain with what the runners say
//! of themselves. It gives up groups that lost a member and releases their
//! members ([`crate::loss`]), forms new groups out of free runners
//! ([`crate::form`]), and lists the orders that bring the runners to where the
//! plan wants them ([`crate::orders`], [`crate::staging`]). It only names changes;
//! whoever calls it writes them to the store under a condition and sends the
//! orders after that.

use cottoncrank::id;

use crate::catalog::{Engine, Model};
use crate::desk::Desk;
use crate::form::{find_top, form_groups};
use crate::loads::Purpose;
use crate::loss::{mark_halted, release_groups, retire_groups};
use crate::memory::Memory;
use crate::occupancy::Counts;
use crate::order::Order;
use crate::orders::list_orders;
use crate::plan::Document;
use crate::preempt::preempt_groups;
use crate::preload::order_preloads;
use crate::reserve::Risk;
use crate::runner::Runner;
use crate::scene::{Scene, list_sites};
use crate::share::list_lacking;
use crate::staging::order_staging;

/// What is to be done.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Documents that change, each with the reasons.
    pub writes: Vec<(id::Domain, Document, Vec<String>)>,
    /// Orders to give now.
    pub orders: Vec<(id::Runner, Order)>,
}

/// Decides what to do next.
pub fn step(scene: &Scene, memory: &mut Memory) -> Step {
    let Some(published) = &scene.service.engine else { return Step::default() };
    memory.forget(scene);
    let demand = memory.demands.entry(scene.service.id.clone()).or_default();
    if let Some(in_flight) = scene.in_flight.filter(|_| scene.serving) {
        demand.note(list_used(scene, &published.models, in_flight), scene.now);
    }
    let engine = &Engine { models: demand.adjust(&published.models), ..published.clone() };
    let mut sites = list_sites(scene);
    let mut lost = 0;
    for site in &mut sites {
        lost += retire_groups(scene, site, memory);
        mark_halted(site, memory);
        release_groups(scene, site, memory);
    }
    let members = sites.iter().flat_map(|site| &site.plan.groups).map(|group| group.members.len()).sum();
    memory.losses.note(members, lost, scene.now);
    let runners = sites.iter().map(|site| site.runners.len()).sum();
    let risk = Risk::assess(&memory.losses, engine, runners, sites.len());
    if scene.serving {
        preempt_groups(scene, &engine.models, &risk, &mut sites);
    }
    let settled = memory.is_settled(runners, scene.now);
    let waiting = form_groups(scene, engine, &mut sites, &risk, memory, settled);
    let mut step = Step::default();
    let lacking = list_lacking(&engine.models, &sites, &risk);
    let allowed = |purpose| memory.loads.allowed(scene.now, engine, scene.ceiling, scene.serving, purpose);
    let (repairs, reserves) = (allowed(Purpose::Repair), allowed(Purpose::Reserve));
    let mut desk =
        Desk { now: scene.now, memory, orders: &mut step.orders, repairs, reserves, serving: scene.serving };
    for site in &sites {
        list_orders(scene, site, &mut desk);
    }
    // Before callers come, loads are short, and groups go first.
    if scene.serving || (!waiting && settled) {
        order_staging(scene, engine, &risk, &lacking, &sites, &mut desk);
        order_preloads(&engine.models, &sites, find_top(scene, &sites), &mut desk);
    }
    let changed = sites.into_iter().filter(|site| match scene.plans.get(&site.id) {
        Some(plan) => *plan != site.plan,
        None => !site.plan.groups.is_empty(),
    });
    step.writes = changed.map(|site| (site.id, site.plan, site.reasons)).collect();
    step
}

/// The part of its slots in use, for each model that has open groups.
fn list_used(scene: &Scene, models: &[Model], in_flight: &Counts) -> Vec<(id::Model, f64)> {
    let used = |model: &Model| {
        let heads = scene.roster.list_heads(&scene.service.id, &model.name, scene.plans);
        let running = |head: &Runner| {
            let epoch = head.membership.as_ref().map(|place| place.epoch)?;
            Some(in_flight.get(&epoch).copied().unwrap_or(0).min(head.slots))
        };
        let slots: u32 = heads.iter().map(|head| head.slots).sum();
        let running: u32 = heads.iter().filter_map(|head| running(head)).sum();
        (slots > 0).then(|| (model.name.clone(), f64::from(running) / f64::from(slots)))
    };
    models.iter().filter_map(used).collect()
}
