//! Requests under failure, against the platform's stand-ins.

mod common;

use std::collections::HashSet;

use common::{Fleet, KEY};
use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Millicores, Peer};
use cottoncrank_fleet::settings::Settings;
use cottoncrank_node::answer::Refusal;
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{WAIT_MS, ask_ready, ask_waiting};
use cottoncrank_platform_standin::operator::{ONCE, READ, STREAM, config};
use cottoncrank_platform_standin::runner::{EVENTS, Fault};
use cottoncrank_platform_standin::store;

fn all_events() -> Vec<u64> {
    (0..EVENTS).collect()
}

#[tokio::test]
async fn a_stream_passes_whole_and_the_runner_learns_the_account_only() {
    let fleet = Fleet::serving(1).await;
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert!(answer.is_signed("r1"), "{answer:?}");
    assert_eq!(answer.events(), all_events());
    let seen: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.seen()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].account.as_deref(), seen[0].key), (Some("acme"), false));
}

#[tokio::test]
async fn a_node_without_configuration_refuses_what_it_cannot_judge() {
    let fleet = Fleet::unconfigured(1).await;
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    assert!(!ask_ready(fleet.nodes[0].ready).await.unwrap());
}

#[tokio::test]
async fn unknown_routes_and_keys_are_refused_and_run_nothing() {
    let fleet = Fleet::serving(1).await;
    assert_eq!(fleet.ask("/nowhere/", "r1").await.status, 404);
    assert_eq!(fleet.ask_with(READ, "r2", "stolen").await.status, 401);
    assert_eq!(fleet.count_runs("r1") + fleet.count_runs("r2"), 0);
}

#[tokio::test]
async fn a_broken_stream_goes_on_at_another_group_after_its_last_whole_event() {
    let fleet = Fleet::serving(1).await;
    for at in 0..EVENTS {
        for (number, head) in fleet.heads().into_iter().enumerate() {
            head.set_fault(if number == 0 { Fault::Broken(at) } else { Fault::None });
        }
        // The group is picked at random: until the broken one was it.
        for turn in 0..40 {
            let request = format!("r-{at}-{turn}");
            let answer = fleet.ask(STREAM, &request).await;
            assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
            assert_eq!(answer.events(), all_events(), "broken within event {at}");
            if fleet.count_runs(&request) == 2 {
                break;
            }
            assert!(turn < 39, "the broken group was never picked");
        }
    }
}

#[tokio::test]
async fn answers_of_other_requests_and_short_ones_never_reach_the_caller() {
    let fleet = Fleet::serving(1).await;
    for (number, fault) in [Fault::Foreign, Fault::Short, Fault::Lost].into_iter().enumerate() {
        for runner in &fleet.plain {
            runner.set_fault(fault);
        }
        let request = format!("r-{number}");
        let answer = fleet.ask(ONCE, &request).await;
        assert_eq!(answer.status, 502, "{fault:?}: it may have run, and 503 would deny that: {answer:?}");
        assert!(!answer.is_signed(&request));
        assert_eq!(fleet.count_runs(&request), 1, "{fault:?}: it must not run twice");
    }
}

#[tokio::test]
async fn a_repeatable_request_is_sent_to_another_runner() {
    let fleet = Fleet::serving(1).await;
    for fault in [Fault::Foreign, Fault::Short, Fault::Full] {
        fleet.plain[0].set_fault(fault);
        for turn in 0..6 {
            let request = format!("r-{fault:?}-{turn}");
            let answer = fleet.ask(READ, &request).await;
            assert_eq!((answer.status, answer.whole), (200, true), "{fault:?}: {answer:?}");
            assert_eq!(answer.body, format!("done {request}"));
        }
    }
}

