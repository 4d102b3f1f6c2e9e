//! The stand-in for the platform's key-value service, as a process of its own.

use std::process::ExitCode;

use cottoncrank::program;
use cottoncrank_standin::program::{Plain, bind, wait_for_end};
use cottoncrank_standin::store::Store;

fn main() -> ExitCode {
    program::run(|settings: Plain| {
        let standin = Store::start(bind(settings.listen)?)?;
        log::info!("store: listening on {}", standin.address());
        wait_for_end()
    })
}
