//! Errors for operators, each with its remedy.
//!
//! Refusals of requests are not errors of this module but a [`Reason`](crate::Reason).

use std::{fmt, io};

/// A [`Result`](std::result::Result) with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error whose message names the problem, its place and the remedy.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read.
    File {
        /// The path as given.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A document or a settings file is invalid.
    Invalid(Invalid),
    /// Another edit of the same section was accepted first.
    Conflict {
        /// The section that both edits change.
        section: String,
        /// The revision that this edit is based on.
        expected: u64,
        /// The revision in force.
        found: u64,
        /// The lines that differ, prefixed with `-` (in force) or `+` (this edit).
        difference: String,
    },
    /// The section belongs to another team.
    NotOwner {
        /// The section.
        section: String,
        /// The team that owns the section.
        owner: String,
        /// The team that tried to change it.
        team: String,
    },
    /// A store request to the platform failed or was refused.
    Platform(StoreError),
    /// An address cannot be bound.
    Listen {
        /// The setting that holds the address.
        key: &'static str,
        /// The address.
        address: String,
        /// Why it cannot be bound.
        source: io::Error,
    },
    /// A daemon did not answer at its operators' address.
    Daemon {
        /// The address.
        address: String,
        /// Why there is no answer.
        problem: String,
    },
}

/// One error in a document or a settings file, with its place and remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// The path of the file as given, or the section when the text came from the store.
    pub origin: String,
    /// The line, counted from 1, when it is known.
    pub line: Option<usize>,
    /// The key path, such as `customers.acme.rate`; empty when the text cannot be deserialized.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.origin)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}; {}", self.problem, self.remedy)
    }
}

/// Why a request to the store (its rows, objects or feed) gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store request failed before the platform could have acted on it.
    Unavailable(String),
    /// The store request was sent but its answer was lost, so a write may have taken effect.
    AnswerLost(String),
    /// The circuit breaker is open after repeated failures; nothing was sent.
    BreakerOpen,
    /// The platform refused the store request, or what it returned cannot be used.
    Refused(String),
    /// The feed no longer holds the requested changes, so that all rows must be read again.
    HistoryGone,
}

impl StoreError {
    /// Whether the store gave no answer, in contrast to an answer that refuses the request.
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::AnswerLost(_))
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(problem) => {
                write!(
                    f,
                    "the platform cannot be reached ({problem}); retry when it is available again"
                )
            }
            Self::AnswerLost(problem) => write!(
                f,
                "the platform's answer was lost ({problem}) and a write may have taken effect; read the \
                 data back before retrying"
            ),
            Self::BreakerOpen => {
                write!(
                    f,
                    "the platform failed repeatedly and its circuit breaker is open; retry in a moment"
                )
            }
            Self::Refused(problem) => {
                write!(f, "the platform refused the store request ({problem}); check its address")
            }
            Self::HistoryGone => {
                write!(f, "the platform's feed no longer holds these changes; read all rows again")
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => {
                write!(f, "{path}: cannot be read ({source}); check the path and its permissions")
            }
            Self::Invalid(invalid) => write!(f, "{invalid}"),
            Self::Conflict { section, expected, found, difference } => write!(
                f,
                "section {section} is at revision {found}, not {expected}; merge the difference \
                 below into your edit and apply it with --expect {found}\n{difference}"
            ),
            Self::NotOwner { section, owner, team } => write!(
                f,
                "section {section} belongs to team {owner}, not {team}; ask {owner} to apply it"
            ),
            Self::Platform(error) => write!(f, "{error}"),
            Self::Listen { key, address, source } => write!(
                f,
                "{key}: {address} cannot be bound ({source}); free the address or configure another"
            ),
            Self::Daemon { address, problem } => write!(
                f,
                "{address} did not answer ({problem}); pass the operators' address of a running \
                 daemon"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Self {
        Self::Platform(error)
    }
}

impl From<Invalid> for Error {
    fn from(invalid: Invalid) -> Self {
        Self::Invalid(invalid)
    }
}
