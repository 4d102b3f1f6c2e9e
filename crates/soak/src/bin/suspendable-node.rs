//! A node whose box can be suspended, and whose way to the runners can be cut. On SIGUSR1 the clock of its
//! timers stops, and then the process, until it is told to go on. The file beside its settings whose name
//! ends with `partition` says how it is cut off from all runners, if it is.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank_net::reach::Block;
use cottoncrank_node::program;
use cottoncrank_node::state::Node;
use rustix::process::{Signal, getpid, kill_process};
use tokio::signal::unix::{SignalKind, signal};

/// How often the file is read.
const READ_INTERVAL: Millis = Millis(20);

fn main() -> ExitCode {
    match program::run(false, obey) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn obey(node: Arc<Node>) {
    tokio::join!(sleep_as_told(), cut_as_told(node));
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

async fn cut_as_told(node: Arc<Node>) {
    let settings = std::env::var_os("COTTONCRANK_CONFIG").map(PathBuf::from).unwrap_or_default();
    let file = settings.with_extension("partition");
    loop {
        // Without the file the node was never cut off.
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        node.reach.block(match text.as_str() {
            "refuse" => Block::Refuse,
            "hang" => Block::Hang,
            "reset" => Block::Reset,
            _ => Block::None,
        });
        tokio::time::sleep(READ_INTERVAL.duration()).await;
    }
}
