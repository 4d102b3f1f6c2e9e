//! Retirement of groups, release of their members and formation of new ones, on a simulated clock.

mod instant;

use std::collections::HashSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::decide::Step;
use cottoncrank_fleet::loss::STALL_MARGIN;
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::{Order, REPEAT_INTERVAL};
use cottoncrank_fleet::orders::UNSEEN_HEAD_GRACE;
use cottoncrank_fleet::plan::Group;
use cottoncrank_fleet::probe::Probes;
use cottoncrank_fleet::runner::{Membership, Phase};
use cottoncrank_fleet::stall::Stalls;
use instant::{STALL, World, at_rest, runner};

#[test]
fn a_lost_member_is_replaced_by_the_staged_spare() {
    let mut world = at_rest(6);
    let spare = world.list_free()[0];
    let domain = spare.domain.clone().unwrap();
    let groups = world.plans[&domain].groups.iter();
    let group = groups.clone().find(|group| group.model.as_str() == "large").unwrap().clone();
    world.crash(&group.members[2]);
    world.run(4);
    assert_eq!(world.count("large"), 6);
    let formed = world.groups().find(|formed| {
        formed.members.contains(&group.members[0]) && formed.members.contains(&group.members[1])
    });
    let formed = formed.expect("the remaining members are in a new group");
    assert!(formed.epoch > group.epoch);
    assert_eq!(world.phase(&formed.members[0]), Some(Phase::Open));
}

#[test]
fn members_of_a_lost_head_are_held_until_its_group_must_have_broken() {
    let mut world = at_rest(6);
    let group = world.find("large");
    world.crash(&group.members[0]);
    world.run(1);
    let held = |world: &World| world.groups().any(|known| known.name == group.name && known.is_retired());
    assert!(held(&world));
    let until = world.now + STALL + STALL_MARGIN;
    while world.now + Millis(200) < until {
        world.run(1);
        assert!(held(&world), "released {} too early", until.since(world.now));
    }
    world.run(3);
    assert!(!held(&world));
}

#[test]
fn a_silent_head_is_treated_as_one_that_may_still_be_open() {
    let mut world = at_rest(6);
    let group = world.find("small");
    world.probe(&group.members[..1]);
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[1].clone(), leave.clone())));
    world.execute(&step);
    world.now = world.now + Millis(1000);
    world.step();
    assert!(world.groups().any(|known| known.name == group.name && known.is_retired()));
    // Once it answers again it is ordered to leave, and the members are free at once.
    world.probe(&[]);
    let step = world.step();
    assert!(step.orders.contains(&(group.members[0].clone(), leave)));
    world.execute(&step);
    world.now = world.now + Millis(200);
    world.step();
    assert!(!world.groups().any(|known| known.name == group.name));
}

#[test]
fn a_group_is_released_at_once_when_another_runner_answers_at_the_address_of_its_head() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let planned = |world: &World| world.groups().any(|known| known.name == group.name);
    // All members are lost, so no acknowledged order shows that the group is stalled.
    for id in &group.members {
        world.crash(id);
    }
    world.run(2);
    assert!(planned(&world), "the head may be cut off and still open");
    world.replaced.insert(group.members[0].clone());
    world.probe(&[]);
    world.run(1);
    assert!(!planned(&world), "the process of the head has ended");
}

#[test]
fn a_new_decider_waits_for_the_whole_stall_time() {
    let mut world = at_rest(6);
    let group = world.find("large");
    world.crash(&group.members[0]);
    world.run(10);
    world.memory = Memory::default();
    let taken_over = world.now;
    while world.now < taken_over + STALL {
        world.run(1);
        let held = world.groups().any(|known| known.name == group.name && known.is_retired());
        assert!(held, "the new decider cannot know how long the group has been stalled");
    }
}

