//! Stages models onto the hosts of runners, so that groups form without a load from the weight
//! store.
//!
//! A runner joins a group of the model that it served last at once, and a group of the model on its
//! host soon after. Runners that have served therefore hold another model on their hosts, so that
//! after a loss the remaining ones can join a group of either.

use cottoncrank::id;

use crate::catalog::{Engine, Model};
use crate::issuer::Issuer;
use crate::loads::Purpose;
use crate::order::Order;
use crate::reserve::Risk;
use crate::runner::Runner;
use crate::snapshot::{Draft, Snapshot, find_join_time};
use crate::targets::Shortage;

/// While callers are present, a model is staged in reserve only if this saves at least this many
/// runners from being idle: each such load takes capacity of the weight store that repairs need.
const MIN_SPARED_RUNNERS: f64 = 0.01;

/// Orders models onto hosts, in this order:
///
/// - the largest model onto members of small groups that would complete a large group,
/// - complete sets for models below their targets, worst first, where the fewest loads complete
///   one,
/// - onto free runners, the model whose loss would hurt their domain most,
/// - a second model onto the hosts of all runners that have served one.
pub(crate) fn order_staging(
    snapshot: &Snapshot,
    engine: &Engine,
    risk: &Risk,
    shortages: &[Shortage],
    drafts: &[Draft],
    issuer: &mut Issuer,
) {
    let models = &engine.models;
    let mut stocks: Vec<Stock> =
        drafts.iter().map(|draft| Stock::count(snapshot, models, draft, issuer)).collect();
    let Some(largest) = models.iter().max_by_key(|model| model.size) else { return };
    for (draft, stock) in drafts.iter().zip(&stocks) {
        stage_missing(snapshot, largest, draft, count_missing(largest, stock), issuer);
    }
    for shortage in shortages {
        stage_sets(shortage, &mut stocks, issuer);
    }
    // Repairs do not wait for loads in reserve, and run at half the speed beside them.
    if issuer.holds_reserves {
        return;
    }
    for (draft, stock) in drafts.iter().zip(&mut stocks) {
        stage_spares(models, risk, shortages, draft, stock, issuer);
    }
    for stock in &mut stocks {
        while let Some(runner) = stock.find_empty() {
            let Some(model) = pick_for_empty(models, risk, stock) else { return };
            if !stage(model, runner, stock, issuer, Purpose::Reserve) {
                return;
            }
        }
    }
    let repair_headroom = if issuer.serving { risk.count_repair_headroom(engine) } else { 0 };
    stage_second_models(snapshot, models, risk, drafts, repair_headroom, issuer);
}

/// Returns the model for the empty runners of a domain: the smallest model of which they make a
/// complete set beside the spare runners, because it can replace any lost group of that model;
/// otherwise the scarcest model of the domain.
fn pick_for_empty<'a>(models: &'a [Model], risk: &Risk, stock: &Stock) -> Option<&'a Model> {
    let empty = stock.count_empty();
    let fills = |model: &&Model| stock.count_held(model) + empty >= model.size + risk.count_spares(model);
    let whole = models.iter().filter(fills).min_by_key(|model| model.size);
    whole.or_else(|| pick_scarcest(models, risk, |model| stock.count_held(model)))
}

/// Returns the model for which one more holder saves the most idle runners.
fn pick_scarcest<'a>(
    models: impl IntoIterator<Item = &'a Model>,
    risk: &Risk,
    held: impl Fn(&Model) -> usize,
) -> Option<&'a Model> {
    let count_spared = |model: &Model| risk.count_spared_runners(model, held(model));
    models.into_iter().max_by(|a, b| count_spared(a).total_cmp(&count_spared(b)))
}

/// Returns the reachable members of all groups, serving and retired, except those under evacuation.
fn list_members<'a>(snapshot: &Snapshot<'a>, draft: &Draft<'a>) -> Vec<&'a Runner> {
    let members = draft.list_available().flat_map(|group| &group.members);
    members.filter_map(|id| snapshot.find(id)).collect()
}

/// Orders the largest model onto the hosts of up to `wanted` members of small groups. They continue
/// to serve; the model replaces the copy of their own model on their hosts.
fn stage_missing(snapshot: &Snapshot, largest: &Model, draft: &Draft, wanted: usize, issuer: &mut Issuer) {
    let members = list_members(snapshot, draft).into_iter();
    let others = members.filter(|runner| runner.served.is_some() && !runner.has_served(&largest.name));
    for runner in others.take(wanted) {
        let holds = find_join_time(runner, largest) < largest.load_time;
        if holds || issuer.last_staged(runner) == Some(&largest.name) {
            continue;
        }
        if !order_load(largest, runner, issuer, Purpose::Reserve) {
            return;
        }
    }
}

