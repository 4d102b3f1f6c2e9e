//! Picks the runner for a request from what this node and the fleet have in flight.

use std::collections::{HashMap, HashSet};

use cottoncrank::{Millis, id};
use rand::Rng;

use crate::occupancy::FleetLoad;
use crate::runner::{Epoch, Runner};

/// How long a runner is avoided after it failed a request, if others can run the request. It covers
/// the time until a crash becomes known.
pub const FAILURE_AVOID_TIME: Millis = Millis(2500);

/// How long all streams of a runner may make no progress until it counts as stalled. By the speeds
/// that engines publish, a pass with all slots in use and a full chunk of prefill takes about 0.11
/// s, and twice as long in a slow group.
pub const STALL_TIMEOUT: Millis = Millis(400);

/// How long after its last progress a connection to the hall of a stalled runner proves the path: longer
/// than the usual pause between two events.
const STALL_PROOF_DELAY: Millis = Millis(STALL_TIMEOUT.0 / 2);

/// The number of consecutive rejections after which a runner is avoided. A runner that is merely
/// full accepts some requests in between. One that rejects everything has nothing in flight and
/// would otherwise get more requests than all others.
const MIN_REJECTIONS: u32 = 2;

/// How long a runner is avoided after [`MIN_REJECTIONS`]. The time doubles with each further
/// rejection, up to [`FAILURE_AVOID_TIME`].
const REJECTION_AVOID_TIME: Millis = Millis(300);

/// The observations of one runner by this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    /// Requests of this node in flight there.
    pub running: u32,
    /// Streams of this node in flight there that have delivered an event.
    streams: u32,
    /// The runner is avoided until then.
    avoid_until: Millis,
    /// When a request of this node last received data from the runner.
    last_progress: Millis,
    /// Consecutive rejections of this node's requests without a retry time.
    rejections: u32,
    /// The group of which it denied being the head, and until when it is avoided as such.
    denied: Option<(Epoch, Millis)>,
}

impl Record {
    fn is_stalled(&self, now: Millis) -> bool {
        self.streams > 0 && now >= self.last_progress + STALL_TIMEOUT
    }
}

/// The number of consecutive connect timeouts to different runners of a hall after which the
/// network path to it counts as cut. Two lost runners are seldom met in a row.
pub const MIN_CONNECT_TIMEOUTS: u32 = 2;

/// How long the runners of a hall with a cut path are avoided, if others can run the request. After
/// that, one is tried again.
pub const HALL_AVOID_TIME: Millis = Millis(1000);

/// The connect timeouts of the runners of a hall.
#[derive(Clone, Copy, Debug, Default)]
struct Timeouts {
    /// Consecutive ones.
    count: u32,
    /// The runners of the hall are avoided until then.
    avoid_until: Millis,
}

/// The observations of all runners by this node.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: HashMap<id::Runner, Record>,
    timeouts: HashMap<id::Hall, Timeouts>,
    /// The halls that this node reaches through other nodes only.
    cut: HashSet<id::Hall>,
}

impl Ledger {
    /// Records that a request is sent to a runner.
    pub fn begin_request(&mut self, id: &id::Runner) {
        self.records.entry(id.clone()).or_default().running += 1;
    }

    /// Records a connection made to a runner of a hall.
    pub fn record_connect(&mut self, hall: &id::Hall) {
        self.timeouts.remove(hall);
    }

    /// Records a connect timeout to a runner of a hall.
    pub fn record_connect_timeout(&mut self, hall: &id::Hall, now: Millis) {
        let timeouts = self.timeouts.entry(hall.clone()).or_default();
        timeouts.count += 1;
        if timeouts.count >= MIN_CONNECT_TIMEOUTS {
            timeouts.avoid_until = now + HALL_AVOID_TIME;
        }
    }

