//! The stand-in for the platform's list of boxes, as a process of its own.

use std::process::ExitCode;

use cottoncrank::program;
use cottoncrank_standin::list::List;
use cottoncrank_standin::program::{List as Settings, bind, wait_for_end};

fn main() -> ExitCode {
    program::run(|settings: Settings| {
        let standin = List::start(bind(settings.listen)?, settings.lag)?;
        log::info!("list: listening on {}", standin.address());
        wait_for_end()
    })
}
