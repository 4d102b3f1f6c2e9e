//! Restarts of runners under the id that they had, at each stage of a group, on a simulated clock.
//!
//! A restarted runner has lost its membership, its loaded model and all orders. The decider learns
//! of the new incarnation from the entry or, before that, from an answer to a probe.

mod instant;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::{Order, REPEAT_INTERVAL};
use cottoncrank_fleet::plan::Group;
use cottoncrank_fleet::probe::{Health, Probes};
use cottoncrank_fleet::roster::{Roster, Update};
use cottoncrank_fleet::runner::{Incarnation, Phase, Runner};
use cottoncrank_fleet::stall::Stalls;
use instant::{FIRST_INCARNATION, World, at_rest, runner};

/// The ways in which a new incarnation becomes known.
const RESTARTS: [fn(&mut World, &id::Runner) -> Incarnation; 2] =
    [World::restart, World::restart_without_entry];

/// Checks that this many groups of a model are open and that each is planned with the current
/// incarnations of its members.
fn assert_open(world: &World, model: &str, groups: usize) {
    let open: Vec<&Group> = world
        .groups()
        .filter(|group| !group.is_retired() && group.model.as_str() == model)
        .filter(|group| world.phase(group.head().unwrap()) == Some(Phase::Open))
        .collect();
    assert_eq!(open.len(), groups, "open groups of {model}");
    for group in open {
        for member in &group.members {
            let runner = world.roster.get(member).unwrap();
            assert_eq!(group.find_incarnation(member), runner.incarnation, "{member} in {}", group.name);
            let membership = runner.membership.as_ref().unwrap();
            assert_eq!((&membership.group, membership.epoch), (&group.name, group.epoch), "{member}");
        }
    }
}

fn is_planned(world: &World, group: &Group) -> bool {
    world.groups().any(|known| known.name == group.name && known.epoch == group.epoch)
}

#[test]
fn a_restart_clears_the_served_model_and_membership() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let member = world.find("large").members[1].clone();
        let model: id::Model = "large".parse().unwrap();
        let before = world.roster.get(&member).unwrap().clone();
        assert!(before.has_served(&model));
        let incarnation = restart(&mut world, &member);
        let known = world.roster.get(&member).unwrap();
        assert_eq!(known.incarnation, Some(incarnation));
        assert!(!known.has_served(&model), "it would be expected to join without a load");
        assert!(known.membership.is_none() && known.models.is_empty());
        assert_eq!(known.staged, before.staged, "its host keeps the staged models");
    }
}

#[test]
fn entries_of_a_former_incarnation_are_ignored() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let old = world.roster.get(&group.members[2]).unwrap().clone();
    let incarnation = world.restart_without_entry(&old.id);
    assert_eq!(world.roster.insert(old.clone()), Update::Outdated);
    assert_eq!(world.roster.get(&old.id).unwrap().incarnation, Some(incarnation));
    assert!(world.roster.get(&old.id).unwrap().membership.is_none());
    // They are also ignored if the entry was removed in between.
    world.remove_entry(&old.id);
    assert_eq!(world.roster.insert(old.clone()), Update::Outdated);
    assert!(world.roster.get(&old.id).is_none());
    let mut fresh = runner(0, 0);
    (fresh.id, fresh.incarnation) = (old.id.clone(), Some(incarnation));
    assert_eq!(world.roster.insert(fresh), Update::Current);
}

#[test]
fn an_entry_without_an_incarnation_belongs_to_the_known_one() {
    let mut world = at_rest(1);
    let known = world.find("small").members[0].clone();
    let mut entry = world.roster.get(&known).unwrap().clone();
    entry.incarnation = None;
    assert_eq!(world.roster.insert(entry), Update::Current);
    assert_eq!(world.roster.get(&known).unwrap().incarnation, Some(FIRST_INCARNATION));
}

#[test]
fn a_group_with_a_restarted_member_is_formed_again() {
    for restart in RESTARTS {
        for rank in 0..4 {
            let mut world = at_rest(6);
            let group = world.find("large");
            restart(&mut world, &group.members[rank]);
            world.run(1);
            assert!(
                !world.groups().any(|known| known.epoch == group.epoch && !known.is_retired()),
                "rank {rank}: the group is still planned as active"
            );
            world.run(20);
            assert_open(&world, "large", 6);
        }
    }
}

#[test]
fn members_of_a_restarted_head_are_not_held() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        restart(&mut world, &group.members[0]);
        world.run(2);
        assert!(!is_planned(&world, &group), "the group cannot be open any more");
    }
}

