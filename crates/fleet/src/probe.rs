//! Health of runners, from rounds of probes to all members of groups.

use std::collections::{BTreeMap, HashMap, HashSet};

use cottoncrank::id;

use crate::runner::{Incarnation, is_later};

/// The number of probes that a conclusion needs.
pub const MIN_PROBES: u32 = 2;

/// The number of consecutive probes without an answer after which a runner counts as silent that takes
/// connections. A sound one may pause, and callers wait at least two seconds for the next event; with the
/// timeouts and the pause between rounds these probes take longer.
pub const MIN_MISSES: u32 = 6;

/// If more than this fraction of a data hall is silent at once, the network path there is taken to
/// be cut, and nothing is concluded about its runners. A whole fabric domain, half of a present
/// hall, can fail at once.
pub const CUT_HALL_RATIO: f64 = 0.7;

/// A runner that works this many times slower than usual is slow. A group is as fast as its slowest
/// member; at twice its time per token, pauses between events come close to the limit.
pub const SLOW_FACTOR: f64 = 2.0;

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The runner answered and works this many times slower than usual.
    Pace(f64),
    /// No answer came. A sound runner may pause like that.
    Silent,
    /// No connection could be made, neither directly nor through another node: its box is down, or cut
    /// off.
    Unreachable,
    /// No process listens at the address, and others in the hall are reached: its process has ended.
    Refused,
    /// Another runner answered at the address: the process of the probed one has ended.
    Gone,
}

/// The answers of one runner in one round.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The runner.
    pub runner: id::Runner,
    /// The data hall of the runner.
    pub hall: id::Hall,
    /// The result of the last probe of the round.
    pub reported: Observation,
    /// The incarnation that answered, if the runner reported it.
    pub incarnation: Option<Incarnation>,
    /// The number of probes in the round.
    pub asked: u32,
}

/// The health of a runner, as far as it is known from its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answered recently.
    Responsive,
    /// It answered recently and works slowly.
    Slow,
    /// It does not answer.
    Silent,
    /// Nothing can be concluded: there were not enough probes, it has not answered the last ones, or
    /// the path to its hall is cut.
    Unknown,
}

#[derive(Clone, Debug)]
struct Record {
    hall: id::Hall,
    misses: u32,
    asked: u32,
    /// The number of consecutive answers in which it was slow.
    slow: u32,
    /// Whether another runner has answered at its address, and it has not answered since.
    gone: bool,
    /// The incarnation that answered last.
    incarnation: Option<Incarnation>,
}

/// The results of all rounds of probes so far.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    records: HashMap<id::Runner, Record>,
    rounds: u32,
    cut: HashSet<id::Hall>,
    /// Runners that are being probed beside the rounds.
    in_flight: HashSet<id::Runner>,
}

impl Probes {
    /// Returns the health of a runner.
    pub fn health(&self, runner: &id::Runner) -> Health {
        match self.records.get(runner) {
            Some(record) if record.asked >= MIN_PROBES && !self.cut.contains(&record.hall) => {
                match (record.misses, record.slow) {
                    (MIN_MISSES.., _) => Health::Silent,
                    (MIN_PROBES.., _) => Health::Unknown,
                    (_, MIN_PROBES..) => Health::Slow,
                    _ => Health::Responsive,
                }
            }
            _ => Health::Unknown,
        }
    }

    /// Keeps what is known of these runners over the next round, as their answers belong to a later one.
    pub fn set_in_flight(&mut self, runners: HashSet<id::Runner>) {
        self.in_flight = runners;
    }

    /// Begins a term of the decider with what was found before it. The plans may name members that have not
    /// been probed yet, about which nothing is concluded for as long as without any rounds.
    pub fn begin_term(&mut self) {
        self.rounds = 0;
    }

    /// Returns how many runners were probed, and how many of them are silent.
    pub fn count_silent(&self) -> (usize, usize) {
        (self.records.len(), self.records.keys().filter(|runner| self.is_silent(runner)).count())
    }

    /// Whether the path to a hall is taken to be cut.
    pub fn is_cut(&self, hall: &id::Hall) -> bool {
        self.cut.contains(hall)
    }

    /// Lists the halls to which the path is taken to be cut.
    pub fn list_cut(&self) -> impl Iterator<Item = &id::Hall> {
        self.cut.iter()
    }

    /// Whether a runner does not answer.
    pub fn is_silent(&self, runner: &id::Runner) -> bool {
        self.health(runner) == Health::Silent
    }

    /// Whether a runner's process is known to have ended, so that it is not just cut off and runs
    /// no request.
    pub fn is_gone(&self, runner: &id::Runner) -> bool {
        self.records.get(runner).is_some_and(|record| record.gone)
    }

