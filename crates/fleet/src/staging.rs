//! Which models are put onto the hosts of runners, so that groups are formed
//! without a load from the weight store.
//!
//! A runner joins a group of the model it served last at once, and one of the model
//! on its host soon after. So those that have served hold another model on their
//! hosts, and whatever is lost next, the ones left can take part in either.

use cottoncrank::id;

use crate::catalog::{Engine, Model};
use crate::desk::Desk;
use crate::loads::Purpose;
use crate::order::Order;
use crate::reserve::Risk;
use crate::runner::Runner;
use crate::scene::{Scene, Site, time_join};
use crate::share::Lack;

/// While callers are there, a model is put in reserve only where it spares at least this many
/// runners from standing idle: each such load takes a place at the weight store that repairs need.
const SPARED_LEAST: f64 = 0.01;

/// Orders models onto hosts, in this order: the largest model onto members of small
/// groups that complete what is left of a large one; whole sets for models that lack
/// groups, worst first, where the fewest loads complete one; onto free runners what
/// their domain would miss most after a loss; and another model onto the hosts of all
/// that have served one.
pub(crate) fn order_staging(
    scene: &Scene,
    engine: &Engine,
    risk: &Risk,
    lacking: &[Lack],
    sites: &[Site],
    desk: &mut Desk,
) {
    let models = &engine.models;
    let mut stocks: Vec<Stock> = sites.iter().map(|site| Stock::count(scene, models, site, desk)).collect();
    let Some(largest) = models.iter().max_by_key(|model| model.size) else { return };
    for (site, stock) in sites.iter().zip(&stocks) {
        stage_missing(scene, largest, site, count_missing(largest, stock), desk);
    }
    for lack in lacking {
        stage_sets(lack, &mut stocks, desk);
    }
    for (site, stock) in sites.iter().zip(&mut stocks) {
        stage_spares(models, risk, lacking, site, stock, desk);
    }
    for stock in &mut stocks {
        while let Some(runner) = stock.find_bare() {
            let Some(model) = find_for_bare(models, risk, stock) else { return };
            if !stage(model, runner, stock, desk, Purpose::Reserve) {
                return;
            }
        }
    }
    let kept_free = if desk.serving { risk.count_kept_free(engine) } else { 0 };
    stage_seconds(scene, models, risk, sites, kept_free, desk);
}

/// What bare runners of a domain get: the smallest model of which they make a whole set
/// beside the spare runners, for that serves wherever a group of it is lost; else what
/// the domain would miss most.
fn find_for_bare<'a>(models: &'a [Model], risk: &Risk, stock: &Stock) -> Option<&'a Model> {
    let bare = stock.count_bare();
    let fills = |model: &&Model| stock.held(model) + bare >= model.size + risk.count_spares(model);
    let whole = models.iter().filter(fills).min_by_key(|model| model.size);
    whole.or_else(|| find_scarcest(models, risk, |model| stock.held(model)))
}

/// The model of which one more runner that holds it spares most idle time.
fn find_scarcest<'a>(
    models: impl IntoIterator<Item = &'a Model>,
    risk: &Risk,
    held: impl Fn(&Model) -> usize,
) -> Option<&'a Model> {
    let weigh = |model: &Model| risk.weigh(model, held(model));
    models.into_iter().max_by(|a, b| weigh(a).total_cmp(&weigh(b)))
}

/// Members of groups that serve, and those left of groups given up.
fn list_members<'a>(scene: &Scene<'a>, site: &Site<'a>) -> Vec<&'a Runner> {
    let members = site.plan.groups.iter().flat_map(|group| &group.members);
    members.filter_map(|id| scene.find(id)).collect()
}

/// Orders the largest model onto the hosts of up to `wanted` members of small
/// groups. They serve on; the copy of their own model on their hosts gives way to it.
fn stage_missing(scene: &Scene, largest: &Model, site: &Site, wanted: usize, desk: &mut Desk) {
    let members = list_members(scene, site).into_iter();
    let others = members.filter(|runner| runner.served.is_some() && !runner.has_served(&largest.name));
    for runner in others.take(wanted) {
        let holds = time_join(runner, largest) < largest.load_time;
        if holds || desk.last_staged(runner) == Some(&largest.name) {
            continue;
        }
        if !order_load(largest, runner, desk, Purpose::Reserve) {
            return;
        }
    }
}

