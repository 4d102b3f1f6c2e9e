//! What goes wrong, when, and for how long.

use cottoncrank::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::fleet::{HALLS, find_hall};

/// The time at the start and at the end of a plan without faults.
const CALM: Millis = Millis(1500);

/// The shortest and the longest fault: shorter and longer than the spans after
/// which nodes give each other, the store and runners up.
const SPAN: std::ops::Range<u64> = 200..4000;

/// The mean pause between the beginnings of two faults; they overlap.
const PAUSE: u64 = 400;

/// A runner that starts again does so at once, before two questions to it have gone
/// unanswered, or after its group was given up; in milliseconds.
const RESTARTS: [u64; 3] = [1, 300, 3000];

/// The mean pause between runners that start again, and entries by another writer.
const PAUSE_LIVES: u64 = 1200;

/// Numbers of bad entries; beyond the kinds there are they begin anew.
const FOREIGN: usize = 64;

/// Keeps what is drawn of lives apart from all else that a seed draws.
const LIVES: u64 = 0x6c69_7665;

/// The same for requests that end runners, and boxes that are suspended.
const DEADLY: u64 = 0x6465_6164;

/// Different requests that end runners, in one run.
const DEADLY_MOST: usize = 4;

/// How long a box is suspended, in milliseconds: within all bounds, beyond a lease, and
/// beyond the time in which keys may be honoured.
const SLEEPS: [u64; 3] = [300, 3000, 6000];

/// For how long a runner wants no requests that says so.
pub const BACKOFF: Millis = Millis(2000);

/// The store is away for at most this long before it comes back older, in milliseconds.
const AWAY: u64 = 1500;

/// How many requests a second a runner says that it takes: none, few, a part of what comes, or
/// something that is no number.
pub const LIMITS: [&str; 6] = ["0", "0.5", "1.6", "4", "12", "few"];

/// How long it says so, in milliseconds: beyond the time from which it binds, and shorter.
const LIMITED: std::ops::Range<u64> = 1000..12_000;

/// The mean pause between runners that begin to say so.
const PAUSE_LIMITS: u64 = 1000;

/// The ranges of the time for which a hall is under evacuation, in milliseconds: one mostly within the
/// nodes' hold, and one longer than the bound.
const EVACUATION_TIMES: [std::ops::Range<u64>; 2] = [300..2500, 6000..8000];

/// The mean pause between two evacuations, in milliseconds.
const EVACUATION_PAUSE: u64 = 1500;

/// Mixed into the seed for evacuations, so that drawing them doesn't change what else the seed gives.
const EVACUATION_SEED: u64 = 0x6576_6163;

/// How long the first runners of a hall that comes back cold are away at the least, in milliseconds.
const COLD_AWAY_TIMES: [u64; 2] = [300, 3000];

/// The time within which the runners of such a hall come back one by one, in milliseconds.
const COLD_RETURN_SPREAD: u64 = 1000;

/// The mean time between two halls that come back cold, in milliseconds.
const COLD_PAUSE: u64 = 5000;

/// Mixed into the seed for cold returns, so that drawing them doesn't change what else the seed gives.
const COLD_SEED: u64 = 0x636f_6c64;

/// Keeps what is drawn of limits apart from all else that a seed draws.
const LIMIT: u64 = 0x6c69_6d69;

/// How long nodes are cut off from all runners, in milliseconds: longer than the time after which their
/// callers have to be served again.
const PARTITION_TIMES: std::ops::Range<u64> = 5000..8000;

/// The mean pause between two such cuts, in milliseconds.
const PARTITION_PAUSE: u64 = 3000;

/// Mixed into the seed for such cuts, so that drawing them doesn't change what else the seed gives.
const PARTITION_SEED: u64 = 0x7061_7274;

/// How long a node only runs now and then, in milliseconds.
const STARVE_TIMES: std::ops::Range<u64> = 3000..7000;

/// The mean pause between two such times, in milliseconds.
const STARVE_PAUSE: u64 = 2000;

