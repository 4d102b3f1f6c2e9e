//! Requests under failure: every caller its own whole answer or the truth.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};

use common::{ask, expected, fault, one_hall, run_on, runs, taken, update};
use cottoncrank::Millis;
use cottoncrank::engine::Fault;
use cottoncrank_demo::caller::{call, chat, headers, stream};
use cottoncrank_demo::fleet::{Plan, TOKEN, group};
use cottoncrank_net::server::Verb;
use cottoncrank_standin::engine::End;
use cottoncrank_standin::service::Fault as ServiceFault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ONCE: (&str, &str) = ("x-cottoncrank-once", "true");

/// A request to the plain service, a failure, and what has to come of it.
struct Case {
    name: &'static str,
    verb: Verb,
    once: bool,
    lose: u32,
    refuse: u32,
    status: u16,
    outcome: Option<&'static str>,
    runs: u32,
}

#[test]
fn a_plain_service_runs_what_is_told_and_no_more() {
    let post = || Verb::POST;
    let case = |name, verb, once, lose, refuse, status, outcome, runs| Case {
        name,
        verb,
        once,
        lose,
        refuse,
        status,
        outcome,
        runs,
    };
    let cases = [
        case("plain", post(), false, 0, 0, 200, None, 1),
        case("lost", post(), false, 1, 0, 502, Some("may have run"), 1),
        case("lost-once", post(), true, 1, 0, 502, Some("may have run"), 1),
        case("lost-put", Verb::PUT, false, 1, 0, 200, None, 2),
        case("lost-put-once", Verb::PUT, true, 1, 0, 502, Some("may have run"), 1),
        case("refused", post(), false, 0, 1, 200, None, 1),
        case("refused-once", post(), true, 0, 2, 200, None, 1),
        case("refused-then-lost", post(), true, 1, 1, 502, Some("may have run"), 1),
        case("refused-for-long", post(), true, 0, 500, 503, Some("not run"), 0),
    ];
    run_on(one_hall(), async |fleet, client| {
        for case in cases {
            let fault = ServiceFault { lose: case.lose, refuse: case.refuse, ..ServiceFault::default() };
            fleet.outside.service.set_fault(fault);
            let mut more = vec![("x-cottoncrank-key", case.name)];
            more.extend(case.once.then_some(ONCE));
            let answer = update(&fleet, &client, 0, case.verb, "/update", &more).await;
            assert_eq!(answer.status.as_u16(), case.status, "{}: {}", case.name, answer.body);
            assert_eq!(answer.outcome().as_deref(), case.outcome, "{}", case.name);
            assert_eq!(runs(&fleet, case.name, "/update"), case.runs, "{}", case.name);
            fleet.outside.service.set_fault(ServiceFault::default());
            let again = update(&fleet, &client, 1, Verb::POST, "/update", &more).await;
            let total = runs(&fleet, case.name, "/update");
            match case.outcome {
                Some("not run") => assert_eq!(total, 1, "{}: the key is free again", case.name),
                Some(_) => assert_eq!((again.status.as_u16(), total), (409, case.runs), "{}", case.name),
                None => assert_eq!((again.body, total), (answer.body, case.runs), "{}", case.name),
            }
        }
    });
}

#[test]
fn one_of_many_with_the_same_key_runs() {
    run_on(one_hall(), async |fleet, client| {
        fleet.outside.service.set_fault(ServiceFault { slow: Millis(50), ..ServiceFault::default() });
        let tasks: Vec<_> = (0..20)
            .map(|n| {
                let (client, entry) = (client.clone(), fleet.entry(n % 2));
                let path = "/services/prices/bulletin";
                let headers = headers(TOKEN, &[("x-cottoncrank-key", "b-1"), ONCE]);
                tokio::spawn(
                    async move { call(&client, entry, Verb::POST, path, headers, String::new()).await },
                )
            })
            .collect();
        for task in tasks {
            let answer = task.await.unwrap().unwrap();
            assert!([200, 409].contains(&answer.status.as_u16()), "{}", answer.body);
        }
        assert!(runs(&fleet, "b-1", "/bulletin") <= 1);
        let last = update(&fleet, &client, 0, Verb::POST, "/bulletin", &[("x-cottoncrank-key", "b-1"), ONCE]);
        assert_eq!(last.await.status.as_u16(), 200);
        assert_eq!(runs(&fleet, "b-1", "/bulletin"), 1);
    });
}

