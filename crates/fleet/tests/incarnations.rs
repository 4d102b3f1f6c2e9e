//! Runners start again under the id that they had. They hold and know nothing of before:
//! every step of a group's life on a set clock, with the entry first or the report first.

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

/// How a new life becomes known.
const RESTARTS: [fn(&mut World, &id::Runner) -> Incarnation; 2] =
    [World::restart, World::restart_without_entry];

/// A group that serves again, none of whose members is planned in a former life.
fn assert_served(world: &World, model: &str, groups: usize) {
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
            let place = runner.membership.as_ref().unwrap();
            assert_eq!((&place.group, place.epoch), (&group.name, group.epoch), "{member}");
        }
    }
}

fn is_planned(world: &World, group: &Group) -> bool {
    world.groups().any(|known| known.name == group.name && known.epoch == group.epoch)
}

#[test]
fn what_a_runner_served_in_a_former_life_is_forgotten() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let member = world.find("large").members[1].clone();
        let model: id::Model = "large".parse().unwrap();
        let before = world.roster.get(&member).unwrap().clone();
        assert!(before.has_served(&model));
        let life = restart(&mut world, &member);
        let known = world.roster.get(&member).unwrap();
        assert_eq!(known.incarnation, Some(life));
        assert!(!known.has_served(&model), "it would be taken to join without a load");
        assert!(known.membership.is_none() && known.models.is_empty());
        assert_eq!(known.staged, before.staged, "its host keeps its models");
    }
}

#[test]
fn entries_of_a_former_life_change_nothing() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let old = world.roster.get(&group.members[2]).unwrap().clone();
    let life = world.restart_without_entry(&old.id);
    assert_eq!(world.roster.insert(old.clone()), Update::Outdated);
    assert_eq!(world.roster.get(&old.id).unwrap().incarnation, Some(life));
    assert!(world.roster.get(&old.id).unwrap().membership.is_none());
    // Nor do they where the entry lapsed in between.
    world.remove_entry(&old.id);
    assert_eq!(world.roster.insert(old.clone()), Update::Outdated);
    assert!(world.roster.get(&old.id).is_none());
    let mut fresh = runner(0, 0);
    (fresh.id, fresh.incarnation) = (old.id.clone(), Some(life));
    assert_eq!(world.roster.insert(fresh), Update::Current);
}

#[test]
fn an_entry_that_tells_no_life_is_of_the_one_known() {
    let mut world = at_rest(1);
    let known = world.find("small").members[0].clone();
    let mut untold = world.roster.get(&known).unwrap().clone();
    untold.incarnation = None;
    assert_eq!(world.roster.insert(untold), Update::Current);
    assert_eq!(world.roster.get(&known).unwrap().incarnation, Some(FIRST_INCARNATION));
}

#[test]
fn a_group_whose_member_started_again_is_formed_anew() {
    for restart in RESTARTS {
        for rank in 0..4 {
            let mut world = at_rest(6);
            let group = world.find("large");
            restart(&mut world, &group.members[rank]);
            world.run(1);
            assert!(
                !world.groups().any(|known| known.epoch == group.epoch && !known.is_retired()),
                "rank {rank}: the group stands in the plans as whole"
            );
            world.run(20);
            assert_served(&world, "large", 6);
        }
    }
}

#[test]
fn members_of_a_head_that_started_again_are_not_held() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        restart(&mut world, &group.members[0]);
        world.run(2);
        assert!(!is_planned(&world, &group), "nothing can be open there any more");
    }
}

#[test]
fn members_are_held_while_the_head_of_a_member_that_started_again_is_open() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        restart(&mut world, &group.members[3]);
        let step = world.step();
        let leave = Order::Leave(group.name.clone(), group.epoch);
        assert!(step.orders.contains(&(group.members[0].clone(), leave.clone())));
        let joins = |id: &id::Runner| {
            step.orders.iter().any(|(told, order)| told == id && matches!(order, Order::Join(..)))
        };
        assert!(!group.members.iter().any(joins), "the head has not left yet");
    }
}

