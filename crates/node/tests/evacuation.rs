//! Evacuation of a hall on an operator's request, from the item in the store to the requests.
//!
//! What happened: no code read the request, so runners of a hall that was to get nothing got requests to the
//! end. Each test guards one way in which a node could go on sending them, or stop sending them elsewhere.

mod common;

use std::time::{Duration, Instant};

use common::{COLD_RATE, Fleet, KEY, count_heads, start_node};
use cottoncrank::resources::{Kind, Port, REQUEST};
use cottoncrank::{Millis, id};
use cottoncrank_fleet::fingerprint::{Fingerprint, Request};
use cottoncrank_node::attempt::{AttemptError, Job, Pick, send};
use cottoncrank_node::trace::Trace;
use cottoncrank_platform::header;
use cottoncrank_platform_standin::caller::{Answer, send_request};
use cottoncrank_platform_standin::operator::{ENGINES, HOST, PLAIN, READ, STREAM, config};
use cottoncrank_platform_standin::runner::Runner;
use cottoncrank_platform_standin::store::Fault;

/// The hall that the tests evacuate.
const HALL_A: &str = "hall-a";

/// The bound in the settings of the nodes.
const BOUND: Duration = Duration::from_secs(5);

/// The number of runners of `hall-b` that a fleet has at the end of its lists.
const ENGINES_B: usize = 2;
const PLAIN_B: usize = 1;

/// Starts a serving fleet whose runners are in `hall-a`, but for a group and a plain runner in `hall-b`.
async fn start_two_halls(nodes: usize) -> Fleet {
    let mut fleet = Fleet::unconfigured(nodes).await;
    for number in 0..ENGINES_B {
        let id = format!("f-{number}");
        fleet.engines.push(Runner::start(&fleet.store, &id, ENGINES, "hall-b", Some("d2")).unwrap());
    }
    fleet.plain.push(Runner::start(&fleet.store, "q-0", PLAIN, "hall-b", None).unwrap());
    fleet.store.configure(&config(1, &[KEY]));
    if nodes > 0 {
        fleet.wait("all nodes know three open groups", |fleet| fleet.all_know(3)).await;
    }
    fleet
}

fn hall_a() -> id::Hall {
    HALL_A.parse().unwrap()
}

fn is_closed_everywhere(fleet: &Fleet) -> bool {
    fleet.nodes.iter().all(|running| running.node.roster.lock().evacuations.is_closed(&hall_a()))
}

fn is_evacuated_nowhere(fleet: &Fleet) -> bool {
    fleet.nodes.iter().all(|running| !running.node.roster.lock().evacuations.contains(&hall_a()))
}

/// Writes the request, and returns once all nodes keep to it.
async fn evacuate(fleet: &Fleet) {
    let asked = Instant::now();
    fleet.store.evacuate(HALL_A, b"{}");
    fleet.wait("the hall is closed", is_closed_everywhere).await;
    assert!(asked.elapsed() < BOUND, "closed after {:?}", asked.elapsed());
}

/// Lists the runners of `hall-a`.
fn list_in_hall_a(fleet: &Fleet) -> impl Iterator<Item = &Runner> {
    let engines = &fleet.engines[..fleet.engines.len() - ENGINES_B];
    let plain = &fleet.plain[..fleet.plain.len() - PLAIN_B];
    engines.iter().chain(plain)
}

/// Counts the requests that runners of `hall-a` have received.
fn count_received(fleet: &Fleet) -> usize {
    list_in_hall_a(fleet).map(|runner| runner.requests().len()).sum()
}

/// Sends streams and plain requests to all nodes, and asserts that `hall-a` gets none and all are served.
async fn assert_avoided(fleet: &Fleet, name: &str) {
    let before = count_received(fleet);
    for number in 0..4 * fleet.nodes.len() {
        let callers = fleet.nodes[number % fleet.nodes.len()].callers;
        for path in [STREAM, READ] {
            let answer = send_request(callers, path, &format!("{name}-{number}{path}"), KEY).await.unwrap();
            assert_served(&answer);
        }
    }
    assert_eq!(count_received(fleet), before, "{name}: a request reached the hall");
}

fn assert_served(answer: &Answer) {
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
}

#[tokio::test]
async fn nothing_reaches_an_evacuated_hall_and_what_runs_there_ends() {
    let fleet = start_two_halls(2).await;
    for engine in &fleet.engines {
        engine.set_event_interval(Millis(400));
    }
    let mut running = tokio::task::JoinSet::new();
    for number in 0..8 {
        let callers = fleet.nodes[number % 2].callers;
        running
            .spawn(async move { send_request(callers, STREAM, &format!("s-{number}"), KEY).await.unwrap() });
    }
    fleet.wait("streams run in the hall", |fleet| count_received(fleet) > 0).await;
    evacuate(&fleet).await;
    while let Some(answer) = running.join_next().await {
        assert_served(&answer.unwrap());
    }
    for engine in &fleet.engines {
        engine.set_event_interval(Millis(10));
    }
    assert_avoided(&fleet, "evacuated").await;
    assert!(fleet.engines.iter().filter(|engine| engine.is_open()).count() == 3, "the hall stays warm");
    fleet.store.withdraw_evacuation(HALL_A);
    fleet.wait("the hall is taken back", |fleet| is_evacuated_nowhere(fleet) && fleet.all_know(3)).await;
    let before = count_received(&fleet);
    for number in 0..20 {
        assert_served(&fleet.ask(READ, &format!("back-{number}")).await);
    }
    assert!(count_received(&fleet) > before, "the hall gets requests again");
}

