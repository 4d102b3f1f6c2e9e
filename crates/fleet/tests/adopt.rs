//! Adoption of groups that serve but whose plan was lost, on a simulated clock.

mod instant;

use cottoncrank_fleet::adopt::{Adoption, adopt};
use cottoncrank_fleet::plan::{Document, Group, Plans};
use cottoncrank_fleet::runner::Epoch;
use instant::{World, at_rest, runner};

fn find_adoption(world: &World, plans: &Plans) -> Adoption {
    adopt(std::slice::from_ref(&world.service), &world.roster, plans)
}

fn sort(groups: &[Group]) -> Vec<&Group> {
    let mut groups: Vec<&Group> = groups.iter().collect();
    groups.sort_by_key(|group| group.epoch);
    groups
}

#[test]
fn groups_in_no_plan_are_adopted_unchanged() {
    let world = at_rest(3);
    let adoption = find_adoption(&world, &Plans::new());
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
fn nothing_is_adopted_if_no_plan_was_lost() {
    let world = at_rest(3);
    assert_eq!(find_adoption(&world, &world.plans), Adoption::default());
}

#[test]
fn a_planned_former_group_of_adopted_members_is_dropped() {
    let world = at_rest(1);
    let (domain, planned) = world.plans.iter().next().unwrap();
    // The plan before the last group was formed: its members were in another group.
    let last = sort(&planned.groups).pop().unwrap().clone();
    let mut groups: Vec<Group> =
        planned.groups.iter().filter(|group| group.epoch != last.epoch).cloned().collect();
    let top = Epoch(last.epoch.0 - 1);
    let former = Group { name: "former".parse().unwrap(), epoch: Epoch(1), ..last.clone() };
    groups.push(former);
    let older = Plans::from([(domain.clone(), Document { top, groups, version: 4, ..Document::default() })]);
    let adoption = find_adoption(&world, &older);
    let [(_, found)] = &adoption.plans[..] else { panic!("{adoption:?}") };
    assert!(found.groups.contains(&last));
    assert!(found.groups.iter().all(|group| group.name.as_str() != "former"));
    assert_eq!((found.check(), found.version), (Ok(()), 4));
}

#[test]
fn a_domain_with_an_incomplete_group_is_not_adopted() {
    let mut world = at_rest(2);
    let missing = runner(0, 0).id;
    assert!(world.groups().any(|group| group.members.contains(&missing)));
    world.roster.remove(&missing, world.now);
    let adoption = find_adoption(&world, &Plans::new());
    assert_eq!(adoption.incomplete.len(), 1, "{adoption:?}");
    let adopted = adoption.plans.iter().flat_map(|(_, plan)| &plan.groups);
    assert!(adopted.clone().count() > 0);
    assert!(adopted.clone().all(|group| !group.members.contains(&missing)));
}
