//! Closes groups that a shift formed, once the model that lent them lacks groups.

use cottoncrank::Millis;

use crate::catalog::{Engine, Model};
use crate::reserve::Risk;
use crate::shift::bounds::{Bounds, is_borrowed};
use crate::shift::exchange::{close, count_closing_domains, list_exchanges, pick_cheapest};
use crate::shift::lender::Lender;
use crate::shift::state::{HOLD_TIME, State};
use crate::snapshot::{Draft, Snapshot};
use crate::targets::{count_active, list_targets};

/// The minimum time between two exchanges that give groups back.
const RETURN_PAUSE: Millis = Millis(2000);

/// The highest load of a model that gives groups back, as a fraction of the throughput of the groups that
/// it keeps, without the largest of them.
const MAX_LOAD_RETURNING: f64 = 0.9;

/// Closes groups that a shift formed, with others of their model and domain as needed, if their members
/// complete a group of a model that is further below its target. Groups that form afterwards don't count
/// as formed by a shift, so this comes to an end.
pub(super) fn give_back(
    snapshot: &Snapshot,
    engine: &Engine,
    risk: &Risk,
    lenders: &[Lender],
    drafts: &mut [Draft],
    state: &mut State,
) {
    let (models, now) = (&engine.models, snapshot.now);
    let targets = list_targets(models, drafts, risk, &Bounds::default());
    let active = count_active(models, drafts);
    let find_fulfillment =
        |at: usize, closed: usize| (active[at] - closed.min(active[at])) as f64 / targets[at];
    let order = |a: &usize, b: &usize| find_fulfillment(*a, 0).total_cmp(&find_fulfillment(*b, 0));
    let above = (0..models.len()).filter(|at| has_borrowed(&models[*at], drafts)).max_by(order);
    let Some(above) = above else { return };
    let below = (0..models.len()).filter(|at| *at != above).min_by(order);
    let Some(below) = below.filter(|at| find_fulfillment(*at, 0) < 1.0) else { return };
    let wanted = &models[below];
    if !is_due(state, &models[above], wanted, drafts, now) {
        return;
    }
    let lender = &lenders[above];
    let load = state.find_peak(lender);
    let reached = find_fulfillment(below, 0);
    let exchanges = list_exchanges(snapshot, lender, wanted, drafts).into_iter();
    let affordable = exchanges.filter(|exchange| {
        exchange.victims.iter().any(is_borrowed)
            && reached < find_fulfillment(above, exchange.victims.len())
            && lender.bears_loss(load, &exchange.victims, MAX_LOAD_RETURNING)
    });
    let Some(exchange) = pick_cheapest(affordable) else { return };
    let reason =
        format!("given back to {}, which has {} of {} groups", wanted.name, active[below], targets[below]);
    close(&mut drafts[exchange.draft], &exchange.victims, &reason);
    state.returned_at = Some(now);
}

/// Whether a group of `above` may be closed for `wanted` now.
fn is_due(state: &State, above: &Model, wanted: &Model, drafts: &[Draft], now: Millis) -> bool {
    let is_paused = state.returned_at.is_some_and(|at| now < at + RETURN_PAUSE);
    if is_paused || count_closing_domains(above, drafts) > 0 {
        return false;
    }
    let has_observed = state.observed.is_some_and(|first| now >= first + HOLD_TIME);
    let is_calm = has_observed && !state.was_short(&above.name, HOLD_TIME, now);
    let is_urgent = state.is_short(&wanted.name, now) && !state.is_short(&above.name, now);
    is_calm || is_urgent
}

/// Whether a model has groups that a shift formed. A new decider knows of earlier shifts by these alone.
fn has_borrowed(model: &Model, drafts: &[Draft]) -> bool {
    let mut groups = drafts.iter().flat_map(Draft::list_available);
    groups.any(|group| group.model == model.name && !group.is_retired() && is_borrowed(&group.name))
}