/// Planned work on a node in such a time, at most.
const STARVE_WORK: usize = 3;

/// Mixed into the seed for such times, so that drawing them doesn't change what else the seed gives.
const STARVE_SEED: u64 = 0x7374_6172;

/// The plain runners of a fleet.
const PLAIN: usize = 2;

/// The mean pause between such requests or sleeps.
const PAUSE_DEADLY: u64 = 1500;

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// What is sent arrives later, by half a second.
    Delay,
    /// Open connections are reset, and new ones as well.
    Reset,
    /// What comes back is lost; what is sent arrives.
    OneWay,
    /// Nothing arrives, in either direction.
    Silence,
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// It refuses all calls.
    Busy,
    /// It answers nothing.
    Silent,
    /// It takes no writes and does not say so.
    Deaf,
    /// It takes writes and does not say so.
    Lossy,
}

/// How a runner misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunnerFault {
    /// It has no slot.
    Full,
    /// It runs requests and loses the answers.
    Lost,
    /// It answers another request.
    Foreign,
    /// It breaks streams off within an event.
    Broken,
    /// Its plain answers are too short.
    Short,
    /// It takes requests and does not answer.
    Mute,
    /// It answers nothing at all.
    Dark,
    /// It turns requests away and wants no other one from there for [`BACKOFF`].
    BackOff,
}

/// How a cut between a node and all runners shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Partition {
    /// New connections are refused, and open ones live on.
    Refuse,
    /// Nothing arrives.
    Hang,
    /// New connections are refused, and open ones are reset.
    Reset,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A node is killed and started again after the span.
    Kill(usize),
    /// A node is paused.
    Pause(usize),
    /// A node is paused again and again, and runs shortly in between: it waits for its processor.
    Starve(usize),
    /// A node is told to stop and started again once it has.
    Stop(usize),
    /// A node is told to read its settings anew.
    Reload(usize),
    /// The way of a node to the store.
    StoreLink(usize, Harm),
    /// The way of all nodes to a runner.
    RunnerLink(usize, Harm),
    /// The store.
    Store(StoreFault),
    /// The store forgets its history.
    Forget,
    /// A runner.
    Runner(usize, RunnerFault),
    /// A runner's entry is gone for the span.
    Lapse(usize),
    /// A runner leaves for good.
    Leave(usize),
    /// A runner's process ends, and starts again under its id after the span.
    Restart(usize),
    /// Another writer leaves an entry for a runner that cannot be read, of this number
    /// among the kinds there are.
    Foreign(usize, usize),
    /// The key of the account changes, and the one before the last is taken away.
    Rekey,
    /// A request of this number comes that ends the runners which run it.
    Deadly(usize),
    /// A runner, plain ones after those that form groups, names this one of [`LIMITS`].
    Limit(usize, usize),
    /// The operator asks that nothing goes to this one of the halls, and withdraws it after the span.
    Evacuate(usize),
    /// A runner, plain ones after those that form groups, ends and comes back cold after the span.
    Cold(usize),
    /// A node is cut off from all runners.
    Partition(usize, Partition),
    /// The box of a node is suspended: its timers stand still.
    Suspend(usize),
    /// The store is away for the span and comes back from a copy some seconds old.
    Older,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it begins, from the start of the load.
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub span: u64,
    /// What it is.
    pub fault: Fault,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed it was drawn from; the load uses it as well.
    pub seed: u64,
    /// How many nodes there are.
    pub nodes: usize,
    /// How many runners can form groups.
    pub engines: usize,
    /// How long the load lasts, in milliseconds.
    pub length: u64,
    /// The faults in order of time.
    pub events: Vec<Event>,
}