/// Orders another model onto the hosts of runners that have served one, where it is
/// missed most first. `kept_free` loads are left for whatever is lost next.
fn stage_seconds(
    scene: &Scene,
    models: &[Model],
    risk: &Risk,
    sites: &[Site],
    kept_free: usize,
    desk: &mut Desk,
) {
    if desk.reserves <= kept_free {
        return;
    }
    let mut wanted: Vec<(f64, &Runner, &Model)> = Vec::new();
    for site in sites {
        let runners: Vec<&Runner> = list_members(scene, site).into_iter().chain(site.list_free()).collect();
        let holds = |runner: &Runner, model: &Model| {
            let staged = runner.staged.contains(&model.name);
            let asked = desk.last_staged(runner) == Some(&model.name);
            (staged || asked) && !runner.has_served(&model.name)
        };
        let count = |model: &Model| runners.iter().filter(|runner| holds(runner, model)).count();
        let mut held: Vec<usize> = models.iter().map(count).collect();
        for runner in runners.iter().copied().filter(|runner| runner.served.is_some()) {
            if models.iter().any(|model| holds(runner, model)) {
                continue;
            }
            let others = models.iter().enumerate().filter(|(_, model)| !runner.has_served(&model.name));
            let rows = others.map(|(at, model)| (risk.weigh(model, held[at]), at));
            let Some((worth, at)) = rows.max_by(|a, b| a.0.total_cmp(&b.0)) else { continue };
            held[at] += 1;
            wanted.push((worth, runner, &models[at]));
        }
    }
    wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (worth, runner, model) in wanted {
        let idle = desk.serving && worth < SPARED_LEAST;
        if idle || desk.reserves <= kept_free || !order_load(model, runner, desk, Purpose::Reserve) {
            return;
        }
    }
}

/// How many members of small groups what is left of a large one needs.
fn count_missing(largest: &Model, stock: &Stock) -> usize {
    let held = stock.held(largest);
    if 2 * held >= largest.size { largest.size.saturating_sub(held) } else { 0 }
}

fn stage_sets(lack: &Lack, stocks: &mut [Stock], desk: &mut Desk) {
    let model = lack.model;
    let mut missing = lack.groups;
    let mut order: Vec<usize> = (0..stocks.len()).collect();
    order.sort_by_key(|at| model.size.saturating_sub(stocks[*at].held(model)));
    for at in order {
        let stock = &mut stocks[at];
        let short = model.size.saturating_sub(stock.held(model));
        let candidates = stock.list_others(model);
        if missing == 0 || candidates.len() < short {
            continue;
        }
        missing -= 1;
        for runner in candidates.into_iter().take(short) {
            if !stage(model, runner, stock, desk, Purpose::Repair) {
                return;
            }
        }
        stock.reserve(model);
    }
}

fn stage_spares(
    models: &[Model],
    risk: &Risk,
    lacking: &[Lack],
    site: &Site,
    stock: &mut Stock,
    desk: &mut Desk,
) {
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| std::cmp::Reverse(model.size));
    for model in by_size {
        let served = site.plan.groups.iter().any(|group| group.model == model.name);
        if !served || stock.held(model) >= risk.count_spares(model) {
            continue;
        }
        let spare = stock.find_bare().or_else(|| stock.find_surplus(model, models, lacking));
        if let Some(runner) = spare {
            stage(model, runner, stock, desk, Purpose::Reserve);
        }
    }
}

/// Gives the order, if a load may begin now.
fn stage(model: &Model, runner: &Runner, stock: &mut Stock, desk: &mut Desk, purpose: Purpose) -> bool {
    let ordered = order_load(model, runner, desk, purpose);
    if ordered {
        stock.note(runner, model);
    }
    ordered
}

