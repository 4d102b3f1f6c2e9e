//! The share of the runners that each model needs, from the load of callers.
//!
//! Operators publish a share for each model, but callers may ask for something else. Then the
//! groups of one model are nearly idle while requests for another find all slots taken. The
//! requests in flight show that. Slots in use say little about engines that mostly read prompts, so
//! only a clear difference counts; below that the published shares apply.

use std::collections::HashMap;
use std::fmt;

use cottoncrank::{Millis, id};

use crate::catalog::Model;

/// The utilization of two models may differ by this factor: a model that reads long prompts and
/// writes short answers is as busy with half of its slots in use.
const MAX_UTILIZATION_RATIO: f64 = 2.0;

/// If no model has a higher utilization than this, no request waits for a slot.
const MIN_PRESSURE_UTILIZATION: f64 = 0.5;

/// From this utilization on, the difference counts in full.
const FULL_PRESSURE_UTILIZATION: f64 = 0.7;

/// No model gives up so many runners that its groups would exceed this utilization, because the
/// rest must bear the loss of some of them.
const MAX_DONOR_UTILIZATION: f64 = 0.3;

/// The time constant of the moving average of utilization, in milliseconds: four times the length
/// of a short burst, and half the duration of a load from the weight store.
const SMOOTHING_TIME: f64 = 8000.0;

/// Shares are not adjusted before utilization has been observed for this long.
const MIN_OBSERVATION: Millis = Millis(5000);

/// Shares are logged again once one has changed by this much: half a group of sixteen in two
/// hundred runners.
const MIN_LOGGED_CHANGE: f64 = 0.04;

/// The utilization of the groups of each model as the planner observed it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The average utilization of slots, by model.
    utilization: HashMap<id::Model, f64>,
    /// The times of the first and the last observation.
    observed: Option<(Millis, Millis)>,
}

/// The share of the runners that a model needs, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The model.
    pub model: id::Model,
    /// The share that operators published, 0 to 1.
    pub published: f64,
    /// The share that the model needs, 0 to 1.
    pub needed: f64,
    /// The utilization of its slots, if it had open groups.
    pub utilization: Option<f64>,
}

impl Share {
    /// Whether the needed share differs from that of `other` enough to be logged.
    pub fn differs(&self, other: &Share) -> bool {
        self.model != other.model || (self.needed - other.needed).abs() >= MIN_LOGGED_CHANGE
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Share { model, published, needed, utilization } = self;
        let utilization = utilization.map_or("unknown".to_owned(), |part| format!("{part:.2}"));
        write!(
            f,
            "{model} gets {needed:.2} of the runners, published {published:.2}, slots in use {utilization}"
        )
    }
}

impl Demand {
    /// Records the utilization of the slots of each model at `now`. A model without open groups has
    /// none.
    pub fn record(&mut self, utilization: impl IntoIterator<Item = (id::Model, f64)>, now: Millis) {
        let (first, last) = self.observed.unwrap_or((now, now));
        let weight = 1.0 - (-(now.since(last).0 as f64) / SMOOTHING_TIME).exp();
        for (model, current) in utilization {
            let mean = self.utilization.entry(model).or_insert(current);
            *mean += weight * (current - *mean);
        }
        self.observed = Some((first, now));
    }

    /// Returns the models with the shares that they need. The shares of models that are clearly
    /// less busy than the busiest one shrink until they would be half as busy. Otherwise callers of
    /// the busy model would wait while groups of another one are idle.
    pub fn adjust(&self, models: &[Model]) -> Vec<Model> {
        let mut adjusted = models.to_vec();
        let highest =
            models.iter().filter_map(|model| self.utilization.get(&model.name)).copied().fold(0.0, f64::max);
        let pressure = ((highest - MIN_PRESSURE_UTILIZATION)
            / (FULL_PRESSURE_UTILIZATION - MIN_PRESSURE_UTILIZATION))
            .clamp(0.0, 1.0);
        if pressure == 0.0 || self.observed.is_none_or(|(first, last)| last < first + MIN_OBSERVATION) {
            return adjusted;
        }
        for model in &mut adjusted {
            let utilization = self.utilization.get(&model.name).copied().unwrap_or(highest);
            let needed = (utilization * MAX_UTILIZATION_RATIO / highest)
                .max(utilization / MAX_DONOR_UTILIZATION)
                .min(1.0);
            model.share *= 1.0 - pressure * (1.0 - needed);
        }
        let before: f64 = models.iter().map(|model| model.share).sum();
        let after: f64 = adjusted.iter().map(|model| model.share).sum();
        for model in adjusted.iter_mut().filter(|_| after > 0.0) {
            model.share *= before / after;
        }
        adjusted
    }

    /// Returns the shares of all models, for the log.
    pub fn list_shares(&self, models: &[Model]) -> Vec<Share> {
        let adjusted = self.adjust(models);
        let shares = models.iter().zip(adjusted).map(|(published, needed)| Share {
            model: published.name.clone(),
            published: published.share,
            needed: needed.share,
            utilization: self.utilization.get(&published.name).copied(),
        });
        shares.collect()
    }
}
