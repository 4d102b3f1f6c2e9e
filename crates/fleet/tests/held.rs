//! Members that are held too long by a decider that remembers nothing, because all nodes were lost.
//!
//! Its roster has the entries of the living runners only: members that ended have none any more. What the
//! plan says, and what probes find, is all that it knows of them. The wait for the stall time is needed where
//! the head may be cut off and still open, and only there.

mod instant;

use std::collections::HashSet;

use cottoncrank::{Millis, id};
use cottoncrank_fleet::decide::Step;
use cottoncrank_fleet::loss::STALL_MARGIN;
use cottoncrank_fleet::memory::Memory;
use cottoncrank_fleet::order::Order;
use cottoncrank_fleet::places;
use cottoncrank_fleet::plan::{Group, State};
use cottoncrank_fleet::probe::{Answer, MIN_MISSES, Observation, Probes};
use cottoncrank_fleet::roster::Roster;
use cottoncrank_fleet::runner::{Incarnation, Runner};
use cottoncrank_fleet::stall::Stalls;
use cottoncrank_fleet::waits::Takeover;
use instant::{FIRST_INCARNATION, STALL, World, at_rest};

/// The time between two planning steps.
const STEP: Millis = Millis(200);

/// What a node observes at the addresses of runners that have no entry; it observes a sound runner at all
/// others.
type Observed<'a> = &'a [(&'a id::Runner, Observation)];

/// Replaces all nodes: what is not in the plan or in an entry is forgotten. `gone` have no entry any more.
fn lose_all_nodes(world: &mut World, gone: &[id::Runner]) {
    let living: Vec<Runner> =
        world.roster.iter().filter(|runner| !gone.contains(&runner.id)).cloned().collect();
    world.roster = Roster::default();
    world.roster.replace(living, world.now);
    (world.memory, world.probes) = (Memory::default(), Probes::default());
}

/// Records one round of probes to the members of groups that the node has an address of, by an entry or by
/// the plan.
fn probe_known(world: &mut World, observed: Observed) {
    let members: Vec<id::Runner> = world.groups().flat_map(|group| group.members.clone()).collect();
    let known =
        members.into_iter().filter(|id| places::find(world.plans.values(), &world.roster, id).is_some());
    let (listed, unlisted): (Vec<id::Runner>, Vec<id::Runner>) =
        known.partition(|id| world.roster.get_last_known(id).is_some());
    let answer = |runner: id::Runner| {
        let found = observed.iter().find(|(id, _)| **id == runner);
        let reported = found.map_or(Observation::Pace(1.0), |(_, reported)| *reported);
        let incarnation = world.reported_incarnations.get(&runner).copied();
        Answer { hall: "hall-a".parse().unwrap(), reported, incarnation, asked: 1, runner }
    };
    let listed: Vec<Answer> = listed.into_iter().map(answer).collect();
    let unlisted: Vec<Answer> = unlisted.into_iter().map(answer).collect();
    world.probes.record_rounds(&listed, &unlisted);
}

/// Probes and plans once, and executes the orders. Nodes read the plans that were written.
fn advance(world: &mut World, observed: Observed, stalls: &mut Stalls) -> Step {
    probe_known(world, observed);
    let step = world.step();
    world.execute(&step);
    stalls.update(&world.plans, world.now);
    world.now = world.now + STEP;
    step
}

fn is_planned(world: &World, group: &Group) -> bool {
    world.groups().any(|known| known.epoch == group.epoch)
}

fn is_ordered_to_leave(step: &Step, member: &id::Runner, group: &Group) -> bool {
    step.orders.contains(&(member.clone(), Order::Leave(group.name.clone(), group.epoch)))
}

/// The process of the head is known to have ended: nothing runs in the group, so nothing is waited for.
#[test]
fn members_are_free_after_one_round_of_probes_where_another_runner_has_the_address_of_the_head() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    lose_all_nodes(&mut world, std::slice::from_ref(&head));
    advance(&mut world, &[(&head, Observation::Gone)], &mut Stalls::default());
    assert!(!is_planned(&world, &group), "its members are still held");
}

/// The same for another member: it need not be probed twice to be known to have ended.
#[test]
fn the_head_is_ordered_to_leave_after_one_round_where_another_runner_has_the_address_of_a_member() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let member = group.members[2].clone();
    lose_all_nodes(&mut world, std::slice::from_ref(&member));
    let step = advance(&mut world, &[(&member, Observation::Gone)], &mut Stalls::default());
    assert!(is_ordered_to_leave(&step, &group.members[0], &group), "{:?}", step.orders);
    advance(&mut world, &[(&member, Observation::Gone)], &mut Stalls::default());
    assert!(!is_planned(&world, &group), "the head has left");
}

