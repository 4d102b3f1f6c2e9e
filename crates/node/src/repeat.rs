//! Repeats a step of a start until it succeeds: a process that ends by itself may be gone for good.

use std::fmt::Display;

use cottoncrank::Clock;
use cottoncrank::clock::System;
use cottoncrank_fleet::startup::Failures;

/// Takes a step until it succeeds, and logs what it waits for.
pub(crate) async fn until_done<T, E: Display>(mut step: impl FnMut() -> Result<T, E>) -> T {
    let (clock, mut failures) = (System::new(), Failures::default());
    loop {
        let error = match step() {
            Ok(done) => {
                log_end(&failures);
                return done;
            }
            Err(error) => error.to_string(),
        };
        let response = failures.record(&error, clock.now());
        if response.logs {
            log::warn!("start: {error}; trying again until it works");
        }
        tokio::time::sleep(response.pause.duration()).await;
    }
}

fn log_end(failures: &Failures) {
    if failures.count() > 0 {
        log::info!("start: goes on, after {} failed tries", failures.count());
    }
}