#[tokio::test]
async fn a_hall_that_is_taken_back_gets_requests_at_the_cold_rate() {
    // Its runners looked idle, so they got more than all others as soon as the request was withdrawn.
    let fleet = start_two_halls(1).await;
    fleet.configure_cold_starts().await;
    evacuate(&fleet).await;
    fleet.store.withdraw_evacuation(HALL_A);
    fleet.wait("the hall is taken back", |fleet| is_evacuated_nowhere(fleet) && fleet.all_know(3)).await;
    let count = || list_in_hall_a(&fleet).map(|runner| runner.requests().len()).collect::<Vec<usize>>();
    let (before, started) = (count(), Instant::now());
    for number in 0..40 {
        assert_served(&fleet.ask(READ, &format!("read-{number}")).await);
        assert_served(&fleet.ask(STREAM, &format!("stream-{number}")).await);
    }
    let bound = 1.5 * COLD_RATE * started.elapsed().as_secs_f64().max(1.0) + 5.0;
    let received: Vec<usize> = count().iter().zip(&before).map(|(after, before)| after - before).collect();
    assert!(received.iter().all(|count| *count as f64 <= bound), "{received:?}, at most {bound:.1} each");
}

#[tokio::test]
async fn an_evacuation_stays_in_force_while_the_store_is_away() {
    let fleet = start_two_halls(2).await;
    fleet.store.evacuate(HALL_A, b"{}");
    let is_known = |fleet: &Fleet| !is_evacuated_nowhere(fleet);
    fleet.wait("a node knows", is_known).await;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    // The store goes away within the hold.
    fleet.store.set_fault(Fault::Busy);
    fleet.wait("the hall is closed", is_closed_everywhere).await;
    assert_avoided(&fleet, "away").await;
}

#[tokio::test]
async fn an_evacuation_that_a_restore_loses_is_kept_and_also_by_nodes_that_start_then() {
    let mut fleet = start_two_halls(2).await;
    let copy = fleet.store.snapshot();
    evacuate(&fleet).await;
    fleet.store.restore(&copy);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.write_entry();
    }
    fleet.add_node().await;
    let knows_heads = |fleet: &Fleet| fleet.nodes.iter().all(|running| count_heads(&running.node) == 1);
    fleet.wait("all nodes know the group of the other hall", knows_heads).await;
    assert!(is_closed_everywhere(&fleet));
    assert_avoided(&fleet, "restored").await;
    // The operator writes the request again, and withdraws it later.
    fleet.store.evacuate(HALL_A, b"{}");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(is_closed_everywhere(&fleet));
    fleet.store.withdraw_evacuation(HALL_A);
    fleet.wait("the hall is taken back", is_evacuated_nowhere).await;
}

/// Operators withdraw what the store has lost already, which no node hears of.
#[tokio::test]
async fn an_evacuation_that_a_restore_loses_ends_by_itself_when_it_is_not_written_again() {
    let fleet = start_two_halls(2).await;
    let copy = fleet.store.snapshot();
    evacuate(&fleet).await;
    fleet.store.restore(&copy);
    for runner in fleet.engines.iter().chain(&fleet.plain) {
        runner.write_entry();
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(is_closed_everywhere(&fleet), "the operator may write it again");
    fleet.store.withdraw_evacuation(HALL_A);
    fleet.wait("the hall is taken back", |fleet| is_evacuated_nowhere(fleet) && fleet.all_know(3)).await;
    assert_served(&fleet.ask(READ, "back").await);
}

#[tokio::test]
async fn a_request_withdrawn_and_made_again_at_once_is_in_force() {
    let fleet = start_two_halls(2).await;
    evacuate(&fleet).await;
    fleet.store.withdraw_evacuation(HALL_A);
    fleet.store.evacuate(HALL_A, b"{}");
    // By the bound the nodes know both changes, and the second one counts.
    tokio::time::sleep(BOUND).await;
    assert!(is_closed_everywhere(&fleet));
    assert_avoided(&fleet, "again").await;
}

#[tokio::test]
async fn a_request_with_an_unreadable_value_counts() {
    let fleet = start_two_halls(1).await;
    fleet.store.evacuate(HALL_A, b"\xff{");
    fleet.wait("the hall is closed", is_closed_everywhere).await;
    assert_avoided(&fleet, "unreadable").await;
}

#[tokio::test]
async fn requests_for_an_unknown_hall_and_for_no_hall_change_nothing() {
    let fleet = start_two_halls(1).await;
    fleet.store.evacuate("hall-z", b"{}");
    fleet.store.evacuate("no hall!", b"{}");
    let table = |fleet: &Fleet| fleet.nodes[0].node.roster.lock().evacuations.clone();
    fleet.wait("the request is known", |fleet| table(fleet).has_closed()).await;
    assert_eq!(table(&fleet).iter().count(), 1, "what is no hall is no evacuation");
    assert!(fleet.all_know(3));
    assert_served(&fleet.ask(STREAM, "r1").await);
}

#[tokio::test]
async fn with_all_halls_evacuated_requests_are_refused_at_once_as_not_run() {
    let fleet = start_two_halls(1).await;
    fleet.store.evacuate("hall-b", b"{}");
    evacuate(&fleet).await;
    fleet.wait("no group is known", |fleet| fleet.all_know(0)).await;
    for path in [STREAM, READ] {
        let started = Instant::now();
        let answer = fleet.ask(path, "r1").await;
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.body.contains("under evacuation"), "{answer:?}");
        assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    }
    assert_eq!(fleet.count_runs("r1"), 0);
}

