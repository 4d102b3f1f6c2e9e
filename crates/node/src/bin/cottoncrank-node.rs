//! A node on the users' platform.

use std::process::ExitCode;

use clap::Parser;
use cottoncrank_node::program;

/// Takes requests and decides for the fleet, as the platform's settings say.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Only check the settings; exit code 0 if they can be used.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match program::run(args.check, std::future::pending()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
