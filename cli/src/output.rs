//! Exit codes and output of the commands.

use std::process::ExitCode;

use gypsumtack::error::StoreError;
use gypsumtack::{Error, Result};
use serde::Serialize;

/// Exit code for failures that the input did not cause.
pub const EXIT_FAILURE: ExitCode = ExitCode::FAILURE;

/// Exit code for an invalid file, document or argument.
const EXIT_INVALID: u8 = 2;

/// Exit code for an edit that conflicts with one accepted earlier.
const EXIT_CONFLICT: u8 = 3;

/// Exit code when the platform or a daemon cannot be reached.
const EXIT_UNREACHABLE: u8 = 4;

/// Exit code for a write whose outcome is unknown.
const EXIT_UNKNOWN: u8 = 5;

/// Prints `value` as JSON if `json` is set, and as the text that `to_text` returns otherwise.
pub fn print<T: Serialize>(value: &T, json: bool, to_text: impl FnOnce(&T) -> String) {
    let output = match json {
        true => serde_json::to_string_pretty(value).unwrap_or_default(),
        false => to_text(value),
    };
    println!("{}", output.trim_end());
}

/// Prints the error of a command, if any, to standard error and returns the exit code.
pub fn finish(result: Result<()>) -> ExitCode {
    let Err(error) = result else { return ExitCode::SUCCESS };
    eprintln!("gypsumtack: {error}");
    match error {
        Error::File { .. } | Error::Invalid(_) | Error::NotOwner { .. } | Error::Listen { .. } => {
            ExitCode::from(EXIT_INVALID)
        }
        Error::Conflict { .. } => ExitCode::from(EXIT_CONFLICT),
        Error::Platform(StoreError::AnswerLost(_)) => ExitCode::from(EXIT_UNKNOWN),
        Error::Platform(_) | Error::Daemon { .. } => ExitCode::from(EXIT_UNREACHABLE),
    }
}
