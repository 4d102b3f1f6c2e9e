//! Requests under failures, run against stand-ins of the platform's store and runners.

mod common;

use std::collections::HashSet;

use common::{Fleet, KEY, spend_retry};
use cottoncrank::{Millis, id};
use cottoncrank_fleet::directory::{Millicores, Peer};
use cottoncrank_fleet::settings::Settings;
use cottoncrank_node::answer::Refusal;
use cottoncrank_node::state::Node;
use cottoncrank_platform_standin::caller::{
    CallerRequest, DEFAULT_DEADLINE_MS, is_ready, read_to_end, send_request_within,
};
use cottoncrank_platform_standin::operator::{ENGINES, ONCE, READ, STREAM, config};
use cottoncrank_platform_standin::runner::{EVENTS_PER_STREAM, Fault};
use cottoncrank_platform_standin::store;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn all_events() -> Vec<u64> {
    (0..EVENTS_PER_STREAM).collect()
}

#[tokio::test]
async fn a_stream_is_delivered_whole_and_the_runner_receives_the_account_but_no_key() {
    let fleet = Fleet::serving(1).await;
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert!(answer.is_signed("r1"), "{answer:?}");
    assert_eq!(answer.events(), all_events());
    let seen: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.requests()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].account.as_deref(), seen[0].has_key), (Some("acme"), false));
}

#[tokio::test]
async fn a_node_without_configuration_refuses_requests_and_is_not_ready() {
    let fleet = Fleet::unconfigured(1).await;
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    assert!(!is_ready(fleet.nodes[0].ready).await.unwrap());
}

#[tokio::test]
async fn unknown_routes_and_keys_are_refused_and_run_nothing() {
    let fleet = Fleet::serving(1).await;
    assert_eq!(fleet.ask("/nowhere/", "r1").await.status, 404);
    assert_eq!(fleet.ask_with(READ, "r2", "stolen").await.status, 401);
    assert_eq!(fleet.count_runs("r1") + fleet.count_runs("r2"), 0);
}

#[tokio::test]
async fn a_broken_stream_resumes_at_another_group_after_its_last_complete_event() {
    let fleet = Fleet::serving(1).await;
    for at in 0..EVENTS_PER_STREAM {
        for (number, head) in fleet.heads().into_iter().enumerate() {
            head.set_fault(if number == 0 { Fault::Broken(at) } else { Fault::None });
        }
        // The group is picked at random, so this repeats until the broken one is picked.
        for turn in 0..40 {
            let request = format!("r-{at}-{turn}");
            let answer = fleet.ask(STREAM, &request).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
            assert_eq!(answer.events(), all_events(), "broken within event {at}");
            if fleet.count_runs(&request) == 2 {
                break;
            }
            assert!(turn < 39, "the broken group was never picked");
        }
    }
}

#[tokio::test]
async fn answers_to_other_requests_and_truncated_answers_never_reach_the_caller() {
    let fleet = Fleet::serving(1).await;
    for (number, fault) in [Fault::Foreign, Fault::Short, Fault::Lost].into_iter().enumerate() {
        for runner in &fleet.plain {
            runner.set_fault(fault);
        }
        let request = format!("r-{number}");
        let answer = fleet.ask(ONCE, &request).await;
        assert_eq!(
            answer.status, 502,
            "{fault:?}: the request may have run, so 503 would be wrong: {answer:?}"
        );
        assert!(!answer.is_signed(&request));
        assert_eq!(fleet.count_runs(&request), 1, "{fault:?}: the request must not run twice");
    }
}

#[tokio::test]
async fn an_idempotent_request_is_retried_on_another_runner() {
    let fleet = Fleet::serving(1).await;
    for fault in [Fault::Foreign, Fault::Short, Fault::Full] {
        fleet.plain[0].set_fault(fault);
        for turn in 0..6 {
            let request = format!("r-{fault:?}-{turn}");
            let answer = fleet.ask(READ, &request).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{fault:?}: {answer:?}");
            assert_eq!(answer.body, format!("done {request}"));
        }
    }
}

#[tokio::test]
async fn a_request_that_no_runner_ran_is_reported_as_not_run() {
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
async fn an_unreachable_member_is_replaced_and_its_requests_run_elsewhere() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0].id().to_owned();
    let unreachable = fleet.engines.iter().find(|engine| engine.id() == head).unwrap();
    unreachable.set_fault(Fault::Unresponsive);
    for turn in 0..8 {
        let answer = fleet.ask(STREAM, &format!("r-{turn}")).await;
        assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    }
    fleet
        .wait("two other groups are open", |fleet| {
            fleet.all_know(2) && fleet.heads().iter().filter(|open| open.id() != head).count() == 2
        })
        .await;
}