impl Plan {
    /// Draws a plan; the same seed gives the same one.
    pub fn draw(seed: u64, nodes: usize, engines: usize, length: Millis) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut events = Vec::new();
        let mut at = CALM.0;
        // At least half of the engines stay for good.
        let mut leaving = engines / 2;
        while at + CALM.0 < length.0 {
            let fault = draw_fault(&mut rng, nodes, engines, &mut leaving);
            let most = SPAN.end.min(length.0 - CALM.0 / 2 - at).max(SPAN.start + 1);
            events.push(Event { at, span: rng.random_range(SPAN.start..most), fault });
            at += rng.random_range(0..2 * PAUSE);
        }
        events.extend(draw_lives(seed, engines, length));
        events.sort_by_key(|event| event.at);
        Plan { seed, nodes, engines, length: length.0, events }
    }

    /// The same plan with requests that end runners, boxes that are suspended, runners that want
    /// no requests for a while, and a store that comes back older.
    pub fn with_deadly(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ DEADLY);
        let mut at = CALM.0 + rng.random_range(0..PAUSE_DEADLY);
        while at + CALM.0 < self.length {
            let event = match rng.random_range(0..7) {
                0 | 1 => {
                    let fault = Fault::Deadly(rng.random_range(0..DEADLY_MOST));
                    Event { at, span: rng.random_range(1000..SPAN.end), fault }
                }
                2 => Event { at, span: rng.random_range(SPAN.start..AWAY), fault: Fault::Older },
                3 | 4 => {
                    let fault = Fault::Runner(rng.random_range(0..self.engines), RunnerFault::BackOff);
                    Event { at, span: rng.random_range(1000..SPAN.end), fault }
                }
                _ => {
                    let fault = Fault::Suspend(rng.random_range(0..self.nodes));
                    Event { at, span: SLEEPS[rng.random_range(0..SLEEPS.len())], fault }
                }
            };
            self.events.push(event);
            at += rng.random_range(0..2 * PAUSE_DEADLY);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }
}

impl Plan {
    /// The same plan with runners that name a rate, which rises, falls and goes in series.
    pub fn with_limits(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ LIMIT);
        let mut at = CALM.0 / 2;
        while at + CALM.0 < self.length {
            let fault =
                Fault::Limit(rng.random_range(0..self.engines + PLAIN), rng.random_range(0..LIMITS.len()));
            self.events.push(Event { at, span: rng.random_range(LIMITED), fault });
            at += rng.random_range(0..2 * PAUSE_LIMITS);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }
}

impl Plan {
    /// The same plan with halls that are evacuated in series, one at a time.
    pub fn with_evacuations(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ EVACUATION_SEED);
        let mut at = CALM.0 / 2;
        while at + CALM.0 < self.length {
            let spans = rng.random_range(0..EVACUATION_TIMES.len());
            let span = rng.random_range(EVACUATION_TIMES[spans].clone());
            self.events.push(Event { at, span, fault: Fault::Evacuate(rng.random_range(0..HALLS.len())) });
            at += span + rng.random_range(0..2 * EVACUATION_PAUSE);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }
}

impl Plan {
    /// The same plan with halls whose runners end and come back cold.
    pub fn with_cold_returns(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ COLD_SEED);
        let mut at = CALM.0 + rng.random_range(0..COLD_PAUSE);
        while at + CALM.0 < self.length {
            let hall = HALLS[rng.random_range(0..HALLS.len())];
            let away = COLD_AWAY_TIMES[rng.random_range(0..COLD_AWAY_TIMES.len())];
            for runner in (0..self.engines + PLAIN).filter(|runner| find_hall(*runner, self.engines) == hall)
            {
                let span = away + rng.random_range(0..COLD_RETURN_SPREAD);
                self.events.push(Event { at, span, fault: Fault::Cold(runner) });
            }
            at += rng.random_range(0..2 * COLD_PAUSE);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }

    /// The same plan with nodes that are cut off from all runners: one, or all of a hall, in series.
    pub fn with_partitions(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ PARTITION_SEED);
        let mut at = CALM.0;
        while at + PARTITION_TIMES.end < self.length {
            let span = rng.random_range(PARTITION_TIMES);
            let how = [Partition::Refuse, Partition::Hang, Partition::Reset][rng.random_range(0..3)];
            let (first, is_hall) = (rng.random_range(0..self.nodes), rng.random());
            let is_cut =
                |node: &usize| *node == first || (is_hall && node % HALLS.len() == first % HALLS.len());
            let nodes = (0..self.nodes).filter(is_cut);
            self.events.extend(nodes.map(|node| Event { at, span, fault: Fault::Partition(node, how) }));
            at += span + rng.random_range(0..2 * PARTITION_PAUSE);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }

    /// The same plan with nodes that wait for their processor, one or all, beside planned work on them.
    pub fn with_starvation(mut self) -> Plan {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ STARVE_SEED);
        let mut at = CALM.0 + rng.random_range(0..STARVE_PAUSE);
        while at + CALM.0 < self.length {
            let span = rng.random_range(STARVE_TIMES);
            let one = rng.random_range(0..self.nodes);
            let nodes = if rng.random() { one..one + 1 } else { 0..self.nodes };
            for node in nodes {
                self.events.push(Event { at, span, fault: Fault::Starve(node) });
                self.plan_work(node, at..at + span, &mut rng);
            }
            at += span + rng.random_range(0..2 * STARVE_PAUSE);
        }
        self.events.sort_by_key(|event| event.at);
        self
    }

    fn plan_work(&mut self, node: usize, time: std::ops::Range<u64>, rng: &mut SmallRng) {
        for _ in 0..rng.random_range(0..=STARVE_WORK) {
            let fault = [Fault::Stop(node), Fault::Reload(node), Fault::Rekey][rng.random_range(0..3)];
            self.events.push(Event { at: rng.random_range(time.clone()), span: SPAN.start, fault });
        }
    }

    /// Whether runners come back cold.
    pub fn is_cold(&self) -> bool {
        self.events.iter().any(|event| matches!(event.fault, Fault::Cold(_)))
    }
}

/// Runners that start again under their id, and entries that another writer leaves.
fn draw_lives(seed: u64, engines: usize, length: Millis) -> Vec<Event> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LIVES);
    let mut events = Vec::new();
    let mut at = CALM.0 + rng.random_range(0..PAUSE_LIVES);
    while at + CALM.0 < length.0 {
        let runner = rng.random_range(0..engines);
        let restart = Fault::Restart(runner);
        let (fault, span) = match rng.random_range(0..3) {
            0 => (Fault::Foreign(runner, rng.random_range(0..FOREIGN)), rng.random_range(SPAN.start..2000)),
            _ => (restart, RESTARTS[rng.random_range(0..RESTARTS.len())]),
        };
        events.push(Event { at, span, fault });
        at += rng.random_range(0..2 * PAUSE_LIVES);
    }
    events
}

fn draw_fault(rng: &mut SmallRng, nodes: usize, engines: usize, leaving: &mut usize) -> Fault {
    let (node, runner) = (rng.random_range(0..nodes), rng.random_range(0..engines));
    match rng.random_range(0..12) {
        0 => Fault::Kill(node),
        1 => Fault::Pause(node),
        2 => Fault::Stop(node),
        3 => Fault::Reload(node),
        4 => Fault::StoreLink(node, draw_harm(rng)),
        5 => Fault::RunnerLink(runner, draw_harm(rng)),
        6 => Fault::Store(draw_store(rng)),
        7 => Fault::Forget,
        8 => Fault::Runner(runner, draw_runner(rng)),
        9 => Fault::Lapse(runner),
        10 if *leaving > 0 => {
            *leaving -= 1;
            Fault::Leave(runner)
        }
        _ => Fault::Rekey,
    }
}

fn draw_harm(rng: &mut SmallRng) -> Harm {
    [Harm::Delay, Harm::Reset, Harm::OneWay, Harm::Silence][rng.random_range(0..4)]
}

fn draw_store(rng: &mut SmallRng) -> StoreFault {
    use StoreFault::*;
    [Busy, Silent, Deaf, Lossy][rng.random_range(0..4)]
}

fn draw_runner(rng: &mut SmallRng) -> RunnerFault {
    use RunnerFault::*;
    [Full, Lost, Foreign, Broken, Short, Mute, Dark][rng.random_range(0..7)]
}
