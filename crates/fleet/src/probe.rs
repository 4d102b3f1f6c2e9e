//! Which runners answer and which do not, from questions put to all members of
//! groups in rounds.

use std::collections::{BTreeMap, HashMap, HashSet};

use cottoncrank::id;

use crate::runner::{Incarnation, is_later};

/// Questions in a row without an answer after which a runner counts as silent.
pub const MISSES: u32 = 2;

/// Where more than this part of a data hall is silent at once, the way there is
/// taken to be cut, and nothing is concluded. A fabric domain, half of a hall of
/// today, can go dark as a whole.
pub const CUT: f64 = 0.7;

/// A runner that works this many times slower than usual is slow. A group runs at
/// the pace of its slowest member; at twice its time per token, pauses between
/// events come near what still counts as in time.
pub const SLOW: f64 = 2.0;

/// What a question to a runner brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reported {
    /// It answered, and works this many times slower than usual.
    Pace(f64),
    /// No answer came.
    Silent,
    /// Another runner answered at its address: the one that was meant is no more.
    Gone,
}

/// The answers of one runner to one round.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The runner.
    pub runner: id::Runner,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// What it said, to the last question of the round.
    pub reported: Reported,
    /// In which life it answered, where it said so.
    pub life: Option<Incarnation>,
    /// How many questions were put to it.
    pub asked: u32,
}

/// What is known of a runner from its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered lately.
    Heard,
    /// It answered lately, and works slowly.
    Slow,
    /// It does not answer.
    Silent,
    /// Nothing can be concluded: it was not asked often enough, or the way to its
    /// hall is cut.
    Unknown,
}

#[derive(Clone, Debug)]
struct Record {
    hall: id::Hall,
    misses: u32,
    asked: u32,
    /// Answers in a row in which it was slow.
    slow: u32,
    /// Whether another runner has answered at its address.
    gone: bool,
    /// The life in which it answered last.
    life: Option<Incarnation>,
}

/// What rounds of questions have shown so far.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    records: HashMap<id::Runner, Record>,
    rounds: u32,
    cut: HashSet<id::Hall>,
}

impl Probes {
    /// What is known of a runner.
    pub fn sign(&self, runner: &id::Runner) -> Sign {
        match self.records.get(runner) {
            Some(record) if record.asked >= MISSES && !self.cut.contains(&record.hall) => {
                match (record.misses >= MISSES, record.slow >= MISSES) {
                    (true, _) => Sign::Silent,
                    (false, true) => Sign::Slow,
                    (false, false) => Sign::Heard,
                }
            }
            _ => Sign::Unknown,
        }
    }

    /// Whether a runner does not answer.
    pub fn is_silent(&self, runner: &id::Runner) -> bool {
        self.sign(runner) == Sign::Silent
    }

    /// Whether a runner is known to be no more: not cut off, and not running any request.
    pub fn is_gone(&self, runner: &id::Runner) -> bool {
        self.records.get(runner).is_some_and(|record| record.gone)
    }

    /// Whether a runner works slowly.
    pub fn is_slow(&self, runner: &id::Runner) -> bool {
        self.sign(runner) == Sign::Slow
    }

    /// The runners that are slow.
    pub fn list_slow(&self) -> Vec<id::Runner> {
        self.records.keys().filter(|runner| self.is_slow(runner)).cloned().collect()
    }

    /// Whether more can be known soon: the way to the runner's hall is cut, or it
    /// has not been asked often enough.
    pub fn is_pending(&self, runner: &id::Runner) -> bool {
        match self.records.get(runner) {
            Some(record) => record.asked < MISSES || self.cut.contains(&record.hall),
            None => self.rounds < MISSES,
        }
    }

    /// Takes a round in, and forgets runners that were not asked in it. Returns
    /// those that have just become silent.
    pub fn take(&mut self, round: &[Answer]) -> Vec<id::Runner> {
        let silent: HashSet<id::Runner> =
            self.records.keys().filter(|runner| self.is_silent(runner)).cloned().collect();
        let records = round.iter().map(|answer| {
            let before = self.records.get(&answer.runner);
            // What was seen of a former life says nothing of this one.
            let before = before.filter(|record| !is_later(answer.life, record.life));
            let (misses, slow) = before.map_or((0, 0), |record| (record.misses, record.slow));
            let gone = before.is_some_and(|record| record.gone) || answer.reported == Reported::Gone;
            let record = Record {
                hall: answer.hall.clone(),
                misses: if matches!(answer.reported, Reported::Pace(_)) { 0 } else { misses + answer.asked },
                asked: before.map_or(0, |record| record.asked) + answer.asked,
                slow: match answer.reported {
                    Reported::Pace(pace) if pace >= SLOW => slow + 1,
                    Reported::Pace(_) => 0,
                    Reported::Silent | Reported::Gone => slow,
                },
                gone,
                life: answer.life.or(before.and_then(|record| record.life)),
            };
            (answer.runner.clone(), record)
        });
        self.records = records.collect();
        self.rounds += 1;
        self.cut = find_cut_halls(round);
        let fresh = self.records.keys().filter(|runner| self.is_silent(runner) && !silent.contains(*runner));
        fresh.cloned().collect()
    }
}

fn find_cut_halls(round: &[Answer]) -> HashSet<id::Hall> {
    let mut halls: BTreeMap<&id::Hall, (usize, usize)> = BTreeMap::new();
    for answer in round {
        let (asked, missed) = halls.entry(&answer.hall).or_default();
        *asked += 1;
        *missed += usize::from(answer.reported == Reported::Silent);
    }
    let cut = halls.into_iter().filter(|(_, (asked, missed))| *missed as f64 > CUT * *asked as f64);
    cut.map(|(hall, _)| hall.clone()).collect()
}
