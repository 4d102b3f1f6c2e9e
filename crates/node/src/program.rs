//! The program of a node: log, settings and signals.

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::program::StartError;
use cottoncrank::resources::Port;
use cottoncrank_fleet::settings::Settings;
use cottoncrank_platform::settings::{self, SettingsError};
use thiserror::Error;
use tokio::signal::unix::Signal;
use tokio::task::JoinSet;

use crate::signals::Signals;
use crate::start::{drain, start_serving};
use crate::state::Node;
use crate::supervise::{Lifetime, Watch, keep_running};
use crate::{front, listen, log, repeat, supervise, telemetry};

/// How often the settings are read again without a signal.
const REREAD_INTERVAL: Millis = Millis(10_000);

/// Why the program did not start.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The log, the runtime or a socket could not be set up.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs a node until it receives a stop signal, with an additional task that `background` returns. With
/// `check` it only checks the settings.
pub fn run<T>(check: bool, background: impl FnOnce(Arc<Node>) -> T) -> Result<(), ProgramError>
where
    T: Future<Output = ()> + Send + 'static,
{
    if check {
        return check_settings();
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::from)?;
    // Signals come first: each ends a process that does not listen to it yet.
    let signals = runtime.block_on(async { Signals::listen() }).map_err(StartError::from)?;
    let log = log::start("info").map_err(StartError::from)?;
    supervise::log_panics();
    let served = runtime.block_on(serve(signals, background));
    // Lines that cannot be written within the timeout of the flush are lost.
    log.flush();
    served
}

fn check_settings() -> Result<(), ProgramError> {
    let _log = log::start("info").map_err(StartError::from)?;
    println!("{}: the settings can be used", settings::read()?.node);
    Ok(())
}

async fn serve<T>(signals: Signals, background: impl FnOnce(Arc<Node>) -> T) -> Result<(), ProgramError>
where
    T: Future<Output = ()> + Send + 'static,
{
    let Signals { mut stop, reload } = signals;
    let started = tokio::select! {
        started = start_node(reload, background) => started?,
        () = stop.wait() => {
            ::log::info!("node: received a stop signal before it had started");
            return Ok(());
        }
    };
    stop.wait().await;
    drain(&started.node).await;
    Ok(())
}

/// A node that serves, with its tasks.
struct Started {
    node: Arc<Node>,
    _tasks: JoinSet<()>,
    _watch: Option<Watch>,
}

async fn start_node<T>(
    reload: Signal,
    background: impl FnOnce(Arc<Node>) -> T,
) -> Result<Started, ProgramError>
where
    T: Future<Output = ()> + Send + 'static,
{
    let settings = read_settings().await?;
    ::log::info!("node: {} starts in {}", settings.node, settings.hall);
    let node = Node::new(settings);
    tokio::spawn(background(node.clone()));
    let watch = Watch::start(node.turns.clone());
    let watch = watch.inspect_err(|error| ::log::error!("node: its thread is not watched: {error}")).ok();
    tokio::spawn(reread_settings(node.clone(), reload));
    tokio::spawn(serve_readiness(node.clone()));
    // The ports come before all connections that this process makes: one of them could take a port.
    let (callers, peers) = listen::wait_for_both_ports(&node).await;
    let tasks = start_serving(&node, callers, peers);
    serve_metrics(&node);
    Ok(Started { node, _tasks: tasks, _watch: watch })
}

/// Reads the settings, as soon as the file is there and valid: it may be about to be written. Without a path
/// there is nothing to wait for.
async fn read_settings() -> Result<Settings, SettingsError> {
    repeat::until_done(|| match settings::read() {
        Err(error @ SettingsError::Path) => Ok(Err(error)),
        read => read.map(Ok),
    })
    .await
}

/// Answers the balancer, also while the other ports cannot be had. A node that lacks this port serves callers
/// all the same.
async fn serve_readiness(node: Arc<Node>) {
    let listener = Arc::new(listen::wait_for_port(&node, Port::Readiness, |settings| settings.ready).await);
    let serve = || front::serve_readiness(node.clone(), listener.clone());
    keep_running("readiness", Lifetime::Endless, serve).await;
}

/// Samples the metrics, and serves them as soon as their port can be had.
fn serve_metrics(node: &Arc<Node>) {
    let Some(handle) = telemetry::install() else { return };
    tokio::spawn(telemetry::sample_gauges(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        let find = |settings: &Settings| SocketAddr::new(settings.peers.ip(), telemetry::PORT);
        let listener = listen::wait_for_port(&node, Port::Metrics, find).await;
        telemetry::serve(node, listener, handle).await;
    });
}

/// Reads the settings again on SIGHUP, and every [`REREAD_INTERVAL`] because the file may change without a
/// signal. The node keeps the addresses that it listens at.
async fn reread_settings(node: Arc<Node>, mut reload: Signal) {
    loop {
        let signaled = tokio::time::timeout(REREAD_INTERVAL.duration(), reload.recv()).await.is_ok();
        match settings::read_changed(&node.settings()) {
            Ok(Some(settings)) => {
                ::log::info!("node: the settings have changed and are in force");
                node.set_settings(settings);
            }
            Ok(None) if signaled => {
                ::log::info!("node: reloaded the settings; they have not changed")
            }
            Ok(None) => {}
            Err(error) => ::log::error!("node: keeping the previous settings: {error}"),
        }
    }
}