#[test]
fn a_runner_that_started_again_while_joining_is_told_anew_at_once() {
    for restart in RESTARTS {
        for rank in 0..2 {
            let mut world = World::new(1);
            let mut orders = Vec::new();
            while orders.is_empty() {
                orders = world.step().orders;
                world.now = world.now + Millis(200);
            }
            let (told, order) = orders.remove(0);
            let Order::Join(name, epoch, _, members) = &order else { panic!("{order:?}") };
            // All take the order, and one starts again before it is ready.
            for member in members {
                world.memory.record_acknowledged(member, Some(FIRST_INCARNATION), &order, world.now);
            }
            let member = members[rank.min(members.len() - 1)].clone();
            restart(&mut world, &member);
            world.now = world.now + Millis(200);
            world.run(1);
            let planned = world.groups().any(|group| group.epoch == *epoch && !group.is_retired());
            assert!(!planned, "{name} is meant for a former life of {member} ({told})");
            world.run(20);
            let group = world.groups().find(|group| group.members.contains(&member) && !group.is_retired());
            if let Some(group) = group {
                assert_eq!(world.phase(group.head().unwrap()), Some(Phase::Open));
            }
        }
    }
}

#[test]
fn a_leave_that_a_former_life_took_is_not_done_by_the_present_one() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let life = world.restart(&head);
    world.step();
    // The answer to an order comes late, from the life before.
    world.memory.record_acknowledged(&head, Some(FIRST_INCARNATION), &leave, world.now);
    let remembered = world.memory.count_entries();
    world.memory.record_acknowledged(&head, Some(life), &leave, world.now);
    assert!(world.memory.count_entries() > remembered, "only that of the present life counts");
}

#[test]
fn what_a_runner_was_told_to_stage_is_told_to_its_new_life() {
    let mut world = at_rest(6);
    world.hang_loads = true;
    // A fresh spare runner comes, and is told to load a model.
    let spare = runner(0, 77);
    world.roster.insert(spare.clone());
    let mut told = 0;
    for _ in 0..40 {
        let step = world.step();
        told += step
            .orders
            .iter()
            .filter(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)))
            .count();
        world.execute(&step);
        world.now = world.now + Millis(200);
    }
    assert_eq!(told, 1, "a load takes its time");
    world.restart(&spare.id);
    let step = world.step();
    let again = step.orders.iter().any(|(id, order)| *id == spare.id && matches!(order, Order::Stage(_)));
    assert!(again, "the load under way ended with the former life");
}

#[test]
fn a_closing_head_that_started_again_has_finished() {
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
fn a_member_of_a_group_given_up_does_not_end_the_wait_for_its_head() {
    for restart in RESTARTS {
        let mut world = at_rest(6);
        let group = world.find("large");
        world.crash(&group.members[0]);
        world.run(1);
        restart(&mut world, &group.members[2]);
        world.run(3);
        assert!(is_planned(&world, &group), "the head may be cut off and open");
    }
}

#[test]
fn the_next_decider_knows_from_the_plan_which_life_was_meant() {
    for restart in RESTARTS {
        for rank in [0, 2] {
            let mut world = at_rest(6);
            let group = world.find("large");
            // Nobody decides while the runner starts again.
            restart(&mut world, &group.members[rank]);
            world.memory = Memory::resume(&Stalls::default());
            world.probes = Probes::default();
            world.probe(&[]);
            world.run(1);
            assert!(!world.groups().any(|known| known.epoch == group.epoch && !known.is_retired()));
            world.run(20);
            assert_served(&world, "large", 6);
        }
    }
}

#[test]
fn a_member_that_vanished_from_an_open_group_is_a_loss_also_where_no_life_is_told() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut vanished = world.roster.get(&group.members[2]).unwrap().clone();
    vanished.membership = None;
    vanished.models.clear();
    vanished.incarnation = None;
    world.roster.insert(vanished);
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), leave)));
    assert!(!step.orders.iter().any(|(_, order)| matches!(order, Order::Join(..))));
}

