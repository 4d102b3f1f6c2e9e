//! Groups that serve and whose plan was lost, on a set clock.

mod instant;

use cottoncrank_fleet::adopt::{Adoption, adopt};
use cottoncrank_fleet::plan::{Document, Group, Plans};
use cottoncrank_fleet::runner::Epoch;
use instant::{World, at_rest, runner};

fn find(world: &World, plans: &Plans) -> Adoption {
    adopt(std::slice::from_ref(&world.service), &world.roster, plans)
}

fn sort(groups: &[Group]) -> Vec<&Group> {
    let mut groups: Vec<&Group> = groups.iter().collect();
    groups.sort_by_key(|group| group.epoch);
    groups
}

#[test]
fn groups_in_no_plan_are_adopted_as_they_stand() {
    let world = at_rest(3);
    let adoption = find(&world, &Plans::new());
    assert!(adoption.incomplete.is_empty(), "{adoption:?}");
    assert_eq!(adoption.plans.len(), world.plans.len());
    for (domain, found) in &adoption.plans {
        let planned = &world.plans[domain];
        assert_eq!(sort(&found.groups), sort(&planned.groups));
        assert_eq!(found.top, found.groups.iter().map(|group| group.epoch).max().unwrap());
        assert_eq!(found.check(), Ok(()));
    }
}

#[test]
fn where_no_plan_was_lost_nothing_is_adopted() {
    let world = at_rest(3);
    assert_eq!(find(&world, &world.plans), Adoption::default());
}

#[test]
fn a_former_group_of_its_members_is_dropped() {
    let world = at_rest(1);
    let (domain, planned) = world.plans.iter().next().unwrap();
    // As of before the last forming: its members stood in another group then.
    let last = sort(&planned.groups).pop().unwrap().clone();
    let mut groups: Vec<Group> =
        planned.groups.iter().filter(|group| group.epoch != last.epoch).cloned().collect();
    let top = Epoch(last.epoch.0 - 1);
    let former = Group { name: "former".parse().unwrap(), epoch: Epoch(1), ..last.clone() };
    groups.push(former);
    let older = Plans::from([(domain.clone(), Document { top, groups, version: 4 })]);
    let adoption = find(&world, &older);
    let [(_, found)] = &adoption.plans[..] else { panic!("{adoption:?}") };
    assert!(found.groups.contains(&last));
    assert!(found.groups.iter().all(|group| group.name.as_str() != "former"));
    assert_eq!((found.check(), found.version), (Ok(()), 4));
}

#[test]
fn a_domain_with_a_group_that_is_seen_in_part_is_left_alone() {
    let mut world = at_rest(2);
    let missing = runner(0, 0).id;
    assert!(world.groups().any(|group| group.members.contains(&missing)));
    world.roster.remove(&missing, world.now);
    let adoption = find(&world, &Plans::new());
    assert_eq!(adoption.incomplete.len(), 1, "{adoption:?}");
    let whole = adoption.plans.iter().flat_map(|(_, plan)| &plan.groups);
    assert!(whole.clone().count() > 0);
    assert!(whole.clone().all(|group| !group.members.contains(&missing)));
}
