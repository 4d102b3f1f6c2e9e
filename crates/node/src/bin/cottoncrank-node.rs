//! A node on the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use cottoncrank::Millis;
use cottoncrank::program::{StartError, start_log};
use cottoncrank_net::server::wait_for_stop;
use cottoncrank_node::state::Node;
use cottoncrank_node::{decider, front, member, peer, sync};
use cottoncrank_platform::settings::{self, SettingsError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Kept of the time between the order to stop and the kill.
const GRACE_MARGIN: Millis = Millis(700);

/// How often the settings are looked at without being told.
const REREAD: Millis = Millis(10_000);

/// How often a node that is about to stop looks whether its requests are answered.
const LOOK: Millis = Millis(50);

/// Takes requests and decides for the fleet, as the platform's settings say.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Only check the settings; exit code 0 if they can be used.
    #[arg(long)]
    check: bool,
}

/// Why the program did not start.
#[derive(Debug, Error)]
enum MainError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
}

fn main() -> ExitCode {
    let args = Args::parse();
    match start(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), MainError> {
    let _log = start_log("info")?;
    let settings = settings::read()?;
    if args.check {
        println!("{}: the settings can be used", settings.node);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::from)?;
    runtime.block_on(serve(Node::new(settings))).map_err(StartError::from)?;
    Ok(())
}

async fn serve(node: Arc<Node>) -> Result<(), std::io::Error> {
    let settings = node.settings();
    log::info!("node: {} starts in {}", settings.node, settings.hall);
    let callers = TcpListener::bind(settings.callers).await?;
    let ready = TcpListener::bind(settings.ready).await?;
    let peers = TcpListener::bind(settings.peers).await?;
    let reload = signal(SignalKind::hangup())?;
    tokio::spawn(reread_settings(node.clone(), reload));
    tokio::spawn(sync::run(node.clone()));
    tokio::spawn(sync::run_expiry(node.clone()));
    tokio::spawn(member::run(node.clone()));
    tokio::spawn(peer::serve(node.clone(), peers));
    tokio::spawn(decider::run(node.clone()));
    tokio::spawn(front::serve_ready(node.clone(), ready));
    tokio::spawn(front::serve_callers(node.clone(), callers));
    wait_for_stop().await?;
    drain(&node).await;
    Ok(())
}

/// Reads the settings anew on SIGHUP, and now and then, for the file may change
/// without one. Addresses are those of the start until the next start.
async fn reread_settings(node: Arc<Node>, mut reload: Signal) {
    loop {
        let told = tokio::time::timeout(REREAD.duration(), reload.recv()).await.is_ok();
        match settings::reread(&node.settings()) {
            Ok(Some(settings)) => {
                log::info!("node: the settings have changed and are in force");
                node.set_settings(settings);
            }
            Ok(None) if told => log::info!("node: told to read the settings, which have not changed"),
            Ok(None) => {}
            Err(error) => log::error!("node: going on with the settings held: {error}"),
        }
    }
}

async fn drain(node: &Node) {
    let end = node.now() + (node.settings().bounds.grace - GRACE_MARGIN);
    log::info!("node: told to stop, {} requests under way", node.running());
    node.draining.send_replace(true);
    tokio::time::sleep(front::NOTICE.duration()).await;
    while node.running() > 0 && node.now() < end {
        tokio::time::sleep(LOOK.duration()).await;
    }
    log::info!("node: stops, {} requests under way", node.running());
}