/// A head that answers, and is cut off from the store only, takes its order to leave.
#[test]
fn a_head_without_an_entry_that_answers_a_new_decider_is_ordered_to_leave() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let (head, member) = (group.members[0].clone(), group.members[3].clone());
    lose_all_nodes(&mut world, &[head.clone(), member.clone()]);
    let observed = [(&head, Observation::Pace(1.0)), (&member, Observation::Gone)];
    let mut ordered = false;
    for _ in 0..3 {
        let step = advance(&mut world, &observed, &mut Stalls::default());
        ordered |= is_ordered_to_leave(&step, &head, &group);
    }
    assert!(ordered, "its members would be held for the whole stall time");
    assert!(is_planned(&world, &group), "it has not left yet");
    let leave = Order::Leave(group.name.clone(), group.epoch);
    world.memory.record_acknowledged(&head, None, &leave, world.now);
    advance(&mut world, &observed, &mut Stalls::default());
    assert!(!is_planned(&world, &group), "it has left");
}

/// The head is out of reach and may be open: the stall time counts once, from the first moment at which a
/// member is known to have ended, and a second decider goes on with it.
#[test]
fn the_stall_time_counts_from_when_a_member_is_first_known_to_have_ended_whichever_decider_saw_it() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let (head, member) = (group.members[0].clone(), group.members[3].clone());
    let observed = [(&head, Observation::Unreachable), (&member, Observation::Gone)];
    lose_all_nodes(&mut world, &[head.clone(), member.clone()]);
    let mut stalls = Stalls::default();
    let known_at = world.now;
    // The first decider ends after its plan is written, before any order is sent.
    probe_known(&mut world, &observed);
    world.step();
    stalls.update(&world.plans, world.now);
    world.now = world.now + Millis(2000);
    (world.memory, world.probes) = (Memory::resume(&stalls), Probes::default());
    while world.now < known_at + STALL {
        advance(&mut world, &observed, &mut stalls);
        assert!(is_planned(&world, &group), "the head may be open, {} later", world.now.since(known_at));
    }
    world.now = known_at + STALL + STALL_MARGIN;
    advance(&mut world, &observed, &mut stalls);
    assert!(!is_planned(&world, &group), "the wait began anew");
}

/// Refused connections do not show that a process has ended: the runner may be cut off in that way.
#[test]
fn members_are_held_for_the_whole_stall_time_where_connections_to_the_head_are_refused() {
    for reported in [Observation::Refused, Observation::Unreachable, Observation::Silent] {
        let mut world = at_rest(6);
        let group = world.find("large");
        let head = group.members[0].clone();
        lose_all_nodes(&mut world, std::slice::from_ref(&head));
        let began = world.now;
        while world.now < began + STALL {
            advance(&mut world, &[(&head, reported)], &mut Stalls::default());
            assert!(is_planned(&world, &group), "{reported:?}, {} later", world.now.since(began));
        }
    }
}

