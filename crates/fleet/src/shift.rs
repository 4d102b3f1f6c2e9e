//! Shifts of groups between models: a model whose callers are refused borrows from one with spare
//! throughput.
//!
//! Shares ([`crate::demand`]) follow utilization slowly and close no group. A shift follows refusals
//! ([`crate::pressure`]): it closes the least used groups of the lending model whose members' hosts hold
//! the borrowing model, and bounds the targets of both models until the shortage is over. It happens only
//! where the routes of a service differ in priority.
//!
//! - `bounds`: the bounds of targets, and the names of groups.
//! - `state`: what the planner remembers.
//! - `lender`: the groups of a model that lends, and the load that they have to bear.
//! - `exchange`: the groups to close in a domain.
//! - `repayment`: gives groups back after a shift. It needs only the plans and their targets, so that a
//!   new decider, which remembers no shift, does it too.

pub(crate) mod bounds;
mod exchange;
mod lender;
mod repayment;
pub(crate) mod state;

use cottoncrank::Millis;

use crate::catalog::{Engine, Model};
use crate::plan::{Group, State as Desired};
use crate::reserve::Risk;
use crate::runner::Phase;
use crate::shift::bounds::Bounds;
use crate::shift::exchange::{Exchange, close, count_closing_domains, list_exchanges, pick_cheapest};
use crate::shift::lender::{Lender, Open, count_needed};
use crate::shift::repayment::give_back;
use crate::shift::state::{HOLD_TIME, Loan, SHORT_GAP, State};
use crate::snapshot::{Draft, Snapshot, find_phase};
use crate::targets::count_active;

/// How long a model has to be short before groups are closed for it.
const MIN_SHORT_TIME: Millis = Millis(500);

/// Groups are closed in at most this many domains at a time.
const MAX_CLOSING_DOMAINS: usize = 2;

/// Closes groups of models with spare throughput for models that are short, and returns the bounds that
/// this sets for the targets.
pub(crate) fn shift_groups(
    snapshot: &Snapshot,
    engine: &Engine,
    risk: &Risk,
    drafts: &mut [Draft],
    state: &mut State,
    notes: &mut Vec<String>,
) -> Bounds {
    let lenders: Vec<Lender> =
        engine.models.iter().map(|model| Lender::count(snapshot, engine, model, drafts)).collect();
    state.observe(snapshot, drafts, &lenders);
    end_loan(snapshot, state, notes);
    let outcome = answer_shortage(snapshot, engine, &lenders, drafts, state);
    if state.loan.is_none() && outcome != Err(Hindrance::MissingHall) && snapshot.in_flight.is_some() {
        give_back(snapshot, engine, risk, &lenders, drafts, state);
    }
    note_outcome(snapshot, engine, &lenders, outcome, state, notes);
    state.bounds()
}

/// Why no groups are lent at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hindrance {
    EqualPriorities,
    NotShort,
    UnknownLoad,
    MissingHall,
    NothingSpare,
    EnoughForming,
    AlreadyClosing,
    NoDomain,
}

impl Hindrance {
    fn name(self) -> &'static str {
        match self {
            Hindrance::EqualPriorities => "its routes do not differ in priority",
            Hindrance::NotShort => "nobody has been refused for long enough",
            Hindrance::UnknownLoad => "the requests in flight are not known",
            Hindrance::MissingHall => "a hall is away or has just come back",
            Hindrance::NothingSpare => "no other model has groups to spare",
            Hindrance::EnoughForming => "enough groups are forming",
            Hindrance::AlreadyClosing => "groups are closing already",
            Hindrance::NoDomain => "no domain has a group whose members hold the model",
        }
    }
}

/// Lends groups to a model that is short, or returns why not.
fn answer_shortage(
    snapshot: &Snapshot,
    engine: &Engine,
    lenders: &[Lender],
    drafts: &mut [Draft],
    state: &mut State,
) -> Result<(), Hindrance> {
    if !snapshot.pressure.priorities {
        return Err(Hindrance::EqualPriorities);
    }
    if snapshot.in_flight.is_none() {
        return Err(Hindrance::UnknownLoad);
    }
    if state.lacks_hall(snapshot.now) {
        return Err(Hindrance::MissingHall);
    }
    let (lender, borrower) = find_pair(snapshot, lenders, state)?;
    lend(snapshot, engine, lender, borrower, drafts, state)
}