/// Orders a second model onto the hosts of runners that have served one, the most valuable first.
/// Leaves `repair_headroom` loads for the next losses.
fn stage_second_models(
    snapshot: &Snapshot,
    models: &[Model],
    risk: &Risk,
    drafts: &[Draft],
    repair_headroom: usize,
    issuer: &mut Issuer,
) {
    if issuer.reserve_loads <= repair_headroom {
        return;
    }
    let mut wanted: Vec<(f64, &Runner, &Model)> = Vec::new();
    for draft in drafts {
        let runners: Vec<&Runner> =
            list_members(snapshot, draft).into_iter().chain(draft.list_free()).collect();
        let holds = |runner: &Runner, model: &Model| {
            let staged = runner.staged.contains(&model.name);
            let is_ordered = issuer.last_staged(runner) == Some(&model.name);
            (staged || is_ordered) && !runner.has_served(&model.name)
        };
        let count = |model: &Model| runners.iter().filter(|runner| holds(runner, model)).count();
        let mut held: Vec<usize> = models.iter().map(count).collect();
        for runner in runners.iter().copied().filter(|runner| runner.served.is_some()) {
            if models.iter().any(|model| holds(runner, model)) {
                continue;
            }
            let others = models.iter().enumerate().filter(|(_, model)| !runner.has_served(&model.name));
            let rows = others.map(|(at, model)| {
                let wanted = issuer.find_shift_value(snapshot, model);
                (risk.count_spared_runners(model, held[at]) + wanted, at)
            });
            let Some((spared, at)) = rows.max_by(|a, b| a.0.total_cmp(&b.0)) else { continue };
            held[at] += 1;
            wanted.push((spared, runner, &models[at]));
        }
    }
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (spared, runner, model) in wanted {
        let idle = issuer.serving && spared < MIN_SPARED_RUNNERS;
        if idle
            || issuer.reserve_loads <= repair_headroom
            || !order_load(model, runner, issuer, Purpose::Reserve)
        {
            return;
        }
    }
}

/// Returns how many members of small groups are needed to complete the rest of a large group.
fn count_missing(largest: &Model, stock: &Stock) -> usize {
    let held = stock.count_held(largest);
    if 2 * held >= largest.size { largest.size.saturating_sub(held) } else { 0 }
}

fn stage_sets(shortage: &Shortage, stocks: &mut [Stock], issuer: &mut Issuer) {
    let model = shortage.model;
    let mut missing = shortage.groups;
    let mut order: Vec<usize> = (0..stocks.len()).collect();
    order.sort_by_key(|at| model.size.saturating_sub(stocks[*at].count_held(model)));
    for at in order {
        let stock = &mut stocks[at];
        let short = model.size.saturating_sub(stock.count_held(model));
        let candidates = stock.list_others(model);
        if missing == 0 || candidates.len() < short {
            continue;
        }
        missing -= 1;
        for runner in candidates.into_iter().take(short) {
            if !stage(model, runner, stock, issuer, Purpose::Repair) {
                return;
            }
        }
        stock.remove_set(model);
    }
}

fn stage_spares(
    models: &[Model],
    risk: &Risk,
    shortages: &[Shortage],
    draft: &Draft,
    stock: &mut Stock,
    issuer: &mut Issuer,
) {
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| std::cmp::Reverse(model.size));
    for model in by_size {
        let served = draft.plan.groups.iter().any(|group| group.model == model.name);
        if !served || stock.count_held(model) >= risk.count_spares(model) {
            continue;
        }
        let spare = stock.find_empty().or_else(|| stock.find_surplus(model, models, shortages));
        if let Some(runner) = spare {
            stage(model, runner, stock, issuer, Purpose::Reserve);
        }
    }
}

/// Issues the order if a load may begin now. Returns whether one may.
fn stage(model: &Model, runner: &Runner, stock: &mut Stock, issuer: &mut Issuer, purpose: Purpose) -> bool {
    let ordered = order_load(model, runner, issuer, purpose);
    if ordered {
        stock.record_staging(runner, model);
    }
    ordered
}