fn order_load(model: &Model, runner: &Runner, desk: &mut Desk, purpose: Purpose) -> bool {
    let left = match purpose {
        Purpose::Repair => desk.repairs,
        Purpose::Reserve => desk.reserves,
    };
    if left == 0 {
        return false;
    }
    desk.repairs = desk.repairs.saturating_sub(1);
    desk.reserves = desk.reserves.saturating_sub(1);
    desk.memory.note_staging(runner, model, desk.now, desk.serving, purpose);
    desk.give(&runner.id, Order::Stage(model.name.clone()));
    true
}

/// A free runner and the models it can join without a load, now or soon.
struct Row<'a> {
    runner: &'a Runner,
    held: Vec<id::Model>,
    /// Whether it is still loading one of them: it takes no other order of the kind.
    staging: bool,
}

impl Row<'_> {
    fn holds(&self, model: &Model) -> bool {
        self.held.contains(&model.name)
    }
}

/// The free runners of a domain, with the members of groups given up, which are
/// free soon.
struct Stock<'a> {
    rows: Vec<Row<'a>>,
    /// Members of groups given up, by model.
    returning: Vec<id::Model>,
}

impl<'a> Stock<'a> {
    fn count(scene: &Scene<'a>, models: &[Model], site: &Site<'a>, desk: &Desk) -> Stock<'a> {
        let rows = site.list_free().into_iter().map(|runner| {
            let asked = models.iter().find(|model| desk.last_staged(runner) == Some(&model.name));
            let staging = asked.is_some_and(|model| time_join(runner, model) >= model.load_time);
            // What is on the host gives way to what is asked for.
            let holds = |model: &&Model| match asked {
                Some(asked) => model.name == asked.name || runner.has_served(&model.name),
                None => time_join(runner, model) < model.load_time,
            };
            let held = models.iter().filter(holds).map(|model| model.name.clone()).collect();
            Row { runner, held, staging }
        });
        let rows = rows.collect();
        let given_up = site.plan.groups.iter().filter(|group| group.is_retired());
        let returning = given_up.flat_map(|group| {
            let living = group.members.iter().filter(|id| scene.find(id).is_some());
            living.map(|_| group.model.clone())
        });
        Stock { rows, returning: returning.collect() }
    }

    fn held(&self, model: &Model) -> usize {
        let here = self.rows.iter().filter(|row| row.holds(model));
        let soon = self.returning.iter().filter(|returning| **returning == model.name);
        here.count() + soon.count()
    }

    fn count_bare(&self) -> usize {
        self.rows.iter().filter(|row| row.held.is_empty()).count()
    }

    fn find_bare(&self) -> Option<&'a Runner> {
        self.rows.iter().find(|row| row.held.is_empty()).map(|row| row.runner)
    }

    /// A runner of another model that has more than its spare ones, and lacks no
    /// groups: what is left of those waits for what completes it.
    fn find_surplus(&self, model: &Model, models: &[Model], lacking: &[Lack]) -> Option<&'a Runner> {
        let lacks = |other: &Model| lacking.iter().any(|lack| lack.model.name == other.name);
        let mut others = models.iter().filter(|other| other.name != model.name && !lacks(other));
        let rich = others.find(|other| self.held(other) > 1)?;
        let mut rows = self.rows.iter().filter(|row| row.holds(rich) && !row.holds(model));
        rows.find(|row| !row.staging).map(|row| row.runner)
    }

    /// Runners that do not hold `model` and are not loading another one, bare ones first.
    fn list_others(&self, model: &Model) -> Vec<&'a Runner> {
        let other = |row: &&Row| !row.holds(model) && !row.staging;
        let mut others: Vec<&Row> = self.rows.iter().filter(other).collect();
        others.sort_by_key(|row| row.held.len());
        others.into_iter().map(|row| row.runner).collect()
    }

    /// Sets a whole set of `model` aside.
    fn reserve(&mut self, model: &Model) {
        for _ in 0..model.size {
            if let Some(at) = self.returning.iter().position(|returning| *returning == model.name) {
                self.returning.swap_remove(at);
            } else if let Some(at) = self.rows.iter().position(|row| row.holds(model)) {
                self.rows.swap_remove(at);
            }
        }
    }

    fn note(&mut self, runner: &Runner, model: &Model) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.runner.id == runner.id) {
            row.held.retain(|held| runner.has_served(held));
            row.held.push(model.name.clone());
            row.staging = true;
        }
    }
}
