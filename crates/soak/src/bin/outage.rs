//! Plays the loss of all nodes at once, and reports when service is back.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use cottoncrank_platform_standin::store::Broken;
use cottoncrank_soak::fleet::{APPLY_MS, find_program};
use cottoncrank_soak::outage::{Foreign, Outage, Plain, Replacement, play};

/// Plays the loss of all nodes at once, and reports when service is back.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The first seed; each run takes the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to play.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// How long all nodes are down, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    down: u64,
    /// The part of a processor that each node has, in percent.
    #[arg(long, default_value_t = 100)]
    processor: u32,
    /// A node that gets a part of a processor runs for that part of each such turn, in milliseconds.
    #[arg(long, default_value_t = 100)]
    turn: u64,
    /// The settings of the nodes tell what their boxes give them: a quarter of a core, memory, descriptors.
    #[arg(long)]
    limits: bool,
    /// The requests in a second of each hall, shared by its nodes; the same to each node if there are none.
    #[arg(long, default_value_t = 0)]
    hall_rate: u64,
    /// The part of the runners that come back empty, in percent.
    #[arg(long, default_value_t = 0)]
    empty: u32,
    /// Loses the heads of the groups among them.
    #[arg(long)]
    heads: bool,
    /// How they come back.
    #[arg(long, value_enum, default_value_t = Replacement::Same)]
    replacement: Replacement,
    /// How long callers come before, in milliseconds, if no members are lost one after the other: loads in reserve
    /// that began before them go on meanwhile.
    #[arg(long, default_value_t = 6000)]
    calm: u64,
    /// Loses members of groups one after the other before.
    #[arg(long)]
    losses: bool,
    /// How long the store refuses all calls after the start, in milliseconds.
    #[arg(long, default_value_t = 0)]
    store_away: u64,
    /// It does not answer them at all.
    #[arg(long)]
    silent: bool,
    /// The store comes back from an older copy.
    #[arg(long)]
    older: bool,
    /// Loses all nodes once more this long after their start, in milliseconds.
    #[arg(long)]
    again: Option<u64>,
    /// The hall that is cut off until shortly before.
    #[arg(long)]
    cut: Option<String>,
    /// How long it is cut off, in milliseconds.
    #[arg(long, default_value_t = 6000)]
    cut_for: u64,
    /// Callers send a request that was not served again, as long as they wait for an answer.
    #[arg(long)]
    repeat: bool,
    /// Requests that come in the moment of the return, in addition.
    #[arg(long, default_value_t = 0)]
    burst: usize,
    /// How long after the return runners take no connection, in milliseconds.
    #[arg(long, default_value_t = 0)]
    full: u64,
    /// The account gets new keys, and loses all former ones, right before.
    #[arg(long)]
    rekey: bool,
    /// How long after each other the nodes start, in milliseconds.
    #[arg(long, default_value_t = 0)]
    apart: u64,
    /// What another writer puts into the store before.
    #[arg(long, value_enum, default_value_t = Foreign::None)]
    foreign: Foreign,
    /// What the store does with queries that cannot be decoded.
    #[arg(long, value_parser = parse_broken, default_value = "refused")]
    broken: Broken,
    /// The nodes live, and the store forgets its history in place of the loss.
    #[arg(long)]
    live: bool,
    /// Each node also gets requests for a route that never existed.
    #[arg(long)]
    probe: bool,
    /// What becomes of plain runners with it.
    #[arg(long, value_enum, default_value_t = Plain::Serve)]
    plain: Plain,
    /// How long callers wait for an answer, in milliseconds.
    #[arg(long, default_value_t = 6000)]
    wait: u64,
    /// How long after its acceptance a configuration must be in force, in milliseconds.
    #[arg(long, default_value_t = APPLY_MS)]
    apply: u64,
    /// The program of the nodes, such as that of another build.
    #[arg(long)]
    node: Option<PathBuf>,
    /// Where settings and logs go; a folder for each seed.
    #[arg(long, default_value = "target/outage")]
    folder: PathBuf,
}

fn parse_broken(text: &str) -> Result<Broken, String> {
    match text {
        "refused" => Ok(Broken::Refused),
        "kept" => Ok(Broken::Kept),
        "left-out" => Ok(Broken::LeftOut),
        other => Err(format!("`{other}` is none of refused, kept, left-out")),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.runs {
        match run(&args, seed).await {
            Ok(true) => {}
            Ok(false) => failed.push(seed),
            Err(error) => {
                eprintln!("outage: {error}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} outages played, {} without recovery: {failed:?}", args.runs, failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays one outage. Returns whether the fleet recovered and kept what it promises to runners.
async fn run(args: &Args, seed: u64) -> std::io::Result<bool> {
    let outage = Outage {
        seed,
        down: Duration::from_millis(args.down),
        processor: args.processor,
        turn: Duration::from_millis(args.turn),
        limits: args.limits,
        hall_rate: args.hall_rate,
        empty: args.empty,
        heads: args.heads,
        replacement: args.replacement,
        calm: Duration::from_millis(args.calm),
        losses: args.losses,
        store_away: Duration::from_millis(args.store_away),
        silent: args.silent,
        older: args.older,
        again: args.again.map(Duration::from_millis),
        cut: args.cut.clone().map(|hall| (hall, Duration::from_millis(args.cut_for))),
        repeat: args.repeat,
        burst: args.burst,
        full: Duration::from_millis(args.full),
        rekey: args.rekey,
        apart: Duration::from_millis(args.apart),
        foreign: args.foreign,
        broken: args.broken,
        live: args.live,
        probe: args.probe,
        plain: args.plain,
        wait: Duration::from_millis(args.wait),
        apply: Duration::from_millis(args.apply),
    };
    let program = args.node.clone().map_or_else(find_program, Ok)?;
    let report = play(&outage, program, &args.folder.join(format!("seed-{seed}"))).await?;
    println!("seed {seed}: {report}");
    report.breaches.iter().for_each(|breach| println!("  {breach}"));
    Ok(report.recovers() && report.breaches.is_empty())
}
