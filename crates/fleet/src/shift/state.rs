//! What the planner remembers of shifts.

use std::collections::BTreeMap;

use cottoncrank::{Millis, id};

use crate::shift::bounds::{Bounds, is_borrowed};
use crate::shift::lender::Lender;
use crate::snapshot::{Draft, Snapshot};

/// Shortages of a model that follow each other within this time count as one.
pub(super) const SHORT_GAP: Millis = Millis(1000);

/// How long a model must not have been short before a shift ends. It is longer than the usual waves of
/// demand.
pub(super) const HOLD_TIME: Millis = Millis(12_000);

/// The period of the peaks of a model's load. A peak is kept for one to two periods, so that it covers at
/// least one wave of demand.
const PEAK_PERIOD: Millis = Millis(12_000);

/// A hall with fewer than this fraction of its usual runners counts as away.
const AWAY_FRACTION: f64 = 0.5;

/// A hall that is away for this long is taken to be lost, and the runners left are its usual ones.
const HALL_LOSS_TIME: Millis = Millis(10_000);

/// How long the groups of a hall that has come back take to form.
const HALL_FORM_TIME: Millis = Millis(6000);

/// How long a model that was short counts as likely to be short again when models are staged on hosts.
const STAGING_TIME: Millis = Millis(60_000);

/// The fullest model is likely to be short if its load is at least this fraction of its throughput.
const LIKELY_SHORT_FILL: f64 = 0.6;

/// The value of one more staged copy of a model that is likely to be short, as a number of runners that it
/// saves from being idle.
const STAGING_VALUE: f64 = 0.5;

/// Groups that one model lends to another.
#[derive(Clone, Debug)]
pub(super) struct Loan {
    pub(super) lender: id::Model,
    pub(super) borrower: id::Model,
    /// The groups closed so far.
    pub(super) lent: usize,
    /// The groups that the lender keeps.
    pub(super) keeps: usize,
    /// The groups that the borrower gets.
    pub(super) wants: usize,
}

/// The highest load of a model, as throughput, over the current and the previous period.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    current: f64,
    previous: f64,
    began: Millis,
}

impl Peak {
    fn record(&mut self, load: f64, now: Millis) {
        if now >= self.began + PEAK_PERIOD {
            *self = Peak { current: load, previous: self.current, began: now };
        }
        self.current = self.current.max(load);
    }

    fn get(&self) -> f64 {
        self.current.max(self.previous)
    }
}

/// When a model was short.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shortage {
    pub(super) since: Millis,
    last: Millis,
}

/// The runners of a hall.
#[derive(Clone, Copy, Debug, Default)]
struct Hall {
    usual: usize,
    away_since: Option<Millis>,
    back_at: Option<Millis>,
}

/// What the planner remembers of shifts in one service. A new decider begins with none of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    /// The time of the first observation.
    pub(super) observed: Option<Millis>,
    pub(super) shortages: BTreeMap<id::Model, Shortage>,
    halls: BTreeMap<id::Hall, Hall>,
    /// The recent peak of each model's load.
    peaks: BTreeMap<id::Model, Peak>,
    /// The model whose callers use most of its throughput, and are therefore likely to be refused first.
    fullest: Option<id::Model>,
    pub(super) loan: Option<Loan>,
    /// The number of open groups of the model that borrows, and when it last grew.
    pub(super) opened: (usize, Millis),
    /// When groups were last given back.
    pub(super) returned_at: Option<Millis>,
    /// Why no groups were lent to a model that is short, as last logged.
    pub(super) noted: Option<&'static str>,
}

impl State {
    /// Returns how many groups a model lends.
    pub(crate) fn count_lent(&self, model: &id::Model) -> usize {
        self.loan.as_ref().filter(|loan| loan.lender == *model).map_or(0, |loan| loan.lent)
    }

    /// Returns the value of one more staged copy of a model. It is above zero if the model is likely to be
    /// short, or if there are groups of other models that a shift formed, whose runners it may get back.
    pub(crate) fn find_staging_value(&self, snapshot: &Snapshot, model: &id::Model) -> f64 {
        let mut groups = snapshot.plans.values().flat_map(|plan| &plan.groups);
        let has_lent = groups.any(|group| group.model != *model && is_borrowed(&group.name));
        let is_likely = self.fullest.as_ref() == Some(model);
        let is_wanted = has_lent || is_likely || self.was_short(model, STAGING_TIME, snapshot.now);
        if is_wanted { STAGING_VALUE } else { 0.0 }
    }

