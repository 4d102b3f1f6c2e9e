//! Picking the runner for a request.

use std::collections::HashMap;

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::occupancy::FleetLoad;
use crate::runner::Runner;

/// A runner that failed a request is passed over for this long, if others can
/// take it. Long enough to cover the time in which a crash becomes known.
pub const FAILURE_AVOID_TIME: Millis = Millis(2500);

/// Where streams have begun and none of them gets on for this long, the runner is
/// stalled. A pass of an engine with all slots in use and a full piece of a prompt
/// takes some 0.11 s by the figures that engines publish, twice as long in a slow group.
pub const STALL_TIMEOUT: Millis = Millis(400);

/// A runner that turns away this many requests in a row is passed over: one that is merely
/// full takes some in between. It has nothing in flight, so it would get more than all others.
const MIN_REJECTIONS: u32 = 2;

/// For how long it is passed over then; twice as long with each excess one, up to [`FAILURE_AVOID_TIME`].
const REJECTION_AVOID_TIME: Millis = Millis(300);

/// What a node has seen of a runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Requests of this node under path there.
    pub running: u32,
    /// Streams of this node under path there that have begun.
    streams: u32,
    /// Until when it is passed over.
    avoid_until: Millis,
    /// When a request of this node last got something from there.
    last_progress: Millis,
    /// Requests of this node in a row that it turned away without naming a time.
    rejections: u32,
}

/// Where connections to this many runners of a hall in a row are not made in time,
/// the path there is taken to be cut: two lost runners are seldom met in a row.
pub const MIN_CONNECT_TIMEOUTS: u32 = 2;

/// The runners of a hall to which the path seems cut are passed over for this long,
/// if others can take the request. Then one is tried again.
pub const HALL_AVOID_TIME: Millis = Millis(1000);

/// What a node has seen of the path to a hall.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    /// Connections in a row that were not made in time.
    connect_timeouts: u32,
    /// Until when its runners are passed over.
    avoid_until: Millis,
}

/// What a node has seen of all runners.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: HashMap<id::Runner, Record>,
    paths: HashMap<id::Hall, Path>,
}

impl Ledger {
    /// A request is sent to a runner.
    pub fn begin_request(&mut self, id: &id::Runner) {
        self.records.entry(id.clone()).or_default().running += 1;
    }

    /// A connection to a runner of a hall was made.
    pub fn record_connect(&mut self, hall: &id::Hall) {
        self.paths.remove(hall);
    }

    /// A connection to a runner of a hall was not made in time.
    pub fn record_connect_timeout(&mut self, hall: &id::Hall, now: Millis) {
        let path = self.paths.entry(hall.clone()).or_default();
        path.connect_timeouts += 1;
        if path.connect_timeouts >= MIN_CONNECT_TIMEOUTS {
            path.avoid_until = now + HALL_AVOID_TIME;
        }
    }

    /// Whether nothing speaks against sending a request to a runner.
    pub fn is_healthy(&self, runner: &Runner, now: Millis) -> bool {
        let path = self.paths.get(&runner.hall).copied().unwrap_or_default();
        self.get(&runner.id).avoid_until <= now
            && path.avoid_until <= now
            && !self.is_stalled(&runner.id, now)
    }

    /// Whether streams have begun at a runner and none of them gets on.
    pub fn is_stalled(&self, id: &id::Runner, now: Millis) -> bool {
        let record = self.get(id);
        record.streams > 0 && now >= record.last_progress + STALL_TIMEOUT
    }

    /// A stream has begun at a runner.
    pub fn begin_stream(&mut self, id: &id::Runner) {
        self.records.entry(id.clone()).or_default().streams += 1;
    }

    /// A stream that had begun at a runner is over.
    pub fn end_stream(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.streams = record.streams.saturating_sub(1);
        }
    }

    /// A request ended there.
    pub fn end_request(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// A runner sent something of an answer.
    pub fn record_progress(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.last_progress = now;
        record.avoid_until = Millis(0);
        record.rejections = 0;
    }

    /// A runner turned a request away and named no time.
    pub fn record_rejection(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.rejections += 1;
        if let Some(excess) = record.rejections.checked_sub(MIN_REJECTIONS) {
            let span = Millis(REJECTION_AVOID_TIME.0 << excess.min(8)).min(FAILURE_AVOID_TIME);
            record.avoid_until = record.avoid_until.max(now + span);
        }
    }

    /// Whether a runner has sent nothing of any answer since `start`.
    pub fn is_silent_since(&self, id: &id::Runner, start: Millis) -> bool {
        self.get(id).last_progress < start
    }

    /// A runner gave no answer, or none that can be used.
    pub fn record_failure(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.avoid_until = now + FAILURE_AVOID_TIME;
    }

    /// A runner has started again under its id: what speaks against it was seen of its
    /// former life. Requests in flight there count until their connections have ended.
    pub fn record_restart(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.avoid_until = Millis(0);
            record.rejections = 0;
            record.streams = 0;
        }
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, id: &id::Runner) {
        self.records.remove(id);
    }

    /// The runners that failed a request of this node lately, or at which its streams do
    /// not get on.
    pub fn list_doubted(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let doubted =
            move |id: &id::Runner, record: &Record| now < record.avoid_until || self.is_stalled(id, now);
        self.records.iter().filter(move |(id, record)| doubted(id, record)).map(|(id, _)| id)
    }

    /// The runners that are passed over for having turned requests of this node away.
    pub fn list_rejecting(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let rejecting =
            move |record: &Record| record.rejections >= MIN_REJECTIONS && now < record.avoid_until;
        self.records.iter().filter(move |(_, record)| rejecting(record)).map(|(id, _)| id)
    }

    /// The runners at which requests of this node are in flight, and how many.
    pub fn list_busy(&self) -> impl Iterator<Item = (&id::Runner, u32)> {
        self.records.iter().map(|(id, record)| (id, record.running)).filter(|(_, running)| *running > 0)
    }

    /// What was seen of a runner.
    pub fn get(&self, id: &id::Runner) -> Record {
        self.records.get(id).copied().unwrap_or_default()
    }
}