/// A round in which the new runner at the address of a head is late does not make it unknown again that the
/// head has ended.
#[test]
fn a_runner_that_answers_late_once_does_not_bring_back_the_head_that_had_its_address() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    lose_all_nodes(&mut world, std::slice::from_ref(&head));
    probe_known(&mut world, &[(&head, Observation::Gone)]);
    probe_known(&mut world, &[(&head, Observation::Silent)]);
    advance(&mut world, &[(&head, Observation::Unreachable)], &mut Stalls::default());
    assert!(!is_planned(&world, &group), "its members are held again");
}

/// A runner that is back under its id, and reports no incarnation, may be planned again: its new group must
/// not be retired for the end of its former process.
#[test]
fn a_runner_that_answers_again_under_its_id_is_not_taken_for_ended() {
    let mut world = at_rest(6);
    let member = world.find("large").members[2].clone();
    probe_known(&mut world, &[(&member, Observation::Gone)]);
    assert!(world.probes.is_gone(&member));
    probe_known(&mut world, &[]);
    assert!(!world.probes.is_gone(&member));
    world.step();
    assert_eq!(world.count("large"), 6);
}

/// A member that has no entry and answers in a later incarnation has started again since the group was
/// planned, which only the plan and the answer show.
#[test]
fn a_head_without_an_entry_that_answers_in_a_later_incarnation_has_ended() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    lose_all_nodes(&mut world, std::slice::from_ref(&head));
    let later = Incarnation(FIRST_INCARNATION.0 + 300);
    world.reported_incarnations.insert(head.clone(), later);
    advance(&mut world, &[], &mut Stalls::default());
    assert!(!is_planned(&world, &group), "its members are still held");
}

/// A group of which no member has an entry is not taken for forgotten while a member answers: that one may
/// still depend on an open head, so it leaves first.
#[test]
fn a_member_without_an_entry_that_answers_is_ordered_to_leave_before_the_stall_time_counts() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let members = group.members.clone();
    lose_all_nodes(&mut world, &members);
    let observed: Vec<(&id::Runner, Observation)> = members
        .iter()
        .map(|id| (id, if *id == members[1] { Observation::Pace(1.0) } else { Observation::Unreachable }))
        .collect();
    let leave = Order::Leave(group.name.clone(), group.epoch);
    let mut ordered = false;
    let began = world.now;
    while world.now < began + STALL + STALL_MARGIN + Millis(2000) {
        let step = advance(&mut world, &observed, &mut Stalls::default());
        ordered |= step.orders.contains(&(members[1].clone(), leave.clone()));
        assert!(is_planned(&world, &group), "{} later no member has left", world.now.since(began));
    }
    assert!(ordered);
    let left_at = world.now;
    world.memory.record_acknowledged(&members[1], None, &leave, left_at);
    while world.now < left_at + STALL {
        advance(&mut world, &observed, &mut Stalls::default());
        assert!(is_planned(&world, &group), "the head may be open, {} later", world.now.since(left_at));
    }
    world.now = left_at + STALL + STALL_MARGIN;
    advance(&mut world, &observed, &mut Stalls::default());
    assert!(!is_planned(&world, &group));
}

/// The same for a group that an earlier decider retired: the next one has probed nobody when it plans first.
#[test]
fn a_retired_group_without_entries_is_not_taken_for_stalled_before_its_members_were_probed() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let mut planned = world.plans.values_mut().flat_map(|plan| &mut plan.groups);
    planned.find(|planned| planned.epoch == group.epoch).unwrap().state = State::Lost;
    lose_all_nodes(&mut world, &group.members);
    world.step();
    probe_known(&mut world, &[]);
    world.step();
    assert_eq!((world.count_waits().unreachable, world.count_waits().stalled), (1, 0));
}

