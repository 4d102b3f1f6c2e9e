//! The state of a node: its ledger of runners, the roster, the freshness of keys, probes, streams of events,
//! routes and concurrency limits.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use cottoncrank::{Millis, id};
use cottoncrank_fleet::balance::{FAILURE_AVOID_TIME, Ledger, STALL_TIMEOUT};
use cottoncrank_fleet::catalog::{Account, Catalog, Kind, Limits, Route, Target};
use cottoncrank_fleet::event::{EventError, MAX_EVENT_BYTES, Splitter};
use cottoncrank_fleet::freshness::{Freshness, MAX_WATCH_DELAY, SAFETY_MARGIN};
use cottoncrank_fleet::limit::Limit;
use cottoncrank_fleet::plan::{Document, Group, Plans, State};
use cottoncrank_fleet::probe::{Answer, Health, MIN_MISSES, Observation, Probes, SLOW_FACTOR};
use cottoncrank_fleet::roster::{RETURN_GRACE, Roster};
use cottoncrank_fleet::runner::{Epoch, Membership, Phase, Runner};

fn member(number: usize, rank: usize, phase: Phase) -> Runner {
    Runner {
        id: format!("r{number}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "hall-a".parse().unwrap(),
        domain: Some("d0".parse().unwrap()),
        slots: 10,
        draining: false,
        models: vec!["large".parse().unwrap()],
        release: None,
        orders: None,
        served: None,
        cold_left: None,
        incarnation: None,
        staged: Vec::new(),
        membership: Some(Membership { group: "g1".parse().unwrap(), epoch: Epoch(1), rank, phase }),
    }
}

fn plans(state: State) -> Plans {
    let group = Group {
        name: "g1".parse().unwrap(),
        epoch: Epoch(1),
        service: "llm".parse().unwrap(),
        model: "large".parse().unwrap(),
        members: vec!["r0".parse().unwrap(), "r1".parse().unwrap()],
        state,
        still: false,
        lives: Vec::new(),
    };
    Plans::from([(
        "d0".parse().unwrap(),
        Document { top: Epoch(1), groups: vec![group], version: 1, ..Document::default() },
    )])
}

fn heads(roster: &Roster, plans: &Plans) -> usize {
    roster.list_heads(&"llm".parse().unwrap(), &"large".parse().unwrap(), plans).len()
}

#[test]
fn a_restarted_runner_is_healthy_and_its_requests_count_until_they_end() {
    let mut ledger = Ledger::default();
    let known = member(1, 0, Phase::Open);
    let now = Millis(1000);
    ledger.begin_request(&known.id);
    ledger.begin_stream(&known.id);
    ledger.record_failure(&known.id, now);
    assert!(!ledger.is_healthy(&known, now + STALL_TIMEOUT));
    ledger.record_restart(&known.id);
    assert!(ledger.is_healthy(&known, now + STALL_TIMEOUT));
    ledger.begin_request(&known.id);
    ledger.end_request(&known.id);
    assert_eq!(ledger.get(&known.id).running, 1);
}

/// The runners of a hall lost power and came back as new processes at the same addresses, in no group.
/// Entries and plans still named the heads of before, and for a second each request sent to one of
/// them was answered that this is not the one. The retry budget was used up by that.
#[test]
fn a_runner_that_denies_being_the_head_gets_no_request_for_that_group() {
    let mut ledger = Ledger::default();
    let mut head = member(1, 0, Phase::Open);
    let now = Millis(1000);
    ledger.record_misdirected(&head.id, Some(Epoch(1)), now);
    assert!(!ledger.is_healthy(&head, now));
    assert_eq!(ledger.list_denied(now).collect::<Vec<_>>(), [Epoch(1)], "the hall's nodes are told");
    assert!(ledger.is_healthy(&head, now + FAILURE_AVOID_TIME), "it may have been a mistake");
    head.membership.as_mut().unwrap().epoch = Epoch(2);
    assert!(ledger.is_healthy(&head, now), "it is the head of another group already");
    let plain = Runner { membership: None, ..member(2, 0, Phase::Open) };
    ledger.record_misdirected(&plain.id, None, now);
    assert!(!ledger.is_healthy(&plain, now), "another process has its address");
}

#[test]
fn only_open_heads_of_planned_groups_take_requests() {
    let mut roster = Roster::default();
    roster.insert(member(0, 0, Phase::Open));
    assert_eq!(heads(&roster, &plans(State::Active)), 1, "the decider checks the other members");
    assert_eq!(heads(&roster, &plans(State::Closing)), 0, "the group takes no more requests");
    assert_eq!(heads(&roster, &plans(State::Lost)), 0, "the group is lost");
    assert_eq!(heads(&roster, &Plans::new()), 0, "the group is not planned");
    for phase in [Phase::Joining, Phase::Ready, Phase::Closing, Phase::Broken] {
        roster.insert(member(0, 0, phase));
        assert_eq!(heads(&roster, &plans(State::Active)), 0, "{phase:?}");
    }
    roster.insert(Runner { draining: true, ..member(0, 0, Phase::Open) });
    assert_eq!(heads(&roster, &plans(State::Active)), 0, "the head is about to leave");
    let mut older = member(0, 0, Phase::Open);
    older.membership.as_mut().unwrap().epoch = Epoch(0);
    roster.insert(older);
    assert_eq!(heads(&roster, &plans(State::Active)), 0, "it is open at an older epoch");
}

#[test]
fn entries_that_expired_with_the_store_may_return_within_the_grace_period() {
    let mut roster = Roster::default();
    let (entry, id) = (member(0, 0, Phase::Open), "r0".parse::<id::Runner>().unwrap());
    let now = Millis(100_000);
    roster.insert(entry.clone());
    roster.start_grace_period(now);
    roster.remove(&id, now);
    assert!(roster.get(&id).is_some());
    assert!(roster.expire(now + RETURN_GRACE - Millis(1)).is_empty());
    assert_eq!(roster.expire(now + RETURN_GRACE), std::slice::from_ref(&id));
    assert!(roster.get(&id).is_none());
    // A runner that wrote its entry again stays.
    roster.insert(entry.clone());
    roster.start_grace_period(now);
    roster.remove(&id, now);
    roster.insert(entry);
    assert!(roster.expire(now + RETURN_GRACE).is_empty());
    assert!(roster.get(&id).is_some());
}

#[test]
fn without_a_grace_period_a_missing_entry_is_removed_at_once() {
    let mut roster = Roster::default();
    roster.insert(member(0, 0, Phase::Open));
    roster.remove(&"r0".parse().unwrap(), Millis(5));
    assert_eq!(roster.iter().count(), 0);
}

#[test]
fn keys_are_accepted_only_while_none_can_have_been_revoked() {
    let max_age = Millis(5000);
    let bound = Some(max_age);
    let mut freshness = Freshness::default();
    let now = Millis(100_000);
    assert!(!freshness.allows(now, bound), "nothing is known yet");
    assert!(!freshness.allows(now, None), "nothing is known yet");
    freshness.prove_read(now);
    assert!(freshness.allows(now + max_age - SAFETY_MARGIN - Millis(1), bound));
    assert!(!freshness.allows(now + max_age - SAFETY_MARGIN, bound));
    assert!(freshness.allows(now + max_age + max_age, None), "without a bound, any proof suffices");
    // A watch that returned no change proves less: it may have missed changes for a while.
    freshness.prove_watch(now, Millis(1500));
    let proven = now + Millis(1500) - MAX_WATCH_DELAY;
    assert!(freshness.allows(proven + max_age - SAFETY_MARGIN - Millis(1), bound));
    assert!(!freshness.allows(proven + max_age - SAFETY_MARGIN, bound));
    // A proof that arrives late does not reduce the freshness.
    freshness.prove_read(now - Millis(3000));
    assert_eq!(freshness.age(now + Millis(1500)), Some(MAX_WATCH_DELAY));
}

fn answers(silent: &[usize], count: usize, hall: &str) -> Vec<Answer> {
    let answer = |number: usize| Answer {
        runner: format!("{hall}-{number}").parse().unwrap(),
        hall: hall.parse().unwrap(),
        reported: if silent.contains(&number) { Observation::Silent } else { Observation::Pace(1.0) },
        incarnation: None,
        asked: 1,
    };
    (0..count).map(answer).collect()
}

fn find_health(probes: &Probes, name: &str) -> Health {
    probes.health(&name.parse().unwrap())
}

#[test]
fn a_runner_is_silent_after_so_many_misses_that_it_paused_for_over_a_second() {
    let mut probes = Probes::default();
    for _ in 1..MIN_MISSES {
        assert!(probes.record_round(&answers(&[3], 10, "a")).is_empty());
        assert_eq!(find_health(&probes, "a-3"), Health::Unknown);
        assert!(probes.is_pending(&"a-3".parse().unwrap()), "more will be known soon");
    }
    assert_eq!(probes.record_round(&answers(&[3], 10, "a")).len(), 1);
    assert_eq!(
        (find_health(&probes, "a-3"), find_health(&probes, "a-4")),
        (Health::Silent, Health::Responsive)
    );
    assert!(probes.record_round(&answers(&[3], 10, "a")).is_empty(), "it is reported once");
    probes.record_round(&answers(&[], 10, "a"));
    assert_eq!(find_health(&probes, "a-3"), Health::Responsive);
    probes.record_round(&answers(&[], 3, "a"));
    assert_eq!(find_health(&probes, "a-3"), Health::Unknown, "it was not probed any more");
}

#[test]
fn a_runner_that_takes_no_connection_is_silent_at_once_unless_its_hall_is_cut_off() {
    for reported in [Observation::Refused, Observation::Unreachable] {
        let mut probes = Probes::default();
        let mut round = answers(&[], 4, "a");
        probes.record_round(&round);
        round[1].reported = reported;
        assert_eq!(probes.record_round(&round).len(), 1, "{reported:?}");
        let mut probes = Probes::default();
        round.iter_mut().for_each(|answer| answer.reported = reported);
        assert!(probes.record_round(&round).is_empty(), "{reported:?}");
        assert_eq!(find_health(&probes, "a-1"), Health::Unknown);
    }
}

#[test]
fn a_runner_that_misses_two_probes_of_each_of_three_rounds_is_silent_after_them() {
    let mut probes = Probes::default();
    probes.record_round(&answers(&[], 4, "a"));
    let mut round = answers(&[1], 4, "a");
    round[1].asked = 2;
    assert!(probes.record_round(&round).is_empty(), "it may have paused for half a second");
    assert!(probes.record_round(&round).is_empty(), "it may have paused for less than two seconds");
    let newly_silent = probes.record_round(&round);
    assert_eq!(newly_silent, ["a-1".parse().unwrap()]);
    assert_eq!(find_health(&probes, "a-1"), Health::Silent);
    assert_eq!(find_health(&probes, "a-0"), Health::Responsive);
}

#[test]
fn a_runner_is_slow_after_two_slow_answers() {
    let mut probes = Probes::default();
    let slow = |pace: f64| Answer { reported: Observation::Pace(pace), ..answers(&[], 1, "a").remove(0) };
    probes.record_round(&[slow(SLOW_FACTOR)]);
    probes.record_round(&[slow(SLOW_FACTOR)]);
    assert_eq!(find_health(&probes, "a-0"), Health::Slow);
    assert_eq!(probes.list_slow().len(), 1);
    probes.record_round(&[slow(1.0)]);
    assert_eq!(find_health(&probes, "a-0"), Health::Responsive);
}

#[test]
fn a_hall_that_is_mostly_silent_counts_as_cut_off() {
    let mut probes = Probes::default();
    let all: Vec<usize> = (0..10).collect();
    for _ in 0..3 {
        assert!(probes.record_round(&answers(&all[..8], 10, "a")).is_empty());
    }
    assert_eq!(find_health(&probes, "a-0"), Health::Unknown);
    assert!(probes.is_pending(&"a-9".parse().unwrap()));
    for _ in 0..MIN_MISSES {
        probes.record_round(&answers(&all[..5], 10, "a"));
    }
    assert_eq!(
        (find_health(&probes, "a-0"), find_health(&probes, "a-5")),
        (Health::Silent, Health::Responsive)
    );
}

#[test]
fn only_whole_and_new_events_are_forwarded() {
    let mut splitter = Splitter::resume_after(None);
    assert_eq!(splitter.push(b"id: 0\ndata: a\n\nid: 1\nda").unwrap(), "id: 0\ndata: a\n\n");
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.push(b"ta: b\n\n").unwrap(), "id: 1\ndata: b\n\n");
    assert!(splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some(1));
    // Another runner resumes the stream: events that the caller already has are dropped.
    let mut splitter = Splitter::resume_after(Some(1));
    let events = splitter.push(b"id: 1\r\ndata: b\r\n\r\nid: 2\r\ndata: c\r\n\r\n").unwrap();
    assert_eq!(events, "id: 2\r\ndata: c\r\n\r\n");
    assert_matches!(splitter.push(b"id: 4\n\n"), Err(EventError::Gap { last: 2, found: 4 }));
}