/// Up to this part of its slots in use, a runner is as good as an idle one: first
/// events wait for prompts that are read, hardly for answers that are written.
const LIGHT_UTILIZATION: f64 = 0.6;

/// With this part of all slots in use, runners have no room: requests that find all
/// slots of a runner taken wait for one, and are late.
const MAX_UTILIZATION: f64 = 0.9;

/// Picks among `candidates` that are not in `tried`: one that is not passed
/// over, with few requests in flight.
///
/// The hall does not count: a hall with few groups of a model would get more than
/// its groups can take.
pub fn pick<'a>(
    candidates: &[&'a Runner],
    tried: &[id::Runner],
    ledger: &Ledger,
    fleet_load: &FleetLoad,
    now: Millis,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let untried: Vec<&Runner> =
        candidates.iter().copied().filter(|runner| !tried.contains(&runner.id)).collect();
    let healthy: Vec<&Runner> =
        untried.iter().copied().filter(|runner| ledger.is_healthy(runner, now)).collect();
    let usable = if healthy.is_empty() { untried } else { healthy };
    match fleet_load.is_usable(now) {
        true => pick_by_fleet_load(&usable, ledger, fleet_load, rng),
        false => pick_by_own_requests(&usable, ledger, rng),
    }
}

/// The one with the fewest requests of this node, else at random.
fn pick_by_own_requests<'a>(
    usable: &[&'a Runner],
    ledger: &Ledger,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let key = |runner: &&Runner| (ledger.get(&runner.id).running, rng.random::<u32>());
    usable.iter().copied().min_by_key(key)
}

/// Among those with the fewest requests of this node, one at random, less likely
/// the fewer slots are free there. All that have many are equal: were the least running
/// one preferred, the prompts of many nodes would meet there before the next fleet_load.
fn pick_by_fleet_load<'a>(
    usable: &[&'a Runner],
    ledger: &Ledger,
    fleet_load: &FleetLoad,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let room = |runner: &&Runner| compute_room(count(runner, ledger, fleet_load), runner.slots);
    let open: Vec<&Runner> = usable.iter().copied().filter(|runner| room(runner) > 0.0).collect();
    let Some(fewest) = open.iter().map(|runner| ledger.get(&runner.id).running).min() else {
        return usable.iter().copied().min_by_key(|runner| count(runner, ledger, fleet_load));
    };
    let best: Vec<&Runner> =
        open.into_iter().filter(|runner| ledger.get(&runner.id).running == fewest).collect();
    let mut target = rng.random::<f64>() * best.iter().map(room).sum::<f64>();
    let reached = best.iter().find(|runner| {
        target -= room(runner);
        target < 0.0
    });
    reached.or(best.first()).copied()
}

/// Whether runners have room for one more request; none if nobody knows.
pub fn has_room(
    candidates: &[&Runner],
    ledger: &Ledger,
    fleet_load: &FleetLoad,
    now: Millis,
) -> Option<bool> {
    if !fleet_load.is_usable(now) {
        return None;
    }
    measure_utilization(candidates, ledger, now, |runner| count(runner, ledger, fleet_load))
        .map(|used| used < MAX_UTILIZATION)
}

/// The part of the slots of healthy runners that is in use, none if they have none.
fn measure_utilization(
    candidates: &[&Runner],
    ledger: &Ledger,
    now: Millis,
    count: impl Fn(&Runner) -> u32,
) -> Option<f64> {
    let healthy = candidates.iter().filter(|runner| ledger.is_healthy(runner, now));
    let (used, slots) = healthy
        .fold((0, 0), |(used, slots), runner| (used + count(runner).min(runner.slots), slots + runner.slots));
    (slots > 0).then(|| f64::from(used) / f64::from(slots))
}

/// How much room a runner has, from 0 to 1.
fn compute_room(running: u32, slots: u32) -> f64 {
    let used = f64::from(running) / f64::from(slots.max(1));
    ((1.0 - used) / (1.0 - LIGHT_UTILIZATION)).clamp(0.0, 1.0)
}

/// The requests in flight at a runner, over the whole fleet.
fn count(runner: &Runner, ledger: &Ledger, fleet_load: &FleetLoad) -> u32 {
    let others = runner.membership.as_ref().map_or(0, |place| fleet_load.count(place.epoch));
    others + ledger.get(&runner.id).running
}
