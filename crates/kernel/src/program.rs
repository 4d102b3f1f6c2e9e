//! The startup code of all programs: arguments, settings and log.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::line::Line;
use crate::settings::{self, Check, SettingsError};

/// The arguments of every program that reads settings.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// The TOML file with the settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Only check the settings; exit code 0 if they can be used.
    #[arg(long)]
    pub check: bool,
}

/// An error that prevents a program from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The log could not be set up.
    #[error("log: {0}")]
    Log(#[from] flexi_logger::FlexiLoggerError),
    /// A system call failed, most often because a port is in use.
    #[error("start: {0}")]
    Io(#[from] std::io::Error),
}

/// Starts the log on standard error. Each line has the time, the level, and the message with
/// the prefix of its module.
///
/// `RUST_LOG` overrides `level`.
pub fn start_log(level: &str) -> Result<flexi_logger::LoggerHandle, StartError> {
    let default_filter = format!("{level}, xitca_server=warn, xitca_http=warn");
    let logger = flexi_logger::Logger::try_with_env_or_str(default_filter)?.format(format_line);
    Ok(logger.log_to_stderr().start()?)
}

fn format_line(
    out: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record,
) -> std::io::Result<()> {
    write!(out, "{} {:5} {}", now.format("%Y-%m-%dT%H:%M:%S%.3f"), record.level(), Line::of(record.args()))
}

/// Reads the arguments and settings, starts the log, and runs `main` with the settings.
pub fn run<S: DeserializeOwned + Check>(main: impl FnOnce(S) -> Result<(), StartError>) -> ExitCode {
    let args = Args::parse();
    let outcome = settings::read::<S>(&args.settings).map_err(StartError::from).and_then(|settings| {
        if args.check {
            println!("{}: the settings can be used", args.settings.display());
            return Ok(());
        }
        let _log = start_log("info")?;
        main(settings)
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
