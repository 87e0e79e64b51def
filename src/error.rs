//! What can go wrong outside the path of a request, and the remedy for each.
//!
//! A refusal of a request is a [`Reason`](crate::Reason); these errors are for operators.

use std::{fmt, io};

/// A [`Result`](std::result::Result) with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error whose message names what is wrong, where, and the remedy.
#[derive(Debug)]
pub enum Error {
    /// A file cannot be read.
    File {
        /// Its path as it was given.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// A document or a settings file is wrong.
    Invalid(Invalid),
    /// Another edit of the same section was accepted first.
    Conflict {
        /// The section that both changed.
        section: String,
        /// The revision that this edit was made from.
        expected: u64,
        /// The revision in force.
        found: u64,
        /// The lines that differ, each with `-` (in force) or `+` (this edit) before it.
        difference: String,
    },
    /// The section belongs to another team.
    NotOwner {
        /// The section.
        section: String,
        /// The team that owns it.
        owner: String,
        /// The team that tried to change it.
        team: String,
    },
    /// The platform cannot be reached, or refused.
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
    /// A daemon's operators' address did not answer.
    Daemon {
        /// The address.
        address: String,
        /// What happened.
        problem: String,
    },
}

/// The place and the remedy of one mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid {
    /// The file, as it was given, or the section where the text came from the store.
    pub origin: String,
    /// The line, counted from 1, where one is known.
    pub line: Option<usize>,
    /// The key path, such as `customers.acme.rate`; empty where the text is not TOML.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
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

/// Why an exchange with the table or the object store gave no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The exchange failed before the platform could have acted on it.
    Unavailable(String),
    /// The exchange was sent and its answer was lost, so the write may have taken effect.
    AnswerLost(String),
    /// The breaker is open after repeated failures, and nothing was sent.
    BreakerOpen,
    /// The platform refused the exchange.
    Refused(String),
    /// The feed no longer knows the changes that were asked for, so everything must be read again.
    HistoryGone,
}

impl StoreError {
    /// Whether the store failed to answer, as against answering that it will not.
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::AnswerLost(_))
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(problem) => {
                write!(f, "the platform cannot be reached ({problem}); try again when it is back")
            }
            Self::AnswerLost(problem) => write!(
                f,
                "the platform's answer was lost ({problem}); read back before trying again"
            ),
            Self::BreakerOpen => {
                write!(f, "the platform failed repeatedly and is left alone for a moment; wait")
            }
            Self::Refused(problem) => {
                write!(f, "the platform refused the exchange ({problem}); check its address")
            }
            Self::HistoryGone => {
                write!(f, "the platform no longer knows these changes; read all rows again")
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
                "{key}: {address} cannot be bound ({source}); free the address or set another"
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