#[test]
fn a_key_outlives_the_loss_of_an_entry_box() {
    run_on(Plan { nodes: 4, ..one_hall() }, async |mut fleet, client| {
        let keys: Vec<String> = (0..12).map(|n| format!("k-{n}")).collect();
        for key in &keys {
            let answer =
                update(&fleet, &client, 1, Verb::POST, "/pay", &[("x-cottoncrank-key", key), ONCE]).await;
            assert_eq!(answer.status.as_u16(), 200, "{}", answer.body);
        }
        fleet.kill_node(3);
        fleet
            .wait("the others know", Millis(20_000), || {
                fleet.views().iter().all(|view| view.nodes.len() == 3)
            })
            .await
            .unwrap();
        for key in &keys {
            update(&fleet, &client, 0, Verb::POST, "/pay", &[("x-cottoncrank-key", key), ONCE]).await;
            assert_eq!(runs(&fleet, key, "/pay"), 1, "{key}");
        }
    });
}

#[test]
fn a_broken_stream_resumes_at_its_token_or_says_that_it_broke() {
    let faults = [
        ("crossed", Fault { crossed: true, ..Fault::default() }),
        ("doubled", Fault { doubled: true, ..Fault::default() }),
        ("truncated", Fault { truncated: true, ..Fault::default() }),
        ("late", Fault { late: Millis(300), ..Fault::default() }),
    ];
    run_on(one_hall(), async |fleet, client| {
        let first = fleet.members(&group(0))[0];
        for (name, shown) in faults {
            fault(&fleet, first, shown);
            let streamed = ask(&fleet, &client, 0, name, 12, false).await;
            assert!(streamed.whole, "{name}: {streamed:?}");
            assert_eq!(streamed.text, expected(name, 12), "{name}");
            fault(&fleet, first, shown);
            let streamed = ask(&fleet, &client, 0, name, 12, true).await;
            let whole = expected(name, 12);
            assert!(whole.starts_with(&streamed.text), "{name}: {streamed:?}");
            match name {
                "late" => assert!(streamed.whole),
                _ => {
                    assert!(!streamed.whole, "{name}: a request marked once was run again");
                    let told = streamed.outcome.as_deref();
                    let delivered = if streamed.text.is_empty() { "may have run" } else { "partly answered" };
                    assert_eq!(told, Some(delivered), "{name}");
                }
            }
        }
    });
}

#[test]
fn an_engine_without_the_checks_of_ours_is_caught() {
    // The check above can fail: what the crossed engine sends is foreign.
    run_on(one_hall(), async |fleet, client| {
        let first = fleet.members(&group(0))[0];
        fault(&fleet, first, Fault { crossed: true, ..Fault::default() });
        let streamed = ask(&fleet, &client, 0, "mine", 5, true).await;
        assert_eq!((streamed.text.as_str(), streamed.whole), ("", false));
    });
}

#[test]
fn a_caller_that_leaves_stops_its_work() {
    run_on(one_hall(), async |fleet, client| {
        let pieces = AtomicUsize::new(0);
        let streaming = stream(&client, fleet.entry(0), headers(TOKEN, &[]), chat("x", 60_000, true), |_| {
            pieces.fetch_add(1, Ordering::Relaxed);
        });
        tokio::select! {
            _ = streaming => panic!("the stream ended by itself"),
            () = async { while pieces.load(Ordering::Relaxed) < 5 { tokio::task::yield_now().await } } => {}
        }
        let first = fleet.members(&group(0))[0];
        fleet
            .wait("the engine has stopped", Millis(10_000), || {
                let history = fleet.outside.engines.history(first).taken;
                history.last().is_some_and(|taken| taken.end == Some(End::Left))
            })
            .await
            .unwrap();
    });
}

