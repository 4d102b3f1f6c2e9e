//! Guards against groups that serve nothing because their head rejects all requests.
//!
//! Healthy heads rejected all requests without a retry time. Nodes avoided them, and their groups were idle
//! for as long as that lasted. When six runners in ten did so for 20 s, a tenth of all requests was
//! rejected, although other members could have been heads. In one simulated day, 821 of 5,703 attempts were
//! rejected. Groups were retired only if a member was unhealthy. Now nodes report rejections to the decider,
//! which makes another member the head of a group that serves nothing.

mod instant;

use std::collections::BTreeSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::occupancy::Counts;
use cottoncrank_fleet::plan::Group;
use cottoncrank_fleet::rejections::Table;
use cottoncrank_fleet::runner::Phase;
use instant::{World, at_rest};

/// Returns a fleet in which the head of a group rejects requests while `running` are in flight there. All
/// other groups are half full.
fn rejecting(group: &Group, running: u32) -> World {
    let mut world = at_rest(6);
    world.rejecting = [group.members[0].clone()].into();
    let mut in_flight: Counts = world.groups().map(|other| (other.epoch, 5)).collect();
    in_flight.insert(group.epoch, running);
    world.in_flight = Some(in_flight);
    world
}

/// Returns the group of a runner.
fn find_group_of(world: &World, runner: &id::Runner) -> Option<Group> {
    world.groups().find(|group| group.members.contains(runner) && !group.is_retired()).cloned()
}

#[test]
fn another_runner_becomes_the_head_of_a_group_whose_head_rejects_requests() {
    for model in ["large", "small"] {
        let group = at_rest(6).find(model);
        let mut world = rejecting(&group, 1);
        let before: Vec<Group> = world.groups().cloned().collect();
        world.run(10);
        let is_new = |known: &&Group| known.model == group.model && !before.contains(known);
        let formed = world.groups().find(is_new).unwrap_or_else(|| panic!("{model}: no new group is formed"));
        assert!(!world.rejecting.contains(&formed.members[0]), "{model}: {formed:?}");
        assert_eq!(world.phase(&formed.members[0]), Some(Phase::Open), "{model}");
    }
}

#[test]
fn a_group_that_is_full_keeps_its_head() {
    let group = at_rest(6).find("large");
    let mut world = rejecting(&group, 10);
    world.run(10);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
    // It is not closed either if the in-flight requests are unknown.
    world.in_flight = None;
    world.run(10);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
}

#[test]
fn a_group_whose_members_all_reject_requests_is_kept() {
    let group = at_rest(6).find("small");
    let mut world = rejecting(&group, 0);
    world.rejecting = world.roster.iter().map(|runner| runner.id.clone()).collect::<BTreeSet<_>>();
    world.run(20);
    assert_eq!(find_group_of(&world, &group.members[0]).map(|known| known.epoch), Some(group.epoch));
}

#[test]
fn rejections_are_passed_on_once_and_expire_without_further_reports() {
    let (one, two): (id::Runner, id::Runner) = ("r1".parse().unwrap(), "r2".parse().unwrap());
    let mut table = Table::default();
    for now in (0..2000).step_by(500) {
        table.record(&one, true, Millis(now));
        table.record(&two, false, Millis(now));
    }
    let now = Millis(1500);
    assert_eq!(table.list(now).count(), 2);
    assert_eq!(
        table.list_local(now).collect::<Vec<_>>(),
        [&one],
        "the other one was reported by another hall"
    );
    assert_eq!(table.list_persistent(now).count(), 2);
    assert_eq!(table.list(Millis(3000)).count(), 0);
    table.record(&one, true, Millis(4000));
    assert_eq!(table.list_persistent(Millis(4000)).count(), 0, "its reports were interrupted");
}
