//! A newcomer's half minute: a fleet forms, serves, loses a box, repairs
//! itself, and says what it did. Exit code 0 only if every check held.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cottoncrank::clock::System;
use cottoncrank::view::Condition;
use cottoncrank::{Clock, Millis};
use cottoncrank_demo::caller::{Streamed, call, chat, engine_prompt, headers, stream};
use cottoncrank_demo::fleet::{Fleet, FleetError, Plan, TOKEN, group, runner};
use cottoncrank_net::client::{CallError, Client, Traffic};
use cottoncrank_net::server::Verb;
use cottoncrank_standin::engine::{End, answer_text};
use cottoncrank_standin::service::Fault;
use thiserror::Error;

#[derive(Debug, Error)]
enum DemoError {
    #[error(transparent)]
    Fleet(#[from] FleetError),
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("a check did not hold: {0}")]
    Check(String),
    #[error("a task ended early: {0}")]
    Task(#[from] tokio::task::JoinError),
}

/// Prints each step with the time it took, and checks.
struct Story {
    clock: System,
    last: Millis,
    checks: usize,
}

impl Story {
    fn new() -> Story {
        let clock = System::new();
        Story { last: clock.now(), clock, checks: 0 }
    }

    fn step(&mut self, text: &str) {
        let now = self.clock.now();
        println!("{:>7}  {text}", now.since(self.last).to_string());
        self.last = now;
    }

