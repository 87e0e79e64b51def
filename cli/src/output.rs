//! Exit codes and printing.

use std::process::ExitCode;

use gypsumtack::error::StoreError;
use gypsumtack::{Error, Result};
use serde::Serialize;

/// Something failed that is not the user's input.
pub const FAILED: ExitCode = ExitCode::FAILURE;

/// A file, a document or an argument is wrong.
const INVALID: u8 = 2;

/// Another edit came first.
const CONFLICT: u8 = 3;

/// The platform or a daemon cannot be reached.
const UNREACHABLE: u8 = 4;

/// The outcome of a write is unknown.
const UNKNOWN: u8 = 5;

/// Prints `value` as JSON when `json` is set, and otherwise what `text` makes of it.
pub fn print<T: Serialize>(value: &T, json: bool, text: impl FnOnce(&T) -> String) {
    let out = match json {
        true => serde_json::to_string_pretty(value).unwrap_or_default(),
        false => text(value),
    };
    println!("{}", out.trim_end());
}

/// The exit code of a command, after its error was printed.
pub fn finish(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("gypsumtack: {error}");
    match error {
        Error::File { .. } | Error::Invalid(_) | Error::NotOwner { .. } | Error::Listen { .. } => {
            ExitCode::from(INVALID)
        }
        Error::Conflict { .. } => ExitCode::from(CONFLICT),
        Error::Platform(StoreError::AnswerLost(_)) => ExitCode::from(UNKNOWN),
        Error::Platform(_) | Error::Daemon { .. } => ExitCode::from(UNREACHABLE),
    }
}
