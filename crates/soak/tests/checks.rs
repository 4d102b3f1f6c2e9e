//! Every check can fail: a planted fault for each.

use std::time::{Duration, Instant};

use cottoncrank::Millis;
use cottoncrank_platform_standin::caller::Answer;
use cottoncrank_platform_standin::runner::{EVENTS_PER_STREAM, Join, Membership, ReceivedRequest};
use cottoncrank_soak::check::{Breach, Record, Trouble, Witness, check};
use cottoncrank_soak::fleet::STALL_MS;
use cottoncrank_soak::groups::{Row, Watch};
use cottoncrank_soak::load::{Call, Kind};
use cottoncrank_soak::plan::{Fault, Harm, Partition};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn call(id: &str, kind: Kind, sent: Instant, answer: Answer) -> Call {
    let done = sent + Duration::from_millis(100);
    let (id, whole, answer) = (id.to_owned(), Some(sent), Some(answer));
    Call { id, kind, node: 0, life: 1, key: 0, sent, whole, is_new: false, done, answer }
}

fn seen(request: &str, at: Instant) -> ReceivedRequest {
    ReceivedRequest {
        request: request.to_owned(),
        account: Some("acme".to_owned()),
        has_key: false,
        priority: None,
        last_event: None,
        executed: true,
        deadly: false,
        backoff: None,
        limit: None,
        incarnation: 1,
        leaving: false,
        group: None,
        at,
    }
}

fn witness(id: &str, seen: Vec<ReceivedRequest>) -> Witness {
    Witness { id: id.to_owned(), seen, hall: "hall-a", joins: Vec::new(), left: None }
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}

fn record(calls: Vec<Call>, seen: Vec<ReceivedRequest>) -> Record {
    Record { calls, witnesses: vec![witness("p-0", seen)], revoked: vec![None], ..Record::default() }
}

#[test]
fn a_sound_run_breaks_nothing() {
    let now = Instant::now();
    let calls = vec![
        call("a", Kind::Once, now, Answer::signed("a", 200, "done a")),
        call("b", Kind::Stream, now, Answer::signed("b", 200, &events(0..EVENTS_PER_STREAM))),
        call("c", Kind::Read, now, Answer::signed("c", 503, "busy")),
    ];
    assert_eq!(check(&record(calls, vec![seen("a", now), seen("b", now)])), []);
}

#[test]
fn an_answer_that_is_not_ones_own_is_noticed() {
    let now = Instant::now();
    let other = call("a", Kind::Read, now, Answer::signed("b", 200, "done b"));
    assert!(matches!(check(&record(vec![other], Vec::new()))[..], [Breach::Mixed(..)]));
    let other = call("a", Kind::Read, now, Answer::signed("a", 200, "done b"));
    assert!(matches!(check(&record(vec![other], Vec::new()))[..], [Breach::Mixed(..)]));
}

#[test]
fn events_that_are_lost_repeated_or_missing_at_the_end_are_noticed() {
    let now = Instant::now();
    for ids in [vec![0, 2, 3, 4, 5], vec![0, 1, 1, 2, 3, 4, 5], vec![0, 1, 2]] {
        let stream = call("a", Kind::Stream, now, Answer::signed("a", 200, &events(ids)));
        assert!(matches!(check(&record(vec![stream], Vec::new()))[..], [Breach::Order(..)]));
    }
    let mut cut = call("a", Kind::Stream, now, Answer::signed("a", 200, &events(0..3)));
    cut.answer.as_mut().unwrap().complete = false;
    assert_eq!(check(&record(vec![cut], Vec::new())), [], "a stream that is cut openly is no lie");
}

#[test]
fn a_second_run_and_a_false_refusal_are_noticed() {
    let now = Instant::now();
    let twice = call("a", Kind::Once, now, Answer::signed("a", 200, "done a"));
    let breaches = check(&record(vec![twice], vec![seen("a", now), seen("a", now)]));
    assert_eq!(breaches, [Breach::Twice("a".into(), 2)]);
    let refused = call("a", Kind::Read, now, Answer::signed("a", 503, ""));
    let breaches = check(&record(vec![refused], vec![seen("a", now + seconds(9))]));
    assert_eq!(breaches, [Breach::Refused("a".into(), 503, 1)], "also when it runs much later");
}