/// How long a runner that pauses answers nothing.
const PAUSE: Millis = Millis(1000);

#[tokio::test]
async fn the_group_of_a_member_that_pauses_for_a_second_stands() {
    let fleet = Fleet::serving(1).await;
    let head = fleet.heads()[0];
    let place = head.membership();
    head.set_fault(Fault::Unresponsive);
    tokio::time::sleep(PAUSE.duration()).await;
    head.set_fault(Fault::None);
    // A decision that was made in the meantime reaches the runner within this time.
    tokio::time::sleep(PAUSE.duration()).await;
    assert_eq!(head.membership(), place);
}

/// Guards against groups that are taken apart, and streams that are cut with them, because a process pauses.
#[tokio::test]
async fn the_group_of_a_member_that_pauses_for_nearly_two_seconds_stands() {
    for pause in [Millis(1600), Millis(1900)] {
        for turn in 0..3 {
            let fleet = Fleet::serving(1).await;
            let head = fleet.heads()[0];
            let place = head.membership();
            // The pauses begin at different times of a round of probes.
            tokio::time::sleep(Millis(turn * 300).duration()).await;
            head.set_fault(Fault::Unresponsive);
            tokio::time::sleep(pause.duration()).await;
            head.set_fault(Fault::None);
            tokio::time::sleep(PAUSE.duration()).await;
            assert_eq!(head.membership(), place, "after {pause}, turn {turn}");
        }
    }
}

#[tokio::test]
async fn a_draining_member_closes_its_group_and_receives_no_new_requests() {
    let fleet = Fleet::serving(1).await;
    let draining = fleet.heads()[0].id().to_owned();
    let runner = fleet.engines.iter().find(|engine| engine.id() == draining).unwrap();
    runner.drain();
    fleet.wait("the group of the runner is closed", |_| !runner.is_open()).await;
    let before = runner.requests().len();
    for turn in 0..10 {
        assert_eq!(fleet.ask(STREAM, &format!("r-{turn}")).await.status, 200);
    }
    assert_eq!(runner.requests().len(), before);
    fleet.wait("another group is open", |fleet| fleet.all_know(2)).await;
}

#[tokio::test]
async fn a_revoked_key_is_refused_by_every_node() {
    let fleet = Fleet::serving(2).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 200);
    fleet.store.configure(&config(2, &["key-2"]));
    fleet
        .wait("version 2 is in force on both nodes", |fleet| {
            let version = |running: &common::Running| {
                running.node.catalog.lock().as_ref().map(|catalog| catalog.version)
            };
            fleet.nodes.iter().all(|running| version(running) == Some(2))
        })
        .await;
    assert_eq!(fleet.ask(READ, "r2").await.status, 401);
    assert_eq!(fleet.ask_with(READ, "r3", "key-2").await.status, 200);
    // An older configuration that reappears in the store is ignored.
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
async fn without_the_store_keys_are_accepted_for_a_limited_time() {
    let fleet = Fleet::serving(2).await;
    fleet.store.set_fault(store::Fault::Silent);
    assert_eq!(fleet.ask(READ, "r1").await.status, 200, "a node keeps serving from its cached configuration");
    fleet.wait("no node trusts its keys", |fleet| fleet.nodes.iter().all(|r| !r.node.trusts_keys())).await;
    let answer = fleet.ask(READ, "r2").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(fleet.count_runs("r2"), 0);
    assert!(!is_ready(fleet.nodes[0].ready).await.unwrap());
    fleet.store.set_fault(store::Fault::None);
    fleet.wait("the keys are trusted again", |fleet| fleet.nodes.iter().all(|r| r.node.trusts_keys())).await;
    assert_eq!(fleet.ask(READ, "r3").await.status, 200);
}

