//! Guards against a retry budget that a large fleet cannot spend.
//!
//! From 833 nodes on, no node retried a request that had arrived at a runner, although the fleet may make
//! a thousand retries in ten seconds. The budget was divided evenly, and a share of less than one pays for
//! no retry. Now the fractions left over form shared retry pools at the collectors of the halls. Budgets and
//! pools together never exceed the budget of the fleet, because a collector counts only the nodes that
//! report to it.

use std::collections::VecDeque;

use cottoncrank::Millis;
use cottoncrank::retry::Budget;
use cottoncrank_fleet::retries::{Pool, Share};

/// The retries that the fleet may make in any window, beyond the fraction [`RATIO`] of all requests.
const SLACK: f64 = 832.0;
const RATIO: f64 = 0.16;
const WINDOW: Millis = Millis(10_000);
const HALLS: usize = 5;
const TICK: Millis = Millis(50);

/// The fault injected while nodes need retries.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// The collector of hall 0 is lost, and another node replaces it.
    CollectorLost,
    /// Half of the nodes of hall 0 are partitioned from its collector and report to another one.
    Split,
}

/// The retries made and wanted, and the maximum in any window beyond what requests pay for.
struct Outcome {
    made: usize,
    wanted: usize,
    max_excess: f64,
}

/// Simulates nodes that each need `per_second` retries per second for `duration`, and each have one request
/// every two seconds.
fn simulate(nodes: usize, per_second: f64, duration: Millis, fault: Fault) -> Outcome {
    let share = Share::of(SLACK, nodes);
    let mut budgets: Vec<Budget> =
        (0..nodes).map(|_| Budget::new(RATIO * share.budget_fraction(), share.budget)).collect();
    // The second collector of a hall is used only during a fault.
    let mut pools = vec![[Pool::default(), Pool::default()]; HALLS];
    let begin = Millis(25_000);
    let end = begin + duration;
    let mut demand = vec![0.0; nodes];
    let (mut made, mut requests): (VecDeque<Millis>, VecDeque<Millis>) = Default::default();
    let mut outcome = Outcome { made: 0, wanted: 0, max_excess: f64::MIN };
    let mut now = Millis(1);
    while now < end {
        let has_fault = now >= begin + Millis(2000);
        let collector_of = |node: usize| match (fault, node % HALLS) {
            (Fault::CollectorLost, 0) if has_fault => 1,
            (Fault::Split, 0) if has_fault && (node / HALLS).is_multiple_of(2) => 1,
            _ => 0,
        };
        let mut reporting = [[0; 2]; HALLS];
        (0..nodes).for_each(|node| reporting[node % HALLS][collector_of(node)] += 1);
        for (pool, reporting) in pools.iter_mut().flatten().zip(reporting.into_iter().flatten()) {
            match reporting {
                0 => pool.reset(),
                _ => pool.set_capacity(share.pooled * f64::from(reporting), WINDOW, now),
            }
        }
        for node in 0..nodes {
            let pool = &mut pools[node % HALLS][collector_of(node)];
            if (now.0 / TICK.0) as usize % 40 == node % 40 {
                budgets[node].deposit();
                pool.deposit(RATIO * (1.0 - share.budget_fraction()));
                requests.push_back(now);
            }
            if now < begin {
                continue;
            }
            demand[node] += per_second * TICK.0 as f64 / 1000.0;
            while demand[node] >= 1.0 {
                demand[node] -= 1.0;
                outcome.wanted += 1;
                if budgets[node].withdraw() || pool.grant() {
                    outcome.made += 1;
                    made.push_back(now);
                }
            }
        }
        made.retain(|at| now < *at + WINDOW);
        requests.retain(|at| now < *at + WINDOW);
        outcome.max_excess = outcome.max_excess.max(made.len() as f64 - RATIO * requests.len() as f64);
        now = now + TICK;
    }
    outcome
}

#[test]
fn a_fleet_of_any_size_can_spend_its_retry_budget() {
    for nodes in [10, 300, 410, 830, 985, 1970] {
        let outcome = simulate(nodes, 600.0 / nodes as f64, Millis(40_000), Fault::None);
        let allowed = SLACK + RATIO * (nodes as f64 / 2.0) * 40.0;
        let used = outcome.made as f64 / allowed.min(outcome.wanted as f64);
        assert!(
            used >= 0.8,
            "{nodes} nodes: {} of {allowed} allowed, {} wanted",
            outcome.made,
            outcome.wanted
        );
    }
}

#[test]
fn a_fleet_never_exceeds_its_retry_budget_under_faults() {
    for fault in [Fault::None, Fault::CollectorLost, Fault::Split] {
        for nodes in [90, 830, 985, 1970] {
            for per_second in [600.0, 20_000.0] {
                let outcome = simulate(nodes, per_second / nodes as f64, Millis(15_000), fault);
                assert!(
                    outcome.max_excess <= SLACK / 0.8,
                    "{nodes} nodes, {fault:?}: {:.0} beyond what requests pay for",
                    outcome.max_excess
                );
            }
        }
    }
}

#[test]
fn few_nodes_can_use_the_shared_pool_of_their_hall() {
    // One node in fifty meets a failing runner.
    let mut granted = 0;
    let share = Share::of(SLACK, 985);
    let mut pool = Pool::default();
    pool.set_capacity(share.pooled * 197.0, WINDOW, Millis(0));
    pool.set_capacity(share.pooled * 197.0, WINDOW, WINDOW);
    for _ in 0..4 {
        granted += (0..40).filter(|_| pool.grant()).count();
    }
    assert_eq!(granted, 160, "the pool of 197 nodes has 166, and each of four nodes needs forty");
}

#[test]
fn a_new_collector_grants_only_what_requests_earn() {
    let mut pool = Pool::default();
    pool.set_capacity(100.0, WINDOW, Millis(5));
    assert!(!pool.grant(), "the former collector may have granted as much until now");
    pool.deposit(1.5);
    assert!(pool.grant() && !pool.grant());
    pool.set_capacity(100.0, WINDOW, Millis(5) + WINDOW);
    assert_eq!((0..200).filter(|_| pool.grant()).count(), 100);
}
