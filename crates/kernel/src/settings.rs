//! Reads a program's settings from one TOML file, which is checked before the program starts.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// An error in a settings file. The message names the file, the key and the reason.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: {source}", file = .file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("{file}: {source}", file = .file.display())]
    Parse {
        /// The file.
        file: PathBuf,
        /// The position and the cause.
        source: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[error("{file}: {problem}", file = .file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The key and the reason.
        problem: Problem,
    },
}

/// An invalid value of a key.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("key `{key}`: {reason}")]
pub struct Problem {
    /// The key.
    pub key: &'static str,
    /// The reason.
    pub reason: String,
}

impl Problem {
    /// Returns a problem with `key`.
    pub fn new(key: &'static str, reason: impl ToString) -> Problem {
        Problem { key, reason: reason.to_string() }
    }
}

/// Settings with rules beyond the types of their values.
pub trait Check {
    /// Checks all values; the error is the first invalid one.
    fn check(&self) -> Result<(), Problem>;
}

/// Reads and checks the settings in `file`.
pub fn read<S: DeserializeOwned + Check>(file: &Path) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
    parse(&text, file)
}

/// Parses and checks the settings in `text`; `file` is named in errors.
pub fn parse<S: DeserializeOwned + Check>(text: &str, file: &Path) -> Result<S, SettingsError> {
    let settings: S = toml::from_str(text)
        .map_err(|source| SettingsError::Parse { file: file.to_owned(), source: Box::new(source) })?;
    settings.check().map_err(|problem| SettingsError::Value { file: file.to_owned(), problem })?;
    Ok(settings)
}