#[test]
fn an_event_that_never_ends_is_rejected() {
    let mut splitter = Splitter::resume_after(None);
    let chunk = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(splitter.push(&chunk), Err(EventError::TooLarge));
}

/// Guards against an event that arrives byte by byte and is searched anew with each of them.
#[test]
fn an_event_that_arrives_byte_by_byte_is_searched_once() {
    let mut splitter = Splitter::resume_after(None);
    let line = vec![b'x'; MAX_EVENT_BYTES / 2];
    let started = Instant::now();
    for byte in &line {
        assert_eq!(splitter.push(&[*byte]).unwrap(), "");
    }
    for end in [&b"\r"[..], b"\n", b"\r"] {
        assert_eq!(splitter.push(end).unwrap(), "");
    }
    assert_eq!(splitter.push(b"\n").unwrap().len(), line.len() + 4);
    let took = started.elapsed();
    assert!(took < Duration::from_secs(3), "it took {took:?}");
}

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets =
        targets.iter().map(|(service, weight)| Target { service: service.parse().unwrap(), weight: *weight });
    Route {
        name: name.to_owned(),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Millis(1000),
        target_latency: Millis(100),
        target_gap: None,
        priority: 1,
        targets: targets.collect(),
        attempts: 2,
        allow_anonymous: false,
        resumable: false,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "/a/", &[("s", 1)]),
        route("long", "/a/b/", &[("s", 1)]),
        route("root", "/", &[("s", 1)]),
    ];
    let account = Account { id: "acme".parse().unwrap(), keys: vec!["k1".to_owned()], priority: Some(2) };
    let limits = Limits { max_head_bytes: 1, max_body_bytes: 1, idle_timeout: Millis(1) };
    let catalog = Catalog::new(1, routes, Vec::new(), vec![account], limits);
    let name = |host, path| catalog.find_route(host, path).map(|route| route.name.as_str());
    assert_eq!(name("h.example", "/a/b/c"), Some("long"));
    assert_eq!(name("h.example", "/a/b"), Some("short"));
    assert_eq!(name("h.example", "/x"), Some("root"));
    assert_eq!(name("other.example", "/a/"), None);
    assert_eq!(catalog.find_account("k1").map(|account| account.id.as_str()), Some("acme"));
    assert_eq!(catalog.find_account("k2"), None);
}

