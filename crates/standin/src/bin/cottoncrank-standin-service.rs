//! The stand-in for a plain service, as a process of its own.

use std::process::ExitCode;

use cottoncrank::program;
use cottoncrank_standin::program::{Plain, bind, wait_for_end};
use cottoncrank_standin::service::Service;

fn main() -> ExitCode {
    program::run(|settings: Plain| {
        let standin = Service::start(bind(settings.listen)?)?;
        log::info!("service: listening on {}", standin.address());
        wait_for_end()
    })
}