#[test]
fn bad_requests_are_told_what_is_wrong_and_run_nothing() {
    let path = "/v1/chat/completions";
    let cases = [
        ("no json", path, "{".to_owned(), &[][..], 400),
        ("no messages", path, r#"{"model":"tiny-1"}"#.to_owned(), &[], 400),
        ("no tokens", path, chat("x", 0, false), &[], 400),
        ("bad model", path, r#"{"model":"a b","messages":[]}"#.to_owned(), &[], 400),
        ("no such model", path, r#"{"model":"huge","messages":[]}"#.to_owned(), &[], 404),
        ("bad priority", path, chat("x", 1, false), &[("x-cottoncrank-priority", "high")], 400),
        ("high priority", path, chat("x", 1, false), &[("x-cottoncrank-priority", "10")], 400),
        ("bad once", path, chat("x", 1, false), &[("x-cottoncrank-once", "yes")], 400),
        ("empty key", path, chat("x", 1, false), &[("x-cottoncrank-key", "")], 400),
        ("no deadline left", path, chat("x", 1, false), &[("x-cottoncrank-deadline-ms", "0")], 504),
        ("too large", path, "x".repeat(2 << 20), &[], 413),
        ("no such service", "/services/none/x", String::new(), &[], 404),
        ("no such path", "/v2", String::new(), &[], 404),
    ];
    run_on(one_hall(), async |fleet, client| {
        for (name, path, body, more, status) in cases {
            let answer =
                call(&client, fleet.entry(0), Verb::POST, path, headers(TOKEN, more), body).await.unwrap();
            assert_eq!(answer.status.as_u16(), status, "{name}: {}", answer.body);
            assert_eq!(answer.outcome().as_deref(), Some("not run"), "{name}: {}", answer.body);
        }
        assert_eq!(taken(&fleet), 0);
    });
}

/// Sends the head of a request, and its body only after a while or the answer.
/// Returns the answers read from the connection.
async fn refuse_then_ask_again(entry: std::net::SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let request = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(request.as_bytes()).await.unwrap();
    stream.flush().await.unwrap();
    // Long enough for an entry that answers before the body is there to do so.
    let mut answers = vec![0; 65_536];
    let early = tokio::time::timeout(Millis(200).duration(), stream.read(&mut answers)).await;
    assert!(early.is_err(), "answered before the body was read: the rest of it may cut the answer off");
    stream.write_all(body.as_bytes()).await.unwrap();
    let read = stream.read(&mut answers).await.unwrap();
    String::from_utf8_lossy(&answers[..read]).into_owned()
}

#[test]
fn a_refusal_waits_until_the_body_is_read() {
    run_on(one_hall(), async |fleet, _| {
        let bad_terms = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer none\r\n";
        let bad_path = format!("POST /v2 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n");
        let bad_service =
            format!("POST /services/none/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n");
        for (head, status) in [(bad_terms, "401"), (&*bad_path, "404"), (&*bad_service, "404")] {
            let answer = refuse_then_ask_again(fleet.entry(0), head, &"x".repeat(4096)).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        }
    });
}

#[test]
fn a_draining_entry_cuts_nothing_and_refuses_politely() {
    run_on(one_hall(), async |fleet, client| {
        let streaming = {
            let (client, entry) = (client.clone(), fleet.entry(0));
            tokio::spawn(async move {
                stream(&client, entry, headers(TOKEN, &[]), chat("long", 150, true), |_| ()).await
            })
        };
        let entry = fleet.nodes[0].entry.as_ref().unwrap();
        fleet.wait("the stream runs", Millis(10_000), || entry.state().running() == 1).await.unwrap();
        entry.state().drain();
        let refused = update(&fleet, &client, 0, Verb::POST, "/update", &[]).await;
        assert_eq!((refused.status.as_u16(), refused.retry_after), (503, Some(1)));
        assert_eq!(refused.outcome().as_deref(), Some("not run"));
        assert_eq!(entry.drain(Millis(20_000)).await, 0);
        let streamed = streaming.await.unwrap().unwrap();
        assert!(streamed.whole);
        assert_eq!(streamed.text, expected("long", 150));
    });
}

/// A backend server that answers each request with a status.
async fn start_backend(status: &'static str) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let answer = format!("HTTP/1.1 {status} No\r\nContent-Length: 5\r\n\r\nhello");
            // Either fails once the entry has closed the connection.
            if stream.read(&mut request).await.is_ok() {
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

#[test]
fn a_status_that_no_answer_has_is_no_answer_of_a_service() {
    run_on(one_hall(), async |fleet, client| {
        for status in ["000", "101", "199", "600", "999", "abc"] {
            let backend = start_backend(status).await;
            fleet.command(&format!("create service odd-{status} addresses {backend}")).await.unwrap();
            let has_service = || {
                let name = format!("odd-{status}");
                fleet.views().iter().all(|view| view.services.iter().any(|known| known.id.as_str() == name))
            };
            fleet.wait("the entries know the service", Millis(10_000), has_service).await.unwrap();
            let path = format!("/services/odd-{status}/x");
            let headers = headers(TOKEN, &[("x-cottoncrank-deadline-ms", "2000")]);
            let answer = call(&client, fleet.entry(0), Verb::POST, &path, headers, "x".into()).await.unwrap();
            assert!([502, 504].contains(&answer.status.as_u16()), "{status}: {}", answer.status);
            assert_eq!(answer.outcome().as_deref(), Some("may have run"), "{status}");
        }
    });
}
