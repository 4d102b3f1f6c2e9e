//! Steps whose plans were not written, or not certainly.
//!
//! The failure: the planner remembered the orders, the loads and the stagings of a step as done before its plans
//! were written. Where a write met a conflict, the orders went out only when they were due again, 1.5 s later, and
//! the loads were counted twice.

mod instant;

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::decide::Step;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::orders::UNSEEN_HEAD_GRACE;
use instant::{CEILING, World, at_rest, runner};

/// How long after a step the next one comes.
const PAUSE: Millis = Millis(200);

/// Returns a fleet that has just started, with its first step that forms groups. The ceiling allows loads for some
/// of its groups only.
fn start_fleet() -> (World, Step) {
    let mut world = World::new(4);
    loop {
        let step = world.propose();
        world.now = world.now + PAUSE;
        if !step.writes.is_empty() {
            return (world, step);
        }
    }
}

fn list_joins(step: &Step) -> BTreeSet<(String, id::Runner)> {
    let joins = step.orders.iter().filter(|(_, order)| matches!(order, Order::Join(..)));
    joins.map(|(runner, order)| (format!("{order:?}"), runner.clone())).collect()
}

fn count_groups(step: &Step) -> usize {
    step.writes.iter().map(|(_, document, _)| document.groups.len()).sum()
}

#[test]
fn orders_of_a_step_that_was_not_written_are_issued_in_the_next_one() {
    let (mut world, first) = start_fleet();
    assert!(!first.orders.is_empty());
    let again = world.propose();
    assert_eq!(again.orders.len(), first.orders.len(), "orders issued again");
    assert_eq!(list_joins(&again), list_joins(&first));
}

#[test]
fn loads_of_a_step_that_was_not_written_are_not_counted() {
    let (mut world, first) = start_fleet();
    let again = world.propose();
    assert_eq!(count_groups(&again), count_groups(&first), "groups formed in place of those not written");
}

/// The answer to the write was lost, and the plans have been read from the store.
#[test]
fn loads_of_a_step_that_was_written_unseen_are_counted() {
    let (mut world, first) = start_fleet();
    for (domain, document, _) in &first.writes {
        world.plans.insert(domain.clone(), document.clone());
    }
    let again = world.propose();
    assert!(again.writes.is_empty(), "beyond the ceiling: {:?}", again.writes);
    assert_eq!(list_joins(&again), list_joins(&first), "the orders of the plans");
}

#[test]
fn a_model_is_staged_in_the_next_step_if_the_first_one_was_not_written() {
    let mut world = at_rest(6);
    let spare = runner(0, 77);
    world.roster.insert(spare.clone());
    let mut is_staged = || {
        let step = world.propose();
        world.now = world.now + PAUSE;
        step.orders.iter().any(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)))
    };
    assert!(is_staged(), "in the first step");
    assert!(is_staged(), "in the next step");
}

#[test]
fn the_time_to_finish_requests_does_not_begin_with_a_close_order_that_was_not_sent() {
    let mut world = at_rest(6);
    let group = world.find("small");
    let head = group.members[0].clone();
    world.remove_entry(&head);
    let close = (head, Order::Close(group.name.clone(), group.epoch));
    assert!(world.propose().orders.contains(&close), "in the first step");
    world.now = world.now + UNSEEN_HEAD_GRACE;
    assert!(world.propose().orders.contains(&close), "in the next step");
}

/// The lease was possibly over when the order was to be sent, or the runner was not known.
#[test]
fn an_order_that_was_not_sent_is_issued_in_the_next_step_and_its_load_is_counted_once() {
    let (mut world, _) = start_fleet();
    let first = world.step();
    let leaves_window_at = world.now + CEILING.window;
    for (id, order) in &first.orders {
        world.memory.record_unsent(id, order);
    }
    world.now = world.now + PAUSE;
    let again = world.step();
    assert_eq!(list_joins(&again), list_joins(&first));
    assert!(world.step().orders.is_empty(), "they were sent");
    // The loads have left the window of the ceiling.
    world.now = leaves_window_at;
    assert!(!world.step().writes.is_empty(), "no further group of {} runners", world.list_free().len());
}

#[test]
fn a_stage_order_that_was_not_sent_takes_no_load_from_others() {
    let mut world = at_rest(6);
    world.serving = true;
    world.hang_loads = true;
    let spare = runner(0, 77);
    world.roster.insert(spare.clone());
    // More often than loads may run at once.
    for round in 0..20 {
        let step = world.step();
        let staged =
            step.orders.iter().find(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)));
        let Some((id, order)) = staged else { panic!("not staged in round {round}") };
        world.memory.record_unsent(id, order);
        world.now = world.now + PAUSE;
    }
}

/// The next step ordered it again before it was due: nothing was sent, and the runner counted as loading for three
/// times as long as a load takes.
#[test]
fn a_stage_order_that_was_refused_is_issued_again_as_soon_as_it_is_due() {
    let mut world = at_rest(6);
    let spare = runner(0, 77);
    world.roster.insert(spare.clone());
    let began = world.now;
    let mut issued = Vec::new();
    while world.now < began + Millis(4000) {
        let step = world.step();
        let is_staging =
            |(id, order): &&(id::Runner, Order)| *id == spare.id && matches!(order, Order::Stage(_));
        if let Some((id, order)) = step.orders.iter().find(is_staging) {
            world.memory.record_refused(id, order);
            issued.push(world.now.since(began));
        }
        world.now = world.now + PAUSE;
    }
    // A repetition comes after 1.5 s, in the first step from then on.
    assert_eq!(issued, [Millis(0), Millis(1600), Millis(3200)]);
}