    fn check(&mut self, holds: bool, text: &str) -> Result<(), DemoError> {
        self.checks += 1;
        if !holds {
            return Err(DemoError::Check(text.to_owned()));
        }
        println!("         check: {text}");
        Ok(())
    }
}

fn main() -> ExitCode {
    if let Err(error) = cottoncrank::program::start_log("off") {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(tell()) {
        Ok(checks) => {
            println!("all {checks} checks held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn tell() -> Result<usize, DemoError> {
    let mut story = Story::new();
    let fleet = Fleet::start(Plan::default(), &tokio::runtime::Handle::current())?;
    story.step("started 2 halls with 2 nodes and 5 boxes each, a store, a list, weights, a service");
    let client = Client::new(Traffic::default());
    form(&mut story, &fleet).await?;
    serve(&mut story, &fleet, &client).await?;
    lose_member(&mut story, &fleet, &client).await?;
    run_once(&mut story, &fleet, &client).await?;
    drain_box(&mut story, &fleet, &client).await?;
    Ok(story.checks)
}

async fn show(fleet: &Fleet, line: &str) -> Result<(), DemoError> {
    let reply = fleet.command(line).await?;
    println!("\n> {line}\n{}", reply.table);
    Ok(())
}

async fn form(story: &mut Story, fleet: &Fleet) -> Result<(), DemoError> {
    let nodes = fleet.nodes.len();
    fleet.wait_met().await?;
    story.step(&format!("{nodes} nodes know each other"));
    let script = fleet.script();
    let reply = fleet.command(&script.join("\n")).await?;
    println!(
        "> {} operators' commands as one change\n{}",
        script.len(),
        reply.table.rows.concat().join("\n")
    );
    story.step("the configuration is in force");
    fleet.wait_open().await?;
    story.step("both groups formed, loaded and whole in the view of all 4 entries");
    show(fleet, "show groups").await?;
    show(fleet, "show nodes").await
}

async fn serve(story: &mut Story, fleet: &Fleet, client: &Client) -> Result<(), DemoError> {
    let mut whole = 0;
    for at in 0..fleet.nodes.len() {
        let prompt = format!("summarise fault {at}");
        let streamed =
            stream(client, fleet.entry(at), headers(TOKEN, &[]), chat(&prompt, 20, true), |_| ()).await?;
        let expected = answer_text(&engine_prompt(&prompt), 20);
        whole += usize::from(streamed.whole && streamed.text == expected);
    }
    story.step("streamed an answer through each entry");
    story.check(whole == 4, "each caller got its own whole answer")?;
    let refused = call(
        client,
        fleet.entry(0),
        Verb::POST,
        "/v1/chat/completions",
        headers("wrong", &[]),
        chat("x", 1, false),
    )
    .await?;
    story.check(refused.outcome().as_deref() == Some("not run"), "an unknown token is told `not run`")
}

async fn lose_member(story: &mut Story, fleet: &Fleet, client: &Client) -> Result<(), DemoError> {
    let name = group(0);
    let before = fleet.condition(0, &name).map(|(_, generation)| generation);
    let victim = fleet.members(&name)[2];
    let pieces = Arc::new(AtomicUsize::new(0));
    let streams: Vec<_> = (0..6)
        .map(|n| {
            let (client, entry, pieces) = (client.clone(), fleet.entry(n % 4), pieces.clone());
            let body = chat(&format!("read log {n}"), 300, true);
            tokio::spawn(async move {
                let count = |_| {
                    pieces.fetch_add(1, Ordering::Relaxed);
                };
                stream(&client, entry, headers(TOKEN, &[]), body, count).await
            })
        })
        .collect();
    fleet.wait("streams are under way", Millis(10_000), || pieces.load(Ordering::Relaxed) > 100).await?;
    fleet.outside.engines.kill(victim);
    story.step(&format!("killed {} of {name} with 6 streams in flight", runner(0, victim)));
    fleet
        .wait("the group is stopped", Millis(5000), || {
            fleet.condition(0, &name).is_none_or(|(condition, _)| condition != Condition::Open)
        })
        .await?;
    story.step(&format!("{name} takes no work: a member is missing"));
    fleet.wait_open().await?;
    story.step(&format!("{name} was re-formed with the spare box and serves again"));
    let after = fleet.condition(0, &name).map(|(_, generation)| generation);
    story.check(after > before, "its generation rose")?;
    story.check(!fleet.members(&name).contains(&victim), "the dead box is not a member")?;
    let mut ended = Vec::new();
    for task in streams {
        ended.push(task.await??);
    }
    let honest = |(n, streamed): (usize, &Streamed)| {
        let expected = answer_text(&engine_prompt(&format!("read log {n}")), 300);
        match streamed.whole {
            true => streamed.text == expected,
            false => streamed.outcome.is_some() && expected.starts_with(&streamed.text),
        }
    };
    let whole = ended.iter().filter(|streamed| streamed.whole).count();
    story.step(&format!("{whole} of 6 streams ended whole, resumed at their exact token where needed"));
    story.check(ended.iter().enumerate().all(honest), "no stream was short without saying so")?;
    show(fleet, &format!("explain group {name}")).await
}

async fn run_once(story: &mut Story, fleet: &Fleet, client: &Client) -> Result<(), DemoError> {
    fleet.outside.service.set_fault(Fault { lose: 1, ..Fault::default() });
    let keyed = || headers(TOKEN, &[("x-cottoncrank-key", "price-7"), ("x-cottoncrank-once", "true")]);
    let path = "/services/prices/update";
    let first = call(client, fleet.entry(0), Verb::POST, path, keyed(), "tea 1.20".to_owned()).await?;
    story.step(&format!("a price update whose answer was lost: {} {:?}", first.status, first.outcome()));
    story.check(
        first.outcome().as_deref() == Some("may have run"),
        "the caller is told that it may have run",
    )?;
    let second = call(client, fleet.entry(1), Verb::POST, path, keyed(), "tea 1.20".to_owned()).await?;
    story.step(&format!("the same key at another entry: {} {:?}", second.status, second.outcome()));
    let runs = fleet.outside.service.runs().get("price-7 /update").copied();
    story.check(runs == Some(1), "the service counts one run")
}

async fn drain_box(story: &mut Story, fleet: &Fleet, client: &Client) -> Result<(), DemoError> {
    let name = group(1);
    let member = fleet.members(&name)[1];
    let leaving = runner(1, member - fleet.plan.runners);
    let body = chat("a long log", 200, true);
    let streaming = {
        let (client, entry) = (client.clone(), fleet.entry(2));
        tokio::spawn(async move { stream(&client, entry, headers(TOKEN, &[]), body, |_| ()).await })
    };
    let reply = fleet.command(&format!("drain runner {leaving}")).await?;
    println!("> drain runner {leaving}\n{}", reply.table.rows.concat().join("\n"));
    story.step("ordered a member of the other group to be drained, a stream in flight");
    let streamed = streaming.await??;
    story.check(streamed.whole, "the stream in flight was not cut")?;
    fleet
        .wait("the group is formed without it", Millis(15_000), || {
            let members = fleet.members(&name);
            !members.is_empty() && !members.contains(&member)
        })
        .await?;
    fleet.wait_open().await?;
    story.step(&format!("{name} was re-formed without {leaving}"));
    let taken = fleet.outside.engines.history(member).taken;
    story.check(taken.iter().all(|taken| taken.end != Some(End::Cut)), "the drained box cut no request")?;
    show(fleet, &format!("explain group {name}")).await?;
    show(fleet, "show runners columns name,group,stage,generation,note").await
}
