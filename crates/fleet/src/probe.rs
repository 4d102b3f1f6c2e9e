//! Which runners do not answer, from questions put to all of them in rounds.

use std::collections::{BTreeMap, HashMap, HashSet};

use cottoncrank::id;

/// Questions in a row without an answer after which a runner counts as silent.
pub const MISSES: u32 = 2;

/// Where more than this part of a data hall is silent at once, the way there is
/// taken to be cut, and nothing is concluded. A fabric domain, half of a hall of
/// today, can go dark as a whole.
pub const CUT: f64 = 0.7;

/// The answers of one runner to one round.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The runner.
    pub runner: id::Runner,
    /// The data hall it stands in.
    pub hall: id::Hall,
    /// Whether it answered.
    pub heard: bool,
}

/// What rounds of questions have shown so far.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    misses: HashMap<id::Runner, u32>,
    silent: HashSet<id::Runner>,
}

impl Probes {
    /// The runners that do not answer.
    pub fn silent(&self) -> &HashSet<id::Runner> {
        &self.silent
    }

    /// Takes a round in. Returns the runners that have just become silent.
    pub fn take(&mut self, round: &[Answer]) -> Vec<id::Runner> {
        let misses = round.iter().map(|answer| {
            let before = self.misses.get(&answer.runner).copied().unwrap_or_default();
            (answer.runner.clone(), if answer.heard { 0 } else { before + 1 })
        });
        self.misses = misses.collect();
        let cut = find_cut_halls(round);
        let doubted = round.iter().filter(|answer| !cut.contains(&answer.hall));
        let silent: HashSet<id::Runner> = doubted
            .filter(|answer| self.misses.get(&answer.runner).is_some_and(|misses| *misses >= MISSES))
            .map(|answer| answer.runner.clone())
            .collect();
        let fresh = silent.difference(&self.silent).cloned().collect();
        self.silent = silent;
        fresh
    }
}

fn find_cut_halls(round: &[Answer]) -> HashSet<id::Hall> {
    let mut halls: BTreeMap<&id::Hall, (usize, usize)> = BTreeMap::new();
    for answer in round {
        let (asked, missed) = halls.entry(&answer.hall).or_default();
        *asked += 1;
        *missed += usize::from(!answer.heard);
    }
    let cut = halls.into_iter().filter(|(_, (asked, missed))| *missed as f64 > CUT * *asked as f64);
    cut.map(|(hall, _)| hall.clone()).collect()
}