#[test]
fn requests_are_split_by_the_weights_of_a_route() {
    let route = route("split", "/", &[("a", 3), ("b", 1)]);
    let picked: Vec<&str> = (0..8).map(|point| route.pick_target(point).unwrap().service.as_str()).collect();
    assert_eq!(picked, ["a", "a", "a", "b", "a", "a", "a", "b"]);
    assert!(self::route("none", "/", &[]).pick_target(0).is_none());
}

#[test]
fn the_limit_falls_below_the_running_requests_and_rises_while_in_use() {
    let mut limit = Limit::default();
    let mut now = Millis(10_000);
    for _ in 0..20 {
        limit.begin();
    }
    limit.record_late(now);
    assert!(!limit.admits() && limit.level() < 20.0);
    let reduced = limit.level();
    limit.record_late(now + Millis(100));
    assert_eq!(limit.level(), reduced, "late requests with the same cause count once");
    for _ in 0..40 {
        now = now + Millis(400);
        limit.record_late(now);
    }
    assert!(limit.level() >= 3.0, "some requests are still admitted, to detect when there is room");
    for _ in 0..20 {
        limit.end();
    }
    let level = limit.level();
    limit.record_on_time();
    assert_eq!(limit.level(), level, "a limit that is not in use does not rise");
    while limit.admits() {
        limit.begin();
    }
    for _ in 0..10 {
        limit.record_on_time();
    }
    assert!(limit.admits());
}