    /// Returns the incarnation that last answered as this runner, if it told it.
    pub(crate) fn find_incarnation(&self, runner: &id::Runner) -> Option<Incarnation> {
        self.records.get(runner)?.incarnation
    }

    /// Whether a runner works slowly.
    pub fn is_slow(&self, runner: &id::Runner) -> bool {
        self.health(runner) == Health::Slow
    }

    /// Whether the rounds since the term began are too few for a conclusion. Until then all runners are probed: a
    /// former decider may have known of losses among those that are in no group, and their entries may still stand.
    pub fn is_first_look(&self) -> bool {
        self.rounds < MIN_PROBES
    }

    /// Returns the slow runners.
    pub fn list_slow(&self) -> Vec<id::Runner> {
        self.records.keys().filter(|runner| self.is_slow(runner)).cloned().collect()
    }

    /// Whether more may be known soon: the path to the runner's hall is cut, there were not enough
    /// probes yet, or it did not answer the last ones.
    pub fn is_pending(&self, runner: &id::Runner) -> bool {
        match self.records.get(runner) {
            Some(record) => {
                let is_undecided = (MIN_PROBES..MIN_MISSES).contains(&record.misses);
                record.asked < MIN_PROBES || is_undecided || self.cut.contains(&record.hall)
            }
            None => self.rounds < MIN_PROBES,
        }
    }

    /// Records a round and drops runners that were not probed in it. Returns the runners that have
    /// just become silent, or that have just been seen to have ended.
    pub fn record_round(&mut self, round: &[Answer]) -> Vec<id::Runner> {
        self.record_rounds(round, &[])
    }

    /// Records a round in the same way, and the answers of members without an entry that were probed at
    /// their planned address. Before one of them has answered, that it does not says nothing new. They
    /// never show that the path to a hall is cut: they may have been gone for long.
    pub fn record_rounds(&mut self, round: &[Answer], unlisted: &[Answer]) -> Vec<id::Runner> {
        let lost_before: HashSet<id::Runner> =
            self.records.keys().filter(|runner| self.is_lost(runner)).cloned().collect();
        let is_new =
            |answer: &&Answer| !is_missed(answer.reported) || self.records.contains_key(&answer.runner);
        let records = round.iter().chain(unlisted.iter().filter(is_new)).map(|answer| {
            let previous = self.records.get(&answer.runner);
            // Results of a former incarnation say nothing about this one.
            let previous = previous.filter(|record| !is_later(answer.incarnation, record.incarnation));
            let (misses, slow) = previous.map_or((0, 0), |record| (record.misses, record.slow));
            // One that answers itself again has started again under its id.
            let gone = match answer.reported {
                Observation::Gone => true,
                Observation::Pace(_) => false,
                _ => previous.is_some_and(|record| record.gone),
            };
            let record = Record {
                hall: answer.hall.clone(),
                misses: match answer.reported {
                    Observation::Pace(_) => 0,
                    Observation::Unreachable | Observation::Refused => MIN_MISSES,
                    Observation::Silent | Observation::Gone => misses + answer.asked,
                },
                asked: previous.map_or(0, |record| record.asked) + answer.asked,
                slow: match answer.reported {
                    Observation::Pace(pace) if pace >= SLOW_FACTOR => slow + 1,
                    Observation::Pace(_) => 0,
                    _ => slow,
                },
                gone,
                incarnation: answer.incarnation.or(previous.and_then(|record| record.incarnation)),
            };
            (answer.runner.clone(), record)
        });
        let records: HashMap<id::Runner, Record> = records.collect();
        self.records.retain(|runner, _| self.in_flight.contains(runner));
        self.records.extend(records);
        self.rounds += 1;
        self.cut = find_cut_halls(round);
        let newly_lost =
            self.records.keys().filter(|runner| self.is_lost(runner) && !lost_before.contains(*runner));
        newly_lost.cloned().collect()
    }

    fn is_lost(&self, runner: &id::Runner) -> bool {
        self.is_silent(runner) || self.is_gone(runner)
    }
}

/// Whether nothing came back from the runner's address but, possibly, a refusal.
fn is_missed(reported: Observation) -> bool {
    matches!(reported, Observation::Silent | Observation::Unreachable | Observation::Refused)
}

fn find_cut_halls(round: &[Answer]) -> HashSet<id::Hall> {
    let mut halls: BTreeMap<&id::Hall, (usize, usize)> = BTreeMap::new();
    for answer in round {
        let (asked, missed) = halls.entry(&answer.hall).or_default();
        *asked += 1;
        *missed += usize::from(is_missed(answer.reported));
    }
    let cut =
        halls.into_iter().filter(|(_, (asked, missed))| *missed as f64 > CUT_HALL_RATIO * *asked as f64);
    cut.map(|(hall, _)| hall.clone()).collect()
}
