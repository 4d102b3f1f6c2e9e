//! The program `cottoncrank-node`: a node on the users' platform.

use std::process::ExitCode;

use clap::Parser;
use cottoncrank_node::program;

/// Serves requests and takes part in managing the fleet, as configured in the platform's settings.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Only check the settings; the exit code is 0 if they are valid.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match program::run(args.check, |_| std::future::pending()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
