//! What a backend server tells about itself in the headers of its answers: the requests per second that
//! it takes, and that it is leaving.
//!
//! A backend server in need names its limit in each answer until the need is over. docs/DESIGN.md, "Limits
//! that backend servers name", describes how the limit is kept.

use http::HeaderMap;

use crate::announcement::BackendServer;
use crate::dialect::Dialect;

/// Number of answers in a row without a limit after which a limit no longer holds. Answers overtake each
/// other, so one that was sent before the limit was named may arrive after it.
const LIFTING_ANSWERS: u32 = 3;

/// The value of the header by which a backend server tells that it is leaving.
const LEAVING: &[u8] = b"1";

/// What one answer tells of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NamedLimit {
    /// No limit is named.
    None,
    /// Requests per second, from all VMs together.
    Rate(f64),
    /// The value is not a number of requests per second.
    Invalid,
}

impl NamedLimit {
    /// Parses the value of the header: a decimal number that is not negative.
    pub fn parse(value: &[u8]) -> Self {
        let rate = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
        match rate {
            Some(rate) if f64::is_finite(rate) && rate >= 0.0 => Self::Rate(rate),
            _ => Self::Invalid,
        }
    }
}

/// What one answer tells about its backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notices {
    /// The limit that it names.
    pub limit: NamedLimit,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Notices {
    /// Reads the notices from the headers of an answer.
    pub fn read(dialect: &Dialect, headers: &HeaderMap) -> Self {
        let value = |name: &Option<_>| name.as_ref().and_then(|name| headers.get(name));
        let limit = value(&dialect.limit)
            .map_or(NamedLimit::None, |value| NamedLimit::parse(value.as_bytes()));
        let leaving = value(&dialect.leaving).is_some_and(|value| value.as_bytes() == LEAVING);
        Self { limit, leaving }
    }
}

/// The notices of one run of a backend server that are in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Noticed {
    /// Id and start time of the run. Notices of an earlier run concern another backend server.
    run: (String, u64),
    /// The limit in requests per second.
    pub limit: Option<f64>,
    /// Whether it is leaving. It never returns under the same id and start time.
    pub leaving: bool,
    without_limit: u32,
}

impl Noticed {
    /// Creates the state of a run that has told nothing yet.
    pub fn new(backend: &BackendServer) -> Self {
        Self { run: (backend.id.clone(), backend.started), ..Self::default() }
    }

    /// Whether this is the state of the run of `backend`.
    pub fn is_of(&self, backend: &BackendServer) -> bool {
        self.run.0 == backend.id && self.run.1 == backend.started
    }

    /// Applies what an answer tells. An invalid limit changes nothing. Without an id, a backend server
    /// cannot be told from its successor, so only its announcements say that it is leaving.
    pub fn apply(&mut self, notices: Notices) {
        self.leaving |= notices.leaving && !self.run.0.is_empty();
        match notices.limit {
            NamedLimit::Rate(rate) => (self.limit, self.without_limit) = (Some(rate), 0),
            NamedLimit::Invalid => {}
            NamedLimit::None => {
                self.without_limit += 1;
                if self.without_limit >= LIFTING_ANSWERS {
                    (self.limit, self.without_limit) = (None, 0);
                }
            }
        }
    }
}
