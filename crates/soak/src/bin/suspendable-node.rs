//! A node whose box can be suspended. On SIGUSR1 the clock of its timers stops, and then the
//! process, until it is told to go on.

use std::process::ExitCode;

use cottoncrank_node::program;
use rustix::process::{Signal, getpid, kill_process};
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match program::run(false, sleep_as_told()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn sleep_as_told() {
    let mut told = match signal(SignalKind::user_defined1()) {
        Ok(told) => told,
        Err(error) => return eprintln!("suspendable-node: it cannot be told to sleep: {error}"),
    };
    while told.recv().await.is_some() {
        tokio::time::pause();
        if let Err(error) = kill_process(getpid(), Signal::STOP) {
            eprintln!("suspendable-node: it does not sleep: {error}");
        }
        tokio::time::resume();
    }
}