/// Notes why nothing is lent to a model that is short, each time that the reason changes.
fn note_outcome(
    snapshot: &Snapshot,
    engine: &Engine,
    lenders: &[Lender],
    outcome: Result<(), Hindrance>,
    state: &mut State,
    notes: &mut Vec<String>,
) {
    let mut short = snapshot.pressure.strains.iter().filter(|(_, strain)| strain.is_short());
    let Some((model, strain)) = short.next() else { return };
    let reason = outcome.err().map(Hindrance::name);
    if reason != state.noted
        && let Some(reason) = reason
    {
        let (refused, asked) = (strain.refused, strain.asked);
        let describe = |lender: &Lender| {
            let load = count_needed(engine, lender, state.find_peak(lender));
            format!("; {} has {} open groups for a load of {load:.1}", lender.model.name, lender.groups.len())
        };
        let loads: String = lenders.iter().map(describe).collect();
        notes.push(format!("{model} is short, {refused:.0} of {asked:.0} refused: {reason}{loads}"));
    }
    state.noted = reason;
}

/// Ends the loan if the borrower has not been short for a while, or the lender is.
fn end_loan(snapshot: &Snapshot, state: &mut State, notes: &mut Vec<String>) {
    let Some(loan) = &state.loan else { return };
    let reason = if state.is_short(&loan.lender, snapshot.now) {
        format!("callers of {} are refused", loan.lender)
    } else if !state.was_short(&loan.borrower, HOLD_TIME, snapshot.now) {
        format!("no caller of {} was refused for {HOLD_TIME}", loan.borrower)
    } else {
        return;
    };
    notes.push(format!("{} groups of {} are no longer lent: {reason}", loan.lent, loan.lender));
    state.loan = None;
}

/// Returns the model that lends and the one that borrows.
fn find_pair<'a, 'b>(
    snapshot: &Snapshot,
    lenders: &'a [Lender<'b>],
    state: &State,
) -> Result<(&'a Lender<'b>, &'b Model), Hindrance> {
    let now = snapshot.now;
    let refused =
        |model: &Model| snapshot.pressure.strains.get(&model.name).map_or(0.0, |strain| strain.refused);
    let short = lenders.iter().map(|lender| lender.model).filter(|model| state.is_short(&model.name, now));
    let borrower = short.max_by(|a, b| refused(a).total_cmp(&refused(b))).ok_or(Hindrance::NotShort)?;
    if now < state.shortages[&borrower.name].since + MIN_SHORT_TIME {
        return Err(Hindrance::NotShort);
    }
    let fits = |lender: &&Lender| match &state.loan {
        Some(loan) => loan.lender == lender.model.name && loan.borrower == borrower.name,
        None => true,
    };
    let others = lenders.iter().filter(|lender| lender.model.name != borrower.name).filter(fits);
    let calm = others.filter(|lender| !state.was_short(&lender.model.name, HOLD_TIME, now));
    let has_spare = |lender: &&Lender| {
        let load = state.find_peak(lender);
        let is_spare = |group: &Open| lender.can_lend(load, std::slice::from_ref(&group.name));
        lender.groups.iter().any(is_spare)
    };
    let lender = calm.filter(has_spare).max_by_key(|lender| lender.groups.len() * lender.model.size);
    lender.map(|lender| (lender, borrower)).ok_or(Hindrance::NothingSpare)
}