fn order_load(model: &Model, runner: &Runner, issuer: &mut Issuer, purpose: Purpose) -> bool {
    let allowed = match purpose {
        Purpose::Repair => issuer.repair_loads,
        Purpose::Reserve => issuer.reserve_loads,
    };
    if allowed == 0 {
        issuer.held_back |= purpose == Purpose::Repair;
        return false;
    }
    // One that is not due yet begins no load; a later step issues it.
    if issuer.issue_due(&runner.id, Order::Stage(model.name.clone())) {
        issuer.repair_loads = issuer.repair_loads.saturating_sub(1);
        issuer.reserve_loads = issuer.reserve_loads.saturating_sub(1);
        issuer.decided.record_staging(runner, model, issuer.now, issuer.serving, purpose);
    }
    true
}

/// A free runner and the models that it can join without a load, now or soon.
struct Row<'a> {
    runner: &'a Runner,
    held: Vec<id::Model>,
    /// Whether it is still loading one of them; it takes no other stage order meanwhile.
    staging: bool,
}

impl Row<'_> {
    fn holds(&self, model: &Model) -> bool {
        self.held.contains(&model.name)
    }
}

/// The free runners of a domain, with the members of retired groups, which are free soon.
struct Stock<'a> {
    rows: Vec<Row<'a>>,
    /// The models of the members of retired groups, one per member.
    returning: Vec<id::Model>,
}

impl<'a> Stock<'a> {
    fn count(snapshot: &Snapshot<'a>, models: &[Model], draft: &Draft<'a>, issuer: &Issuer) -> Stock<'a> {
        let rows = draft.list_free().into_iter().map(|runner| {
            let ordered_model = models.iter().find(|model| issuer.last_staged(runner) == Some(&model.name));
            let staging = ordered_model.is_some_and(|model| find_join_time(runner, model) >= model.load_time);
            // The ordered model replaces the one on the host.
            let holds = |model: &&Model| match ordered_model {
                Some(ordered_model) => model.name == ordered_model.name || runner.has_served(&model.name),
                None => find_join_time(runner, model) < model.load_time,
            };
            let held = models.iter().filter(holds).map(|model| model.name.clone()).collect();
            Row { runner, held, staging }
        });
        let rows = rows.collect();
        let retired = draft.list_available().filter(|group| group.is_retired());
        let returning = retired.flat_map(|group| {
            let living = group.members.iter().filter(|id| snapshot.find(id).is_some());
            living.map(|_| group.model.clone())
        });
        Stock { rows, returning: returning.collect() }
    }

    fn count_held(&self, model: &Model) -> usize {
        let here = self.rows.iter().filter(|row| row.holds(model));
        let soon = self.returning.iter().filter(|returning| **returning == model.name);
        here.count() + soon.count()
    }

    fn count_empty(&self) -> usize {
        self.rows.iter().filter(|row| row.held.is_empty()).count()
    }

    fn find_empty(&self) -> Option<&'a Runner> {
        self.rows.iter().find(|row| row.held.is_empty()).map(|row| row.runner)
    }

    /// Returns a holder of another model that has more than its spare runners and is not below its
    /// target: holders of a model below its target wait for the runners that complete a group.
    fn find_surplus(&self, model: &Model, models: &[Model], shortages: &[Shortage]) -> Option<&'a Runner> {
        let lacks = |other: &Model| shortages.iter().any(|shortage| shortage.model.name == other.name);
        let mut others = models.iter().filter(|other| other.name != model.name && !lacks(other));
        let surplus = others.find(|other| self.count_held(other) > 1)?;
        let mut rows = self.rows.iter().filter(|row| row.holds(surplus) && !row.holds(model));
        rows.find(|row| !row.staging).map(|row| row.runner)
    }

    /// Returns the runners that do not hold `model` and are not loading another one, empty ones
    /// first.
    fn list_others(&self, model: &Model) -> Vec<&'a Runner> {
        let other = |row: &&Row| !row.holds(model) && !row.staging;
        let mut others: Vec<&Row> = self.rows.iter().filter(other).collect();
        others.sort_by_key(|row| row.held.len());
        others.into_iter().map(|row| row.runner).collect()
    }

    /// Removes a complete set of holders of `model` from the stock.
    fn remove_set(&mut self, model: &Model) {
        for _ in 0..model.size {
            if let Some(at) = self.returning.iter().position(|returning| *returning == model.name) {
                self.returning.swap_remove(at);
            } else if let Some(at) = self.rows.iter().position(|row| row.holds(model)) {
                self.rows.swap_remove(at);
            }
        }
    }

    fn record_staging(&mut self, runner: &Runner, model: &Model) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.runner.id == runner.id) {
            row.held.retain(|held| runner.has_served(held));
            row.held.push(model.name.clone());
            row.staging = true;
        }
    }
}