#[tokio::test]
async fn a_node_that_starts_during_an_evacuation_sends_nothing_to_the_hall() {
    // It cannot tell how old the request is, so it has no hold.
    let fleet = start_two_halls(1).await;
    evacuate(&fleet).await;
    let before = count_received(&fleet);
    let new_node = start_node(fleet.store.address(), 7, "hall-a").await;
    for number in 0..10 {
        let answer = send_request(new_node.callers, READ, &format!("new-{number}"), KEY).await.unwrap();
        assert!([200, 503].contains(&answer.status), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(count_received(&fleet), before);
}

#[tokio::test]
async fn a_read_of_the_whole_store_finds_the_requests() {
    // It read the configuration of the operators alone. A node that started by itself sent requests to the
    // hall, and a reader that missed compacted changes took the evacuation for withdrawn.
    let mut fleet = start_two_halls(0).await;
    fleet.store.evacuate(HALL_A, b"{}");
    fleet.add_node().await;
    fleet.wait("the node knows the other hall's group", |fleet| fleet.all_know(1)).await;
    assert!(is_closed_everywhere(&fleet));
    fleet.store.configure_and_compact(&config(2, &[KEY]));
    fleet.wait("the whole store is read again", |fleet| fleet.know_version(2)).await;
    assert!(is_closed_everywhere(&fleet));
    assert_avoided(&fleet, "compacted").await;
}

/// Returns a request for the plain service, as the node admits it.
fn build_job(fleet: &Fleet) -> Job {
    let node = &fleet.nodes[0].node;
    let catalog = node.catalog.lock().clone().unwrap();
    let request = hyper::Request::post("/read/x").header("Host", HOST).body(()).unwrap();
    let (head, ()) = request.into_parts();
    let now = node.now();
    let slot = node.resources.open(Port::Callers).unwrap();
    Job {
        terms: header::read_metadata(&head.headers),
        route: catalog.find_route(HOST, "/read/x").unwrap().clone(),
        service: PLAIN.parse().unwrap(),
        account: None,
        priority: 1,
        fingerprint: Fingerprint::of(&Request { account: None, method: "POST", path: "/read/x", body: b"" }),
        parts: Vec::new(),
        arrived: now,
        deadline: now + Millis(3000),
        trace: Trace::begin(now),
        body: Default::default(),
        room: slot.charge(REQUEST, Kind::Overhead).unwrap(),
        head,
        catalog,
    }
}

#[tokio::test]
async fn a_request_whose_connect_outlasts_the_closing_is_not_sent() {
    // The runner was picked while the hall was open; by the time its connection is there, it is closed.
    let fleet = start_two_halls(1).await;
    let node = &fleet.nodes[0].node;
    let picked = node.roster.lock().get(&fleet.plain[0].id().parse().unwrap()).unwrap().clone();
    let pick = Pick {
        id: picked.id.clone(),
        address: picked.address,
        incarnation: picked.incarnation,
        release: None,
        picked_at: node.now(),
        hall: picked.hall.clone(),
        group: None,
    };
    let job = build_job(&fleet);
    let opened = count_received(&fleet);
    // The runner's verdict on this bare request does not matter, only that it was sent.
    let _ = send(node, &job, &pick, None).await;
    assert_eq!(count_received(&fleet), opened + 1, "the hall is open");
    evacuate(&fleet).await;
    let before = count_received(&fleet);
    let outcome = send(node, &job, &pick, None).await.err();
    assert!(matches!(outcome, Some(AttemptError::Unreached(_))), "{outcome:?}");
    assert_eq!(count_received(&fleet), before);
}