#[test]
fn a_new_decider_counts_the_stall_time_from_when_it_read_that_the_group_is_stalled() {
    let mut world = at_rest(6);
    let group = world.find("large");
    world.crash(&group.members[0]);
    world.run(2);
    let mut stalls = Stalls::default();
    stalls.update(&world.plans, world.now);
    let read_at = world.now;
    // Several deciders are stopped in turn, each well before the group must have broken.
    for _ in 0..5 {
        world.memory = Memory::resume(&stalls);
        world.run(4);
        stalls.update(&world.plans, world.now);
    }
    while world.now < read_at + STALL {
        let held = world.groups().any(|known| known.name == group.name && known.is_retired());
        assert!(held, "after {} the head may still be open", world.now.since(read_at));
        world.run(1);
    }
    world.now = read_at + STALL + STALL_MARGIN;
    world.run(1);
    assert!(!world.groups().any(|known| known.name == group.name), "its members are free");
    stalls.update(&world.plans, world.now);
    assert_eq!(Memory::resume(&stalls).count_entries(), 0, "nothing about it is kept");
}

#[test]
fn a_draining_member_first_closes_the_head() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut leaving = world.roster.get(&group.members[3]).cloned().unwrap();
    leaving.draining = true;
    world.roster.insert(leaving);
    let step = world.step();
    let close = Order::Close(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), close)), "{:?}", step.orders);
    assert!(!step.orders.iter().any(|(_, order)| matches!(order, Order::Leave(..))));
    world.execute(&step);
    world.now = world.now + Millis(200);
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), leave)), "{:?}", step.orders);
}

#[test]
fn an_unanswered_order_is_repeated_only_after_the_repeat_interval() {
    let mut world = World::new(1);
    let first = world.step();
    assert!(!first.orders.is_empty());
    world.now = world.now + (REPEAT_INTERVAL - Millis(1));
    let joins = |step: &Step| {
        let joins = step.orders.iter().filter(|(_, order)| matches!(order, Order::Join(..)));
        joins.map(|(id, _)| id.clone()).collect::<HashSet<_>>()
    };
    let early = joins(&world.step());
    assert!(early.is_disjoint(&joins(&first)));
    world.now = world.now + Millis(1);
    assert!(joins(&world.step()).is_superset(&joins(&first)));
}

#[test]
fn a_runner_in_an_unplanned_group_is_ordered_to_leave() {
    let mut world = at_rest(6);
    let mut stray = world.list_free()[0].clone();
    let membership = Membership {
        group: "g0".parse().unwrap(),
        epoch: cottoncrank_fleet::runner::Epoch(0),
        rank: 1,
        phase: Phase::Joining,
    };
    stray.membership = Some(membership.clone());
    world.roster.insert(stray.clone());
    let step = world.step();
    assert!(step.orders.contains(&(stray.id, Order::Leave(membership.group, membership.epoch))));
}

#[test]
fn a_member_cut_off_only_from_the_store_keeps_its_group() {
    let mut world = at_rest(6);
    let (kept, lost) = (world.find("large"), world.find("small"));
    world.probe(&[]);
    world.remove_entry(&kept.members[2]);
    world.remove_entry(&lost.members[0]);
    world.step();
    let is_retired = |world: &World, group: &Group| {
        world.groups().all(|known| known.name != group.name || known.is_retired())
    };
    assert!(!is_retired(&world, &kept), "its members still answer");
    assert!(is_retired(&world, &lost), "a head without an entry must not get requests");
    world.probe(&kept.members[2..3]);
    world.step();
    assert!(is_retired(&world, &kept), "it does not answer either now");
}

#[test]
fn a_hall_that_is_cut_off_loses_no_group() {
    let mut world = at_rest(6);
    let members: Vec<id::Runner> = world.groups().flat_map(|group| group.members.clone()).collect();
    world.probe(&members);
    for member in &members {
        world.remove_entry(member);
    }
    let step = world.step();
    assert!(step.writes.is_empty(), "{:?}", step.writes.iter().map(|write| &write.2).collect::<Vec<_>>());
    assert_eq!((world.count("large"), world.count("small")), (6, 12));
}

#[test]
fn a_head_without_an_entry_that_answers_finishes_and_leaves_and_releases_its_members() {
    let mut world = at_rest(6);
    let group = world.find("large");
    world.probe(&[]);
    world.remove_entry(&group.members[0]);
    let step = world.step();
    let close = Order::Close(group.name.clone(), group.epoch);
    assert!(
        step.orders.contains(&(group.members[0].clone(), close)),
        "it finishes its requests first: {:?}",
        step.orders
    );
    world.now = world.now + UNSEEN_HEAD_GRACE;
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), leave.clone())), "{:?}", step.orders);
    world.memory.record_acknowledged(&group.members[0], None, &leave, world.now);
    world.now = world.now + Millis(200);
    world.step();
    assert!(!world.groups().any(|known| known.name == group.name));
}

