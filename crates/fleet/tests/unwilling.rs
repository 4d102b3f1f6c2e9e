//! Runners that turn requests away and say for how long they want none, before the nodes of a
//! hall and the collector that chooses for them, on a set clock.
//!
//! The load: a part of the groups turns all away for some seconds. They have nothing in flight,
//! so that by what is in flight they are the best. Compared are ways to keep requests from them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use cottoncrank::{Millis, id};
use cottoncrank_fleet::backoff;
use cottoncrank_fleet::balance::Ledger;
use cottoncrank_fleet::catalog::{Model, Speed};
use cottoncrank_fleet::dispatch::{Candidates, Dispatcher, Query, Reply, Urgency};
use cottoncrank_fleet::feedback::Digest;
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_fleet::occupancy::{InFlight, Load, Report, Scope};
use cottoncrank_fleet::runner::{Epoch, Membership, Phase, Runner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 14;

const SPEED: Speed = Speed {
    step_ms: 7.8,
    per_request_ms: 0.0947,
    stride: 8.0,
    prompt_tokens_per_ms: 45.9,
    usual_answer_tokens: 156.0,
};

/// For how long a runner that turns a request away wants no other one.
const SPAN: Millis = Millis(3000);

/// A backoff binds from then on: what is under way before may come.
const UNDER_WAY: Millis = Millis(500);

/// When some begin to turn all away, and when they end.
const REFUSING: std::ops::Range<u64> = 5000..15_000;

/// The times a request is tried at most.
const TRIES: usize = 4;

/// How requests are kept from runners that want none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// They are not.
    Forgotten,
    /// A node names those that want none from it when it asks for a group.
    Named,
    /// The same, and the hall doubts the group for all nodes.
    Doubted,
    /// Those that want none from one node get none from any of the hall.
    Shared,
    /// No time is named, and those that turn some in a row away are passed over and doubted.
    PassedOver,
}

/// What came of it, while some turned all away.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    requests: u32,
    served: u32,
    /// Tries that were turned away.
    refused: u32,
    /// The most requests of a node to a runner within one backoff, after what was under way.
    worst: u32,
}

impl Outcome {
    fn served(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests)
    }

    fn refused(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.requests)
    }
}