#[tokio::test]
async fn what_no_runner_ran_is_said_not_to_have_run() {
    let fleet = Fleet::serving(1).await;
    for runner in &fleet.plain {
        runner.set_fault(Fault::Full);
    }
    let answer = fleet.ask(ONCE, "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fleet.count_runs("r1"), 0);
}

#[tokio::test]
async fn a_dark_member_is_replaced_and_its_requests_go_elsewhere() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0].id().to_owned();
    let dark = fleet.engines.iter().find(|engine| engine.id() == head).unwrap();
    dark.set_fault(Fault::Dark);
    for turn in 0..8 {
        let answer = fleet.ask(STREAM, &format!("r-{turn}")).await;
        assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    }
    fleet
        .wait("two other groups are open", |fleet| {
            fleet.all_know(2) && fleet.heads().iter().filter(|open| open.id() != head).count() == 2
        })
        .await;
}

#[tokio::test]
async fn a_leaving_member_ends_its_group_and_gets_no_new_requests() {
    let fleet = Fleet::serving(1).await;
    let leaving = fleet.heads()[0].id().to_owned();
    let runner = fleet.engines.iter().find(|engine| engine.id() == leaving).unwrap();
    runner.drain();
    fleet.wait("its group is closed", |_| !runner.is_open()).await;
    let before = runner.seen().len();
    for turn in 0..10 {
        assert_eq!(fleet.ask(STREAM, &format!("r-{turn}")).await.status, 200);
    }
    assert_eq!(runner.seen().len(), before);
    fleet.wait("another group is open", |fleet| fleet.all_know(2)).await;
}

#[tokio::test]
async fn a_key_taken_away_is_refused_by_every_node() {
    let fleet = Fleet::serving(2).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 200);
    fleet.store.configure(&config(2, &["key-2"]));
    fleet
        .wait("version 2 is in force on both", |fleet| {
            let version = |running: &common::Running| {
                running.node.catalog.lock().as_ref().map(|catalog| catalog.version)
            };
            fleet.nodes.iter().all(|running| version(running) == Some(2))
        })
        .await;
    assert_eq!(fleet.ask(READ, "r2").await.status, 401);
    assert_eq!(fleet.ask_with(READ, "r3", "key-2").await.status, 200);
    // An older configuration that turns up again changes nothing.
    fleet.store.configure(&config(1, &[KEY]));
    fleet.store.configure(&config(3, &["key-3"]));
    fleet
        .wait("version 3 is in force", |fleet| {
            fleet.nodes[0].node.catalog.lock().as_ref().is_some_and(|catalog| catalog.version == 3)
        })
        .await;
    assert_eq!(fleet.ask(READ, "r4").await.status, 401);
}

#[tokio::test]
async fn without_the_store_keys_are_honoured_for_a_while_and_no_longer() {
    let fleet = Fleet::serving(2).await;
    fleet.store.set_fault(store::Fault::Silent);
    assert_eq!(fleet.ask(READ, "r1").await.status, 200, "a node goes on with what it knows");
    fleet.wait("no node trusts its keys", |fleet| fleet.nodes.iter().all(|r| !r.node.trusts_keys())).await;
    let answer = fleet.ask(READ, "r2").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(fleet.count_runs("r2"), 0);
    assert!(!ask_ready(fleet.nodes[0].ready).await.unwrap());
    fleet.store.set_fault(store::Fault::None);
    fleet.wait("the keys are trusted again", |fleet| fleet.nodes.iter().all(|r| r.node.trusts_keys())).await;
    assert_eq!(fleet.ask(READ, "r3").await.status, 200);
}

#[tokio::test]
async fn where_no_bound_is_strict_known_keys_are_honoured_all_through_an_outage() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.wait("the node does not trust its keys", |_| !node.trusts_keys()).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 503, "the bound is strict here");
    let mut settings = Settings::clone(&node.settings());
    settings.bounds.revoke = None;
    node.set_settings(settings);
    assert_eq!(fleet.ask(READ, "r2").await.status, 200);
    // A newer configuration, which this node cannot know of, may have the key or the route.
    assert_eq!(fleet.ask_with(READ, "r3", "key-unknown").await.status, 503);
    assert_eq!(fleet.count_runs("r3"), 0);
    assert_eq!(fleet.ask("/nowhere/", "r4").await.status, 503);
    assert!(ask_ready(fleet.nodes[0].ready).await.unwrap());
}