    /// Whether a model was short within `span`.
    pub(super) fn was_short(&self, model: &id::Model, span: Millis, now: Millis) -> bool {
        self.shortages.get(model).is_some_and(|shortage| now < shortage.last + span)
    }

    /// Whether a model is short in this planning step.
    pub(super) fn is_short(&self, model: &id::Model, now: Millis) -> bool {
        self.shortages.get(model).is_some_and(|shortage| shortage.last == now)
    }

    /// Returns the recent peak of the load of a model.
    pub(super) fn find_peak(&self, lender: &Lender) -> f64 {
        self.peaks.get(&lender.model.name).map_or(lender.load, Peak::get)
    }

    pub(super) fn bounds(&self) -> Bounds {
        let loan = self.loan.as_ref();
        Bounds {
            ceiling: loan.map(|loan| (loan.lender.clone(), loan.keeps)),
            floor: loan.map(|loan| (loan.borrower.clone(), loan.wants)),
        }
    }

    pub(super) fn observe(&mut self, snapshot: &Snapshot, drafts: &[Draft], lenders: &[Lender]) {
        let now = snapshot.now;
        self.observed.get_or_insert(now);
        for (model, strain) in &snapshot.pressure.strains {
            if strain.is_short() {
                self.observe_shortage(model, now);
            }
        }
        self.observe_halls(snapshot, drafts);
        for lender in lenders {
            self.peaks.entry(lender.model.name.clone()).or_default().record(lender.load, now);
        }
        let fullest = self.find_fullest(lenders);
        self.fullest = fullest.filter(|_| snapshot.pressure.priorities);
    }

    fn observe_shortage(&mut self, model: &id::Model, now: Millis) {
        let first = Shortage { since: now, last: now };
        let shortage = self.shortages.entry(model.clone()).or_insert(first);
        if now >= shortage.last + SHORT_GAP {
            shortage.since = now;
        }
        shortage.last = now;
    }

    /// Records the open groups of the model that borrows.
    pub(super) fn observe_open(&mut self, open: usize, now: Millis) {
        match self.loan {
            Some(_) if open > self.opened.0 => self.opened = (open, now),
            Some(_) => self.opened.0 = open,
            None => self.opened = (open, Millis(0)),
        }
    }

    /// Returns the model whose callers use most of its throughput, if it is likely to be short.
    fn find_fullest(&self, lenders: &[Lender]) -> Option<id::Model> {
        let fill = |lender: &Lender| self.find_peak(lender) / lender.sum_capacity().max(f64::MIN_POSITIVE);
        let full = lenders.iter().map(|lender| (fill(lender), lender.model));
        let fullest = full.filter(|(fill, _)| *fill >= LIKELY_SHORT_FILL);
        fullest.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, model)| model.name.clone())
    }

    fn observe_halls(&mut self, snapshot: &Snapshot, drafts: &[Draft]) {
        let mut counts: BTreeMap<&id::Hall, usize> = BTreeMap::new();
        for runner in drafts.iter().flat_map(|draft| &draft.runners) {
            *counts.entry(&runner.hall).or_default() += 1;
        }
        for hall in counts.keys() {
            self.halls.entry((*hall).clone()).or_default();
        }
        for (name, hall) in &mut self.halls {
            let count = if snapshot.probes.is_cut(name) { 0 } else { counts.get(name).copied().unwrap_or(0) };
            hall.observe(count, snapshot.now);
        }
    }

    /// Whether a hall is away, or has come back so lately that its groups are still forming.
    pub(super) fn lacks_hall(&self, now: Millis) -> bool {
        let is_forming = |hall: &Hall| hall.back_at.is_some_and(|at| now < at + HALL_FORM_TIME);
        self.halls.values().any(|hall| hall.away_since.is_some() || is_forming(hall))
    }
}

impl Hall {
    fn observe(&mut self, count: usize, now: Millis) {
        self.usual = self.usual.max(count);
        if count as f64 >= self.usual as f64 * AWAY_FRACTION {
            if self.away_since.take().is_some() {
                self.back_at = Some(now);
            }
            return;
        }
        let since = *self.away_since.get_or_insert(now);
        if now >= since + HALL_LOSS_TIME {
            (self.usual, self.away_since) = (count, None);
        }
    }
}