#[test]
fn a_key_that_was_taken_away_is_noticed_when_it_is_honoured_late_or_again() {
    let now = Instant::now();
    let late = call("a", Kind::Read, now + seconds(6), Answer::signed("a", 200, "done a"));
    let mut late = record(vec![late], vec![seen("a", now + seconds(6))]);
    late.revoked = vec![Some(now)];
    assert!(matches!(check(&late)[..], [Breach::Revoked(_, 0, _)]));
    let calls = vec![
        call("a", Kind::Read, now + seconds(1), Answer::signed("a", 401, "")),
        call("b", Kind::Read, now + seconds(2), Answer::signed("b", 200, "done b")),
    ];
    let mut again = record(calls, Vec::new());
    again.revoked = vec![Some(now)];
    assert_eq!(check(&again), [Breach::Reverted("b".into(), 0, 0)]);
    again.calls[1].life = 2;
    assert_eq!(check(&again), [], "a new life may have to learn it again");
}

#[test]
fn a_request_to_a_runner_that_left_is_noticed_unless_something_was_wrong() {
    let now = Instant::now();
    let mut late = record(Vec::new(), vec![ReceivedRequest { leaving: true, ..seen("a", now + seconds(4)) }]);
    late.witnesses[0].left = Some(now);
    assert!(matches!(check(&late)[..], [Breach::Drain(..)]));
    late.troubles = vec![Trouble { from: now, to: now + seconds(2), stop: None, fault: None }];
    assert_eq!(check(&late), []);
}

#[test]
fn a_planned_stop_that_cuts_a_request_is_noticed() {
    let now = Instant::now();
    let mut broken = call("a", Kind::Read, now + seconds(1), Answer::default());
    broken.answer.as_mut().unwrap().complete = false;
    let mut cut = record(vec![broken], vec![seen("a", now + seconds(1))]);
    cut.troubles = vec![Trouble { from: now, to: now + seconds(3), stop: Some(0), fault: None }];
    assert_eq!(check(&cut), [Breach::Cut("a".into(), 0)]);
    cut.troubles.push(Trouble { from: now, to: now + seconds(1), stop: None, fault: None });
    assert_eq!(check(&cut), [], "something else was wrong as well");
}

#[test]
fn a_run_in_a_group_that_lacks_a_member_is_noticed() {
    let now = Instant::now();
    let join = |group: &str| Join {
        group: group.into(),
        epoch: 3,
        members: vec!["e-0".into(), "e-1".into()],
        at: now,
    };
    let run = ReceivedRequest { group: Some(("g3".into(), 3)), ..seen("a", now) };
    let head = Witness { joins: vec![join("g3")], ..witness("e-0", vec![run]) };
    let member = Witness { joins: vec![join("g2")], ..witness("e-1", Vec::new()) };
    let partial = Record { witnesses: vec![head.clone(), member], ..Record::default() };
    assert!(matches!(check(&partial)[..], [Breach::Partial(..)]));
    let member = Witness { joins: vec![join("g3")], ..witness("e-1", Vec::new()) };
    assert_eq!(check(&Record { witnesses: vec![head, member], ..Record::default() }), []);
}

fn row(id: &str, group: &str, open: bool) -> Row {
    let place = Membership { group: group.into(), epoch: 1, open };
    Row { id: id.into(), place: Some(place), members: vec!["e-0".into(), "e-1".into()] }
}

#[test]
fn a_runner_in_two_groups_is_noticed_until_the_first_one_is_broken() {
    let now = Instant::now();
    let mut watch = Watch::new(Duration::from_millis(STALL_MS));
    let whole = [row("e-0", "g1", true), row("e-1", "g1", false)];
    assert!(watch.look(&whole, now).breaches.is_empty());
    let double = [row("e-0", "g1", true), row("e-1", "g2", false)];
    let found = watch.look(&double, now);
    assert!(matches!(found.breaches[..], [Breach::Two(..)]) && found.broken.is_empty());
    assert_eq!(watch.look(&double, now + seconds(3)).broken, [0], "it stood still for too long");
    let mut watch = Watch::new(Duration::from_millis(STALL_MS));
    watch.look(&whole, now);
    let broken = [row("e-0", "g1", false), row("e-1", "g2", false)];
    assert!(watch.look(&broken, now).breaches.is_empty(), "its head takes nothing any more");
}