#[test]
fn members_are_held_while_the_head_of_a_restarted_member_is_open() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        restart(&mut world, &group.members[3]);
        let step = world.step();
        let leave = Order::Leave(group.name.clone(), group.epoch);
        assert!(step.orders.contains(&(group.members[0].clone(), leave.clone())));
        let joins = |id: &id::Runner| {
            step.orders.iter().any(|(runner, order)| runner == id && matches!(order, Order::Join(..)))
        };
        assert!(!group.members.iter().any(joins), "the head has not left yet");
    }
}

#[test]
fn a_runner_that_restarts_while_joining_gets_new_orders_at_once() {
    for restart in RESTARTS {
        for rank in 0..2 {
            let mut world = World::new(1);
            let mut orders = Vec::new();
            while orders.is_empty() {
                orders = world.step().orders;
                world.now = world.now + Millis(200);
            }
            let (runner, order) = orders.remove(0);
            let Order::Join(name, epoch, _, members) = &order else { panic!("{order:?}") };
            // All acknowledge the order, and one restarts before it is ready.
            for member in members {
                world.memory.record_acknowledged(member, Some(FIRST_INCARNATION), &order, world.now);
            }
            let member = members[rank.min(members.len() - 1)].clone();
            restart(&mut world, &member);
            world.now = world.now + Millis(200);
            world.run(1);
            let planned = world.groups().any(|group| group.epoch == *epoch && !group.is_retired());
            assert!(!planned, "{name} is planned with a former incarnation of {member} ({runner})");
            world.run(20);
            let group = world.groups().find(|group| group.members.contains(&member) && !group.is_retired());
            if let Some(group) = group {
                assert_eq!(world.phase(group.head().unwrap()), Some(Phase::Open));
            }
        }
    }
}

#[test]
fn a_leave_order_acknowledged_by_a_former_incarnation_does_not_count() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let incarnation = world.restart(&head);
    world.step();
    // The acknowledgement of an order arrives late, from the former incarnation.
    world.memory.record_acknowledged(&head, Some(FIRST_INCARNATION), &leave, world.now);
    let before = world.memory.count_entries();
    world.memory.record_acknowledged(&head, Some(incarnation), &leave, world.now);
    assert!(world.memory.count_entries() > before, "only that of the current incarnation counts");
}

#[test]
fn a_stage_order_is_repeated_to_a_new_incarnation() {
    let mut world = at_rest(6);
    world.hang_loads = true;
    // A new spare runner is added and ordered to load a model.
    let spare = runner(0, 77);
    world.roster.insert(spare.clone());
    let mut orders = 0;
    for _ in 0..40 {
        let step = world.step();
        orders += step
            .orders
            .iter()
            .filter(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)))
            .count();
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    assert_eq!(orders, 1, "the load has not ended yet");
    world.restart(&spare.id);
    let step = world.step();
    let repeated = step.orders.iter().any(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)));
    assert!(repeated, "the load ended with the former incarnation");
}

#[test]
fn a_closing_head_that_restarted_has_finished() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("small");
        let mut leaving: Runner = world.roster.get(&group.members[1]).unwrap().clone();
        leaving.draining = true;
        world.roster.insert(leaving);
        let step = world.step();
        let close = Order::Close(group.name.clone(), group.epoch);
        assert!(step.orders.contains(&(group.members[0].clone(), close)));
        restart(&mut world, &group.members[0]);
        world.run(1);
        assert!(!is_planned(&world, &group));
    }
}

#[test]
fn the_restart_of_a_member_of_a_retired_group_does_not_end_the_wait_for_its_head() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        world.crash(&group.members[0]);
        world.run(1);
        restart(&mut world, &group.members[2]);
        world.run(3);
        assert!(is_planned(&world, &group), "the head may be cut off and still open");
    }
}

#[test]
fn the_next_decider_knows_the_planned_incarnations_from_the_plan() {
    for restart in RESTARTS {
        for rank in [0, 2] {
            let mut world = at_rest(6);
            let group = world.find("large");
            // There is no decider while the runner restarts.
            restart(&mut world, &group.members[rank]);
            world.memory = Memory::resume(&Stalls::default());
            world.probes = Probes::default();
            world.probe(&[]);
            world.run(1);
            assert!(!world.groups().any(|known| known.epoch == group.epoch && !known.is_retired()));
            world.run(20);
            assert_open(&world, "large", 6);
        }
    }
}

#[test]
fn a_member_missing_from_an_open_group_is_a_loss_also_if_no_incarnations_are_reported() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut missing = world.roster.get(&group.members[2]).unwrap().clone();
    missing.membership = None;
    missing.models.clear();
    missing.incarnation = None;
    world.roster.insert(missing);
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), leave)));
    assert!(!step.orders.iter().any(|(_, order)| matches!(order, Order::Join(..))));
}

