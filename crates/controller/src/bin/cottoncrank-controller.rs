//! Executable of the control process of a node.

use std::net::TcpListener;
use std::process::ExitCode;

use cottoncrank::Millis;
use cottoncrank::program::{self, StartError};
use cottoncrank_controller::Controller;
use cottoncrank_controller::settings::Settings;
use cottoncrank_net::public;
use cottoncrank_net::server::wait_for_stop;

/// Time before exit to announce to the peers that this node leaves.
const LEAVE_GRACE: Millis = Millis(500);

fn main() -> ExitCode {
    program::run(run)
}

fn run(settings: Settings) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let (ready, public) = public::start(settings.public)?;
    let listener = TcpListener::bind(settings.listen)?;
    runtime.block_on(async {
        let controller = Controller::start(settings, listener, &tokio::runtime::Handle::current())?;
        ready.set(true);
        wait_for_stop().await?;
        ready.set(false);
        log::info!("node: {} is leaving the fleet", controller.state().settings.node);
        controller.state().leave();
        tokio::time::sleep(LEAVE_GRACE.duration()).await;
        Ok::<(), StartError>(())
    })?;
    drop(public);
    Ok(())
}