#[test]
fn a_runner_that_rejects_consecutive_requests_is_avoided_for_longer_each_time() {
    let (mut ledger, runner) = (Ledger::default(), member(1, 0, Phase::Open));
    let mut now = Millis(10_000);
    ledger.record_rejection(&runner.id, now);
    assert!(ledger.is_healthy(&runner, now), "after one rejection it may just have been full for a moment");
    let mut spans = Vec::new();
    for _ in 0..6 {
        ledger.record_rejection(&runner.id, now);
        assert!(!ledger.is_healthy(&runner, now));
        assert_eq!(ledger.list_rejecting(now).count(), 1);
        let started = now;
        while !ledger.is_healthy(&runner, now) {
            now = now + Millis(100);
        }
        spans.push(now.since(started).0);
    }
    assert_eq!(spans, [300, 600, 1200, 2400, 2500, 2500]);
    // Then one request is tried, and if it is accepted the runner is healthy again.
    ledger.record_progress(&runner.id, now);
    ledger.record_rejection(&runner.id, now);
    assert!(ledger.is_healthy(&runner, now) && ledger.list_rejecting(now).next().is_none());
}

#[test]
fn a_runner_that_accepts_requests_between_rejections_is_just_full() {
    let (mut ledger, runner) = (Ledger::default(), member(1, 0, Phase::Open));
    for turn in 0..20 {
        let now = Millis(10_000 + 10 * turn);
        ledger.record_rejection(&runner.id, now);
        assert!(ledger.is_healthy(&runner, now));
        ledger.record_progress(&runner.id, now);
    }
}