#[test]
fn a_refused_order_alone_is_repeated_until_the_new_life_is_known() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut leaving = world.roster.get(&group.members[3]).unwrap().clone();
    leaving.draining = true;
    world.roster.insert(leaving);
    let close = Order::Close(group.name.clone(), group.epoch);
    assert!(world.step().orders.contains(&(group.members[0].clone(), close.clone())));
    // The head has started again and refuses: it is in no group. Nothing else is known.
    world.now = world.now + REPEAT_INTERVAL;
    assert!(world.step().orders.contains(&(group.members[0].clone(), close)));
    world.restart_without_entry(&group.members[0]);
    world.run(1);
    assert!(!is_planned(&world, &group));
}

#[test]
fn questions_unanswered_by_a_former_life_do_not_count_against_the_present_one() {
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
fn a_runner_that_says_it_leaves_is_leaving_until_it_starts_again() {
    let (service, id) = ("llm".parse().unwrap(), runner(0, 0).id);
    let count = |roster: &Roster| roster.list_plain(&service).len();
    let mut roster = Roster::default();
    roster.insert(runner(0, 0));
    assert!(roster.record_leaving(&id, Some(FIRST_INCARNATION)));
    assert!(!roster.record_leaving(&id, Some(FIRST_INCARNATION)), "it is known already");
    assert_eq!(count(&roster), 0);
    // Its entry lags behind, lapses, and comes back.
    roster.insert(runner(0, 0));
    assert_eq!(count(&roster), 0);
    roster.remove(&id, Millis(10_000));
    roster.insert(runner(0, 0));
    assert_eq!(count(&roster), 0);
    let later = Incarnation(FIRST_INCARNATION.0 + 1);
    roster.insert(Runner { incarnation: Some(later), ..runner(0, 0) });
    assert_eq!(count(&roster), 1, "it has started again");
    assert!(
        !roster.record_leaving(&id, Some(FIRST_INCARNATION)),
        "an answer of its former life says nothing"
    );
    assert_eq!(count(&roster), 1);
    assert!(roster.record_leaving(&id, None), "where lives are not told, it is about this one");
    assert!(!roster.record_leaving(&"r9-9".parse().unwrap(), None), "nobody knows it");
}

#[test]
fn a_later_life_that_is_told_in_a_report_is_not_leaving() {
    let (service, id) = ("llm".parse().unwrap(), runner(0, 0).id);
    let mut roster = Roster::default();
    roster.insert(runner(0, 0));
    roster.record_leaving(&id, Some(FIRST_INCARNATION));
    assert!(roster.record_incarnation(&id, Incarnation(FIRST_INCARNATION.0 + 1)));
    assert_eq!(roster.list_plain(&service).len(), 1);
}

#[test]
fn an_entry_of_an_earlier_moment_of_a_life_is_passed_over() {
    let told = |orders, life, staged: &[&str]| Runner {
        orders,
        incarnation: life,
        staged: staged.iter().map(|model| model.parse().unwrap()).collect(),
        ..runner(0, 0)
    };
    let mut roster = Roster::default();
    roster.insert(told(Some(3), Some(FIRST_INCARNATION), &["large"]));
    assert_eq!(roster.insert(told(Some(2), Some(FIRST_INCARNATION), &[])), Update::Outdated);
    assert_eq!(roster.get(&runner(0, 0).id).unwrap().staged.len(), 1);
    assert_eq!(
        roster.insert(told(Some(3), Some(FIRST_INCARNATION), &[])),
        Update::Current,
        "a change without an order"
    );
    assert_eq!(roster.insert(told(None, Some(FIRST_INCARNATION), &[])), Update::Current, "it does not say");
    // In a later life it counts anew, and where lives are not told nothing can be concluded.
    roster.insert(told(Some(3), Some(FIRST_INCARNATION), &[]));
    assert_eq!(
        roster.insert(told(Some(0), Some(Incarnation(FIRST_INCARNATION.0 + 1)), &[])),
        Update::Restarted
    );
    assert_eq!(roster.insert(told(Some(4), None, &[])), Update::Current);
    assert_eq!(roster.insert(told(Some(1), None, &[])), Update::Current);
}