    /// Records that the path to a hall is cut. Failures of its `runners` may have been the fault of the
    /// path, and do not count any more.
    pub fn begin_cut<'a>(&mut self, hall: &id::Hall, runners: impl Iterator<Item = &'a id::Runner>) {
        self.cut.insert(hall.clone());
        self.timeouts.remove(hall);
        for runner in runners {
            if let Some(record) = self.records.get_mut(runner).filter(|record| record.rejections == 0) {
                record.avoid_until = Millis(0);
            }
        }
    }

    /// Records that the path to a hall is no longer cut.
    pub fn end_cut(&mut self, hall: &id::Hall) {
        self.cut.remove(hall);
    }

    /// Whether a runner is neither avoided nor stalled, and its hall not avoided. Where the path is cut,
    /// streams of before it say nothing about the runner.
    pub fn is_healthy(&self, runner: &Runner, now: Millis) -> bool {
        let timeouts = self.timeouts.get(&runner.hall).copied().unwrap_or_default();
        self.get(&runner.id).avoid_until <= now
            && timeouts.avoid_until <= now
            && !self.has_denied(runner, now)
            && (self.cut.contains(&runner.hall) || !self.is_stalled(&runner.id, now))
    }

    /// Whether a runner lately denied being the head of the group that its entry names.
    fn has_denied(&self, runner: &Runner, now: Millis) -> bool {
        let epoch = runner.membership.as_ref().map(|place| place.epoch);
        self.get(&runner.id).denied.is_some_and(|(denied, until)| Some(denied) == epoch && now < until)
    }

    /// Whether a runner has streams in flight and none of them makes progress.
    pub fn is_stalled(&self, id: &id::Runner, now: Millis) -> bool {
        self.get(id).is_stalled(now)
    }

    /// Lists the stalled runners. For each, a connection made to its hall since the returned time proves
    /// that the runner is at fault and not the path to it.
    pub fn list_stalled(&self, now: Millis) -> impl Iterator<Item = (&id::Runner, Millis)> {
        let stalled = self.records.iter().filter(move |(_, record)| record.is_stalled(now));
        stalled.map(|(id, record)| (id, record.last_progress + STALL_PROOF_DELAY))
    }

    /// Records the first event of a stream.
    pub fn begin_stream(&mut self, id: &id::Runner) {
        self.records.entry(id.clone()).or_default().streams += 1;
    }

    /// Records the end of a stream that had delivered an event.
    pub fn end_stream(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.streams = record.streams.saturating_sub(1);
        }
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Records that a runner sent part of an answer.
    pub fn record_progress(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.last_progress = now;
        record.avoid_until = Millis(0);
        record.rejections = 0;
        record.denied = None;
    }

    /// Records that a runner rejected a request without a retry time.
    pub fn record_rejection(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.rejections += 1;
        if let Some(excess) = record.rejections.checked_sub(MIN_REJECTIONS) {
            let span = Millis(REJECTION_AVOID_TIME.0 << excess.min(8)).min(FAILURE_AVOID_TIME);
            record.avoid_until = record.avoid_until.max(now + span);
        }
    }

    /// Whether a runner has sent no part of any answer since `start`.
    pub fn is_silent_since(&self, id: &id::Runner, start: Millis) -> bool {
        self.get(id).last_progress < start
    }

    /// Records that a runner gave no answer, or no usable one.
    pub fn record_failure(&mut self, id: &id::Runner, now: Millis) {
        let record = self.records.entry(id.clone()).or_default();
        record.avoid_until = now + FAILURE_AVOID_TIME;
    }

    /// Records that a runner answered that it is not the one addressed or, if `epoch` is given, not the
    /// head of that group. Until its entry is updated, it would answer every request like this. As the
    /// head of another group it may be sent requests at once.
    pub fn record_misdirected(&mut self, id: &id::Runner, epoch: Option<Epoch>, now: Millis) {
        match epoch {
            Some(epoch) => {
                let record = self.records.entry(id.clone()).or_default();
                record.denied = Some((epoch, now + FAILURE_AVOID_TIME));
            }
            None => self.record_failure(id, now),
        }
    }

    /// Clears the failures of a runner that has restarted under the same id, as they belong to its
    /// previous incarnation. Requests in flight there count until their connections end.
    pub fn record_restart(&mut self, id: &id::Runner) {
        if let Some(record) = self.records.get_mut(id) {
            record.avoid_until = Millis(0);
            record.rejections = 0;
            record.streams = 0;
            record.denied = None;
        }
    }

    /// Removes a runner that is gone.
    pub fn forget(&mut self, id: &id::Runner) {
        self.records.remove(id);
    }

    /// Lists the runners that failed a request of this node lately.
    pub fn list_failed(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        self.records.iter().filter(move |(_, record)| now < record.avoid_until).map(|(id, _)| id)
    }

    /// Lists the groups for which a runner lately denied being the head.
    pub fn list_denied(&self, now: Millis) -> impl Iterator<Item = Epoch> {
        let denied = self.records.values().filter_map(|record| record.denied);
        denied.filter(move |(_, until)| now < *until).map(|(epoch, _)| epoch)
    }

    /// Lists the runners that are avoided because they rejected requests of this node.
    pub fn list_rejecting(&self, now: Millis) -> impl Iterator<Item = &id::Runner> {
        let rejecting =
            move |record: &Record| record.rejections >= MIN_REJECTIONS && now < record.avoid_until;
        self.records.iter().filter(move |(_, record)| rejecting(record)).map(|(id, _)| id)
    }

    /// Lists the runners with requests of this node in flight, and the number of these.
    pub fn list_busy(&self) -> impl Iterator<Item = (&id::Runner, u32)> {
        self.records.iter().map(|(id, record)| (id, record.running)).filter(|(_, running)| *running > 0)
    }

    /// Returns the observations of a runner.
    pub fn get(&self, id: &id::Runner) -> Record {
        self.records.get(id).copied().unwrap_or_default()
    }
}

