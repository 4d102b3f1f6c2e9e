//! Executable of the entry process of a node.

use std::net::TcpListener;
use std::process::ExitCode;

use cottoncrank::program::{self, StartError};
use cottoncrank::registry::find_route;
use cottoncrank_entry::Entry;
use cottoncrank_entry::settings::Settings;
use cottoncrank_net::public;
use cottoncrank_net::server::wait_for_stop;

fn main() -> ExitCode {
    program::run(run)
}

fn run(settings: Settings) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (ready, public) = public::start(settings.public)?;
    // The name was validated with the settings.
    let policy = find_route(&settings.route).map_err(std::io::Error::other)?;
    let callers = TcpListener::bind(settings.listen)?;
    let peers = TcpListener::bind(settings.peer)?;
    runtime.block_on(async {
        let (lag, max_wait) = (settings.balancer_lag, settings.drain_max);
        let entry = Entry::start(settings, policy, callers, peers, &tokio::runtime::Handle::current())?;
        ready.set(true);
        wait_for_stop().await?;
        ready.set(false);
        log::info!("drain: reporting not ready, waiting {lag} for the load balancer to notice");
        tokio::time::sleep(lag.duration()).await;
        let left = entry.drain(max_wait).await;
        log::info!("drain: finished, {left} requests still in flight are aborted");
        Ok::<(), StartError>(())
    })?;
    drop(public);
    Ok(())
}