#[tokio::test]
async fn without_a_revocation_bound_known_keys_are_accepted_throughout_an_outage() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.wait("the node does not trust its keys", |_| !node.trusts_keys()).await;
    assert_eq!(fleet.ask(READ, "r1").await.status, 503, "the revocation bound is in force");
    let mut settings = Settings::clone(&node.settings());
    settings.bounds.revoke = None;
    node.set_settings(settings);
    assert_eq!(fleet.ask(READ, "r2").await.status, 200);
    // A newer configuration that this node has not received may contain the key or the route.
    assert_eq!(fleet.ask_with(READ, "r3", "key-unknown").await.status, 503);
    assert_eq!(fleet.count_runs("r3"), 0);
    assert_eq!(fleet.ask("/nowhere/", "r4").await.status, 503);
    assert!(is_ready(fleet.nodes[0].ready).await.unwrap());
}

#[tokio::test]
async fn a_draining_node_is_not_ready_and_completes_the_requests_it_accepts() {
    let fleet = Fleet::serving(1).await;
    assert!(is_ready(fleet.nodes[0].ready).await.unwrap());
    fleet.nodes[0].node.draining.send_replace(true);
    assert!(!is_ready(fleet.nodes[0].ready).await.unwrap());
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.header("connection"), Some("close"));
    // Once the load balancer must have noticed, the node accepts no new connections.
    fleet.nodes[0].node.closed.send_replace(true);
    fleet
        .wait("the port is closed", |fleet| std::net::TcpStream::connect(fleet.nodes[0].callers).is_err())
        .await;
}

#[tokio::test]
async fn a_request_above_the_limit_is_refused_at_once_and_has_not_run() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let assert_refused = async |request: &str| {
        let answer = fleet.ask(STREAM, request).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
        assert_eq!(fleet.count_runs(request), 0);
    };
    // The limit of this node is reached, and each slot of both groups is in use twice.
    let model_key = ("engines".parse().unwrap(), Some("m1".parse().unwrap()));
    let mut admissions = Vec::new();
    while let Some(admitted) = node.admit(&model_key, Millis(0), || None).await {
        admissions.push(admitted);
    }
    let heads: Vec<_> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    let attempts: Vec<_> = heads.iter().flat_map(|head| (0..8).map(|_| node.begin_attempt(head))).collect();
    assert_refused("r0").await;
    drop(attempts);
    let answer = fleet.ask(STREAM, "r1").await;
    assert_eq!(answer.status, 200, "free slots in the fleet take precedence over the limit of one node");
    // The limit applies when the fleet load is unknown.
    for name in ["node-8", "node-9"] {
        let address = "127.0.0.1:9".parse().unwrap();
        let (name, hall) = (name.parse().unwrap(), "hall-a".parse().unwrap());
        node.directory.lock().insert(Peer { node: name, hall, address, processor: Millicores(1000) });
    }
    fleet
        .wait("the fleet load covers one node of three", |_| !node.fleet_load.lock().is_usable(node.now()))
        .await;
    assert_refused("r2").await;
    drop(admissions);
    assert_eq!(fleet.ask(STREAM, "r3").await.status, 200);
}

#[tokio::test]
async fn a_failed_connection_to_a_runner_costs_no_retry() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    let head = fleet.heads()[0];
    let (id, nowhere) = (head.id().parse().unwrap(), "127.0.0.1:9".parse().unwrap());
    head.advertise(nowhere);
    let has_new_address = |fleet: &Fleet| {
        let roster = fleet.nodes[0].node.roster.lock();
        roster.get(&id).is_some_and(|runner| runner.address == nowhere)
    };
    fleet.wait("the node knows the new address", has_new_address).await;
    while spend_retry(node, ENGINES) {}
    // One of the two requests is sent to this runner, because each is sent to a head that has no
    // request of this node.
    let (one, other) = tokio::join!(fleet.ask(STREAM, "r1"), fleet.ask(STREAM, "r2"));
    assert_eq!((one.status, other.status), (200, 200));
    assert!(!spend_retry(node, ENGINES), "no retry was added to the budget meanwhile");
}

#[tokio::test]
async fn callers_with_different_deadlines_are_served_with_the_same_priority() {
    let fleet = Fleet::serving(1).await;
    let (node, callers) = (&fleet.nodes[0].node, fleet.nodes[0].callers);
    // Three of four slots are in use at each group.
    let heads: Vec<_> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    let attempts: Vec<_> = heads.iter().flat_map(|head| (0..3).map(|_| node.begin_attempt(head))).collect();
    let waits = [
        DEFAULT_DEADLINE_MS,
        DEFAULT_DEADLINE_MS / 2,
        DEFAULT_DEADLINE_MS - 2000,
        DEFAULT_DEADLINE_MS / 3,
        DEFAULT_DEADLINE_MS,
    ];
    for (number, wait) in waits.into_iter().enumerate() {
        let answer = send_request_within(callers, STREAM, &format!("r{number}"), KEY, wait).await.unwrap();
        assert_eq!(answer.status, 200, "a caller with a timeout of {wait} ms: {answer:?}");
    }
    drop(attempts);
    let priorities: HashSet<_> =
        fleet.engines.iter().flat_map(|engine| engine.requests()).map(|seen| seen.priority).collect();
    assert_eq!(priorities.len(), 1, "{priorities:?}");
}