#[test]
fn requests_to_a_runner_that_wants_none_are_noticed() {
    let now = Instant::now();
    let told = |name: &str, at: Instant| ReceivedRequest {
        backoff: Some(Millis(2000)),
        executed: false,
        ..seen(name, at)
    };
    let names = ["a", "b", "c", "d"];
    let calls = || names.map(|name| call(name, Kind::Read, now, Answer::default())).to_vec();
    let after = |life: u64| {
        names[1..]
            .iter()
            .map(move |name| ReceivedRequest { incarnation: life, ..told(name, now + seconds(1)) })
            .collect::<Vec<_>>()
    };
    let mut seen_all = vec![told("a", now)];
    seen_all.extend(after(1));
    let mut sent = record(calls(), vec![]);
    sent.witnesses = vec![witness("e-0", seen_all)];
    assert!(matches!(check(&sent)[..], [Breach::BackOff(_, 3, 0)]), "{:?}", check(&sent));
    // The node's process did not run meanwhile, or it is another one's that was.
    let trouble = |fault| Trouble { from: now, to: now + seconds(1), stop: None, fault: Some(fault) };
    sent.troubles = vec![trouble(Fault::Kill(1))];
    assert_eq!(check(&sent).len(), 1);
    sent.troubles = vec![trouble(Fault::Kill(0))];
    assert_eq!(check(&sent), []);
    // The runner has started again.
    let mut again = vec![told("a", now)];
    again.extend(after(2));
    let mut sent = record(calls(), vec![]);
    sent.witnesses = vec![witness("e-0", again)];
    assert_eq!(check(&sent), []);
}

#[test]
fn requests_beyond_the_rate_that_a_runner_names_are_noticed() {
    let now = Instant::now();
    let at = |tenth: u64| now + Duration::from_millis(100 * tenth);
    let names: Vec<String> = (0..100).map(|number| format!("r-{number}")).collect();
    let calls =
        || names.iter().map(|name| call(name, Kind::Read, now, Answer::default())).collect::<Vec<_>>();
    let came = |pause: usize, limit: &str| {
        let all = (0..100).step_by(pause);
        let all = all.map(|tenth| ReceivedRequest {
            limit: Some(limit.to_owned()),
            ..seen(&names[tenth], at(tenth as u64))
        });
        all.collect::<Vec<_>>()
    };
    let breaches = |seen: Vec<ReceivedRequest>, troubles: Vec<Trouble>| {
        let mut sent = record(calls(), vec![]);
        sent.witnesses = vec![witness("e-0", seen)];
        sent.troubles = troubles;
        check(&sent).into_iter().filter(|breach| matches!(breach, Breach::Limit(..))).collect::<Vec<_>>()
    };
    assert!(matches!(breaches(came(1, "2"), vec![])[..], [Breach::Limit(_, _, 40)]));
    assert_eq!(breaches(came(5, "2"), vec![]), [], "two a second");
    assert_eq!(breaches(came(1, "few"), vec![]), [], "nobody knows how many that are");
    let trouble = |node| Trouble { from: now, to: at(90), stop: None, fault: Some(Fault::Pause(node)) };
    assert_eq!(breaches(came(1, "2"), vec![trouble(0)]), [], "its process did not run");
    assert_eq!(breaches(came(1, "2"), vec![trouble(1)]).len(), 1, "that of another one");
}

#[test]
fn an_evacuated_hall_that_gets_requests_and_ones_that_nobody_serves_are_noticed() {
    let now = Instant::now();
    let names: Vec<String> = (0..40).map(|number| format!("r-{number}")).collect();
    // Each half a second a request: before, during and after an evacuation of 10 s.
    let at = |number: usize| now + Duration::from_millis(500 * number as u64);
    let answered = |status: u16| {
        let each = names.iter().enumerate().map(move |(number, name)| {
            call(name, Kind::Read, at(number), Answer::signed(name, status, &format!("done {name}")))
        });
        each.collect::<Vec<_>>()
    };
    let evacuation =
        Trouble { from: now, to: now + seconds(10), stop: None, fault: Some(Fault::Evacuate(0)) };
    let breaches = |status: u16, reached: std::ops::Range<usize>, troubles: Vec<Trouble>| {
        let came: Vec<ReceivedRequest> = reached.map(|number| seen(&names[number], at(number))).collect();
        let mut sent = record(answered(status), came);
        (sent.asked, sent.troubles) = (vec![evacuation], troubles);
        check(&sent)
    };
    let trouble = |from: u64, fault| Trouble {
        from: now + seconds(from),
        to: now + seconds(from + 1),
        stop: None,
        fault: Some(fault),
    };
    assert!(matches!(breaches(200, 9..12, vec![])[..], [Breach::Evacuated(..), Breach::TakenBack(..)]));
    assert!(matches!(breaches(200, 0..10, vec![])[..], [Breach::TakenBack(..)]));
    assert_eq!(breaches(200, 20..22, vec![]), [], "taken back");
    assert!(matches!(breaches(502, 20..22, vec![])[..], [Breach::Elsewhere(..)]));
    // Cut off while the request was to be heard of, another node, and later.
    let link = |node| Fault::StoreLink(node, Harm::Silence);
    let reached = |trouble| breaches(200, 11..21, vec![trouble]).len();
    assert_eq!(reached(trouble(1, link(0))), 0);
    assert_eq!(reached(trouble(1, link(1))), 9);
    assert_eq!(reached(trouble(4, link(0))), 9);
    assert_eq!(reached(trouble(0, Fault::Kill(0))), 9, "a node that starts reads the request");
}