#[test]
fn a_new_decider_probes_members_before_it_retires_a_group() {
    let mut world = at_rest(6);
    let group = world.find("large");
    world.remove_entry(&group.members[2]);
    world.memory = Memory::default();
    world.probes = Probes::default();
    world.step();
    assert!(world.groups().any(|known| known.name == group.name && !known.is_retired()));
    world.probe(&group.members[2..3]);
    world.step();
    assert!(world.groups().all(|known| known.name != group.name || known.is_retired()));
}

#[test]
fn a_slow_member_is_replaced_and_not_planned_while_it_is_slow() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let slow = group.members[1].clone();
    world.slow.insert(slow.clone());
    world.probe(&[]);
    let step = world.step();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    assert!(step.orders.contains(&(group.members[0].clone(), leave)), "its streams are resumed elsewhere");
    world.execute(&step);
    world.run(20);
    assert_eq!(world.count("large"), 6);
    assert!(world.groups().all(|known| known.is_retired() || !known.members.contains(&slow)));
}

#[test]
fn memory_of_lost_runners_and_groups_is_pruned() {
    let mut world = at_rest(6);
    let mut early = 0;
    for turn in 0..60 {
        // A member is lost and an empty runner is added: the size of the fleet stays the same.
        let victim = world.find(if turn % 2 == 0 { "large" } else { "small" }).members[1].clone();
        let domain = world.roster.get(&victim).unwrap().domain.clone();
        world.crash(&victim);
        let mut fresh = runner(0, 100 + turn);
        fresh.domain = domain;
        world.roster.insert(fresh);
        world.run(40);
        world.now = world.now + Millis(60_000);
        world.run(1);
        if turn == 20 {
            early = world.memory.count_entries();
        }
    }
    let late = world.memory.count_entries();
    assert!(late <= early + early / 4, "it grows from {early} to {late}");
}

#[test]
fn a_group_whose_entries_are_all_gone_holds_its_members_while_the_head_may_be_open() {
    let mut world = at_rest(1);
    world.hang_loads = true;
    let group = world.find("small");
    let (head, member) = (group.members[0].clone(), group.members[1].clone());
    let returning = world.roster.get(&member).unwrap().clone();
    for id in &group.members {
        world.remove_entry(id);
    }
    world.probe(&[]);
    world.run(3);
    // The entry of the member returns first. The head may still be open: it was not reached.
    world.roster.insert(returning);
    world.probe(std::slice::from_ref(&head));
    world.run(5);
    let is_planned = |world: &World| world.groups().any(|g| !g.is_retired() && g.members.contains(&member));
    assert!(!is_planned(&world), "{:?}", world.plans);
    // Without its member the group breaks after the stall time, and another runner is added.
    world.roster.insert(runner(0, 50));
    world.hang_loads = false;
    world.now = world.now + STALL + STALL_MARGIN;
    world.probe(&[head]);
    world.run(10);
    assert!(is_planned(&world), "{:?}", world.plans);
}

/// Guards against closing a small group that serves, for runners that are about to be free.
///
/// A member of a large group left, and the group was closed and released. Until its members had
/// executed their leave orders they were neither planned nor free, and only the two spare runners
/// counted, so a small group was closed to complete a large one. A moment later the members and one
/// spare runner completed it. With a head that is replaced, the same steps gave the reasons
/// `release g1`, `retire g2 of small: large lacks 2 more runners`, and then
/// `form g19 of large with r0-1 r0-2 r0-3 r0-8`.
#[test]
fn no_small_group_is_closed_for_runners_that_are_about_to_be_free() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut leaving = world.roster.get(&group.members[2]).unwrap().clone();
    leaving.draining = true;
    world.roster.insert(leaving);
    let others = world.count("small");
    for round in 0..10 {
        world.run(1);
        assert_eq!(world.count("small"), others, "round {round}");
    }
    assert_eq!(world.count("large"), 6, "a spare runner replaces the draining one");
}
