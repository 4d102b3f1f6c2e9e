//! Fleets whose runners take time to load models, as large as those that operators run.

use std::collections::HashMap;

use cottoncrank::Millis;
use cottoncrank_platform_standin::operator::{LARGE_MODEL, MODEL, add_large_model, set_capacity};
use cottoncrank_platform_standin::runner::loading::{Loading, Times, WeightStore};
use cottoncrank_platform_standin::settings::Limits;
use serde_json::Value;

use crate::fleet::{APPLY_MS, Layout};

/// The halls of such a fleet, with the nodes of each.
const HALLS: [(&str, usize); 3] = [("hall-a", 2), ("hall-b", 3), ("hall-c", 1)];

/// Runners in a fabric domain, and domains in a hall.
const DOMAIN: usize = 10;
const DOMAINS_PER_HALL: usize = 2;

/// From the order to open a group until it takes requests.
const FORM_TIME: Millis = Millis(100);

/// How long models take to load: from the weight store, and from the host.
const LARGE: Times = Times { load: Millis(16_000), warm: Millis(1600) };
const SMALL: Times = Times { load: Millis(12_000), warm: Millis(1100) };

/// Loads that may begin in a second, and that run at full speed at once.
const LOADS_PER_S: f64 = 5.0;
const LOADS_AT_ONCE: usize = 7;

/// Requests that a group takes at once.
const SLOTS: u32 = 17;

/// After how long a group that stands still is broken, in milliseconds.
pub const STALL_MS: u64 = 6000;

/// The window in which loads are counted, in seconds, and the factor by which their rate may be exceeded in it.
const CEILING_WINDOW_S: f64 = 5.0;
const CEILING_OVERSHOOT: f64 = 1.1;

/// What a box gives its node.
const LIMITS: Limits = Limits { cpu_share: 0.25, memory_mb: 260, max_fds: 4200 };

/// How the runners of a fleet work.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// How long they take.
    pub loading: Loading,
    /// Requests that a group takes at once.
    pub slots: u32,
    /// The window in which loads are counted, in seconds.
    pub ceiling_window_s: f64,
    /// The factor by which their rate may be exceeded in it.
    pub ceiling_overshoot: f64,
    /// What a box gives its node by the settings, if they say so.
    pub limits: Option<Limits>,
}

impl Sheet {
    /// Adds its models and rates to a configuration.
    pub fn configure(&self, config: &mut Value) {
        let seconds = |times: Times| [times.load, times.warm].map(|time| time.0 as f64 / 1000.0);
        add_large_model(config, seconds(LARGE), seconds(SMALL));
        set_capacity(config, self.slots as usize, LOADS_PER_S, LOADS_AT_ONCE);
    }
}

/// Six nodes before sixty runners in three halls, with two models; `limits` are in the settings of the nodes, or
/// not.
pub fn lay_out(limits: bool) -> Layout {
    let nodes = HALLS.iter().flat_map(|(hall, nodes)| std::iter::repeat_n(*hall, *nodes)).collect();
    let domains = HALLS.iter().flat_map(|(hall, _)| std::iter::repeat_n(*hall, DOMAINS_PER_HALL)).enumerate();
    let engines = domains.flat_map(|(domain, hall)| std::iter::repeat_n((hall, domain), DOMAIN)).collect();
    let models = [(LARGE_MODEL, LARGE), (MODEL, SMALL)].map(|(name, times)| (name.to_owned(), times));
    let loading =
        Loading { models: HashMap::from(models), form: FORM_TIME, weights: WeightStore::new(LOADS_AT_ONCE) };
    let sheet = Sheet {
        loading,
        slots: SLOTS,
        ceiling_window_s: CEILING_WINDOW_S,
        ceiling_overshoot: CEILING_OVERSHOOT,
        limits: limits.then_some(LIMITS),
    };
    Layout {
        nodes,
        engines,
        plain: HALLS.map(|(hall, _)| hall).to_vec(),
        cold: false,
        apply_ms: APPLY_MS,
        stall_ms: STALL_MS,
        sheet: Some(sheet),
    }
}