#[test]
fn requests_beyond_what_a_cold_runner_bears_are_noticed() {
    let now = Instant::now();
    let names: Vec<String> = (0..48).map(|number| format!("r-{number}")).collect();
    let breaches = |apart: u64, from: u64, troubles: Vec<Trouble>| {
        let at = |number: usize| now + Duration::from_millis(from + apart * number as u64);
        let each = names.iter().enumerate();
        // All nodes together count.
        let calls = each.clone().map(|(number, name)| Call {
            node: number % 3,
            ..call(name, Kind::Read, at(number), Answer::default())
        });
        let came = each.map(|(number, name)| seen(name, at(number))).collect();
        let mut sent = record(calls.collect(), came);
        let cold = Trouble { from: now, to: now + seconds(4), stop: None, fault: Some(Fault::Cold(0)) };
        (sent.asked, sent.troubles) = (vec![cold], troubles);
        check(&sent).into_iter().filter(|breach| matches!(breach, Breach::Cold(..))).collect::<Vec<_>>()
    };
    assert!(matches!(breaches(80, 0, vec![])[..], [Breach::Cold(_, 13, _)]));
    assert_eq!(breaches(91, 0, vec![]), [], "once and a half the rate, and five");
    assert_eq!(breaches(80, 4000, vec![]), [], "it is warm");
    let trouble = |fault| Trouble { from: now, to: now + seconds(1), stop: None, fault: Some(fault) };
    let cut = |node| trouble(Fault::StoreLink(node, Harm::Silence));
    assert_eq!(breaches(80, 0, vec![cut(0)]), [], "a node that could not hear");
    assert_eq!(breaches(80, 0, vec![cut(3)]).len(), 1, "another one");
    assert_eq!(breaches(80, 0, vec![trouble(Fault::Kill(0))]).len(), 1, "the collector may be killed");
}

/// Returns a record of a node that was cut off for six seconds and served `served` of a hundred requests
/// from the third second on, beside one that served all of them.
fn record_partition(served: usize, excuse: Option<Fault>) -> Record {
    let begin = Instant::now();
    let mut calls = Vec::new();
    for number in 0..100 {
        let sent = begin + seconds(3) + Duration::from_millis(20 * number as u64);
        for node in 0..2 {
            let id = format!("c{node}-{number}");
            let answer = match node == 1 || number < served {
                true => Answer::signed(&id, 200, &format!("done {id}")),
                false => Answer::signed(&id, 503, "no runner"),
            };
            calls.push(Call { node, ..call(&id, Kind::Read, sent, answer) });
        }
    }
    let trouble = |fault| Trouble { from: begin, to: begin + seconds(6), stop: None, fault: Some(fault) };
    let faults = [Fault::Partition(0, Partition::Hang)].into_iter().chain(excuse);
    Record { troubles: faults.map(trouble).collect(), ..record(calls, Vec::new()) }
}

#[test]
fn a_cut_node_that_serves_far_less_than_the_others_is_noticed() {
    assert!(matches!(check(&record_partition(60, None))[..], [Breach::Partition(0, ..)]));
    assert_eq!(check(&record_partition(70, None)), [], "two thirds are served");
    assert_eq!(check(&record_partition(0, Some(Fault::Pause(0)))), [], "the node is out of touch");
    assert_eq!(check(&record_partition(0, Some(Fault::Pause(1)))), [], "there is no other node");
    assert!(matches!(check(&record_partition(0, Some(Fault::Forget)))[..], [Breach::Partition(0, ..)]));
}

