//! Which part of the runners each model needs, by the work that callers bring.
//!
//! The load this answers: operators publish what part of the runners each model is to have,
//! and callers ask for something else. Then the groups of one model stand nearly idle while
//! requests for another find all slots taken. What nodes have in flight shows that. Slots
//! in use say little of engines that mostly read prompts, so only a clear difference counts;
//! up to that the published parts hold.

use std::collections::HashMap;
use std::fmt;

use cottoncrank::{Millis, id};

use crate::catalog::Model;

/// The part of its slots in use may differ from one model to another by this factor: one
/// that reads long prompts and writes short answers is as busy with half of the slots.
const MAX_UTILIZATION_RATIO: f64 = 2.0;

/// Where no model has more than this part of its slots in use, nobody waits for room.
const MIN_PRESSURE_UTILIZATION: f64 = 0.5;

/// From this part on, the difference counts in full.
const FULL_PRESSURE_UTILIZATION: f64 = 0.7;

/// No model gives so much that its groups would have more than this part of their slots in
/// use: what is left must bear the loss of some of them.
const MAX_DONOR_UTILIZATION: f64 = 0.3;

/// What is in flight is averaged over about this time, in milliseconds: four times what a
/// short burst lasts, and half of what a load from the weight store takes.
const SMOOTHING_TIME: f64 = 8000.0;

/// Nothing follows from what was seen for less than this.
const MIN_OBSERVATION: Millis = Millis(5000);

/// Parts are told anew once one has moved by this: half a group of sixteen in two hundred
/// runners.
const MIN_LOGGED_CHANGE: f64 = 0.04;

/// What the deciding node has seen of how busy the groups of each model are.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The part of the slots in use, by model.
    utilization: HashMap<id::Model, f64>,
    /// When it was first and last noted.
    observed: Option<(Millis, Millis)>,
}

/// Which part of the runners a model is to have, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The model.
    pub model: id::Model,
    /// What operators published, 0 to 1.
    pub published: f64,
    /// What it is to have, 0 to 1.
    pub needed: f64,
    /// The part of its slots in use, if it had open groups.
    pub utilization: Option<f64>,
}

impl Share {
    /// Whether what it is to have differs from `other` by enough to say so.
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
    /// Takes in which part of the slots of each model is in use at `now`. A model without
    /// open groups has none.
    pub fn record(&mut self, utilization: impl IntoIterator<Item = (id::Model, f64)>, now: Millis) {
        let (first, last) = self.observed.unwrap_or((now, now));
        let weight = 1.0 - (-(now.since(last).0 as f64) / SMOOTHING_TIME).exp();
        for (model, current) in utilization {
            let mean = self.utilization.entry(model).or_insert(current);
            *mean += weight * (current - *mean);
        }
        self.observed = Some((first, now));
    }

    /// The models with the parts that they need. The parts of those that are clearly less
    /// busy than the busiest one shrink, until they would be half as busy.
    /// Callers of the busy model would wait while groups of the other one stand idle.
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

    /// The parts of all models, for the log.
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