/// Closes groups of `lender` for the groups that `borrower` lacks.
fn lend(
    snapshot: &Snapshot,
    engine: &Engine,
    lender: &Lender,
    borrower: &Model,
    drafts: &mut [Draft],
    state: &mut State,
) -> Result<(), Hindrance> {
    let strain = snapshot.pressure.strains.get(&borrower.name).copied().unwrap_or_default();
    let missing = check_need(snapshot, lender.model, borrower, strain.fraction(), drafts, state)?;
    let load = state.find_peak(lender);
    let exchanges = list_exchanges(snapshot, lender, borrower, drafts);
    let affordable = exchanges.into_iter().filter(|exchange| lender.can_lend(load, &exchange.victims));
    let exchange = pick_cheapest(affordable).ok_or(Hindrance::NoDomain)?;
    let loan = extend_loan(state.loan.as_ref(), lender.model, borrower, &exchange, drafts);
    let reason = format!(
        "lent to {}, {:.0} of {:.0} refused, {missing} groups missing; {} keeps {} for a load of {:.1} groups",
        borrower.name,
        strain.refused,
        strain.asked,
        lender.model.name,
        loan.keeps,
        count_needed(engine, lender, load)
    );
    close(&mut drafts[exchange.draft], &exchange.victims, &reason);
    state.loan = Some(loan);
    Ok(())
}

/// Returns how many groups `borrower` lacks if groups of `lender` may be closed for it now, or else why not.
/// `refused` is the refused fraction of its requests. Also records how many of its groups are open.
fn check_need(
    snapshot: &Snapshot,
    lender: &Model,
    borrower: &Model,
    refused: f64,
    drafts: &[Draft],
    state: &mut State,
) -> Result<usize, Hindrance> {
    let missing = count_missing(snapshot, lender, borrower, refused, drafts);
    state.observe_open(count_open(snapshot, borrower, drafts), snapshot.now);
    // The pressure still includes refusals from before the last group opened.
    let has_just_opened = snapshot.now < state.opened.1 + SHORT_GAP;
    if missing == 0 || has_just_opened {
        return Err(Hindrance::EnoughForming);
    }
    if count_closing_domains(lender, drafts) >= MAX_CLOSING_DOMAINS {
        return Err(Hindrance::AlreadyClosing);
    }
    Ok(missing)
}

/// Returns the loan including an exchange whose groups are still to be closed.
fn extend_loan(
    loan: Option<&Loan>,
    lender: &Model,
    borrower: &Model,
    exchange: &Exchange,
    drafts: &[Draft],
) -> Loan {
    let active = |model: &Model| count_active(std::slice::from_ref(model), drafts)[0];
    let closed = exchange.victims.len();
    let wanted = loan.map_or(0, |loan| loan.wants).max(active(borrower));
    Loan {
        lender: lender.name.clone(),
        borrower: borrower.name.clone(),
        lent: loan.map_or(0, |loan| loan.lent) + closed,
        keeps: active(lender) - closed,
        wants: wanted + exchange.gained,
    }
}

/// Returns the number of open groups of a model, without those under evacuation.
fn count_open(snapshot: &Snapshot, model: &Model, drafts: &[Draft]) -> usize {
    let groups = drafts.iter().flat_map(Draft::list_available);
    let active = groups.filter(|group| group.model == model.name && !group.is_retired());
    let is_open = |group: &&Group| {
        let head = group.head().and_then(|head| snapshot.find(head));
        head.is_some_and(|head| find_phase(head, group) == Some(Phase::Open))
    };
    active.filter(is_open).count()
}

/// Returns how many groups a model lacks beyond those that are forming or can form of runners that are
/// becoming free. `refused` is the refused fraction of its requests.
fn count_missing(
    snapshot: &Snapshot,
    lender: &Model,
    borrower: &Model,
    refused: f64,
    drafts: &[Draft],
) -> usize {
    let groups = || drafts.iter().flat_map(Draft::list_available);
    let active = groups().filter(|group| group.model == borrower.name && !group.is_retired());
    let open = count_open(snapshot, borrower, drafts);
    let forming = active.count() - open;
    let closing = groups().filter(|group| group.model == lender.name && group.state == Desired::Closing);
    let released: usize = drafts.iter().map(|draft| draft.list_released().count()).sum();
    let coming = (closing.map(|group| group.members.len()).sum::<usize>() + released) / borrower.size;
    // The open groups serve the fraction that is not refused, so this many more would serve the rest. The
    // divisor is at least one half, because the quotient would otherwise grow without bound.
    let wanted = (open as f64 * refused / (1.0 - refused.min(0.5))).ceil() as usize;
    wanted.saturating_sub(forming + coming)
}
