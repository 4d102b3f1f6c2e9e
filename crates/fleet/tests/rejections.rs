//! Heads in good health turned all requests away, without a word on for how long. Nodes passed them
//! over, and their groups stood idle for as long as that lasted: with six runners in ten that did so
//! for 20 s, a tenth of all requests was refused, while the other members of these groups could have
//! been heads.
//!
//! What showed it were the counts of a played day, 821 of 5,703 tries turned away, and the rule by
//! which groups are given up: one counted as whole as long as its members were in health. Now the deciding node hears from all nodes who is turned away, and puts another
//! member at the head of a group that serves nobody.

mod instant;

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::plan::Group;
use cottoncrank_fleet::rejections::Table;
use cottoncrank_fleet::runner::Phase;
use instant::{World, at_rest};

/// A fleet in which the head of a group turns requests away, with so many in flight there. All
/// others are half full.
fn rejecting(group: &Group, running: u32) -> World {
    let mut world = at_rest(6);
    world.refusing = [group.members[0].clone()].into();
    let mut in_flight: Counts = world.groups().map(|other| (other.epoch, 5)).collect();
    in_flight.insert(group.epoch, running);
    world.in_flight = Some(in_flight);
    world
}

/// The group that a runner is in.
fn find_group_of(world: &World, runner: &id::Runner) -> Option<Group> {
    world.groups().find(|group| group.members.contains(runner) && !group.is_retired()).cloned()
}

#[test]
fn another_runner_becomes_the_head_of_a_group_that_is_turned_away() {
    for model in ["large", "small"] {
        let group = at_rest(6).find(model);
        let mut world = rejecting(&group, 1);
        let before: Vec<Group> = world.groups().cloned().collect();
        world.run(10);
        let is_new = |known: &&Group| known.model == group.model && !before.contains(known);
        let formed = world.groups().find(is_new).unwrap_or_else(|| panic!("{model}: none is formed anew"));
        assert!(!world.refusing.contains(&formed.members[0]), "{model}: {formed:?}");
        assert_eq!(world.phase(&formed.members[0]), Some(Phase::Open), "{model}");
    }
}

#[test]
fn a_group_that_is_full_keeps_its_head() {
    let group = at_rest(6).find("large");
    let mut world = rejecting(&group, 10);
    world.run(10);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
    // Neither is it closed where nobody knows what is in flight.
    world.in_flight = None;
    world.run(10);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
}

#[test]
fn a_group_whose_members_all_turn_requests_away_is_left_alone() {
    let group = at_rest(6).find("small");
    let mut world = rejecting(&group, 0);
    world.refusing = world.roster.iter().map(|runner| runner.id.clone()).collect::<BTreeSet<_>>();
    world.run(20);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
}

#[test]
fn who_is_turned_away_is_told_on_once_and_forgotten_when_nobody_says_so_any_more() {
    let (one, two): (id::Runner, id::Runner) = ("r1".parse().unwrap(), "r2".parse().unwrap());
    let mut table = Table::default();
    for now in (0..2000).step_by(500) {
        table.record(&one, true, Millis(now));
        table.record(&two, false, Millis(now));
    }
    let now = Millis(1500);
    assert_eq!(table.list(now).count(), 2);
    assert_eq!(table.list_local(now).collect::<Vec<_>>(), [&one], "others have told of the other one");
    assert_eq!(table.list_persistent(now).count(), 2);
    assert_eq!(table.list(Millis(3000)).count(), 0);
    table.record(&one, true, Millis(4000));
    assert_eq!(table.list_persistent(Millis(4000)).count(), 0, "it has begun anew");
}
