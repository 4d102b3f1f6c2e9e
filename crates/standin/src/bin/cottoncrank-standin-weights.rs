//! The stand-in for the weights store, as a process of its own.

use std::process::ExitCode;

use cottoncrank::program;
use cottoncrank_standin::program::{Weights as Settings, bind, wait_for_end};
use cottoncrank_standin::weights::Weights;

fn main() -> ExitCode {
    program::run(|settings: Settings| {
        let standin = Weights::start(bind(settings.listen)?, settings.load)?;
        log::info!("weights: listening on {}", standin.address());
        wait_for_end()
    })
}