#[tokio::test]
async fn a_node_that_is_to_stop_says_so_and_finishes_what_it_takes() {
    let fleet = Fleet::serving(1).await;
    assert!(ask_ready(fleet.nodes[0].ready).await.unwrap());
    fleet.nodes[0].node.draining.send_replace(true);
    assert!(!ask_ready(fleet.nodes[0].ready).await.unwrap());
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.header("connection"), Some("close"));
    // Once the balancer must have noticed, nothing new is taken, on no connection.
    fleet.nodes[0].node.closed.send_replace(true);
    fleet
        .wait("the port is closed", |fleet| std::net::TcpStream::connect(fleet.nodes[0].callers).is_err())
        .await;
}

#[tokio::test]
async fn a_request_above_the_limit_is_refused_at_once_and_has_not_run() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let refused = async |request: &str| {
        let answer = fleet.ask(STREAM, request).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
        assert_eq!(fleet.count_runs(request), 0);
    };
    // The limit of this node is reached, and each slot of both groups is taken twice.
    let lane = ("engines".parse().unwrap(), Some("m1".parse().unwrap()));
    let mut held = Vec::new();
    while let Some(admitted) = node.admit(&lane, Millis(0), || None).await {
        held.push(admitted);
    }
    let heads: Vec<_> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    let taken: Vec<_> = heads.iter().flat_map(|head| (0..8).map(|_| node.begin_attempt(head))).collect();
    refused("r0").await;
    drop(taken);
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!(answer.status, 200, "the fleet has room, which goes before the limit of one node");
    // Where nobody knows how busy the groups are, the limit counts.
    for name in ["node-8", "node-9"] {
        let address = "127.0.0.1:9".parse().unwrap();
        let (name, hall) = (name.parse().unwrap(), "hall-a".parse().unwrap());
        node.directory.lock().insert(Peer { node: name, hall, address, processor: Millicores(1000) });
    }
    fleet.wait("the view covers one node of three", |_| !node.fleet_load.lock().is_usable(node.now())).await;
    refused("r2").await;
    drop(held);
    assert_eq!(fleet.ask(STREAM, "r3").await.status, 200);
}

#[tokio::test]
async fn a_runner_that_is_not_reached_costs_no_retry() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let head = fleet.heads()[0];
    let (id, nowhere) = (head.id().parse().unwrap(), "127.0.0.1:9".parse().unwrap());
    head.advertise(nowhere);
    let moved = |fleet: &Fleet| {
        let roster = fleet.nodes[0].node.roster.lock();
        roster.get(&id).is_some_and(|runner| runner.address == nowhere)
    };
    fleet.wait("the node knows the new address", moved).await;
    while node.retry_budget.lock().withdraw() {}
    // One of the two meets it, for each goes to a head without a request of this node.
    let (one, other) = tokio::join!(fleet.ask(STREAM, "r1"), fleet.ask(STREAM, "r2"));
    assert_eq!((one.status, other.status), (200, 200));
    assert!(!node.retry_budget.lock().withdraw(), "nothing was saved up meanwhile");
}

#[tokio::test]
async fn callers_that_wait_for_different_times_are_served_alike() {
    let fleet = Fleet::serving(1).await;
    let (node, callers) = (&fleet.nodes[0].node, fleet.nodes[0].callers);
    // Three of four slots are taken at each group.
    let heads: Vec<_> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    let taken: Vec<_> = heads.iter().flat_map(|head| (0..3).map(|_| node.begin_attempt(head))).collect();
    let waits = [WAIT_MS, WAIT_MS / 2, WAIT_MS - 2000, WAIT_MS / 3, WAIT_MS];
    for (number, wait) in waits.into_iter().enumerate() {
        let answer = ask_waiting(callers, STREAM, &format!("r{number}"), KEY, wait).await.unwrap();
        assert_eq!(answer.status, 200, "a caller that waits for {wait} ms: {answer:?}");
    }
    drop(taken);
    let urgencies: HashSet<_> =
        fleet.engines.iter().flat_map(|engine| engine.seen()).map(|seen| seen.priority).collect();
    assert_eq!(urgencies.len(), 1, "{urgencies:?}");
}