fn head(number: u64) -> Runner {
    Runner {
        id: format!("r{number}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "hall-a".parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        slots: SLOTS,
        draining: false,
        models: vec!["small".parse().unwrap()],
        release: None,
        orders: None,
        served: None,
        incarnation: None,
        staged: Vec::new(),
        membership: Some(Membership {
            group: format!("g{number}").parse().unwrap(),
            epoch: Epoch(number),
            rank: 0,
            phase: Phase::Open,
        }),
    }
}

/// A hall: nodes, groups, and what is under way.
struct Hall {
    way: Way,
    heads: Vec<Runner>,
    refusing: usize,
    /// Whether those that turn away do so to every other node only.
    partly: bool,
    backoffs: Vec<backoff::Table>,
    ledgers: Vec<Ledger>,
    /// When a node was last turned away with a backoff, and what it sent there since.
    asked: HashMap<(usize, Epoch), (Millis, u32)>,
    running: HashMap<Epoch, u32>,
    ends: BinaryHeap<Reverse<(u64, Epoch)>>,
    dispatcher: Dispatcher,
    rng: SmallRng,
}

impl Hall {
    fn new(way: Way, nodes: usize, groups: u64, refusing: usize, seed: u64) -> Hall {
        Hall {
            way,
            heads: (1..=groups).map(head).collect(),
            refusing,
            partly: false,
            backoffs: vec![backoff::Table::default(); nodes],
            ledgers: vec![Ledger::default(); nodes],
            asked: HashMap::new(),
            running: HashMap::new(),
            ends: BinaryHeap::new(),
            dispatcher: Dispatcher::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn list_unwilling(&self, node: usize, now: Millis) -> Vec<Epoch> {
        let of = |node: usize| {
            self.heads.iter().filter(move |head| self.backoffs[node].find_end(&head.id, None, now).is_some())
        };
        let epoch = |head: &Runner| head.membership.as_ref().unwrap().epoch;
        match self.way {
            Way::Forgotten => Vec::new(),
            Way::Named | Way::Doubted => of(node).map(epoch).collect(),
            Way::Shared => (0..self.backoffs.len()).flat_map(of).map(epoch).collect(),
            Way::PassedOver => {
                let refusing: Vec<&id::Runner> = self.ledgers[node].list_rejecting(now).collect();
                self.heads.iter().filter(|head| refusing.contains(&&head.id)).map(epoch).collect()
            }
        }
    }

    fn choose(&mut self, node: usize, tried: &[Epoch], now: Millis) -> Reply {
        let doubts: HashMap<Epoch, u32> = match self.way {
            Way::Doubted | Way::PassedOver => {
                let all = (0..self.backoffs.len()).flat_map(|node| self.list_unwilling(node, now));
                all.fold(HashMap::new(), |mut sum, epoch| {
                    *sum.entry(epoch).or_default() += 1;
                    sum
                })
            }
            _ => HashMap::new(),
        };
        let question = Query {
            report: Report {
                node: format!("n{node}").parse().unwrap(),
                hall: "hall-a".parse().unwrap(),
                scope: Scope::Node,
                sum: InFlight::default(),
                doubted: Vec::new(),
                feedback: Digest::default(),
                wants: Vec::new(),
            },
            service: "llm".parse().unwrap(),
            model: "small".parse().unwrap(),
            prompt: 700,
            urgency: if tried.is_empty() { Urgency::Within(300) } else { Urgency::Again },
            patience: None,
            tried: tried.to_vec(),
            unwilling: self.list_unwilling(node, now),
            fingerprint: Fingerprint::of(&Request { account: None, method: "POST", path: "/", body: b"b" }),
            samples: Vec::new(),
        };
        let hall: id::Hall = "hall-a".parse().unwrap();
        let (load, warm) = (Millis(12_000), Millis(1100));
        let model = Model {
            name: "small".parse().unwrap(),
            size: 4,
            share: 1.0,
            load_time: load,
            warm_load_time: warm,
            pace: 0.6,
        };
        let heads: Vec<&Runner> = self.heads.iter().collect();
        let choice = Candidates {
            hall: &hall,
            silent_halls: &[],
            heads: &heads,
            model: &model,
            speed: &SPEED,
            trial_groups: &[],
            rate_limited: &[],
        };
        let load = |epoch: Epoch| Load {
            running: self.running.get(&epoch).copied().unwrap_or(0),
            doubts: doubts.get(&epoch).copied().unwrap_or(0),
        };
        self.dispatcher.choose(&choice, &question, load, now, &mut self.rng).reply
    }

    /// Whether the head of a group turns a request of a node away at present.
    fn is_refusing(&self, node: usize, epoch: Epoch, now: Millis) -> bool {
        REFUSING.contains(&now.0)
            && epoch.0 as usize <= self.refusing
            && (!self.partly || node.is_multiple_of(2))
    }

    /// One request of a node. Returns how many tries were turned away, and whether it is served.
    fn ask(&mut self, node: usize, now: Millis) -> (u32, bool) {
        let mut tried = Vec::new();
        while tried.len() < TRIES {
            let Reply::Take(promise) = self.choose(node, &tried, now) else { break };
            let epoch = promise.epoch;
            if let Some((at, sent)) = self.asked.get_mut(&(node, epoch)) {
                let binds = (*at + UNDER_WAY).0..(*at + SPAN).0;
                *sent += u32::from(binds.contains(&now.0));
            }
            if !self.is_refusing(node, epoch, now) {
                self.ledgers[node].record_progress(&self.heads[epoch.0 as usize - 1].id, now);
                *self.running.entry(epoch).or_default() += 1;
                self.ends.push(Reverse((now.0 + self.rng.random_range(300..1700), epoch)));
                return (tried.len() as u32, true);
            }
            tried.push(epoch);
            let id = self.heads[epoch.0 as usize - 1].id.clone();
            match self.way {
                Way::PassedOver => self.ledgers[node].record_rejection(&id, now),
                _ => {
                    self.backoffs[node].insert(&id, None, SPAN, now);
                }
            }
            let first = self.asked.entry((node, epoch)).or_insert((now, 0));
            if now >= first.0 + SPAN {
                *first = (now, first.1);
            }
        }
        (tried.len() as u32, false)
    }

    /// Plays twenty seconds with `load` of all slots of all groups.
    fn play(mut self, load: f64) -> Outcome {
        let per_second = load * self.heads.len() as f64 * f64::from(SLOTS);
        let mut outcome = Outcome::default();
        let mut time = 1000.0;
        while time < 20_000.0 {
            time += -self.rng.random::<f64>().ln() * 1000.0 / per_second;
            let now = Millis(time as u64);
            while self.ends.peek().is_some_and(|Reverse((end, _))| *end <= now.0) {
                let Some(Reverse((_, epoch))) = self.ends.pop() else { break };
                *self.running.get_mut(&epoch).unwrap() -= 1;
            }
            let node = self.rng.random_range(0..self.backoffs.len());
            let (refused, served) = self.ask(node, now);
            if REFUSING.contains(&now.0) {
                outcome.requests += 1;
                outcome.refused += refused;
                outcome.served += u32::from(served);
            }
        }
        outcome.worst = self.asked.values().map(|(_, sent)| *sent).max().unwrap_or(0);
        outcome
    }
}

/// The mean of a figure over seeds.
fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

fn play(way: Way, nodes: usize, groups: u64, part: f64, load: f64, partly: bool) -> Vec<Outcome> {
    let refusing = (part * groups as f64).round() as usize;
    let one = |seed| {
        let mut hall = Hall::new(way, nodes, groups, refusing, seed);
        hall.partly = partly;
        hall.play(load)
    };
    (1..=3).map(one).collect()
}

/// A hall of thirty nodes before forty groups.
const HALL: (usize, u64) = (30, 40);

#[test]
fn a_runner_that_wants_no_requests_gets_none_from_a_node_that_it_told() {
    for part in [0.1, 0.3, 0.6, 1.0] {
        for way in [Way::Named, Way::Doubted] {
            let all = play(way, 4, 6, part, 0.6, false);
            assert!(all.iter().all(|one| one.worst == 0), "{part} refuse, {way:?}: {all:?}");
        }
    }
    let forgotten = play(Way::Forgotten, 4, 6, 0.3, 0.6, false);
    assert!(forgotten.iter().all(|one| one.worst > 2), "the load shows the harm: {forgotten:?}");
}

#[test]
fn what_one_node_was_told_saves_the_others_from_being_turned_away() {
    let (nodes, groups) = HALL;
    let named = play(Way::Named, nodes, groups, 0.3, 0.6, false);
    let doubted = play(Way::Doubted, nodes, groups, 0.3, 0.6, false);
    let refused = [&named, &doubted].map(|all| mean(all, Outcome::refused));
    assert!(refused[1] < refused[0] / 10.0, "tries that were turned away: {refused:?}");
    assert!(mean(&doubted, Outcome::served) > 0.99, "there is room for all: {doubted:?}");
}

#[test]
fn a_runner_that_turns_some_nodes_away_is_not_lost_for_the_others() {
    let (nodes, groups) = HALL;
    let doubted = play(Way::Doubted, nodes, groups, 0.6, 0.6, true);
    let shared = play(Way::Shared, nodes, groups, 0.6, 0.6, true);
    let served = [&doubted, &shared].map(|all| mean(all, Outcome::served));
    assert!(served[0] > 0.95 && served[1] < 0.9, "served where nodes doubt, and share: {served:?}");
}

#[test]
fn runners_that_turn_all_away_and_name_no_time_are_passed_over() {
    let (nodes, groups) = HALL;
    let forgotten = play(Way::Forgotten, nodes, groups, 0.3, 0.6, false);
    let passed = play(Way::PassedOver, nodes, groups, 0.3, 0.6, false);
    let refused = [&forgotten, &passed].map(|all| mean(all, Outcome::refused));
    let served = [&forgotten, &passed].map(|all| mean(all, Outcome::served));
    assert!(refused[1] < refused[0] / 5.0, "tries that were turned away: {refused:?}");
    assert!(served[0] < 0.7 && served[1] > 0.95, "served: {served:?}");
}