/// A request on a new connection of node 0, sent one second after `begin`, that ended without an answer.
fn unanswered(id: &str, begin: Instant, lasted: u64) -> Call {
    let sent = begin + seconds(1);
    let answer = Answer { complete: false, ..Answer::default() };
    Call { is_new: true, done: sent + Duration::from_millis(lasted), ..call(id, Kind::Read, sent, answer) }
}

fn trouble(from: Instant, to: Instant, fault: Fault) -> Trouble {
    let stop = if let Fault::Stop(node) = fault { Some(node) } else { None };
    Trouble { from, to, stop, fault: Some(fault) }
}

/// Returns what is noticed of one request without an answer after `lasted`, which a runner had or not, around
/// work, and near other faults.
fn notice_lost(begin: Instant, lasted: u64, has_run: bool, work: Fault, others: &[Fault]) -> Vec<Breach> {
    let seen = if has_run { vec![seen("a", begin + seconds(1))] } else { Vec::new() };
    let mut sent = record(vec![unanswered("a", begin, lasted)], seen);
    let during = |fault: Fault| trouble(begin, begin + seconds(2), fault);
    match work {
        Fault::Reload(_) | Fault::Rekey => sent.asked.push(during(work)),
        _ => sent.troubles.push(during(work)),
    }
    sent.troubles.extend(others.iter().map(|fault| during(*fault)));
    check(&sent)
}

#[test]
fn a_request_that_ends_without_an_answer_around_planned_work_is_noticed() {
    let now = Instant::now();
    for work in [Fault::Stop(0), Fault::Reload(0), Fault::Rekey, Fault::Starve(0)] {
        let late = notice_lost(now, 300, false, work, &[]);
        assert!(matches!(late[..], [Breach::Lost(0, 1, ..)]), "{work:?}: {late:?}");
        assert_eq!(notice_lost(now, 150, false, work, &[]), [], "it may have crossed the close: {work:?}");
        assert_eq!(notice_lost(now, 5900, false, work, &[]), [], "its time was over: {work:?}");
        let handed = notice_lost(now, 50, true, work, &[]);
        assert!(matches!(handed[..], [Breach::Lost(0, 1, ..) | Breach::Cut(..)]), "{work:?}: {handed:?}");
    }
    for elsewhere in [Fault::Stop(1), Fault::Reload(1), Fault::Starve(1), Fault::Forget] {
        assert_eq!(notice_lost(now, 300, false, elsewhere, &[]), [], "no work at this node: {elsewhere:?}");
    }
}

#[test]
fn only_unplanned_faults_that_may_have_cut_a_request_excuse_it() {
    let now = Instant::now();
    let work = Fault::Reload(0);
    let cut_off = |node| Fault::Partition(node, Partition::Hang);
    for fault in [Fault::Kill(0), Fault::Pause(0), Fault::Suspend(0), cut_off(0)] {
        assert_eq!(notice_lost(now, 300, false, work, &[fault]), [], "{fault:?}");
    }
    let silent = Fault::RunnerLink(0, Harm::Silence);
    for fault in [Fault::Kill(1), Fault::Starve(0), silent, cut_off(1), Fault::Older] {
        assert_eq!(notice_lost(now, 300, false, work, &[fault]).len(), 1, "no runner had it: {fault:?}");
    }
    for fault in [Fault::Kill(1), Fault::Partition(0, Partition::Reset), Fault::Deadly(1)] {
        assert_eq!(notice_lost(now, 300, true, work, &[fault]), [], "a runner had it: {fault:?}");
    }
    for fault in [Fault::RunnerLink(0, Harm::Reset), Fault::Deadly(0), Fault::Starve(0)] {
        assert_eq!(notice_lost(now, 300, true, work, &[fault]).len(), 1, "not one of its runners: {fault:?}");
    }
    let stream = |fault| {
        let mut sent = record(vec![Call { kind: Kind::Stream, ..unanswered("a", now, 300) }], Vec::new());
        sent.asked = vec![trouble(now, now + seconds(2), work)];
        sent.troubles = vec![trouble(now, now + seconds(2), fault)];
        check(&sent)
    };
    assert_eq!(stream(silent), [], "it may have been lost on the way to its runner");
    assert_eq!(stream(Fault::RunnerLink(0, Harm::Reset)).len(), 1, "the node hears of a reset");
    let mut sent = record(vec![unanswered("a", now + seconds(9), 300)], Vec::new());
    sent.asked = vec![trouble(now + seconds(9), now + seconds(10), work)];
    sent.troubles = vec![trouble(now, now + seconds(1), Fault::Kill(0))];
    assert_eq!(check(&sent).len(), 1, "long after the fault");
}

