//! Which models are put onto the hosts of free runners, so that groups are
//! formed without a load from the weight store.

use cottoncrank::id;

use crate::catalog::{Engine, Model};
use crate::decide::{Scene, Site, time_join};
use crate::loads::Purpose;
use crate::order::{Desk, Order};
use crate::runner::Runner;
use crate::share::{Lack, SPARES, count_spares};

/// Members of small groups in each domain that hold the largest model on their hosts
/// beside what they serve: two pairs, for two losses before either is made up for.
pub const STANDBYS: usize = 4;

/// Orders models onto hosts, in this order: the largest model onto members of small
/// groups that complete what is left of a large one; whole sets for models that lack
/// groups, worst first, where the fewest loads complete one; one spare runner of each
/// model that a domain serves, out of those that are free; the smallest model, whose
/// sets fill soonest, onto what is left bare; and the largest model onto more members
/// of small groups, for the next loss.
pub(crate) fn order_staging(
    scene: &Scene,
    engine: &Engine,
    lacking: &[Lack],
    sites: &[Site],
    desk: &mut Desk,
) {
    let models = &engine.models;
    let mut stocks: Vec<Stock> = sites.iter().map(|site| Stock::count(scene, models, site, desk)).collect();
    let Some(largest) = models.iter().max_by_key(|model| model.size) else { return };
    for (site, stock) in sites.iter().zip(&stocks) {
        stage_standbys(scene, largest, site, count_missing(largest, stock), 0, desk);
    }
    for lack in lacking {
        stage_sets(lack, &mut stocks, desk);
    }
    let runners = sites.iter().map(|site| site.runners.len()).sum();
    for (site, stock) in sites.iter().zip(&mut stocks) {
        stage_spares(models, runners, lacking, site, stock, desk);
    }
    let Some(smallest) = models.iter().min_by_key(|model| model.size) else { return };
    for stock in &mut stocks {
        while let Some(runner) = stock.find_bare() {
            if !stage(smallest, runner, stock, desk, Purpose::Reserve) {
                return;
            }
        }
    }
    let reserve = if desk.serving { engine.loads_at_once.div_ceil(2) } else { 0 };
    for site in sites {
        if site.plan.groups.iter().any(|group| group.model == largest.name) {
            stage_standbys(scene, largest, site, STANDBYS, reserve, desk);
        }
    }
}

/// Orders the largest model onto the hosts of up to `wanted` members of small
/// groups. They serve on; the copy of their own model on their hosts gives way to
/// it. `reserve` loads are left for whatever is lost next.
fn stage_standbys(
    scene: &Scene,
    largest: &Model,
    site: &Site,
    wanted: usize,
    reserve: usize,
    desk: &mut Desk,
) {
    let groups = site.plan.groups.iter().filter(|group| !group.is_retired());
    let small = groups.filter(|group| group.model != largest.name);
    let members = small.flat_map(|group| &group.members).filter_map(|id| scene.find(id));
    // Only what has joined: a member that has not still needs its own model there.
    let settled = members.filter(|runner| !runner.models.is_empty()).take(wanted);
    for runner in settled {
        let holds = runner.staged.contains(&largest.name);
        if holds || desk.last_staged(&runner.id) == Some(&largest.name) {
            continue;
        }
        if desk.reserves <= reserve || !order_load(largest, runner, desk, Purpose::Reserve) {
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
    runners: usize,
    lacking: &[Lack],
    site: &Site,
    stock: &mut Stock,
    desk: &mut Desk,
) {
    let mut by_size: Vec<&Model> = models.iter().collect();
    by_size.sort_by_key(|model| std::cmp::Reverse(model.size));
    for model in by_size {
        let served = site.plan.groups.iter().any(|group| group.model == model.name);
        if !served || stock.held(model) >= count_spares(model, runners) {
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
    desk.memory.note_staging(&runner.id, model, desk.now, desk.serving, purpose);
    desk.give(&runner.id, Order::Stage(model.name.clone()));
    true
}

/// A free runner and the model it can join without a load, now or soon.
struct Row<'a> {
    runner: &'a Runner,
    held: Option<id::Model>,
    /// Whether it is still loading that model: it takes no other order of the kind.
    staging: bool,
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
            let asked = models.iter().find(|model| desk.last_staged(&runner.id) == Some(&model.name));
            let staged = models.iter().find(|model| time_join(runner, model) < model.load);
            let held = asked.or(staged).map(|model| model.name.clone());
            let staging = asked.is_some_and(|model| time_join(runner, model) >= model.load);
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
        let here = self.rows.iter().filter(|row| row.held.as_ref() == Some(&model.name));
        let soon = self.returning.iter().filter(|returning| **returning == model.name);
        here.count() + soon.count()
    }

    fn find_bare(&self) -> Option<&'a Runner> {
        self.rows.iter().find(|row| row.held.is_none()).map(|row| row.runner)
    }

    /// A runner of another model that has more than its spare ones, and lacks no
    /// groups: what is left of those waits for what completes it.
    fn find_surplus(&self, model: &Model, models: &[Model], lacking: &[Lack]) -> Option<&'a Runner> {
        let lacks = |other: &Model| lacking.iter().any(|lack| lack.model.name == other.name);
        let mut others = models.iter().filter(|other| other.name != model.name && !lacks(other));
        let rich = others.find(|other| self.held(other) > SPARES)?;
        let mut rows = self.rows.iter().filter(|row| row.held.as_ref() == Some(&rich.name));
        rows.find(|row| !row.staging).map(|row| row.runner)
    }

    /// Runners that do not hold `model` and are not loading another one, bare ones first.
    fn list_others(&self, model: &Model) -> Vec<&'a Runner> {
        let other = |row: &&Row| row.held.as_ref() != Some(&model.name) && !row.staging;
        let mut others: Vec<&Row> = self.rows.iter().filter(other).collect();
        others.sort_by_key(|row| row.held.is_some());
        others.into_iter().map(|row| row.runner).collect()
    }

    /// Sets a whole set of `model` aside.
    fn reserve(&mut self, model: &Model) {
        for _ in 0..model.size {
            if let Some(at) = self.returning.iter().position(|returning| *returning == model.name) {
                self.returning.swap_remove(at);
            } else if let Some(at) = self.rows.iter().position(|row| row.held.as_ref() == Some(&model.name)) {
                self.rows.swap_remove(at);
            }
        }
    }

    fn note(&mut self, runner: &Runner, model: &Model) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.runner.id == runner.id) {
            row.held = Some(model.name.clone());
            row.staging = true;
        }
    }
}