/// The utilization up to which a runner is as good as an idle one: first events wait for prefill,
/// hardly for token generation.
const LIGHT_UTILIZATION: f64 = 0.6;

/// The utilization of all slots from which runners have no room. A request that finds all slots of
/// a runner in use waits for one and is late.
const MAX_UTILIZATION: f64 = 0.9;

/// Picks a healthy runner with few requests in flight among the `candidates` that are not in
/// `tried`, or an unhealthy one if no other is left.
///
/// The hall is ignored, because a hall with few groups of a model would otherwise get more requests
/// than its groups can run.
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

/// Picks the runner with the fewest requests of this node, at random among equals.
fn pick_by_own_requests<'a>(
    usable: &[&'a Runner],
    ledger: &Ledger,
    rng: &mut impl Rng,
) -> Option<&'a Runner> {
    let key = |runner: &&Runner| (ledger.get(&runner.id).running, rng.random::<u32>());
    usable.iter().copied().min_by_key(key)
}

/// Picks at random among the runners with the fewest requests of this node, weighted by their room.
/// All runners with much room have equal weight: if the least busy one were preferred, the prompts
/// of many nodes would meet there before the next in-flight report.
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

/// Whether runners have room for one more request; `None` if the fleet load is unknown.
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

/// Whether any of these runners has a free slot.
pub fn has_free_slot(runners: &[&Runner], ledger: &Ledger, fleet_load: &FleetLoad) -> bool {
    runners.iter().any(|runner| count(runner, ledger, fleet_load) < runner.slots)
}

/// Returns the fraction of the slots of healthy runners in use; `None` if they have no slots.
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

/// Returns the room of a runner, from 0 to 1.
fn compute_room(running: u32, slots: u32) -> f64 {
    let used = f64::from(running) / f64::from(slots.max(1));
    ((1.0 - used) / (1.0 - LIGHT_UTILIZATION)).clamp(0.0, 1.0)
}

/// Returns the number of requests in flight at a runner, over the whole fleet.
fn count(runner: &Runner, ledger: &Ledger, fleet_load: &FleetLoad) -> u32 {
    let others = runner.membership.as_ref().map_or(0, |place| fleet_load.count(place.epoch));
    others + ledger.get(&runner.id).running
}