#[tokio::test]
async fn a_request_waits_while_the_node_reads_the_store_for_the_first_time() {
    let fleet = Fleet::unconfigured(1).await;
    let node = &fleet.nodes[0].node;
    fleet.wait("the store is read", |_| node.is_synced()).await;
    // A node that has read the store does not wait, even if an item is missing.
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
    // A node that cannot read the store stops waiting at the timeout.
    Node::new(Settings::clone(&node.settings())).wait_synced(Millis(20)).await;
}

#[test]
fn callers_refused_together_get_retry_times_spread_over_a_second() {
    let delays: Vec<f64> = (0..200)
        .map(|_| {
            let answer = Refusal::Full { running: 7, wait: None, retry: None }.to_answer(Some("r"));
            answer.headers()["retry-after"].to_str().unwrap().parse().unwrap()
        })
        .collect();
    assert!(delays.iter().all(|delay| (1.5..=2.5).contains(delay)), "{delays:?}");
    let tenths: HashSet<u64> = delays.iter().map(|delay| (delay * 10.0) as u64).collect();
    assert!(tenths.len() >= 8, "the delays do not cover the second: {tenths:?}");
}

#[tokio::test]
async fn requests_are_served_when_the_collector_does_not_answer() {
    let fleet = Fleet::serving(1).await;
    let node = &fleet.nodes[0].node;
    // This peer is queried first, because it has the most processor time.
    let address = "127.0.0.1:9".parse().unwrap();
    let (name, hall) = ("node-9".parse().unwrap(), "hall-a".parse().unwrap());
    node.directory.lock().insert(Peer { node: name, hall, address, processor: Millicores(8000) });
    for request in ["r1", "r2", "r3"] {
        assert_eq!(fleet.ask(STREAM, request).await.status, 200);
    }
    assert_eq!(fleet.count_runs("r1") + fleet.count_runs("r2") + fleet.count_runs("r3"), 3);
}

#[tokio::test]
async fn the_collector_of_a_hall_routes_requests_of_all_nodes_away_from_full_groups() {
    let fleet = Fleet::serving(3).await;
    let heads: Vec<id::Runner> = fleet.heads().iter().map(|head| head.id().parse().unwrap()).collect();
    // One node uses all slots of a group; the node that receives the requests uses none.
    let attempts: Vec<_> = (0..4).map(|_| fleet.nodes[1].node.begin_attempt(&heads[0])).collect();
    let has_reports = |fleet: &Fleet| {
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
    fleet.wait("the collector has reports of both other nodes and of the full group", has_reports).await;
    let other = fleet.engines.iter().find(|engine| engine.id() == heads[1].as_str()).unwrap();
    for number in 0..6 {
        let request = format!("r{number}");
        assert_eq!(fleet.ask(STREAM, &request).await.status, 200);
        let ran = other.requests().iter().any(|seen| seen.executed && seen.request == request);
        assert!(ran, "{request} went to the full group");
    }
    drop(attempts);
}

/// Guards against cut streams that look complete, because their end is the end of the connection.
#[tokio::test]
async fn a_stream_is_refused_to_a_caller_whose_protocol_cannot_show_a_cut() {
    let fleet = Fleet::serving(1).await;
    let request = |path| {
        let (request, deadline_ms) = (path, DEFAULT_DEADLINE_MS);
        CallerRequest { path, request, key: KEY, deadline_ms, body: "", prompt: "" }.format()
    };
    for (path, status) in [(STREAM, 505), (READ, 200)] {
        let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.unwrap();
        let request = request(path).replace("HTTP/1.1", "HTTP/1.0");
        stream.write_all(request.as_bytes()).await.unwrap();
        let answer = read_to_end(&mut stream).await;
        assert_eq!((answer.status, answer.complete), (status, true), "{path}: {answer:?}");
    }
}