#[tokio::test]
async fn a_request_waits_while_the_node_reads_the_store_for_the_first_time() {
    let fleet = Fleet::unconfigured(1).await;
    let node = &fleet.nodes[0].node;
    fleet.wait("the store is read", |_| node.is_synced()).await;
    // A node that has read it does not wait for what is not there.
    node.wait_synced(Millis(3_600_000)).await;
    let fresh = Node::new(Settings::clone(&node.settings()));
    let waiting = {
        let fresh = fresh.clone();
        tokio::spawn(async move { fresh.wait_synced(Millis(3_600_000)).await })
    };
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished());
    fresh.set_synced();
    waiting.await.unwrap();
    // One that never gets there answers all the same.
    Node::new(Settings::clone(&node.settings())).wait_synced(Millis(20)).await;
}

#[test]
fn callers_that_are_refused_together_come_back_one_after_the_other() {
    let times: Vec<f64> = (0..200)
        .map(|_| {
            let answer = Refusal::Full { running: 7, wait: None }.to_answer(Some("r"));
            answer.headers()["retry-after"].to_str().unwrap().parse().unwrap()
        })
        .collect();
    assert!(times.iter().all(|time| (1.5..=2.5).contains(time)), "{times:?}");
    let tenths: HashSet<u64> = times.iter().map(|time| (time * 10.0) as u64).collect();
    assert!(tenths.len() >= 8, "they are spread over the whole second: {tenths:?}");
}

#[tokio::test]
async fn a_collector_that_does_not_answer_is_done_without() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    // It would be asked first, for it has the most processor time.
    let address = "127.0.0.1:9".parse().unwrap();
    let (name, hall) = ("node-9".parse().unwrap(), "hall-a".parse().unwrap());
    node.directory.lock().insert(Peer { node: name, hall, address, processor: Millicores(8000) });
    for request in ["r1", "r2", "r3"] {
        assert_eq!(fleet.ask(STREAM, request).await.status, 200);
    }
    assert_eq!(fleet.count_runs("r1") + fleet.count_runs("r2") + fleet.count_runs("r3"), 3);
}

#[tokio::test]
async fn the_collector_of_a_hall_keeps_requests_of_all_its_nodes_off_full_groups() {
    let fleet = Fleet::serving(3).await;
    let heads: Vec<id::Runner> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    // One node has all slots of a group in use; the one that is asked has none.
    let taken: Vec<_> = (0..4).map(|_| fleet.nodes[1].node.begin_attempt(&heads[0])).collect();
    let knows = |fleet: &Fleet| {
        let first = &fleet.nodes[0].node;
        let hall = first.settings().hall.clone();
        let collector = first.directory.lock().list_collectors(&hall)[0].node.clone();
        let Some(running) = fleet.nodes.iter().find(|running| running.node.settings().node == collector)
        else {
            return false;
        };
        let node = &running.node;
        let loads = node.reports.lock().sum_loads(&node.sum_in_flight(), node.now());
        node.reports.lock().count_nodes(node.now()) == 2 && loads.values().any(|load| load.running == 4)
    };
    fleet.wait("the collector hears of both others, and of the full group", knows).await;
    let other = fleet.engines.iter().find(|engine| engine.id() == heads[1].as_str()).unwrap();
    for number in 0..6 {
        let request = format!("r{number}");
        assert_eq!(fleet.ask(STREAM, &request).await.status, 200);
        let ran = other.seen().iter().any(|seen| seen.run && seen.request == request);
        assert!(ran, "{request} went to the full group");
    }
    drop(taken);
}
