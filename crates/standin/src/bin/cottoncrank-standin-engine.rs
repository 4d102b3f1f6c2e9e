//! Stand-ins for model engines, as one process.

use std::process::ExitCode;

use cottoncrank::program::{self, StartError};
use cottoncrank_standin::engine::Engines;
use cottoncrank_standin::program::{Engines as Settings, bind, wait_for_end};

fn main() -> ExitCode {
    program::run(|settings: Settings| {
        let listeners: Result<Vec<_>, StartError> =
            settings.listen.iter().map(|address| Ok((bind(*address)?, settings.fence))).collect();
        let engines = Engines::start(listeners?, settings.speed, settings.weights, 1)?;
        log::info!("engine: listening on {:?}", engines.addresses());
        wait_for_end()
    })
}