/// What is held, and why, can be told from the log.
#[test]
fn the_waits_of_held_groups_are_told() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let (head, member) = (group.members[0].clone(), group.members[3].clone());
    lose_all_nodes(&mut world, &[head.clone(), member.clone()]);
    let observed = [(&head, Observation::Unreachable), (&member, Observation::Gone)];
    let mut stalls = Stalls::default();
    advance(&mut world, &observed, &mut stalls);
    let waits = world.count_waits();
    assert_eq!(
        waits.to_string(),
        "1 retired groups are held: 0 finish their requests, 0 have a head that is to leave, 0 one out of \
         reach, 1 are stalled, the first for 200ms, the last for 6100ms more"
    );
    advance(&mut world, &observed, &mut stalls);
    assert!(waits.is_same(&world.count_waits()), "only the time has passed");
    let takeover = Takeover::count(&world.plans, &stalls, world.now);
    assert_eq!((takeover.retired, takeover.still, takeover.known), (1, 1, 1));
    assert_eq!(takeover.longest, Millis(400));
}

/// Guards against a runner that answered and is forgotten while its next probe is under way.
#[test]
fn an_answer_is_kept_while_the_next_probe_is_under_way() {
    let mut probes = Probes::default();
    let runner: id::Runner = "r1".parse().unwrap();
    let answer = Answer {
        runner: runner.clone(),
        hall: "hall-a".parse().unwrap(),
        reported: Observation::Gone,
        incarnation: None,
        asked: 1,
    };
    probes.record_rounds(&[], &[answer]);
    probes.set_in_flight(HashSet::from([runner.clone()]));
    probes.record_rounds(&[], &[]);
    assert!(probes.is_gone(&runner));
    probes.set_in_flight(HashSet::new());
    probes.record_rounds(&[], &[]);
    assert!(!probes.is_gone(&runner));
}

/// The silence of a head counts from before the term: a node that waits to become the decider has probed it.
/// Without that, a group is held for as long as six probes take after the election.
#[test]
fn a_head_that_was_silent_while_the_node_waited_for_its_term_is_known_to_be_when_it_begins() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let head = group.members[0].clone();
    // The copy of the store has the entry of the head.
    lose_all_nodes(&mut world, &[]);
    for _ in 0..MIN_MISSES {
        probe_known(&mut world, &[(&head, Observation::Silent)]);
    }
    world.probes.begin_term();
    let step = world.step();
    assert!(is_ordered_to_leave(&step, &group.members[1], &group), "{:?}", step.orders);
    assert!(is_planned(&world, &group), "the head may be open");
}

/// A head that answers the last probe before the term, or that has missed fewer than six, keeps its group.
#[test]
fn a_head_that_paused_while_the_node_waited_for_its_term_keeps_its_group() {
    for answers_last in [false, true] {
        let mut world = at_rest(6);
        let group = world.find("large");
        let head = group.members[0].clone();
        lose_all_nodes(&mut world, &[]);
        for _ in 0..MIN_MISSES - 1 {
            probe_known(&mut world, &[(&head, Observation::Silent)]);
        }
        if answers_last {
            probe_known(&mut world, &[]);
        }
        world.probes.begin_term();
        let step = world.step();
        assert!(!is_ordered_to_leave(&step, &group.members[1], &group), "{:?}", step.orders);
    }
}

/// The plans that the term begins with may name members that the node did not know while it waited. That they
/// were not probed then says nothing of them.
#[test]
fn a_member_that_was_not_probed_before_the_term_is_not_taken_for_gone_when_it_begins() {
    let mut world = at_rest(6);
    let group = world.find("large");
    let member = group.members[2].clone();
    lose_all_nodes(&mut world, std::slice::from_ref(&member));
    let living: Vec<id::Runner> = group.members.iter().filter(|id| **id != member).cloned().collect();
    let answers: Vec<Answer> = living
        .into_iter()
        .map(|runner| Answer {
            runner,
            hall: "hall-a".parse().unwrap(),
            reported: Observation::Pace(1.0),
            incarnation: None,
            asked: 1,
        })
        .collect();
    for _ in 0..3 {
        world.probes.record_rounds(&answers, &[]);
    }
    world.probes.begin_term();
    let step = world.step();
    assert!(!is_ordered_to_leave(&step, &group.members[0], &group), "{:?}", step.orders);
}