#[test]
fn a_configuration_is_the_cause_only_if_more_requests_are_cut_than_otherwise() {
    let now = Instant::now();
    let cut = |id: &str, at: u64| unanswered(id, now + seconds(at), 300);
    let mut sent = record(vec![cut("a", 0), cut("b", 8), cut("c", 9)], Vec::new());
    sent.asked = vec![trouble(now, now + seconds(2), Fault::Rekey)];
    assert_eq!(check(&sent), [], "as many are cut at other times");
    let served = |number: usize| {
        let id = format!("s-{number}");
        call(&id, Kind::Read, now + seconds(8), Answer::signed(&id, 200, &format!("done {id}")))
    };
    sent.calls.extend((0..10).map(served));
    assert!(matches!(check(&sent)[..], [Breach::Lost(0, 1, ..)]));
}

#[test]
fn kept_connections_that_end_with_what_runners_had_are_noticed_at_any_time() {
    let now = Instant::now();
    let names = ["a", "b", "c", "d"];
    let dropped = |count: usize| {
        let calls = names[..count].iter().map(|id| Call { is_new: false, ..unanswered(id, now, 50) });
        record(calls.collect(), names[..count].iter().map(|id| seen(id, now + seconds(1))).collect())
    };
    assert_eq!(check(&dropped(4)), [Breach::Dropped(4)]);
    assert_eq!(check(&dropped(3)), [], "three may be");
    let mut near = dropped(4);
    near.troubles = vec![trouble(now, now + seconds(2), Fault::Kill(0))];
    assert_eq!(check(&near), [], "the node was killed");
    let mut unread = dropped(4);
    unread.witnesses[0].seen.clear();
    assert_eq!(check(&unread), [], "they crossed the close");
}

/// Returns a record of a fleet that served `before` of a hundred requests before its last fault, and `after` of
/// a hundred from twelve seconds after the return of everything.
fn record_recovery(before: usize, after: usize) -> Record {
    let begin = Instant::now();
    let (last, back) = (begin + seconds(10), begin + seconds(15));
    let mut calls = Vec::new();
    for (name, from, served) in [("b", begin, before), ("a", back + seconds(13), after)] {
        for number in 0..100 {
            let id = format!("{name}-{number}");
            let answer = match number < served {
                true => Answer::signed(&id, 200, &format!("done {id}")),
                false => Answer::signed(&id, 503, "no runner"),
            };
            let sent = from + Duration::from_millis(10 * number as u64);
            calls.push(Call { is_new: true, ..call(&id, Kind::Read, sent, answer) });
        }
    }
    let troubles = vec![trouble(last, back, Fault::Kill(0))];
    Record { troubles, back: Some(back), ..record(calls, Vec::new()) }
}

#[test]
fn a_fleet_that_does_not_serve_again_in_time_is_noticed() {
    assert!(matches!(check(&record_recovery(25, 24))[..], [Breach::Recovery(..)]));
    assert!(matches!(check(&record_recovery(100, 0))[..], [Breach::Recovery(..)]));
    assert_eq!(check(&record_recovery(100, 25)), [], "a quarter is served");
    assert_eq!(check(&record_recovery(24, 0)), [], "it did not serve before");
    let mut early = record_recovery(100, 0);
    early.back = early.back.map(|back| back + seconds(2));
    assert_eq!(check(&early), [], "the time is not over");
    let mut refused = record_recovery(100, 0);
    refused.calls.iter_mut().for_each(|call| call.answer = call.answer.take().filter(|a| a.status == 200));
    refused.calls.iter_mut().filter(|call| call.answer.is_none()).for_each(|call| call.whole = None);
    assert!(matches!(check(&refused)[..], [Breach::Recovery(..)]), "what cannot connect counts");
    let mut kept = record_recovery(100, 0);
    kept.calls.iter_mut().for_each(|call| call.is_new = false);
    assert_eq!(check(&kept), [], "callers that ask again at once are not counted");
}
