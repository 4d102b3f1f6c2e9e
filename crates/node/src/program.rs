//! The program of a node: log, settings and signals.

use std::net::SocketAddr;
use std::sync::Arc;

use cottoncrank::Millis;
use cottoncrank::program::StartError;
use cottoncrank_net::server::wait_for_stop;
use cottoncrank_platform::settings::{self, SettingsError};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::start::{Listeners, drain, start};
use crate::state::Node;
use crate::{log, supervise, telemetry};

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
    let log = log::start("info").map_err(StartError::from)?;
    supervise::log_panics();
    let settings = settings::read()?;
    if check {
        println!("{}: the settings can be used", settings.node);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::from)?;
    let served = runtime.block_on(async {
        let node = Node::new(settings);
        tokio::spawn(background(node.clone()));
        serve(node).await
    });
    // Lines that cannot be written within the timeout of the flush are lost.
    log.flush();
    Ok(served.map_err(StartError::from)?)
}

async fn serve(node: Arc<Node>) -> Result<(), std::io::Error> {
    let settings = node.settings();
    ::log::info!("node: {} starts in {}", settings.node, settings.hall);
    let listeners = Listeners::bind(&settings).await?;
    let reload = signal(SignalKind::hangup())?;
    tokio::spawn(reread_settings(node.clone(), reload));
    let _watch = supervise::Watch::start(node.turns.clone())?;
    let _tasks = start(&node, listeners);
    serve_metrics(&node).await;
    wait_for_stop().await?;
    drain(&node).await;
    Ok(())
}

/// Serves the metrics. A node that cannot bind their port serves callers all the same.
async fn serve_metrics(node: &Arc<Node>) {
    let address = SocketAddr::new(node.settings().peers.ip(), telemetry::PORT);
    let (Some(handle), bound) = (telemetry::install(), TcpListener::bind(address).await) else { return };
    match bound {
        Ok(listener) => {
            tokio::spawn(telemetry::sample_gauges(node.clone()));
            tokio::spawn(telemetry::serve(node.clone(), listener, handle));
        }
        Err(error) => ::log::warn!("figures: cannot serve metrics at {address}: {error}"),
    }
}

/// Reads the settings again on SIGHUP, and every [`REREAD_INTERVAL`] because the file may change without a
/// signal. The node keeps the addresses that it was started with.
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
