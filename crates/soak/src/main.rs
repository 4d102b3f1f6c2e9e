//! The soak's program.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use cottoncrank::Millis;
use cottoncrank_soak::plan::Plan;
use cottoncrank_soak::run::{Report, play};
use cottoncrank_soak::shrink::shrink;
use thiserror::Error;

/// Plays of a failing plan with fewer faults.
const TRIES: usize = 24;

/// Runs nodes as processes, does harm to them, and checks what they promise.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The first seed; each run takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to play.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Ends after this many minutes, whatever is left to play.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// How many nodes, each a process.
    #[arg(long, default_value_t = 4)]
    processes: usize,
    /// How many runners can form groups.
    #[arg(long, default_value_t = 12)]
    engines: usize,
    /// How long a run lasts, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Leaves out requests that end runners, boxes that are suspended, runners that name a rate,
    /// evacuations, and halls that come back cold.
    #[arg(long)]
    plain: bool,
    /// Leaves out nodes that are cut off from all runners.
    #[arg(long)]
    no_partitions: bool,
    /// Adds nodes that wait for their processor, beside stops, reloads and configurations.
    #[arg(long)]
    starved: bool,
    /// Plays the plan in this file instead of drawn ones.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Looks for the faults that are needed where a plan fails.
    #[arg(long)]
    shrink: bool,
    /// Where settings, logs and failing plans go; a folder for each seed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

#[derive(Debug, Error)]
enum SoakError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("the plan cannot be read: {0}")]
    Read(#[from] toml::de::Error),
    #[error("the plan cannot be written: {0}")]
    Write(#[from] toml::ser::Error),
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Args::parse()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns how many plans failed.
async fn run(args: &Args) -> Result<usize, SoakError> {
    let end = Instant::now() + Duration::from_secs(60 * args.minutes);
    let mut failed = Vec::new();
    let mut played = 0;
    for plan in list_plans(args)? {
        if Instant::now() > end {
            break;
        }
        played += 1;
        let folder = args.folder.join(format!("seed-{}", plan.seed));
        let report = play(&plan, &folder).await?;
        print_report(&plan, &report);
        if !report.breaches.is_empty() {
            failed.push(plan.seed);
            keep(&plan, &folder, args).await?;
        }
    }
    println!("{played} plans played, {} failed: {failed:?}", failed.len());
    Ok(failed.len())
}

fn list_plans(args: &Args) -> Result<Vec<Plan>, SoakError> {
    if let Some(path) = &args.plan {
        return Ok(vec![toml::from_str(&std::fs::read_to_string(path)?)?]);
    }
    let length = Millis(1000 * args.seconds);
    let seeds = args.seed..args.seed + args.runs;
    let draw = |seed| Plan::draw(seed, args.processes, args.engines, length);
    let all = |seed| {
        let plan = draw(seed).with_deadly().with_limits().with_evacuations().with_cold_returns();
        if args.no_partitions { plan } else { plan.with_partitions() }
    };
    let drawn = |seed| if args.plain { draw(seed) } else { all(seed) };
    let add = |plan: Plan| if args.starved { plan.with_starvation() } else { plan };
    Ok(seeds.map(|seed| add(drawn(seed))).collect())
}

fn print_report(plan: &Plan, report: &Report) {
    let (faults, kept) = (plan.events.len(), if report.breaches.is_empty() { "kept" } else { "NOT KEPT" });
    println!(
        "seed {}: {faults} faults, {} requests, {} served, promises {kept}",
        plan.seed, report.calls, report.served
    );
    println!("  {}", report.outcome);
    if let Some((before, after)) = report.service {
        println!(
            "  new connections: {} of {} served before the last fault, {} of {} long after all",
            before.served, before.sent, after.served, after.sent
        );
    }
    for breach in &report.breaches {
        println!("  {breach}");
    }
}

/// Keeps a failing plan beside its logs, and one with fewer faults if asked to.
async fn keep(plan: &Plan, folder: &Path, args: &Args) -> Result<(), SoakError> {
    std::fs::write(folder.join("plan.toml"), toml::to_string(plan)?)?;
    if args.shrink {
        let least = shrink(plan, &folder.join("shrink"), TRIES).await?;
        std::fs::write(folder.join("least.toml"), toml::to_string(&least)?)?;
        println!(
            "  {} of {} faults are needed, see {}",
            least.events.len(),
            plan.events.len(),
            folder.display()
        );
    }
    Ok(())
}