#[test]
fn an_unacknowledged_order_is_repeated_until_the_new_incarnation_is_known() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut leaving = world.roster.get(&group.members[3]).unwrap().clone();
    leaving.draining = true;
    world.roster.insert(leaving);
    let close = Order::Close(group.name.clone(), group.epoch);
    assert!(world.step().orders.contains(&(group.members[0].clone(), close.clone())));
    // The head has restarted and refuses, because it is in no group. Nothing else shows the restart
    // yet.
    world.now = world.now + REPEAT_INTERVAL;
    assert!(world.step().orders.contains(&(group.members[0].clone(), close)));
    world.restart_without_entry(&group.members[0]);
    world.run(1);
    assert!(!is_planned(&world, &group));
}

#[test]
fn probe_results_of_a_former_incarnation_do_not_count_for_the_current_one() {
    let mut world = at_rest(6);
    let member = world.find("large").members[1].clone();
    world.slow.insert(member.clone());
    world.probe(&[]);
    assert_eq!(world.probes.health(&member), Health::Slow);
    world.slow.clear();
    world.restart_without_entry(&member);
    assert_eq!(world.probes.health(&member), Health::Responsive);
}

#[test]
fn a_runner_that_reports_draining_is_not_used_until_it_restarts() {
    let (service, id) = ("llm".parse().unwrap(), runner(0, 0).id);
    let count = |roster: &Roster| roster.list_plain(&service).len();
    let mut roster = Roster::default();
    roster.insert(runner(0, 0));
    assert!(roster.record_leaving(&id, Some(FIRST_INCARNATION)));
    assert!(!roster.record_leaving(&id, Some(FIRST_INCARNATION)), "it is known already");
    assert_eq!(count(&roster), 0);
    // Its entry is late, is removed, and returns.
    roster.insert(runner(0, 0));
    assert_eq!(count(&roster), 0);
    roster.remove(&id, Millis(10_000));
    roster.insert(runner(0, 0));
    assert_eq!(count(&roster), 0);
    let later = Incarnation(FIRST_INCARNATION.0 + 1);
    roster.insert(Runner { incarnation: Some(later), ..runner(0, 0) });
    assert_eq!(count(&roster), 1, "it has restarted");
    assert!(
        !roster.record_leaving(&id, Some(FIRST_INCARNATION)),
        "an answer of its former incarnation does not count"
    );
    assert_eq!(count(&roster), 1);
    assert!(roster.record_leaving(&id, None), "without an incarnation, the report is about the current one");
    assert!(!roster.record_leaving(&"r9-9".parse().unwrap(), None), "the runner is unknown");
}

#[test]
fn a_later_incarnation_seen_in_a_report_is_not_leaving() {
    let (service, id) = ("llm".parse().unwrap(), runner(0, 0).id);
    let mut roster = Roster::default();
    roster.insert(runner(0, 0));
    roster.record_leaving(&id, Some(FIRST_INCARNATION));
    assert!(roster.record_incarnation(&id, Incarnation(FIRST_INCARNATION.0 + 1)));
    assert_eq!(roster.list_plain(&service).len(), 1);
}

#[test]
fn an_entry_of_an_earlier_time_of_an_incarnation_is_ignored() {
    let entry = |orders, reported, staged: &[&str]| Runner {
        orders,
        incarnation: reported,
        staged: staged.iter().map(|model| model.parse().unwrap()).collect(),
        ..runner(0, 0)
    };
    let mut roster = Roster::default();
    roster.insert(entry(Some(3), Some(FIRST_INCARNATION), &["large"]));
    assert_eq!(roster.insert(entry(Some(2), Some(FIRST_INCARNATION), &[])), Update::Outdated);
    assert_eq!(roster.get(&runner(0, 0).id).unwrap().staged.len(), 1);
    assert_eq!(
        roster.insert(entry(Some(3), Some(FIRST_INCARNATION), &[])),
        Update::Current,
        "a change without an order"
    );
    assert_eq!(
        roster.insert(entry(None, Some(FIRST_INCARNATION), &[])),
        Update::Current,
        "it reports no count"
    );
    // A later incarnation counts from zero. Without incarnations nothing can be concluded.
    roster.insert(entry(Some(3), Some(FIRST_INCARNATION), &[]));
    assert_eq!(
        roster.insert(entry(Some(0), Some(Incarnation(FIRST_INCARNATION.0 + 1)), &[])),
        Update::Restarted
    );
    assert_eq!(roster.insert(entry(Some(4), None, &[])), Update::Current);
    assert_eq!(roster.insert(entry(Some(1), None, &[])), Update::Current);
}
