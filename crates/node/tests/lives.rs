//! Runners that start again under their id, met by running nodes.

mod common;

use common::Fleet;
use cottoncrank::id;
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM};
use cottoncrank_platform_standin::runner::{self, Runner};

fn life(fleet: &Fleet, runner: &Runner) -> Vec<Option<Incarnation>> {
    let id: id::Runner = runner.id().parse().unwrap();
    fleet.nodes.iter().map(|running| running.node.roster.lock().get_last_known(&id)?.incarnation).collect()
}

fn is_planned(fleet: &Fleet, epoch: u64) -> bool {
    let node = &fleet.nodes[0].node;
    node.plans.lock().values().flat_map(|plan| &plan.groups).any(|group| group.epoch.0 == epoch)
}

#[tokio::test]
async fn a_group_whose_member_or_head_started_again_is_formed_anew_and_serves() {
    for from_end in [false, true] {
        let fleet = Fleet::serving(2).await;
        let head = fleet.heads()[0];
        let place = head.place().unwrap();
        let members = head.history().last().unwrap().members.clone();
        let member = if from_end { members.last() } else { members.first() }.unwrap();
        let restarted = fleet.engines.iter().find(|engine| engine.id() == member).unwrap();
        restarted.restart();
        fleet.wait("the group of the former life is over", |fleet| !is_planned(fleet, place.epoch)).await;
        fleet.wait("two groups serve", |fleet| fleet.all_know(2) && fleet.heads().len() == 2).await;
        for request in 0..8 {
            let answer = fleet.ask(STREAM, &format!("r{request}")).await;
            assert_eq!((answer.status, answer.whole), (200, true), "{member}");
        }
    }
}

#[tokio::test]
async fn a_new_life_is_known_by_its_report_before_its_entry_tells() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0];
    let place = head.place().unwrap();
    let before = life(&fleet, head);
    head.crash();
    head.revive();
    fleet.wait("the new life is known", |fleet| life(fleet, head) > before).await;
    fleet.wait("its group is over", |fleet| !is_planned(fleet, place.epoch)).await;
    head.enter();
    fleet.wait("two groups serve", |fleet| fleet.all_know(2) && fleet.heads().len() == 2).await;
    assert_eq!(fleet.ask(STREAM, "r1").await.status, 200);
}

#[tokio::test]
async fn a_request_that_ran_in_a_former_life_is_not_sent_again_under_the_same_id() {
    let fleet = Fleet::serving(2).await;
    for runner in &fleet.plain {
        runner.set_fault(runner::Fault::Mute);
    }
    let restart = async {
        fleet.wait("it runs", |fleet| fleet.count_runs("r1") == 1).await;
        for runner in &fleet.plain {
            runner.set_fault(runner::Fault::None);
            runner.restart();
        }
    };
    let (answer, ()) = tokio::join!(fleet.ask(ONCE, "r1"), restart);
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    assert_eq!(fleet.count_runs("r1"), 1);
    fleet.wait("the runners are used again", |fleet| life(fleet, &fleet.plain[0])[0].is_some()).await;
    assert_eq!(fleet.ask(ONCE, "r2").await.status, 200);
    assert_eq!(fleet.ask(READ, "r3").await.status, 200);
}

#[tokio::test]
async fn a_stream_under_way_when_its_head_starts_again_goes_on_elsewhere() {
    let fleet = Fleet::serving(1).await;
    for engine in &fleet.engines {
        engine.set_pace(cottoncrank::Millis(100));
    }
    let restart = async {
        fleet.wait("it runs", |fleet| fleet.count_runs("r1") == 1).await;
        let ran = |head: &&Runner| head.seen().iter().any(|seen| seen.request == "r1");
        let heads = fleet.heads();
        heads.into_iter().find(ran).unwrap().restart();
    };
    let (answer, ()) = tokio::join!(fleet.ask(STREAM, "r1"), restart);
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
}
